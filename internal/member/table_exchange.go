package member

import (
	"context"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/arbutusgauge/arbutusgauge/internal/peer/peerpb"
)

const (
	// maxTableBytes bounds the size of the hosts in one TABLE message; a larger
	// difference is transferred in several rounds.
	maxTableBytes = 64 << 10
	// maxTableRounds bounds the number of rounds of one comparison.
	maxTableRounds = 16
	// maxServerEvents bounds the number of server events in one TABLE message.
	// At about 32 bytes each they need half as much room as maxTableBytes.
	maxServerEvents = 1024
	// joinAddrsPerGroup bounds the hosts of each group that joinAddrs returns:
	// own data centre and not dead, own data centre and dead, all others.
	joinAddrsPerGroup = 3
)

// join exchanges tables with a few hosts in turn, until one has answered and the
// own table is not stale.
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
			answered := a.exchangeTables(ctx, addr)
			a.mu.Lock()
			joined := answered && !a.stale
			a.mu.Unlock()
			if joined {
				break
			}
		}
		a.mu.Lock()
		defer a.mu.Unlock()
		a.joining = false
	})
}

// joinAddrs returns the addresses to exchange tables with when joining. Hosts of
// the own data centre come first, because a stale host can rely only on their
// claims about the hosts of its data centre. Dead hosts are included, because a
// host that was cut off has recorded the others as dead. The caller holds mu.
func (a *Agent) joinAddrs() []string {
	var out, others []string
	isLocal := func(dead bool) func(Host) bool {
		return func(h Host) bool { return h.DataCentre == a.self.DataCentre && (h.State == Dead) == dead }
	}
	for _, dead := range []bool{false, true} {
		names := a.shuffledNames(isLocal(dead))
		for _, name := range names[:min(len(names), joinAddrsPerGroup)] {
			out = append(out, a.table[name].host.Addr)
		}
	}
	for _, name := range a.shuffledNames(func(h Host) bool { return h.DataCentre != a.self.DataCentre }) {
		others = append(others, a.table[name].host.Addr)
	}
	others = append(others, a.unknownContacts()...)
	sortAndShuffle(a.rng, others)
	return append(out, others[:min(len(others), joinAddrsPerGroup)]...)
}

// knowsOwnDataCentre reports whether this host can rely on the table of the host
// at addr for the own data centre: that host is in the same data centre and
// probes its hosts, or no other host of the own data centre is known. The caller
// holds mu.
func (a *Agent) knowsOwnDataCentre(addr string) bool {
	noLocalHosts := true
	for _, e := range a.table {
		if e.host.DataCentre != a.self.DataCentre {
			continue
		}
		if e.host.Addr == addr {
			return true
		}
		noLocalHosts = false
	}
	return noLocalHosts
}

// unknownContacts returns the addresses among the seeds and the listed entry
// hosts that don't belong to a known host. The caller holds mu.
func (a *Agent) unknownContacts() []string {
	known := map[string]bool{a.self.Addr: true}
	for _, e := range a.table {
		known[e.host.Addr] = true
	}
	var out []string
	for _, addr := range slices.Concat(a.opts.Seeds, a.listedEntryAddrs) {
		if !known[addr] {
			known[addr] = true
			out = append(out, addr)
		}
	}
	return out
}

// exchangeWithRandomHost exchanges tables with one random live host.
func (a *Agent) exchangeWithRandomHost() {
	a.mu.Lock()
	names := a.shuffledNames(func(h Host) bool { return h.State == Live })
	var addr string
	if len(names) > 0 {
		addr = a.table[names[0]].host.Addr
	}
	a.mu.Unlock()
	if addr != "" {
		a.spawn(func(ctx context.Context) { a.exchangeTables(ctx, addr) })
	}
}

// exchangeTables compares the table with that of the host at addr by digests,
// and transfers the buckets that differ. It reports whether the host answered.
func (a *Agent) exchangeTables(ctx context.Context, addr string) bool {
	a.lockAndDetectPause()
	pauseCount, wasStale := a.pauseCount, a.stale
	a.mu.Unlock()
	var previous []bool
	for range maxTableRounds {
		differs, ok := a.exchangeRound(ctx, addr)
		if !ok {
			return previous != nil
		}
		// A difference that remains is one that this host doesn't accept, such
		// as another data centre's claim about a host of this data centre.
		if !slices.Contains(differs, true) || slices.Equal(differs, previous) {
			break
		}
		previous = differs
	}
	a.lockAndDetectPause()
	defer a.mu.Unlock()
	if wasStale && pauseCount == a.pauseCount && a.knowsOwnDataCentre(addr) {
		a.stale = false
	}
	return true
}

// exchangeRound runs one round of exchangeTables. It returns which buckets
// differed before the round; ok is false if there was no usable answer.
func (a *Agent) exchangeRound(ctx context.Context, addr string) (differs []bool, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, a.opts.TableTimeout)
	defer cancel()
	a.lockAndDetectPause()
	digests := a.tableDigests()
	pauseCount, wasStale := a.pauseCount, a.stale
	m := a.newTableMessage(digests)
	a.mu.Unlock()
	reply, err := a.send(ctx, addr, m)
	if err != nil || len(reply.Digests) != len(digests) || reply.GetFrom().GetName() == a.self.Name {
		return nil, false
	}
	differs = differingBuckets(digests, reply.Digests)
	outgoing, ok := a.mergeTableReply(reply, differs, roundStart{pauseCount: pauseCount, wasStale: wasStale})
	if !ok {
		return nil, false
	}
	if outgoing != nil {
		if answer, err := a.send(ctx, addr, outgoing); err == nil {
			a.mergeMessage(answer)
		}
	}
	return differs, true
}

// roundStart is the state of this host at the start of an exchange round.
type roundStart struct {
	pauseCount uint64
	wasStale   bool // Agent.stale at that time
}

// newTableMessage returns a TABLE message without hosts.
func (a *Agent) newTableMessage(digests []uint64) *peerpb.GossipMessage {
	return &peerpb.GossipMessage{
		Kind: peerpb.GossipMessage_TABLE, From: memberEvent(a.self), ConfigVersion: a.self.ConfigVersion, Digests: digests,
	}
}

// mergeTableReply applies the answer to a TABLE message. It returns a message
// with the buckets that differ for the other host, or nil if there is nothing to
// send. It reports false if the process was paused during the round, because the
// answer is then outdated.
func (a *Agent) mergeTableReply(reply *peerpb.GossipMessage, differs []bool, start roundStart) (*peerpb.GossipMessage, bool) {
	a.lockAndDetectPause()
	if a.pauseCount != start.pauseCount {
		a.publishAndUnlock()
		return nil, false
	}
	a.joined = true
	if start.wasStale {
		a.replaceTable(reply, differs)
		callbacks := a.newerConfigCallbacks(reply)
		a.publishAndUnlock()
		for _, f := range callbacks {
			f(reply.From.Addr, reply.ConfigVersion)
		}
		return nil, true
	}
	var out *peerpb.GossipMessage
	if slices.Contains(differs, true) {
		out = a.newTableMessage(nil)
		a.addBuckets(out, differs, nil)
	}
	a.publishAndUnlock()
	a.mergeMessage(reply)
	return out, true
}

// replaceTable makes the buckets that differ equal to the other host's. Hosts
// that only the stale table holds are removed, because they may have stopped
// during the pause.
func (a *Agent) replaceTable(reply *peerpb.GossipMessage, differs []bool) {
	a.mergeSender(reply)
	listed := map[string]bool{reply.GetFrom().GetName(): true}
	src := claimSource{dataCentre: reply.GetFrom().GetDataCentre(), takeOver: true}
	for _, ev := range reply.Members {
		listed[ev.Name] = true
		a.mergeMember(ev, src)
	}
	for name, e := range a.table {
		if differs[bucketIndex(name)] && !listed[name] && e.host.State != Dead {
			delete(a.table, name)
			a.viewOutdated = true
		}
	}
	for _, ev := range reply.Servers {
		a.mergeServer(ev)
	}
	// The other hosts already know what was taken over, so it isn't spread.
	a.events.clearMembers()
	a.events.addMember(memberEvent(a.self))
}

// differingBuckets reports for each bucket whether its digests differ.
func differingBuckets(own, other []uint64) []bool {
	out := make([]bool, len(own))
	for i := range own {
		out[i] = i >= len(other) || own[i] != other[i]
	}
	return out
}

// handleTable answers a TABLE message. A message with digests asks for the
// buckets that differ; one without digests delivers such buckets.
func (a *Agent) handleTable(m *peerpb.GossipMessage) *peerpb.GossipMessage {
	a.mergeMessage(m)
	a.lockAndDetectPause()
	defer a.publishAndUnlock()
	if len(m.Digests) == 0 || a.stale {
		return a.newMessage(peerpb.GossipMessage_ACK, m.GetFrom().GetName())
	}
	digests := a.tableDigests()
	reply := a.newTableMessage(digests)
	a.addBuckets(reply, differingBuckets(digests, m.Digests), m.Digests)
	return reply
}

// addBuckets adds the hosts of the selected buckets, and the backend servers if
// selected, to m. For buckets that don't fit, the digests in m are set to those
// in otherDigests, which are the receiver's, so that it treats these buckets as
// equal until the next round. otherDigests is nil if m has no digests.
func (a *Agent) addBuckets(m *peerpb.GossipMessage, selected []bool, otherDigests []uint64) {
	buckets := make([][]*peerpb.MemberEvent, memberBuckets)
	add := func(ev *peerpb.MemberEvent) {
		if b := bucketIndex(ev.Name); selected[b] {
			buckets[b] = append(buckets[b], ev)
		}
	}
	add(memberEvent(a.self))
	for _, e := range a.table {
		add(e.toEvent())
	}
	remainingBytes := maxTableBytes
	start := a.rng.IntN(memberBuckets)
	for i := range memberBuckets {
		b := (start + i) % memberBuckets
		size := 0
		for _, ev := range buckets[b] {
			size += proto.Size(ev) + eventOverheadBytes
		}
		if size > remainingBytes {
			if otherDigests != nil {
				m.Digests[b] = otherDigests[b]
			}
			continue
		}
		remainingBytes -= size
		m.Members = append(m.Members, buckets[b]...)
	}
	if selected[memberBuckets] {
		m.Servers = a.serverEvents(maxServerEvents)
	}
}
