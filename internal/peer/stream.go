package peer

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcconn"

	"github.com/arbutusgauge/arbutusgauge/internal/peer/peerpb"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// stream is the client side of one Exchange stream. It has a connection of its
// own, because a drpc connection carries one stream at a time.
type stream struct {
	link *link
	conn *drpcconn.Conn
	rpc  peerpb.DRPCPeer_ExchangeClient
	wake chan struct{} // signals the writer that something is queued
	stop chan struct{} // closed when the stream has failed

	mu                sync.Mutex
	failed            bool
	unsent            []*pendingSub                     // queued for the writer
	sent              map[wire.SubRequestID]*pendingSub // passed to the writer, no reply yet
	cancels           []wire.SubRequestID               // sent sub-requests to cancel at the peer
	lastPing          uint64                            // number of the last ping made
	pingToSend        uint64                            // number of the ping queued for the writer; 0 when none
	pingedAt          time.Time                         // when the last ping was queued
	awaitedPong       uint64                            // number of the ping not yet answered; 0 when none
	lastRecvAt        time.Time
	busySince         time.Time // start of the current period with outstanding sub-requests
	silenceTimerArmed bool      // a call of checkSilence is scheduled
}

// openStream dials the peer and waits for its first answer. Every error is a
// *DialError.
func openStream(ctx context.Context, l *link) (*stream, error) {
	dialCtx, cancel := context.WithTimeout(ctx, l.opts.DialTimeout)
	defer cancel()
	transport, err := l.opts.Dial(dialCtx, l.addr)
	if err != nil {
		return nil, &DialError{Addr: l.addr, Err: err}
	}
	conn := drpcconn.New(transport)
	rpc, err := peerpb.NewDRPCPeerClient(conn).Exchange(ctx)
	if err != nil {
		_ = conn.Close()
		return nil, &DialError{Addr: l.addr, Err: err}
	}
	s := &stream{
		link:       l,
		conn:       conn,
		rpc:        rpc,
		wake:       make(chan struct{}, 1),
		stop:       make(chan struct{}),
		sent:       map[wire.SubRequestID]*pendingSub{},
		lastRecvAt: time.Now(),
	}
	if err := s.handshake(dialCtx); err != nil {
		_ = conn.Close()
		return nil, &DialError{Addr: l.addr, Err: err}
	}
	return s, nil
}

// handshake sends the first frame with a ping and waits for the answer. An open
// connection doesn't show that the peer runs, because the kernel of a paused
// host still accepts connections.
func (s *stream) handshake(ctx context.Context) error {
	s.lastPing++
	answered := make(chan error, 1)
	s.link.wg.Add(1)
	go func() {
		defer s.link.wg.Done()
		err := s.rpc.Send(&peerpb.Frame{From: s.link.opts.Self, Ping: s.lastPing})
		if err == nil {
			_, err = s.rpc.Recv()
		}
		answered <- err
	}()
	select {
	case err := <-answered:
		return errors.WithStack(err)
	case <-ctx.Done():
		return &SilentError{Addr: s.link.addr}
	}
}

func (s *stream) start() {
	s.link.wg.Add(2)
	go s.writeLoop()
	go s.readLoop()
}

// health reports whether the stream is suspected to be silent: it has an
// unanswered ping, or received nothing for more than SilenceBeforePing while
// sub-requests were outstanding. outstanding counts unsent sub-requests too.
func (s *stream) health(now time.Time) (suspect bool, outstanding int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	outstanding = len(s.sent) + len(s.unsent)
	return s.awaitedPong != 0 || len(s.sent) > 0 && now.Sub(s.silentSinceLocked()) > s.link.opts.SilenceBeforePing, outstanding
}

// silentSinceLocked returns the start of the current silence: the last receipt,
// or the time when sub-requests became outstanding if that is later.
func (s *stream) silentSinceLocked() time.Time {
	if s.busySince.After(s.lastRecvAt) {
		return s.busySince
	}
	return s.lastRecvAt
}

// enqueue queues a batch for the writer. It returns the batch when the stream
// has failed or would exceed MaxQueued unsent sub-requests.
func (s *stream) enqueue(batch []*pendingSub) []*pendingSub {
	if len(batch) == 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed || len(s.unsent)+len(batch) > s.link.opts.MaxQueued {
		return batch
	}
	s.unsent = append(s.unsent, batch...)
	s.wakeWriter()
	return nil
}

func (s *stream) wakeWriter() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// cancel ends unsent sub-requests as wire.NotRun and queues a cancel message for
// the sent ones. Ids that are not outstanding on this stream are ignored.
func (s *stream) cancel(ids []wire.SubRequestID) {
	s.mu.Lock()
	for _, id := range ids {
		if _, ok := s.sent[id]; ok {
			s.cancels = append(s.cancels, id)
		}
	}
	dropped := s.dropUnsentLocked(ids)
	if len(s.cancels) > 0 {
		s.wakeWriter()
	}
	s.mu.Unlock()
	completeAll(dropped, wire.NotRun, wire.ReasonCancelled)
}

// dropUnsentLocked removes the given sub-requests from unsent and returns them.
func (s *stream) dropUnsentLocked(ids []wire.SubRequestID) []*pendingSub {
	if len(s.unsent) == 0 {
		return nil
	}
	cancelled := make(map[wire.SubRequestID]bool, len(ids))
	for _, id := range ids {
		cancelled[id] = true
	}
	var dropped []*pendingSub
	kept := s.unsent[:0]
	for _, p := range s.unsent {
		if cancelled[p.sub.ID] {
			dropped = append(dropped, p)
			continue
		}
		kept = append(kept, p)
	}
	s.unsent = kept
	return dropped
}

// writeLoop sends in one frame what was queued while the previous frame was
// written, so that batches grow with load and an idle stream adds no delay.
func (s *stream) writeLoop() {
	defer s.link.wg.Done()
	for {
		select {
		case <-s.stop:
			return
		case <-s.wake:
		}
		for {
			frame, expired := s.nextFrame(time.Now())
			completeAll(expired, wire.NotRun, wire.ReasonDeadlineExpired)
			if frame == nil {
				break
			}
			if err := s.rpc.Send(frame); err != nil {
				s.fail(errors.WithStack(err))
				return
			}
		}
	}
}

// nextFrame returns the next frame to write, or nil when nothing is queued, and
// the unsent sub-requests whose deadline has passed. It moves sub-requests from
// unsent to sent before they are written, because a write that fails half-way
// may have reached the peer.
func (s *stream) nextFrame(now time.Time) (*peerpb.Frame, []*pendingSub) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed {
		return nil, nil
	}
	frame := &peerpb.Frame{Ping: s.pingToSend}
	for _, id := range s.cancels {
		frame.Cancels = append(frame.Cancels, idToPB(id))
	}
	expired := s.moveToFrameLocked(frame, now)
	if s.pingToSend == 0 && len(frame.Cancels) == 0 && len(frame.Groups) == 0 {
		return nil, expired
	}
	s.pingToSend = 0
	s.cancels = nil
	if len(s.sent) > 0 || s.awaitedPong != 0 {
		s.armSilenceTimerLocked(s.link.opts.SilenceBeforePing)
	}
	return frame, expired
}

// moveToFrameLocked moves up to MaxBatch unsent sub-requests to sent and adds
// them to frame in groups. It returns those whose deadline has passed.
func (s *stream) moveToFrameLocked(frame *peerpb.Frame, now time.Time) (expired []*pendingSub) {
	if len(s.sent) == 0 {
		s.busySince = now
	}
	n, moved := 0, 0
	var last *pendingSub
	var group *peerpb.SubGroup
	for n < len(s.unsent) && moved < s.link.opts.MaxBatch {
		p := s.unsent[n]
		n++
		left := p.timeLeft(now)
		if left <= 0 {
			expired = append(expired, p)
			continue
		}
		if last == nil || !canShareGroup(last, p) {
			group = groupToPB(&p.sub, left)
			frame.Groups = append(frame.Groups, group)
		}
		last = p
		moved++
		s.sent[p.sub.ID] = p
		group.Subs = append(group.Subs, subToPB(&p.sub))
	}
	s.unsent = s.unsent[n:]
	if len(s.unsent) == 0 {
		s.unsent = nil
	}
	return expired
}

func (s *stream) readLoop() {
	defer s.link.wg.Done()
	for {
		frame, err := s.rpc.Recv()
		if err != nil {
			s.fail(errors.WithStack(err))
			return
		}
		s.handleFrame(frame)
	}
}

// handleFrame ends the sub-requests that a frame answers. A reply without an
// outstanding sub-request on this stream is late or repeated, and is dropped.
func (s *stream) handleFrame(frame *peerpb.Frame) {
	s.mu.Lock()
	s.lastRecvAt = time.Now()
	if frame.GetPong() != 0 && frame.GetPong() == s.awaitedPong {
		s.awaitedPong = 0
	}
	ended := make([]*pendingSub, 0, len(frame.GetReplies()))
	replies := make([]wire.Reply, 0, len(frame.GetReplies()))
	for _, r := range frame.GetReplies() {
		id := replyIDFromPB(r)
		p, ok := s.sent[id]
		if !ok {
			s.link.opts.Scope.Counter("replies_dropped").Inc(1)
			continue
		}
		delete(s.sent, id)
		ended = append(ended, p)
		replies = append(replies, replyFromPB(r, p.sub.Replica))
	}
	s.mu.Unlock()
	for i, p := range ended {
		p.done(replies[i : i+1 : i+1])
	}
}

// fail closes the stream and has the link end or move its sub-requests. Calls
// after the first do nothing.
func (s *stream) fail(cause error) {
	s.mu.Lock()
	if s.failed {
		s.mu.Unlock()
		return
	}
	s.failed = true
	unsent := s.unsent
	sent := make([]*pendingSub, 0, len(s.sent))
	for _, p := range s.sent {
		sent = append(sent, p)
	}
	s.unsent = nil
	s.sent = map[wire.SubRequestID]*pendingSub{}
	s.mu.Unlock()
	close(s.stop)
	s.reportFailure(cause, len(sent))
	s.link.handleStreamFailure(s, unsent, sent, reasonForFailure(cause))
	s.link.pingIdleStreams(0)
	// Close waits for a write in progress, which may be blocked; the
	// sub-requests must not wait for it.
	s.link.wg.Add(1)
	go func() {
		defer s.link.wg.Done()
		_ = s.conn.Close()
	}()
}

// reportFailure counts and logs the failure of the stream, unless it was closed
// on purpose.
func (s *stream) reportFailure(cause error, outstanding int) {
	var closed *ClosedError
	if errors.As(cause, &closed) || s.link.ctx.Err() != nil {
		return
	}
	s.link.opts.Scope.Counter("streams_failed").Inc(1)
	s.link.opts.Logger.WithField("addr", s.link.addr).WithField("outstanding", outstanding).
		WithError(cause).Warn("stream to peer failed")
}

// reasonForFailure returns the reason for sub-requests that were outstanding
// when their stream failed with cause.
func reasonForFailure(cause error) wire.Reason {
	var silent *SilentError
	if errors.As(cause, &silent) {
		return wire.ReasonConnSilent
	}
	return wire.ReasonPeerLost
}
