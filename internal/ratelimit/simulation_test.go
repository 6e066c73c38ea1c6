package ratelimit

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/arbutusgauge/arbutusgauge/internal/release"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

const (
	// limitWindow, limitFactor and limitSlack are the users' bound: in limitWindow a
	// replica gets at most limitFactor times what its limit allows, and limitSlack more.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// settleTime is the least time after the first answer with a limit from which the
	// users apply the bound.
	settleTime = 4 * time.Second
	peerDelay  = 5 * time.Millisecond
)

// fleet simulates hosts in data centres whose replicas advertise limits, in virtual time.
type fleet struct {
	began time.Time

	mu    sync.Mutex // guards what follows
	hosts []*simHost
	down  map[string]bool // hosts that do not answer, by name
	// rival is a host that has taken over the seat of the leader of its data centre, which
	// does not know it yet; every second host follows the rival.
	rival    string
	replicas map[wire.ReplicaID]*simReplica
	service  *release.Service
	work     time.Duration // of a request
	warmUps  []WarmUp      // as registered
	refused  int
}

type simHost struct {
	fleet      *fleet
	name       string
	dataCentre string
	registry   *Registry
	leadsSince time.Duration // if it leads; negative: from before the simulation
}

// simReplica counts the requests that it gets from hosts that know its limit.
type simReplica struct {
	dataCentre string
	perSecond  float64 // 0: no limit
	running    int
	received   int                  // all requests after the first second
	arrivals   []time.Time          // of hosts that it told its limit
	all        []time.Time          // arrivals of all hosts
	told       map[string]time.Time // by host: when it got the first answer with a limit
}

// simDeployment is the size and the load of a simulated fleet.
type simDeployment struct {
	dataCentres, hosts, replicas int
	perSecond                    float64 // limit of each replica, 0 for an unlimited one
	unlimited                    int     // replicas without a limit
	load                         float64 // requests a second
	work                         time.Duration
	cold                         float64 // warm-up rate of the replicas; 0: they are warm
}

func newFleet(t *testing.T, d simDeployment) *fleet {
	f := &fleet{began: time.Now(), down: map[string]bool{}, replicas: map[wire.ReplicaID]*simReplica{}, service: &release.Service{Name: "one"}, work: d.work}
	shard := release.Shard{}
	for i := range d.replicas {
		id, dc := wire.ReplicaID("10.0.0."+strconv.Itoa(i)+":80/i/1"), "dc"+strconv.Itoa(i%d.dataCentres)
		f.replicas[id] = &simReplica{dataCentre: dc, told: map[string]time.Time{}}
		if i >= d.unlimited {
			f.replicas[id].perSecond = d.perSecond
		}
		shard.Replicas = append(shard.Replicas, release.Replica{Addr: id, DataCentre: dc})
		if d.cold > 0 {
			f.warmUps = append(f.warmUps, WarmUp{Replica: id, PerSecond: d.cold, Left: time.Hour, Sequence: 1})
		}
	}
	f.service.Shards = []release.Shard{shard}
	for i := range d.hosts {
		f.addHost(t, "host"+strconv.Itoa(i), "dc"+strconv.Itoa(i%d.dataCentres), d.hosts)
	}
	return f
}

// addHost adds a host, in place of one with the same name.
func (f *fleet) addHost(t *testing.T, name, dataCentre string, hosts int) *simHost {
	h := &simHost{fleet: f, name: name, dataCentre: dataCentre, leadsSince: -time.Hour}
	var err error
	h.registry, err = New(Options{
		Clock:        func() time.Duration { return time.Since(f.began) },
		Leaders:      func() []Leader { return f.leaders(name) },
		DataCentreOf: func(r wire.ReplicaID) string { return f.replicas[r].dataCentre },
		Transport:    f,
	})
	if err != nil {
		t.Fatal(err)
	}
	h.registry.SetHosts(hosts)
	h.registry.SetWarmUps(f.warmUps)
	for i, old := range f.hosts {
		if old.name == name {
			f.hosts[i] = h
			return h
		}
	}
	f.hosts = append(f.hosts, h)
	return h
}

// leaders returns the leaders that a host knows: the first host of each data centre, or
// the rival.
func (f *fleet) leaders(self string) []Leader {
	var out []Leader
	seen := map[string]bool{}
	for _, h := range f.hosts {
		if seen[h.dataCentre] {
			continue
		}
		seen[h.dataCentre] = true
		leader := h
		if f.rival != "" && f.host(f.rival).dataCentre == h.dataCentre && f.followsRival(self) {
			leader = f.host(f.rival)
		}
		out = append(out, Leader{DataCentre: h.dataCentre, PeerAddr: leader.name, Self: leader.name == self, Since: leader.leadsSince})
	}
	return out
}

// followsRival reports whether a host knows of the rival.
func (f *fleet) followsRival(name string) bool {
	index := slices.IndexFunc(f.hosts, func(h *simHost) bool { return h.name == name })
	return name == f.rival || index >= 0 && index%2 == 1
}

// Ask implements Transport.
func (f *fleet) Ask(ctx context.Context, peer string, question []byte) ([]byte, error) {
	time.Sleep(2 * peerDelay)
	for _, h := range f.hosts {
		if h.name == peer && !f.down[peer] {
			return h.registry.Answer(question)
		}
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

// serve runs one request at a host: on a random replica that the registry allows.
func (h *simHost) serve() {
	f := h.fleet
	h.registry.Prepare(context.Background(), f.service)
	var usable []wire.ReplicaID
	for _, r := range f.service.Shards[0].Replicas {
		if h.registry.Allows(r.Addr) {
			usable = append(usable, r.Addr)
		}
	}
	if len(usable) == 0 {
		f.refuse()
		return
	}
	id := f.leastBusy(usable)
	if !h.registry.Take(id) {
		f.refuse()
		return
	}
	sentAt := time.Now()
	f.begin(id, h.name)
	time.Sleep(f.work)
	h.registry.Observe(id, f.end(id, h.name), time.Since(sentAt))
}

func (f *fleet) refuse() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refused++
}

// begin records a request that a replica gets from a host.
func (f *fleet) begin(id wire.ReplicaID, host string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, now := f.replicas[id], time.Now()
	r.running++
	r.all = append(r.all, now)
	if now.Sub(f.began) > time.Second {
		r.received++
	}
	if told, ok := r.told[host]; ok && now.Sub(told) > 500*time.Millisecond {
		r.arrivals = append(r.arrivals, now)
	}
}

// end records the answer of a replica to a host, and returns the limit that it advertises.
func (f *fleet) end(id wire.ReplicaID, host string) wire.RateLimit {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.replicas[id]
	r.running--
	if r.perSecond == 0 {
		return wire.RateLimit{State: wire.RateUnlimited}
	}
	if _, ok := r.told[host]; !ok {
		r.told[host] = time.Now()
	}
	return wire.RateLimit{State: wire.RateLimited, PerSecond: r.perSecond}
}

// leastBusy returns the replica with the fewest running requests, at random among equals.
func (f *fleet) leastBusy(usable []wire.ReplicaID) wire.ReplicaID {
	f.mu.Lock()
	defer f.mu.Unlock()
	rand.Shuffle(len(usable), func(i, j int) { usable[i], usable[j] = usable[j], usable[i] })
	return slices.MinFunc(usable, func(a, b wire.ReplicaID) int { return f.replicas[a].running - f.replicas[b].running })
}

// relay passes the limits of the leaders on to the hosts that follow them.
func (f *fleet) relay() {
	for _, leader := range f.leaders("") {
		for _, h := range f.hosts {
			if h.dataCentre == leader.DataCentre && !f.down[leader.PeerAddr] {
				limits, _ := f.host(leader.PeerAddr).registry.Since(0)
				_ = h.registry.Learn(limits)
			}
		}
	}
}

func (f *fleet) host(name string) *simHost {
	index := slices.IndexFunc(f.hosts, func(h *simHost) bool { return h.name == name })
	return f.hosts[index]
}

// relayInterval is the time between two polls of a leader by the hosts.
const relayInterval = 400 * time.Millisecond

// run sends the load to random hosts for some time.
func (f *fleet) run(d simDeployment, length time.Duration) {
	relayAt := time.Now()
	for end := time.Now().Add(length); time.Now().Before(end); {
		if time.Since(relayAt) > relayInterval {
			f.relay()
			relayAt = time.Now()
		}
		time.Sleep(time.Duration(rand.ExpFloat64() / d.load * float64(time.Second)))
		h := f.hosts[rand.IntN(len(f.hosts))]
		if !f.down[h.name] {
			go h.serve()
		}
	}
	time.Sleep(time.Second) // for the goroutines of the last requests
	synctest.Wait()
}

// mostInWindow returns the most arrivals in limitWindow after settleTime.
func (r *simReplica) mostInWindow(began time.Time) int {
	most, first := 0, 0
	for i, at := range r.arrivals {
		for at.Sub(r.arrivals[first]) > limitWindow || r.arrivals[first].Before(began.Add(settleTime)) && first < i {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

var simDeployments = map[string]simDeployment{
	"8 hosts, slow":             {dataCentres: 3, hosts: 8, replicas: 5, perSecond: 1, load: 22, work: 220 * time.Millisecond},
	"8 hosts, one spared":       {dataCentres: 3, hosts: 8, replicas: 13, perSecond: 1, unlimited: 1, load: 22, work: 220 * time.Millisecond},
	"8 hosts, half of the rate": {dataCentres: 3, hosts: 8, replicas: 2, perSecond: 26.6, load: 90, work: 20 * time.Millisecond},
	"195 hosts":                 {dataCentres: 5, hosts: 195, replicas: 5, perSecond: 1.2, load: 24, work: 160 * time.Millisecond},
	"195 hosts, near zero":      {dataCentres: 5, hosts: 195, replicas: 5, perSecond: 0.1, load: 24, work: 160 * time.Millisecond},
	"9 hosts, overload":         {dataCentres: 3, hosts: 9, replicas: 3, perSecond: 20, load: 400, work: 10 * time.Millisecond},
	"2 hosts, fast":             {dataCentres: 1, hosts: 2, replicas: 2, perSecond: 200, load: 1000, work: 5 * time.Millisecond},
}

// Guards against limits that each host keeps by itself: the sum over the hosts exceeds
// them, the more hosts there are. Guards also against limits that are hardly used.
func TestHostsTogetherKeepLimits(t *testing.T) {
	for name, d := range simDeployments {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f := newFleet(t, d)
				f.run(d, 20*time.Second)
				f.expectLimitsKept(g, d)
				total := 0
				for dc := range d.dataCentres {
					total += f.received("dc" + strconv.Itoa(dc))
				}
				used := float64(total) / (max(minRate, d.perSecond) * float64(d.replicas-d.unlimited) * 19)
				t.Logf("used %.2f of the limits, refused %d", used, f.refused)
				g.Expect(used).To(BeNumerically(">=", 0.5))
			})
		})
	}
}

// Guards against hosts that send without a bound, or not at all, while the host that
// grants the permits is gone, and against a new one that grants a saved-up burst.
func TestLimitsHoldWhileTheGrantorIsGone(t *testing.T) {
	for name, d := range simDeployments {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f := newFleet(t, d)
				f.run(d, 8*time.Second)
				f.down["host0"] = true
				before := f.received("dc0")
				f.run(d, 8*time.Second)
				if d.perSecond > 10 {
					g.Expect(f.received("dc0")).To(BeNumerically(">", before), "replicas of the grantor's data centre")
				}
				f.addHost(t, "host0", "dc0", d.hosts).leadsSince = time.Since(f.began)
				f.down["host0"] = false
				f.run(d, 8*time.Second)
				f.expectLimitsKept(g, d)
			})
		})
	}
}

// Guards against two hosts that both grant the whole limit: a leader that does not know
// yet that another host has taken its seat, as after a restoration of the store that has
// lost the seat.
func TestLimitsHoldWhileTwoHostsGrant(t *testing.T) {
	for name, d := range simDeployments {
		if d.hosts <= d.dataCentres {
			continue // no data centre has two hosts
		}
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f := newFleet(t, d)
				f.run(d, 8*time.Second)
				rival := f.hosts[d.dataCentres] // the second host of dc0
				rival.leadsSince = time.Since(f.began)
				f.rival = rival.name
				f.run(d, handoverTime)
				f.hosts[0], f.hosts[d.dataCentres] = rival, f.hosts[0]
				f.rival = ""
				f.run(d, 8*time.Second)
				f.expectLimitsKept(g, d)
			})
		})
	}
}

// received returns the requests that the limited replicas of a data centre got.
func (f *fleet) received(dataCentre string) int {
	n := 0
	for _, r := range f.replicas {
		if r.dataCentre == dataCentre && r.perSecond > 0 {
			n += r.received
		}
	}
	return n
}

// expectLimitsKept checks the users' bound for each limited replica.
func (f *fleet) expectLimitsKept(g *WithT, d simDeployment) {
	bound := int(limitFactor*d.perSecond*limitWindow.Seconds()) + limitSlack
	for id, r := range f.replicas {
		if r.perSecond > 0 {
			g.Expect(r.mostInWindow(f.began)).To(BeNumerically("<=", bound), string(id))
		}
	}
}
