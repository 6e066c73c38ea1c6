package proof_test

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/arbutusgauge/arbutusgauge/internal/fixedseed"
	"github.com/arbutusgauge/arbutusgauge/internal/proof"
)

func TestMain(m *testing.M) {
	fixedseed.Parse()
	goleak.VerifyTestMain(m)
}

// step is one action with its drawn parameters.
type step struct {
	kind            string
	host, target    int           // index of the acting or issuing host, and of the called host
	choice          int           // index of the request, mode, data centre or other variant
	deadline        time.Duration // 0: the search's
	disconnectAfter time.Duration // 0: the caller stays connected
	loseAnswer      bool          // the answer does not reach the caller
	waitAfter       time.Duration // before the next step
}

func (s step) String() string {
	return fmt.Sprintf("%s host=%d target=%d choice=%d deadline=%s disconnect_after=%s lose_answer=%t wait_after=%s",
		s.kind, s.host, s.target, s.choice, s.deadline, s.disconnectAfter, s.loseAnswer, s.waitAfter)
}

// runner runs steps on a simulated installation.
type runner struct {
	sim   *proof.Sim
	calls sync.WaitGroup // calls and graceful stops that have not ended

	payloadCount int // number of payloads made so far

	mu       sync.Mutex
	requests []proof.Request // all requests with a ticket, in the order of issue
	issuers  []*proof.Host   // the issuing host of each request
}

var shardModes = []proof.ShardMode{
	proof.ShardOK, proof.ShardRefuse, proof.ShardLoseRequest, proof.ShardLoseReply, proof.ShardSlow, proof.ShardSilent,
}

var linkModes = []proof.LinkMode{
	proof.LinkOK, proof.LinkRefuse, proof.LinkLoseRequest, proof.LinkLoseReply, proof.LinkSlow, proof.LinkDouble,
}

// actions lists the actions of the stateful test. An entry is drawn by its index, so
// an action that is listed more than once is drawn more often.
var actions = []struct {
	kind string
	run  func(run *runner, s step)
}{
	{"book", (*runner).book},
	{"book", (*runner).book},
	{"book", (*runner).book},
	{"repeat", (*runner).repeat},
	{"repeat", (*runner).repeat},
	{"repeat", (*runner).repeat},
	{"duplicate", func(run *runner, s step) { run.repeat(s); s.target++; run.repeat(s) }},
	{"duplicate", func(run *runner, s step) { run.repeat(s); s.target++; run.repeat(s) }},
	{"reuse ticket", (*runner).reuseTicket},
	{"find", (*runner).find},
	{"kill", func(run *runner, s step) { run.host(s.host).Kill() }},
	{"restart", func(run *runner, s step) { run.host(s.host).Kill(); run.host(s.host).Start() }},
	{"start", func(run *runner, s step) { run.host(s.host).Start() }},
	{"stop", func(run *runner, s step) { run.calls.Go(run.host(s.host).Stop) }},
	{"pause", func(run *runner, s step) { run.host(s.host).Pause() }},
	{"resume", func(run *runner, s step) { run.host(s.host).Resume() }},
	{"cut", func(run *runner, s step) { run.sim.CutOff([]string{"badin", "thatta", "tando"}[s.choice%3]) }},
	{"heal", func(run *runner, s step) { run.sim.Heal() }},
	{"shard", func(run *runner, s step) { run.sim.SetShard(s.host%proof.Shards, shardModes[s.choice%len(shardModes)]) }},
	{"shards", func(run *runner, s step) {
		for i := range proof.Shards {
			run.sim.SetShard(i, shardModes[s.choice%len(shardModes)])
		}
	}},
	{"link", func(run *runner, s step) {
		run.sim.SetLink(run.host(s.host).Name(), linkModes[s.choice%len(linkModes)])
	}},
	{"overload", func(run *runner, s step) { run.host(s.host).SetOverloaded(s.choice%2 == 0) }},
	{"configuration", (*runner).configure},
	{"sleep", func(_ *runner, s step) { time.Sleep([]time.Duration{61 * time.Second, 602 * time.Second}[s.choice%2]) }},
}

func (run *runner) host(i int) *proof.Host { return run.sim.Hosts()[i%len(run.sim.Hosts())] }

func (run *runner) present(at *proof.Host, r proof.Request, s step) {
	r.Deadline, r.DisconnectAfter, r.LoseAnswer = s.deadline, s.disconnectAfter, s.loseAnswer
	run.calls.Go(func() { run.sim.Present(at, r) })
}

// book requests a ticket from s.host and sends a new request with it to s.target.
func (run *runner) book(s step) {
	payload := run.newPayload()
	run.calls.Go(func() {
		tickets := run.sim.IssueTickets(run.host(s.host), 1)
		if len(tickets) == 0 {
			return
		}
		run.mu.Lock()
		r := proof.Request{Payload: payload, Ticket: tickets[0]}
		run.requests = append(run.requests, r)
		run.issuers = append(run.issuers, run.host(s.host))
		run.mu.Unlock()
		run.present(run.host(s.target), r, s)
	})
}

// earlierRequest returns a request with a ticket, counted from the newest, or false
// if there is none.
func (run *runner) earlierRequest(choice int) (proof.Request, bool) {
	run.mu.Lock()
	defer run.mu.Unlock()
	if len(run.requests) == 0 {
		return proof.Request{}, false
	}
	return run.requests[len(run.requests)-1-choice%len(run.requests)], true
}

// repeat sends an earlier request again, with its ticket.
func (run *runner) repeat(s step) {
	if r, ok := run.earlierRequest(s.choice); ok {
		run.present(run.host(s.target), r, s)
	}
}

// reuseTicket sends another request with the ticket of an earlier one.
func (run *runner) reuseTicket(s step) {
	if r, ok := run.earlierRequest(s.choice); ok {
		r.Payload += "-other"
		run.present(run.host(s.target), r, s)
	}
}

// find sends a repeatable search without a ticket. Each call has its own payload.
func (run *runner) find(s step) {
	run.present(run.host(s.target), proof.Request{Payload: run.newPayload(), Search: "find"}, s)
}

// newPayload returns a payload that no other request has.
func (run *runner) newPayload() string {
	run.payloadCount++
	return fmt.Sprintf("r%d", run.payloadCount)
}

func (run *runner) configure(s step) {
	switch s.choice % 3 {
	case 0:
		run.host(s.host).SetConfig(nil)
	case 1:
		run.host(s.host).SetConfig(proof.WithdrawnConfig())
	default:
		run.host(s.host).SetConfig(proof.Config())
	}
}

// healAndRepeat ends all faults and sends each request again, to its issuer and to
// another host, so that a wrong record on the issuer shows in an answer.
func (run *runner) healAndRepeat() {
	run.sim.Heal()
	run.calls.Wait()
	run.sim.Heal() // a graceful stop may have ended a host after the first Heal
	time.Sleep(2 * time.Second)
	for i, r := range run.requests {
		run.present(run.issuers[i], r, step{})
		run.present(run.host(i), r, step{})
	}
	run.calls.Wait()
	time.Sleep(2 * time.Second)
}

var actionIndex = rapid.IntRange(0, len(actions)-1)

func drawStep(rt *rapid.T) step {
	s := step{
		kind:       actions[actionIndex.Draw(rt, "kind")].kind,
		host:       rapid.IntRange(0, 3).Draw(rt, "host"),
		target:     rapid.IntRange(0, 3).Draw(rt, "target"),
		choice:     rapid.IntRange(0, 5).Draw(rt, "choice"),
		waitAfter:  time.Duration(rapid.SampledFrom([]int{0, 0, 1, 6, 11, 16, 50, 300, 1200}).Draw(rt, "wait after ms")) * time.Millisecond,
		loseAnswer: rapid.IntRange(0, 3).Draw(rt, "lose answer") == 3,
	}
	s.deadline = time.Duration(rapid.SampledFrom([]int{0, 0, 0, 1, 8, 20, 200}).Draw(rt, "deadline ms")) * time.Millisecond
	s.disconnectAfter = time.Duration(rapid.SampledFrom([]int{0, 0, 0, 3, 13}).Draw(rt, "disconnect after ms")) * time.Millisecond
	return s
}

// TestStatefulOnceAndNotRun runs random sequences of calls and faults. It guards
// against a request that runs twice, one that is reported as not run but ran, an
// answer of another request, and two different answers to one ticket.
func TestStatefulOnceAndNotRun(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var steps []step
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			steps = append(steps, drawStep(rt))
		}
		var faults []string
		// A failure must not end the rapid test from within the bubble, so the
		// bubble only returns the faults.
		synctest.Test(t, func(*testing.T) { faults = runSteps(steps) })
		if len(faults) > 0 {
			for _, s := range steps {
				rt.Log(s)
			}
			rt.Fatalf("broken guarantees: %v", faults)
		}
	})
}

// runSteps runs steps on a new installation, repeats all requests without faults
// and returns the guarantees that were broken.
func runSteps(steps []step) []string {
	run := &runner{sim: proof.NewSim("badin-1", "badin-2", "thatta-1", "tando-1")}
	for _, s := range steps {
		for _, a := range actions {
			if a.kind == s.kind {
				a.run(run, s)
				break
			}
		}
		time.Sleep(s.waitAfter)
	}
	run.healAndRepeat()
	faults := run.sim.Oracle.Violations()
	run.sim.Close()
	return faults
}

// TestFaultlessRequestsRunOnce checks that without faults every request is answered
// and runs once on every shard. It guards against an oracle that records nothing,
// with which the other tests would always pass.
func TestFaultlessRequestsRunOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		sim := proof.NewSim("badin-1", "thatta-1")
		defer sim.Close()
		for i, at := range sim.Hosts() {
			for j, to := range sim.Hosts() {
				payload := fmt.Sprintf("r%d%d", i, j)
				r := proof.Request{Payload: payload, Ticket: sim.IssueTickets(at, 1)[0]}
				for range 2 {
					c := sim.Present(to, r)
					Expect(c.Status).To(Equal(200), c.Body)
					Expect(c.Answer.Rows).To(HaveLen(30))
				}
				Expect(sim.Oracle.RunCounts(payload)).To(Equal([proof.Shards]int{1, 1, 1}))
			}
		}
		Expect(sim.Oracle.Violations()).To(BeEmpty())
	})
}
