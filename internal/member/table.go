package member

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/arbutusgauge/arbutusgauge/internal/peer/peerpb"
)

// memberBuckets is the number of buckets that the member table is divided into
// for comparison, with one digest each.
const memberBuckets = 64

// tableEntry holds what is known of another host.
type tableEntry struct {
	host Host
	// declareDeadAt is the time at which a Suspect host, or a Leaving one that
	// failed a probe, is declared Dead; zero for other hosts.
	declareDeadAt time.Time
	// diedAt is the time at which this process learned that the host is Dead;
	// zero for other hosts.
	diedAt time.Time
}

func (e *tableEntry) toEvent() *peerpb.MemberEvent { return memberEvent(e.host) }

func memberEvent(h Host) *peerpb.MemberEvent {
	return &peerpb.MemberEvent{
		Name: h.Name, Addr: h.Addr, HttpAddr: h.HTTPAddr, DataCentre: h.DataCentre,
		Incarnation: h.Incarnation, Counter: h.Counter, State: uint32(h.State), ConfigVersion: h.ConfigVersion,
	}
}

func hostFromEvent(ev *peerpb.MemberEvent) Host {
	return Host{
		Name: ev.Name, Addr: ev.Addr, HTTPAddr: ev.HttpAddr, DataCentre: ev.DataCentre,
		Incarnation: ev.Incarnation, Counter: ev.Counter, State: State(min(ev.State, uint32(Dead))), ConfigVersion: ev.ConfigVersion,
	}
}

// compareClaims orders two claims about one host; the greater one wins.
func compareClaims(a, b Host) int {
	return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Counter, b.Counter), cmp.Compare(a.State, b.State))
}

// bucketIndex returns the index of a host's bucket.
func bucketIndex(name string) int { return int(xxhash.Sum64String(name) % memberBuckets) }

// tableDigests returns a digest for each bucket of hosts, this one included, and
// a last one for the leaving backend servers. Equal tables have equal digests.
// Dead hosts are left out, because each host forgets them at a different time.
func (a *Agent) tableDigests() []uint64 {
	out := make([]uint64, memberBuckets+1)
	add := func(h Host) {
		if h.State != Dead {
			out[bucketIndex(h.Name)] += hostDigest(h)
		}
	}
	add(a.self)
	for _, e := range a.table {
		add(e.host)
	}
	for replica, s := range a.servers {
		if s.leaving {
			out[memberBuckets] += xxhash.Sum64String(string(replica))
		}
	}
	return out
}

// hostDigest returns what a host adds to the digest of its bucket.
func hostDigest(h Host) uint64 {
	body := append([]byte(h.Name), 0)
	body = binary.BigEndian.AppendUint64(body, h.Incarnation)
	body = binary.BigEndian.AppendUint64(body, h.Counter)
	return xxhash.Sum64(append(body, byte(h.State)))
}

// rendezvousHash ranks a host for a role; hosts with a higher hash are chosen
// first.
func rendezvousHash(role, name string) uint64 { return xxhash.Sum64String(role + "\x00" + name) }

// SelectLive returns the n live hosts of the data centre with the highest
// rendezvous hash for a role, or all live hosts if there are fewer. Callers with
// equal views get the same hosts.
func SelectLive(v *View, role, dataCentre string, n int) []Host {
	var hosts []Host
	for _, h := range v.Hosts {
		if h.DataCentre == dataCentre && h.State == Live {
			hosts = append(hosts, h)
		}
	}
	slices.SortFunc(hosts, func(a, b Host) int {
		return cmp.Or(cmp.Compare(rendezvousHash(role, b.Name), rendezvousHash(role, a.Name)), cmp.Compare(a.Name, b.Name))
	})
	return hosts[:min(n, len(hosts))]
}

// publishView replaces the view if it is outdated. The caller holds mu.
func (a *Agent) publishView() {
	if !a.viewOutdated {
		return
	}
	a.viewOutdated = false
	a.viewVersion++
	v := &View{Version: a.viewVersion, Self: a.self, Hosts: make([]Host, 0, len(a.table)+1)}
	v.Hosts = append(v.Hosts, a.self)
	for _, e := range a.table {
		if e.host.State != Dead {
			v.Hosts = append(v.Hosts, e.host)
		}
	}
	slices.SortFunc(v.Hosts, func(x, y Host) int { return cmp.Compare(x.Name, y.Name) })
	v.LeavingServers = a.leavingServers()
	a.view.Store(v)
	a.opts.Scope.Gauge("hosts").Update(float64(len(v.Hosts)))
}
