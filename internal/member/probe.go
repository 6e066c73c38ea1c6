package member

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/peer/peerpb"
)

// gatewayRole is the role, in rendezvous hashing, of the hosts that ping other
// data centres.
const gatewayRole = "gateway"

// sortAndShuffle shuffles names. It sorts them first, so that the result depends
// only on the seed of rng and not on the iteration order of a map.
func sortAndShuffle(rng *rand.Rand, names []string) {
	slices.Sort(names)
	rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
}

// startProbes starts the probes of one period: of one host of the own data
// centre, on a gateway also of one host of each other data centre, and of each
// host for which awaitsDecision is true.
func (a *Agent) startProbes() {
	a.mu.Lock()
	var targets []Host
	if e := a.nextLocalTarget(); e != nil {
		targets = append(targets, e.host)
	}
	targets = append(targets, a.remoteTargets()...)
	// A host that this process suspects is probed in each period until it
	// refutes the suspicion or is declared dead.
	for _, name := range a.shuffledNames(a.awaitsDecision) {
		if host := a.table[name].host; !slices.Contains(targets, host) {
			targets = append(targets, host)
		}
	}
	a.publishAndUnlock()
	for _, host := range targets {
		a.spawn(func(ctx context.Context) { a.probe(ctx, host) })
	}
}

// awaitsDecision reports whether this process saw the host fail and the host has
// neither refuted that nor been declared dead. The caller holds mu.
func (a *Agent) awaitsDecision(h Host) bool {
	return h.SuspectedHere || h.State == Leaving && !a.table[h.Name].declareDeadAt.IsZero()
}

// nextLocalTarget returns the next host of the own data centre to ping, or nil
// if there is none.
func (a *Agent) nextLocalTarget() *tableEntry {
	isLocal := func(h Host) bool { return h.DataCentre == a.self.DataCentre && h.State != Dead }
	for range 2 {
		for len(a.unpingedNames) > 0 {
			name := a.unpingedNames[0]
			a.unpingedNames = a.unpingedNames[1:]
			if e, ok := a.table[name]; ok && isLocal(e.host) {
				return e
			}
		}
		a.unpingedNames = a.shuffledNames(isLocal)
	}
	return nil
}

// remoteTargets returns one host of each other data centre if this host is a
// gateway. If all known hosts of a data centre are dead, one of those is
// returned, so that a partition heals soon.
func (a *Agent) remoteTargets() []Host {
	if !a.isGateway() {
		return nil
	}
	alive, dead := map[string]Host{}, map[string]Host{}
	var remoteDataCentres []string
	for _, name := range a.shuffledNames(func(h Host) bool { return h.DataCentre != a.self.DataCentre }) {
		h := a.table[name].host
		if !slices.Contains(remoteDataCentres, h.DataCentre) {
			remoteDataCentres = append(remoteDataCentres, h.DataCentre)
		}
		if h.State == Dead {
			dead[h.DataCentre] = h
		} else {
			alive[h.DataCentre] = h
		}
	}
	var out []Host
	for _, dc := range remoteDataCentres {
		if h, ok := alive[dc]; ok {
			out = append(out, h)
		} else {
			out = append(out, dead[dc])
		}
	}
	return out
}

// isGateway reports whether this host pings other data centres.
func (a *Agent) isGateway() bool {
	v := a.view.Load()
	if v.Version != a.gatewayViewVersion {
		a.gatewayViewVersion = v.Version
		chosen := SelectLive(v, gatewayRole, a.self.DataCentre, a.opts.Gateways)
		a.selectedAsGateway = slices.ContainsFunc(chosen, func(h Host) bool { return h.Name == a.self.Name })
	}
	return a.selectedAsGateway
}

// probe pings a host, then asks other hosts to ping it, and marks it as
// suspected if none of them gets an answer.
func (a *Agent) probe(ctx context.Context, host Host) {
	a.mu.Lock()
	pauseCount := a.pauseCount
	a.mu.Unlock()
	timeout := a.pingTimeout(host)
	if a.ping(ctx, host, timeout) || host.State == Dead || a.pingIndirectly(ctx, host, timeout) || ctx.Err() != nil {
		return
	}
	a.lockAndDetectPause()
	defer a.publishAndUnlock()
	e, ok := a.table[host.Name]
	if !ok || pauseCount != a.pauseCount || e.host.Incarnation != host.Incarnation || e.host.Counter != host.Counter {
		return
	}
	a.markSuspected(e)
}

// pingTimeout returns the time limit of a ping to a host.
func (a *Agent) pingTimeout(host Host) time.Duration {
	if host.DataCentre == a.self.DataCentre {
		return a.opts.PingTimeout
	}
	return a.opts.RemoteTimeout
}

// ping sends a ping with queued and extra events and reports whether the host
// answered.
func (a *Agent) ping(ctx context.Context, host Host, timeout time.Duration, extra ...*peerpb.MemberEvent) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	a.lockAndDetectPause()
	m := a.newMessage(peerpb.GossipMessage_PING, host.Name, extra...)
	m.Target = host.Name
	a.mu.Unlock()
	reply, err := a.send(ctx, host.Addr, m)
	if err != nil {
		return false
	}
	a.mergeMessage(reply)
	a.mu.Lock()
	a.joined = true
	a.mu.Unlock()
	return reply.Kind == peerpb.GossipMessage_ACK && reply.GetFrom().GetName() == host.Name
}

// pingIndirectly asks the hosts of indirectPingAddrs to ping a host, and reports
// whether one of them got an answer.
func (a *Agent) pingIndirectly(ctx context.Context, host Host, timeout time.Duration) bool {
	a.mu.Lock()
	addrs := a.indirectPingAddrs(host)
	a.mu.Unlock()
	results := make(chan bool, len(addrs))
	// The limit covers the other host's ping to the target and the round trip
	// to the other host.
	ctx, cancel := context.WithTimeout(ctx, timeout+a.opts.PingTimeout)
	defer cancel()
	for _, addr := range addrs {
		a.spawn(func(context.Context) {
			a.lockAndDetectPause()
			m := a.newMessage(peerpb.GossipMessage_INDIRECT, "")
			m.Target = host.Name
			a.mu.Unlock()
			reply, err := a.send(ctx, addr, m)
			if err == nil {
				a.mergeMessage(reply)
			}
			results <- err == nil && reply.Kind == peerpb.GossipMessage_ACK
		})
	}
	for range addrs {
		select {
		case ok := <-results:
			if ok {
				return true
			}
		case <-ctx.Done():
			return false
		}
	}
	return false
}

// indirectPingAddrs returns the addresses of up to IndirectPings hosts that are
// asked to ping host. They are in host's data centre. If host is in another data
// centre than this process, the first is in a third one, if there is one, so that
// two data centres that lost only the link between them still see each other as
// live. The caller holds mu.
func (a *Agent) indirectPingAddrs(host Host) []string {
	var thirdDataCentreAddrs, targetDataCentreAddrs []string
	for _, name := range a.shuffledNames(func(h Host) bool { return h.State == Live && h.Name != host.Name }) {
		h := a.table[name].host
		switch h.DataCentre {
		case host.DataCentre:
			targetDataCentreAddrs = append(targetDataCentreAddrs, h.Addr)
		case a.self.DataCentre:
		default:
			thirdDataCentreAddrs = append(thirdDataCentreAddrs, h.Addr)
		}
	}
	var out []string
	if host.DataCentre != a.self.DataCentre && len(thirdDataCentreAddrs) > 0 {
		out = thirdDataCentreAddrs[:1]
	}
	out = append(out, targetDataCentreAddrs...)
	return out[:min(len(out), a.opts.IndirectPings)]
}

// handleIndirect pings the target of m for the sender, and answers with ACK if
// the target answered, otherwise with FAILED.
func (a *Agent) handleIndirect(ctx context.Context, m *peerpb.GossipMessage) *peerpb.GossipMessage {
	a.mu.Lock()
	e, ok := a.table[m.Target]
	var host Host
	if ok {
		host = e.host
	}
	a.mu.Unlock()
	kind := peerpb.GossipMessage_FAILED
	if ok && a.ping(ctx, host, a.pingTimeout(host)) {
		kind = peerpb.GossipMessage_ACK
	}
	a.lockAndDetectPause()
	defer a.publishAndUnlock()
	return a.newMessage(kind, m.GetFrom().GetName())
}

// reconnect tries to reach a random dead host or unknown contact, so that a
// partition heals after both sides declared each other dead.
func (a *Agent) reconnect() {
	a.mu.Lock()
	var candidates []Host
	for _, name := range a.shuffledNames(func(h Host) bool { return h.State == Dead }) {
		candidates = append(candidates, a.table[name].host)
	}
	for _, addr := range a.unknownContacts() {
		candidates = append(candidates, Host{Addr: addr})
	}
	if len(candidates) == 0 {
		a.mu.Unlock()
		return
	}
	host := candidates[a.rng.IntN(len(candidates))]
	a.mu.Unlock()
	a.spawn(func(ctx context.Context) {
		if host.Name == "" {
			a.exchangeTables(ctx, host.Addr)
			return
		}
		if a.ping(ctx, host, a.opts.RemoteTimeout) {
			a.exchangeTables(ctx, host.Addr)
		}
	})
}
