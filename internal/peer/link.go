package peer

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// streamsPerPeer lets one stream carry on while the other is being judged
// silent or dialled again.
const streamsPerPeer = 2

// link carries sub-requests to one peer over its streams. It implements
// wire.Sender.
type link struct {
	addr string
	opts *Options
	ctx  context.Context
	wg   *sync.WaitGroup

	mu      sync.Mutex
	closed  bool
	streams []*stream
	waiting []*pending // no stream is up yet, a dial is in progress
	dialing int
	backoff time.Duration
	retryAt time.Time // no dial before; Send refuses until then
}

func newLink(ctx context.Context, wg *sync.WaitGroup, addr string, opts *Options) *link {
	return &link{addr: addr, opts: opts, ctx: ctx, wg: wg}
}

// Send implements wire.Sender. Without a usable stream, sub-requests wait for
// the dial in progress; after a failed dial they are refused as not run until
// the backoff has passed, so that the caller turns to another host at once.
func (l *link) Send(subs []wire.Sub, done func([]wire.Reply)) {
	now := time.Now()
	batch := make([]*pending, len(subs))
	for i := range subs {
		batch[i] = &pending{sub: subs[i], at: now, done: done}
	}
	l.mu.Lock()
	refused := l.enqueueLocked(batch, now)
	l.mu.Unlock()
	if refused != nil {
		endAll(refused, wire.NotRun, wire.ReasonPeerLost)
	}
}

// enqueueLocked returns the sub-requests that it can't take.
func (l *link) enqueueLocked(batch []*pending, now time.Time) []*pending {
	if l.closed {
		return batch
	}
	l.dialMissingLocked(now)
	s, quiet := l.pickLocked(now)
	if s != nil && (!quiet || l.dialing == 0) {
		return s.enqueue(batch)
	}
	if l.dialing == 0 || len(l.waiting)+len(batch) > l.opts.MaxQueued {
		return batch
	}
	l.waiting = append(l.waiting, batch...)
	return nil
}

// pickLocked prefers a stream that isn't suspected to be silent, then the one
// with the fewest outstanding sub-requests. Work waits for a dial in progress
// rather than for a quiet stream.
func (l *link) pickLocked(now time.Time) (best *stream, bestQuiet bool) {
	var bestCount int
	for _, s := range l.streams {
		quiet, count := s.standing(now)
		better := best == nil || (bestQuiet && !quiet) || (bestQuiet == quiet && count < bestCount)
		if better {
			best, bestQuiet, bestCount = s, quiet, count
		}
	}
	return best, bestQuiet
}

func (l *link) dialMissingLocked(now time.Time) {
	for len(l.streams)+l.dialing < streamsPerPeer {
		if now.Before(l.retryAt) {
			return
		}
		l.dialing++
		l.wg.Add(1)
		go l.dial()
	}
}

func (l *link) dial() {
	defer l.wg.Done()
	s, err := openStream(l.ctx, l)
	l.mu.Lock()
	l.dialing--
	if err != nil {
		waiting := l.dialFailedLocked()
		l.mu.Unlock()
		endAll(waiting, wire.NotRun, wire.ReasonPeerLost)
		l.reportDialFailed(err)
		return
	}
	if l.closed {
		l.mu.Unlock()
		s.fail(&ClosedError{})
		return
	}
	l.backoff = 0
	l.retryAt = time.Time{}
	l.streams = append(l.streams, s)
	waiting := l.waiting
	l.waiting = nil
	l.mu.Unlock()
	s.start()
	if refused := s.enqueue(waiting); refused != nil {
		endAll(refused, wire.NotRun, wire.ReasonPeerLost)
	}
}

// dialFailedLocked starts the backoff and returns the sub-requests that waited
// in vain: none of them was sent.
func (l *link) dialFailedLocked() []*pending {
	l.backoff = min(max(2*l.backoff, l.opts.RetryMin), l.opts.RetryMax)
	l.retryAt = time.Now().Add(l.backoff)
	if l.dialing > 0 {
		return nil
	}
	waiting := l.waiting
	l.waiting = nil
	return waiting
}

func (l *link) reportDialFailed(err error) {
	if l.ctx.Err() != nil {
		return
	}
	l.opts.Scope.Counter("dial_failed").Inc(1)
	l.opts.Logger.WithField("addr", l.addr).WithError(err).Warn("dial to peer failed")
	l.opts.OnDialFailed(l.addr)
}

// streamFailed takes a stream out of use. unsent were never written and move to
// another stream; sent may have run.
func (l *link) streamFailed(s *stream, unsent, sent []*pending, reason wire.Reason) {
	l.mu.Lock()
	l.streams = slices.DeleteFunc(l.streams, func(o *stream) bool { return o == s })
	refused := l.enqueueLocked(unsent, time.Now())
	l.mu.Unlock()
	endAll(refused, wire.NotRun, wire.ReasonPeerLost)
	endAll(sent, wire.Unknown, reason)
}

// Cancel implements wire.Sender.
func (l *link) Cancel(ids []wire.SubID) {
	l.mu.Lock()
	streams := slices.Clone(l.streams)
	l.mu.Unlock()
	for _, s := range streams {
		s.cancel(ids)
	}
}

// warm opens the streams ahead of the first sub-request.
func (l *link) warm() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed {
		l.dialMissingLocked(time.Now())
	}
}

// checkStreams pings the idle streams that brought nothing for quiet, because
// something between two hosts may lose track of a connection that carries
// nothing. A failed stream makes the other one suspect at once.
func (l *link) checkStreams(quiet time.Duration) {
	l.mu.Lock()
	streams := slices.Clone(l.streams)
	l.mu.Unlock()
	for _, s := range streams {
		s.pingIdle(quiet)
	}
}

func (l *link) close() {
	l.mu.Lock()
	l.closed = true
	streams := slices.Clone(l.streams)
	waiting := l.waiting
	l.waiting = nil
	l.mu.Unlock()
	endAll(waiting, wire.NotRun, wire.ReasonPeerLost)
	for _, s := range streams {
		s.fail(&ClosedError{})
	}
}
