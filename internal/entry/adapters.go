package entry

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/front"
	"github.com/arbutusgauge/arbutusgauge/internal/owner"
	"github.com/arbutusgauge/arbutusgauge/internal/peer"
	"github.com/arbutusgauge/arbutusgauge/internal/peer/peerpb"
	"github.com/arbutusgauge/arbutusgauge/internal/route"
	"github.com/arbutusgauge/arbutusgauge/internal/scatter"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// forwarder sends ticketed requests to other hosts.
type forwarder struct{ client *peer.Client }

// RunTicketed implements front.Forwarder.
func (f forwarder) RunTicketed(ctx context.Context, addr string, r *peerpb.TicketedRequest) (*peerpb.TicketedReply, error) {
	reply, err := f.client.RunTicketed(ctx, addr, r)
	var dial *peer.DialError
	if errors.As(err, &dial) {
		return nil, &front.NotSentError{Addr: addr, Err: err}
	}
	return reply, err
}

// statusSource asks the owner hosts of a service what they know of its
// replicas.
type statusSource struct {
	self   string
	router *route.Router
	owner  *owner.Owner
	client *peer.Client
}

// ReplicaStatus implements scatter.StatusSource. Hosts that don't answer are
// left out: what they own is learned from replies.
func (s statusSource) ReplicaStatus(ctx context.Context, service string) ([]scatter.ReplicaInfo, error) {
	var mu sync.Mutex
	var out []scatter.ReplicaInfo
	var wg sync.WaitGroup
	for _, addr := range s.router.OwnerHosts(service) {
		if addr == s.self {
			mu.Lock()
			out = append(out, s.local(service)...)
			mu.Unlock()
			continue
		}
		wg.Go(func() {
			reply, err := s.client.ReplicaStatus(ctx, addr, &peerpb.ReplicaStatusRequest{Service: service})
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			for _, r := range reply.GetReplicas() {
				out = append(out, replicaInfo(r))
			}
		})
	}
	wg.Wait()
	return out, nil
}

func (s statusSource) local(service string) []scatter.ReplicaInfo {
	var out []scatter.ReplicaInfo
	for _, info := range s.owner.ReplicaStatus(service) {
		if info.Owned {
			out = append(out, scatter.ReplicaInfo{
				Replica: info.Replica, Shard: info.Shard, Held: info.Held, Load: info.Load,
			})
		}
	}
	return out
}

func replicaInfo(r *peerpb.ReplicaStatus) scatter.ReplicaInfo {
	return scatter.ReplicaInfo{
		Replica: wire.ReplicaID(r.GetReplica()),
		Shard:   r.GetShard(),
		Held:    wire.Held{Oldest: r.GetHeldOldest(), Newest: r.GetHeldNewest()},
		Load:    peer.LoadFromPB(r.GetLoad()),
	}
}

// handlers answers the calls of peers. Its parts are set before the peer
// server starts.
type handlers struct{ host *Host }

// HandleGossip implements peer.Handlers.
func (h handlers) HandleGossip(ctx context.Context, m *peerpb.GossipMessage) (*peerpb.GossipMessage, error) {
	return h.host.members.HandleGossip(ctx, m)
}

// HandleFetch implements peer.Handlers.
func (h handlers) HandleFetch(ctx context.Context, r *peerpb.FetchConfigRequest) (*peerpb.FetchConfigReply, error) {
	return h.host.rollout.HandleFetch(ctx, r)
}

// HandleTicketed implements peer.Handlers.
func (h handlers) HandleTicketed(ctx context.Context, r *peerpb.TicketedRequest) (*peerpb.TicketedReply, error) {
	return h.host.front.HandleTicketed(ctx, r)
}

// HandleStatus implements peer.Handlers.
func (h handlers) HandleStatus(_ context.Context, r *peerpb.ReplicaStatusRequest) (*peerpb.ReplicaStatusReply, error) {
	reply := &peerpb.ReplicaStatusReply{}
	for _, info := range h.host.owner.ReplicaStatus(r.GetService()) {
		if !info.Owned {
			continue
		}
		reply.Replicas = append(reply.Replicas, &peerpb.ReplicaStatus{
			Replica:    string(info.Replica),
			Shard:      info.Shard,
			HeldOldest: info.Held.Oldest,
			HeldNewest: info.Held.Newest,
			Load:       peer.LoadToPB(info.Load),
		})
	}
	return reply, nil
}
