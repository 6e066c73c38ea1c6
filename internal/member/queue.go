package member

import (
	"math/bits"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/arbutusgauge/arbutusgauge/internal/peer/peerpb"
)

const (
	// sendsPerBit times the bits of the host count is the number of messages
	// that carry an event, counting those received with the same event. Without
	// that count the queue stayed full for minutes after 800 simulated hosts
	// had started at once, and a death among them was not known everywhere
	// within 40 s.
	sendsPerBit = 3
	// fieldBytes is the protobuf overhead of one event within a message.
	fieldBytes = 3
	// maxQueued bounds the events that wait to be sent.
	maxQueued = 4096
)

// queued is one event and the number of messages that have carried it.
type queued struct {
	key    string
	member *peerpb.MemberEvent
	server *peerpb.ServerEvent
	bytes  int
	sends  int
}

// queue holds the events that are still to be spread, least sent first. A
// newer event about a host or server replaces the older one.
type queue struct{ items []queued }

func (q *queue) addMember(ev *peerpb.MemberEvent) {
	q.add(queued{key: "m/" + ev.Name, member: ev, bytes: proto.Size(ev) + fieldBytes})
}

func (q *queue) addServer(ev *peerpb.ServerEvent) {
	q.add(queued{key: "s/" + ev.Replica, server: ev, bytes: proto.Size(ev) + fieldBytes})
}

func (q *queue) add(item queued) {
	q.items = slices.DeleteFunc(q.items, func(old queued) bool { return old.key == item.key })
	if len(q.items) >= maxQueued {
		q.items = q.items[:maxQueued-1]
	}
	q.items = slices.Insert(q.items, 0, item)
}

// fill puts events into m up to budget bytes and returns the bytes left. hosts
// is the number of known hosts.
func (q *queue) fill(m *peerpb.GossipMessage, budget, hosts int) int {
	limit := sendsPerBit * bits.Len(uint(hosts))
	sent := 0
	for i := range q.items {
		item := &q.items[i]
		if item.bytes > budget {
			continue
		}
		budget -= item.bytes
		item.sends++
		sent++
		if item.member != nil {
			m.Members = append(m.Members, item.member)
		} else {
			m.Servers = append(m.Servers, item.server)
		}
	}
	if sent > 0 {
		q.items = slices.DeleteFunc(q.items, func(item queued) bool { return item.sends >= limit })
		slices.SortStableFunc(q.items, func(a, b queued) int { return a.sends - b.sends })
	}
	return budget
}

// received counts a message from another host that carries the same event as
// one of this host's, because an event that others know already needs less
// spreading.
func (q *queue) received(ev *peerpb.MemberEvent) {
	for i := range q.items {
		m := q.items[i].member
		if m != nil && m.Name == ev.Name {
			if m.Incarnation == ev.Incarnation && m.Counter == ev.Counter && m.State == ev.State {
				q.items[i].sends++
			}
			return
		}
	}
}

// clearMembers drops the events about hosts.
func (q *queue) clearMembers() {
	q.items = slices.DeleteFunc(q.items, func(item queued) bool { return item.member != nil })
}
