package release

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// Action is what happened to a service or search between two configurations.
type Action string

// The actions of a Change.
const (
	Added     Action = "added"
	Changed   Action = "changed"
	Withdrawn Action = "withdrawn"
)

// Kind is the kind of document that a Change is about.
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
	// Details lists each key that differs, such as "slots: 2 -> 3", or all keys
	// of an added service or search, such as "slots: 3".
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

// Diff lists the changes from a to b, first those of services and then those of
// searches, each sorted by name. A nil configuration counts as empty. Version
// and note id are not compared.
func Diff(a, b *Config) []Change {
	a, b = orEmpty(a), orEmpty(b)
	services := diffDocuments(KindService, a.Services, b.Services, compareServices)
	return append(services, diffDocuments(KindSearch, a.Searches, b.Searches, compareSearches)...)
}

// diffDocuments lists the changes of one kind. compareKeys appends the keys that
// differ between two documents.
func diffDocuments[T any](kind Kind, a, b map[string]*T, compareKeys func(d *detailList, a, b *T)) []Change {
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
			d := detailList{added: true}
			compareKeys(&d, new(T), to)
			change.Action, change.Details = Added, d.lines
		case to == nil:
			change.Action = Withdrawn
		default:
			var d detailList
			compareKeys(&d, from, to)
			if len(d.lines) == 0 {
				continue
			}
			change.Action, change.Details = Changed, d.lines
		}
		out = append(out, change)
	}
	return out
}

// detailList collects the details of one change.
type detailList struct {
	added bool // all keys are listed, because the document is new
	lines []string
}

func (d *detailList) add(line string) { d.lines = append(d.lines, line) }

// compareKey adds a line for the key if its value differs or the document is new.
func compareKey[T comparable](d *detailList, key string, a, b T) {
	switch {
	case d.added:
		d.add(fmt.Sprintf("%s: %v", key, b))
	case a != b:
		d.add(fmt.Sprintf("%s: %v -> %v", key, a, b))
	}
}

func compareServices(d *detailList, a, b *Service) {
	compareKey(d, "slots", a.Slots, b.Slots)
	compareKey(d, "connections", a.MaxConnections, b.MaxConnections)
	compareKey(d, "connect_cost", a.ConnectCost.D(), b.ConnectCost.D())
	compareKey(d, "ownership_block", a.OwnershipBlock, b.OwnershipBlock)
	compareKey(d, "extra_load", a.ExtraLoad, b.ExtraLoad)
	compareKey(d, "extra_burst", a.ExtraBurst, b.ExtraBurst)
	compareShards(d, a.Shards, b.Shards)
}

// maxShardDetails bounds the shards listed in each line of a change.
const maxShardDetails = 10

func compareShards(d *detailList, a, b []Shard) {
	oldShards, newShards := shardsByID(a), shardsByID(b)
	ids := slices.Sorted(maps.Keys(oldShards))
	ids = append(ids, slices.Sorted(maps.Keys(newShards))...)
	slices.Sort(ids)
	var added, withdrawn, changed []string
	for _, id := range slices.Compact(ids) {
		oldShard, inOld := oldShards[id]
		newShard, inNew := newShards[id]
		switch {
		case !inOld:
			added = append(added, fmt.Sprint(id))
		case !inNew:
			withdrawn = append(withdrawn, fmt.Sprint(id))
		default:
			if text := describeShardChange(oldShard, newShard); text != "" {
				changed = append(changed, text)
			}
		}
	}
	addShardList(d, "shards added", added)
	addShardList(d, "shards withdrawn", withdrawn)
	addShardList(d, "shards changed", changed)
	if len(added)+len(withdrawn)+len(changed) == 0 && !slices.EqualFunc(a, b, hasSameID) {
		d.add("shards: order")
	}
}

func hasSameID(a, b Shard) bool { return a.ID == b.ID }

// addShardList adds a line with the number of shards and the first
// maxShardDetails of them. It adds nothing if there are none.
func addShardList(d *detailList, label string, shards []string) {
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

// describeShardChange describes how a shard differs, or returns "" if it doesn't.
func describeShardChange(a, b Shard) string {
	var parts []string
	if a.Range != b.Range {
		parts = append(parts, fmt.Sprintf("range %s -> %s", a.Range, b.Range))
	}
	oldDataCentres, newDataCentres := dataCentreByAddr(a.Replicas), dataCentreByAddr(b.Replicas)
	for _, r := range b.Replicas {
		switch dataCentre, ok := oldDataCentres[r.Addr]; {
		case !ok:
			parts = append(parts, "+"+string(r.Addr)+"@"+r.DataCentre)
		case dataCentre != r.DataCentre:
			parts = append(parts, fmt.Sprintf("%s@%s -> @%s", r.Addr, dataCentre, r.DataCentre))
		}
	}
	for _, r := range a.Replicas {
		if _, ok := newDataCentres[r.Addr]; !ok {
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

// dataCentreByAddr returns the data centre of each replica by address.
func dataCentreByAddr(replicas []Replica) map[wire.ReplicaID]string {
	out := make(map[wire.ReplicaID]string, len(replicas))
	for _, r := range replicas {
		out[r.Addr] = r.DataCentre
	}
	return out
}

func compareSearches(d *detailList, a, b *Search) {
	compareKey(d, "repeatable", a.Repeatable, b.Repeatable)
	compareKey(d, "wait", a.WaitRule, b.WaitRule)
	compareKey(d, "latency_goal", a.LatencyGoal.D(), b.LatencyGoal.D())
	compareKey(d, "deadline", a.Deadline.D(), b.Deadline.D())
	compareKey(d, "least_coverage", a.LeastCoverage, b.LeastCoverage)
	compareKey(d, "objective.good", a.Objective.GoodFraction, b.Objective.GoodFraction)
	compareKey(d, "objective.latency", a.Objective.Latency.D(), b.Objective.Latency.D())
	compareKey(d, "objective.coverage", a.Objective.LeastCoverage, b.Objective.LeastCoverage)
}
