package main

import (
	"context"
	"flag"
	"fmt"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/member"
	"github.com/arbutusgauge/arbutusgauge/internal/release"
)

const (
	smallWorld   = 9 // hosts, in 3 data centres
	smallCentres = 3
	// churnPeriod is the time between two restarts of a host at the target.
	churnPeriod = 21 * time.Second
	restartTime = 2 * time.Second
	window      = 42 * time.Second // two restarts
	joinLimit   = 2 * time.Minute
	forceLimit  = 4 * time.Second
	// A start of 400 hosts at once keeps the messages full for 150 s, so the wait
	// for the joins to spread grows with the hosts.
	settleWindow  = 30 * time.Second
	settlePerHost = 400 * time.Millisecond
	noteWindow    = 5 * time.Second // between two notes
	changes       = 3
)

var (
	linesFlag    = flag.String("measure", "", "file for the JSON lines; empty measures the smallest world only")
	worldSizes   = []int{smallWorld, 50, 100, 200, 300}
	manifestSize = []int{10, 100, 500} // services
)

// keep is a Recorder for runs without a file.
type keep struct{ points []Point }

// Record implements Recorder.
func (k *keep) Record(p Point) error {
	k.points = append(k.points, p)
	return nil
}

// TestVirtual measures membership and rollout in virtual time. It also guards
// against a change that isn't in force everywhere within 4 s and against
// platform calls that grow with the number of hosts.
func TestVirtual(t *testing.T) {
	sizes, manifests := worldSizes[:1], manifestSize[:1]
	var r Recorder = &keep{}
	if *linesFlag != "" {
		path, err := filepath.Abs(*linesFlag)
		if err != nil {
			t.Fatal(err)
		}
		file, err := openLines(path)
		if err != nil {
			t.Fatal(err)
		}
		defer file.Close()
		r, sizes, manifests = file, worldSizes, manifestSize
	}
	for _, size := range sizes {
		t.Run(fmt.Sprintf("hosts=%d", size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { measureWorld(t, r, size) })
		})
	}
	for _, services := range manifests {
		t.Run(fmt.Sprintf("services=%d", services), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { measureManifest(t, r, services) })
		})
	}
}

func record(t testing.TB, r Recorder, measure string, size int, per string, value float64, unit string) {
	t.Helper()
	if err := r.Record(Point{Measure: measure, Size: float64(size), Per: per, Value: value, Unit: unit}); err != nil {
		t.Fatal(err)
	}
}

func measureWorld(t *testing.T, r Recorder, hosts int) {
	centres := dataCentres
	if hosts == smallWorld {
		centres = smallCentres
	}
	before := memory()
	w := newWorld(t, hosts, centres)
	defer w.close()
	w.waitJoined()
	time.Sleep(settleWindow + time.Duration(hosts)*settlePerHost)
	record(t, r, "member: memory of one host's agent", hosts, "member", (memory()-before)/float64(hosts), "B")
	w.measureTraffic(r)
	w.waitJoined()
	w.measureChanges(r, 1, "rollout: ", hosts, "host")
}

// waitJoined waits until every host sees every other one live.
func (w *world) waitJoined() {
	w.t.Helper()
	for begin := time.Now(); ; time.Sleep(time.Second) {
		joined := true
		for _, n := range w.nodes {
			view := n.members.View()
			live := 0
			for _, h := range view.Hosts {
				if h.State == member.Live {
					live++
				}
			}
			joined = joined && live == len(w.nodes)
		}
		if joined {
			return
		}
		if time.Since(begin) > joinLimit {
			w.t.Fatal("the hosts did not all see each other")
		}
	}
}

// measureTraffic restarts a host every churnPeriod, whatever the number of
// hosts, so that the rate of events is the target's.
func (w *world) measureTraffic(r Recorder) {
	hosts := len(w.nodes)
	for _, n := range w.nodes {
		n.traffic.messages.Store(0)
		n.traffic.bytes.Store(0)
	}
	tables, polls, cpu := w.tables.Load(), w.polls.Load(), processorTime(thisProcess)
	for i := range int(window / churnPeriod) {
		n := w.nodes[(seedHosts+i*7)%hosts]
		n.stop()
		time.Sleep(restartTime)
		n.start()
		time.Sleep(churnPeriod - restartTime)
	}
	used := processorTime(thisProcess) - cpu
	var messages, bytes, most int64
	for _, n := range w.nodes {
		messages += n.traffic.messages.Load()
		bytes += n.traffic.bytes.Load()
		most = max(most, n.traffic.bytes.Load())
	}
	each := func(total int64) float64 { return float64(total) / float64(hosts) / window.Seconds() }
	record(w.t, r, "member: messages sent and received by a host", hosts, "member", each(messages), "1/s")
	record(w.t, r, "member: bytes sent and received by a host", hosts, "member", each(bytes), "B/s")
	record(w.t, r, "member: of these, table exchange", hosts, "member", each(w.tables.Load()-tables), "B/s")
	record(w.t, r, "member: bytes of the busiest host (a gateway)", hosts, "member", float64(most)/window.Seconds(), "B/s")
	record(w.t, r, "member: processor time of a host", hosts, "member", each(used.Microseconds()), "µs/s")
	record(w.t, r, "rollout: waiting watches of all hosts", hosts, "host", float64(w.polls.Load()-polls)/window.Seconds(), "calls/s")
}

// measureChanges applies a first note and then changes one search of it.
func (w *world) measureChanges(r Recorder, services int, prefix string, size int, per string) {
	n := &release.Note{ID: "n-1", Author: "capacity"}
	for i := range services {
		n.Services.Added = append(n.Services.Added, *service(i, 1, 2, 1))
		n.Searches.Added = append(n.Searches.Added, *search(i))
	}
	w.apply(n)
	time.Sleep(noteWindow)
	gets, swaps, watches, moved := w.gets.Load(), w.swaps.Load(), w.watches.Load(), w.moved.Load()
	var slowest time.Duration
	for i := range changes {
		s := *search(0)
		s.LeastCoverage = float64(i+1) / 10
		slowest = max(slowest, w.apply(&release.Note{
			ID: fmt.Sprintf("n-%d", i+2), Base: uint64(i + 1), Author: "capacity", Searches: release.SearchChanges{Changed: []release.Search{s}},
		}))
	}
	if slowest > forceLimit {
		w.t.Errorf("a change was in force everywhere after %v", slowest)
	}
	calls := float64(w.gets.Load()-gets+w.swaps.Load()-swaps+w.watches.Load()-watches) / changes
	if most := float64(10 * dataCentres); calls > most {
		w.t.Errorf("a change took %.0f platform calls, more than %.0f", calls, most)
	}
	record(w.t, r, prefix+"platform calls per change", size, per, calls, "calls")
	record(w.t, r, prefix+"time until a change is in force on all hosts, slowest of 3", size, per, slowest.Seconds()*1000, "ms")
	record(w.t, r, prefix+"bytes fetched per change by a host", size, per, float64(w.moved.Load()-moved)/changes/float64(len(w.nodes)), "B")
}

// apply returns the time until the note is in force on all hosts.
func (w *world) apply(n *release.Note) time.Duration {
	w.t.Helper()
	begin := time.Now()
	done, err := w.nodes[0].rollout.Apply(context.Background(), n)
	if err != nil {
		w.t.Fatal(err)
	}
	for ; ; time.Sleep(10 * time.Millisecond) {
		all := true
		for _, n := range w.nodes {
			all = all && n.rollout.Manifest().Version >= done.Version
		}
		if all {
			return time.Since(begin)
		}
		if time.Since(begin) > joinLimit {
			w.t.Fatal("a change was not in force everywhere")
		}
	}
}

func measureManifest(t *testing.T, r Recorder, services int) {
	w := newWorld(t, smallWorld, smallCentres)
	defer w.close()
	w.waitJoined()
	w.measureChanges(r, services, "rollout on 9 hosts by services with one search each: ", services, "service")
}
