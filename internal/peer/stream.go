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

// stream is one Exchange stream on a connection of its own, because a drpc
// connection carries one stream at a time.
type stream struct {
	link *link
	conn *drpcconn.Conn
	rpc  peerpb.DRPCPeer_ExchangeClient
	wake chan struct{} // the writer has something to send
	stop chan struct{}

	mu       sync.Mutex
	failed   bool
	unsent   []*pending
	sent     map[wire.SubID]*pending
	cancels  []wire.SubID
	nextPing uint64
	ping     uint64 // ping to send; 0 when none
	pingAt   time.Time
	pinged   uint64 // ping without an answer; 0 when none
	lastRecv time.Time
	busyFrom time.Time // start of the present time with outstanding work
	watching bool      // the silence timer is armed
}

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
		link:     l,
		conn:     conn,
		rpc:      rpc,
		wake:     make(chan struct{}, 1),
		stop:     make(chan struct{}),
		sent:     map[wire.SubID]*pending{},
		lastRecv: time.Now(),
	}
	if err := s.greet(dialCtx); err != nil {
		_ = conn.Close()
		return nil, &DialError{Addr: l.addr, Err: err}
	}
	return s, nil
}

// greet waits for one answer of the peer. The kernel of a paused host still
// accepts connections, so an open connection doesn't show that the peer runs.
func (s *stream) greet(ctx context.Context) error {
	s.nextPing++
	answered := make(chan error, 1)
	s.link.wg.Add(1)
	go func() {
		defer s.link.wg.Done()
		err := s.rpc.Send(&peerpb.Frame{From: s.link.opts.Self, Ping: s.nextPing})
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
	go s.write()
	go s.read()
}

// standing returns whether the stream has an unanswered ping or has been quiet
// with work outstanding, and how much is outstanding.
func (s *stream) standing(now time.Time) (quiet bool, count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	count = len(s.sent) + len(s.unsent)
	return s.pinged != 0 || len(s.sent) > 0 && now.Sub(s.quietSinceLocked()) > s.link.opts.SilenceBeforePing, count
}

func (s *stream) quietSinceLocked() time.Time {
	if s.busyFrom.After(s.lastRecv) {
		return s.busyFrom
	}
	return s.lastRecv
}

// enqueue returns the sub-requests that the stream can't take.
func (s *stream) enqueue(batch []*pending) []*pending {
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

// cancel drops what was not yet written and tells the peer about the rest.
func (s *stream) cancel(ids []wire.SubID) {
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
	endAll(dropped, wire.NotRun, wire.ReasonCancelled)
}

func (s *stream) dropUnsentLocked(ids []wire.SubID) []*pending {
	if len(s.unsent) == 0 {
		return nil
	}
	gone := make(map[wire.SubID]bool, len(ids))
	for _, id := range ids {
		gone[id] = true
	}
	var dropped []*pending
	kept := s.unsent[:0]
	for _, p := range s.unsent {
		if gone[p.sub.ID] {
			dropped = append(dropped, p)
			continue
		}
		kept = append(kept, p)
	}
	s.unsent = kept
	return dropped
}

// write sends whatever has gathered while the previous message was written,
// so that batches grow with load and an idle stream adds no delay.
func (s *stream) write() {
	defer s.link.wg.Done()
	for {
		select {
		case <-s.stop:
			return
		case <-s.wake:
		}
		for {
			frame, expired := s.nextFrame(time.Now())
			endAll(expired, wire.NotRun, wire.ReasonExpired)
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

// nextFrame moves sub-requests from unsent to sent before they are written: a
// write that fails half-way may have reached the peer.
func (s *stream) nextFrame(now time.Time) (*peerpb.Frame, []*pending) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed {
		return nil, nil
	}
	frame := &peerpb.Frame{Ping: s.ping}
	for _, id := range s.cancels {
		frame.Cancels = append(frame.Cancels, idToPB(id))
	}
	expired := s.takeUnsentLocked(frame, now)
	if s.ping == 0 && len(frame.Cancels) == 0 && len(frame.Groups) == 0 {
		return nil, expired
	}
	s.ping = 0
	s.cancels = nil
	if len(s.sent) > 0 || s.pinged != 0 {
		s.watchLocked(s.link.opts.SilenceBeforePing)
	}
	return frame, expired
}

func (s *stream) takeUnsentLocked(frame *peerpb.Frame, now time.Time) (expired []*pending) {
	if len(s.sent) == 0 {
		s.busyFrom = now
	}
	n, taken := 0, 0
	var last *pending
	var group *peerpb.SubGroup
	for n < len(s.unsent) && taken < s.link.opts.MaxBatch {
		p := s.unsent[n]
		n++
		left := p.left(now)
		if left <= 0 {
			expired = append(expired, p)
			continue
		}
		if last == nil || !sameGroup(last, p) {
			group = groupToPB(&p.sub, left)
			frame.Groups = append(frame.Groups, group)
		}
		last = p
		taken++
		s.sent[p.sub.ID] = p
		group.Subs = append(group.Subs, subToPB(&p.sub))
	}
	s.unsent = s.unsent[n:]
	if len(s.unsent) == 0 {
		s.unsent = nil
	}
	return expired
}

func (s *stream) read() {
	defer s.link.wg.Done()
	for {
		frame, err := s.rpc.Recv()
		if err != nil {
			s.fail(errors.WithStack(err))
			return
		}
		s.accept(frame)
	}
}

// accept ends the sub-requests that a frame answers. A reply without an
// outstanding sub-request on this stream is late or repeated, and is dropped.
func (s *stream) accept(frame *peerpb.Frame) {
	s.mu.Lock()
	s.lastRecv = time.Now()
	if frame.GetPong() != 0 && frame.GetPong() == s.pinged {
		s.pinged = 0
	}
	ended := make([]*pending, 0, len(frame.GetReplies()))
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

// fail closes the stream once and ends or moves its sub-requests.
func (s *stream) fail(cause error) {
	s.mu.Lock()
	if s.failed {
		s.mu.Unlock()
		return
	}
	s.failed = true
	unsent := s.unsent
	sent := make([]*pending, 0, len(s.sent))
	for _, p := range s.sent {
		sent = append(sent, p)
	}
	s.unsent = nil
	s.sent = map[wire.SubID]*pending{}
	s.mu.Unlock()
	close(s.stop)
	s.report(cause, len(sent))
	s.link.streamFailed(s, unsent, sent, reasonOf(cause))
	s.link.checkStreams(0)
	// Closing waits for a write in progress on a blocked connection, so it must
	// not hold up the end of the sub-requests.
	s.link.wg.Add(1)
	go func() {
		defer s.link.wg.Done()
		_ = s.conn.Close()
	}()
}

func (s *stream) report(cause error, outstanding int) {
	var closed *ClosedError
	if errors.As(cause, &closed) || s.link.ctx.Err() != nil {
		return
	}
	s.link.opts.Scope.Counter("streams_failed").Inc(1)
	s.link.opts.Logger.WithField("addr", s.link.addr).WithField("outstanding", outstanding).
		WithError(cause).Warn("stream to peer failed")
}

func reasonOf(cause error) wire.Reason {
	var silent *SilentError
	if errors.As(cause, &silent) {
		return wire.ReasonConnSilent
	}
	return wire.ReasonPeerLost
}
