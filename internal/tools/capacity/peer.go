package main

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/peer"
	"github.com/arbutusgauge/arbutusgauge/internal/peer/peerpb"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

const (
	maxPeerBatchesInFlight = 64
	peerBatchesPerCall     = 512                    // sent in one call of the measured function
	idleWindow             = 3 * time.Second        // over which idle links are measured
	linkWarmUp             = 500 * time.Millisecond // for the links to open
)

var (
	peerBatchSizes = []int{1, 4, 16, 32, 64}
	linkCounts     = []int{16, 64, 256}
)

// emptyHandlers answers every call with an empty message.
type emptyHandlers struct{}

// HandleGossip implements peer.Handlers.
func (emptyHandlers) HandleGossip(context.Context, *peerpb.GossipMessage) (*peerpb.GossipMessage, error) {
	return &peerpb.GossipMessage{}, nil
}

// HandleFetch implements peer.Handlers.
func (emptyHandlers) HandleFetch(context.Context, *peerpb.FetchConfigRequest) (*peerpb.FetchConfigReply, error) {
	return &peerpb.FetchConfigReply{}, nil
}

// HandleTicketed implements peer.Handlers.
func (emptyHandlers) HandleTicketed(context.Context, *peerpb.TicketedRequest) (*peerpb.TicketedReply, error) {
	return &peerpb.TicketedReply{}, nil
}

// HandleReplicaStatus implements peer.Handlers.
func (emptyHandlers) HandleReplicaStatus(context.Context, *peerpb.ReplicaStatusRequest) (*peerpb.ReplicaStatusReply, error) {
	return &peerpb.ReplicaStatusReply{}, nil
}

// countingConn adds the bytes of both directions to byteCount.
type countingConn struct {
	net.Conn
	byteCount *atomic.Int64
}

// Read implements net.Conn.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.byteCount.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.byteCount.Add(int64(n))
	return n, err
}

// localPeers is a peer client and the servers that it connects to, all in this
// process. byteCount counts the bytes of both directions on all connections.
type localPeers struct {
	client    *peer.Client
	addrs     []string
	byteCount atomic.Int64
	ctx       context.Context
	stop      context.CancelFunc
}

// startLocalPeers starts the given number of servers on loopback addresses.
func startLocalPeers(servers int) (*localPeers, error) {
	p := &localPeers{}
	p.ctx, p.stop = context.WithCancel(context.Background())
	for range servers {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			p.stop()
			return nil, err
		}
		p.addrs = append(p.addrs, listener.Addr().String())
		go func() { _ = peer.NewServer(echoSender{}, emptyHandlers{}, nil).Serve(p.ctx, listener) }()
	}
	var dialer net.Dialer
	var err error
	p.client, err = peer.NewClient(peer.Options{Dial: func(ctx context.Context, addr string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, "tcp", addr)
		if err != nil {
			return nil, err
		}
		return countingConn{Conn: conn, byteCount: &p.byteCount}, nil
	}})
	return p, err
}

func (p *localPeers) close() {
	p.client.Close()
	p.stop()
}

// measurePeer measures the connections between hosts: batches, and idle links.
func measurePeer(r Recorder, _ *Options) error {
	for _, size := range peerBatchSizes {
		if err := measureExchange(r, size); err != nil {
			return err
		}
	}
	for _, links := range linkCounts {
		if err := measureIdleLinks(r, links); err != nil {
			return err
		}
	}
	return nil
}

// measureExchange measures a batch over one link. Client and server are in this
// process, so the cost is that of both hosts.
func measureExchange(r Recorder, size int) error {
	p, err := startLocalPeers(1)
	if err != nil {
		return err
	}
	defer p.close()
	sender := p.client.Sender(p.addrs[0])
	c := newConfig(1, peerBatchSizes[len(peerBatchSizes)-1], 1, 1)
	var seq uint64
	var failed atomic.Int64
	limit := make(chan struct{}, maxPeerBatchesInFlight)
	result, err := measureCost(rusageSelf, func() error {
		var wait sync.WaitGroup
		for range peerBatchesPerCall {
			limit <- struct{}{}
			wait.Add(1)
			var left atomic.Int64
			left.Store(int64(size))
			sender.Send(newBatch(c, size, 0, &seq), func(replies []wire.Reply) {
				for i := range replies {
					if replies[i].Outcome != wire.Answered {
						failed.Add(1)
					}
				}
				if left.Add(-int64(len(replies))) == 0 {
					<-limit
					wait.Done()
				}
			})
		}
		wait.Wait()
		return nil
	})
	if err != nil {
		return err
	}
	if failed.Load() > 0 {
		return &MeasurementError{Measure: "exchange", Detail: "a sub-request was not answered"}
	}
	result.processorMicros /= peerBatchesPerCall
	result.allocs /= peerBatchesPerCall
	if err := recordCost(r, "peer: batch over a link, both hosts", "sub-request", size, result); err != nil {
		return err
	}
	sent := float64(p.byteCount.Load()) / float64(seq) * float64(size)
	return r.Record(Point{
		Measure: "peer: bytes of a batch and its replies", Size: float64(size), Per: "sub-request", Value: sent, Unit: "B",
	})
}

// measureIdleLinks measures the memory, bytes and processor time of links without
// batches.
func measureIdleLinks(r Recorder, links int) error {
	p, err := startLocalPeers(links)
	if err != nil {
		return err
	}
	defer p.close()
	before := liveMemory()
	for _, addr := range p.addrs {
		p.client.Warm(addr)
	}
	go func() { _ = p.client.Run(p.ctx) }()
	time.Sleep(linkWarmUp)
	used := liveMemory() - before
	if err := r.Record(Point{
		Measure: "peer: memory of open links, both hosts", Size: float64(links), Per: "link", Value: used, Unit: "B",
	}); err != nil {
		return err
	}
	sent, begin := p.byteCount.Load(), processorTime(rusageSelf)
	time.Sleep(idleWindow)
	idle := float64(p.byteCount.Load()-sent) / idleWindow.Seconds()
	cpu := float64((processorTime(rusageSelf) - begin).Microseconds()) / idleWindow.Seconds()
	if err := r.Record(Point{Measure: "peer: idle links, bytes", Size: float64(links), Per: "link", Value: idle, Unit: "B/s"}); err != nil {
		return err
	}
	return r.Record(Point{Measure: "peer: idle links, processor time, both hosts", Size: float64(links), Per: "link", Value: cpu, Unit: "µs/s"})
}
