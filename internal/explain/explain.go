package explain

import (
	"net/http"
	"slices"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/account"
	"github.com/arbutusgauge/arbutusgauge/internal/jwcc"
	"github.com/arbutusgauge/arbutusgauge/internal/release"
	"github.com/arbutusgauge/arbutusgauge/internal/routing"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

const (
	// maxShards limits the shards in a report, over all its targets, and maxReplicas the
	// replicas of a shard.
	maxShards   = 300
	maxReplicas = 32
	// coverageSlack is the tolerance, in shards, for rounding errors, as in scatter.
	coverageSlack = 1e-6
)

// View is one version of what a host knows of the configuration.
type View struct {
	Table  *routing.Table
	Config *release.Config
}

// Configuration gives the view in force.
type Configuration interface {
	// View returns nil while no view is known.
	View() *View
	// ServiceName returns the name in View.Config of the service that has a set of shards.
	ServiceName(shards []string) string
}

// Replicas describes replicas.
type Replicas interface {
	// Describe returns what is known of the replicas of a service.
	Describe(service *release.Service) map[wire.ReplicaID]Facts
}

// Peers names the hosts that queries may be forwarded to.
type Peers interface {
	// ForwardTo returns the addresses out of which one would be chosen at random.
	ForwardTo() []string
	// FailoverTo returns the addresses of hosts that reach a service, as far as this host knows
	// now.
	FailoverTo(service string) []string
}

// Facts is what a host knows of a replica.
type Facts struct {
	// Obstacle is why the owner or a limit allows nothing to be sent; empty: it may be sent.
	Obstacle Reason
	TimeLeft time.Duration // of a backoff
	// Ejected is the time left in which sub-requests are refused after repeated failures.
	Ejected time.Duration
	// Limited is whether the replica advertises a rate limit or is cold.
	Limited bool
	// ReportsDraining excludes the replica from the choice, and LastResort leaves it for when
	// there is no other.
	ReportsDraining, LastResort bool

	Wait, Price, Uncertainty time.Duration
	StatesLoad               bool // the shard is balanced by stated load
	InFlight, Queued         int
	Load                     wire.StatedLoad
	LoadAge                  time.Duration
}

// Explainer explains requests. It is safe for concurrent use if its parts are.
type Explainer struct {
	Host, DataCentre string // of this host
	Configuration    Configuration
	Replicas         Replicas
	Peers            Peers
}

// Explain tells where a request would go. *NotReadyError: there is no routing table.
func (e *Explainer) Explain(request *Request) (*Report, error) {
	view := e.Configuration.View()
	if view == nil {
		return nil, &NotReadyError{}
	}
	report := &Report{Host: e.Host, DataCentre: e.DataCentre, Version: view.Table.Version}
	route := view.Table.Match(request.Host, request.Path)
	if route == nil {
		report.Refused = &Refusal{Status: http.StatusNotFound, Reason: "no_route"}
		return report, nil
	}
	report.Route = route.Name
	from, ok := view.Table.Identify(route, request.Credential)
	report.Caller, report.Account = callerOf(from, ok), from.Name()
	if !ok {
		report.Refused = &Refusal{Status: http.StatusUnauthorized, Reason: "key_refused"}
		return report, nil
	}
	report.NotChecked = []string{"quarantine"}
	if from.Account != nil && from.Account.Limited() {
		report.NotChecked = append(report.NotChecked, "quota")
	}
	e.addTargets(report, view, route)
	return report, nil
}

func callerOf(from account.Identity, ok bool) string {
	switch {
	case !ok:
		return CallerRefused
	case !from.Checked:
		return CallerUnchecked
	case from.Account == nil:
		return CallerAnonymous
	}
	return CallerAccount
}

// addTargets adds the services that a route may choose, at most maxShards shards in total.
func (e *Explainer) addTargets(report *Report, view *View, route *routing.Route) {
	if route.Merged() {
		report.ForwardTo = e.Peers.ForwardTo()
		service := view.Config.Services[e.Configuration.ServiceName(route.Shards)]
		target := e.target(service, slices.Sorted(slices.Values(route.Shards)), route.LeastCoverage, maxShards)
		target.Merged, target.Share = true, 1
		report.Targets = []Target{target}
		return
	}
	var total float64
	for _, t := range route.Targets {
		total += max(t.Weight, 0)
	}
	room := maxShards
	for _, t := range route.Targets {
		if t.Weight <= 0 {
			continue
		}
		target := e.target(view.Config.Services[t.Service], []string{t.Service}, route.LeastCoverage, room)
		target.Service, target.Share = t.Service, t.Weight/total
		room -= len(target.Shards)
		report.Targets = append(report.Targets, target)
	}
	if len(report.Targets) == 0 {
		report.Refused = &Refusal{Status: http.StatusServiceUnavailable, Reason: "no_target"}
	}
}

// target describes the shards of a service, whose names are given in the order of their ids, the
// first room of them in full. service may be nil.
func (e *Explainer) target(service *release.Service, names []string, leastCoverage float64, room int) Target {
	target := Target{Shards: []Shard{}}
	if service == nil {
		target.Refused = unavailable(wire.ReasonNoReplica)
		return target
	}
	facts := e.Replicas.Describe(service)
	target.ShardCount = len(service.Shards)
	obstacle, backsOff := wire.ReasonNoReplica, false
	for i := range service.Shards {
		s := &service.Shards[i]
		switch {
		case hasReplica(s, facts, func(f Facts) bool { return f.Obstacle == ReasonNone }):
			target.UsableShards++
		case hasReplica(s, facts, func(f Facts) bool { return f.Limited && f.Obstacle != ReasonEvacuated }):
			obstacle = wire.ReasonRateLimited
		case hasReplica(s, facts, func(f Facts) bool { return f.TimeLeft > 0 && f.Obstacle != ReasonEvacuated }):
			backsOff = true
		}
		if len(target.Shards) < room {
			target.Shards = append(target.Shards, e.shard(s, nameOf(s, names), facts))
		} else {
			target.ShardsOmitted++
		}
	}
	if backsOff {
		obstacle = wire.ReasonBackoff
	}
	if target.UsableShards == 0 || float64(target.UsableShards) < leastCoverage*float64(target.ShardCount)-coverageSlack {
		target.Refused = unavailable(obstacle)
	}
	if target.Refused != nil && obstacle == wire.ReasonNoReplica {
		target.FailoverTo = e.Peers.FailoverTo(service.Name)
	}
	return target
}

func unavailable(reason wire.Reason) *Refusal {
	return &Refusal{Status: http.StatusServiceUnavailable, Reason: string(reason)}
}

func hasReplica(s *release.Shard, facts map[wire.ReplicaID]Facts, is func(Facts) bool) bool {
	return slices.ContainsFunc(s.Replicas, func(r release.Replica) bool {
		f, known := facts[r.Addr]
		return known && is(f)
	})
}

func nameOf(s *release.Shard, names []string) string {
	if int(s.ID) < len(names) {
		return names[s.ID]
	}
	return ""
}

// shard describes one shard.
func (e *Explainer) shard(s *release.Shard, name string, facts map[wire.ReplicaID]Facts) Shard {
	shard := Shard{Name: name, Choice: choiceOf(s.Replicas, facts), Replicas: []Replica{}}
	shard.Unusual = len(shard.Choice.Least) == 0
	near, chosenNear := false, false
	for _, r := range s.Replicas {
		described := describe(r, facts)
		shard.Unusual = shard.Unusual || !described.Usable
		near = near || r.DataCentre == e.DataCentre
		chosenNear = chosenNear || r.DataCentre == e.DataCentre && slices.Contains(shard.Choice.Least, described.Addr)
		if len(shard.Replicas) < maxReplicas {
			shard.Replicas = append(shard.Replicas, described)
		} else {
			shard.ReplicasOmitted++
		}
	}
	shard.Unusual = shard.Unusual || near && !chosenNear
	return shard
}

// describe returns what the report says of a replica.
func describe(r release.Replica, facts map[wire.ReplicaID]Facts) Replica {
	f, known := facts[r.Addr]
	if !known {
		f.Obstacle = ReasonUnknown
	}
	out := Replica{
		Addr: string(r.Addr), DataCentre: r.DataCentre, Reason: f.Obstacle, Wait: rounded(f.Wait), Price: rounded(f.Price),
		InFlight: f.InFlight, Queued: f.Queued,
	}
	switch {
	case f.Obstacle == ReasonBackoff:
		out.TimeLeft = rounded(f.TimeLeft)
	case f.Obstacle != ReasonNone:
	case f.ReportsDraining:
		out.Reason = ReasonDraining
	case f.Ejected > 0 || f.LastResort:
		out.Reason, out.TimeLeft = ReasonEjected, rounded(f.Ejected)
	}
	out.Usable = out.Reason == ReasonNone
	if f.Load.Stated() {
		out.Stated = &StatedLoad{
			Running: f.Load.Running, Waiting: f.Load.Waiting, Slots: f.Load.Slots, Slowness: f.Load.Slowness, Age: rounded(f.LoadAge),
		}
	}
	return out
}

func rounded(d time.Duration) jwcc.Duration { return jwcc.Duration(d.Round(time.Microsecond)) }
