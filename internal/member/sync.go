package member

import (
	"context"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/arbutusgauge/arbutusgauge/internal/peer/peerpb"
)

const (
	// maxTableBytes bounds one TABLE message; a larger difference takes
	// several rounds.
	maxTableBytes = 64 << 10
	// maxTableRounds bounds the rounds of one comparison.
	maxTableRounds = 16
	// maxServerEvents bounds the server events in one TABLE message; at about
	// 32 bytes each they fill half of it.
	maxServerEvents = 1024
	// joinContacts is the number of hosts asked at once while joining.
	joinContacts = 3
)

// join compares tables with a few contacts until one answers.
func (a *Agent) join() {
	a.mu.Lock()
	if a.joining {
		a.mu.Unlock()
		return
	}
	addrs := a.joinAddrs()
	a.joining = len(addrs) > 0
	a.mu.Unlock()
	if len(addrs) == 0 {
		return
	}
	a.spawn(func(ctx context.Context) {
		for _, addr := range addrs {
			answered := a.exchange(ctx, addr)
			a.mu.Lock()
			done := answered && !a.stale
			a.mu.Unlock()
			if done {
				break
			}
		}
		a.mu.Lock()
		defer a.mu.Unlock()
		a.joining = false
	})
}

// joinAddrs returns addresses to ask: hosts of the own data centre first,
// because only they can tell a stale host about its neighbours. A host that
// was cut off holds them for dead, so dead ones are asked too.
func (a *Agent) joinAddrs() []string {
	var out, rest []string
	local := func(dead bool) func(Host) bool {
		return func(h Host) bool { return h.DataCentre == a.self.DataCentre && (h.State == Dead) == dead }
	}
	for _, dead := range []bool{false, true} {
		names := a.names(local(dead))
		for _, name := range names[:min(len(names), joinContacts)] {
			out = append(out, a.table[name].host.Addr)
		}
	}
	for _, name := range a.names(func(h Host) bool { return h.DataCentre != a.self.DataCentre }) {
		rest = append(rest, a.table[name].host.Addr)
	}
	rest = append(rest, a.unknownContacts()...)
	sortShuffle(a.rng, rest)
	return append(out, rest[:min(len(rest), joinContacts)]...)
}

// canTell reports whether the host that answered knows the hosts of the own
// data centre first-hand, or nobody else does.
func (a *Agent) canTell(addr string) bool {
	alone := true
	for _, e := range a.table {
		if e.host.DataCentre != a.self.DataCentre {
			continue
		}
		if e.host.Addr == addr {
			return true
		}
		alone = false
	}
	return alone
}

// unknownContacts returns the seeds and listed hosts that are the address of
// no known host.
func (a *Agent) unknownContacts() []string {
	known := map[string]bool{a.self.Addr: true}
	for _, e := range a.table {
		known[e.host.Addr] = true
	}
	var out []string
	for _, addr := range slices.Concat(a.opts.Seeds, a.contacts) {
		if !known[addr] {
			known[addr] = true
			out = append(out, addr)
		}
	}
	return out
}

// compareTable compares the whole table with one random host.
func (a *Agent) compareTable() {
	a.mu.Lock()
	names := a.names(func(h Host) bool { return h.State == Live })
	var addr string
	if len(names) > 0 {
		addr = a.table[names[0]].host.Addr
	}
	a.mu.Unlock()
	if addr != "" {
		a.spawn(func(ctx context.Context) { a.exchange(ctx, addr) })
	}
}

// exchange compares tables with the host at addr by digest and transfers the
// buckets that differ. It reports whether the host answered.
func (a *Agent) exchange(ctx context.Context, addr string) bool {
	a.lock()
	pauses, stale := a.pauses, a.stale
	a.mu.Unlock()
	var before []bool
	for range maxTableRounds {
		differ, ok := a.exchangeRound(ctx, addr)
		if !ok {
			return before != nil
		}
		// A difference that stays is one that this host doesn't accept, such
		// as another data centre's claim about a host of this one.
		if !slices.Contains(differ, true) || slices.Equal(differ, before) {
			break
		}
		before = differ
	}
	a.lock()
	defer a.mu.Unlock()
	if stale && pauses == a.pauses && a.canTell(addr) {
		a.stale = false
	}
	return true
}

// exchangeRound is one round of exchange. It returns the buckets that
// differed before the round.
func (a *Agent) exchangeRound(ctx context.Context, addr string) (differ []bool, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, a.opts.TableTimeout)
	defer cancel()
	a.lock()
	mine := a.digests()
	pauses, replace := a.pauses, a.stale
	m := a.tableMessage(mine)
	a.mu.Unlock()
	reply, err := a.send(ctx, addr, m)
	if err != nil || len(reply.Digests) != len(mine) || reply.GetFrom().GetName() == a.self.Name {
		return nil, false
	}
	differ = differing(mine, reply.Digests)
	outgoing, ok := a.mergeTable(reply, differ, round{pauses: pauses, replace: replace})
	if !ok {
		return nil, false
	}
	if outgoing != nil {
		if answer, err := a.send(ctx, addr, outgoing); err == nil {
			a.absorb(answer)
		}
	}
	return differ, true
}

// round is the state of the host when it began a round of exchange.
type round struct {
	pauses  uint64
	replace bool // the table was stale
}

func (a *Agent) tableMessage(digests []uint64) *peerpb.GossipMessage {
	return &peerpb.GossipMessage{
		Kind: peerpb.GossipMessage_TABLE, From: eventOf(a.self), ConfigVersion: a.self.ConfigVersion, Digests: digests,
	}
}

// mergeTable takes in the answer to a TABLE message and returns what the
// other host lacks, or nil. It reports false if the process was paused during
// the round, so that the answer is old.
func (a *Agent) mergeTable(reply *peerpb.GossipMessage, differ []bool, r round) (*peerpb.GossipMessage, bool) {
	a.lock()
	if a.pauses != r.pauses {
		a.unlock()
		return nil, false
	}
	a.joined = true
	if r.replace {
		a.replaceTable(reply, differ)
		callbacks := a.newer(reply)
		a.unlock()
		for _, f := range callbacks {
			f(reply.From.Addr, reply.ConfigVersion)
		}
		return nil, true
	}
	var out *peerpb.GossipMessage
	if slices.Contains(differ, true) {
		out = a.tableMessage(nil)
		a.addBuckets(out, differ, nil)
	}
	a.unlock()
	a.absorb(reply)
	return out, true
}

// replaceTable makes the buckets that differ equal to the other host's: what
// a stale table holds beyond them may have ended during the pause.
func (a *Agent) replaceTable(reply *peerpb.GossipMessage, differ []bool) {
	a.heard(reply)
	named := map[string]bool{reply.GetFrom().GetName(): true}
	from := source{dataCentre: reply.GetFrom().GetDataCentre(), replace: true}
	for _, ev := range reply.Members {
		named[ev.Name] = true
		a.merge(ev, from)
	}
	for name, e := range a.table {
		if differ[bucketOf(name)] && !named[name] && e.host.State != Dead {
			delete(a.table, name)
			a.dirty = true
		}
	}
	for _, ev := range reply.Servers {
		a.absorbServer(ev)
	}
	// What was taken over is known to the others.
	a.queue.clearMembers()
	a.queue.addMember(eventOf(a.self))
}

func differing(mine, theirs []uint64) []bool {
	out := make([]bool, len(mine))
	for i := range mine {
		out[i] = i >= len(theirs) || mine[i] != theirs[i]
	}
	return out
}

// handleTable answers a TABLE message: with digests it asks for the buckets
// that differ, without it brings such buckets.
func (a *Agent) handleTable(m *peerpb.GossipMessage) *peerpb.GossipMessage {
	a.absorb(m)
	a.lock()
	defer a.unlock()
	if len(m.Digests) == 0 || a.stale {
		return a.message(peerpb.GossipMessage_ACK, m.GetFrom().GetName())
	}
	mine := a.digests()
	reply := a.tableMessage(mine)
	a.addBuckets(reply, differing(mine, m.Digests), m.Digests)
	return reply
}

// addBuckets puts the hosts of the chosen buckets into m. When they don't all
// fit, the remaining buckets get the receiver's own digests, so that it treats
// them as equal until the next round.
func (a *Agent) addBuckets(m *peerpb.GossipMessage, chosen []bool, theirs []uint64) {
	buckets := make([][]*peerpb.MemberEvent, memberBuckets)
	add := func(ev *peerpb.MemberEvent) {
		if b := bucketOf(ev.Name); chosen[b] {
			buckets[b] = append(buckets[b], ev)
		}
	}
	add(eventOf(a.self))
	for _, e := range a.table {
		add(e.event())
	}
	left := maxTableBytes
	start := a.rng.IntN(memberBuckets)
	for i := range memberBuckets {
		b := (start + i) % memberBuckets
		size := 0
		for _, ev := range buckets[b] {
			size += proto.Size(ev) + fieldBytes
		}
		if size > left {
			if theirs != nil {
				m.Digests[b] = theirs[b]
			}
			continue
		}
		left -= size
		m.Members = append(m.Members, buckets[b]...)
	}
	if chosen[memberBuckets] {
		m.Servers = a.serverEvents(maxServerEvents)
	}
}
