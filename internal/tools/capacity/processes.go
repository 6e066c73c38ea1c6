package main

import (
	"context"
	"math"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/backend"
	"github.com/arbutusgauge/arbutusgauge/internal/backend/httpjson"
	"github.com/arbutusgauge/arbutusgauge/internal/procs"
	"github.com/arbutusgauge/arbutusgauge/internal/release"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

const (
	hostsPerDataCentre = 3
	startTimeout       = 30 * time.Second // for each of live and ready
	callTimeout        = 10 * time.Second // of a caller, and of a direct sub-request
	rateWindow         = 5 * time.Second  // measured time of each rate
	settleTime         = time.Second      // between readiness and the first measurement
	searchedService    = "mill-dispatch"
	searchedShards     = 20                   // shards of searchedService
	directCalls        = 400                  // each with one sub-request to every shard
	directPause        = 5 * time.Millisecond // between two calls
)

// queryRates are in queries/s, all sent to one entry host.
var queryRates = []float64{10, 30, 60}

// rateResult holds the results of the searches that were sent at one rate.
type rateResult struct {
	mu         sync.Mutex
	latencies  []time.Duration // from request to answer, as the caller sees it
	unanswered int             // searches without an answer
}

// measureProcesses starts a deployment of real processes and measures it without
// load and at each query rate. It also sends the same sub-requests directly to the
// backend servers for comparison.
func measureProcesses(r Recorder, o *Options) error {
	dir, err := os.MkdirTemp("", "capacity")
	if err != nil {
		return errors.WithStack(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	fleet, err := procs.Start(procs.Options{
		ProgramDir: o.ProgramDir, NoteTemplateFile: o.NoteFile, SettingsTemplateFile: o.SettingsFile, DataCentres: []string{"badin", "thatta", "tando"},
		HostsPerDataCentre: hostsPerDataCentre, WorkDir: dir, PortOffset: o.PortOffset, Delay: 5 * time.Millisecond,
	})
	if err != nil {
		return err
	}
	defer fleet.Kill()
	caller := procs.NewCaller(callTimeout)
	defer caller.Close()
	entryAddr := fleet.HTTPAddr(fleet.HostNames()[0])
	if err := applyNote(fleet, caller, entryAddr); err != nil {
		return err
	}
	if err := measureIdle(r, fleet); err != nil {
		return err
	}
	for _, rate := range queryRates {
		if err := measureRate(r, fleet, caller, rate); err != nil {
			return err
		}
	}
	return measureDirect(r, fleet.Note)
}

// applyNote waits until all hosts are live, applies the release note through the
// host at entryAddr and waits until all hosts are ready.
func applyNote(fleet *procs.Deployment, caller *procs.Caller, entryAddr string) error {
	if err := fleet.WaitLive(startTimeout); err != nil {
		return err
	}
	status, err := caller.Post(context.Background(), entryAddr, "/v1/operator/notes", fleet.Note, nil)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return &MeasurementError{Measure: "processes", Detail: "the release note got status " + strconv.Itoa(status)}
	}
	if err := fleet.WaitReady(startTimeout); err != nil {
		return err
	}
	time.Sleep(settleTime)
	return nil
}

// sumUsage returns the processor time and the resident bytes of all entry hosts
// together.
func sumUsage(fleet *procs.Deployment) (cpu time.Duration, resident float64, err error) {
	for _, name := range fleet.HostNames() {
		stat, err := readStat(filepath.Join("/proc", strconv.Itoa(fleet.Hosts[name].PID()), "stat"))
		if err != nil {
			return 0, 0, err
		}
		cpu += stat.cpu
		resident += stat.resident
	}
	return cpu, resident, nil
}

// measureIdle measures the entry hosts without searches.
func measureIdle(r Recorder, fleet *procs.Deployment) error {
	before, _, err := sumUsage(fleet)
	if err != nil {
		return err
	}
	time.Sleep(rateWindow)
	after, resident, err := sumUsage(fleet)
	if err != nil {
		return err
	}
	return recordUsage(r, fleet, 0, rateWindow, after-before, resident)
}

// recordUsage records the usage of the entry hosts at a rate in queries/s. took is
// the time in which they used cpu.
func recordUsage(r Recorder, fleet *procs.Deployment, rate float64, took, cpu time.Duration, resident float64) error {
	hosts := float64(len(fleet.HostNames()))
	if err := r.Record(Point{
		Measure: "processes: processor time of all 9 entryd", Size: rate * searchedShards, Per: "sub-request",
		Value: float64(cpu.Microseconds()) / took.Seconds(), Unit: "µs/s",
	}); err != nil {
		return err
	}
	return r.Record(Point{
		Measure: "processes: resident memory of one entryd", Size: rate * searchedShards, Per: "sub-request/s",
		Value: resident / hosts, Unit: "B",
	})
}

// measureRate measures the entry hosts and the latency of searches at a rate in
// queries/s.
func measureRate(r Recorder, fleet *procs.Deployment, caller *procs.Caller, rate float64) error {
	entryAddr := fleet.HTTPAddr(fleet.HostNames()[0])
	result := &rateResult{}
	before, _, err := sumUsage(fleet)
	if err != nil {
		return err
	}
	begin := time.Now()
	result.sendSearches(caller, entryAddr, rate)
	took := time.Since(begin)
	after, resident, err := sumUsage(fleet)
	if err != nil {
		return err
	}
	if len(result.latencies) == 0 {
		return &MeasurementError{Measure: "processes", Detail: "no search was answered"}
	}
	reached := float64(len(result.latencies)) / took.Seconds()
	if err := recordUsage(r, fleet, reached, took, after-before, resident); err != nil {
		return err
	}
	if err := recordLatency(r, "processes: search of 20 shards through the tier", reached, "query/s", result.latencies); err != nil {
		return err
	}
	return r.Record(Point{
		Measure: "processes: searches that got no answer", Size: reached, Per: "query/s", Value: float64(result.unanswered), Unit: "searches",
	})
}

// sendSearches starts searches at a fixed rate in queries/s, also while earlier ones
// still run, and waits for all results.
func (result *rateResult) sendSearches(caller *procs.Caller, entryAddr string, rate float64) {
	var work sync.WaitGroup
	ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer ticker.Stop()
	for range int(rate * rateWindow.Seconds()) {
		<-ticker.C
		work.Go(func() {
			reply := caller.Search(context.Background(), entryAddr, searchedService, "rota", procs.SearchRequest{})
			result.mu.Lock()
			defer result.mu.Unlock()
			if !reply.Answered() {
				result.unanswered++
				return
			}
			result.latencies = append(result.latencies, reply.Took)
		})
	}
	work.Wait()
}

// recordLatency records the median and the 99th percentile of the latencies.
func recordLatency(r Recorder, measure string, size float64, per string, latencies []time.Duration) error {
	for _, quantile := range []struct {
		name string
		q    float64
	}{{"p50", 0.5}, {"p99", 0.99}} {
		if err := r.Record(Point{
			Measure: measure + ", " + quantile.name, Size: size, Per: per,
			Value: float64(Quantile(latencies, quantile.q).Microseconds()), Unit: "µs",
		}); err != nil {
			return err
		}
	}
	return nil
}

// Quantile returns the smallest of the values that at least the fraction q of the
// values does not exceed, or 0 when there are no values.
func Quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	index := int(math.Ceil(q*float64(len(sorted)))) - 1
	return sorted[min(max(index, 0), len(sorted)-1)]
}

// measureDirect measures the latency of the sub-requests of a search without the
// tier. Each call sends one sub-request to the first replica of every shard, all at
// the same time, and takes as long as the slowest of them.
func measureDirect(r Recorder, note *release.Note) error {
	index := slices.IndexFunc(note.Services.Added, func(s release.Service) bool { return s.Name == searchedService })
	if index < 0 {
		return &MeasurementError{Measure: "processes", Detail: "the release note has no service " + searchedService}
	}
	shards := note.Services.Added[index].Shards
	conns, err := dialShards(shards)
	defer func() {
		for _, conn := range conns {
			_ = conn.Close()
		}
	}()
	if err != nil {
		return err
	}
	var subLatencies, slowestLatencies []time.Duration
	for call := range directCalls {
		slowest := time.Duration(0)
		var mu sync.Mutex
		var work sync.WaitGroup
		var failed error
		for i := range shards {
			work.Go(func() {
				took, err := runDirect(conns[i], &shards[i], uint64(call*len(shards)+i+1))
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					failed = err
					return
				}
				subLatencies = append(subLatencies, took)
				slowest = max(slowest, took)
			})
		}
		work.Wait()
		if failed != nil {
			return failed
		}
		slowestLatencies = append(slowestLatencies, slowest)
		time.Sleep(directPause)
	}
	if err := recordLatency(r, "processes: sub-request to a backend server, direct", 1, "sub-request", subLatencies); err != nil {
		return err
	}
	return recordLatency(r, "processes: slowest of 20 direct sub-requests", searchedShards, "sub-request", slowestLatencies)
}

// dialShards opens a connection to the first replica of every shard. On an error it
// also returns the connections that are open already; the caller closes them.
func dialShards(shards []release.Shard) ([]backend.Conn, error) {
	dialer, err := httpjson.NewDialer(httpjson.Options{})
	if err != nil {
		return nil, err
	}
	var conns []backend.Conn
	for i := range shards {
		conn, err := dialer.Dial(context.Background(), shards[i].Replicas[0].Addr)
		if err != nil {
			return conns, err
		}
		conns = append(conns, conn)
	}
	return conns, nil
}

// runDirect sends one sub-request to the first replica of a shard and returns the
// time to its reply.
func runDirect(conn backend.Conn, shard *release.Shard, seq uint64) (time.Duration, error) {
	begin := time.Now()
	replies, err := conn.Run(context.Background(), []wire.SubRequest{{
		ID: wire.SubRequestID{Host: 1, Seq: seq}, Query: seq, Service: searchedService, Search: "rota", Shard: shard.ID,
		Replica: shard.Replicas[0].Addr, Range: shard.Range, TimeLeft: callTimeout, Repeatable: true,
	}})
	took := time.Since(begin)
	if err == nil && (len(replies) != 1 || replies[0].Outcome != wire.Answered) {
		return 0, &MeasurementError{Measure: "processes", Detail: "a direct sub-request was not answered"}
	}
	return took, err
}
