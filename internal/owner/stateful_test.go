package owner

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// step is one action of the stateful test.
type step struct {
	Kind     string
	Replica  int
	Count    int
	Duration time.Duration
	Fault    fault
	Flag     bool
}

var stepKinds = []string{
	"send", "send", "send", "send", "tick", "tick", "tick", "cancel", "cancel", "wait", "wait", "fault", "heal", "silent", "crash", "refuse",
	"took", "draining", "cold", "leaving", "owned", "config", "unsent", "frozen",
}

func drawStep(t *rapid.T) step {
	return step{
		Kind:     rapid.SampledFrom(stepKinds).Draw(t, "kind"),
		Replica:  rapid.IntRange(0, 2).Draw(t, "replica"),
		Count:    rapid.IntRange(1, 12).Draw(t, "count"),
		Duration: time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond,
		Fault:    fault(rapid.IntRange(0, int(faultCount)-1).Draw(t, "fault")),
		Flag:     rapid.Bool().Draw(t, "flag"),
	}
}

// statefulTrial is one run of the stateful test.
type statefulTrial struct {
	*harness
	ids        []wire.ReplicaID
	sent       []wire.SubRequest
	replyDue   []time.Time // latest time of the reply to the sub-request of the same index in sent
	configured [3]bool
	problem    string // first failure
}

// Guards, under random faults, against every violation of the contract of Send: more
// sub-requests in flight than slots, no reply or more than one, the outcome NotRun
// for a sub-request that ran, a sub-request that was sent twice, a reply after the
// deadline and its grace, slots that are never freed, and a replica that stays
// unused after all faults are over.
func TestStateful(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 1, 60).Draw(rt, "steps")
		end := rapid.SampledFrom([]string{"settle", "stop", "abort"}).Draw(rt, "end")
		drivers := rapid.IntRange(1, 4).Draw(rt, "drivers")
		var problem string
		synctest.Test(t, func(t *testing.T) { problem = runTrial(t, steps, end, drivers) })
		if problem != "" {
			rt.Fatal(problem)
		}
	})
}

// shortenDrainHold makes draining replies override the status call for 2 s to 32 s,
// so that a trial outlasts the longest time.
func shortenDrainHold(o *Options) { o.Timings.DrainHold = 2 * time.Second }

// runTrial distributes the steps over concurrent drivers, and then, depending on end,
// lets the owner settle and recover, stops it or aborts it. It returns the first
// failure, or "".
func runTrial(t *testing.T, steps []step, end string, drivers int) string {
	ids := []wire.ReplicaID{r1, r2, "127.0.0.1:1003"}
	tr := &statefulTrial{harness: newHarness(t, config(testSlots, ids), false, shortenDrainHold), ids: ids, configured: [3]bool{true, true, true}}
	var wait sync.WaitGroup
	for d := range drivers {
		wait.Go(func() {
			for i := d; i < len(steps); i += drivers {
				tr.apply(steps[i])
			}
		})
	}
	wait.Wait()
	if end == "settle" {
		tr.settle()
		tr.checkRecovery()
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if end != "abort" {
		if err := tr.owner.Stop(ctx); err != nil {
			tr.failf("stop: %v", err)
		}
	}
	tr.close()
	synctest.Wait()
	tr.checkInFlight()
	tr.checkReplies()
	for _, id := range ids {
		if open := tr.dialer.server(id).openConns(); open != 0 {
			tr.failf("%d connections of %s left open", open, id)
		}
	}
	return tr.problem
}

// settle waits until every deadline and its grace are over. Then no sub-request may
// be queued or in flight.
func (tr *statefulTrial) settle() {
	time.Sleep(time.Second)
	for _, info := range tr.owner.ReplicaStatus("") {
		if info.Load.InFlight != 0 || info.Load.Queued != 0 {
			tr.failf("sub-requests queued or in flight after their deadlines: %+v", info)
		}
	}
}

func (tr *statefulTrial) failf(format string, args ...any) {
	if tr.problem == "" {
		tr.problem = fmt.Sprintf(format, args...)
	}
}

func (tr *statefulTrial) apply(s step) {
	id := tr.ids[s.Replica]
	server := tr.dialer.server(id)
	switch s.Kind {
	case "send":
		var subs []wire.SubRequest
		tr.mu.Lock()
		for i := range s.Count {
			sub := tr.sub(id, s.Duration+time.Duration(i)*time.Millisecond)
			sub.Repeatable = s.Flag
			subs = append(subs, sub)
		}
		for _, sub := range subs {
			tr.sent = append(tr.sent, sub)
			tr.replyDue = append(tr.replyDue, time.Now().Add(sub.TimeLeft+defaultDeadlineGrace))
		}
		tr.mu.Unlock()
		tr.owner.Send(subs, tr.done)
	case "cancel":
		var ids []wire.SubRequestID
		tr.mu.Lock()
		for i := max(0, len(tr.sent)-2*s.Count); i < len(tr.sent); i += 2 {
			ids = append(ids, tr.sent[i].ID)
		}
		tr.mu.Unlock()
		tr.owner.Cancel(ids)
	case "wait":
		time.Sleep(s.Duration)
	case "tick":
		time.Sleep(s.Duration / 40)
	case "crash":
		server.closeConnections()
	case "leaving":
		tr.mu.Lock()
		tr.leaving[id] = s.Flag
		tr.mu.Unlock()
	case "owned":
		tr.ownership.set(id, s.Flag)
	case "config":
		tr.mu.Lock()
		tr.configured[s.Replica] = s.Flag
		var kept []wire.ReplicaID
		for i, ok := range tr.configured {
			if ok {
				kept = append(kept, tr.ids[i])
			}
		}
		tr.mu.Unlock()
		tr.owner.SetConfig(config(testSlots, kept))
	default:
		server.set(func(f *fakeServer) { s.applyToServer(f) })
	}
}

// applyToServer applies a step to a fake server.
func (s step) applyToServer(f *fakeServer) {
	switch s.Kind {
	case "fault":
		f.fault = s.Fault
	case "heal":
		f.fault = faultNone
	case "silent":
		f.silentRuns = s.Count
	case "refuse":
		f.refuseDials = s.Flag
	case "took":
		f.serviceTime = s.Duration / 8
	case "draining":
		f.status.Draining = s.Flag
	case "cold":
		f.status.Cold = s.Flag
	case "unsent":
		f.unsentCalls = s.Count
	case "frozen":
		f.statusFrozen = s.Flag
	}
}

func (tr *statefulTrial) checkInFlight() {
	for _, id := range tr.ids {
		if most := tr.dialer.server(id).recorded().maxInFlight; most > testSlots {
			tr.failf("%d sub-requests in flight at once on %s", most, id)
		}
	}
}

// checkRecovery ends all faults and expects every replica to answer again.
func (tr *statefulTrial) checkRecovery() {
	tr.configured = [3]bool{true, true, true}
	tr.owner.SetConfig(config(testSlots, tr.ids))
	for _, id := range tr.ids {
		tr.ownership.set(id, true)
		tr.apply(step{Kind: "leaving", Replica: slices.Index(tr.ids, id)})
		tr.dialer.server(id).set(func(s *fakeServer) {
			s.fault, s.statusFrozen, s.refuseDials, s.silentRuns, s.unsentCalls, s.serviceTime = faultNone, false, false, 0, 0, time.Millisecond
			s.status.Draining, s.status.Cold = false, false
		})
	}
	time.Sleep(35 * time.Second) // more than the longest ejection and drain hold
	for _, id := range tr.ids {
		last := tr.send(id, time.Second, 1)[0]
		time.Sleep(10 * time.Millisecond)
		if reply := tr.reply(last); reply.Outcome != wire.Answered {
			tr.failf("%s did not recover: %+v", id, reply)
		}
		if open := tr.dialer.server(id).openConns(); open != testSlots+1 {
			tr.failf("%d open connections to %s after recovery", open, id)
		}
	}
}

func (tr *statefulTrial) checkReplies() {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	seen := map[wire.ReplicaID]serverRecord{}
	for _, id := range tr.ids {
		seen[id] = tr.dialer.server(id).recorded()
		if seen[id].callsAfterError > 0 {
			tr.failf("%d calls on failed connections", seen[id].callsAfterError)
		}
	}
	for i, sub := range tr.sent {
		if late := tr.repliedAt[sub.ID].Sub(tr.replyDue[i]); late > 0 {
			tr.failf("reply to %v is %v late: %+v", sub.ID, late, tr.replies[sub.ID])
		}
		replies := tr.replies[sub.ID]
		if len(replies) != 1 {
			tr.failf("%d replies to %v", len(replies), sub.ID)
			continue
		}
		ran, sent := seen[sub.Replica].ran[sub.ID], seen[sub.Replica].sends[sub.ID]
		switch {
		case replies[0].Outcome == wire.NotRun && ran > 0:
			tr.failf("%v ran but its reply is %+v", sub.ID, replies[0])
		case replies[0].Outcome == wire.Answered && ran != 1:
			tr.failf("%v was answered and ran %d times", sub.ID, ran)
		case sent > 1:
			tr.failf("%v was sent %d times", sub.ID, sent)
		}
	}
}
