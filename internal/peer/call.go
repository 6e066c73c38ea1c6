package peer

import (
	"context"
	"sync"

	"storj.io/drpc/drpcconn"

	"github.com/arbutusgauge/arbutusgauge/internal/peer/peerpb"
)

// maxIdleConnsPerPeer is the most idle connections kept for calls to one peer.
const maxIdleConnsPerPeer = 2

// callPool holds idle connections for unary calls, by peer address. A drpc
// connection carries one call at a time.
type callPool struct {
	opts   *Options
	mu     sync.Mutex
	closed bool
	idle   map[string][]*drpcconn.Conn
}

func newCallPool(opts *Options) *callPool {
	return &callPool{opts: opts, idle: map[string][]*drpcconn.Conn{}}
}

// get returns an idle connection to the peer or opens one. It returns
// *DialError when that fails.
func (p *callPool) get(ctx context.Context, addr string) (*drpcconn.Conn, error) {
	p.mu.Lock()
	if n := len(p.idle[addr]); n > 0 {
		conn := p.idle[addr][n-1]
		p.idle[addr] = p.idle[addr][:n-1]
		p.mu.Unlock()
		return conn, nil
	}
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, p.opts.DialTimeout)
	defer cancel()
	transport, err := p.opts.Dial(ctx, addr)
	if err != nil {
		return nil, &DialError{Addr: addr, Err: err}
	}
	return drpcconn.New(transport), nil
}

// put keeps a connection for a later call, or closes it when the pool is
// closed or has enough idle connections to the peer.
func (p *callPool) put(addr string, conn *drpcconn.Conn) {
	p.mu.Lock()
	keep := !p.closed && len(p.idle[addr]) < maxIdleConnsPerPeer
	if keep {
		p.idle[addr] = append(p.idle[addr], conn)
	}
	p.mu.Unlock()
	if !keep {
		_ = conn.Close()
	}
}

// closeIdle closes the idle connections to a peer. It runs after a failed call
// as well, because the cause of the failure probably affects them too.
func (p *callPool) closeIdle(addr string) {
	p.mu.Lock()
	conns := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
	}
}

func (p *callPool) close() {
	p.mu.Lock()
	idle := p.idle
	p.idle = map[string][]*drpcconn.Conn{}
	p.closed = true
	p.mu.Unlock()
	for _, conns := range idle {
		for _, conn := range conns {
			_ = conn.Close()
		}
	}
}

// call makes one unary call to the peer at addr. *DialError means that nothing
// was sent, *CallError that the peer may have carried out the call.
func call[Q, R any](ctx context.Context, p *callPool, addr string, request Q,
	method func(peerpb.DRPCPeerClient, context.Context, Q) (R, error),
) (R, error) {
	var zero R
	conn, err := p.get(ctx, addr)
	if err != nil {
		return zero, err
	}
	reply, err := method(peerpb.NewDRPCPeerClient(conn), ctx, request)
	if err != nil {
		_ = conn.Close()
		p.closeIdle(addr)
		return zero, &CallError{Addr: addr, Err: err}
	}
	p.put(addr, conn)
	return reply, nil
}

// Gossip sends one membership message and returns the answer of the peer.
func (c *Client) Gossip(ctx context.Context, addr string, m *peerpb.GossipMessage) (*peerpb.GossipMessage, error) {
	return call(ctx, c.calls, addr, m, peerpb.DRPCPeerClient.Gossip)
}

// FetchConfig asks a peer for its manifest and for configuration documents.
func (c *Client) FetchConfig(ctx context.Context, addr string, r *peerpb.FetchConfigRequest) (*peerpb.FetchConfigReply, error) {
	return call(ctx, c.calls, addr, r, peerpb.DRPCPeerClient.FetchConfig)
}

// RunTicketed forwards a request to the host that issued its ticket.
func (c *Client) RunTicketed(ctx context.Context, addr string, r *peerpb.TicketedRequest) (*peerpb.TicketedReply, error) {
	return call(ctx, c.calls, addr, r, peerpb.DRPCPeerClient.RunTicketed)
}

// ReplicaStatus asks an owner host for the status of its replicas of a service.
func (c *Client) ReplicaStatus(ctx context.Context, addr string, r *peerpb.ReplicaStatusRequest) (*peerpb.ReplicaStatusReply, error) {
	return call(ctx, c.calls, addr, r, peerpb.DRPCPeerClient.ReplicaStatus)
}
