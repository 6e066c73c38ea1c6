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

// mine owns every replica.
type mine struct{}

func (mine) Owns(string, uint32, wire.ReplicaID) bool { return true }

const (
	slots  = 2
	ledger = 10
)

// line is one stand-in replica behind a relay, with an owner that is beyond
// the overlap of an owner change.
type line struct {
	server *standin.Server
	relay  *relay.Relay
	owner  *owner.Owner

	mu      sync.Mutex
	seq     uint64
	subs    map[wire.SubID]wire.Sub
	replies map[wire.SubID][]wire.Reply
	wait    sync.WaitGroup
}

func newLine(t *testing.T) *line {
	g := NewWithT(t)
	l := &line{subs: map[wire.SubID]wire.Sub{}, replies: map[wire.SubID][]wire.Reply{}}
	var err error
	l.server, err = standin.Start(standin.Options{
		Listen: "127.0.0.1:0", Service: "mill-dispatch", Range: wire.KeyRange{Lo: 0, Hi: ledger}, Slots: slots, Seed: 1,
		ConnectCost: jwcc.Duration(6 * time.Millisecond),
	})
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = l.server.Close() })
	l.relay, err = relay.Start(relay.Options{Listen: "127.0.0.1:0", Target: string(l.server.Addr()), Seed: 1})
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = l.relay.Close() })
	dialer, err := httpjson.NewDialer(httpjson.Options{})
	g.Expect(err).NotTo(HaveOccurred())
	l.owner, err = owner.New(owner.Options{
		DataCentre: "badin", Dialer: dialer, Ownership: mine{}, Timings: owner.Timings{Overlap: time.Nanosecond},
	})
	g.Expect(err).NotTo(HaveOccurred())
	replica := release.Replica{Addr: wire.ReplicaID(l.relay.Addr()), DataCentre: "badin"}
	l.owner.SetConfig(&release.Config{Services: map[string]*release.Service{"mill-dispatch": {
		Name: "mill-dispatch", Slots: slots, Connections: 25,
		Shards: []release.Shard{{Range: wire.KeyRange{Lo: 0, Hi: ledger}, Replicas: []release.Replica{replica}}},
	}}})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = l.owner.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	g.Eventually(l.server.Connections).Should(Equal(slots + 1))
	return l
}

// send sends n sub-requests, every second one not repeatable.
func (l *line) send(n int, left time.Duration) {
	var subs []wire.Sub
	l.mu.Lock()
	for range n {
		l.seq++
		s := wire.Sub{
			ID: wire.SubID{Host: 1, Seq: l.seq}, Service: "mill-dispatch", Replica: wire.ReplicaID(l.relay.Addr()),
			Range: wire.KeyRange{Lo: 2, Hi: 4}, TimeLeft: left, Repeatable: l.seq%2 == 0,
		}
		l.subs[s.ID] = s
		subs = append(subs, s)
	}
	l.mu.Unlock()
	l.wait.Add(n)
	l.owner.Send(subs, func(replies []wire.Reply) {
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, r := range replies {
			l.replies[r.ID] = append(l.replies[r.ID], r)
			l.wait.Done()
		}
	})
}

// check compares the replies with what the server truly ran, and counts them
// by outcome and reason.
func (l *line) check(g *WithT) map[string]int {
	ran := map[wire.SubID]int{}
	list, _ := l.server.Executions(0, 0)
	for _, e := range list {
		ran[wire.SubID(e.ID)]++
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := map[string]int{}
	for id := range l.subs {
		g.Expect(l.replies[id]).To(HaveLen(1))
		reply := l.replies[id][0]
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

// Guards against a slot count that differs from the server's, which would show
// as refusals, and against late or mixed answers over real connections.
func TestOverTCPWithoutFaults(t *testing.T) {
	g := NewWithT(t)
	l := newLine(t)
	for range 50 {
		l.send(4, time.Second)
		time.Sleep(4 * time.Millisecond)
	}
	l.wait.Wait()
	counts := l.check(g)
	g.Expect(counts["answered "]).To(Equal(200 - counts["not_run queue_full"]))
	_, most := l.server.Usage()
	g.Expect(most).To(BeEquivalentTo(slots))
}

// Guards against a false outcome when connections fail at any stage.
func TestOverTCPWithFaults(t *testing.T) {
	g := NewWithT(t)
	l := newLine(t)
	g.Expect(l.server.SetFaults(standin.Faults{
		ResetBefore: 0.05, ResetAfter: 0.05, ResetMiddle: 0.05, DropReplies: 0.02, Shed: 0.1, Omit: 0.05, Duplicate: 0.05,
	})).To(Succeed())
	for i := range 100 {
		l.send(3, 200*time.Millisecond)
		time.Sleep(5 * time.Millisecond)
		if i%25 == 24 {
			l.relay.Reset()
		}
	}
	l.wait.Wait()
	counts := l.check(g)
	g.Expect(counts).To(HaveKey("answered "))
	g.Expect(counts).To(HaveKey("unknown connection_lost"))
	g.Expect(counts).To(HaveKey("not_run shed"))
}

// Guards against a replica that stays out of use after its connections went
// silent for good.
func TestOverTCPSilence(t *testing.T) {
	g := NewWithT(t)
	l := newLine(t)
	l.send(4, time.Second)
	l.wait.Wait()
	l.relay.Silence()
	begin := time.Now()
	for time.Since(begin) < 2500*time.Millisecond {
		l.send(1, 300*time.Millisecond)
		time.Sleep(10 * time.Millisecond)
	}
	l.wait.Wait()
	l.check(g)
	ran := map[wire.SubID]standin.Execution{}
	list, _ := l.server.Executions(0, 0)
	for _, e := range list {
		ran[wire.SubID(e.ID)] = e
	}
	l.mu.Lock()
	stuck := 0
	for id, replies := range l.replies {
		if replies[0].Outcome != wire.Unknown {
			continue
		}
		if e, ok := ran[id]; ok {
			g.Expect(e.Stopped).To(BeTrue(), "ran to its end without an answer: %+v", replies[0])
			continue
		}
		stuck++
	}
	l.mu.Unlock()
	g.Expect(stuck).To(BeNumerically("<=", slots+1), "one for each silent connection")
	begin = time.Now()
	l.send(1, time.Second)
	l.wait.Wait()
	g.Expect(time.Since(begin)).To(BeNumerically("<", 300*time.Millisecond))
	g.Expect(l.check(g)).To(HaveKey("answered "))
}

// Guards against a slot that stays taken after the server could stop a
// cancelled sub-request.
func TestOverTCPCancel(t *testing.T) {
	g := NewWithT(t)
	l := newLine(t)
	g.Expect(l.server.SetFaults(standin.Faults{SlowBy: jwcc.Duration(time.Minute)})).To(Succeed())
	l.send(slots, 30*time.Second)
	running := func() uint32 { now, _ := l.server.Usage(); return now }
	g.Eventually(running).Should(BeEquivalentTo(slots))
	l.owner.Cancel([]wire.SubID{{Host: 1, Seq: 1}, {Host: 1, Seq: 2}})
	l.wait.Wait()
	g.Eventually(running).Should(BeZero())
	g.Eventually(func() uint32 { return l.owner.ReplicaStatus("mill-dispatch")[0].Load.InFlight }).Should(BeZero())
	g.Expect(l.check(g)).To(HaveKeyWithValue("unknown cancelled", slots))
}

// BenchmarkOverTCP measures a sub-request over the adapter and loopback TCP to
// a stand-in whose execution takes 1 us.
func BenchmarkOverTCP(b *testing.B) {
	s, err := standin.Start(standin.Options{
		Listen: "127.0.0.1:0", Range: wire.KeyRange{Lo: 0, Hi: ledger}, Slots: 4,
		Time: standin.ServiceTime{Median: jwcc.Duration(time.Microsecond), Tail: jwcc.Duration(time.Microsecond)},
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
		sub := wire.Sub{
			ID: wire.SubID{Host: 1, Seq: uint64(n)}, Service: "mill-dispatch", Replica: s.Addr(),
			Range: wire.KeyRange{Lo: 2, Hi: 4}, TimeLeft: time.Second,
		}
		if _, err := conn.Run(ctx, []wire.Sub{sub}); err != nil {
			b.Fatal(err)
		}
		cancel()
	}
}
