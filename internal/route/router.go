package route

import (
	"sync"
	"sync/atomic"

	"github.com/uber-go/tally/v4"

	"github.com/arbutusgauge/arbutusgauge/internal/member"
	"github.com/arbutusgauge/arbutusgauge/internal/release"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// Peers provides the senders to the other entry hosts.
type Peers interface {
	// Sender returns the sender of sub-requests to the entry host at addr.
	Sender(addr string) wire.Sender
}

// Options configures a Router. Scope may be nil.
type Options struct {
	// Config returns the configuration in use, or nil if there is none yet.
	Config  func() *release.Config
	Members member.Members
	// Local sends the sub-requests to replicas that this host owns.
	Local wire.Sender
	Peers Peers
	Scope tally.Scope
}

// Router sends sub-requests to the owners of their replicas. It implements
// wire.Sender and is safe for concurrent use. Apart from the addresses of
// outstanding sub-requests, its state is derived from the configuration and the
// member view.
type Router struct {
	opts  Options
	state atomic.Pointer[routingState]
	mu    sync.Mutex // serialises deriveState
	sent  sentIndex
}

// routingState holds what is derived from one configuration and one member view.
type routingState struct {
	config  *release.Config
	view    *member.View
	current *placementTable
	// previous is the table of the configuration before, for queries that began
	// with that configuration.
	previous *placementTable
	hostSets map[string]*hostSet
}

// New returns a Router.
func New(opts Options) *Router {
	if opts.Scope == nil {
		opts.Scope = tally.NoopScope
	}
	return &Router{opts: opts}
}

// Send implements wire.Sender. Replies of different owners arrive in separate calls
// of done. Sub-requests to replicas without an owner are refused on the caller's
// goroutine.
func (r *Router) Send(subs []wire.SubRequest, done func([]wire.Reply)) {
	st := r.currentState()
	groups := map[string][]wire.SubRequest{}
	var refused []wire.Reply
	for i := range subs {
		host := st.ownerOf(subs[i].Replica)
		if host == nil {
			refused = append(refused, refusedReply(&subs[i]))
			continue
		}
		groups[host.Addr] = append(groups[host.Addr], subs[i])
	}
	for addr, group := range groups {
		r.sent.add(addr, group)
		r.sender(st, addr).Send(group, func(replies []wire.Reply) {
			r.sent.remove(replies)
			done(replies)
		})
	}
	if len(refused) > 0 {
		done(refused)
	}
}

// refusedReply returns the reply to a sub-request whose replica is in neither
// configuration or whose data centre has no host. Nothing was sent.
func refusedReply(s *wire.SubRequest) wire.Reply {
	return wire.Reply{ID: s.ID, Replica: s.Replica, Outcome: wire.NotRun, Reason: wire.ReasonUnknownReplica}
}

// Cancel implements wire.Sender. It sends each cancel to the host that the
// sub-request was sent to.
func (r *Router) Cancel(ids []wire.SubRequestID) {
	st := r.currentState()
	for addr, group := range r.sent.groupByAddr(ids) {
		r.sender(st, addr).Cancel(group)
	}
}

// sender returns the sender to the host at addr, which may be this host.
func (r *Router) sender(st *routingState, addr string) wire.Sender {
	if addr == st.view.Self.Addr {
		return r.opts.Local
	}
	return r.opts.Peers.Sender(addr)
}

// Owns reports whether this host owns the replica according to its own view of the
// members.
func (r *Router) Owns(_ string, _ uint32, replica wire.ReplicaID) bool {
	st := r.currentState()
	host := st.ownerOf(replica)
	return host != nil && host.Addr == st.view.Self.Addr
}

// OwnerAddrs returns the addresses of the hosts that own replicas of a service, in
// no particular order. It returns nil for an unknown service.
func (r *Router) OwnerAddrs(service string) []string {
	st := r.currentState()
	if st.config == nil || st.config.Services[service] == nil {
		return nil
	}
	seen := map[string]bool{}
	var out []string
	for _, shard := range st.config.Services[service].Shards {
		for _, replica := range shard.Replicas {
			host := st.ownerOf(replica.Addr)
			if host != nil && !seen[host.Addr] {
				seen[host.Addr] = true
				out = append(out, host.Addr)
			}
		}
	}
	return out
}

// ownerOf returns the host that owns the replica, or nil if there is none.
func (st *routingState) ownerOf(replica wire.ReplicaID) *member.Host {
	placement, ok := st.current.replicas[replica]
	if !ok && st.previous != nil {
		placement, ok = st.previous.replicas[replica]
	}
	if !ok {
		return nil
	}
	set := st.hostSets[placement.dataCentre]
	if set == nil {
		return nil
	}
	return set.owner(placement.unit)
}

// currentState returns the state for the current configuration and view. It derives
// a new one if either has changed.
func (r *Router) currentState() *routingState {
	st := r.state.Load()
	config, view := r.opts.Config(), r.opts.Members.View()
	if st != nil && st.config == config && st.view == view {
		return st
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	st = r.state.Load()
	if st != nil && st.config == config && st.view == view {
		return st
	}
	next := deriveState(st, config, view)
	r.state.Store(next)
	return next
}

// deriveState returns the state for a configuration and a view. It reuses the parts
// of prevState, which may be nil, that have not changed.
func deriveState(prevState *routingState, config *release.Config, view *member.View) *routingState {
	next := &routingState{config: config, view: view, current: &placementTable{}, hostSets: newHostSets(view)}
	if prevState == nil {
		prevState = &routingState{}
	}
	switch {
	case config == nil:
	case prevState.config == config:
		next.current, next.previous = prevState.current, prevState.previous
	default:
		next.current, next.previous = newPlacementTable(config), prevState.current
	}
	for dataCentre, set := range next.hostSets {
		if set.sameOwners(prevState.hostSets[dataCentre]) {
			next.hostSets[dataCentre] = prevState.hostSets[dataCentre]
		}
	}
	return next
}
