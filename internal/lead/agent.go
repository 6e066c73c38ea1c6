package lead

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"
)

const (
	// checkInterval is the time between two checks for due work.
	checkInterval = 50 * time.Millisecond
	renewInterval = 2500 * time.Millisecond
	// listInterval is the time between two reads of the other seats by a holder.
	listInterval = 4 * time.Second
	// firstListDelay is the delay of the first such read after a seat was taken.
	// It is short because hosts that start together take their seats at nearly the
	// same time.
	firstListDelay = 500 * time.Millisecond
	// minUpdateInterval is the least time between two updates of the own entry.
	minUpdateInterval = 2 * time.Second
	callTimeout       = time.Second

	// startProbeDelay is the delay of the first probe of a host with one core. A
	// probe reads the seats from the store and takes one if this host should.
	// The delay is in inverse proportion to the cores, so that larger hosts take
	// the seats.
	startProbeDelay = 25 * time.Millisecond
	// leaderlessJitterPerHost times the number of known hosts is the range of the
	// random delay before a host without any leader probes. Up to
	// maxLeaderlessJitter/leaderlessJitterPerHost hosts, the rate of all probes
	// together does not depend on the number of hosts.
	leaderlessJitterPerHost = 25 * time.Millisecond
	// maxLeaderlessJitter limits that delay: changes by operators must arrive
	// within seconds even if every leader is lost.
	maxLeaderlessJitter = 2 * time.Second
	// vacantJitterPerHost replaces leaderlessJitterPerHost if a leader can be
	// followed and the probe is only for a seat that is vacant or held by a much
	// smaller host. maxJitter limits every delay.
	vacantJitterPerHost = 100 * time.Millisecond
	maxJitter           = 8 * time.Second
	// maxJitterDoublings limits how often the delay doubles after failed calls.
	maxJitterDoublings = 2
	// assumedHosts is the assumed number of hosts until they are counted.
	assumedHosts = 8

	// takeOverDelay is how long a host must have known the holder of the first
	// seat before it takes that seat over: a holder that has just started has no
	// state to serve yet.
	takeOverDelay = time.Second
	// firstReaderRetry is how long a leader reads the store itself after it could
	// not follow the first reader. The retry is a gap of one failed poll.
	firstReaderRetry = 5 * time.Second
	// followerTTL is how long a host counts as a follower after its last poll.
	followerTTL = 1500 * time.Millisecond
	// countRetention is how long a smaller number of hosts is ignored: hosts that
	// are cut off for a short time still use their share of the replicas.
	countRetention = 12 * time.Second
)

// Agent takes and keeps a seat for its host if the data centre needs one, and
// knows the seats of the other hosts. It is safe for concurrent use.
type Agent struct {
	options Options

	mu          sync.Mutex
	fleet       Fleet
	ownSeat     *Seat               // the seat that this host holds; nil: none
	followers   map[string]follower // by host name
	knownHosts  []string            // addresses of some other hosts; see OtherPeers
	nextProbeAt time.Time           // zero: no probe is scheduled
	// lastProbeAt is the time of the last probe that found a taken seat.
	lastProbeAt    time.Time
	failedCalls    int       // failed calls since the registry was lost, up to maxJitterDoublings
	registryLostAt time.Time // zero while the registry answers
	// leaderlessSince is the time since which no leader can be followed; zero
	// while one can.
	leaderlessSince time.Time
	// hasFollowed is set once a leader was followed.
	hasFollowed bool
	// readsUntil is the time until which this host, as a leader, reads the store
	// itself although it is not the first reader.
	readsUntil time.Time
	// firstHolder is the holder of the first seat of the data centre, known since
	// firstHolderSince.
	firstHolder      string
	firstHolderSince time.Time
}

// follower is the last poll of a host that follows this one.
type follower struct {
	polledAt time.Time
	peerAddr string // "" if it is unknown
	cores    float64
}

// New returns an agent without a seat. A missing option gives *OptionError.
func New(options Options) (*Agent, error) {
	if err := options.Validate(); err != nil {
		return nil, err
	}
	return &Agent{options: options, followers: map[string]follower{}}, nil
}

// Fleet returns the known state of all hosts.
func (a *Agent) Fleet() Fleet {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.fleet
}

// Leads reports whether this host holds the first seat of its data centre, so that
// the other hosts there follow it.
func (a *Agent) Leads() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.leads()
}

// Reads reports whether this host reads the store itself. The leader with the
// first taken seat of all data centres does, and the other leaders follow it, so
// that the calls do not grow with the data centres. A leader that can't follow it
// reads the store for firstReaderRetry.
func (a *Agent) Reads() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.reads(time.Now())
}

// reads is Reads for a caller that holds mu.
func (a *Agent) reads(now time.Time) bool {
	return a.leads() && (a.firstReader().Name == a.options.Host.Name || now.Before(a.readsUntil))
}

// firstReader returns the first taken seat of all data centres, whose holder reads
// the store for all; its Name is empty if none is known. The caller holds mu.
func (a *Agent) firstReader() Seat {
	if len(a.fleet.Seats) == 0 {
		return Seat{}
	}
	return a.fleet.Seats[0] // the seats are sorted
}

// leads is Leads for a caller that holds mu.
func (a *Agent) leads() bool {
	if a.ownSeat == nil {
		return false
	}
	first := a.fleet.firstSeat(a.options.Host.DataCentre)
	return first.Name == a.options.Host.Name
}

// Peers returns the addresses of the leaders other than this host that it may
// follow: that of the own data centre first, the others in random order. A leader
// that does not read the store follows the first reader only, because the state of
// the others is that of the first reader too.
func (a *Agent) Peers() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leads() && !a.reads(time.Now()) {
		return []string{a.firstReader().PeerAddr}
	}
	var near, far []string
	for _, seat := range a.fleet.Leaders() {
		switch {
		case seat.Name == a.options.Host.Name || seat.PeerAddr == "":
		case seat.DataCentre == a.options.Host.DataCentre:
			near = append(near, seat.PeerAddr)
		default:
			far = append(far, seat.PeerAddr)
		}
	}
	rand.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	return append(near, far...)
}

// AdoptFleet adopts the fleet that a followed host knows. It also records that a
// leader can be followed.
func (a *Agent) AdoptFleet(fleet Fleet) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leaderlessSince, a.hasFollowed = time.Time{}, true
	a.setFleet(fleet)
	a.scheduleProbe(time.Now())
}

// setFleet adopts the seats of a fleet, except for the own seat: this host knows
// that seat best, and keeps it unless another holder has it at a later revision.
// The caller holds mu.
func (a *Agent) setFleet(fleet Fleet) {
	next := Fleet{}
	for _, seat := range fleet.Seats {
		if err := seat.Validate(); err != nil {
			a.options.Logger.WithError(err).Warn("seat of a host refused")
			continue
		}
		if a.ownSeat != nil && a.isOwnSeat(seat) {
			if a.ownSeat.IsBefore(seat.Position) && seat.Name != a.options.Host.Name {
				a.options.Logger.WithFields(log.Fields{"seat": a.ownSeat.Number, "holder": seat.Name}).Info("seat lost to another host")
				a.ownSeat = nil
			} else {
				continue
			}
		}
		if seat.Name != a.options.Host.Name {
			next.Seats = append(next.Seats, seat)
		}
	}
	if a.ownSeat != nil {
		next.Seats = append(next.Seats, *a.ownSeat)
	}
	a.publish(next)
}

// isOwnSeat reports whether seat is the one that this host holds. ownSeat must
// not be nil. The caller holds mu.
func (a *Agent) isOwnSeat(seat Seat) bool {
	return seat.DataCentre == a.ownSeat.DataCentre && seat.Number == a.ownSeat.Number
}

// publish makes a fleet the known one and calls OnFleet if it has changed. The
// caller holds mu.
func (a *Agent) publish(next Fleet) {
	next = next.normalize()
	if next.equal(a.fleet) {
		return
	}
	if first := next.firstSeat(a.options.Host.DataCentre).Name; first != a.firstHolder {
		a.firstHolder, a.firstHolderSince = first, time.Now()
	}
	a.fleet = next
	a.options.OnFleet(next)
}

// scheduleProbe schedules a probe if a seat of the own data centre is vacant or
// held by a much smaller host. The caller holds mu.
func (a *Agent) scheduleProbe(now time.Time) {
	if a.ownSeat != nil || !a.nextProbeAt.IsZero() || a.wantedSeat(a.fleet) == 0 {
		return
	}
	a.nextProbeAt = now.Add(a.jitter(vacantJitterPerHost))
	if earliest := a.lastProbeAt.Add(listInterval); a.nextProbeAt.Before(earliest) {
		// The followed host may not have read the seats yet that this host's last
		// probe found.
		a.nextProbeAt = earliest.Add(a.jitter(vacantJitterPerHost))
	}
}

// wantedSeat returns the lowest number of a seat of the own data centre that is
// vacant or held by a much smaller host; 0: none.
func (a *Agent) wantedSeat(fleet Fleet) int {
	dc := a.options.Host.DataCentre
	if a.options.Host.PeerAddr == "" {
		return 0
	}
	for number := 1; number <= fleet.seatTarget(dc); number++ {
		holder := fleet.seat(dc, number)
		if holder.Name == "" || a.options.Host.Cores >= LargerHostRatio*holder.Cores {
			return number
		}
	}
	return 0
}

// jitter returns a random delay of up to perHost times the number of hosts, and
// of maxJitter at most. The caller holds mu.
func (a *Agent) jitter(perHost time.Duration) time.Duration {
	hosts := a.fleet.Hosts()
	if hosts == 0 {
		hosts = assumedHosts
	}
	limit := min(maxJitter, time.Duration(hosts)*perHost)
	return time.Duration(rand.Int64N(int64(limit)))
}

// ReportLeaderless records that no peer to follow has a fresh state. A leader then
// reads the store itself, another host schedules a probe.
func (a *Agent) ReportLeaderless() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leads() {
		a.readInstead(time.Now())
		return
	}
	if a.leaderlessSince.IsZero() {
		a.leaderlessSince = time.Now()
		a.options.Logger.WithField("hosts", a.fleet.Hosts()).Info("no leader to follow")
	}
	if a.nextProbeAt.IsZero() {
		now := time.Now()
		a.nextProbeAt = now.Add(min(maxLeaderlessJitter, a.jitter(leaderlessJitterPerHost)))
		if earliest := a.lastProbeAt.Add(takeOverDelay); a.nextProbeAt.Before(earliest) {
			// The holders that the last probe found may still be starting.
			a.nextProbeAt = earliest.Add(min(maxLeaderlessJitter, a.jitter(leaderlessJitterPerHost)))
		}
	}
}

// readInstead makes this leader read the store itself because it can't follow the
// first reader. The caller holds mu.
func (a *Agent) readInstead(now time.Time) {
	if a.reads(now) {
		return
	}
	// The jitter keeps the leaders from trying the first reader again together.
	a.readsUntil = now.Add(firstReaderRetry + time.Duration(rand.Int64N(int64(firstReaderRetry))))
	a.options.Logger.WithFields(log.Fields{
		"first_reader": a.firstReader().Name, "for": a.readsUntil.Sub(now),
	}).Info("first reader not followed, reading the store")
}

// Run takes, renews and replaces seats until ctx ends, and then gives the seat
// up. It returns nil.
func (a *Agent) Run(ctx context.Context) error {
	a.mu.Lock()
	a.leaderlessSince = time.Now()
	delay := float64(startProbeDelay) / max(a.options.Host.Cores, 0.1)
	a.nextProbeAt = time.Now().Add(time.Duration(delay * (1 + rand.Float64()/2)))
	a.mu.Unlock()
	var renewAt, listAt, updateAt time.Time
	for ctx.Err() == nil {
		now := time.Now()
		if a.holdsSeat() {
			if !now.Before(renewAt) {
				a.renewLease(ctx)
				renewAt = now.Add(renewInterval)
			}
			if !now.Before(listAt) {
				a.listSeats(ctx)
				listAt = now.Add(listInterval)
			}
			if !now.Before(updateAt) && a.updateFollowerCount(now) {
				a.updateEntry(ctx)
				updateAt = now.Add(minUpdateInterval)
			}
		}
		if a.probeDue(now) && a.probe(ctx) {
			renewAt, listAt = now.Add(renewInterval), now.Add(firstListDelay)
		}
		sleep(ctx, checkInterval)
	}
	a.releaseSeat()
	return nil
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// heldSeat returns a copy of the seat that this host holds, or false if it holds
// none. The seat can be lost at any time, when a peer reports another holder.
func (a *Agent) heldSeat() (Seat, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ownSeat == nil {
		return Seat{}, false
	}
	return *a.ownSeat, true
}

func (a *Agent) holdsSeat() bool {
	_, ok := a.heldSeat()
	return ok
}

// probeDue reports whether a probe is due, and clears its schedule. A probe whose
// reason has gone meanwhile is dropped.
func (a *Agent) probeDue(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.nextProbeAt.IsZero() || now.Before(a.nextProbeAt) {
		return false
	}
	a.nextProbeAt = time.Time{}
	return !a.leaderlessSince.IsZero() && !a.leads() || a.ownSeat == nil && a.wantedSeat(a.fleet) != 0
}

// probe reads the seats and takes one if this host should. It reports whether it
// took one.
func (a *Agent) probe(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	seats, err := a.options.Registry.Seats(callCtx, false)
	if a.noteResult(ctx, err) {
		return false
	}
	a.mu.Lock()
	a.setFleet(Fleet{Seats: seats})
	if len(seats) > 0 {
		a.lastProbeAt = time.Now()
	}
	number := a.chooseSeat(seats, time.Now())
	a.mu.Unlock()
	if number == 0 {
		return false
	}
	holder := Fleet{Seats: seats}.seat(a.options.Host.DataCentre, number)
	return a.takeSeat(callCtx, number, holder.Position)
}

// chooseSeat returns the number of the seat that this host should take; 0: none.
// The caller holds mu.
func (a *Agent) chooseSeat(seats []Seat, now time.Time) int {
	if a.ownSeat == nil {
		if number := a.formerSeat(seats); number != 0 {
			return number
		}
		if number := a.wantedSeat(a.fleet); number != 0 {
			return number
		}
	}
	return a.replacementSeat(now)
}

// formerSeat returns the number of the seat that an earlier process of this host
// holds; 0: none. That process is gone, so the seat has no use until this process
// takes it.
func (a *Agent) formerSeat(seats []Seat) int {
	for _, seat := range seats {
		if seat.Name == a.options.Host.Name && seat.DataCentre == a.options.Host.DataCentre {
			return seat.Number
		}
	}
	return 0
}

// replacementSeat returns the number of the seat to take over when no leader can
// be followed: the first one of the data centre, unless its holder may still be
// starting; 0: none. The caller holds mu.
func (a *Agent) replacementSeat(now time.Time) int {
	if a.leaderlessSince.IsZero() || a.leads() || a.options.Host.PeerAddr == "" || now.Sub(a.firstHolderSince) < takeOverDelay {
		return 0
	}
	return a.fleet.firstSeat(a.options.Host.DataCentre).Number
}
