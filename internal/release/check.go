package release

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"github.com/arbutusgauge/arbutusgauge/internal/jwcc"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// Check examines the note as a whole against the configuration in force; a nil
// base is the empty configuration with version 0. *BaseError means that the
// note was written against another version, *jwcc.Error lists every other
// problem, with file and line when the note came from ParseNote.
func Check(base *Config, n *Note) error {
	base = orEmpty(base)
	if n.Base != base.Version {
		return &BaseError{Note: n.ID, NoteBase: n.Base, InForce: base.Version, WinningNote: base.Note}
	}
	c := checker{base: base, note: n, next: merge(base, n)}
	c.name("id", n.ID)
	c.serviceNames()
	c.searchNames()
	c.indexReplicas()
	c.eachService(c.service)
	c.eachSearch(c.search)
	if len(c.problems) > 0 {
		return &jwcc.Error{Problems: c.problems}
	}
	return nil
}

// maxProblems bounds the problems listed for one note.
const maxProblems = 100

type checker struct {
	base, next *Config
	note       *Note
	replicas   map[wire.ReplicaID]shardPlace // first place of each replica that is in force after the note
	problems   []jwcc.Problem
}

type shardPlace struct {
	service string
	shard   uint32
}

func (c *checker) report(key, format string, args ...any) {
	if len(c.problems) < maxProblems {
		c.problems = append(c.problems, c.note.source.Problem(key, fmt.Sprintf(format, args...)))
	}
}

// requires reports a problem at the key unless the condition holds.
func (c *checker) requires(holds bool, key, format string, args ...any) {
	if !holds {
		c.report(key, format, args...)
	}
}

func (c *checker) name(key, name string) {
	c.requires(jwcc.IsName(name), key, "%q is not a name; allowed are %s", name, jwcc.NameForm)
}

// eachService calls check for the services that the note adds or changes.
func (c *checker) eachService(check func(key string, s Service)) {
	for i, s := range c.note.Services.Added {
		check(index("services.added", i), withServiceDefaults(s))
	}
	for i, s := range c.note.Services.Changed {
		check(index("services.changed", i), withServiceDefaults(s))
	}
}

// eachSearch calls check for the searches that the note adds or changes.
func (c *checker) eachSearch(check func(key string, s Search)) {
	for i, s := range c.note.Searches.Added {
		check(index("searches.added", i), withSearchDefaults(s))
	}
	for i, s := range c.note.Searches.Changed {
		check(index("searches.changed", i), withSearchDefaults(s))
	}
}

func index(key string, i int) string { return key + "[" + strconv.Itoa(i) + "]" }

func (c *checker) serviceNames() {
	names := newNames(c, "service", c.base.Services)
	for i, s := range c.note.Services.Added {
		c.name(index("services.added", i)+".name", s.Name)
		names.add(index("services.added", i)+".name", s.Name, true)
	}
	for i, s := range c.note.Services.Changed {
		names.add(index("services.changed", i)+".name", s.Name, false)
	}
	for i, name := range c.note.Services.Withdrawn {
		key := index("services.withdrawn", i)
		names.add(key, name, false)
		if left := c.searchesOf(name); len(left) > 0 {
			c.report(key, "service %q is still used by the searches %s; withdraw them in the same note", name, strings.Join(left, ", "))
		}
	}
}

// searchesOf returns the searches of a service after the note.
func (c *checker) searchesOf(service string) []string {
	var out []string
	for key, search := range c.next.Searches {
		if search.Service == service {
			out = append(out, key)
		}
	}
	slices.Sort(out)
	return out
}

func (c *checker) searchNames() {
	names := newNames(c, "search", c.base.Searches)
	for i, s := range c.note.Searches.Added {
		c.name(index("searches.added", i)+".name", s.Name)
		names.add(index("searches.added", i)+".name", SearchKey(s.Service, s.Name), true)
	}
	for i, s := range c.note.Searches.Changed {
		names.add(index("searches.changed", i)+".name", SearchKey(s.Service, s.Name), false)
	}
	for i, name := range c.note.Searches.Withdrawn {
		names.add(index("searches.withdrawn", i), name, false)
	}
}

// names finds duplicate names in a note, and names that are or aren't in force
// against what the note says.
type names struct {
	check   *checker
	kind    string
	inForce func(name string) bool
	first   map[string]string
}

func newNames[T any](c *checker, kind string, inForce map[string]*T) *names {
	return &names{check: c, kind: kind, first: map[string]string{}, inForce: func(name string) bool {
		_, ok := inForce[name]
		return ok
	}}
}

func (n *names) add(key, name string, isNew bool) {
	if first, seen := n.first[name]; seen {
		n.check.report(key, "%s %q is already named at %s; allowed is once in a note", n.kind, name, first)
		return
	}
	n.first[name] = key
	switch inForce := n.inForce(name); {
	case isNew && inForce:
		n.check.report(key, "%s %q already exists in version %d; list it under changed", n.kind, name, n.check.base.Version)
	case !isNew && !inForce:
		n.check.report(key, "%s %q does not exist in version %d", n.kind, name, n.check.base.Version)
	}
}

// indexReplicas records the replicas of the services that the note leaves as
// they are, so that the ones of the note can be compared with them.
func (c *checker) indexReplicas() {
	c.replicas = map[wire.ReplicaID]shardPlace{}
	for name, service := range c.next.Services {
		if c.base.Services[name] != service {
			continue
		}
		for _, shard := range service.Shards {
			for _, replica := range shard.Replicas {
				c.replicas[replica.Addr] = shardPlace{service: name, shard: shard.ID}
			}
		}
	}
}

func (c *checker) service(key string, s Service) {
	c.requires(s.Slots > 0, key+".slots", "found 0; allowed is at least 1")
	c.connections(key+".connections", s)
	c.requires(s.ConnectCost >= 0, key+".connect_cost", "found %s; allowed is 0s or more", s.ConnectCost.D())
	c.requires(isFraction(s.ExtraLoad), key+".extra_load", "found %v; allowed is 0 to 1", s.ExtraLoad)
	c.requires(len(s.Shards) > 0, key+".shards", "service %q has no shard; allowed is at least 1", s.Name)
	ids := map[uint32]string{}
	for i, shard := range s.Shards {
		at := index(key+".shards", i)
		if first, seen := ids[shard.ID]; seen {
			c.report(at+".id", "shard id %d is already used at %s; allowed is once in a service", shard.ID, first)
		} else {
			ids[shard.ID] = at
		}
		c.requires(!shard.Range.Empty(), at+".range", "range %s is empty; allowed is lo below hi", shard.Range)
		c.shardReplicas(at, s, shard)
	}
	c.overlaps(key+".shards", s.Shards)
}

// connections checks that the limit leaves room for the warm connections of
// an old and a new owner.
func (c *checker) connections(key string, s Service) {
	one := uint64(s.Slots) + 1
	switch found := uint64(s.Connections); {
	case found < one:
		c.report(key, "found %d, which is below the %d (slots + 1) that one owner needs; allowed is at least %d", found, one, 2*one)
	case found < 2*one:
		c.report(key, "found %d, which is below the %d (2 × (slots + 1)) that an old and a new owner need; allowed is at least %d",
			found, 2*one, 2*one)
	}
}

func (c *checker) shardReplicas(key string, s Service, shard Shard) {
	c.requires(len(shard.Replicas) > 0, key+".replicas", "shard %d has no replica; allowed is at least 1", shard.ID)
	for i, replica := range shard.Replicas {
		at := index(key+".replicas", i)
		c.name(at+".data_centre", replica.DataCentre)
		addr, err := netip.ParseAddrPort(string(replica.Addr))
		if err != nil || addr.Port() == 0 || addr.Addr().IsUnspecified() {
			c.report(at+".addr", "%q is not the address of a replica; allowed is IP:port, such as \"127.0.0.1:20000\"", replica.Addr)
			continue
		}
		if canonical := addr.String(); canonical != string(replica.Addr) {
			c.report(at+".addr", "found %q; allowed is the canonical form %q, because addresses are compared as text", replica.Addr, canonical)
			continue
		}
		if first, seen := c.replicas[replica.Addr]; seen {
			c.report(at+".addr", "replica %s is already in service %q, shard %d; allowed is once in a configuration",
				replica.Addr, first.service, first.shard)
			continue
		}
		c.replicas[replica.Addr] = shardPlace{service: s.Name, shard: shard.ID}
	}
}

func (c *checker) overlaps(key string, shards []Shard) {
	order := make([]int, 0, len(shards))
	for i := range shards {
		if !shards[i].Range.Empty() {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		switch x, y := shards[a].Range.Lo, shards[b].Range.Lo; {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	})
	for i, widest := 1, 0; i < len(order); i++ {
		a, b := shards[order[widest]], shards[order[i]]
		if b.Range.Lo < a.Range.Hi {
			c.report(index(key, order[i])+".range", "range %s of shard %d overlaps %s of shard %d", b.Range, b.ID, a.Range, a.ID)
		}
		if b.Range.Hi > a.Range.Hi {
			widest = i
		}
	}
}

func (c *checker) search(key string, s Search) {
	_, exists := c.next.Services[s.Service]
	c.requires(exists, key+".service", "service %q does not exist after this note", s.Service)
	c.requires(s.Wait == WaitCoverage || s.Wait == WaitLatency, key+".wait",
		"found %q; allowed are %q and %q", s.Wait, WaitCoverage, WaitLatency)
	c.requires(s.Deadline > 0 && s.Deadline.D() <= maxDeadline, key+".deadline",
		"found %s; allowed is above 0s and at most %s", s.Deadline.D(), maxDeadline)
	c.requires(s.LatencyGoal > 0 && s.LatencyGoal <= s.Deadline, key+".latency_goal",
		"found %s; allowed is above 0s and at most the deadline %s", s.LatencyGoal.D(), s.Deadline.D())
	c.requires(isFraction(s.LeastCoverage), key+".least_coverage", "found %v; allowed is 0 to 1", s.LeastCoverage)
	o := s.Objective
	c.requires(o.Good > 0 && o.Good < 1, key+".objective.good", "found %v; allowed is above 0 and below 1", o.Good)
	c.requires(o.Latency > 0 && o.Latency <= s.Deadline, key+".objective.latency",
		"found %s; allowed is above 0s and at most the deadline %s", o.Latency.D(), s.Deadline.D())
	c.requires(isFraction(o.Coverage) && o.Coverage >= s.LeastCoverage, key+".objective.coverage",
		"found %v; allowed is from least_coverage (%v) to 1", o.Coverage, s.LeastCoverage)
}

// isFraction is false for NaN.
func isFraction(x float64) bool { return x >= 0 && x <= 1 }
