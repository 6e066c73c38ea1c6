package peer

import (
	"io"
	"sync"

	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/peer/peerpb"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// maxReplyBatch is the most replies in one frame.
const maxReplyBatch = 64

// exchange is the server side of one Exchange stream. It passes the peer's
// sub-requests to the local sender and writes back their replies.
type exchange struct {
	server *Server
	rpc    peerpb.DRPCPeer_ExchangeStream
	wake   chan struct{} // signals the writer that something is queued
	stop   chan struct{} // closed when the stream has ended

	mu         sync.Mutex
	ended      bool                           // the stream has ended; replies are dropped
	unanswered map[wire.SubRequestID]struct{} // passed to the local sender, no reply yet
	unwritten  []wire.Reply                   // replies queued for the writer
	pongToSend uint64                         // number of the ping to answer; 0 when none
}

// readLoop handles the peer's frames. It returns nil when the peer closes the
// stream, or the error with which the stream fails.
func (x *exchange) readLoop() error {
	for {
		frame, err := x.rpc.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.WithStack(err)
		}
		x.handleFrame(frame)
	}
}

func (x *exchange) handleFrame(frame *peerpb.Frame) {
	if frame.GetPing() != 0 {
		x.mu.Lock()
		x.pongToSend = frame.GetPing()
		x.mu.Unlock()
		x.wakeWriter()
	}
	if len(frame.GetGroups()) > 0 {
		x.dispatch(frame.GetGroups())
	}
	if len(frame.GetCancels()) > 0 {
		ids := make([]wire.SubRequestID, 0, len(frame.GetCancels()))
		for _, id := range frame.GetCancels() {
			ids = append(ids, idFromPB(id))
		}
		x.server.local.Cancel(ids)
	}
}

// dispatch passes the sub-requests of a frame to the local sender.
func (x *exchange) dispatch(groups []*peerpb.SubGroup) {
	var subs []wire.SubRequest
	for _, group := range groups {
		subs = appendSubsFromPB(subs, group)
	}
	x.mu.Lock()
	for i := range subs {
		x.unanswered[subs[i].ID] = struct{}{}
	}
	x.mu.Unlock()
	x.server.subsInProgress.Add(int64(len(subs)))
	x.server.local.Send(subs, x.queueReplies)
}

// queueReplies queues replies for the writer. It drops them when the stream has
// ended.
func (x *exchange) queueReplies(replies []wire.Reply) {
	x.mu.Lock()
	for _, r := range replies {
		delete(x.unanswered, r.ID)
	}
	ended := x.ended
	if !ended {
		x.unwritten = append(x.unwritten, replies...)
	}
	x.mu.Unlock()
	if ended {
		x.server.subsInProgress.Add(-int64(len(replies)))
		return
	}
	x.wakeWriter()
}

func (x *exchange) wakeWriter() {
	select {
	case x.wake <- struct{}{}:
	default:
	}
}

// writeLoop sends queued replies and pongs until the stream ends.
func (x *exchange) writeLoop() {
	for {
		select {
		case <-x.stop:
			return
		case <-x.wake:
		}
		for {
			frame := x.nextFrame()
			if frame == nil {
				break
			}
			err := x.rpc.Send(frame)
			x.server.subsInProgress.Add(-int64(len(frame.GetReplies())))
			if err != nil {
				return
			}
		}
	}
}

// nextFrame returns the next frame to write, or nil when nothing is queued or
// the stream has ended.
func (x *exchange) nextFrame() *peerpb.Frame {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := min(len(x.unwritten), maxReplyBatch)
	if x.ended || (n == 0 && x.pongToSend == 0) {
		return nil
	}
	frame := &peerpb.Frame{Pong: x.pongToSend, Replies: make([]*peerpb.Reply, 0, n)}
	x.pongToSend = 0
	for i := range x.unwritten[:n] {
		frame.Replies = append(frame.Replies, replyToPB(&x.unwritten[i]))
	}
	x.unwritten = x.unwritten[n:]
	if len(x.unwritten) == 0 {
		x.unwritten = nil
	}
	return frame
}

// cancelUnanswered runs when the stream has ended. It drops the unwritten
// replies and cancels the sub-requests without a reply. A sub-request that a
// replica already runs is not interrupted; its reply is dropped.
func (x *exchange) cancelUnanswered() {
	x.mu.Lock()
	x.ended = true
	ids := make([]wire.SubRequestID, 0, len(x.unanswered))
	for id := range x.unanswered {
		ids = append(ids, id)
	}
	dropped := len(x.unwritten)
	x.unwritten = nil
	x.mu.Unlock()
	x.server.subsInProgress.Add(-int64(dropped))
	if len(ids) > 0 {
		x.server.local.Cancel(ids)
	}
}
