package entry

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/arbutusgauge/arbutusgauge/internal/jwcc"
	"github.com/arbutusgauge/arbutusgauge/internal/procs"
	"github.com/arbutusgauge/arbutusgauge/internal/release"
	"github.com/arbutusgauge/arbutusgauge/internal/settings"
	"github.com/arbutusgauge/arbutusgauge/internal/standin/backend"
	standin "github.com/arbutusgauge/arbutusgauge/internal/standin/platform"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

const (
	forceLimit = 4 * time.Second // stated bound for a configuration to be in force
	shards     = 6
	ledgersPer = 10
)

var dataCentres = []string{"badin", "thatta", "tando"}

// region is three data centres with two entry hosts each, in this process.
type region struct {
	network *network
	hosts   map[string]*Host
	caller  *procs.Caller
	note    *release.Note
}

// addresses numbers the loopback addresses of the hosts of these tests.
var addresses atomic.Int32

// freeAddr returns an address that is free until a host listens on it. It is not
// on 127.0.0.1, where the outgoing connections of other tests take ports.
func freeAddr(t *testing.T) string {
	t.Helper()
	n := addresses.Add(1)
	listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 64+os.Getpid()%128, 100+n/200, n%200+1))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// startRegion places the replicas of shard i in data centres i and i+1, so that
// each data centre lacks every third shard.
func startRegion(t *testing.T) *region {
	t.Helper()
	r := &region{network: newNetwork(), hosts: map[string]*Host{}, caller: procs.NewCaller(10 * time.Second)}
	t.Cleanup(r.caller.Close)
	store := httptest.NewServer(standin.NewServer())
	t.Cleanup(store.Close)
	r.network.placeOf[strings.TrimPrefix(store.URL, "http://")] = platformPlace
	r.note = startReplicas(t)
	var seeds []string
	var entries []*settings.Entry
	for _, dataCentre := range dataCentres {
		for i := range 2 {
			entry := settings.Defaults()
			entry.Host = fmt.Sprintf("%s-%d", dataCentre, i+1)
			entry.DataCentre = dataCentre
			http, peer := freeAddr(t), freeAddr(t)
			entry.HTTP = settings.Listen{Listen: http, Advertise: http}
			entry.Peer = settings.Listen{Listen: peer, Advertise: peer}
			entry.Platform.URLs = []string{store.URL}
			entry.DrainWait = jwcc.Duration(10 * time.Millisecond)
			seeds = append(seeds, peer)
			r.network.placeOf[peer] = place(dataCentre)
			entries = append(entries, &entry)
		}
	}
	for _, entry := range entries {
		entry.Seeds = seeds
		r.hosts[entry.Host] = startHost(t, r.network, entry)
	}
	return r
}

func startReplicas(t *testing.T) *release.Note {
	t.Helper()
	service := release.Service{Name: "mill-dispatch", Slots: 2, Connections: 25}
	var options []backend.Options
	for i := range shards {
		shard := release.Shard{ID: uint32(i), Range: wire.KeyRange{Lo: uint64(i * ledgersPer), Hi: uint64((i + 1) * ledgersPer)}}
		for copyNo := range 2 {
			addr := freeAddr(t)
			shard.Replicas = append(shard.Replicas, release.Replica{
				Addr: wire.ReplicaID(addr), DataCentre: dataCentres[(i+copyNo)%len(dataCentres)],
			})
			options = append(options, backend.Options{
				Listen: addr, Service: service.Name, Shard: shard.ID, Range: shard.Range, Seed: uint64(i),
			})
		}
		service.Shards = append(service.Shards, shard)
	}
	fleet, err := backend.StartFleet(options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	search := release.Search{
		Name: "rota", Service: service.Name, Repeatable: true, Wait: release.WaitCoverage,
		LatencyGoal: jwcc.Duration(50 * time.Millisecond), Deadline: jwcc.Duration(time.Second),
		Objective: release.Objective{Good: 0.99, Latency: jwcc.Duration(time.Second), Coverage: 1},
	}
	return &release.Note{
		ID: "first", Author: "test",
		Services: release.ServiceChanges{Added: []release.Service{service}},
		Searches: release.SearchChanges{Added: []release.Search{search}},
	}
}

func (r *region) apply(g Gomega, host string, note *release.Note) {
	var reply struct{ Applied bool }
	_, err := r.caller.Post(context.Background(), r.hosts[host].settings.HTTP.Advertise, "/v1/operator/notes", note, &reply)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(reply.Applied).To(BeTrue())
}

func (r *region) search(host string) *procs.SearchReply {
	return r.caller.Search(context.Background(), r.hosts[host].settings.HTTP.Advertise, "mill-dispatch", "rota", procs.SearchRequest{})
}

func (r *region) version(host string) uint64 {
	if cfg := r.hosts[host].rollout.Current(); cfg != nil {
		return cfg.Version
	}
	return 0
}

// missingShards names the shards that an answer says it lacks.
func missingShards(reply *procs.SearchReply) []uint32 {
	var out []uint32
	for _, missing := range reply.Coverage.Missing {
		out = append(out, missing.Shard)
	}
	return out
}

// Guards against a data centre that stops serving, claims too much, or keeps or
// loses a configuration when it is cut off from the others and the platform.
func TestDataCentreCutOff(t *testing.T) {
	g := NewWithT(t)
	r := startRegion(t)
	g.Eventually(func() int { return len(r.hosts["badin-1"].members.View().Hosts) }, "10s", "50ms").Should(Equal(6))
	r.apply(g, "badin-1", r.note)
	for host := range r.hosts {
		g.Eventually(func() uint64 { return r.version(host) }, forceLimit, "20ms").Should(Equal(uint64(1)), host)
	}
	for host := range r.hosts {
		g.Eventually(func() float64 { return fraction(r.search(host)) }, forceLimit, "50ms").Should(Equal(1.0), host)
	}

	r.network.isolate("badin", "thatta", "tando", platformPlace)
	// Shard i has replicas in data centres i and i+1 modulo 3, so badin holds
	// shards 0, 2, 3 and 5.
	for range 5 {
		alone := r.search("badin-1")
		g.Expect(alone.Answered()).To(BeTrue(), "%+v", alone)
		g.Expect(missingShards(alone)).To(ConsistOf(uint32(1), uint32(4)))
		g.Expect(alone.Coverage.Fraction).To(BeNumerically("~", 4.0/6, 1e-9))
		g.Expect(alone.Rows).To(HaveLen(4 * ledgersPer))
		rest := r.search("thatta-1")
		g.Expect(rest.Answered()).To(BeTrue(), "%+v", rest)
		g.Expect(rest.Coverage.Fraction).To(Equal(1.0), "every shard has a replica outside badin: %+v", rest.Coverage.Missing)
	}

	search := r.note.Searches.Added[0]
	search.LatencyGoal = jwcc.Duration(60 * time.Millisecond)
	r.apply(g, "thatta-1", &release.Note{
		ID: "second", Base: 1, Author: "test", Searches: release.SearchChanges{Changed: []release.Search{search}},
	})
	for _, host := range []string{"thatta-1", "thatta-2", "tando-1", "tando-2"} {
		g.Eventually(func() uint64 { return r.version(host) }, forceLimit, "20ms").Should(Equal(uint64(2)), host)
	}
	g.Expect(r.version("badin-2")).To(Equal(uint64(1)))
	g.Expect(r.search("badin-2").ConfigVersion).To(Equal(uint64(1)))

	r.network.heal()
	for host := range r.hosts {
		g.Eventually(func() uint64 { return r.version(host) }, forceLimit, "20ms").Should(Equal(uint64(2)), host)
	}
	for host := range r.hosts {
		g.Eventually(func() float64 { return fraction(r.search(host)) }, "10s", "50ms").Should(Equal(1.0), host)
	}
}

func fraction(reply *procs.SearchReply) float64 {
	if !reply.Answered() {
		return 0
	}
	return reply.Coverage.Fraction
}
