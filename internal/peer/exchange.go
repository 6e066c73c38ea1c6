package peer

import (
	"io"
	"sync"

	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/peer/peerpb"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// maxReplyBatch is the most replies in one message.
const maxReplyBatch = 64

// exchange is the receiving side of one stream.
type exchange struct {
	server *Server
	rpc    peerpb.DRPCPeer_ExchangeStream
	wake   chan struct{}
	stop   chan struct{}

	mu      sync.Mutex
	gone    bool
	open    map[wire.SubID]struct{} // handed to the local sender, no reply yet
	replies []wire.Reply
	pong    uint64
}

func (x *exchange) read() error {
	for {
		frame, err := x.rpc.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.WithStack(err)
		}
		x.accept(frame)
	}
}

func (x *exchange) accept(frame *peerpb.Frame) {
	if frame.GetPing() != 0 {
		x.mu.Lock()
		x.pong = frame.GetPing()
		x.mu.Unlock()
		x.wakeWriter()
	}
	if len(frame.GetGroups()) > 0 {
		x.run(frame.GetGroups())
	}
	if len(frame.GetCancels()) > 0 {
		ids := make([]wire.SubID, 0, len(frame.GetCancels()))
		for _, id := range frame.GetCancels() {
			ids = append(ids, idFromPB(id))
		}
		x.server.local.Cancel(ids)
	}
}

func (x *exchange) run(groups []*peerpb.SubGroup) {
	var subs []wire.Sub
	for _, group := range groups {
		subs = appendSubs(subs, group)
	}
	x.mu.Lock()
	for i := range subs {
		x.open[subs[i].ID] = struct{}{}
	}
	x.mu.Unlock()
	x.server.running.Add(int64(len(subs)))
	x.server.local.Send(subs, x.finish)
}

// finish queues replies for the writer. After the stream has ended nobody
// waits for them.
func (x *exchange) finish(replies []wire.Reply) {
	x.mu.Lock()
	for _, r := range replies {
		delete(x.open, r.ID)
	}
	gone := x.gone
	if !gone {
		x.replies = append(x.replies, replies...)
	}
	x.mu.Unlock()
	if gone {
		x.server.running.Add(-int64(len(replies)))
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

func (x *exchange) write() {
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
			x.server.running.Add(-int64(len(frame.GetReplies())))
			if err != nil {
				return
			}
		}
	}
}

func (x *exchange) nextFrame() *peerpb.Frame {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := min(len(x.replies), maxReplyBatch)
	if x.gone || (n == 0 && x.pong == 0) {
		return nil
	}
	frame := &peerpb.Frame{Pong: x.pong, Replies: make([]*peerpb.Reply, 0, n)}
	x.pong = 0
	for i := range x.replies[:n] {
		frame.Replies = append(frame.Replies, replyToPB(&x.replies[i]))
	}
	x.replies = x.replies[n:]
	if len(x.replies) == 0 {
		x.replies = nil
	}
	return frame
}

// abandon cancels what the peer no longer waits for. What already runs ends by
// itself; its reply is dropped.
func (x *exchange) abandon() {
	x.mu.Lock()
	x.gone = true
	ids := make([]wire.SubID, 0, len(x.open))
	for id := range x.open {
		ids = append(ids, id)
	}
	unwritten := len(x.replies)
	x.replies = nil
	x.mu.Unlock()
	x.server.running.Add(-int64(unwritten))
	if len(ids) > 0 {
		x.server.local.Cancel(ids)
	}
}
