package member

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/peer/peerpb"
)

// gatewayRole is the rendezvous role of the hosts that ping other data
// centres.
const gatewayRole = "gateway"

// sortShuffle shuffles names. They are sorted first, because they come from a
// map, whose order would make runs with one seed differ.
func sortShuffle(rng *rand.Rand, names []string) {
	slices.Sort(names)
	rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
}

// pingRound starts the probes of one period: one host of the own data centre
// and, on a gateway, one of each other data centre.
func (a *Agent) pingRound() {
	a.mu.Lock()
	var targets []Host
	if e := a.nextLocal(); e != nil {
		targets = append(targets, e.host)
	}
	targets = append(targets, a.remoteTargets()...)
	// A host that this process suspects is asked again until it is decided.
	for _, name := range a.names(a.undecided) {
		if host := a.table[name].host; !slices.Contains(targets, host) {
			targets = append(targets, host)
		}
	}
	a.unlock()
	for _, host := range targets {
		a.spawn(func(ctx context.Context) { a.probe(ctx, host) })
	}
}

// undecided reports a host that this process saw fail and that is neither
// refuted nor dead.
func (a *Agent) undecided(h Host) bool {
	return h.SuspectedHere || h.State == Leaving && !a.table[h.Name].until.IsZero()
}

// nextLocal returns the next host of the own data centre to ping.
func (a *Agent) nextLocal() *entry {
	local := func(h Host) bool { return h.DataCentre == a.self.DataCentre && h.State != Dead }
	for range 2 {
		for len(a.ring) > 0 {
			name := a.ring[0]
			a.ring = a.ring[1:]
			if e, ok := a.table[name]; ok && local(e.host) {
				return e
			}
		}
		a.ring = a.names(local)
	}
	return nil
}

// remoteTargets returns one host of each other data centre if this host is a
// gateway. A data centre without a known living host is tried at a dead one,
// so that a partition heals soon.
func (a *Agent) remoteTargets() []Host {
	if !a.isGateway() {
		return nil
	}
	alive, dead := map[string]Host{}, map[string]Host{}
	var order []string
	for _, name := range a.names(func(h Host) bool { return h.DataCentre != a.self.DataCentre }) {
		h := a.table[name].host
		if !slices.Contains(order, h.DataCentre) {
			order = append(order, h.DataCentre)
		}
		if h.State == Dead {
			dead[h.DataCentre] = h
		} else {
			alive[h.DataCentre] = h
		}
	}
	var out []Host
	for _, dc := range order {
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
	if v.Version != a.gatewayVersion {
		a.gatewayVersion = v.Version
		chosen := First(v, gatewayRole, a.self.DataCentre, a.opts.Gateways)
		a.gateway = slices.ContainsFunc(chosen, func(h Host) bool { return h.Name == a.self.Name })
	}
	return a.gateway
}

// probe pings a host, then through others, and suspects it if all fail.
func (a *Agent) probe(ctx context.Context, host Host) {
	a.mu.Lock()
	pauses := a.pauses
	a.mu.Unlock()
	timeout := a.timeout(host)
	if a.ping(ctx, host, timeout) || host.State == Dead || a.indirect(ctx, host, timeout) || ctx.Err() != nil {
		return
	}
	a.lock()
	defer a.unlock()
	e, ok := a.table[host.Name]
	if !ok || pauses != a.pauses || e.host.Incarnation != host.Incarnation || e.host.Counter != host.Counter {
		return
	}
	a.suspect(e)
}

func (a *Agent) timeout(host Host) time.Duration {
	if host.DataCentre == a.self.DataCentre {
		return a.opts.PingTimeout
	}
	return a.opts.RemoteTimeout
}

// ping reports whether the host answered.
func (a *Agent) ping(ctx context.Context, host Host, timeout time.Duration, extra ...*peerpb.MemberEvent) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	a.lock()
	m := a.message(peerpb.GossipMessage_PING, host.Name, extra...)
	m.Target = host.Name
	a.mu.Unlock()
	reply, err := a.send(ctx, host.Addr, m)
	if err != nil {
		return false
	}
	a.absorb(reply)
	a.mu.Lock()
	a.joined = true
	a.mu.Unlock()
	return reply.Kind == peerpb.GossipMessage_ACK && reply.GetFrom().GetName() == host.Name
}

// indirect asks other hosts of the target's data centre, or of the own one,
// to ping the target and reports whether one got an answer.
func (a *Agent) indirect(ctx context.Context, host Host, timeout time.Duration) bool {
	a.mu.Lock()
	addrs := a.helpers(host)
	a.mu.Unlock()
	results := make(chan bool, len(addrs))
	// The helper needs its own timeout for the target, and the way to it.
	ctx, cancel := context.WithTimeout(ctx, timeout+a.opts.PingTimeout)
	defer cancel()
	for _, addr := range addrs {
		a.spawn(func(context.Context) {
			a.lock()
			m := a.message(peerpb.GossipMessage_INDIRECT, "")
			m.Target = host.Name
			a.mu.Unlock()
			reply, err := a.send(ctx, addr, m)
			if err == nil {
				a.absorb(reply)
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

// helpers returns the addresses of the hosts that are asked to ping host. For
// one of another data centre the first comes from a third data centre if there
// is one, so that two data centres that only lost each other go on seeing each
// other as alive.
func (a *Agent) helpers(host Host) []string {
	var third, near []string
	for _, name := range a.names(func(h Host) bool { return h.State == Live && h.Name != host.Name }) {
		h := a.table[name].host
		switch h.DataCentre {
		case host.DataCentre:
			near = append(near, h.Addr)
		case a.self.DataCentre:
		default:
			third = append(third, h.Addr)
		}
	}
	var out []string
	if host.DataCentre != a.self.DataCentre && len(third) > 0 {
		out = third[:1]
	}
	out = append(out, near...)
	return out[:min(len(out), a.opts.IndirectPings)]
}

// handleIndirect pings the target for another host.
func (a *Agent) handleIndirect(ctx context.Context, m *peerpb.GossipMessage) *peerpb.GossipMessage {
	a.mu.Lock()
	e, ok := a.table[m.Target]
	var host Host
	if ok {
		host = e.host
	}
	a.mu.Unlock()
	kind := peerpb.GossipMessage_FAILED
	if ok && a.ping(ctx, host, a.timeout(host)) {
		kind = peerpb.GossipMessage_ACK
	}
	a.lock()
	defer a.unlock()
	return a.message(kind, m.GetFrom().GetName())
}

// reconnect contacts a dead host, or a contact that is no known host's
// address, so that partitions heal whose sides hold each other for dead.
func (a *Agent) reconnect() {
	a.mu.Lock()
	var candidates []Host
	for _, name := range a.names(func(h Host) bool { return h.State == Dead }) {
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
			a.exchange(ctx, host.Addr)
			return
		}
		if a.ping(ctx, host, a.opts.RemoteTimeout) {
			a.exchange(ctx, host.Addr)
		}
	})
}
