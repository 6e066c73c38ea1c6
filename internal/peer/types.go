// Package peer is the protocol between entry hosts: streams of batched
// sub-requests, and calls for gossip, configuration and ticketed requests. It
// runs over drpc; the messages are in peerpb.
package peer

import (
	"context"

	"github.com/arbutusgauge/arbutusgauge/internal/peer/peerpb"
)

// Handlers are what a host does with the calls of its peers.
type Handlers interface {
	// HandleGossip answers one membership message.
	HandleGossip(ctx context.Context, message *peerpb.GossipMessage) (*peerpb.GossipMessage, error)
	// HandleFetch returns the manifest in force and documents.
	HandleFetch(ctx context.Context, request *peerpb.FetchConfigRequest) (*peerpb.FetchConfigReply, error)
	// HandleTicketed runs a request whose ticket this process issued.
	HandleTicketed(ctx context.Context, request *peerpb.TicketedRequest) (*peerpb.TicketedReply, error)
	// HandleStatus returns what this host, as owner, knows of replicas.
	HandleStatus(ctx context.Context, request *peerpb.ReplicaStatusRequest) (*peerpb.ReplicaStatusReply, error)
}
