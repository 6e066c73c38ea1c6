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
	smallHostCount       = 9 // in smallDataCentreCount data centres
	smallDataCentreCount = 3
	// restartInterval is the time between two host restarts in the whole target
	// deployment.
	restartInterval = 21 * time.Second
	downTime        = 2 * time.Second  // of a restarted host
	trafficWindow   = 42 * time.Second // two restarts
	waitTimeout     = 2 * time.Minute  // for all hosts to join or to adopt a change
	inForceLimit    = 4 * time.Second
	// When 400 hosts start at once, the membership messages stay full for 150 s, so
	// the wait for the joins to spread grows with the number of hosts.
	minSettleTime     = 30 * time.Second
	settleTimePerHost = 400 * time.Millisecond
	noteInterval      = 5 * time.Second // between two notes
	changeCount       = 3
)

var (
	pointsPath    = flag.String("measure", "", "file for the measured points as JSON lines; if empty, only the smallest sizes are measured")
	hostTotals    = []int{smallHostCount, 50, 100, 200, 300}
	serviceTotals = []int{10, 100, 500} // each with one search
)

// pointRecorder is a Recorder that keeps the points in memory, for runs without a
// file.
type pointRecorder struct{ points []Point }

// Record implements Recorder.
func (r *pointRecorder) Record(p Point) error {
	r.points = append(r.points, p)
	return nil
}

// TestVirtual measures membership and rollout in virtual time. It also guards
// against a change that is not in force on all hosts within 4 s and against a
// number of platform calls per change that grows with the number of hosts.
func TestVirtual(t *testing.T) {
	sizes, manifests := hostTotals[:1], serviceTotals[:1]
	var r Recorder = &pointRecorder{}
	if *pointsPath != "" {
		path, err := filepath.Abs(*pointsPath)
		if err != nil {
			t.Fatal(err)
		}
		file, err := openPointFile(path)
		if err != nil {
			t.Fatal(err)
		}
		defer file.Close()
		r, sizes, manifests = file, hostTotals, serviceTotals
	}
	for _, size := range sizes {
		t.Run(fmt.Sprintf("hosts=%d", size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { measureHosts(t, r, size) })
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

// measureHosts measures membership and rollout by the number of hosts.
func measureHosts(t *testing.T, r Recorder, hosts int) {
	dataCentres := dataCentreCount
	if hosts == smallHostCount {
		dataCentres = smallDataCentreCount
	}
	before := liveMemory()
	sim := newSimulation(t, hosts, dataCentres)
	defer sim.close()
	sim.waitJoined()
	time.Sleep(minSettleTime + time.Duration(hosts)*settleTimePerHost)
	record(t, r, "member: memory of one host's agent", hosts, "member", (liveMemory()-before)/float64(hosts), "B")
	sim.measureMemberTraffic(r)
	sim.waitJoined()
	sim.measureChanges(r, 1, "rollout: ", hosts, "host")
}

// waitJoined waits until every host sees every other one live.
func (sim *simulation) waitJoined() {
	sim.t.Helper()
	for begin := time.Now(); ; time.Sleep(time.Second) {
		joined := true
		for _, h := range sim.hosts {
			view := h.members.View()
			live := 0
			for _, other := range view.Hosts {
				if other.State == member.Live {
					live++
				}
			}
			joined = joined && live == len(sim.hosts)
		}
		if joined {
			return
		}
		if time.Since(begin) > waitTimeout {
			sim.t.Fatal("not all hosts saw all others live within the wait timeout")
		}
	}
}

// measureMemberTraffic measures membership traffic while a host is restarted every
// restartInterval. The interval does not depend on the number of hosts, so that
// members change as often as in the target deployment.
func (sim *simulation) measureMemberTraffic(r Recorder) {
	hosts := len(sim.hosts)
	for _, h := range sim.hosts {
		h.traffic.messages.Store(0)
		h.traffic.bytes.Store(0)
	}
	tableBytesBefore, pollsBefore, cpuBefore := sim.tableBytes.Load(), sim.idleWatchPolls.Load(), processorTime(rusageSelf)
	for i := range int(trafficWindow / restartInterval) {
		h := sim.hosts[(seedHosts+i*7)%hosts]
		h.stop()
		time.Sleep(downTime)
		h.start()
		time.Sleep(restartInterval - downTime)
	}
	used := processorTime(rusageSelf) - cpuBefore
	var messages, bytes, most int64
	for _, h := range sim.hosts {
		messages += h.traffic.messages.Load()
		bytes += h.traffic.bytes.Load()
		most = max(most, h.traffic.bytes.Load())
	}
	perHostSecond := func(total int64) float64 { return float64(total) / float64(hosts) / trafficWindow.Seconds() }
	record(sim.t, r, "member: messages sent and received by a host", hosts, "member", perHostSecond(messages), "1/s")
	record(sim.t, r, "member: bytes sent and received by a host", hosts, "member", perHostSecond(bytes), "B/s")
	record(sim.t, r, "member: of these, table exchange", hosts, "member", perHostSecond(sim.tableBytes.Load()-tableBytesBefore), "B/s")
	record(sim.t, r, "member: bytes of the busiest host (a gateway)", hosts, "member", float64(most)/trafficWindow.Seconds(), "B/s")
	record(sim.t, r, "member: processor time of a host", hosts, "member", perHostSecond(used.Microseconds()), "µs/s")
	record(sim.t, r, "rollout: waiting watches of all hosts", hosts, "host", float64(sim.idleWatchPolls.Load()-pollsBefore)/trafficWindow.Seconds(), "calls/s")
}

// measureChanges applies a note that adds services and then measures notes that
// change one search.
func (sim *simulation) measureChanges(r Recorder, services int, prefix string, size int, per string) {
	n := &release.Note{ID: "n-1", Author: "capacity"}
	for i := range services {
		n.Services.Added = append(n.Services.Added, *newService(i, 1, 2, 1))
		n.Searches.Added = append(n.Searches.Added, *newSearch(i))
	}
	sim.apply(n)
	time.Sleep(noteInterval)
	getsBefore, swapsBefore, watchesBefore, fetchedBefore := sim.storeGets.Load(), sim.storeSwaps.Load(), sim.answeredWatches.Load(), sim.fetchedBytes.Load()
	var slowest time.Duration
	for i := range changeCount {
		s := *newSearch(0)
		s.LeastCoverage = float64(i+1) / 10
		slowest = max(slowest, sim.apply(&release.Note{
			ID: fmt.Sprintf("n-%d", i+2), Base: uint64(i + 1), Author: "capacity", Searches: release.SearchChanges{Changed: []release.Search{s}},
		}))
	}
	if slowest > inForceLimit {
		sim.t.Errorf("a change was in force on all hosts only after %v", slowest)
	}
	calls := float64(sim.storeGets.Load()-getsBefore+sim.storeSwaps.Load()-swapsBefore+sim.answeredWatches.Load()-watchesBefore) / changeCount
	if limit := float64(10 * dataCentreCount); calls > limit {
		sim.t.Errorf("a change took %.0f platform calls, more than %.0f", calls, limit)
	}
	record(sim.t, r, prefix+"platform calls per change", size, per, calls, "calls")
	record(sim.t, r, prefix+"time until a change is in force on all hosts, slowest of 3", size, per, slowest.Seconds()*1000, "ms")
	record(sim.t, r, prefix+"bytes fetched per change by a host", size, per, float64(sim.fetchedBytes.Load()-fetchedBefore)/changeCount/float64(len(sim.hosts)), "B")
}

// apply applies the note and returns the time until it is in force on all hosts.
func (sim *simulation) apply(n *release.Note) time.Duration {
	sim.t.Helper()
	begin := time.Now()
	done, err := sim.hosts[0].rollout.Apply(context.Background(), n)
	if err != nil {
		sim.t.Fatal(err)
	}
	for ; ; time.Sleep(10 * time.Millisecond) {
		all := true
		for _, h := range sim.hosts {
			all = all && h.rollout.Manifest().Version >= done.Version
		}
		if all {
			return time.Since(begin)
		}
		if time.Since(begin) > waitTimeout {
			sim.t.Fatal("a change was not in force on all hosts within the wait timeout")
		}
	}
}

// measureManifest measures rollout by the number of services.
func measureManifest(t *testing.T, r Recorder, services int) {
	sim := newSimulation(t, smallHostCount, smallDataCentreCount)
	defer sim.close()
	sim.waitJoined()
	sim.measureChanges(r, services, "rollout on 9 hosts by services with one search each: ", services, "service")
}
