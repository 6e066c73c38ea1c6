package owner_test

import (
	"context"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/arbutusgauge/arbutusgauge/internal/backend/httpjson"
	"github.com/arbutusgauge/arbutusgauge/internal/jwcc"
	"github.com/arbutusgauge/arbutusgauge/internal/owner"
	"github.com/arbutusgauge/arbutusgauge/internal/release"
	standin "github.com/arbutusgauge/arbutusgauge/internal/standin/backend"
	"github.com/arbutusgauge/arbutusgauge/internal/standin/relay"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// ownsAll is an Ownership with every replica.
type ownsAll struct{}

func (ownsAll) Owns(string, uint32, wire.ReplicaID) bool { return true }

const (
	slots  = 2
	ledger = 10
)

// tcpFixture is a stand-in replica behind a relay with an owner that uses all slots,
// because Timings.OwnerChangeOverlap is over. It records sub-requests and replies.
type tcpFixture struct {
	server *standin.Server
	relay  *relay.Relay
	owner  *owner.Owner

	mu      sync.Mutex
	seq     uint64
	subs    map[wire.SubRequestID]wire.SubRequest
	replies map[wire.SubRequestID][]wire.Reply
	wait    sync.WaitGroup
}

func newTCPFixture(t *testing.T) *tcpFixture {
	g := NewWithT(t)
	f := &tcpFixture{subs: map[wire.SubRequestID]wire.SubRequest{}, replies: map[wire.SubRequestID][]wire.Reply{}}
	var err error
	f.server, err = standin.Start(standin.Options{
		Listen: "127.0.0.1:0", Service: "mill-dispatch", Range: wire.LedgerRange{Lo: 0, Hi: ledger}, Slots: slots, Seed: 1,
		ConnectCost: jwcc.Duration(6 * time.Millisecond),
	})
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = f.server.Close() })
	f.relay, err = relay.Start(relay.Options{Listen: "127.0.0.1:0", Target: string(f.server.Addr()), Seed: 1})
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = f.relay.Close() })
	dialer, err := httpjson.NewDialer(httpjson.Options{})
	g.Expect(err).NotTo(HaveOccurred())
	f.owner, err = owner.New(owner.Options{
		DataCentre: "badin", Dialer: dialer, Ownership: ownsAll{}, Timings: owner.Timings{OwnerChangeOverlap: time.Nanosecond},
	})
	g.Expect(err).NotTo(HaveOccurred())
	replica := release.Replica{Addr: wire.ReplicaID(f.relay.Addr()), DataCentre: "badin"}
	f.owner.SetConfig(&release.Config{Services: map[string]*release.Service{"mill-dispatch": {
		Name: "mill-dispatch", Slots: slots, MaxConnections: 25,
		Shards: []release.Shard{{Range: wire.LedgerRange{Lo: 0, Hi: ledger}, Replicas: []release.Replica{replica}}},
	}}})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = f.owner.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	g.Eventually(f.server.Connections).Should(Equal(slots + 1))
	return f
}

// send sends n sub-requests, every second one not repeatable.
func (f *tcpFixture) send(n int, timeLeft time.Duration) {
	var subs []wire.SubRequest
	f.mu.Lock()
	for range n {
		f.seq++
		s := wire.SubRequest{
			ID: wire.SubRequestID{Host: 1, Seq: f.seq}, Service: "mill-dispatch", Replica: wire.ReplicaID(f.relay.Addr()),
			Range: wire.LedgerRange{Lo: 2, Hi: 4}, TimeLeft: timeLeft, Repeatable: f.seq%2 == 0,
		}
		f.subs[s.ID] = s
		subs = append(subs, s)
	}
	f.mu.Unlock()
	f.wait.Add(n)
	f.owner.Send(subs, func(replies []wire.Reply) {
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, r := range replies {
			f.replies[r.ID] = append(f.replies[r.ID], r)
			f.wait.Done()
		}
	})
}

// checkReplies compares the replies with what the server ran, and returns their
// number by "outcome reason".
func (f *tcpFixture) checkReplies(g *WithT) map[string]int {
	ran := map[wire.SubRequestID]int{}
	list, _ := f.server.Executions(0, 0)
	for _, e := range list {
		ran[wire.SubRequestID(e.ID)]++
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	counts := map[string]int{}
	for id := range f.subs {
		g.Expect(f.replies[id]).To(HaveLen(1))
		reply := f.replies[id][0]
		counts[reply.Outcome.String()+" "+string(reply.Reason)]++
		g.Expect(ran[id]).To(BeNumerically("<=", 1))
		switch reply.Outcome {
		case wire.NotRun:
			g.Expect(ran[id]).To(BeZero(), "%+v", reply)
		case wire.Answered:
			g.Expect(ran[id]).To(Equal(1), "%+v", reply)
			g.Expect(reply.Rows).To(HaveExactElements(standin.RowOf(2, reply.Snapshot), standin.RowOf(3, reply.Snapshot)))
		}
	}
	return counts
}

// Guards against a slot count that differs from the server's, so that it refuses
// sub-requests, and against late or wrongly assigned answers over TCP.
func TestOverTCPWithoutFaults(t *testing.T) {
	g := NewWithT(t)
	f := newTCPFixture(t)
	for range 50 {
		f.send(4, time.Second)
		time.Sleep(4 * time.Millisecond)
	}
	f.wait.Wait()
	counts := f.checkReplies(g)
	g.Expect(counts["answered "]).To(Equal(200 - counts["not_run queue_full"]))
	_, most := f.server.Usage()
	g.Expect(most).To(BeEquivalentTo(slots))
}

// Guards against a wrong outcome when connections fail at any stage of a request.
func TestOverTCPWithFaults(t *testing.T) {
	g := NewWithT(t)
	f := newTCPFixture(t)
	g.Expect(f.server.SetFaults(standin.Faults{
		ResetBefore: 0.05, ResetAfter: 0.05, ResetMiddle: 0.05, DropReplies: 0.02, Shed: 0.1, Omit: 0.05, Duplicate: 0.05,
	})).To(Succeed())
	for i := range 100 {
		f.send(3, 200*time.Millisecond)
		time.Sleep(5 * time.Millisecond)
		if i%25 == 24 {
			f.relay.ResetConnections()
		}
	}
	f.wait.Wait()
	counts := f.checkReplies(g)
	g.Expect(counts).To(HaveKey("answered "))
	g.Expect(counts).To(HaveKey("unknown connection_lost"))
	g.Expect(counts).To(HaveKey("not_run shed"))
}

// Guards against a replica that stays unused after all its connections went silent
// for good, and against more sub-requests lost than connections.
func TestOverTCPSilence(t *testing.T) {
	g := NewWithT(t)
	f := newTCPFixture(t)
	f.send(4, time.Second)
	f.wait.Wait()
	f.relay.SilenceConnections()
	begin := time.Now()
	for time.Since(begin) < 2500*time.Millisecond {
		f.send(1, 300*time.Millisecond)
		time.Sleep(10 * time.Millisecond)
	}
	f.wait.Wait()
	f.checkReplies(g)
	ran := map[wire.SubRequestID]standin.Execution{}
	list, _ := f.server.Executions(0, 0)
	for _, e := range list {
		ran[wire.SubRequestID(e.ID)] = e
	}
	f.mu.Lock()
	stuck := 0
	for id, replies := range f.replies {
		if replies[0].Outcome != wire.Unknown {
			continue
		}
		if e, ok := ran[id]; ok {
			g.Expect(e.Stopped).To(BeTrue(), "ran to its end without an answer: %+v", replies[0])
			continue
		}
		stuck++
	}
	f.mu.Unlock()
	g.Expect(stuck).To(BeNumerically("<=", slots+1), "one for each silent connection")
	begin = time.Now()
	f.send(1, time.Second)
	f.wait.Wait()
	g.Expect(time.Since(begin)).To(BeNumerically("<", 300*time.Millisecond))
	g.Expect(f.checkReplies(g)).To(HaveKey("answered "))
}

// Guards against a slot that stays taken although the server stopped the cancelled
// sub-request.
func TestOverTCPCancel(t *testing.T) {
	g := NewWithT(t)
	f := newTCPFixture(t)
	g.Expect(f.server.SetFaults(standin.Faults{SlowBy: jwcc.Duration(time.Minute)})).To(Succeed())
	f.send(slots, 30*time.Second)
	running := func() uint32 { now, _ := f.server.Usage(); return now }
	g.Eventually(running).Should(BeEquivalentTo(slots))
	f.owner.Cancel([]wire.SubRequestID{{Host: 1, Seq: 1}, {Host: 1, Seq: 2}})
	f.wait.Wait()
	g.Eventually(running).Should(BeZero())
	g.Eventually(func() uint32 { return f.owner.ReplicaStatus("mill-dispatch")[0].Load.InFlight }).Should(BeZero())
	g.Expect(f.checkReplies(g)).To(HaveKeyWithValue("unknown cancelled", slots))
}

// BenchmarkOverTCP measures a sub-request through the httpjson adapter and loopback
// TCP to a stand-in that takes 1 us to run it.
func BenchmarkOverTCP(b *testing.B) {
	s, err := standin.Start(standin.Options{
		Listen: "127.0.0.1:0", Range: wire.LedgerRange{Lo: 0, Hi: ledger}, Slots: 4,
		ServiceTime: standin.ServiceTime{Median: jwcc.Duration(time.Microsecond), Tail: jwcc.Duration(time.Microsecond)},
	})
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = s.Close() }()
	dialer, err := httpjson.NewDialer(httpjson.Options{})
	if err != nil {
		b.Fatal(err)
	}
	conn, err := dialer.Dial(context.Background(), s.Addr())
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	b.ReportAllocs()
	for n := range b.N {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		sub := wire.SubRequest{
			ID: wire.SubRequestID{Host: 1, Seq: uint64(n)}, Service: "mill-dispatch", Replica: s.Addr(),
			Range: wire.LedgerRange{Lo: 2, Hi: 4}, TimeLeft: time.Second,
		}
		if _, err := conn.Run(ctx, []wire.SubRequest{sub}); err != nil {
			b.Fatal(err)
		}
		cancel()
	}
}
