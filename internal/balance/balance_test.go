package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

var start = time.Unix(1000, 0)

// known returns a view after a second of the same reports and answers, the newest at start.
func known(load wire.StatedLoad, service time.Duration) *View {
	v := &View{}
	for i := range 50 {
		at := start.Add(time.Duration(i-49) * 20 * time.Millisecond)
		v.Report(load, 0, true, at)
		v.Answer(service*time.Duration(max(load.Slowness, wire.UsualSlowness))/wire.UsualSlowness, at)
	}
	return v
}

func stated(running, waiting, slowness uint32) wire.StatedLoad {
	return wire.StatedLoad{Running: running, Waiting: waiting, Slots: 2, Slowness: slowness}
}

// choose returns the choice between views without own requests.
func choose(views []*View, prices []time.Duration, now time.Time, random *rand.Rand) int {
	candidates := make([]Candidate, len(views))
	for i, v := range views {
		candidates[i].Wait, candidates[i].Uncertainty = v.Estimate(0, 2, now)
		candidates[i].Wait += prices[i]
	}
	return Choose(candidates, random.Float64)
}

// Guards against hosts that choose at the same moment from the same old report and all choose
// the same replica, so that replicas are overloaded in turns (R13). All requests are of
// different hosts, as with 300 of them: none knows of the others' sends.
func TestHostsWithTheSameReportSpread(t *testing.T) {
	const (
		round, reportEvery = 10 * time.Millisecond, 10 // rounds
		arrivals, served   = 3, 2                      // requests in a round, over all replicas and by each
	)
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			g := NewWithT(t)
			random := rand.New(rand.NewPCG(1, seed))
			views := []*View{{}, {}, {}}
			inFlight := make([]int, len(views))
			var most []int
			for i := range 2000 {
				now := start.Add(time.Duration(i) * round)
				for r, v := range views {
					if i%reportEvery == 0 {
						v.Report(stated(uint32(min(2, inFlight[r])), uint32(max(0, inFlight[r]-2)), 0), 0, false, now)
						v.Answer(10*time.Millisecond, now)
					}
				}
				before := slices.Clone(inFlight)
				for range arrivals {
					inFlight[choose(views, make([]time.Duration, len(views)), now, random)]++
				}
				for r := range inFlight {
					inFlight[r] = max(0, inFlight[r]-served)
				}
				most = append(most, slices.Max(before))
			}
			slices.Sort(most)
			g.Expect(most[len(most)*99/100]).To(BeNumerically("<=", 2), "p99 of the requests left at the busiest replica")
		})
	}
}

// Guards against a replica that was slow and is never tried again, and against all hosts that
// try it at the same moment.
func TestSlowReplicaIsTriedAgainByOneHostAfterTheOther(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(1, 2))
	const hosts = 40
	var tries []time.Duration
	for range hosts {
		heard := time.Duration(random.Float64() * float64(200*time.Millisecond)) // since the last answer of the slow one
		fast, slow := known(stated(1, 0, 100), 10*time.Millisecond), known(stated(2, 1, 400), 10*time.Millisecond)
		for at := time.Duration(0); at < 30*time.Second; at += 20 * time.Millisecond {
			now := start.Add(at)
			fast.Report(stated(2, 0, 100), 0, true, now)
			fast.Answer(10*time.Millisecond, now)
			if choose([]*View{fast, slow}, make([]time.Duration, 2), now.Add(heard), random) == 1 {
				tries = append(tries, at+heard)
				break
			}
		}
	}
	slices.Sort(tries)
	g.Expect(tries).To(HaveLen(hosts), "each host tries it again")
	g.Expect(tries[0]).To(BeNumerically(">", 500*time.Millisecond), "not while it is known to be slow")
	g.Expect(tries[hosts-1]).To(BeNumerically("<", reportMaxAge+time.Second))
	for i := range tries {
		end, _ := slices.BinarySearch(tries, tries[i]+20*time.Millisecond)
		g.Expect(end-i).To(BeNumerically("<=", hosts/2), "within 20 ms after %s", tries[i])
	}
}

// Guards against a replica that has just started and gets nothing, or everything before it
// has answered once.
func TestNewReplicaIsTriedWithOneRequest(t *testing.T) {
	g := NewWithT(t)
	var unheard View
	other, _ := known(stated(1, 0, 0), time.Millisecond).Estimate(0, 2, start)
	first, _ := unheard.Estimate(0, 2, start)
	second, _ := unheard.Estimate(1, 2, start)
	g.Expect(first).To(BeNumerically("<", other))
	g.Expect(second).To(BeNumerically(">", other))
}

// Guards against equal shares for replicas of different speeds, which leave a queue at the slow one.
func TestFasterReplicasGetMore(t *testing.T) {
	g := NewWithT(t)
	views := []*View{known(stated(1, 0, 0), 8*time.Millisecond), known(stated(1, 0, 0), 10*time.Millisecond), known(stated(1, 0, 0), 13*time.Millisecond)}
	own := make([]int, len(views))
	for range 24 {
		candidates := make([]Candidate, len(views))
		for i, v := range views {
			candidates[i].Wait, candidates[i].Uncertainty = v.Estimate(own[i], 2, start)
		}
		own[Choose(candidates, func() float64 { return 0.5 })]++
	}
	g.Expect(own[0]).To(BeNumerically(">", own[1]))
	g.Expect(own[1]).To(BeNumerically(">", own[2]))
	g.Expect(own[2]).To(BeNumerically(">=", 4), "the slow one is used")
}

// Guards against a data centre whose near replicas get queues while others are idle, and against
// traffic between data centres that the near replicas could serve.
func TestNearReplicaSpillsOverBeforeItQueuesAndComesBack(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(1, 3))
	// The way of 2.4 ms and back, as an estimate holds it: in the latency and as the price.
	prices := []time.Duration{0, 2400 * time.Microsecond}
	far := known(stated(1, 0, 0), 12400*time.Microsecond)
	farShare := func(load wire.StatedLoad) float64 {
		near, n := known(load, 10*time.Millisecond), 0
		for range 1000 {
			n += choose([]*View{near, far}, prices, start, random)
		}
		return float64(n) / 1000
	}
	// An answered request counts itself, so that 1 stands for an idle replica.
	for _, c := range []struct {
		load        wire.StatedLoad
		least, most float64
	}{
		{stated(1, 0, 0), 0, 0.01}, {stated(2, 0, 0), 0, 0.1}, {stated(2, 1, 0), 0.9, 1}, {stated(2, 6, 0), 1, 1}, {stated(1, 0, 0), 0, 0.01},
	} {
		g.Expect(farShare(c.load)).To(And(BeNumerically(">=", c.least), BeNumerically("<=", c.most)), "%+v", c.load)
	}
}

// Guards against own requests that count twice, in flight and in the report, and against a
// replica that is taken for busy because it counts the request that it answers.
func TestOwnRequestsCountOnce(t *testing.T) {
	g := NewWithT(t)
	var v View
	v.Report(stated(2, 1, 0), 2, true, start) // two own ones and the answered one
	g.Expect(v.Others(start)).To(BeZero())
	v.Report(stated(2, 3, 0), 2, true, start)
	g.Expect(v.Others(start)).To(Equal(2.0))
	busy, _ := v.Estimate(2, 2, start)
	idle, _ := v.Estimate(0, 2, start)
	g.Expect(busy).To(BeNumerically(">", idle))
	v.Report(stated(0, 0, 0), 0, true, start)
	v.Report(stated(1, 0, 0), 0, true, start)
	g.Expect(v.Others(start)).To(Equal(1.0), "an answer that stated 0 does not count itself")
}

// Guards against old reports that keep their weight, and estimates that are not a time.
func TestReportsFade(t *testing.T) {
	g := NewWithT(t)
	v := known(stated(1, 0, 100), 10*time.Millisecond)
	quiet, _ := v.Estimate(0, 2, start)
	v.Report(stated(2, 10, 250), 0, true, start)
	last := time.Duration(1 << 62)
	for _, age := range []time.Duration{0, 10, 20, 50, 100, 500, 1000, 4000, 6000} {
		wait, _ := v.Estimate(0, 2, start.Add(age*time.Millisecond))
		g.Expect(wait).To(BeNumerically("<=", last), "at %d ms", age)
		last = wait
	}
	g.Expect(last).To(BeNumerically("~", quiet, time.Millisecond))
	full, _ := v.Estimate(0, 2, start)
	later, _ := v.Estimate(0, 2, start.Add(100*time.Millisecond))
	g.Expect(later).To(BeNumerically("<", full/2), "a queue of ten requests is gone by then")

	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		var v View
		now := start
		for range rapid.IntRange(0, 20).Draw(t, "reports") {
			now = now.Add(time.Duration(rapid.Int64Range(-1e6, 7e9).Draw(t, "after")))
			load := wire.StatedLoad{
				Running: rapid.Uint32().Draw(t, "running"), Waiting: rapid.Uint32().Draw(t, "waiting"),
				Slots: rapid.Uint32().Draw(t, "slots"), Slowness: rapid.Uint32().Draw(t, "slowness"),
			}
			v.Report(load, rapid.IntRange(0, 50).Draw(t, "own"), rapid.Bool().Draw(t, "answered"), now)
			v.Answer(time.Duration(rapid.Int64Range(0, 1e10).Draw(t, "took")), now)
		}
		wait, uncertainty := v.Estimate(rapid.IntRange(0, 50).Draw(t, "own"), 2, now)
		g.Expect(wait).To(BeNumerically(">=", 0))
		g.Expect(uncertainty).To(BeNumerically(">=", 0))
	})
}

// Guards against one pause that makes a replica look slow for seconds, and against a replica
// that stays slow without stating it and looks fast.
func TestOnePauseIsNotSlowness(t *testing.T) {
	g := NewWithT(t)
	v := known(stated(1, 0, 0), 10*time.Millisecond)
	v.Answer(150*time.Millisecond, start)
	g.Expect(v.Service(start)).To(BeNumerically("<", 12*time.Millisecond))
	for range 20 {
		v.Answer(60*time.Millisecond, start)
	}
	g.Expect(v.Service(start)).To(BeNumerically(">", 40*time.Millisecond))
}
