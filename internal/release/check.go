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

// Check validates the whole note against base, the configuration in force. A nil
// base is the empty configuration with version 0. It returns *BaseVersionError
// if the note was written against another version, and *jwcc.Error with up to
// maxProblems problems if the note is not valid. The problems state file and line
// if the note came from ParseNote.
func Check(base *Config, n *Note) error {
	base = orEmpty(base)
	if n.Base != base.Version {
		return &BaseVersionError{Note: n.ID, BaseVersion: n.Base, InForceVersion: base.Version, WinningNote: base.Note}
	}
	c := checker{base: base, note: n, next: merge(base, n)}
	c.checkName("id", n.ID)
	c.checkServiceNames()
	c.checkSearchNames()
	c.addUnchangedReplicas()
	c.eachService(c.checkService)
	c.eachSearch(c.checkSearch)
	if len(c.problems) > 0 {
		return &jwcc.Error{Problems: c.problems}
	}
	return nil
}

// maxProblems bounds the problems reported for one note.
const maxProblems = 100

// checker collects the problems of one note.
type checker struct {
	base, next     *Config // configuration in force, and the one that the note would make
	note           *Note
	shardByReplica map[wire.ReplicaID]shardRef // first shard found for each replica of next
	problems       []jwcc.Problem
}

// shardRef names a shard of a service.
type shardRef struct {
	service string
	shard   uint32
}

// report adds a problem at the key, unless maxProblems have been reported.
func (c *checker) report(key, format string, args ...any) {
	if len(c.problems) < maxProblems {
		c.problems = append(c.problems, c.note.keyPositions.ProblemAt(key, fmt.Sprintf(format, args...)))
	}
}

// require reports a problem at the key unless the condition is true.
func (c *checker) require(condition bool, key, format string, args ...any) {
	if !condition {
		c.report(key, format, args...)
	}
}

func (c *checker) checkName(key, name string) {
	c.require(jwcc.IsValidName(name), key, "%q is not a name; allowed are %s", name, jwcc.NameRule)
}

// eachService calls check for each service that the note adds or changes, with
// defaults filled in.
func (c *checker) eachService(check func(key string, s Service)) {
	for i, s := range c.note.Services.Added {
		check(indexedKey("services.added", i), withServiceDefaults(s))
	}
	for i, s := range c.note.Services.Changed {
		check(indexedKey("services.changed", i), withServiceDefaults(s))
	}
}

// eachSearch calls check for each search that the note adds or changes, with
// defaults filled in.
func (c *checker) eachSearch(check func(key string, s Search)) {
	for i, s := range c.note.Searches.Added {
		check(indexedKey("searches.added", i), withSearchDefaults(s))
	}
	for i, s := range c.note.Searches.Changed {
		check(indexedKey("searches.changed", i), withSearchDefaults(s))
	}
}

// indexedKey returns the key of a list element, such as "services.added[0]".
func indexedKey(key string, i int) string { return key + "[" + strconv.Itoa(i) + "]" }

// checkServiceNames checks the names of all services in the note, and that no
// search still uses a withdrawn one.
func (c *checker) checkServiceNames() {
	names := newNameChecker(c, "service", c.base.Services)
	for i, s := range c.note.Services.Added {
		c.checkName(indexedKey("services.added", i)+".name", s.Name)
		names.add(indexedKey("services.added", i)+".name", s.Name, true)
	}
	for i, s := range c.note.Services.Changed {
		names.add(indexedKey("services.changed", i)+".name", s.Name, false)
	}
	for i, name := range c.note.Services.Withdrawn {
		key := indexedKey("services.withdrawn", i)
		names.add(key, name, false)
		if remaining := c.searchesAfterNote(name); len(remaining) > 0 {
			c.report(key, "service %q is still used by the searches %s; withdraw them in the same note", name, strings.Join(remaining, ", "))
		}
	}
}

// searchesAfterNote returns the sorted keys of the searches that use the service
// once the note is applied.
func (c *checker) searchesAfterNote(service string) []string {
	var out []string
	for key, search := range c.next.Searches {
		if search.Service == service {
			out = append(out, key)
		}
	}
	slices.Sort(out)
	return out
}

func (c *checker) checkSearchNames() {
	names := newNameChecker(c, "search", c.base.Searches)
	for i, s := range c.note.Searches.Added {
		c.checkName(indexedKey("searches.added", i)+".name", s.Name)
		names.add(indexedKey("searches.added", i)+".name", SearchKey(s.Service, s.Name), true)
	}
	for i, s := range c.note.Searches.Changed {
		names.add(indexedKey("searches.changed", i)+".name", SearchKey(s.Service, s.Name), false)
	}
	for i, name := range c.note.Searches.Withdrawn {
		names.add(indexedKey("searches.withdrawn", i), name, false)
	}
}

// nameChecker reports names that occur twice in a note, added names that exist in
// the configuration in force, and changed or withdrawn names that don't.
type nameChecker struct {
	checker   *checker
	kind      string // "service" or "search", for the problems
	inForce   func(name string) bool
	keyByName map[string]string
}

func newNameChecker[T any](c *checker, kind string, inForce map[string]*T) *nameChecker {
	return &nameChecker{checker: c, kind: kind, keyByName: map[string]string{}, inForce: func(name string) bool {
		_, ok := inForce[name]
		return ok
	}}
}

// add checks a name at the key. isNew is true for names that the note adds.
func (n *nameChecker) add(key, name string, isNew bool) {
	if first, seen := n.keyByName[name]; seen {
		n.checker.report(key, "%s %q is already named at %s; allowed is once in a note", n.kind, name, first)
		return
	}
	n.keyByName[name] = key
	switch inForce := n.inForce(name); {
	case isNew && inForce:
		n.checker.report(key, "%s %q already exists in version %d; list it under changed", n.kind, name, n.checker.base.Version)
	case !isNew && !inForce:
		n.checker.report(key, "%s %q does not exist in version %d", n.kind, name, n.checker.base.Version)
	}
}

// addUnchangedReplicas records the replicas of the services that the note does
// not change, so that checkReplicas finds the ones that the note uses again.
func (c *checker) addUnchangedReplicas() {
	c.shardByReplica = map[wire.ReplicaID]shardRef{}
	for name, service := range c.next.Services {
		if c.base.Services[name] != service {
			continue
		}
		for _, shard := range service.Shards {
			for _, replica := range shard.Replicas {
				c.shardByReplica[replica.Addr] = shardRef{service: name, shard: shard.ID}
			}
		}
	}
}

func (c *checker) checkService(key string, s Service) {
	c.require(s.Slots > 0, key+".slots", "found 0; allowed is at least 1")
	c.checkConnections(key+".connections", s)
	c.require(s.ConnectCost >= 0, key+".connect_cost", "found %s; allowed is 0s or more", s.ConnectCost.D())
	c.require(isFraction(s.ExtraLoad), key+".extra_load", "found %v; allowed is 0 to 1", s.ExtraLoad)
	c.require(len(s.Shards) > 0, key+".shards", "service %q has no shard; allowed is at least 1", s.Name)
	keyByID := map[uint32]string{}
	for i, shard := range s.Shards {
		shardKey := indexedKey(key+".shards", i)
		if first, seen := keyByID[shard.ID]; seen {
			c.report(shardKey+".id", "shard id %d is already used at %s; allowed is once in a service", shard.ID, first)
		} else {
			keyByID[shard.ID] = shardKey
		}
		c.require(!shard.Range.Empty(), shardKey+".range", "range %s is empty; allowed is lo below hi", shard.Range)
		c.checkReplicas(shardKey, s, shard)
	}
	c.checkOverlaps(key+".shards", s.Shards)
}

// checkConnections checks that the connection limit of a replica allows the warm
// connections of an old and a new owner at the same time.
func (c *checker) checkConnections(key string, s Service) {
	perOwner := uint64(s.Slots) + 1
	switch found := uint64(s.MaxConnections); {
	case found < perOwner:
		c.report(key, "found %d, which is below the %d (slots + 1) that one owner needs; allowed is at least %d", found, perOwner, 2*perOwner)
	case found < 2*perOwner:
		c.report(key, "found %d, which is below the %d (2 × (slots + 1)) that an old and a new owner need; allowed is at least %d",
			found, 2*perOwner, 2*perOwner)
	}
}

// checkReplicas checks the replicas of a shard, and that none of them holds
// another shard as well.
func (c *checker) checkReplicas(key string, s Service, shard Shard) {
	c.require(len(shard.Replicas) > 0, key+".replicas", "shard %d has no replica; allowed is at least 1", shard.ID)
	for i, replica := range shard.Replicas {
		replicaKey := indexedKey(key+".replicas", i)
		c.checkName(replicaKey+".data_centre", replica.DataCentre)
		addr, err := netip.ParseAddrPort(string(replica.Addr))
		if err != nil || addr.Port() == 0 || addr.Addr().IsUnspecified() {
			c.report(replicaKey+".addr", "%q is not the address of a replica; allowed is IP:port, such as \"127.0.0.1:20000\"", replica.Addr)
			continue
		}
		if canonical := addr.String(); canonical != string(replica.Addr) {
			c.report(replicaKey+".addr", "found %q; allowed is the canonical form %q, because addresses are compared as text", replica.Addr, canonical)
			continue
		}
		if first, seen := c.shardByReplica[replica.Addr]; seen {
			c.report(replicaKey+".addr", "replica %s is already in service %q, shard %d; allowed is once in a configuration",
				replica.Addr, first.service, first.shard)
			continue
		}
		c.shardByReplica[replica.Addr] = shardRef{service: s.Name, shard: shard.ID}
	}
}

// checkOverlaps reports each range that overlaps another one with a lower or
// equal start. It compares each range with the earlier range that ends highest.
func (c *checker) checkOverlaps(key string, shards []Shard) {
	order := make([]int, 0, len(shards))
	for i := range shards {
		if !shards[i].Range.Empty() {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		switch loA, loB := shards[a].Range.Lo, shards[b].Range.Lo; {
		case loA < loB:
			return -1
		case loA > loB:
			return 1
		}
		return 0
	})
	for i, highest := 1, 0; i < len(order); i++ {
		earlier, current := shards[order[highest]], shards[order[i]]
		if current.Range.Lo < earlier.Range.Hi {
			c.report(indexedKey(key, order[i])+".range", "range %s of shard %d overlaps %s of shard %d", current.Range, current.ID, earlier.Range, earlier.ID)
		}
		if current.Range.Hi > earlier.Range.Hi {
			highest = i
		}
	}
}

func (c *checker) checkSearch(key string, s Search) {
	_, exists := c.next.Services[s.Service]
	c.require(exists, key+".service", "service %q does not exist after this note", s.Service)
	c.require(s.WaitRule == WaitCoverage || s.WaitRule == WaitLatency, key+".wait",
		"found %q; allowed are %q and %q", s.WaitRule, WaitCoverage, WaitLatency)
	c.require(s.Deadline > 0 && s.Deadline.D() <= maxDeadline, key+".deadline",
		"found %s; allowed is above 0s and at most %s", s.Deadline.D(), maxDeadline)
	c.require(s.LatencyGoal > 0 && s.LatencyGoal <= s.Deadline, key+".latency_goal",
		"found %s; allowed is above 0s and at most the deadline %s", s.LatencyGoal.D(), s.Deadline.D())
	c.require(isFraction(s.LeastCoverage), key+".least_coverage", "found %v; allowed is 0 to 1", s.LeastCoverage)
	o := s.Objective
	c.require(o.GoodFraction > 0 && o.GoodFraction < 1, key+".objective.good", "found %v; allowed is above 0 and below 1", o.GoodFraction)
	c.require(o.Latency > 0 && o.Latency <= s.Deadline, key+".objective.latency",
		"found %s; allowed is above 0s and at most the deadline %s", o.Latency.D(), s.Deadline.D())
	c.require(isFraction(o.LeastCoverage) && o.LeastCoverage >= s.LeastCoverage, key+".objective.coverage",
		"found %v; allowed is from least_coverage (%v) to 1", o.LeastCoverage, s.LeastCoverage)
}

// isFraction reports whether x is from 0 to 1. It returns false for NaN.
func isFraction(x float64) bool { return x >= 0 && x <= 1 }
