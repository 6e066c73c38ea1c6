package member

import (
	"context"

	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/peer/peerpb"
)

const (
	// maxTableForFiller is the number of hosts up to which messages are filled
	// up with hosts from the table in turn. This keeps the displayed configuration
	// versions up to date in small installations; in large ones it costs more
	// than it is worth.
	maxTableForFiller = 64
	// fillerHostsPerMessage is the number of hosts that one message is filled
	// up with.
	fillerHostsPerMessage = 3
)

// HandleGossip applies a message from another host and returns the answer. The
// error is always nil.
func (a *Agent) HandleGossip(ctx context.Context, m *peerpb.GossipMessage) (*peerpb.GossipMessage, error) {
	a.waitIfPaused()
	a.opts.Scope.Counter("messages_received").Inc(1)
	switch m.GetKind() {
	case peerpb.GossipMessage_INDIRECT:
		a.mergeMessage(m)
		return a.handleIndirect(ctx, m), nil
	case peerpb.GossipMessage_TABLE:
		return a.handleTable(m), nil
	default:
		a.mergeMessage(m)
		a.lockAndDetectPause()
		defer a.publishAndUnlock()
		kind := peerpb.GossipMessage_ACK
		if m.Target != "" && m.Target != a.self.Name {
			kind = peerpb.GossipMessage_FAILED
		}
		return a.newMessage(kind, m.GetFrom().GetName()), nil
	}
}

// mergeMessage applies a message to the table, and calls the configuration
// callbacks if the sender has a newer configuration.
func (a *Agent) mergeMessage(m *peerpb.GossipMessage) {
	a.lockAndDetectPause()
	a.mergeEvents(m)
	callbacks := a.newerConfigCallbacks(m)
	a.publishAndUnlock()
	for _, f := range callbacks {
		f(m.From.Addr, m.ConfigVersion)
	}
}

// mergeEvents applies the claims and server events of a message. The caller
// holds mu.
func (a *Agent) mergeEvents(m *peerpb.GossipMessage) {
	senderFailed := a.mergeSender(m)
	// Events from a table comparison are known to most hosts already, so they
	// are not spread further.
	a.spreadSuppressed = m.GetKind() == peerpb.GossipMessage_TABLE
	defer func() { a.spreadSuppressed = false }()
	src := claimSource{dataCentre: m.GetFrom().GetDataCentre(), senderFailed: senderFailed}
	for _, ev := range m.Members {
		claim := State(min(ev.State, uint32(Dead)))
		// A sender that is recorded as failed here was cut off. It may claim
		// that others failed because it could not reach them.
		if senderFailed && ev.Name != a.self.Name && (claim == Suspect || claim == Dead) {
			continue
		}
		a.mergeMember(ev, src)
	}
	for _, ev := range m.Servers {
		a.mergeServer(ev)
	}
}

// newerConfigCallbacks returns the configuration callbacks if the sender has a
// higher configuration version than this host, otherwise nil.
func (a *Agent) newerConfigCallbacks(m *peerpb.GossipMessage) []func(string, uint64) {
	if m.ConfigVersion <= a.self.ConfigVersion || m.GetFrom().GetName() == a.self.Name {
		return nil
	}
	return a.configCallbacks
}

// newMessage returns a message with as many events as fit. to names the
// receiver, or is empty if it is not known. A receiver that is recorded as
// failed here gets that claim too. While the table is stale, the message has
// only the extra events. The caller has locked mu by lockAndDetectPause, so that
// a host that was paused doesn't send old events.
func (a *Agent) newMessage(kind peerpb.GossipMessage_Kind, to string, extra ...*peerpb.MemberEvent) *peerpb.GossipMessage {
	m := &peerpb.GossipMessage{Kind: kind, From: memberEvent(a.self), ConfigVersion: a.self.ConfigVersion}
	m.From.ConfigVersion = 0 // is in m.ConfigVersion
	m.Members = append(m.Members, extra...)
	if a.stale {
		return m
	}
	if e, ok := a.table[to]; ok && (e.host.State == Suspect || e.host.State == Dead) {
		m.Members = append(m.Members, e.toEvent())
	}
	remainingBytes := a.events.fill(m, a.opts.MaxEventBytes, len(a.table)+1)
	a.addFillerHosts(m, remainingBytes)
	return m
}

// addFillerHosts adds the next hosts of the table to m if the installation is
// small. remainingBytes is the room that is left in m.
func (a *Agent) addFillerHosts(m *peerpb.GossipMessage, remainingBytes int) {
	if len(a.table) == 0 || len(a.table) > maxTableForFiller {
		return
	}
	for range fillerHostsPerMessage {
		if len(a.fillerNames) == 0 {
			a.fillerNames = a.shuffledNames(func(h Host) bool { return h.State != Dead })
		}
		if len(a.fillerNames) == 0 {
			return
		}
		name := a.fillerNames[0]
		a.fillerNames = a.fillerNames[1:]
		e, ok := a.table[name]
		if !ok {
			continue
		}
		ev := e.toEvent()
		remainingBytes -= fillerEventBytes
		if remainingBytes < 0 {
			return
		}
		m.Members = append(m.Members, ev)
	}
}

// fillerEventBytes is the estimated size of one filler host in a message.
const fillerEventBytes = 100

// shuffledNames returns the names of the hosts that match, in random order. The
// caller holds mu.
func (a *Agent) shuffledNames(match func(Host) bool) []string {
	var out []string
	for name, e := range a.table {
		if match(e.host) {
			out = append(out, name)
		}
	}
	sortAndShuffle(a.rng, out)
	return out
}

// send sends a message and returns the answer. It returns a *NoAnswerError if
// there was none.
func (a *Agent) send(ctx context.Context, addr string, m *peerpb.GossipMessage) (*peerpb.GossipMessage, error) {
	a.opts.Scope.Counter("messages_sent").Inc(1)
	reply, err := a.opts.Gossiper.Gossip(ctx, addr, m)
	a.waitIfPaused()
	if err != nil {
		return nil, errors.WithStack(&NoAnswerError{Addr: addr, Err: err})
	}
	return reply, nil
}

// sendToRandomHosts sends a CONFIG message, which also carries queued events, to
// AnnounceFanout random hosts without waiting for their answers.
func (a *Agent) sendToRandomHosts() {
	a.mu.Lock()
	names := a.shuffledNames(func(h Host) bool { return h.State == Live || h.State == Leaving })
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
			a.lockAndDetectPause()
			m := a.newMessage(peerpb.GossipMessage_CONFIG, host.Name)
			a.mu.Unlock()
			if reply, err := a.send(ctx, host.Addr, m); err == nil {
				a.mergeMessage(reply)
			}
		})
	}
}
