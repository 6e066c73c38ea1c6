package member

import (
	"context"

	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/peer/peerpb"
)

const (
	// smallTable is the number of hosts up to which spare room in messages
	// carries hosts in turn. It keeps the shown configuration versions fresh
	// in small installations; in large ones its cost is not worth it.
	smallTable = 64
	// fillerHosts is the number of such hosts in one message.
	fillerHosts = 3
)

// HandleGossip answers a message of another host.
func (a *Agent) HandleGossip(ctx context.Context, m *peerpb.GossipMessage) (*peerpb.GossipMessage, error) {
	a.wait()
	a.opts.Scope.Counter("messages_received").Inc(1)
	switch m.GetKind() {
	case peerpb.GossipMessage_INDIRECT:
		a.absorb(m)
		return a.handleIndirect(ctx, m), nil
	case peerpb.GossipMessage_TABLE:
		return a.handleTable(m), nil
	default:
		a.absorb(m)
		a.lock()
		defer a.unlock()
		kind := peerpb.GossipMessage_ACK
		if m.Target != "" && m.Target != a.self.Name {
			kind = peerpb.GossipMessage_FAILED
		}
		return a.message(kind, m.GetFrom().GetName()), nil
	}
}

// absorb takes in a message and calls the configuration callbacks.
func (a *Agent) absorb(m *peerpb.GossipMessage) {
	a.lock()
	a.merges(m)
	callbacks := a.newer(m)
	a.unlock()
	for _, f := range callbacks {
		f(m.From.Addr, m.ConfigVersion)
	}
}

// merges takes in the events of a message. The lock is held.
func (a *Agent) merges(m *peerpb.GossipMessage) {
	failed := a.heard(m)
	// Table comparisons fill gaps that few hosts have, so that their content
	// is not spread further.
	a.quiet = m.GetKind() == peerpb.GossipMessage_TABLE
	defer func() { a.quiet = false }()
	from := source{dataCentre: m.GetFrom().GetDataCentre(), failed: failed}
	for _, ev := range m.Members {
		claim := State(min(ev.State, uint32(Dead)))
		// A host that is held for dead here was cut off; its claims about
		// others come from the time when it could reach nobody.
		if failed && ev.Name != a.self.Name && (claim == Suspect || claim == Dead) {
			continue
		}
		a.merge(ev, from)
	}
	for _, ev := range m.Servers {
		a.absorbServer(ev)
	}
}

// newer returns the callbacks if the sender shows a higher configuration
// version.
func (a *Agent) newer(m *peerpb.GossipMessage) []func(string, uint64) {
	if m.ConfigVersion <= a.self.ConfigVersion || m.GetFrom().GetName() == a.self.Name {
		return nil
	}
	return a.callbacks
}

// message returns a message with as many events as fit. to names the receiver
// if known: it gets this host's record of it when that says that it failed.
// The lock is held, taken by lock, so that a host that was paused doesn't send
// old events.
func (a *Agent) message(kind peerpb.GossipMessage_Kind, to string, extra ...*peerpb.MemberEvent) *peerpb.GossipMessage {
	m := &peerpb.GossipMessage{Kind: kind, From: eventOf(a.self), ConfigVersion: a.self.ConfigVersion}
	m.From.ConfigVersion = 0 // stated once, in the message
	m.Members = append(m.Members, extra...)
	if a.stale {
		return m
	}
	if e, ok := a.table[to]; ok && (e.host.State == Suspect || e.host.State == Dead) {
		m.Members = append(m.Members, e.event())
	}
	left := a.queue.fill(m, a.opts.MaxEventBytes, len(a.table)+1)
	a.fillSpare(m, left)
	return m
}

// fillSpare adds hosts in turn to a message of a small installation.
func (a *Agent) fillSpare(m *peerpb.GossipMessage, left int) {
	if len(a.table) == 0 || len(a.table) > smallTable {
		return
	}
	for range fillerHosts {
		if len(a.filler) == 0 {
			a.filler = a.names(func(h Host) bool { return h.State != Dead })
		}
		if len(a.filler) == 0 {
			return
		}
		name := a.filler[0]
		a.filler = a.filler[1:]
		e, ok := a.table[name]
		if !ok {
			continue
		}
		ev := e.event()
		left -= eventBytes
		if left < 0 {
			return
		}
		m.Members = append(m.Members, ev)
	}
}

// eventBytes is the room that a filler host is taken to need.
const eventBytes = 100

// names returns the names of the hosts that match, shuffled.
func (a *Agent) names(match func(Host) bool) []string {
	var out []string
	for name, e := range a.table {
		if match(e.host) {
			out = append(out, name)
		}
	}
	sortShuffle(a.rng, out)
	return out
}

// send sends a message and takes in its answer. *NoAnswerError reports that
// there was none.
func (a *Agent) send(ctx context.Context, addr string, m *peerpb.GossipMessage) (*peerpb.GossipMessage, error) {
	a.opts.Scope.Counter("messages_sent").Inc(1)
	reply, err := a.opts.Gossiper.Gossip(ctx, addr, m)
	a.wait()
	if err != nil {
		return nil, errors.WithStack(&NoAnswerError{Addr: addr, Err: err})
	}
	return reply, nil
}

// push sends a CONFIG message to random members without waiting.
func (a *Agent) push() {
	a.mu.Lock()
	names := a.names(func(h Host) bool { return h.State == Live || h.State == Leaving })
	names = names[:min(len(names), a.opts.AnnounceFanout)]
	var hosts []Host
	for _, name := range names {
		hosts = append(hosts, a.table[name].host)
	}
	a.mu.Unlock()
	for _, host := range hosts {
		a.spawn(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, a.opts.RemoteTimeout)
			defer cancel()
			a.lock()
			m := a.message(peerpb.GossipMessage_CONFIG, host.Name)
			a.mu.Unlock()
			if reply, err := a.send(ctx, host.Addr, m); err == nil {
				a.absorb(reply)
			}
		})
	}
}
