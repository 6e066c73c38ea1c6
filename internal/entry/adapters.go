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

// ticketForwarder forwards requests to the hosts that issued their tickets.
type ticketForwarder struct{ client *peer.Client }

// RunTicketed implements front.Forwarder. A failed dial is reported as
// *front.NotSentError, because no byte of the request was sent.
func (f ticketForwarder) RunTicketed(ctx context.Context, addr string, r *peerpb.TicketedRequest) (*peerpb.TicketedReply, error) {
	reply, err := f.client.RunTicketed(ctx, addr, r)
	var dialErr *peer.DialError
	if errors.As(err, &dialErr) {
		return nil, &front.NotSentError{Addr: addr, Err: err}
	}
	return reply, err
}

// replicaStatusSource collects the status of a service's replicas from the
// hosts that own them.
type replicaStatusSource struct {
	selfAddr string
	router   *route.Router
	owner    *owner.Owner
	client   *peer.Client
}

// ReplicaStatus implements scatter.StatusSource. The error is always nil:
// hosts that don't answer are left out, because the engine learns the status of
// their replicas from the replies to sub-requests.
func (s replicaStatusSource) ReplicaStatus(ctx context.Context, service string) ([]scatter.ReplicaInfo, error) {
	var mu sync.Mutex
	var out []scatter.ReplicaInfo
	var wg sync.WaitGroup
	for _, addr := range s.router.OwnerAddrs(service) {
		if addr == s.selfAddr {
			mu.Lock()
			out = append(out, s.ownedReplicas(service)...)
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
				out = append(out, replicaInfoFromPB(r))
			}
		})
	}
	wg.Wait()
	return out, nil
}

// ownedReplicas returns the status of the replicas that this host owns.
func (s replicaStatusSource) ownedReplicas(service string) []scatter.ReplicaInfo {
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

func replicaInfoFromPB(r *peerpb.ReplicaStatus) scatter.ReplicaInfo {
	return scatter.ReplicaInfo{
		Replica: wire.ReplicaID(r.GetReplica()),
		Shard:   r.GetShard(),
		Held:    wire.SnapshotRange{Oldest: r.GetHeldOldest(), Newest: r.GetHeldNewest()},
		Load:    peer.LoadFromPB(r.GetLoad()),
	}
}

// peerHandlers answers the calls of peers with the modules of host, which are
// all set before the peer server starts.
type peerHandlers struct{ host *Host }

// HandleGossip implements peer.Handlers.
func (h peerHandlers) HandleGossip(ctx context.Context, m *peerpb.GossipMessage) (*peerpb.GossipMessage, error) {
	return h.host.members.HandleGossip(ctx, m)
}

// HandleFetch implements peer.Handlers.
func (h peerHandlers) HandleFetch(ctx context.Context, r *peerpb.FetchConfigRequest) (*peerpb.FetchConfigReply, error) {
	return h.host.rollout.HandleFetch(ctx, r)
}

// HandleTicketed implements peer.Handlers.
func (h peerHandlers) HandleTicketed(ctx context.Context, r *peerpb.TicketedRequest) (*peerpb.TicketedReply, error) {
	return h.host.front.HandleTicketed(ctx, r)
}

// HandleReplicaStatus implements peer.Handlers. It reports only the replicas
// that this host owns.
func (h peerHandlers) HandleReplicaStatus(_ context.Context, r *peerpb.ReplicaStatusRequest) (*peerpb.ReplicaStatusReply, error) {
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
