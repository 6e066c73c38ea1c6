package lead

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

type awayError struct{}

func (awayError) Error() string { return "registry is away" }

// store holds the seats of all hosts, with leases in virtual time.
type store struct {
	mu       sync.Mutex
	revision uint64
	seats    map[string]entry
	away     bool
	refuses  map[string]bool // hosts that it turns away
	calls    int
}

type entry struct {
	seat  Seat
	until time.Time
}

// registry is the store as one host sees it.
type registry struct {
	store *store
	host  string
}

func key(s Seat) string { return fmt.Sprint(s.DataCentre, s.Number) }

func (r *registry) do(change func(s *store) error) error {
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	r.store.calls++
	if r.store.away || r.store.refuses[r.host] {
		return awayError{}
	}
	for k, e := range r.store.seats {
		if time.Now().After(e.until) {
			delete(r.store.seats, k)
		}
	}
	return change(r.store)
}

func (r *registry) Seats(context.Context, bool) (seats []Seat, err error) {
	err = r.do(func(s *store) error {
		for _, e := range s.seats {
			seats = append(seats, e.seat)
		}
		return nil
	})
	return seats, err
}

func (r *registry) Take(_ context.Context, seat Seat, revision uint64) (next uint64, err error) {
	err = r.do(func(s *store) error {
		if s.seats[key(seat)].seat.Revision != revision {
			return &TakenError{Seat: seat.Number}
		}
		s.revision++
		seat.Revision, next = s.revision, s.revision
		s.seats[key(seat)] = entry{seat: seat, until: time.Now().Add(LeaseLife)}
		return nil
	})
	return next, err
}

func (r *registry) Update(ctx context.Context, seat Seat) (uint64, error) {
	return r.Take(ctx, seat, seat.Revision)
}

func (r *registry) Renew(context.Context) (alive bool, err error) {
	err = r.do(func(s *store) error {
		for k, e := range s.seats {
			if e.seat.Name == r.host {
				e.until, alive = time.Now().Add(LeaseLife), true
				s.seats[k] = e
			}
		}
		return nil
	})
	return alive, err
}

func (r *registry) Leave(context.Context) error {
	return r.do(func(s *store) error {
		for k, e := range s.seats {
			if e.seat.Name == r.host {
				delete(s.seats, k)
			}
		}
		return nil
	})
}

// fleet is a number of hosts that follow each other.
type fleet struct {
	g     *WithT
	store *store
	hosts map[string]*member
}

type member struct {
	agent *Agent
	stop  context.CancelFunc
	done  chan struct{}
}

func newFleet(t *testing.T) *fleet {
	return &fleet{g: NewWithT(t), store: &store{seats: map[string]entry{}, refuses: map[string]bool{}}, hosts: map[string]*member{}}
}

func (f *fleet) add(name, dc string, cores float64) {
	agent, err := New(Options{
		Registry: &registry{store: f.store, host: name},
		Host:     Host{Name: name, DataCentre: dc, Peers: name, Cores: cores},
		OnFleet:  func(Fleet) {},
	})
	f.g.Expect(err).NotTo(HaveOccurred())
	ctx, stop := context.WithCancel(context.Background())
	m := &member{agent: agent, stop: stop, done: make(chan struct{})}
	f.store.mu.Lock()
	f.hosts[name] = m
	f.store.mu.Unlock()
	go func() { defer close(m.done); _ = agent.Run(ctx) }()
	go f.follow(ctx, name, agent, cores)
}

// fresh reports whether a host hears from the store.
func (f *fleet) fresh(name string) bool {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	return !f.store.away && !f.store.refuses[name]
}

func (f *fleet) member(name string) *member {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	return f.hosts[name]
}

// follow asks the leaders as the catalog does.
func (f *fleet) follow(ctx context.Context, name string, agent *Agent, cores float64) {
	for ctx.Err() == nil {
		time.Sleep(400 * time.Millisecond)
		if agent.Leads() && f.fresh(name) {
			continue
		}
		followed := false
		for _, peer := range agent.Peers() {
			other := f.member(peer)
			if other == nil || !other.agent.Leads() || !f.fresh(peer) {
				continue
			}
			other.agent.Asked(name, cores)
			agent.Learn(other.agent.Fleet())
			followed = true
			break
		}
		if !followed {
			agent.Orphaned()
		}
	}
}

// kill ends a host without its goodbye.
func (f *fleet) kill(name string) {
	m := f.member(name)
	f.store.mu.Lock()
	delete(f.hosts, name)
	f.store.refuses[name] = true
	f.store.mu.Unlock()
	m.stop()
	<-m.done
}

func (f *fleet) stop() {
	for _, m := range f.hosts {
		m.stop()
	}
	for _, m := range f.hosts {
		<-m.done
	}
	time.Sleep(time.Second)
}

func (f *fleet) calls() int {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	n := f.store.calls
	f.store.calls = 0
	return n
}

func (f *fleet) leaders() map[string]string {
	out := map[string]string{}
	for name, m := range f.hosts {
		if m.agent.Leads() {
			out[m.agent.options.Host.DataCentre] = name
		}
	}
	return out
}

// grown has the sizes of a data centre with two larger hosts, three times.
func grown(t *testing.T) *fleet {
	f := newFleet(t)
	for i := range 79 {
		cores := 0.192
		if i < 6 {
			cores = 0.8
		}
		f.add(fmt.Sprintf("h%02d", i), []string{"badin", "thatta", "tando"}[i%3], cores)
	}
	time.Sleep(20 * time.Second)
	return f
}

// Guards against calls to the store that grow with the hosts, against small
// hosts that lead while larger ones are there, and against a wrong number of
// hosts, by which they share the replicas.
func TestFewHostsLeadAndLargerOnesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := grown(t)
		defer f.stop()
		f.g.Expect(f.calls()).To(BeNumerically("<", 3*79), "the start")
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
		f.g.Expect(f.calls()).To(BeNumerically("<=", 6*60), "six seats, one renewal in 2.5 s and one list in 4 s each")
	})
}

// Guards against a data centre whose leader is gone and that nobody replaces.
func TestDeadLeaderIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := grown(t)
		defer f.stop()
		for _, name := range f.leaders() {
			f.kill(name)
		}
		f.calls()
		time.Sleep(takeOverAfter + mostSpread + LeaseLife)
		f.g.Expect(f.leaders()).To(HaveLen(3))
		f.g.Expect(f.calls()).To(BeNumerically("<", 4*79))
		time.Sleep(20 * time.Second)
		for _, m := range f.hosts {
			f.g.Expect(m.agent.Fleet().Hosts()).To(Equal(76))
		}
	})
}

// Guards against all hosts that ask an absent store at the same time, and
// against one that leads no more after its return.
func TestAbsentStoreIsAskedSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := grown(t)
		defer f.stop()
		f.calls()
		f.store.mu.Lock()
		f.store.away = true
		f.store.mu.Unlock()
		time.Sleep(10 * time.Second)
		f.g.Expect(f.calls()).To(BeNumerically("<", 79*6))
		f.store.mu.Lock()
		f.store.away, f.store.seats = false, map[string]entry{} // the leases lapsed
		f.store.mu.Unlock()
		time.Sleep(10 * time.Second)
		f.g.Expect(f.leaders()).To(HaveLen(3))
	})
}

// Guards against hosts that know of no change for longer than the users allow,
// 3 s, because the store turns all leaders away and serves the others: found as
// CONFIG on a day of huber-suche. Half of that time passes before the leaders'
// knowledge counts as old.
func TestRefusedLeadersAreReplacedInTime(t *testing.T) {
	for name, size := range map[string]struct {
		hosts int
		bound time.Duration
	}{"nine hosts": {9, 1500 * time.Millisecond}, "79 hosts, 5 s allowed": {79, 3500 * time.Millisecond}} {
		for phase := range 6 {
			t.Run(fmt.Sprint(name, ", phase ", phase), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					refuseLeaders(t, size.hosts, time.Duration(phase)*700*time.Millisecond, size.bound)
				})
			})
		}
	}
}

func refuseLeaders(t *testing.T, hosts int, phase, bound time.Duration) {
	f := newFleet(t)
	for i := range hosts {
		f.add(fmt.Sprintf("h%02d", i), []string{"badin", "thatta", "tando"}[i%3], 0.4)
	}
	defer f.stop()
	time.Sleep(20*time.Second + phase)
	f.store.mu.Lock()
	for _, seat := range f.hosts["h00"].agent.Fleet().Leaders() {
		f.store.refuses[seat.Name] = true
	}
	f.store.mu.Unlock()
	time.Sleep(bound)
	for name, m := range f.hosts {
		if !f.fresh(name) {
			continue
		}
		known := m.agent.Leads()
		for _, peer := range m.agent.Peers() {
			known = known || f.fresh(peer) && f.member(peer).agent.Leads()
		}
		f.g.Expect(known).To(BeTrue(), name+" has no leader to follow")
	}
}

// Guards against hosts that wait for the leases of processes that are gone, when
// all hosts lost power and are back: found as the worst seconds of a grown day.
func TestRestartedHostsTakeTheirSeatsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := grown(t)
		names := []string{}
		for name := range f.hosts {
			names = append(names, name)
		}
		for _, name := range names {
			f.kill(name)
		}
		time.Sleep(1200 * time.Millisecond)
		f.store.mu.Lock()
		f.store.refuses = map[string]bool{}
		f.store.mu.Unlock()
		f.calls()
		for i := range 79 {
			cores := 0.192
			if i < 6 {
				cores = 0.8
			}
			f.add(fmt.Sprintf("h%02d", i), []string{"badin", "thatta", "tando"}[i%3], cores)
		}
		defer f.stop()
		time.Sleep(300 * time.Millisecond)
		f.g.Expect(f.leaders()).To(HaveLen(3))
		f.g.Expect(f.calls()).To(BeNumerically("<", 3*79))
	})
}

// interrupted is a registry at which a peer tells of another holder during the
// calls that keep the seat.
type interrupted struct {
	registry
	agent *Agent
}

func (r *interrupted) tell() {
	seat := Seat{Host: Host{Name: "other", DataCentre: "badin", Peers: "other"}, Number: 1, Revision: 1 << 40}
	r.agent.Learn(Fleet{Seats: []Seat{seat}})
}

func (r *interrupted) Renew(context.Context) (bool, error) {
	r.tell()
	return false, nil
}

func (r *interrupted) Update(context.Context, Seat) (uint64, error) {
	r.tell()
	return 0, &TakenError{Seat: 1}
}

// Guards against a process that ends because its seat is lost while it renews
// or rewrites it.
func TestSeatLostDuringACall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := &interrupted{registry: registry{store: &store{seats: map[string]entry{}}, host: "h1"}}
		agent, err := New(Options{
			Registry: r, Host: Host{Name: "h1", DataCentre: "badin", Peers: "h1", Cores: 1}, OnFleet: func(Fleet) {},
		})
		g.Expect(err).NotTo(HaveOccurred())
		r.agent = agent
		for _, call := range []func(context.Context){agent.renew, agent.rewrite} {
			g.Expect(agent.take(t.Context(), 1, r.store.revision)).To(BeTrue())
			call(t.Context())
			g.Expect(agent.Leads()).To(BeFalse())
		}
		agent.rewrite(t.Context()) // without a seat
	})
}

// Guards against a seat that stays taken after a stop.
func TestStopGivesTheSeatUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.add("h1", "badin", 1)
		time.Sleep(time.Second)
		f.g.Expect(f.leaders()).To(HaveLen(1))
		f.stop()
		f.g.Expect(f.store.seats).To(BeEmpty())
	})
}

// Guards against hosts that take more than their share of a replica because
// others can't be heard for a moment.
func TestSmallerNumberOfHostsIsBelievedLate(t *testing.T) {
	g := NewWithT(t)
	var c Count
	now := time.Now()
	g.Expect(c.Update(8, now)).To(Equal(8))
	g.Expect(c.Update(3, now.Add(time.Second))).To(Equal(8))
	g.Expect(c.Update(9, now.Add(2*time.Second))).To(Equal(9))
	g.Expect(c.Update(5, now.Add(3*time.Second))).To(Equal(9))
	g.Expect(c.Update(2, now.Add(2*time.Second+keepCount))).To(Equal(5))
	g.Expect(c.Update(2, now.Add(2*time.Second+2*keepCount))).To(Equal(2))
}
