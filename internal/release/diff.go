package release

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// Action says what happens to a service or search between two configurations.
type Action string

// The actions of a change.
const (
	Added     Action = "added"
	Changed   Action = "changed"
	Withdrawn Action = "withdrawn"
)

// Kind says what a change is about.
type Kind string

// The kinds of documents in a configuration.
const (
	KindService Kind = "service"
	KindSearch  Kind = "search"
)

// Change is one difference between two configurations.
type Change struct {
	Action Action `json:"action"`
	Kind   Kind   `json:"kind"`
	Name   string `json:"name"` // service, or "service/search"
	// Details names each key that differs, as "slots: 2 -> 3", or the keys of
	// what is added, as "slots: 3".
	Details []string `json:"details,omitempty"`
}

// String formats the change as "changed service x: slots: 2 -> 3".
func (c Change) String() string {
	out := string(c.Action) + " " + string(c.Kind) + " " + c.Name
	if len(c.Details) == 0 {
		return out
	}
	return out + ": " + strings.Join(c.Details, "; ")
}

// Diff lists what differs from a to b, services first, each sorted by name. A
// nil configuration is empty. Version and note id are not compared.
func Diff(a, b *Config) []Change {
	a, b = orEmpty(a), orEmpty(b)
	services := diffDocuments(KindService, a.Services, b.Services, serviceDetails)
	return append(services, diffDocuments(KindSearch, a.Searches, b.Searches, searchDetails)...)
}

func diffDocuments[T any](kind Kind, a, b map[string]*T, list func(d *details, a, b *T)) []Change {
	names := slices.Sorted(maps.Keys(a))
	for name := range b {
		if _, ok := a[name]; !ok {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var out []Change
	for _, name := range names {
		change := Change{Kind: kind, Name: name}
		switch from, to := a[name], b[name]; {
		case from == nil:
			d := details{added: true}
			list(&d, new(T), to)
			change.Action, change.Details = Added, d.lines
		case to == nil:
			change.Action = Withdrawn
		default:
			var d details
			list(&d, from, to)
			if len(d.lines) == 0 {
				continue
			}
			change.Action, change.Details = Changed, d.lines
		}
		out = append(out, change)
	}
	return out
}

// details collects the keys that differ, or all keys of what is added.
type details struct {
	added bool
	lines []string
}

func (d *details) add(line string) { d.lines = append(d.lines, line) }

func compare[T comparable](d *details, key string, a, b T) {
	switch {
	case d.added:
		d.add(fmt.Sprintf("%s: %v", key, b))
	case a != b:
		d.add(fmt.Sprintf("%s: %v -> %v", key, a, b))
	}
}

func serviceDetails(d *details, a, b *Service) {
	compare(d, "slots", a.Slots, b.Slots)
	compare(d, "connections", a.Connections, b.Connections)
	compare(d, "connect_cost", a.ConnectCost.D(), b.ConnectCost.D())
	compare(d, "ownership_block", a.OwnershipBlock, b.OwnershipBlock)
	compare(d, "extra_load", a.ExtraLoad, b.ExtraLoad)
	compare(d, "extra_burst", a.ExtraBurst, b.ExtraBurst)
	shardDetails(d, a.Shards, b.Shards)
}

// maxShardDetails bounds the shards that one change describes in full.
const maxShardDetails = 10

func shardDetails(d *details, a, b []Shard) {
	from, to := shardsByID(a), shardsByID(b)
	ids := slices.Sorted(maps.Keys(from))
	ids = append(ids, slices.Sorted(maps.Keys(to))...)
	slices.Sort(ids)
	var added, withdrawn, changed []string
	for _, id := range slices.Compact(ids) {
		x, before := from[id]
		y, after := to[id]
		switch {
		case !before:
			added = append(added, fmt.Sprint(id))
		case !after:
			withdrawn = append(withdrawn, fmt.Sprint(id))
		default:
			if text := oneShard(x, y); text != "" {
				changed = append(changed, text)
			}
		}
	}
	listShards(d, "shards added", added)
	listShards(d, "shards withdrawn", withdrawn)
	listShards(d, "shards changed", changed)
	if len(added)+len(withdrawn)+len(changed) == 0 && !slices.EqualFunc(a, b, sameID) {
		d.add("shards: order")
	}
}

func sameID(a, b Shard) bool { return a.ID == b.ID }

func listShards(d *details, label string, shards []string) {
	if len(shards) == 0 {
		return
	}
	text := strings.Join(shards[:min(len(shards), maxShardDetails)], ", ")
	if more := len(shards) - maxShardDetails; more > 0 {
		text += fmt.Sprintf(" and %d more", more)
	}
	d.add(fmt.Sprintf("%s (%d): %s", label, len(shards), text))
}

func shardsByID(shards []Shard) map[uint32]Shard {
	out := make(map[uint32]Shard, len(shards))
	for _, s := range shards {
		out[s.ID] = s
	}
	return out
}

// oneShard describes how a shard differs, or returns "".
func oneShard(a, b Shard) string {
	var parts []string
	if a.Range != b.Range {
		parts = append(parts, fmt.Sprintf("range %s -> %s", a.Range, b.Range))
	}
	from, to := replicasByAddr(a.Replicas), replicasByAddr(b.Replicas)
	for _, r := range b.Replicas {
		switch dataCentre, ok := from[r.Addr]; {
		case !ok:
			parts = append(parts, "+"+string(r.Addr)+"@"+r.DataCentre)
		case dataCentre != r.DataCentre:
			parts = append(parts, fmt.Sprintf("%s@%s -> @%s", r.Addr, dataCentre, r.DataCentre))
		}
	}
	for _, r := range a.Replicas {
		if _, ok := to[r.Addr]; !ok {
			parts = append(parts, "-"+string(r.Addr)+"@"+r.DataCentre)
		}
	}
	if len(parts) == 0 && !slices.Equal(a.Replicas, b.Replicas) {
		parts = append(parts, "order of replicas")
	}
	if len(parts) == 0 {
		return ""
	}
	return fmt.Sprintf("%d (%s)", a.ID, strings.Join(parts, ", "))
}

func replicasByAddr(replicas []Replica) map[wire.ReplicaID]string {
	out := make(map[wire.ReplicaID]string, len(replicas))
	for _, r := range replicas {
		out[r.Addr] = r.DataCentre
	}
	return out
}

func searchDetails(d *details, a, b *Search) {
	compare(d, "repeatable", a.Repeatable, b.Repeatable)
	compare(d, "wait", a.Wait, b.Wait)
	compare(d, "latency_goal", a.LatencyGoal.D(), b.LatencyGoal.D())
	compare(d, "deadline", a.Deadline.D(), b.Deadline.D())
	compare(d, "least_coverage", a.LeastCoverage, b.LeastCoverage)
	compare(d, "objective.good", a.Objective.Good, b.Objective.Good)
	compare(d, "objective.latency", a.Objective.Latency.D(), b.Objective.Latency.D())
	compare(d, "objective.coverage", a.Objective.Coverage, b.Objective.Coverage)
}
