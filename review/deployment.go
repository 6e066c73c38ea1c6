package review

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// SearchHost is the host name of all routes.
const SearchHost = "pupu76.example"

// readyTime is how long the hosts may take to be ready after their start.
const readyTime = 10 * time.Second

// Shards is the number of shards of the merged search.
const Shards = 20

// Deployment is a small deployment like that of a site of the users' pages: 9 hosts in 3
// zones, 20 shards with 2 replicas each, and two services of one shard.
type Deployment struct {
	Record   *Record
	Store    *Store
	Hosts    []*Host
	Replicas []*Replica
	dir      string
}

// Zones are the zones of the deployment, with 3 hosts each.
var Zones = []string{"depot-linz", "depot-wels", "depot-steyr"}

// CouldNotRun is the exit status of a script that could not run.
const CouldNotRun = 2

// Main runs a script with the record and the deployment, ends all processes, and exits with
// the status that the script returns.
func Main(script func(d *Deployment) int) {
	if len(os.Args) != 2 {
		fmt.Println("usage: PROGRAM FOLDER")
		os.Exit(CouldNotRun)
	}
	d, err := newDeployment(os.Args[1])
	if err != nil {
		fmt.Println("could not run:", err)
		os.Exit(CouldNotRun)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() { <-signals; d.close(); os.Exit(CouldNotRun) }()
	code := script(d)
	d.close()
	os.Exit(code)
}

// Trouble reports whether the script plays its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// ip returns a loopback address of this run. The network depends on the process id, so that
// two runs do not share addresses.
func ip(n int) string { return fmt.Sprintf("127.%d.%d.%d", 32+os.Getpid()%90, os.Getpid()/90%250, n) }

func newDeployment(folder string) (*Deployment, error) {
	record, err := NewRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	d := &Deployment{Record: record}
	if d.dir, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	if d.Store, err = NewStore(ip(1) + ":0"); err != nil {
		return nil, err
	}
	return d, nil
}

// close ends all processes.
func (d *Deployment) close() {
	for _, h := range d.Hosts {
		h.Kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("logs in", d.dir)
	}
}

// AddService starts and registers the replicas of a service, one in each of the zones.
func (d *Deployment) AddService(name string, slots int, work time.Duration, zones ...string) ([]*Replica, error) {
	var added []*Replica
	for i, zone := range zones {
		r := &Replica{
			ID: fmt.Sprintf("i-%s-%d", name, i), Service: name, Zone: zone, Slots: slots, WorkTime: work, RestartAfter: 2 * time.Second,
			Record: d.Record,
		}
		if err := r.Start(ip(2)); err != nil {
			return nil, err
		}
		r.OnRestart = func() { d.Store.Put(r.Key(), r.Entry("ready")) }
		d.Store.Put(r.Key(), r.Entry("ready"))
		added = append(added, r)
	}
	d.Replicas = append(d.Replicas, added...)
	return added, nil
}

// AddShards starts the shards m00, m01, ... with one replica in each of two zones.
func (d *Deployment) AddShards() error {
	for i := range Shards {
		if _, err := d.AddService(shardName(i), 2, 20*time.Millisecond, Zones[0], Zones[1]); err != nil {
			return err
		}
	}
	return nil
}

func shardName(i int) string { return fmt.Sprintf("m%02d", i) }

// Route is one route of the configuration to a single service.
type Route struct {
	Name, Prefix, Type, Service string
	MaxAttempts                 int
	TimeoutMS                   int
}

// Configure writes a version of the configuration: the merged search /all/ and the routes.
func (d *Deployment) Configure(version int, routes ...Route) {
	var shards []string
	var services []map[string]any
	for i := range Shards {
		shards = append(shards, shardName(i))
		services = append(services, map[string]any{"name": shardName(i), "max_connections": 26, "health_check_path": "/health"})
	}
	list := []map[string]any{{
		"name": "r-all", "host": SearchHost, "prefix": "/all/", "type": "safe", "timeout_ms": 1200, "target_latency_ms": 250, "priority": 1,
		"gather": shards, "max_attempts": 2, "top_k": 20, "min_coverage": 0.89,
	}}
	known := map[string]bool{}
	for _, r := range routes {
		list = append(list, map[string]any{
			"name": r.Name, "host": SearchHost, "prefix": r.Prefix, "type": r.Type, "timeout_ms": r.TimeoutMS, "target_latency_ms": 800,
			"priority": 2, "service": r.Service, "max_attempts": r.MaxAttempts,
		})
		if !known[r.Service] {
			known[r.Service] = true
			services = append(services, map[string]any{"name": r.Service, "max_connections": 41, "health_check_path": "/health"})
		}
	}
	d.Store.Put("op/config", map[string]any{
		"version": version, "routes": list, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// StartHosts starts 3 hosts in each zone and waits until all are ready.
func (d *Deployment) StartHosts() error {
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, strconv.Quote(ip(11+i*3)+":"+controlPort))
	}
	for i := range 9 {
		zone := Zones[i/3]
		gate, err := NewGate(ip(1), d.Store.Addr())
		if err != nil {
			return err
		}
		h, err := NewHost(d.dir, fmt.Sprintf("front-%s-%d", zone, i%3+1), zone, ip(11+i), gate.Addr(), strings.Join(seeds, ","))
		if err != nil {
			return err
		}
		h.StoreGate = gate
		d.Hosts = append(d.Hosts, h)
	}
	for _, h := range d.Hosts {
		if err := h.Start(); err != nil {
			return err
		}
	}
	return d.AwaitReady(readyTime)
}

// NotReadyError reports a host that is not ready in time.
type NotReadyError struct{ Host string }

// Error implements error.
func (e *NotReadyError) Error() string { return e.Host + " is not ready" }

// AwaitReady waits until all hosts are ready.
func (d *Deployment) AwaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, h := range d.Hosts {
		for !h.Ready() {
			if time.Now().After(end) {
				return &NotReadyError{Host: h.Name}
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// Leader returns the host that leads a zone: the one with its first seat, nil if there is
// none. That of the first zone reads the store for the others.
func (d *Deployment) Leader(zone string) *Host {
	key := "hosts/" + zone + "/1"
	seat := d.Store.Values(key)[key]
	for _, h := range d.Hosts {
		if strings.Contains(seat, strconv.Quote(h.Name)) {
			return h
		}
	}
	return nil
}

// restartTime is how long the processes of killed hosts are away.
const restartTime = 500 * time.Millisecond

// KillAll kills the processes of all hosts at the same moment, starts them again and waits
// until they are ready.
func (d *Deployment) KillAll() error {
	var group sync.WaitGroup
	d.Record.Line("the processes of all hosts are killed")
	for _, h := range d.Hosts {
		group.Go(h.Kill)
	}
	group.Wait()
	time.Sleep(restartTime)
	for _, h := range d.Hosts {
		if err := h.Start(); err != nil {
			return err
		}
	}
	d.Record.Line("the processes of all hosts are started again")
	return d.AwaitReady(readyTime)
}

// RecordRuns writes what replicas began to run.
func (d *Deployment) RecordRuns(replicas []*Replica) {
	for _, r := range replicas {
		for _, run := range r.Runs() {
			d.Record.Line("%s began to run on %s at %.3f", run.Attempt, r.ID, d.Record.Seconds(run.At))
		}
	}
}

// Failed prints why a script could not run, and returns its exit status.
func Failed(err error) int {
	fmt.Println("could not run:", err)
	return CouldNotRun
}
