// Balancesim compares ways to choose a replica, in virtual time and without a network. It
// prints the tables of docs/design/even-load.md.
package main

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

// runs is the number of runs with different seeds that one row adds up.
const runs = 4

// result is what is measured after the warm-up.
type result struct {
	inFlight     []int // count of samples by the requests in flight of a replica
	parts        []time.Duration
	queries      []time.Duration
	sent, extra  int
	otherZone    int
	hints        int
	samples, sum int
}

func (r *result) countInFlight(n int) {
	for len(r.inFlight) <= n {
		r.inFlight = append(r.inFlight, 0)
	}
	r.inFlight[n]++
	r.samples++
	r.sum += n
}

func (r *result) countSent(now time.Duration, extra, otherZone bool) {
	if now < warmUp {
		return
	}
	r.sent++
	if extra {
		r.extra++
	}
	if otherZone {
		r.otherZone++
	}
}

func (r *result) countPart(now, took time.Duration) {
	if now >= warmUp {
		r.parts = append(r.parts, took)
	}
}

func (r *result) countQuery(now, took time.Duration) {
	if now >= warmUp {
		r.queries = append(r.queries, took)
	}
}

// add adds the measurements of another run.
func (r *result) add(other *result) {
	for n, count := range other.inFlight {
		for len(r.inFlight) <= n {
			r.inFlight = append(r.inFlight, 0)
		}
		r.inFlight[n] += count
	}
	r.parts = append(r.parts, other.parts...)
	r.queries = append(r.queries, other.queries...)
	r.sent += other.sent
	r.extra += other.extra
	r.otherZone += other.otherZone
	r.hints += other.hints
	r.samples += other.samples
	r.sum += other.sum
}

// spread returns the p99 of the requests in flight of a replica over their mean.
func (r *result) spread() float64 {
	rank := r.samples * 99 / 100
	for n, count := range r.inFlight {
		if rank -= count; rank < 0 {
			return float64(n) * float64(r.samples) / float64(r.sum)
		}
	}
	return 0
}

// milliseconds returns a quantile in ms.
func milliseconds(sorted []time.Duration, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return float64(sorted[int(q*float64(len(sorted)-1))]) / float64(time.Millisecond)
}

func (r *result) row(name string) string {
	slices.Sort(r.parts)
	slices.Sort(r.queries)
	first := float64(r.sent - r.extra)
	return fmt.Sprintf("| %s | %.1f | %.1f | %.1f | %.0f | %.0f | %.1f%% | %.0f%% | %.1f |", name, r.spread(),
		milliseconds(r.parts, 0.5), milliseconds(r.parts, 0.99), milliseconds(r.queries, 0.5), milliseconds(r.queries, 0.99),
		100*float64(r.extra)/first, 100*float64(r.otherZone)/float64(r.sent), float64(r.hints)/float64(len(r.queries)))
}

func loads() []load {
	return []load{
		{name: "low: 40 queries/s of 2.5 ms", perSecond: 40, work: 2500 * time.Microsecond},
		{name: "usual: 100 queries/s of 8 ms, 12% slow by turns", perSecond: 100, work: 8 * time.Millisecond, turns: 0.12},
		{name: "high: 150 queries/s of 15 ms, 12% slow by turns", perSecond: 150, work: 15 * time.Millisecond, turns: 0.12},
		{name: "one-sided: 280 queries/s of 12 ms, 70% in one data centre", perSecond: 280, work: 12 * time.Millisecond, nearShare: 0.7},
		{
			name: "worst: 150 queries/s of 12 ms, swing 0.55, 14% become 4 times slower", perSecond: 150, work: 12 * time.Millisecond,
			swing: 0.55, slowShare: 0.14, slowFactor: 4,
		},
	}
}

// deployment is a number of hosts and how many of them send to replicas.
type deployment struct{ hosts, senders int }

func main() {
	app := kingpin.New("balancesim", "Compares ways to choose a replica, in virtual time.")
	seed := app.Flag("seed", "Seed of the first run.").Default("1").Uint64()
	length := app.Flag("length", "Virtual time of a run.").Default("12s").Duration()
	workers := app.Flag("workers", "Runs at a time.").Default("2").Int()
	only := app.Flag("senders", "Only the deployment in which so many hosts send; 0: all.").Default("0").Int()
	choice := app.Flag("choice", "Only the choices whose name contains this text.").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	deployments := []deployment{{7, 7}, {27, 6}, {79, 12}, {300, 45}, {300, 300}}
	for _, d := range deployments {
		if *only != 0 && d.senders != *only {
			continue
		}
		for _, l := range loads() {
			fmt.Printf("\n%d hosts, %d send; %s\n\n", d.hosts, d.senders, l.name)
			fmt.Println("| choice | spread | part p50 | part p99 | query p50 | query p99 | extra | other dc | hints/query |")
			fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
			for _, row := range compare(l, d.senders, *seed, *length, *workers, *choice) {
				fmt.Println(row)
			}
		}
	}
}

// compare runs all policies under one load and returns their rows.
func compare(l load, senders int, seed uint64, length time.Duration, workers int, choice string) []string {
	all := slices.DeleteFunc(policies(), func(p policy) bool { return !strings.Contains(p.name, choice) })
	rows := make([]string, len(all))
	slots := make(chan struct{}, workers)
	var done sync.WaitGroup
	for i, p := range all {
		slots <- struct{}{}
		done.Go(func() {
			var sum result
			for run := range uint64(runs) {
				sum.add(newSimulation(l, p, senders, seed+run).play(length))
			}
			rows[i] = sum.row(p.name)
			<-slots
		})
	}
	done.Wait()
	return rows
}
