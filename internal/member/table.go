package member

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/arbutusgauge/arbutusgauge/internal/peer/peerpb"
)

// memberBuckets is the number of digests that summarise the member table.
const memberBuckets = 64

// entry is what is known of another host.
type entry struct {
	host Host
	// until is when a Suspect host, or a Leaving one that failed a probe, is
	// declared Dead; zero otherwise.
	until time.Time
	// died is when the host was learned to be Dead; zero otherwise.
	died time.Time
}

func (e *entry) event() *peerpb.MemberEvent { return eventOf(e.host) }

func eventOf(h Host) *peerpb.MemberEvent {
	return &peerpb.MemberEvent{
		Name: h.Name, Addr: h.Addr, HttpAddr: h.HTTPAddr, DataCentre: h.DataCentre,
		Incarnation: h.Incarnation, Counter: h.Counter, State: uint32(h.State), ConfigVersion: h.ConfigVersion,
	}
}

func hostOf(ev *peerpb.MemberEvent) Host {
	return Host{
		Name: ev.Name, Addr: ev.Addr, HTTPAddr: ev.HttpAddr, DataCentre: ev.DataCentre,
		Incarnation: ev.Incarnation, Counter: ev.Counter, State: State(min(ev.State, uint32(Dead))), ConfigVersion: ev.ConfigVersion,
	}
}

// order compares two statements about one host; the greater one wins.
func order(a, b Host) int {
	return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Counter, b.Counter), cmp.Compare(a.State, b.State))
}

// bucketOf returns the digest bucket of a host.
func bucketOf(name string) int { return int(xxhash.Sum64String(name) % memberBuckets) }

// digests summarise the hosts that aren't dead, self included, and the
// leaving backend servers. Equal tables have equal digests. Dead hosts are
// left out, because each host forgets them at its own time.
func (a *Agent) digests() []uint64 {
	out := make([]uint64, memberBuckets+1)
	add := func(h Host) {
		if h.State != Dead {
			out[bucketOf(h.Name)] += digestOf(h)
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

func digestOf(h Host) uint64 {
	body := append([]byte(h.Name), 0)
	body = binary.BigEndian.AppendUint64(body, h.Incarnation)
	body = binary.BigEndian.AppendUint64(body, h.Counter)
	return xxhash.Sum64(append(body, byte(h.State)))
}

// rank orders hosts by rendezvous hash for a role.
func rank(role, name string) uint64 { return xxhash.Sum64String(role + "\x00" + name) }

// First returns the first n live hosts of the data centre by rendezvous hash
// for a role, so that all hosts with equal views choose the same ones.
func First(v *View, role, dataCentre string, n int) []Host {
	var hosts []Host
	for _, h := range v.Hosts {
		if h.DataCentre == dataCentre && h.State == Live {
			hosts = append(hosts, h)
		}
	}
	slices.SortFunc(hosts, func(a, b Host) int {
		return cmp.Or(cmp.Compare(rank(role, b.Name), rank(role, a.Name)), cmp.Compare(a.Name, b.Name))
	})
	return hosts[:min(n, len(hosts))]
}

// publish replaces the view if the table has changed. The lock is held.
func (a *Agent) publish() {
	if !a.dirty {
		return
	}
	a.dirty = false
	a.version++
	v := &View{Version: a.version, Self: a.self, Hosts: make([]Host, 0, len(a.table)+1)}
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
