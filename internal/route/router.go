package route

import (
	"sync"
	"sync/atomic"

	"github.com/uber-go/tally/v4"

	"github.com/arbutusgauge/arbutusgauge/internal/member"
	"github.com/arbutusgauge/arbutusgauge/internal/release"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// Peers gives the sender of sub-requests to another entry host.
type Peers interface {
	Sender(addr string) wire.Sender
}

// Options configures a Router.
type Options struct {
	Config  func() *release.Config
	Members member.Members
	// Local is the owner module of this host.
	Local wire.Sender
	Peers Peers
	Scope tally.Scope
}

// Router sends sub-requests to the owners of their replicas. It implements
// wire.Sender. It keeps nothing but what follows from the configuration and
// the member view.
type Router struct {
	opts  Options
	state atomic.Pointer[state]
	mu    sync.Mutex // one rebuild at a time
	sent  sentLog
}

// state is derived from one configuration and one member view.
type state struct {
	config  *release.Config
	view    *member.View
	current *placement
	// previous places the replicas of queries that began with the
	// configuration before the current one.
	previous *placement
	sets     map[string]*hostSet
}

// New returns a router.
func New(opts Options) *Router {
	if opts.Scope == nil {
		opts.Scope = tally.NoopScope
	}
	return &Router{opts: opts}
}

// Send implements wire.Sender.
func (r *Router) Send(subs []wire.Sub, done func([]wire.Reply)) {
	st := r.load()
	groups := map[string][]wire.Sub{}
	var refused []wire.Reply
	for i := range subs {
		host := st.ownerOf(subs[i].Replica)
		if host == nil {
			refused = append(refused, refusal(&subs[i]))
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

// refusal answers a sub-request whose replica has no place or whose data centre
// has no host: nothing was sent.
func refusal(s *wire.Sub) wire.Reply {
	return wire.Reply{ID: s.ID, Replica: s.Replica, Outcome: wire.NotRun, Reason: wire.ReasonUnknownReplica}
}

// Cancel implements wire.Sender.
func (r *Router) Cancel(ids []wire.SubID) {
	st := r.load()
	for addr, group := range r.sent.group(ids) {
		r.sender(st, addr).Cancel(group)
	}
}

func (r *Router) sender(st *state, addr string) wire.Sender {
	if addr == st.view.Self.Addr {
		return r.opts.Local
	}
	return r.opts.Peers.Sender(addr)
}

// Owns reports whether this host is the owner of a replica in its own view.
func (r *Router) Owns(_ string, _ uint32, replica wire.ReplicaID) bool {
	st := r.load()
	host := st.ownerOf(replica)
	return host != nil && host.Addr == st.view.Self.Addr
}

// OwnerHosts returns the addresses of the hosts that own replicas of a service.
func (r *Router) OwnerHosts(service string) []string {
	st := r.load()
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

func (st *state) ownerOf(replica wire.ReplicaID) *member.Host {
	where, ok := st.current.replicas[replica]
	if !ok && st.previous != nil {
		where, ok = st.previous.replicas[replica]
	}
	if !ok {
		return nil
	}
	set := st.sets[where.dataCentre]
	if set == nil {
		return nil
	}
	return set.owner(where.unit)
}

// load returns the state for the current configuration and view, and rebuilds
// the parts that changed.
func (r *Router) load() *state {
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
	next := rebuild(st, config, view)
	r.state.Store(next)
	return next
}

func rebuild(old *state, config *release.Config, view *member.View) *state {
	next := &state{config: config, view: view, current: &placement{}, sets: newHostSets(view)}
	if old == nil {
		old = &state{}
	}
	switch {
	case config == nil:
	case old.config == config:
		next.current, next.previous = old.current, old.previous
	default:
		next.current, next.previous = newPlacement(config), old.current
	}
	for dataCentre, set := range next.sets {
		if set.same(old.sets[dataCentre]) {
			next.sets[dataCentre] = old.sets[dataCentre]
		}
	}
	return next
}
