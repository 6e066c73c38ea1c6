package lead

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
)

const (
	// tick is the time between two looks at what is due.
	tick       = 50 * time.Millisecond
	renewEvery = 2500 * time.Millisecond
	// listEvery is the time between two looks of a holder at the other seats.
	listEvery = 4 * time.Second
	// firstList is the delay of the first such look: hosts that start together
	// take their seats within a moment.
	firstList = 500 * time.Millisecond
	// publishEvery is the least time between two writes of the own entry.
	publishEvery = 2 * time.Second
	callTimeout  = time.Second

	// startDelay is the delay of the first look at the seats on a whole core; a
	// smaller host waits longer, so that larger ones take the seats.
	startDelay = 25 * time.Millisecond
	// lostSpread, for each known host, is the range of the random delay after
	// which a host that lost every leader looks at the store, so that up to
	// mostLost/lostSpread hosts look at the same rate together.
	lostSpread = 25 * time.Millisecond
	// mostLost bounds that delay: what the operators change must be known here
	// within seconds, although every leader is lost.
	mostLost = 2 * time.Second
	// vacantSpread is the range for a seat that is vacant or held by a much smaller
	// host while another leader can be followed. mostSpread bounds every delay.
	vacantSpread = 100 * time.Millisecond
	mostSpread   = 8 * time.Second
	// mostDoublings bounds how often the delay doubles after failed looks.
	mostDoublings = 2
	// unknownHosts is assumed until the hosts are counted.
	unknownHosts = 8

	// takeOverAfter is how long a host must know the holder of the first seat
	// before it takes that seat over: a holder that starts has nothing to tell yet.
	takeOverAfter = time.Second
	// heardFor is how long a host that asked counts as a follower.
	heardFor = 1500 * time.Millisecond
	// keepCount is how long a smaller number of hosts is not believed: hosts that
	// are cut off for a moment still share the replicas.
	keepCount = 12 * time.Second
)

// Agent takes and keeps a seat if one is due, and knows the others. It is safe
// for concurrent use.
type Agent struct {
	options Options

	mu      sync.Mutex
	fleet   Fleet
	mine    *Seat // the seat that this host holds
	askers  map[string]asker
	probeAt time.Time // the next look at the seats; zero: none is due
	// probedAt is the time of the last look that found holders.
	probedAt time.Time
	failed   int       // looks in a row that failed
	lostAt   time.Time // of the registry; zero while it answers
	// orphanAt is since when no leader can be followed; zero while one can.
	orphanAt time.Time
	// first is the holder of the first seat of the data centre, known since
	// firstAt.
	first   string
	firstAt time.Time
}

// asker is a host that follows this one.
type asker struct {
	at    time.Time
	cores float64
}

// New returns an agent, or *OptionError.
func New(options Options) (*Agent, error) {
	if err := options.Validate(); err != nil {
		return nil, err
	}
	return &Agent{options: options, askers: map[string]asker{}}, nil
}

// Fleet returns what is known of all hosts.
func (a *Agent) Fleet() Fleet {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.fleet
}

// Leads reports whether this host follows the store itself.
func (a *Agent) Leads() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.leads()
}

func (a *Agent) leads() bool {
	if a.mine == nil {
		return false
	}
	first := a.fleet.first(a.options.Host.DataCentre)
	return first.Name == a.options.Host.Name
}

// Peers returns the addresses of the hosts to follow, that of the own data
// centre first and the others in random order.
func (a *Agent) Peers() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var near, far []string
	for _, seat := range a.fleet.Leaders() {
		switch {
		case seat.Name == a.options.Host.Name || seat.Peers == "":
		case seat.DataCentre == a.options.Host.DataCentre:
			near = append(near, seat.Peers)
		default:
			far = append(far, seat.Peers)
		}
	}
	rand.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	return append(near, far...)
}

// Learn takes what a followed host knows of the fleet.
func (a *Agent) Learn(fleet Fleet) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.orphanAt = time.Time{}
	a.set(fleet)
	a.lookAtSeats(time.Now())
}

// set takes a list of seats. The own seat is what this host knows of it. The
// caller holds mu.
func (a *Agent) set(fleet Fleet) {
	next := Fleet{}
	for _, seat := range fleet.Seats {
		if a.mine != nil && a.sameSeat(seat) {
			if seat.Revision > a.mine.Revision && seat.Name != a.options.Host.Name {
				a.options.Logger.WithFields(log.Fields{"seat": a.mine.Number, "holder": seat.Name}).Info("seat lost to another host")
				a.mine = nil
			} else {
				continue
			}
		}
		if seat.Name != a.options.Host.Name {
			next.Seats = append(next.Seats, seat)
		}
	}
	if a.mine != nil {
		next.Seats = append(next.Seats, *a.mine)
	}
	a.publish(next)
}

func (a *Agent) sameSeat(seat Seat) bool {
	return seat.DataCentre == a.mine.DataCentre && seat.Number == a.mine.Number
}

// publish puts a fleet into use. The caller holds mu.
func (a *Agent) publish(next Fleet) {
	next = next.normalize()
	if next.equal(a.fleet) {
		return
	}
	if first := next.first(a.options.Host.DataCentre).Name; first != a.first {
		a.first, a.firstAt = first, time.Now()
	}
	a.fleet = next
	a.options.OnFleet(next)
}

// lookAtSeats schedules a look if a seat of the own data centre is vacant or
// held by a much smaller host. The caller holds mu.
func (a *Agent) lookAtSeats(now time.Time) {
	if a.mine != nil || !a.probeAt.IsZero() || a.wanted(a.fleet) == 0 {
		return
	}
	a.probeAt = now.Add(a.spread(vacantSpread))
	if again := a.probedAt.Add(listEvery); a.probeAt.Before(again) {
		// The followed host may not have seen yet what this host has.
		a.probeAt = again.Add(a.spread(vacantSpread))
	}
}

// wanted returns the number of a seat that this host should take; 0: none.
func (a *Agent) wanted(fleet Fleet) int {
	dc := a.options.Host.DataCentre
	if a.options.Host.Peers == "" {
		return 0
	}
	for number := 1; number <= fleet.seats(dc); number++ {
		holder := fleet.seat(dc, number)
		if holder.Name == "" || a.options.Host.Cores >= LargerBy*holder.Cores {
			return number
		}
	}
	return 0
}

// spread returns a random delay for one of many hosts. The caller holds mu.
func (a *Agent) spread(perHost time.Duration) time.Duration {
	hosts := a.fleet.Hosts()
	if hosts == 0 {
		hosts = unknownHosts
	}
	limit := min(mostSpread, time.Duration(hosts)*perHost)
	return time.Duration(rand.Int64N(int64(limit)))
}

// Orphaned says that no known leader has fresh knowledge.
func (a *Agent) Orphaned() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leads() {
		return
	}
	if a.orphanAt.IsZero() {
		a.orphanAt = time.Now()
		a.options.Logger.WithField("hosts", a.fleet.Hosts()).Info("no leader to follow")
	}
	if a.probeAt.IsZero() {
		now := time.Now()
		a.probeAt = now.Add(min(mostLost, a.spread(lostSpread)))
		if again := a.probedAt.Add(takeOverAfter); a.probeAt.Before(again) {
			// The holders that the last look found may still be starting.
			a.probeAt = again.Add(min(mostLost, a.spread(lostSpread)))
		}
	}
}

// Run takes part until ctx ends and then gives the seat up. It returns nil.
func (a *Agent) Run(ctx context.Context) error {
	a.mu.Lock()
	a.orphanAt = time.Now()
	delay := float64(startDelay) / max(a.options.Host.Cores, 0.1)
	a.probeAt = time.Now().Add(time.Duration(delay * (1 + rand.Float64()/2)))
	a.mu.Unlock()
	var renewAt, listAt, publishAt time.Time
	for ctx.Err() == nil {
		now := time.Now()
		if a.holds() {
			if !now.Before(renewAt) {
				a.renew(ctx)
				renewAt = now.Add(renewEvery)
			}
			if !now.Before(listAt) {
				a.list(ctx)
				listAt = now.Add(listEvery)
			}
			if !now.Before(publishAt) && a.recount(now) {
				a.rewrite(ctx)
				publishAt = now.Add(publishEvery)
			}
		}
		if a.probeDue(now) && a.probe(ctx) {
			renewAt, listAt = now.Add(renewEvery), now.Add(firstList)
		}
		sleep(ctx, tick)
	}
	a.leave()
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// held returns the seat that this host holds. A peer may tell of its loss at any
// time.
func (a *Agent) held() (Seat, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.mine == nil {
		return Seat{}, false
	}
	return *a.mine, true
}

func (a *Agent) holds() bool {
	_, ok := a.held()
	return ok
}

// probeDue reports whether a look at the seats is due. One that nothing asks
// for any more is dropped.
func (a *Agent) probeDue(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.probeAt.IsZero() || now.Before(a.probeAt) {
		return false
	}
	a.probeAt = time.Time{}
	return !a.orphanAt.IsZero() && !a.leads() || a.mine == nil && a.wanted(a.fleet) != 0
}

// probe looks at the seats and takes one if it should. It reports whether it did.
func (a *Agent) probe(ctx context.Context) bool {
	limit, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	seats, err := a.options.Registry.Seats(limit, false)
	if a.noted(ctx, err) {
		return false
	}
	a.mu.Lock()
	a.set(Fleet{Seats: seats})
	if len(seats) > 0 {
		a.probedAt = time.Now()
	}
	number := a.choose(seats, time.Now())
	a.mu.Unlock()
	if number == 0 {
		return false
	}
	holder := Fleet{Seats: seats}.seat(a.options.Host.DataCentre, number)
	return a.take(limit, number, holder.Revision)
}

// choose returns the seat that this host should take, 0 for none. The caller
// holds mu.
func (a *Agent) choose(seats []Seat, now time.Time) int {
	if a.mine == nil {
		if number := a.former(seats); number != 0 {
			return number
		}
		if number := a.wanted(a.fleet); number != 0 {
			return number
		}
	}
	return a.replacement(now)
}

// former returns the seat that an earlier process of this host holds, 0 for
// none. Nobody answers there until this process takes it.
func (a *Agent) former(seats []Seat) int {
	for _, seat := range seats {
		if seat.Name == a.options.Host.Name && seat.DataCentre == a.options.Host.DataCentre {
			return seat.Number
		}
	}
	return 0
}

// replacement returns the seat to take over when no leader can be followed:
// the first one of the data centre, unless its holder may still be starting. The
// caller holds mu.
func (a *Agent) replacement(now time.Time) int {
	if a.orphanAt.IsZero() || a.leads() || a.options.Host.Peers == "" || now.Sub(a.firstAt) < takeOverAfter {
		return 0
	}
	return a.fleet.first(a.options.Host.DataCentre).Number
}

// take takes a seat and reports whether it did. An earlier one is left to the end
// of its lease.
func (a *Agent) take(ctx context.Context, number int, revision uint64) bool {
	seat := Seat{Host: a.options.Host, Number: number, Hosts: 1, LeastCores: a.options.Host.Cores}
	next, err := a.options.Registry.Take(ctx, seat, revision)
	var taken *TakenError
	if errors.As(err, &taken) {
		// The next look finds the new holder.
		a.mu.Lock()
		a.probeAt = time.Now().Add(tick)
		a.mu.Unlock()
		return false
	}
	if a.noted(ctx, err) {
		return false
	}
	seat.Revision = next
	a.mu.Lock()
	a.mine, a.orphanAt = &seat, time.Time{}
	a.set(a.fleet)
	leads := a.leads()
	a.mu.Unlock()
	a.options.Logger.WithFields(log.Fields{"seat": number, "leads": leads, "replaced_revision": revision}).Info("seat taken")
	return true
}

// noted logs when the registry is lost and regained, and schedules another look
// after a failure.
func (a *Agent) noted(ctx context.Context, err error) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	switch {
	case ctx.Err() != nil && err != nil && errors.Is(ctx.Err(), context.Canceled):
	case err != nil:
		if a.lostAt.IsZero() {
			a.lostAt = now
			a.options.Logger.WithError(err).Warn("seats of the entry hosts not reached")
		}
		a.probeAt = now.Add(min(mostSpread, min(mostLost, a.spread(lostSpread))<<a.failed+tick))
		a.failed = min(a.failed+1, mostDoublings)
	case !a.lostAt.IsZero():
		a.options.Logger.WithField("away", now.Sub(a.lostAt)).Info("seats of the entry hosts reached again")
		a.lostAt, a.failed = time.Time{}, 0
	}
	return err != nil
}

// renew keeps the own seat, or gives it up when its lease has ended.
func (a *Agent) renew(ctx context.Context) {
	limit, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	alive, err := a.options.Registry.Renew(limit)
	if a.noted(ctx, err) || alive {
		return
	}
	a.lose("seat lapsed")
}

// lose gives the own seat up, unless a peer has told of its loss meanwhile.
func (a *Agent) lose(event string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.mine == nil {
		return
	}
	a.options.Logger.WithField("seat", a.mine.Number).Info(event)
	a.mine = nil
	a.set(a.fleet)
	a.probeAt = time.Now()
}

// list looks at the other seats.
func (a *Agent) list(ctx context.Context) {
	limit, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	seats, err := a.options.Registry.Seats(limit, true)
	if a.noted(ctx, err) {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.set(Fleet{Seats: seats})
}

// rewrite writes the own entry with the present count.
func (a *Agent) rewrite(ctx context.Context) {
	seat, ok := a.held()
	if !ok {
		return
	}
	limit, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	revision, err := a.options.Registry.Update(limit, seat)
	var taken *TakenError
	switch {
	case errors.As(err, &taken):
		a.lose("seat lost to another host")
	case a.noted(ctx, err):
	default:
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.mine != nil {
			a.mine.Revision = revision
			a.set(a.fleet)
		}
	}
}

func (a *Agent) leave() {
	if !a.holds() {
		return
	}
	limit, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := a.options.Registry.Leave(limit); err != nil {
		a.options.Logger.WithError(err).Warn("seat not given up")
	}
}
