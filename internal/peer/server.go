package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/arbutusgauge/arbutusgauge/internal/peer/peerpb"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// drainPollInterval is the time between two checks of Drain for requests in
// progress.
const drainPollInterval = 5 * time.Millisecond

// Server answers the streams and calls of this host's peers.
type Server struct {
	Handlers
	local              wire.Sender
	scope              tally.Scope
	subsInProgress     atomic.Int64 // sub-requests of peers whose reply is not written yet
	ticketedInProgress atomic.Int64 // ticketed requests of peers in progress
}

// NewServer returns a server that passes the sub-requests of peers to local and
// their calls to handlers.
func NewServer(local wire.Sender, handlers Handlers, scope tally.Scope) *Server {
	if scope == nil {
		scope = tally.NoopScope
	}
	return &Server{Handlers: handlers, local: local, scope: scope}
}

// Serve answers the connections of listener until ctx ends, and then returns
// nil. If the listener ends before ctx, Serve returns the listener's error.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, &endpoint{server: s}); err != nil {
		return errors.WithStack(err)
	}
	err := drpcserver.New(mux).Serve(ctx, listener)
	if ctx.Err() != nil {
		return nil
	}
	return errors.WithStack(err)
}

// RequestsInProgress returns the number of sub-requests and ticketed requests of
// peers in progress.
func (s *Server) RequestsInProgress() int64 {
	return s.subsInProgress.Load() + s.ticketedInProgress.Load()
}

// Drain waits until no sub-request or ticketed request of a peer is in progress,
// or ctx ends.
func (s *Server) Drain(ctx context.Context) {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for s.RequestsInProgress() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// endpoint adapts the server to the generated interface.
type endpoint struct{ server *Server }

func (e *endpoint) Gossip(ctx context.Context, m *peerpb.GossipMessage) (*peerpb.GossipMessage, error) {
	return e.server.HandleGossip(ctx, m)
}

func (e *endpoint) FetchConfig(ctx context.Context, r *peerpb.FetchConfigRequest) (*peerpb.FetchConfigReply, error) {
	return e.server.HandleFetch(ctx, r)
}

func (e *endpoint) RunTicketed(ctx context.Context, r *peerpb.TicketedRequest) (*peerpb.TicketedReply, error) {
	e.server.ticketedInProgress.Add(1)
	defer e.server.ticketedInProgress.Add(-1)
	return e.server.HandleTicketed(ctx, r)
}

func (e *endpoint) ReplicaStatus(ctx context.Context, r *peerpb.ReplicaStatusRequest) (*peerpb.ReplicaStatusReply, error) {
	return e.server.HandleReplicaStatus(ctx, r)
}

// Exchange runs one stream of sub-requests until the peer closes it.
func (e *endpoint) Exchange(rpc peerpb.DRPCPeer_ExchangeStream) error {
	x := &exchange{
		server:     e.server,
		rpc:        rpc,
		wake:       make(chan struct{}, 1),
		stop:       make(chan struct{}),
		unanswered: map[wire.SubRequestID]struct{}{},
	}
	var writer sync.WaitGroup
	writer.Go(x.writeLoop)
	err := x.readLoop()
	close(x.stop)
	x.cancelUnanswered()
	writer.Wait()
	return err
}
