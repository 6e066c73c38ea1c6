package peer

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// streamsPerPeer is the number of streams that a link keeps open. With two, one
// still carries sub-requests while the other is suspected or being redialled.
const streamsPerPeer = 2

// link is the client side of all Exchange streams to one peer. It implements
// wire.Sender.
type link struct {
	addr string
	opts *Options
	ctx  context.Context
	wg   *sync.WaitGroup

	mu              sync.Mutex
	closed          bool
	streams         []*stream
	waitingForDial  []*pendingSub // sub-requests queued until a dial in progress ends
	dialsInProgress int
	backoff         time.Duration
	noDialBefore    time.Time // end of the backoff after a failed dial
}

func newLink(ctx context.Context, wg *sync.WaitGroup, addr string, opts *Options) *link {
	return &link{addr: addr, opts: opts, ctx: ctx, wg: wg}
}

// Send implements wire.Sender. Without a usable stream, sub-requests wait for
// the dial in progress. During the backoff after a failed dial they end at once
// as wire.NotRun, so that the query can turn to another host.
func (l *link) Send(subs []wire.SubRequest, done func([]wire.Reply)) {
	now := time.Now()
	batch := make([]*pendingSub, len(subs))
	for i := range subs {
		batch[i] = &pendingSub{sub: subs[i], queuedAt: now, done: done}
	}
	l.mu.Lock()
	refused := l.enqueueLocked(batch, now)
	l.mu.Unlock()
	if refused != nil {
		completeAll(refused, wire.NotRun, wire.ReasonPeerLost)
	}
}

// enqueueLocked queues a batch on a stream or for the dial in progress. It
// returns the batch when the link is closed, backs off, or has MaxQueued
// sub-requests waiting. Sub-requests wait for a dial in progress rather than go
// to a stream that is suspected to be silent.
func (l *link) enqueueLocked(batch []*pendingSub, now time.Time) []*pendingSub {
	if l.closed {
		return batch
	}
	l.dialMissingLocked(now)
	s, suspect := l.pickStreamLocked(now)
	if s != nil && (!suspect || l.dialsInProgress == 0) {
		return s.enqueue(batch)
	}
	if l.dialsInProgress == 0 || len(l.waitingForDial)+len(batch) > l.opts.MaxQueued {
		return batch
	}
	l.waitingForDial = append(l.waitingForDial, batch...)
	return nil
}

// pickStreamLocked returns the stream for new sub-requests, or nil, and whether
// that stream is suspected to be silent. It prefers streams that aren't
// suspected, then the one with the fewest outstanding sub-requests.
func (l *link) pickStreamLocked(now time.Time) (best *stream, bestSuspect bool) {
	var fewest int
	for _, s := range l.streams {
		suspect, outstanding := s.health(now)
		better := best == nil || (bestSuspect && !suspect) || (bestSuspect == suspect && outstanding < fewest)
		if better {
			best, bestSuspect, fewest = s, suspect, outstanding
		}
	}
	return best, bestSuspect
}

// dialMissingLocked starts dials until streamsPerPeer streams are open or being
// dialled. It does nothing during the backoff after a failed dial.
func (l *link) dialMissingLocked(now time.Time) {
	for len(l.streams)+l.dialsInProgress < streamsPerPeer {
		if now.Before(l.noDialBefore) {
			return
		}
		l.dialsInProgress++
		l.wg.Add(1)
		go l.dialStream()
	}
}

// dialStream opens one stream and gives it the sub-requests that waited for it.
func (l *link) dialStream() {
	defer l.wg.Done()
	s, err := openStream(l.ctx, l)
	l.mu.Lock()
	l.dialsInProgress--
	if err != nil {
		waiting := l.dialFailedLocked()
		l.mu.Unlock()
		completeAll(waiting, wire.NotRun, wire.ReasonPeerLost)
		l.reportDialFailed(err)
		return
	}
	if l.closed {
		l.mu.Unlock()
		s.fail(&ClosedError{})
		return
	}
	l.backoff = 0
	l.noDialBefore = time.Time{}
	l.streams = append(l.streams, s)
	waiting := l.waitingForDial
	l.waitingForDial = nil
	l.mu.Unlock()
	s.start()
	if refused := s.enqueue(waiting); refused != nil {
		completeAll(refused, wire.NotRun, wire.ReasonPeerLost)
	}
}

// dialFailedLocked starts the backoff. When no other dial is in progress, it
// returns the waiting sub-requests, none of which was sent.
func (l *link) dialFailedLocked() []*pendingSub {
	l.backoff = min(max(2*l.backoff, l.opts.RetryMin), l.opts.RetryMax)
	l.noDialBefore = time.Now().Add(l.backoff)
	if l.dialsInProgress > 0 {
		return nil
	}
	waiting := l.waitingForDial
	l.waitingForDial = nil
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

// handleStreamFailure takes a stream out of use. Unsent sub-requests were never
// written and move to another stream, or end as wire.NotRun when there is none.
// Sent ones may have run and end as wire.Unknown with the given reason.
func (l *link) handleStreamFailure(s *stream, unsent, sent []*pendingSub, reason wire.Reason) {
	l.mu.Lock()
	l.streams = slices.DeleteFunc(l.streams, func(o *stream) bool { return o == s })
	refused := l.enqueueLocked(unsent, time.Now())
	l.mu.Unlock()
	completeAll(refused, wire.NotRun, wire.ReasonPeerLost)
	completeAll(sent, wire.Unknown, reason)
}

// Cancel implements wire.Sender.
func (l *link) Cancel(ids []wire.SubRequestID) {
	l.mu.Lock()
	streams := slices.Clone(l.streams)
	l.mu.Unlock()
	for _, s := range streams {
		s.cancel(ids)
	}
}

// warm starts to open the streams before the first sub-request.
func (l *link) warm() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed {
		l.dialMissingLocked(time.Now())
	}
}

// pingIdleStreams pings the idle streams on which nothing was received for
// idleFor, because a firewall or proxy between two hosts may drop an idle
// connection without closing it. After a failure of one stream it is called
// with 0, because the cause may affect the other stream too.
func (l *link) pingIdleStreams(idleFor time.Duration) {
	l.mu.Lock()
	streams := slices.Clone(l.streams)
	l.mu.Unlock()
	for _, s := range streams {
		s.pingIfIdle(idleFor)
	}
}

// close fails all streams and refuses further sub-requests.
func (l *link) close() {
	l.mu.Lock()
	l.closed = true
	streams := slices.Clone(l.streams)
	waiting := l.waitingForDial
	l.waitingForDial = nil
	l.mu.Unlock()
	completeAll(waiting, wire.NotRun, wire.ReasonPeerLost)
	for _, s := range streams {
		s.fail(&ClosedError{})
	}
}
