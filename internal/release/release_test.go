package release

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/arbutusgauge/arbutusgauge/internal/fixedseed"
	"github.com/arbutusgauge/arbutusgauge/internal/jwcc"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

func TestMain(m *testing.M) {
	fixedseed.Parse()
	os.Exit(m.Run())
}

const goodNote = `{ // first note
  "id": "n-1", "base": 0, "author": "ops",
  "services": {"added": [
    {"name": "mill-dispatch", "slots": 2, "connections": 25, "connect_cost": "6ms", "shards": [
      {"id": 0, "range": {"lo": 0, "hi": 10}, "replicas": [{"addr": "127.0.0.1:20000", "data_centre": "badin"}]},
      {"id": 1, "range": {"lo": 10, "hi": 20}, "replicas": [{"addr": "127.0.0.1:20001", "data_centre": "tando"}]}]},
  ]},
  "searches": {"added": [
    {"name": "gangs", "service": "mill-dispatch", "repeatable": true, "wait": "coverage",
     "latency_goal": "100ms", "deadline": "2s", "least_coverage": 0.9}]},
}`

func mustParse(t testing.TB, body string) *Note {
	t.Helper()
	n, err := ParseNote("n.jwcc", []byte(body))
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// Guards against a wrong version or default, and against a configuration that
// shares memory with its note or with the configuration made from it.
func TestApplySetsVersionAndDefaultsAndSharesNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	n := mustParse(t, goodNote)
	cfg, err := Apply(nil, n)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	before := mustEncode(t, cfg)
	service := cfg.Services["mill-dispatch"]
	g.Expect([]any{cfg.Version, cfg.Note, service.OwnershipBlock, service.ExtraLoad, service.ExtraBurst}).
		To(gomega.Equal([]any{uint64(1), "n-1", uint32(1), 0.03, uint32(200)}))
	search := cfg.Searches["mill-dispatch/gangs"]
	g.Expect(search.Objective).To(gomega.Equal(Objective{GoodFraction: 0.99, Latency: search.LatencyGoal, LeastCoverage: 0.9}))

	n.Services.Added[0].Shards[0].Replicas[0].Addr = "127.0.0.1:1"
	next, err := Apply(cfg, &Note{ID: "n-2", Base: 1})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	next.Services["mill-dispatch"].Shards[1].Replicas[0].DataCentre = "x"
	next.Searches["mill-dispatch/gangs"].Deadline = 0
	g.Expect(mustEncode(t, cfg)).To(gomega.Equal(before))
}

func mustEncode(t testing.TB, v any) string {
	body, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
}

// Guards against an invalid note that is accepted, and against a problem without
// the position or the allowed values. Each entry makes a valid note invalid in
// one way.
func TestCheckReportsEachProblem(t *testing.T) {
	badNotes := []struct {
		name       string
		invalidate func(n *Note)
		want       string
	}{
		{"bad id", func(n *Note) { n.ID = "N 1" }, `n.jwcc:2:9: id: "N 1" is not a name; allowed are`},
		{"slots", func(n *Note) { n.Services.Added[0].Slots = 0 }, "n.jwcc:4:40: services.added[0].slots: found 0; allowed is at least 1"},
		{"one owner", func(n *Note) { n.Services.Added[0].MaxConnections = 2 }, "below the 3 (slots + 1) that one owner needs; allowed is at least 6"},
		{"two owners", func(n *Note) { n.Services.Added[0].MaxConnections = 5 }, "below the 6 (2 × (slots + 1)) that an old and a new owner need"},
		{"largest slots", func(n *Note) { n.Services.Added[0].Slots = 1<<32 - 1 }, "allowed is at least 8589934592"},
		{"no shard", func(n *Note) { n.Services.Added[0].Shards = nil }, `services.added[0].shards: service "mill-dispatch" has no shard`},
		{"shard id", func(n *Note) { n.Services.Added[0].Shards[1].ID = 0 }, "n.jwcc:6:14: services.added[0].shards[1].id: shard id 0 is already used"},
		{"empty range", func(n *Note) { n.Services.Added[0].Shards[1].Range.Hi = 10 }, "shards[1].range: range [10,10) is empty"},
		{"overlap", func(n *Note) { n.Services.Added[0].Shards[1].Range.Lo = 9 }, "range [9,20) of shard 1 overlaps [0,10) of shard 0"},
		{"overlap with a wide one", func(n *Note) {
			n.Services.Added[0].Shards = append(n.Services.Added[0].Shards, Shard{ID: 2, Range: wire.LedgerRange{Lo: 20, Hi: 21}})
			n.Services.Added[0].Shards[0].Range.Hi = 30
		}, "range [20,21) of shard 2 overlaps [0,30) of shard 0"},
		{"host name", func(n *Note) { n.Services.Added[0].Shards[0].Replicas[0].Addr = "db:1" }, `"db:1" is not the address of a replica; allowed is IP:port`},
		{"no port", func(n *Note) { n.Services.Added[0].Shards[0].Replicas[0].Addr = "127.0.0.1" }, "allowed is IP:port"},
		{"port 0", func(n *Note) { n.Services.Added[0].Shards[0].Replicas[0].Addr = "127.0.0.1:0" }, "allowed is IP:port"},
		{"other form", func(n *Note) { n.Services.Added[0].Shards[0].Replicas[0].Addr = "[0::1]:5" }, `canonical form "[::1]:5"`},
		{"replica twice", func(n *Note) { n.Services.Added[0].Shards[1].Replicas[0].Addr = "127.0.0.1:20000" }, `already in service "mill-dispatch", shard 0`},
		{"no replica", func(n *Note) { n.Services.Added[0].Shards[1].Replicas = nil }, "shard 1 has no replica"},
		{"service twice", func(n *Note) { n.Services.Added = append(n.Services.Added, n.Services.Added[0]) }, "already named at services.added[0].name"},
		{"absent service", func(n *Note) { n.Services.Withdrawn = []string{"x"} }, `services.withdrawn[0]: service "x" does not exist in version 0`},
		{"changed search", func(n *Note) { n.Searches.Changed = []Search{{Name: "x", Service: "y"}} }, `search "y/x" does not exist in version 0`},
		{"search of no service", func(n *Note) { n.Searches.Added[0].Service = "x" }, `service: service "x" does not exist after this note`},
		{"wait", func(n *Note) { n.Searches.Added[0].WaitRule = "fast" }, `found "fast"; allowed are "coverage" and "latency"`},
		{"deadline", func(n *Note) { n.Searches.Added[0].Deadline = 0 }, "searches.added[0].deadline: found 0s; allowed is above 0s and at most 1m0s"},
		{"goal", func(n *Note) { n.Searches.Added[0].LatencyGoal = n.Searches.Added[0].Deadline + 1 }, "at most the deadline 2s"},
		{"coverage", func(n *Note) { n.Searches.Added[0].LeastCoverage = 1.1 }, "least_coverage: found 1.1; allowed is 0 to 1"},
		{"objective", func(n *Note) { n.Searches.Added[0].Objective.GoodFraction = 1 }, "objective.good: found 1; allowed is above 0 and below 1"},
	}
	for _, bad := range badNotes {
		t.Run(bad.name, func(t *testing.T) {
			n := mustParse(t, goodNote)
			bad.invalidate(n)
			var problems *jwcc.Error
			err := Check(nil, n)
			if !errors.As(err, &problems) {
				t.Fatalf("got %v, want *jwcc.Error", err)
			}
			gomega.NewWithT(t).Expect(err.Error()).To(gomega.ContainSubstring(bad.want))
		})
	}
}

// Guards against a note that is applied to another version than the one it was
// written against, and against withdrawing a service that a search still uses.
func TestCheckComparesWithTheConfigurationInForce(t *testing.T) {
	g := gomega.NewWithT(t)
	cfg, err := Apply(nil, mustParse(t, goodNote))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(Check(cfg, &Note{ID: "n-2"})).To(gomega.Equal(&BaseVersionError{Note: "n-2", InForceVersion: 1, WinningNote: "n-1"}))
	again := mustParse(t, goodNote)
	again.Base = 1
	g.Expect(Check(cfg, again)).To(gomega.MatchError(gomega.And(
		gomega.ContainSubstring(`service "mill-dispatch" already exists in version 1; list it under changed`),
		gomega.ContainSubstring(`search "mill-dispatch/gangs" already exists`))))
	withdraw := &Note{ID: "n-2", Base: 1, Services: ServiceChanges{Withdrawn: []string{"mill-dispatch"}}}
	g.Expect(Check(cfg, withdraw)).To(gomega.MatchError(gomega.ContainSubstring("still used by the searches mill-dispatch/gangs")))
	withdraw.Searches.Withdrawn = []string{"mill-dispatch/gangs"}
	g.Expect(Check(cfg, withdraw)).To(gomega.Succeed())
}

// drawNote draws a valid note against cfg. Each replica gets an unused port above
// *port.
func drawNote(t *rapid.T, cfg *Config, port *int) *Note {
	n := &Note{ID: fmt.Sprintf("n-%d", cfg.Version+1), Base: cfg.Version}
	for i := range 4 {
		name := fmt.Sprintf("s%d", i)
		_, exists := cfg.Services[name]
		switch action := rapid.IntRange(0, 2).Draw(t, name); {
		case action == 0:
		case action == 1 && exists:
			n.Services.Withdrawn = append(n.Services.Withdrawn, name)
			n.Searches.Withdrawn = append(n.Searches.Withdrawn, SearchKey(name, "find"))
		default:
			s := Service{Name: name, Slots: rapid.Uint32Range(1, 9).Draw(t, "slots"), MaxConnections: 40}
			for shard := range rapid.Uint32Range(1, 3).Draw(t, "shards") {
				*port++
				s.Shards = append(s.Shards, Shard{ID: shard, Range: wire.LedgerRange{Lo: uint64(shard), Hi: uint64(shard) + 1}, Replicas: []Replica{
					{Addr: wire.ReplicaID(fmt.Sprintf("127.0.0.1:%d", *port)), DataCentre: "badin"},
				}})
			}
			search := Search{Name: "find", Service: name, WaitRule: WaitLatency, Deadline: 9, LatencyGoal: jwcc.Duration(rapid.IntRange(1, 9).Draw(t, "goal"))}
			if exists {
				n.Services.Changed, n.Searches.Changed = append(n.Services.Changed, s), append(n.Searches.Changed, search)
			} else {
				n.Services.Added, n.Searches.Added = append(n.Services.Added, s), append(n.Searches.Added, search)
			}
		}
	}
	return n
}

// Guards against a change that Diff omits or reports wrongly, against a base that
// Apply modifies, and against a note that can be applied a second time.
func TestApplyAndDiffAgreeOverSequencesOfNotes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		cfg, port := &Config{}, 1000
		for range rapid.IntRange(1, 5).Draw(t, "notes") {
			n, before := drawNote(t, cfg, &port), encodeRapid(t, cfg)
			next, err := Apply(cfg, n)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(encodeRapid(t, cfg)).To(gomega.Equal(before))
			g.Expect(next.Version).To(gomega.Equal(cfg.Version + 1))
			g.Expect(Diff(next, next)).To(gomega.BeEmpty())

			changes := map[string]Action{}
			for _, c := range Diff(cfg, next) {
				changes[string(c.Kind)+c.Name] = c.Action
			}
			for _, s := range n.Services.Added {
				g.Expect(changes).To(gomega.HaveKeyWithValue("service"+s.Name, Added))
			}
			for _, name := range n.Services.Withdrawn {
				g.Expect(changes).To(gomega.HaveKeyWithValue("service"+name, Withdrawn))
			}
			for _, s := range n.Services.Changed { // has new replicas, so it differs
				g.Expect(changes).To(gomega.HaveKeyWithValue("service"+s.Name, Changed))
			}
			g.Expect(len(slices.Collect(maps.Keys(changes)))).To(gomega.BeNumerically("<=", 2*4))
			g.Expect(Diff(next, cfg)).To(gomega.HaveLen(len(Diff(cfg, next))))
			var base *BaseVersionError
			g.Expect(errors.As(Check(next, n), &base)).To(gomega.BeTrue())
			cfg = next
		}
	})
}

func encodeRapid(t *rapid.T, v any) string {
	body, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
}

// Guards against a note that crashes a host: any text either is refused with an
// error or makes a configuration that Split and Assemble reproduce.
func FuzzNote(f *testing.F) {
	f.Add([]byte(goodNote))
	f.Add([]byte(`{"id":"n","searches":{"added":[{"name":"a","service":"b","wait":"latency","deadline":"1s"}]}}`))
	f.Add([]byte(`{"id":"n","services":{"added":[{"shards":[{"range":{"hi":18446744073709551615}},{"replicas":[{"addr":"[::%1]:1"}]}]}]}}`))
	f.Add([]byte(`{"services":{"withdrawn":["","",null]},"searches":null}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		n, err := ParseNote("n", body)
		if err != nil {
			return
		}
		cfg, err := Apply(nil, n)
		if err != nil {
			return
		}
		m, docs, err := Split(cfg, Manifest{}, NoteRecord{ID: n.ID, Version: cfg.Version})
		if err != nil {
			t.Fatal(err)
		}
		back, err := Assemble(m, docs)
		if err != nil {
			t.Fatal(err)
		}
		if changes := Diff(cfg, back); len(changes) != 0 {
			t.Fatalf("documents of the configuration differ from it: %v", changes)
		}
	})
}
