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
	inForceTimeout  = 4 * time.Second // stated bound for a configuration to be in force on all hosts
	shardCount      = 6
	ledgersPerShard = 10
)

var dataCentres = []string{"badin", "thatta", "tando"}

// deployment is three data centres with two entry hosts each, in this process.
type deployment struct {
	network *network
	hosts   map[string]*Host
	caller  *procs.Caller
	note    *release.Note
}

// loopbackAddrCount counts the loopback addresses that freeAddr has used.
var loopbackAddrCount atomic.Int32

// freeAddr returns a loopback address with a free port. The IP address is not
// 127.0.0.1, where outgoing connections of other tests could take the port
// before a host listens on it.
func freeAddr(t *testing.T) string {
	t.Helper()
	n := loopbackAddrCount.Add(1)
	listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 64+os.Getpid()%128, 100+n/200, n%200+1))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// startDeployment starts the hosts, the platform and the backend servers. The
// replicas of shard i are in data centres i and i+1 modulo 3, so that each data
// centre lacks every third shard.
func startDeployment(t *testing.T) *deployment {
	t.Helper()
	d := &deployment{network: newNetwork(), hosts: map[string]*Host{}, caller: procs.NewCaller(10 * time.Second)}
	t.Cleanup(d.caller.Close)
	platformServer := httptest.NewServer(standin.NewServer())
	t.Cleanup(platformServer.Close)
	d.network.siteByAddr[strings.TrimPrefix(platformServer.URL, "http://")] = platformSite
	d.note = startReplicas(t)
	var seeds []string
	var entries []*settings.Entry
	for _, dataCentre := range dataCentres {
		for i := range 2 {
			entry := settings.Defaults()
			entry.Host = fmt.Sprintf("%s-%d", dataCentre, i+1)
			entry.DataCentre = dataCentre
			httpAddr, peerAddr := freeAddr(t), freeAddr(t)
			entry.HTTP = settings.Listen{Listen: httpAddr, Advertise: httpAddr}
			entry.Peer = settings.Listen{Listen: peerAddr, Advertise: peerAddr}
			entry.Platform.URLs = []string{platformServer.URL}
			entry.DrainWait = jwcc.Duration(10 * time.Millisecond)
			seeds = append(seeds, peerAddr)
			d.network.siteByAddr[peerAddr] = site(dataCentre)
			entries = append(entries, &entry)
		}
	}
	for _, entry := range entries {
		entry.Seeds = seeds
		d.hosts[entry.Host] = startHost(t, d.network, entry)
	}
	return d
}

// startReplicas starts the stand-in backend servers and returns a release note
// that lists them.
func startReplicas(t *testing.T) *release.Note {
	t.Helper()
	service := release.Service{Name: "mill-dispatch", Slots: 2, MaxConnections: 25}
	var options []backend.Options
	for i := range shardCount {
		shard := release.Shard{ID: uint32(i), Range: wire.LedgerRange{Lo: uint64(i * ledgersPerShard), Hi: uint64((i + 1) * ledgersPerShard)}}
		for replicaIndex := range 2 {
			addr := freeAddr(t)
			shard.Replicas = append(shard.Replicas, release.Replica{
				Addr: wire.ReplicaID(addr), DataCentre: dataCentres[(i+replicaIndex)%len(dataCentres)],
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
		Name: "rota", Service: service.Name, Repeatable: true, WaitRule: release.WaitCoverage,
		LatencyGoal: jwcc.Duration(50 * time.Millisecond), Deadline: jwcc.Duration(time.Second),
		Objective: release.Objective{GoodFraction: 0.99, Latency: jwcc.Duration(time.Second), LeastCoverage: 1},
	}
	return &release.Note{
		ID: "first", Author: "test",
		Services: release.ServiceChanges{Added: []release.Service{service}},
		Searches: release.SearchChanges{Added: []release.Search{search}},
	}
}

func (d *deployment) applyNote(g Gomega, host string, note *release.Note) {
	var reply struct{ Applied bool }
	_, err := d.caller.Post(context.Background(), d.hosts[host].settings.HTTP.Advertise, "/v1/operator/notes", note, &reply)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(reply.Applied).To(BeTrue())
}

func (d *deployment) search(host string) *procs.SearchReply {
	return d.caller.Search(context.Background(), d.hosts[host].settings.HTTP.Advertise, "mill-dispatch", "rota", procs.SearchRequest{})
}

func (d *deployment) configVersion(host string) uint64 {
	if cfg := d.hosts[host].rollout.Current(); cfg != nil {
		return cfg.Version
	}
	return 0
}

// missingShards returns the shards that the coverage of an answer lists as
// missing.
func missingShards(reply *procs.SearchReply) []uint32 {
	var out []uint32
	for _, missing := range reply.Coverage.Missing {
		out = append(out, missing.Shard)
	}
	return out
}

// Guards against faults of a data centre that is cut off from the others and the
// platform: it stops serving, reports more coverage than it has, loses its
// configuration, or does not adopt the newer one after the partition has healed.
func TestDataCentreCutOff(t *testing.T) {
	g := NewWithT(t)
	d := startDeployment(t)
	g.Eventually(func() int { return len(d.hosts["badin-1"].members.View().Hosts) }, "10s", "50ms").Should(Equal(6))
	d.applyNote(g, "badin-1", d.note)
	for host := range d.hosts {
		g.Eventually(func() uint64 { return d.configVersion(host) }, inForceTimeout, "20ms").Should(Equal(uint64(1)), host)
	}
	for host := range d.hosts {
		g.Eventually(func() float64 { return coverageFraction(d.search(host)) }, inForceTimeout, "50ms").Should(Equal(1.0), host)
	}

	d.network.isolate("badin", "thatta", "tando", platformSite)
	// Shard i has replicas in data centres i and i+1 modulo 3, so badin holds
	// shards 0, 2, 3 and 5.
	for range 5 {
		isolated := d.search("badin-1")
		g.Expect(isolated.Answered()).To(BeTrue(), "%+v", isolated)
		g.Expect(missingShards(isolated)).To(ConsistOf(uint32(1), uint32(4)))
		g.Expect(isolated.Coverage.Fraction).To(BeNumerically("~", 4.0/6, 1e-9))
		g.Expect(isolated.Rows).To(HaveLen(4 * ledgersPerShard))
		connected := d.search("thatta-1")
		g.Expect(connected.Answered()).To(BeTrue(), "%+v", connected)
		g.Expect(connected.Coverage.Fraction).To(Equal(1.0), "every shard has a replica outside badin: %+v", connected.Coverage.Missing)
	}

	search := d.note.Searches.Added[0]
	search.LatencyGoal = jwcc.Duration(60 * time.Millisecond)
	d.applyNote(g, "thatta-1", &release.Note{
		ID: "second", Base: 1, Author: "test", Searches: release.SearchChanges{Changed: []release.Search{search}},
	})
	for _, host := range []string{"thatta-1", "thatta-2", "tando-1", "tando-2"} {
		g.Eventually(func() uint64 { return d.configVersion(host) }, inForceTimeout, "20ms").Should(Equal(uint64(2)), host)
	}
	g.Expect(d.configVersion("badin-2")).To(Equal(uint64(1)))
	g.Expect(d.search("badin-2").ConfigVersion).To(Equal(uint64(1)))

	d.network.heal()
	for host := range d.hosts {
		g.Eventually(func() uint64 { return d.configVersion(host) }, inForceTimeout, "20ms").Should(Equal(uint64(2)), host)
	}
	for host := range d.hosts {
		g.Eventually(func() float64 { return coverageFraction(d.search(host)) }, "10s", "50ms").Should(Equal(1.0), host)
	}
}

// coverageFraction returns the coverage of an answer, 0 for a failed search.
func coverageFraction(reply *procs.SearchReply) float64 {
	if !reply.Answered() {
		return 0
	}
	return reply.Coverage.Fraction
}
