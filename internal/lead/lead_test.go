package lead

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/arbutusgauge/arbutusgauge/internal/history"
)

type unavailableError struct{}

func (unavailableError) Error() string { return "registry unavailable" }

// fakeStore holds the seats of all hosts, with leases in virtual time, and counts
// the calls.
type fakeStore struct {
	mu           sync.Mutex
	revision     uint64
	seats        map[string]seatEntry
	unavailable  bool
	refusedHosts map[string]bool // hosts whose calls fail
	calls        int
}

type seatEntry struct {
	seat     Seat
	leaseEnd time.Time
}

// fakeRegistry is the Registry of one host.
type fakeRegistry struct {
	store *fakeStore
	host  string
}

func seatKey(s Seat) string { return fmt.Sprint(s.DataCentre, s.Number) }

// call counts a call, drops ended leases and makes a change, unless the store
// refuses the host.
func (r *fakeRegistry) call(change func(s *fakeStore) error) error {
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	r.store.calls++
	if r.store.unavailable || r.store.refusedHosts[r.host] {
		return unavailableError{}
	}
	for k, e := range r.store.seats {
		if time.Now().After(e.leaseEnd) {
			delete(r.store.seats, k)
		}
	}
	return change(r.store)
}

func (r *fakeRegistry) Seats(context.Context, bool) (seats []Seat, err error) {
	err = r.call(func(s *fakeStore) error {
		for _, e := range s.seats {
			seats = append(seats, e.seat)
		}
		return nil
	})
	return seats, err
}

func (r *fakeRegistry) Take(_ context.Context, seat Seat, replaced history.Position) (at history.Position, err error) {
	err = r.call(func(s *fakeStore) error {
		if s.seats[seatKey(seat)].seat.Revision != replaced.Revision {
			return &TakenError{Seat: seat.Number}
		}
		s.revision++
		at = history.Position{Revision: s.revision}
		seat.Position = at
		s.seats[seatKey(seat)] = seatEntry{seat: seat, leaseEnd: time.Now().Add(LeaseDuration)}
		return nil
	})
	return at, err
}

func (r *fakeRegistry) Update(ctx context.Context, seat Seat) (history.Position, error) {
	return r.Take(ctx, seat, seat.Position)
}

func (r *fakeRegistry) Renew(context.Context) (alive bool, err error) {
	err = r.call(func(s *fakeStore) error {
		for k, e := range s.seats {
			if e.seat.Name == r.host {
				e.leaseEnd, alive = time.Now().Add(LeaseDuration), true
				s.seats[k] = e
			}
		}
		return nil
	})
	return alive, err
}

func (r *fakeRegistry) Leave(context.Context) error {
	return r.call(func(s *fakeStore) error {
		for k, e := range s.seats {
			if e.seat.Name == r.host {
				delete(s.seats, k)
			}
		}
		return nil
	})
}

// testFleet is a set of hosts with one store.
type testFleet struct {
	g     *WithT
	store *fakeStore
	hosts map[string]*testHost
}

type testHost struct {
	agent *Agent
	stop  context.CancelFunc
	done  chan struct{}
}

func newTestFleet(t *testing.T) *testFleet {
	return &testFleet{g: NewWithT(t), store: &fakeStore{seats: map[string]seatEntry{}, refusedHosts: map[string]bool{}}, hosts: map[string]*testHost{}}
}

func (f *testFleet) start(name, dc string, cores float64) {
	agent, err := New(Options{
		Registry: &fakeRegistry{store: f.store, host: name},
		Host:     Host{Name: name, DataCentre: dc, PeerAddr: name, Cores: cores},
		OnFleet:  func(Fleet) {},
	})
	f.g.Expect(err).NotTo(HaveOccurred())
	ctx, stop := context.WithCancel(context.Background())
	m := &testHost{agent: agent, stop: stop, done: make(chan struct{})}
	f.store.mu.Lock()
	f.hosts[name] = m
	f.store.mu.Unlock()
	go func() { defer close(m.done); _ = agent.Run(ctx) }()
	go f.pollLeaders(ctx, name, agent, cores)
}

// reachesStore reports whether the store answers a host.
func (f *testFleet) reachesStore(name string) bool {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	return !f.store.unavailable && !f.store.refusedHosts[name]
}

func (f *testFleet) host(name string) *testHost {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	return f.hosts[name]
}

// pollLeaders polls the leaders as the catalog does, until ctx ends.
func (f *testFleet) pollLeaders(ctx context.Context, name string, agent *Agent, cores float64) {
	for ctx.Err() == nil {
		time.Sleep(400 * time.Millisecond)
		if agent.Reads() && f.reachesStore(name) {
			continue
		}
		if slices.ContainsFunc(agent.Peers(), func(peer string) bool { return f.follow(name, peer, cores) }) {
			continue
		}
		agent.ReportLeaderless()
		others := agent.OtherPeers()
		for _, peer := range others[:min(len(others), 2)] {
			if other := f.host(peer); other != nil {
				agent.LearnHosts(other.agent.SampleHosts())
				agent.LearnSeats(other.agent.Fleet())
			}
		}
	}
}

// follow asks a peer for its state, as the host with the given name, and reports whether
// that can be followed.
func (f *testFleet) follow(name, peer string, cores float64) bool {
	host, other := f.host(name), f.host(peer)
	if host == nil || other == nil {
		return false
	}
	host.agent.LearnHosts(other.agent.SampleHosts())
	if !f.isFresh(peer) {
		host.agent.LearnSeats(other.agent.Fleet())
		return false
	}
	if !host.agent.Leads() {
		other.agent.RecordFollower(name, name, cores)
	}
	host.agent.AdoptFleet(other.agent.Fleet())
	return true
}

// isFresh reports whether a host has a fresh state: it reads the store, or it
// follows the host that does.
func (f *testFleet) isFresh(name string) bool {
	m := f.host(name)
	switch {
	case m == nil || !m.agent.Leads():
		return false
	case m.agent.Reads():
		return f.reachesStore(name)
	}
	first := m.agent.Peers()[0]
	other := f.host(first)
	return other != nil && other.agent.Reads() && f.reachesStore(first)
}

// readers returns the hosts that read the store.
func (f *testFleet) readers() (names []string) {
	for name, m := range f.hosts {
		if m.agent.Reads() {
			names = append(names, name)
		}
	}
	return names
}

// kill ends a host without a release of its seat.
func (f *testFleet) kill(name string) {
	m := f.host(name)
	f.store.mu.Lock()
	delete(f.hosts, name)
	f.store.refusedHosts[name] = true
	f.store.mu.Unlock()
	m.stop()
	<-m.done
}

func (f *testFleet) stop() {
	for _, m := range f.hosts {
		m.stop()
	}
	for _, m := range f.hosts {
		<-m.done
	}
	time.Sleep(time.Second)
}

// resetCalls returns the number of calls to the store since the last reset.
func (f *testFleet) resetCalls() int {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	n := f.store.calls
	f.store.calls = 0
	return n
}

// leaders returns the leading host of each data centre.
func (f *testFleet) leaders() map[string]string {
	out := map[string]string{}
	for name, m := range f.hosts {
		if m.agent.Leads() {
			out[m.agent.options.Host.DataCentre] = name
		}
	}
	return out
}

// startLargeFleet starts 79 hosts in three data centres, with two larger hosts in
// each, and waits until they have settled.
func startLargeFleet(t *testing.T) *testFleet {
	f := newTestFleet(t)
	for i := range 79 {
		cores := 0.192
		if i < 6 {
			cores = 0.8
		}
		f.start(fmt.Sprintf("h%02d", i), []string{"badin", "thatta", "tando"}[i%3], cores)
	}
	time.Sleep(20 * time.Second)
	return f
}

// Guards against calls to the store that grow with the number of hosts, against
// small hosts that lead although larger ones are there, and against a wrong
// count of hosts, which determines their share of the replicas.
func TestFewAndLargerHostsLead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startLargeFleet(t)
		defer f.stop()
		f.g.Expect(f.resetCalls()).To(BeNumerically("<", 3*79), "calls during the start")
		f.g.Expect(f.leaders()).To(HaveLen(3))
		for _, m := range f.hosts {
			known := m.agent.Fleet()
			f.g.Expect(known.Hosts()).To(Equal(79))
			f.g.Expect(known.Leaders()).To(HaveLen(3))
			f.g.Expect(known.Aggregators()).To(HaveLen(6))
			for _, seat := range known.Seats {
				f.g.Expect(seat.Cores).To(Equal(0.8))
			}
		}
		time.Sleep(60 * time.Second)
		f.g.Expect(f.resetCalls()).To(BeNumerically("<=", 6*60), "six seats, one renewal in 2.5 s and one list in 4 s each")
	})
}

// Guards against a dead leader that no host of its data centre replaces.
func TestDeadLeaderIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startLargeFleet(t)
		defer f.stop()
		for _, name := range f.leaders() {
			f.kill(name)
		}
		f.resetCalls()
		time.Sleep(takeOverDelay + maxJitter + LeaseDuration)
		f.g.Expect(f.leaders()).To(HaveLen(3))
		f.g.Expect(f.resetCalls()).To(BeNumerically("<", 4*79))
		time.Sleep(20 * time.Second)
		for _, m := range f.hosts {
			f.g.Expect(m.agent.Fleet().Hosts()).To(Equal(76))
		}
	})
}

// Guards against a burst of calls from all hosts to an unavailable store, and
// against data centres without a leader after its return.
func TestUnavailableStoreGetsFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startLargeFleet(t)
		defer f.stop()
		f.resetCalls()
		f.store.mu.Lock()
		f.store.unavailable = true
		f.store.mu.Unlock()
		time.Sleep(10 * time.Second)
		f.g.Expect(f.resetCalls()).To(BeNumerically("<", 79*6))
		f.store.mu.Lock()
		f.store.unavailable, f.store.seats = false, map[string]seatEntry{} // the leases lapsed
		f.store.mu.Unlock()
		time.Sleep(10 * time.Second)
		f.g.Expect(f.leaders()).To(HaveLen(3))
	})
}

// Guards against hosts that learn of no change for longer than the 3 s that users
// allow, because the store refuses all leaders but serves the other hosts. Half
// of that time passes before the leaders' state counts as stale.
func TestLeadersRefusedByStoreAreReplacedInTime(t *testing.T) {
	for name, size := range map[string]struct {
		hosts int
		bound time.Duration
	}{"nine hosts": {9, 1500 * time.Millisecond}, "79 hosts, 5 s allowed": {79, 3500 * time.Millisecond}} {
		for phase := range 6 {
			t.Run(fmt.Sprint(name, ", phase ", phase), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					checkRefusedLeaders(t, size.hosts, time.Duration(phase)*700*time.Millisecond, size.bound)
				})
			})
		}
	}
}

func checkRefusedLeaders(t *testing.T, hosts int, phase, bound time.Duration) {
	f := newTestFleet(t)
	for i := range hosts {
		f.start(fmt.Sprintf("h%02d", i), []string{"badin", "thatta", "tando"}[i%3], 0.4)
	}
	defer f.stop()
	time.Sleep(20*time.Second + phase)
	f.store.mu.Lock()
	for _, seat := range f.hosts["h00"].agent.Fleet().Leaders() {
		f.store.refusedHosts[seat.Name] = true
	}
	f.store.mu.Unlock()
	time.Sleep(bound)
	for name, m := range f.hosts {
		if !f.reachesStore(name) {
			continue
		}
		known := m.agent.Leads()
		for _, peer := range m.agent.Peers() {
			known = known || f.reachesStore(peer) && f.host(peer).agent.Leads()
		}
		f.g.Expect(known).To(BeTrue(), name+" has no leader to follow")
	}
}

// Guards against hosts that the store refuses and that find no leader, because the
// store refuses all leaders and reserves that they know as well, while the other hosts
// have replaced these.
func TestRefusedHostsFindTheNewLeaders(t *testing.T) {
	for phase := range 6 {
		t.Run(fmt.Sprint("phase ", phase), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startLargeFleet(t)
				defer f.stop()
				time.Sleep(time.Duration(phase) * 700 * time.Millisecond)
				f.store.mu.Lock()
				for _, seat := range f.hosts["h00"].agent.Fleet().Seats {
					f.store.refusedHosts[seat.Name] = true
				}
				for i := 0; i < 79; i += 3 {
					f.store.refusedHosts[fmt.Sprintf("h%02d", i+i%2)] = true
				}
				f.store.mu.Unlock()
				// The users allow 5 s, of which the leaders' state counts as fresh for 1.5 s.
				time.Sleep(3500 * time.Millisecond)
				for name, m := range f.hosts {
					known := f.isFresh(name) || slices.ContainsFunc(m.agent.Peers(), f.isFresh)
					f.g.Expect(known).To(BeTrue(), name+" has no leader to follow")
				}
			})
		})
	}
}

// Guards against a host that keeps a seat, or polls leaders, that were replaced long
// ago, because only hosts without a fresh state can tell it.
func TestLaterSeatsOfAStalePeerAreLearned(t *testing.T) {
	g := NewWithT(t)
	agent, err := New(Options{
		Registry: &fakeRegistry{store: &fakeStore{seats: map[string]seatEntry{}}, host: "h1"},
		Host:     Host{Name: "h1", DataCentre: "badin", PeerAddr: "h1", Cores: 1}, OnFleet: func(Fleet) {},
	})
	g.Expect(err).NotTo(HaveOccurred())
	seat := func(name, dc string, revision uint64) Seat {
		return Seat{Host: Host{Name: name, DataCentre: dc, PeerAddr: name}, Number: 1, Position: history.Position{Revision: revision}, Hosts: 1}
	}
	own := seat("h1", "badin", 22)
	agent.ownSeat = &own
	agent.AdoptFleet(Fleet{Seats: []Seat{seat("h4", "thatta", 26), seat("h8", "tando", 30)}})
	agent.ReportLeaderless()
	agent.LearnSeats(Fleet{Seats: []Seat{seat("h0", "badin", 37), seat("h9", "thatta", 41), seat("h7", "tando", 29)}})
	g.Expect(agent.Leads()).To(BeFalse())
	g.Expect(agent.Peers()).To(ConsistOf("h0", "h9", "h8"))
}

// Guards against memory that grows with the hosts that poll this one, and against a
// host that names itself.
func TestKnownHostsAreBounded(t *testing.T) {
	g := NewWithT(t)
	agent, err := New(Options{
		Registry: &fakeRegistry{store: &fakeStore{seats: map[string]seatEntry{}}, host: "h1"},
		Host:     Host{Name: "h1", DataCentre: "badin", PeerAddr: "h1", Cores: 1}, OnFleet: func(Fleet) {},
		Seeds: []string{"seed", "h1"},
	})
	g.Expect(err).NotTo(HaveOccurred())
	for i := range 100 {
		agent.RecordFollower("follower", fmt.Sprint("f", i), 1)
	}
	agent.LearnHosts([]string{"h1", "", "other"})
	g.Expect(agent.SampleHosts()).To(HaveLen(maxKnownHosts))
	g.Expect(agent.OtherPeers()).To(ContainElements("seed", "other"))
	g.Expect(agent.OtherPeers()).NotTo(ContainElement("h1"))
}

// Guards against hosts that wait for the end of the leases of their earlier
// processes when all hosts restart after a power loss.
func TestRestartedHostsRetakeTheirSeatsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startLargeFleet(t)
		names := []string{}
		for name := range f.hosts {
			names = append(names, name)
		}
		for _, name := range names {
			f.kill(name)
		}
		time.Sleep(1200 * time.Millisecond)
		f.store.mu.Lock()
		f.store.refusedHosts = map[string]bool{}
		f.store.mu.Unlock()
		f.resetCalls()
		for i := range 79 {
			cores := 0.192
			if i < 6 {
				cores = 0.8
			}
			f.start(fmt.Sprintf("h%02d", i), []string{"badin", "thatta", "tando"}[i%3], cores)
		}
		defer f.stop()
		time.Sleep(300 * time.Millisecond)
		f.g.Expect(f.leaders()).To(HaveLen(3))
		f.g.Expect(f.resetCalls()).To(BeNumerically("<", 3*79))
	})
}
