package main

import (
	"math"
	"slices"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/balance"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// The estimate of a host follows internal/owner/estimate.go with these constants.
const (
	minOverdue    = 30 * time.Millisecond
	pauseTime     = 125 * time.Millisecond // usual length of a pause
	overdueFactor = 3
	// cancelAfter is how long a run goes on that is no longer needed.
	cancelAfter    = 300 * time.Millisecond
	overduePenalty = 110 * time.Millisecond
	halfLife       = 2 * time.Second
	excessHalfLife = 150 * time.Millisecond
	assumedLatency = 20 * time.Millisecond
	// peerDelay is the time until a host of the same data centre knows of a pause.
	peerDelay = time.Millisecond
	// latencySamples is the number of latencies that the hedge delay is computed from.
	latencySamples = 2048
)

// knowledge is what a host knows of one replica.
type knowledge struct {
	runs     []*run
	mean     time.Duration // of recent latencies
	excess   time.Duration // at sampleAt
	sampleAt time.Duration
	view     balance.View
	// hint is when a peer said that the replica is paused; 0: it did not.
	hint       time.Duration
	answeredAt time.Duration
	told       bool // this host told its peers of the pause
}

// host sends the parts of its queries.
type host struct {
	sim    *simulation
	zone   int
	known  []knowledge
	tokens [shardCount]float64
	delay  time.Duration
	recent []time.Duration
}

func newHost(s *simulation, zone, senders int) *host {
	h := &host{sim: s, zone: zone, known: make([]knowledge, len(s.replicas)), delay: 30 * time.Millisecond}
	for i := range h.tokens {
		h.tokens[i] = budgetBurst / float64(senders)
	}
	return h
}

// virtual returns the virtual time as a point in time, for balance.View.
func (s *simulation) virtual() time.Time { return time.Unix(1, 0).Add(s.now) }

func (h *host) hedgeDelay() time.Duration { return h.delay }

func (h *host) send(p *part, extra bool) {
	var candidates []int
	for i := range replicasPerShard {
		id := p.shard*replicasPerShard + i
		if !slices.ContainsFunc(p.runs, func(x *run) bool { return x.replica.id == id }) {
			candidates = append(candidates, id)
		}
	}
	id := h.sim.policy.choose(h, candidates)
	r := h.sim.replicas[id]
	work := time.Duration(float64(h.sim.load.work) * (0.6 + 0.4*h.sim.random.ExpFloat64()))
	x := &run{part: p, host: h, replica: r, sentAt: h.sim.now, left: work}
	p.runs = append(p.runs, x)
	h.known[id].runs = append(h.known[id].runs, x)
	h.sim.result.countSent(h.sim.now, extra, r.zone != h.zone)
	if !extra {
		h.tokens[p.shard] = min(h.tokens[p.shard]+budgetPerTry, max(1, budgetBurst/float64(len(h.sim.hosts))))
	}
	h.sim.after(oneWay[h.zone][r.zone], func() { r.arrive(x) })
}

func (h *host) hedge(p *part) {
	if !p.done {
		h.suspect(p.runs[0])
	}
	if p.done || len(p.runs) == replicasPerShard || h.tokens[p.shard] < 1 {
		return
	}
	h.tokens[p.shard]--
	h.send(p, true)
	h.sim.after(h.hedgeDelay(), func() { h.hedge(p) })
}

// answered records an answer. A late one, of a part that another run answered, tells of its
// replica as well.
func (h *host) answered(x *run, stated statement) {
	if x.ended {
		return
	}
	now := h.sim.now
	k := &h.known[x.replica.id]
	h.observe(k, x, now-x.sentAt)
	load := wire.StatedLoad{
		Running: uint32(stated.running + 1), Waiting: uint32(stated.waiting),
		Slots: slotsPerReplica, Slowness: uint32(stated.slow * wire.UsualSlowness),
	}
	k.view.Report(load, len(k.runs), true, h.sim.virtual())
	k.view.Answer(now-x.sentAt, h.sim.virtual())
	k.hint, k.told, k.answeredAt = 0, false, now
	p := x.part
	if p.done {
		return
	}
	p.done = true
	h.record(now, now-p.query.sentAt)
	for _, other := range p.runs {
		if !other.ended {
			h.sim.after(cancelAfter, func() { h.cut(other) })
		}
	}
	if p.query.open--; p.query.open == 0 {
		h.sim.result.countQuery(now, now-p.query.sentAt)
	}
}

// cut ends a run that goes on after its part was answered.
func (h *host) cut(x *run) {
	if x.ended {
		return
	}
	k := &h.known[x.replica.id]
	if took := h.sim.now - x.sentAt; took > k.mean {
		h.observe(k, x, took)
	} else {
		x.ended, k.runs = true, remove(k.runs, x)
	}
	h.sim.after(oneWay[h.zone][x.replica.zone], func() { x.replica.drop(x) })
}

func (h *host) observe(k *knowledge, x *run, took time.Duration) {
	x.ended, k.runs = true, remove(k.runs, x)
	if h.sim.policy.limited && k.mean > 0 {
		limited := balance.Limit(took, k.mean)
		k.excess = h.excessOf(k) + (took-limited)/4
		took = limited
	}
	k.mean, k.sampleAt = average(k.mean, took, 4), h.sim.now
}

func average(mean, sample time.Duration, divisor int) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + (sample-mean)/time.Duration(divisor)
}

// record records the latency of a part and updates the hedge delay.
func (h *host) record(now, took time.Duration) {
	h.sim.result.countPart(now, took)
	h.recent = append(h.recent, took)
	if len(h.recent) == latencySamples {
		slices.Sort(h.recent)
		h.delay = max(time.Millisecond, h.recent[len(h.recent)*hedgeRank/100])
		h.recent = h.recent[:0]
	}
}

// excessOf returns what is left of the part of the latencies that balance.Limit cut off.
func (h *host) excessOf(k *knowledge) time.Duration {
	if !h.sim.policy.excess {
		return 0
	}
	return time.Duration(float64(k.excess) * math.Exp2(-float64(h.sim.now-k.sampleAt)/float64(excessHalfLife)))
}

// meanOf returns the recent mean latency, halved for each halfLife without a sample.
func (h *host) meanOf(k *knowledge) time.Duration {
	if k.mean == 0 {
		return assumedLatency
	}
	mean := k.mean
	for age := h.sim.now - k.sampleAt; age > halfLife && mean > assumedLatency; age -= halfLife {
		mean /= 2
	}
	return mean + h.excessOf(k)
}

// overdue returns the penalty for a replica that does not answer.
func (h *host) overdue(id int, mean time.Duration) time.Duration {
	k, now := &h.known[id], h.sim.now
	limit := max(minOverdue, overdueFactor*mean)
	for _, x := range k.runs {
		if now-x.sentAt > limit {
			return overduePenalty
		}
	}
	if k.hint > 0 {
		return max(0, pauseTime-(now-k.hint))
	}
	return 0
}

// suspect tells the peers of a replica that has not answered x for the hedge delay.
func (h *host) suspect(x *run) {
	k := &h.known[x.replica.id]
	limit := max(minOverdue, overdueFactor*h.meanOf(k))
	if !h.sim.policy.peers || k.told || h.sim.now-x.sentAt < limit || k.answeredAt > x.sentAt {
		return
	}
	k.told = true
	h.tellPeers(x.replica.id, x.sentAt)
}

func (h *host) tellPeers(id int, since time.Duration) {
	for _, other := range h.sim.hosts {
		if other != h && other.zone == h.zone {
			h.sim.result.hints++
			h.sim.after(peerDelay, func() {
				if k := &other.known[id]; k.answeredAt < since {
					k.hint = since
				}
			})
		}
	}
}
