package main

import (
	"math"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/balance"
)

// policy is one way to choose a replica.
type policy struct {
	name    string
	peers   bool // hosts of one data centre tell each other of pauses
	limited bool // single latencies count with balance.Limit
	excess  bool // what it cuts off counts for a short time
	choose  func(h *host, candidates []int) int
}

// ownWait is the estimate from own requests only.
func ownWait(h *host, id int) time.Duration {
	k := &h.known[id]
	mean := h.meanOf(k)
	wait := mean + time.Duration(len(k.runs))*mean/slotsPerReplica
	return wait + h.overdue(id, mean) + 2*oneWay[h.zone][h.sim.replicas[id].zone]
}

// statedWait is the estimate from the stated load as well.
func statedWait(h *host, id int) (wait, uncertainty time.Duration) {
	k := &h.known[id]
	wait, uncertainty = k.view.Estimate(len(k.runs), slotsPerReplica, h.sim.virtual())
	return wait + h.overdue(id, h.meanOf(k)) + 2*oneWay[h.zone][h.sim.replicas[id].zone], uncertainty
}

func twofoldUncertainty(h *host, id int) (wait, uncertainty time.Duration) {
	wait, uncertainty = statedWait(h, id)
	return wait, 2 * uncertainty
}

// exactWait is the estimate with the true state of all replicas.
func exactWait(h *host, id int) time.Duration {
	r := h.sim.replicas[id]
	work := float64(h.sim.load.work) * r.factor()
	wait := time.Duration(work * (1 + float64(len(r.running)+len(r.waiting))/slotsPerReplica))
	if r.paused {
		wait += overduePenalty / 2
	}
	return wait + 4*oneWay[h.zone][r.zone]
}

func least(wait func(*host, int) time.Duration) func(*host, []int) int {
	return func(h *host, candidates []int) int {
		best, bestWait := 0, time.Duration(math.MaxInt64)
		for _, id := range candidates {
			if w := wait(h, id); w < bestWait {
				best, bestWait = id, w
			}
		}
		return best
	}
}

func leastOfTwo(wait func(*host, int) time.Duration) func(*host, []int) int {
	return func(h *host, candidates []int) int {
		if len(candidates) > 2 {
			left := h.sim.random.IntN(len(candidates))
			candidates = append(append([]int{}, candidates[:left]...), candidates[left+1:]...)
		}
		return least(wait)(h, candidates)
	}
}

// freeRoom chooses in proportion to the room left in the slots, divided by the service
// time; a full replica counts as having a small rest of it.
func freeRoom(h *host, candidates []int) int {
	weights := make([]float64, len(candidates))
	sum := 0.0
	for i, id := range candidates {
		k := &h.known[id]
		now := h.sim.virtual()
		room := slotsPerReplica - float64(len(k.runs)) - k.view.Others(now)
		wait, _ := statedWait(h, id)
		weights[i] = max(0.1, room) / wait.Seconds()
		sum += weights[i]
	}
	left := h.sim.random.Float64() * sum
	for i, w := range weights {
		if left -= w; left < 0 {
			return candidates[i]
		}
	}
	return candidates[0]
}

// byUncertainty chooses with balance.Choose.
func byUncertainty(estimate func(*host, int) (wait, uncertainty time.Duration)) func(*host, []int) int {
	return func(h *host, candidates []int) int {
		list := make([]balance.Candidate, len(candidates))
		for i, id := range candidates {
			list[i].Wait, list[i].Uncertainty = estimate(h, id)
		}
		return candidates[balance.Choose(list, h.sim.random.Float64)]
	}
}

func statedOnly(h *host, id int) time.Duration {
	wait, _ := statedWait(h, id)
	return wait
}

// policies are the ways that the note compares.
func policies() []policy {
	return []policy{
		{name: "own, least of two (present)", choose: leastOfTwo(ownWait)},
		{name: "own, least of two, peers", choose: leastOfTwo(ownWait), peers: true},
		{name: "own, least of two, limited", choose: leastOfTwo(ownWait), limited: true},
		{name: "own, least of all", choose: least(ownWait)},
		{name: "own, least of all, limited", choose: least(ownWait), limited: true},
		{name: "own, least of two, brief excess", choose: leastOfTwo(ownWait), limited: true, excess: true},
		{name: "own, least of all, brief excess", choose: least(ownWait), limited: true, excess: true},
		{name: "stated, least of two", choose: leastOfTwo(statedOnly), limited: true},
		{name: "stated, least of all", choose: least(statedOnly), limited: true},
		{name: "stated, free room", choose: freeRoom, limited: true},
		{name: "stated, by uncertainty", choose: byUncertainty(statedWait), limited: true},
		{name: "stated, by uncertainty, peers", choose: byUncertainty(statedWait), limited: true, peers: true},
		{name: "stated, by twofold uncertainty", choose: byUncertainty(twofoldUncertainty), limited: true},
		{name: "true state (bound)", choose: least(exactWait)},
	}
}
