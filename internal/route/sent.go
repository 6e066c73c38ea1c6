package route

import (
	"sync"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// sentShards spreads the lock of the log over this many parts.
const sentShards = 16

// sentLog remembers where each outstanding sub-request went, because its owner
// may have changed by the time it is cancelled.
type sentLog struct {
	parts [sentShards]struct {
		mu    sync.Mutex
		addrs map[wire.SubID]string
	}
}

func (l *sentLog) add(addr string, subs []wire.Sub) {
	for i := range subs {
		part := &l.parts[subs[i].ID.Seq%sentShards]
		part.mu.Lock()
		if part.addrs == nil {
			part.addrs = map[wire.SubID]string{}
		}
		part.addrs[subs[i].ID] = addr
		part.mu.Unlock()
	}
}

func (l *sentLog) remove(replies []wire.Reply) {
	for i := range replies {
		part := &l.parts[replies[i].ID.Seq%sentShards]
		part.mu.Lock()
		delete(part.addrs, replies[i].ID)
		part.mu.Unlock()
	}
}

func (l *sentLog) group(ids []wire.SubID) map[string][]wire.SubID {
	groups := map[string][]wire.SubID{}
	for _, id := range ids {
		part := &l.parts[id.Seq%sentShards]
		part.mu.Lock()
		addr, ok := part.addrs[id]
		part.mu.Unlock()
		if ok {
			groups[addr] = append(groups[addr], id)
		}
	}
	return groups
}
