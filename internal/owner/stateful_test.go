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

// trial is one run of the stateful test.
type trial struct {
	*harness
	ids        []wire.ReplicaID
	sent       []wire.Sub
	due        []time.Time // latest moment of the reply
	configured [3]bool
	problem    string
}

// Guards against every broken promise of Send, whatever happens: more work in
// flight than slots, no reply or two, "not run" that ran, a non-repeatable
// sub-request that was passed on twice, a reply long after the deadline, slots
// that leak, and a replica that stays out of use after all faults are over.
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

// shortHold makes draining replies outweigh the status call for 2 s to 32 s, so
// that a trial covers the longest one.
func shortHold(o *Options) { o.Timings.DrainHold = 2 * time.Second }

// runTrial deals the steps out to concurrent drivers, and then lets the owner
// settle and recover, stops it at once or aborts it.
func runTrial(t *testing.T, steps []step, end string, drivers int) string {
	ids := []wire.ReplicaID{r1, r2, "127.0.0.1:1003"}
	tr := &trial{harness: newHarness(t, config(testSlots, ids), false, shortHold), ids: ids, configured: [3]bool{true, true, true}}
	var wait sync.WaitGroup
	for d := range drivers {
		wait.Go(func() {
			for i := d; i < len(steps); i += drivers {
				tr.take(steps[i])
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
	tr.checkFlight()
	tr.checkReplies()
	for _, id := range ids {
		if open := tr.dialer.server(id).open(); open != 0 {
			tr.failf("%d connections of %s left open", open, id)
		}
	}
	return tr.problem
}

// settle waits beyond every deadline and its grace.
func (tr *trial) settle() {
	time.Sleep(time.Second)
	for _, info := range tr.owner.ReplicaStatus("") {
		if info.Load.InFlight != 0 || info.Load.Queued != 0 {
			tr.failf("at the end %+v", info)
		}
	}
}

func (tr *trial) failf(format string, args ...any) {
	if tr.problem == "" {
		tr.problem = fmt.Sprintf(format, args...)
	}
}

func (tr *trial) take(s step) {
	id := tr.ids[s.Replica]
	server := tr.dialer.server(id)
	switch s.Kind {
	case "send":
		var subs []wire.Sub
		tr.mu.Lock()
		for i := range s.Count {
			sub := tr.sub(id, s.Duration+time.Duration(i)*time.Millisecond)
			sub.Repeatable = s.Flag
			subs = append(subs, sub)
		}
		for _, sub := range subs {
			tr.sent = append(tr.sent, sub)
			tr.due = append(tr.due, time.Now().Add(sub.TimeLeft+defaultGrace))
		}
		tr.mu.Unlock()
		tr.owner.Send(subs, tr.done)
	case "cancel":
		var ids []wire.SubID
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
		server.crash()
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
		server.set(func(f *fakeServer) { s.change(f) })
	}
}

// change applies a step to a fake server.
func (s step) change(f *fakeServer) {
	switch s.Kind {
	case "fault":
		f.fault = s.Fault
	case "heal":
		f.fault = faultNone
	case "silent":
		f.silent = s.Count
	case "refuse":
		f.refuse = s.Flag
	case "took":
		f.took = s.Duration / 8
	case "draining":
		f.status.Draining = s.Flag
	case "cold":
		f.status.Cold = s.Flag
	case "unsent":
		f.unsent = s.Count
	case "frozen":
		f.frozen = s.Flag
	}
}

func (tr *trial) checkFlight() {
	for _, id := range tr.ids {
		if most := tr.dialer.server(id).seen().most; most > testSlots {
			tr.failf("%d in flight on %s", most, id)
		}
	}
}

// checkRecovery ends all faults and expects every replica back at work.
func (tr *trial) checkRecovery() {
	tr.configured = [3]bool{true, true, true}
	tr.owner.SetConfig(config(testSlots, tr.ids))
	for _, id := range tr.ids {
		tr.ownership.set(id, true)
		tr.take(step{Kind: "leaving", Replica: slices.Index(tr.ids, id)})
		tr.dialer.server(id).set(func(s *fakeServer) {
			s.fault, s.frozen, s.refuse, s.silent, s.unsent, s.took = faultNone, false, false, 0, 0, time.Millisecond
			s.status.Draining, s.status.Cold = false, false
		})
	}
	time.Sleep(35 * time.Second) // beyond the longest ejection and hold
	for _, id := range tr.ids {
		last := tr.send(id, time.Second, 1)[0]
		time.Sleep(10 * time.Millisecond)
		if reply := tr.reply(last); reply.Outcome != wire.Answered {
			tr.failf("%s did not recover: %+v", id, reply)
		}
		if open := tr.dialer.server(id).open(); open != testSlots+1 {
			tr.failf("%d connections to %s after recovery", open, id)
		}
	}
}

func (tr *trial) checkReplies() {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	seen := map[wire.ReplicaID]record{}
	for _, id := range tr.ids {
		seen[id] = tr.dialer.server(id).seen()
		if seen[id].misused > 0 {
			tr.failf("%d calls on failed connections", seen[id].misused)
		}
	}
	for i, sub := range tr.sent {
		if late := tr.at[sub.ID].Sub(tr.due[i]); late > 0 {
			tr.failf("reply to %v %v late: %+v", sub.ID, late, tr.replies[sub.ID])
		}
		replies := tr.replies[sub.ID]
		if len(replies) != 1 {
			tr.failf("%d replies to %v", len(replies), sub.ID)
			continue
		}
		ran, sent := seen[sub.Replica].ran[sub.ID], seen[sub.Replica].sent[sub.ID]
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
