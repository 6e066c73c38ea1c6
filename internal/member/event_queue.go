package member

import (
	"math/bits"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/arbutusgauge/arbutusgauge/internal/peer/peerpb"
)

const (
	// sendsPerHostBit times the number of bits of the host count is the number
	// of messages that carry an event before it is dropped. Messages received
	// with the same event count too: otherwise the queue stayed full for minutes
	// after 800 simulated hosts had started at once, and the failure of one host
	// was not known everywhere within 40 s.
	sendsPerHostBit = 3
	// eventOverheadBytes is the protobuf overhead of one event within a
	// message.
	eventOverheadBytes = 3
	// maxQueuedEvents bounds the number of events in the queue.
	maxQueuedEvents = 4096
)

// queuedEvent is an event about a host or a backend server; one of member and
// server is set.
type queuedEvent struct {
	key       string
	member    *peerpb.MemberEvent
	server    *peerpb.ServerEvent
	sizeBytes int
	sendCount int
}

// eventQueue holds the events that are still to be spread, least sent first. A
// newer event about a host or server replaces the older one.
type eventQueue struct{ items []queuedEvent }

func (q *eventQueue) addMember(ev *peerpb.MemberEvent) {
	q.add(queuedEvent{key: "m/" + ev.Name, member: ev, sizeBytes: proto.Size(ev) + eventOverheadBytes})
}

func (q *eventQueue) addServer(ev *peerpb.ServerEvent) {
	q.add(queuedEvent{key: "s/" + ev.Replica, server: ev, sizeBytes: proto.Size(ev) + eventOverheadBytes})
}

func (q *eventQueue) add(item queuedEvent) {
	q.items = slices.DeleteFunc(q.items, func(old queuedEvent) bool { return old.key == item.key })
	if len(q.items) >= maxQueuedEvents {
		q.items = q.items[:maxQueuedEvents-1]
	}
	q.items = slices.Insert(q.items, 0, item)
}

// fill adds queued events of up to budget bytes in total to m and returns the
// bytes left of budget. It drops events that were sent often enough for the
// number of known hosts.
func (q *eventQueue) fill(m *peerpb.GossipMessage, budget, hosts int) int {
	limit := sendsPerHostBit * bits.Len(uint(hosts))
	sent := 0
	for i := range q.items {
		item := &q.items[i]
		if item.sizeBytes > budget {
			continue
		}
		budget -= item.sizeBytes
		item.sendCount++
		sent++
		if item.member != nil {
			m.Members = append(m.Members, item.member)
		} else {
			m.Servers = append(m.Servers, item.server)
		}
	}
	if sent > 0 {
		q.items = slices.DeleteFunc(q.items, func(item queuedEvent) bool { return item.sendCount >= limit })
		slices.SortStableFunc(q.items, func(a, b queuedEvent) int { return a.sendCount - b.sendCount })
	}
	return budget
}

// countReceived counts a message from another host that carries an event of this
// queue as if it was sent by this host, because an event that others know
// already needs less spreading.
func (q *eventQueue) countReceived(ev *peerpb.MemberEvent) {
	for i := range q.items {
		m := q.items[i].member
		if m != nil && m.Name == ev.Name {
			if m.Incarnation == ev.Incarnation && m.Counter == ev.Counter && m.State == ev.State {
				q.items[i].sendCount++
			}
			return
		}
	}
}

// clearMembers removes the events about hosts.
func (q *eventQueue) clearMembers() {
	q.items = slices.DeleteFunc(q.items, func(item queuedEvent) bool { return item.member != nil })
}
