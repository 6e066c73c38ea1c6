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
	hostsPer      = 3
	startLimit    = 30 * time.Second
	callLimit     = 10 * time.Second
	rateTime      = 5 * time.Second
	settleTime    = time.Second
	searchedName  = "mill-dispatch"
	searchedShard = 20 // shards of searchedName
	directCalls   = 400
	directPause   = 5 * time.Millisecond
)

// queryRates are in queries/s at one entry host.
var queryRates = []float64{10, 30, 60}

// load is what the searches of one rate showed.
type load struct {
	mu       sync.Mutex
	tier     []time.Duration // from request to answer, as the caller sees it
	failures int
}

func measureProcesses(r Recorder, o *Options) error {
	dir, err := os.MkdirTemp("", "capacity")
	if err != nil {
		return errors.WithStack(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	fleet, err := procs.Start(procs.Options{
		Programs: o.Programs, Note: o.Note, Settings: o.Settings, DataCentres: []string{"badin", "thatta", "tando"},
		HostsPer: hostsPer, Dir: dir, PortOffset: o.PortOffset, Delay: 5 * time.Millisecond,
	})
	if err != nil {
		return err
	}
	defer fleet.Kill()
	caller := procs.NewCaller(callLimit)
	defer caller.Close()
	entry := fleet.HTTPAddr(fleet.HostNames()[0])
	if err := prepare(fleet, caller, entry); err != nil {
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

func prepare(fleet *procs.Deployment, caller *procs.Caller, entry string) error {
	if err := fleet.WaitLive(startLimit); err != nil {
		return err
	}
	status, err := caller.Post(context.Background(), entry, "/v1/operator/notes", fleet.Note, nil)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return &FailedError{Measure: "processes", Detail: "the release note got status " + strconv.Itoa(status)}
	}
	if err := fleet.WaitReady(startLimit); err != nil {
		return err
	}
	time.Sleep(settleTime)
	return nil
}

// usage sums the statistics of all entry hosts up.
func usage(fleet *procs.Deployment) (cpu time.Duration, resident float64, err error) {
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

func measureIdle(r Recorder, fleet *procs.Deployment) error {
	before, _, err := usage(fleet)
	if err != nil {
		return err
	}
	time.Sleep(rateTime)
	after, resident, err := usage(fleet)
	if err != nil {
		return err
	}
	return recordUsage(r, fleet, 0, rateTime, after-before, resident)
}

func recordUsage(r Recorder, fleet *procs.Deployment, rate float64, took, cpu time.Duration, resident float64) error {
	hosts := float64(len(fleet.HostNames()))
	if err := r.Record(Point{
		Measure: "processes: processor time of all 9 entryd", Size: rate * searchedShard, Per: "sub-request",
		Value: float64(cpu.Microseconds()) / took.Seconds(), Unit: "µs/s",
	}); err != nil {
		return err
	}
	return r.Record(Point{
		Measure: "processes: resident memory of one entryd", Size: rate * searchedShard, Per: "sub-request/s",
		Value: resident / hosts, Unit: "B",
	})
}

func measureRate(r Recorder, fleet *procs.Deployment, caller *procs.Caller, rate float64) error {
	entry := fleet.HTTPAddr(fleet.HostNames()[0])
	l := &load{}
	before, _, err := usage(fleet)
	if err != nil {
		return err
	}
	begin := time.Now()
	l.send(caller, entry, rate)
	took := time.Since(begin)
	after, resident, err := usage(fleet)
	if err != nil {
		return err
	}
	if len(l.tier) == 0 {
		return &FailedError{Measure: "processes", Detail: "no search was answered"}
	}
	reached := float64(len(l.tier)) / took.Seconds()
	if err := recordUsage(r, fleet, reached, took, after-before, resident); err != nil {
		return err
	}
	if err := recordLatency(r, "processes: search of 20 shards through the tier", reached, "query/s", l.tier); err != nil {
		return err
	}
	return r.Record(Point{
		Measure: "processes: searches that got no answer", Size: reached, Per: "query/s", Value: float64(l.failures), Unit: "searches",
	})
}

// send starts searches at fixed times, whether or not the ones before ended.
func (l *load) send(caller *procs.Caller, entry string, rate float64) {
	var work sync.WaitGroup
	ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer ticker.Stop()
	for range int(rate * rateTime.Seconds()) {
		<-ticker.C
		work.Go(func() {
			reply := caller.Search(context.Background(), entry, searchedName, "rota", procs.SearchRequest{})
			l.mu.Lock()
			defer l.mu.Unlock()
			if !reply.Answered() {
				l.failures++
				return
			}
			l.tier = append(l.tier, reply.Took)
		})
	}
	work.Wait()
}

func recordLatency(r Recorder, measure string, size float64, per string, took []time.Duration) error {
	for _, quantile := range []struct {
		name string
		q    float64
	}{{"p50", 0.5}, {"p99", 0.99}} {
		if err := r.Record(Point{
			Measure: measure + ", " + quantile.name, Size: size, Per: per,
			Value: float64(Quantile(took, quantile.q).Microseconds()), Unit: "µs",
		}); err != nil {
			return err
		}
	}
	return nil
}

// Quantile returns the least value that a share q of the values doesn't
// exceed; 0 when there is none.
func Quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	index := int(math.Ceil(q*float64(len(sorted)))) - 1
	return sorted[min(max(index, 0), len(sorted)-1)]
}

// measureDirect sends what one search sends, without the tier: one
// sub-request to the first replica of each shard at a time, and the search
// ends with the slowest.
func measureDirect(r Recorder, note *release.Note) error {
	index := slices.IndexFunc(note.Services.Added, func(s release.Service) bool { return s.Name == searchedName })
	if index < 0 {
		return &FailedError{Measure: "processes", Detail: "the release note has no service " + searchedName}
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
	var single, whole []time.Duration
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
				single = append(single, took)
				slowest = max(slowest, took)
			})
		}
		work.Wait()
		if failed != nil {
			return failed
		}
		whole = append(whole, slowest)
		time.Sleep(directPause)
	}
	if err := recordLatency(r, "processes: sub-request to a backend server, direct", 1, "sub-request", single); err != nil {
		return err
	}
	return recordLatency(r, "processes: slowest of 20 direct sub-requests", searchedShard, "sub-request", whole)
}

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

func runDirect(conn backend.Conn, shard *release.Shard, seq uint64) (time.Duration, error) {
	begin := time.Now()
	replies, err := conn.Run(context.Background(), []wire.Sub{{
		ID: wire.SubID{Host: 1, Seq: seq}, Query: seq, Service: searchedName, Search: "rota", Shard: shard.ID,
		Replica: shard.Replicas[0].Addr, Range: shard.Range, TimeLeft: callLimit, Repeatable: true,
	}})
	took := time.Since(begin)
	if err == nil && (len(replies) != 1 || replies[0].Outcome != wire.Answered) {
		return 0, &FailedError{Measure: "processes", Detail: "a direct sub-request was not answered"}
	}
	return took, err
}
