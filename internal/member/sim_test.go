package member

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"google.golang.org/protobuf/proto"

	"github.com/arbutusgauge/arbutusgauge/internal/peer/peerpb"
)

// simRetention is shorter than the default, so that tests can run longer than it.
const simRetention = 90 * time.Second

var quietLog = &log.Logger{Handler: discard.New()}

// network simulates a network with message loss, partitions and paused hosts.
type network struct {
	mu             sync.Mutex
	rng            *rand.Rand
	lossRate       float64
	hosts          map[string]*simHost // by address
	blocked        func(from, to Host) bool
	callCount      atomic.Uint64
	byteCount      atomic.Uint64  // requests and replies
	largestMessage atomic.Uint64  // in bytes, TABLE messages excluded
	handlers       sync.WaitGroup // running calls of HandleGossip
}

type simHost struct {
	*Agent
	net       *network
	cancel    context.CancelFunc
	runResult chan error
	mu        sync.Mutex
	resume    chan struct{} // not nil while paused
}

// simTransport is the Gossiper of one simulated host.
type simTransport struct {
	net  *network
	from Host
}

func (l simTransport) Gossip(ctx context.Context, addr string, m *peerpb.GossipMessage) (*peerpb.GossipMessage, error) {
	n := l.net
	n.callCount.Add(1)
	n.countBytes(m)
	target := n.reachable(l.from, addr)
	if target == nil || target.paused() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if err := n.sleepDelay(ctx, l.from, target.opts.Self); err != nil {
		return nil, err
	}
	// The handler runs in its own goroutine, because the target can be paused
	// during the call. stopAll waits for it: a synctest bubble must not end while
	// a goroutine in it is blocked.
	answers := make(chan *peerpb.GossipMessage, 1)
	n.handlers.Go(func() {
		reply, _ := target.HandleGossip(ctx, proto.Clone(m).(*peerpb.GossipMessage))
		answers <- reply
	})
	var reply *peerpb.GossipMessage
	select {
	case reply = <-answers:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	n.countBytes(reply)
	if n.reachable(l.from, addr) != target {
		<-ctx.Done()
	}
	if err := n.sleepDelay(ctx, l.from, target.opts.Self); err != nil {
		return nil, err
	}
	return proto.Clone(reply).(*peerpb.GossipMessage), nil
}

// countBytes adds a message to byteCount and largestMessage.
func (n *network) countBytes(m *peerpb.GossipMessage) {
	size := uint64(proto.Size(m))
	n.byteCount.Add(size)
	for m.Kind != peerpb.GossipMessage_TABLE {
		if old := n.largestMessage.Load(); size <= old || n.largestMessage.CompareAndSwap(old, size) {
			return
		}
	}
}

func (n *network) delay(a, b Host) time.Duration {
	if a.DataCentre == b.DataCentre {
		return 200 * time.Microsecond
	}
	return 5 * time.Millisecond
}

// sleepDelay waits for the delay between two hosts, or until ctx ends.
func (n *network) sleepDelay(ctx context.Context, a, b Host) error {
	timer := time.NewTimer(n.delay(a, b))
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err()
	case <-ctx.Done():
		return ctx.Err()
	}
}

// reachable returns the host at addr, or nil if a message to it is lost.
func (n *network) reachable(from Host, addr string) *simHost {
	n.mu.Lock()
	defer n.mu.Unlock()
	target := n.hosts[addr]
	if target == nil || n.rng.Float64() < n.lossRate || n.blocked != nil && n.blocked(from, target.opts.Self) {
		return nil
	}
	return target
}

// setFaults replaces the loss rate and the blocked paths; nil blocks none.
func (n *network) setFaults(lossRate float64, blocked func(from, to Host) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lossRate, n.blocked = lossRate, blocked
}

func newNetwork() *network {
	return &network{rng: rand.New(rand.NewPCG(1, 1)), hosts: map[string]*simHost{}}
}

var dataCentres = []string{"badin", "thatta", "tando"}

func hostName(i int) string { return fmt.Sprintf("%s-%d", dataCentres[i%3], i/3) }

// startHostNumber starts a process of host i.
func (n *network) startHostNumber(t testing.TB, i int, seeds ...string) *simHost {
	t.Helper()
	return n.startHost(t, Host{
		Name: hostName(i), Addr: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250),
		HTTPAddr: fmt.Sprintf("10.0.%d.%d:7001", i/250, i%250), DataCentre: dataCentres[i%3],
	}, seeds...)
}

// startHost starts a process of the host self.
func (n *network) startHost(t testing.TB, self Host, seeds ...string) *simHost {
	t.Helper()
	agent, err := New(Options{Self: self, Seeds: seeds, Gossiper: simTransport{n, self}, DeadRetention: simRetention, Seed: uint64(len(self.Addr)) + 7, Log: quietLog})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	h := &simHost{Agent: agent, net: n, cancel: cancel, runResult: make(chan error, 1)}
	agent.pauseHook = h.blockWhilePaused
	n.mu.Lock()
	n.hosts[self.Addr] = h
	n.mu.Unlock()
	go func() { h.runResult <- agent.Run(ctx) }()
	return h
}

// startAll starts count hosts, the first three of which are the seeds.
func (n *network) startAll(t testing.TB, count int) []*simHost {
	t.Helper()
	var out []*simHost
	for i := range count {
		out = append(out, n.startHostNumber(t, i, "10.0.0.0:7000", "10.0.0.1:7000", "10.0.0.2:7000"))
	}
	return out
}

// kill stops a process without Leave.
func (n *network) kill(h *simHost) {
	n.mu.Lock()
	delete(n.hosts, h.opts.Self.Addr)
	n.mu.Unlock()
	h.cancel()
	<-h.runResult
}

// stopAll kills all hosts and waits for the handlers that they have started.
func (n *network) stopAll() {
	n.mu.Lock()
	var all []*simHost
	for _, h := range n.hosts {
		all = append(all, h)
	}
	n.mu.Unlock()
	for _, h := range all {
		h.unpause()
	}
	for _, h := range all {
		n.kill(h)
	}
	n.handlers.Wait()
}

func (h *simHost) blockWhilePaused() {
	h.mu.Lock()
	resume := h.resume
	h.mu.Unlock()
	if resume != nil {
		<-resume
	}
}

func (h *simHost) paused() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.resume != nil
}

func (h *simHost) pause() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.resume = make(chan struct{})
}

func (h *simHost) unpause() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.resume != nil {
		close(h.resume)
		h.resume = nil
	}
}

// states returns the states of the hosts in the view of h by name.
func (h *simHost) states() map[string]State {
	out := map[string]State{}
	for _, host := range h.View().Hosts {
		out[host.Name] = host.State
	}
	return out
}

// allLive reports whether every host's view holds exactly these hosts, all live.
func allLive(hosts []*simHost) bool {
	for _, h := range hosts {
		states := h.states()
		if len(states) != len(hosts) {
			return false
		}
		for _, s := range states {
			if s != Live {
				return false
			}
		}
	}
	return true
}

// waitUntil sleeps until ok returns true and returns how long that took. It
// fails the test after limit.
func waitUntil(t testing.TB, limit time.Duration, what string, ok func() bool) time.Duration {
	t.Helper()
	begin := time.Now()
	for !ok() {
		if time.Since(begin) > limit {
			t.Fatalf("not within %s: %s", limit, what)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(begin)
}

// checkDuring calls check every 20 ms for the duration d.
func checkDuring(d time.Duration, check func()) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		check()
	}
}
