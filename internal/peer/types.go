// Package peer implements the client and the server of the protocol between
// entry hosts: streams of batched sub-requests, and unary calls for membership
// gossip, configuration, ticketed requests and replica status. It runs over
// drpc; the messages are in peerpb.
package peer

import (
	"context"

	"github.com/arbutusgauge/arbutusgauge/internal/peer/peerpb"
)

// Handlers answer the unary calls of peers.
type Handlers interface {
	// HandleGossip answers one membership message.
	HandleGossip(ctx context.Context, message *peerpb.GossipMessage) (*peerpb.GossipMessage, error)
	// HandleFetch returns the manifest in force, if it is newer than the
	// peer's, and the requested configuration documents.
	HandleFetch(ctx context.Context, request *peerpb.FetchConfigRequest) (*peerpb.FetchConfigReply, error)
	// HandleTicketed runs a request whose ticket this process issued.
	HandleTicketed(ctx context.Context, request *peerpb.TicketedRequest) (*peerpb.TicketedReply, error)
	// HandleReplicaStatus returns the status of a service's replicas that this
	// host owns.
	HandleReplicaStatus(ctx context.Context, request *peerpb.ReplicaStatusRequest) (*peerpb.ReplicaStatusReply, error)
}
