package route

import (
	"sync"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// sentStripes is the number of separately locked parts of a sentIndex.
const sentStripes = 16

// sentIndex maps each outstanding sub-request to the address of the host that it was
// sent to, because the owner may have changed by the time it is cancelled.
type sentIndex struct {
	stripes [sentStripes]struct {
		mu    sync.Mutex
		addrs map[wire.SubRequestID]string
	}
}

func (x *sentIndex) add(addr string, subs []wire.SubRequest) {
	for i := range subs {
		stripe := &x.stripes[subs[i].ID.Seq%sentStripes]
		stripe.mu.Lock()
		if stripe.addrs == nil {
			stripe.addrs = map[wire.SubRequestID]string{}
		}
		stripe.addrs[subs[i].ID] = addr
		stripe.mu.Unlock()
	}
}

func (x *sentIndex) remove(replies []wire.Reply) {
	for i := range replies {
		stripe := &x.stripes[replies[i].ID.Seq%sentStripes]
		stripe.mu.Lock()
		delete(stripe.addrs, replies[i].ID)
		stripe.mu.Unlock()
	}
}

// groupByAddr groups the ids of outstanding sub-requests by the address that they
// were sent to. It omits ids of sub-requests that are not outstanding.
func (x *sentIndex) groupByAddr(ids []wire.SubRequestID) map[string][]wire.SubRequestID {
	groups := map[string][]wire.SubRequestID{}
	for _, id := range ids {
		stripe := &x.stripes[id.Seq%sentStripes]
		stripe.mu.Lock()
		addr, ok := stripe.addrs[id]
		stripe.mu.Unlock()
		if ok {
			groups[addr] = append(groups[addr], id)
		}
	}
	return groups
}
