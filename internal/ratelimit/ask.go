package ratelimit

import (
	"context"
	"encoding/json"
	"math"
	"time"

	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

const (
	// askInterval is the least time between two questions to a grantor for which no
	// request waits.
	askInterval = 100 * time.Millisecond
	// askTimeout is the timeout of a question: many round trips between data centres,
	// because the grantor may be busy. Queries wait for prepareTimeout at most.
	askTimeout = 200 * time.Millisecond
	// lostTime is how long a grantor that did not answer is left alone.
	lostTime = time.Second
)

// asker asks the grantor of one data centre for permits. One question is under way at
// a time; what is wanted meanwhile goes into the next one. The registry's mutex
// guards it.
type asker struct {
	dataCentre string
	wants      map[wire.ReplicaID]struct{} // replicas to ask for next
	waiting    bool                        // a request waits for the next question
	urgent     chan struct{}               // wakes the goroutine that asks; holds one value at most
	tellsOwn   bool                        // the next question tells what this host has observed
	running    bool                        // a goroutine asks
	answered   chan struct{}               // closed at the end of the next question
	nextAt     time.Duration               // earliest time of a question for which no request waits
	lostUntil  time.Duration               // the grantor did not answer
	told       uint64                      // revision up to which the leader at toldTo knows the own observations
	toldTo     string
}

// isLost reports whether the grantor can't be reached.
func (a *asker) isLost(now time.Duration) bool { return now < a.lostUntil }

// askerOf returns the asker for the data centre of a replica. The caller holds mu.
func (r *Registry) askerOf(replica wire.ReplicaID) *asker {
	return r.askerFor(r.options.DataCentreOf(replica))
}

func (r *Registry) askerFor(dataCentre string) *asker {
	a := r.askers[dataCentre]
	if a == nil {
		a = &asker{
			dataCentre: dataCentre, wants: map[wire.ReplicaID]struct{}{}, urgent: make(chan struct{}, 1), answered: make(chan struct{}),
		}
		r.askers[dataCentre] = a
	}
	return a
}

// tellLeaders tells all leaders what this host has observed. The caller holds mu.
func (r *Registry) tellLeaders() {
	for _, leader := range r.options.Leaders() {
		if !leader.Self {
			a := r.askerFor(leader.DataCentre)
			a.tellsOwn = true
			r.start(a)
		}
	}
}

// askSoon asks for permits for a replica unless the grantor is known to have none. The
// caller holds mu.
func (r *Registry) askSoon(replica wire.ReplicaID, known *replicaLimit) *asker {
	now := r.options.Clock()
	a := r.askerOf(replica)
	if now < known.deniedUntil || a.isLost(now) {
		return nil
	}
	a.wants[replica] = struct{}{}
	r.start(a)
	return a
}

// start makes a goroutine ask while there is something to ask. The caller holds mu.
func (r *Registry) start(a *asker) {
	if !a.running {
		a.running = true
		go r.run(a)
	}
}

// run asks until nothing is wanted.
func (r *Registry) run(a *asker) {
	for r.hasQuestion(a) {
		r.pause(a)
		r.ask(a)
	}
}

// hasQuestion reports whether something is wanted; if not, the goroutine must end.
func (r *Registry) hasQuestion(a *asker) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	a.running = len(a.wants) > 0 || a.tellsOwn
	return a.running
}

// pause waits until the next question is due, which is at once if a request waits.
func (r *Registry) pause(a *asker) {
	r.mu.Lock()
	left := a.nextAt - r.options.Clock()
	waiting := a.waiting
	r.mu.Unlock()
	if waiting || left <= 0 {
		return
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-a.urgent:
	}
}

// waitForAnswer makes the next question due at once. It returns the channel that is
// closed when the question is answered. The caller holds the registry's mutex.
func (a *asker) waitForAnswer() chan struct{} {
	a.waiting = true
	select {
	case a.urgent <- struct{}{}:
	default:
	}
	return a.answered
}

// ask asks the grantor once and records its permissions.
func (r *Registry) ask(a *asker) {
	r.mu.Lock()
	leader := r.leaderOf(a.dataCentre)
	askedAt := r.options.Clock()
	q, revision := r.question(a, leader)
	answered := a.answered
	a.answered, a.waiting, a.tellsOwn = make(chan struct{}), false, false
	clear(a.wants)
	r.mu.Unlock()

	defer close(answered)
	r.metrics.asked.Inc(1)
	permissions, err := r.askLeader(leader, q)
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Clock()
	a.nextAt = now + askInterval
	if err != nil {
		r.metrics.grantorFailed.Inc(1)
		if !a.isLost(now) {
			r.options.Logger.WithError(err).WithField("data_centre", a.dataCentre).Info("no permits from the grantor, using the own share")
		}
		a.lostUntil = now + lostTime
		return
	}
	a.lostUntil = 0
	a.told, a.toldTo = revision, leader.PeerAddr
	for i, p := range permissions {
		r.record(&q.Wants[i], p, askedAt)
	}
}

// record records the permission for a want of a question that was asked at a time. The
// caller holds mu.
func (r *Registry) record(w *want, p permission, askedAt time.Duration) {
	now := r.options.Clock()
	cold := r.coldLocked(w.Replica)
	if cold != nil && p.Warm && w.Cold != nil && cold.sequence == w.Cold.Sequence {
		r.endWarmUp(w.Replica, cold, "grantor")
	}
	known := r.replicas[w.Replica]
	if known == nil {
		return
	}
	known.deniedUntil = now + p.RetryIn
	switch {
	case r.coldLocked(w.Replica) == nil:
		known.permits.add(p.Granted, now+permitValidity(known.rate()))
	case w.Cold != nil: // else the grantor did not know that the replica is cold
		known.permits.add(p.Granted, askedAt+warmUpValidity)
	}
}

// leaderOf returns the leader of a data centre; its PeerAddr is empty if there is none.
func (r *Registry) leaderOf(dataCentre string) Leader {
	for _, leader := range r.options.Leaders() {
		if leader.DataCentre == dataCentre {
			return leader
		}
	}
	return Leader{}
}

// question returns the question to a leader, and the revision up to which it tells the
// own observations. The caller holds mu.
func (r *Registry) question(a *asker, leader Leader) (*question, uint64) {
	told := a.told
	if a.toldTo != leader.PeerAddr {
		told = 0 // the leader is another process
	}
	q := &question{}
	if !leader.Self {
		q.Observed = r.knownLocked(func(l *replicaLimit) bool { return l.own && l.revision > told })
	}
	for replica := range a.wants {
		known := r.limitedLocked(replica)
		if known == nil {
			continue
		}
		most := 1 + int(math.Ceil(known.rate()*known.validity().Seconds()))
		if count := min(known.wanted, most-known.permits.held(r.options.Clock())); count > 0 {
			q.Wants = append(q.Wants, want{Replica: replica, Count: count, Cold: r.coldStateOf(replica)})
			if known.stated() {
				// A leader that has just started does not know the limit yet.
				q.Observed = append(q.Observed, Known{
					Replica: replica, Limited: true, PerSecond: known.limit.PerSecond, Age: r.options.Clock() - known.observedAt,
				})
			}
		}
		known.wanted = 0
	}
	return q, r.revision
}

// askLeader asks a leader, or this host itself.
func (r *Registry) askLeader(leader Leader, q *question) ([]permission, error) {
	switch {
	case leader.Self:
		return r.permit(q.Wants, leader), nil
	case leader.PeerAddr == "":
		return nil, errors.WithStack(&NoGrantorError{})
	}
	body, err := json.Marshal(q)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	text, err := r.options.Transport.Ask(ctx, leader.PeerAddr, body)
	if err != nil {
		return nil, err
	}
	decoded, err := decodeAnswer(text, q.Wants)
	if err != nil {
		return nil, err
	}
	return decoded.Permissions, nil
}

// NoGrantorError reports that a data centre has no leader to grant permits, or that this host
// does not lead it.
type NoGrantorError struct{}

// Error implements error.
func (*NoGrantorError) Error() string { return "no leader grants permits" }

// Answer answers the question of another host. *NoGrantorError means that this host does
// not lead its data centre: two grantors would allow twice the limit. *MessageError
// reports a malformed question.
func (r *Registry) Answer(body []byte) ([]byte, error) {
	q, err := decodeQuestion(body)
	if err != nil {
		return nil, err
	}
	if err := r.Learn(q.Observed); err != nil {
		return nil, err
	}
	self, leads := r.ownLeadership()
	if !leads {
		return nil, errors.WithStack(&NoGrantorError{})
	}
	text, err := json.Marshal(&answer{Permissions: r.permit(q.Wants, self)})
	return text, errors.WithStack(err)
}

// ownLeadership returns the entry of this host among the leaders, false if it is none.
func (r *Registry) ownLeadership() (Leader, bool) {
	for _, leader := range r.options.Leaders() {
		if leader.Self {
			return leader, true
		}
	}
	return Leader{}, false
}
