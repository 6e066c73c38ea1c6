package main

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

const (
	shardCount       = 90
	replicasPerShard = 3 // one in each data centre
	slotsPerReplica  = 2
	tickPeriod       = 5 * time.Millisecond
	warmUp           = 3 * time.Second // not measured
	// budgetPerTry and budgetBurst bound the hedges on one shard, of all hosts together.
	budgetPerTry = 0.1
	budgetBurst  = 60
	hedgeRank    = 94 // percentile of the latency after which a part is hedged
)

// oneWay is the delay between two data centres, the smallest within one.
var oneWay = [3][3]time.Duration{
	{150 * time.Microsecond, 1200 * time.Microsecond, 4 * time.Millisecond},
	{1200 * time.Microsecond, 150 * time.Microsecond, 2500 * time.Microsecond},
	{4 * time.Millisecond, 2500 * time.Microsecond, 150 * time.Microsecond},
}

// load is the demand and the troubles of one simulated deployment.
type load struct {
	name       string
	perSecond  float64       // queries, each to all shards
	work       time.Duration // mean work of a part
	nearShare  float64       // share of the queries that begin in the first data centre
	turns      float64       // share of the replicas that are slow by turns
	slowShare  float64       // share of the replicas that become slow for good at half-time
	slowFactor float64
	swing      float64 // relative amplitude of the demand, with a period of 4 s
}

// event is a call at a virtual time; seq keeps the order of events at one time.
type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// run is one attempt of a part on a replica.
type run struct {
	part    *part
	host    *host
	replica *replica
	sentAt  time.Duration
	left    time.Duration // work at factor 1
	ended   bool          // answered or cancelled
}

// replica is the true state of a replica.
type replica struct {
	sim      *simulation
	id, zone int
	speed    float64 // factor on the work; constant
	slow     float64 // factor on the work; changes
	paused   bool
	running  []*run
	waiting  []*run
	workedAt time.Duration // when the work left of running was computed
	timer    uint64        // number of the completion event that counts
}

func (r *replica) factor() float64 { return r.speed * r.slow }

// advance computes the work left of the running requests.
func (r *replica) advance() {
	if !r.paused {
		did := time.Duration(float64(r.sim.now-r.workedAt) / r.factor())
		for _, x := range r.running {
			x.left -= did
		}
	}
	r.workedAt = r.sim.now
}

// resume fills the slots and schedules the next completion.
func (r *replica) resume() {
	for len(r.running) < slotsPerReplica && len(r.waiting) > 0 {
		r.running = append(r.running, r.waiting[0])
		r.waiting = r.waiting[1:]
	}
	r.timer++
	if r.paused || len(r.running) == 0 {
		return
	}
	least := r.running[0]
	for _, x := range r.running {
		if x.left < least.left {
			least = x
		}
	}
	timer := r.timer
	r.sim.after(max(0, time.Duration(float64(least.left)*r.factor())), func() {
		if r.timer == timer {
			r.finish(least)
		}
	})
}

func (r *replica) set(change func()) {
	r.advance()
	change()
	r.resume()
}

func (r *replica) arrive(x *run) {
	if !x.ended {
		r.set(func() { r.waiting = append(r.waiting, x) })
	}
}

func remove(runs []*run, x *run) []*run {
	for i, y := range runs {
		if x == y {
			return append(runs[:i:i], runs[i+1:]...)
		}
	}
	return runs
}

// drop ends a cancelled run.
func (r *replica) drop(x *run) {
	r.set(func() { r.running, r.waiting = remove(r.running, x), remove(r.waiting, x) })
}

// finish answers a run; the answer states the load without it.
func (r *replica) finish(x *run) {
	r.set(func() { r.running = remove(r.running, x) })
	stated := statement{running: len(r.running), waiting: len(r.waiting), slow: r.slow}
	r.sim.after(oneWay[r.zone][x.host.zone], func() { x.host.answered(x, stated) })
}

// statement is the load that a response states.
type statement struct {
	running, waiting int
	slow             float64
}

// query is one query over all shards.
type query struct {
	sentAt time.Duration
	open   int
}

// part is the part of a query that one shard answers.
type part struct {
	query *query
	shard int
	runs  []*run
	done  bool
}

// simulation runs one policy under one load.
type simulation struct {
	load     load
	policy   policy
	random   *rand.Rand
	now      time.Duration
	seq      uint64
	events   eventQueue
	replicas []*replica
	hosts    []*host
	result   result
}

func (s *simulation) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, event{at: s.now + d, seq: s.seq, do: do})
}

// between returns a random time.
func (s *simulation) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Float64()*float64(high-low))
}

func newSimulation(l load, p policy, senders int, seed uint64) *simulation {
	s := &simulation{load: l, policy: p, random: rand.New(rand.NewPCG(seed, 1))}
	for i := range shardCount * replicasPerShard {
		r := &replica{sim: s, id: i, zone: i % replicasPerShard, speed: 0.8 + 0.5*s.random.Float64(), slow: 1}
		s.replicas = append(s.replicas, r)
		s.schedulePause(r)
		if s.random.Float64() < l.turns {
			s.scheduleTurn(r)
		}
	}
	for i := range senders {
		s.hosts = append(s.hosts, newHost(s, i%replicasPerShard, senders))
	}
	return s
}

func (s *simulation) schedulePause(r *replica) {
	s.after(s.between(2400*time.Millisecond, 3600*time.Millisecond), func() {
		r.set(func() { r.paused = true })
		s.after(s.between(100*time.Millisecond, 150*time.Millisecond), func() {
			r.set(func() { r.paused = false })
			s.schedulePause(r)
		})
	})
}

func (s *simulation) scheduleTurn(r *replica) {
	const turn = 400 * time.Millisecond
	s.after(s.between(turn/2, 3*turn/2), func() {
		r.set(func() { r.slow = 2.5 })
		s.after(turn, func() {
			r.set(func() { r.slow = 1 })
			s.scheduleTurn(r)
		})
	})
}

// play runs the simulation for a virtual time.
func (s *simulation) play(length time.Duration) *result {
	s.scheduleQuery()
	s.scheduleTick()
	s.after(length/2, func() {
		for _, r := range s.replicas {
			if s.random.Float64() < s.load.slowShare {
				r.set(func() { r.slow = s.load.slowFactor })
			}
		}
	})
	for len(s.events) > 0 && s.now < length {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	return &s.result
}

func (s *simulation) scheduleQuery() {
	rate := s.load.perSecond
	if s.load.swing > 0 && s.now%(4*time.Second) < 2*time.Second {
		rate *= 1 + s.load.swing
	} else {
		rate *= 1 - s.load.swing
	}
	s.after(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), func() {
		s.startQuery(s.pickHost())
		s.scheduleQuery()
	})
}

// pickHost returns the host of a query. With a nearShare, that share of the queries begins
// in the first data centre.
func (s *simulation) pickHost() *host {
	near := s.load.nearShare > 0 && s.random.Float64() < s.load.nearShare
	for {
		h := s.hosts[s.random.IntN(len(s.hosts))]
		if s.load.nearShare == 0 || near == (h.zone == 0) {
			return h
		}
	}
}

func (s *simulation) startQuery(h *host) {
	q := &query{sentAt: s.now, open: shardCount}
	for shard := range shardCount {
		p := &part{query: q, shard: shard}
		h.send(p, false)
		s.after(h.hedgeDelay(), func() { h.hedge(p) })
	}
}

func (s *simulation) scheduleTick() {
	s.after(tickPeriod, func() {
		if s.now > warmUp {
			for _, r := range s.replicas {
				s.result.countInFlight(len(r.running) + len(r.waiting))
			}
		}
		s.scheduleTick()
	})
}
