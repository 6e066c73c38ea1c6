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
	peerInFlight = 64 // batches at a time
	peerBatches  = 512
	idleTime     = 3 * time.Second
	linkWarmUp   = 500 * time.Millisecond
)

var (
	batchSizes = []int{1, 4, 16, 32, 64}
	linkCounts = []int{16, 64, 256}
)

// noHandlers answers every call with an empty message.
type noHandlers struct{}

// HandleGossip implements peer.Handlers.
func (noHandlers) HandleGossip(context.Context, *peerpb.GossipMessage) (*peerpb.GossipMessage, error) {
	return &peerpb.GossipMessage{}, nil
}

// HandleFetch implements peer.Handlers.
func (noHandlers) HandleFetch(context.Context, *peerpb.FetchConfigRequest) (*peerpb.FetchConfigReply, error) {
	return &peerpb.FetchConfigReply{}, nil
}

// HandleTicketed implements peer.Handlers.
func (noHandlers) HandleTicketed(context.Context, *peerpb.TicketedRequest) (*peerpb.TicketedReply, error) {
	return &peerpb.TicketedReply{}, nil
}

// HandleStatus implements peer.Handlers.
func (noHandlers) HandleStatus(context.Context, *peerpb.ReplicaStatusRequest) (*peerpb.ReplicaStatusReply, error) {
	return &peerpb.ReplicaStatusReply{}, nil
}

// countingConn counts the bytes of both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// peerPair is a client with servers on this machine.
type peerPair struct {
	client *peer.Client
	addrs  []string
	bytes  atomic.Int64
	ctx    context.Context
	stop   context.CancelFunc
}

func newPeers(servers int) (*peerPair, error) {
	p := &peerPair{}
	p.ctx, p.stop = context.WithCancel(context.Background())
	for range servers {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			p.stop()
			return nil, err
		}
		p.addrs = append(p.addrs, listener.Addr().String())
		go func() { _ = peer.NewServer(echoSender{}, noHandlers{}, nil).Serve(p.ctx, listener) }()
	}
	var dialer net.Dialer
	var err error
	p.client, err = peer.NewClient(peer.Options{Dial: func(ctx context.Context, addr string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, "tcp", addr)
		if err != nil {
			return nil, err
		}
		return countingConn{Conn: conn, bytes: &p.bytes}, nil
	}})
	return p, err
}

func (p *peerPair) close() {
	p.client.Close()
	p.stop()
}

func measurePeer(r Recorder, _ *Options) error {
	for _, size := range batchSizes {
		if err := measureExchange(r, size); err != nil {
			return err
		}
	}
	for _, links := range linkCounts {
		if err := measureLinks(r, links); err != nil {
			return err
		}
	}
	return nil
}

// measureExchange includes both hosts' processor time.
func measureExchange(r Recorder, size int) error {
	p, err := newPeers(1)
	if err != nil {
		return err
	}
	defer p.close()
	sender := p.client.Sender(p.addrs[0])
	c := config(1, batchSizes[len(batchSizes)-1], 1, 1)
	var seq uint64
	var failed atomic.Int64
	limit := make(chan struct{}, peerInFlight)
	result, err := measureCost(thisProcess, func() error {
		var wait sync.WaitGroup
		for range peerBatches {
			limit <- struct{}{}
			wait.Add(1)
			var left atomic.Int64
			left.Store(int64(size))
			sender.Send(batch(c, size, 0, &seq), func(replies []wire.Reply) {
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
		return &FailedError{Measure: "exchange", Detail: "a sub-request was not answered"}
	}
	result.micros /= peerBatches
	result.allocs /= peerBatches
	if err := recordCost(r, "peer: batch over a link, both hosts", "sub-request", size, result); err != nil {
		return err
	}
	sent := float64(p.bytes.Load()) / float64(seq) * float64(size)
	return r.Record(Point{
		Measure: "peer: bytes of a batch and its replies", Size: float64(size), Per: "sub-request", Value: sent, Unit: "B",
	})
}

func measureLinks(r Recorder, links int) error {
	p, err := newPeers(links)
	if err != nil {
		return err
	}
	defer p.close()
	before := memory()
	for _, addr := range p.addrs {
		p.client.Warm(addr)
	}
	go func() { _ = p.client.Run(p.ctx) }()
	time.Sleep(linkWarmUp)
	used := memory() - before
	if err := r.Record(Point{
		Measure: "peer: memory of open links, both hosts", Size: float64(links), Per: "link", Value: used, Unit: "B",
	}); err != nil {
		return err
	}
	sent, begin := p.bytes.Load(), processorTime(thisProcess)
	time.Sleep(idleTime)
	idle := float64(p.bytes.Load()-sent) / idleTime.Seconds()
	cpu := float64((processorTime(thisProcess) - begin).Microseconds()) / idleTime.Seconds()
	if err := r.Record(Point{Measure: "peer: idle links, bytes", Size: float64(links), Per: "link", Value: idle, Unit: "B/s"}); err != nil {
		return err
	}
	return r.Record(Point{Measure: "peer: idle links, processor time, both hosts", Size: float64(links), Per: "link", Value: cpu, Unit: "µs/s"})
}
