package main

import (
	"strconv"

	"github.com/arbutusgauge/arbutusgauge/internal/member"
	"github.com/arbutusgauge/arbutusgauge/internal/release"
	"github.com/arbutusgauge/arbutusgauge/internal/route"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// targetHostsPerDataCentre is the number of entry hosts in one data centre of the
// target deployment.
const targetHostsPerDataCentre = 350

var (
	hostCounts      = []int{50, 150, targetHostsPerDataCentre}
	ownershipBlocks = []uint32{1, 32}
)

// routerInputs holds the configuration and the view of the members that a router
// reads, and implements its interfaces.
type routerInputs struct {
	config *release.Config
	view   *member.View
}

// View implements member.Members.
func (inputs *routerInputs) View() *member.View { return inputs.view }

// Suspect implements member.Members.
func (*routerInputs) Suspect(string) {}

// Sender implements route.Peers.
func (*routerInputs) Sender(string) wire.Sender { return echoSender{} }

func newRouter(inputs *routerInputs) *route.Router {
	return route.New(route.Options{
		Config: func() *release.Config { return inputs.config }, Members: inputs, Local: echoSender{}, Peers: inputs,
	})
}

// newHostView returns a view with the given number of hosts in every data centre.
// With lastSuspect, the last host of each data centre is suspect, so that its
// ownership blocks move to other hosts.
func newHostView(perDataCentre int, lastSuspect bool) *member.View {
	v := &member.View{Version: 1}
	for i := range perDataCentre * dataCentreCount {
		host := member.Host{Name: "host-" + strconv.Itoa(i), Addr: hostIP(i) + ":7000", DataCentre: dataCentreName(i)}
		if lastSuspect && i >= (perDataCentre-1)*dataCentreCount {
			host.State = member.Suspect
		}
		v.Hosts = append(v.Hosts, host)
	}
	v.Self = v.Hosts[0]
	return v
}

// measureRoute measures the router: its placement, owner look-ups and the routing
// of a query.
func measureRoute(r Recorder, _ *Options) error {
	for _, services := range serviceCounts {
		if err := measurePlacement(r, services); err != nil {
			return err
		}
	}
	for _, ownershipBlock := range ownershipBlocks {
		for _, hosts := range hostCounts {
			if err := measureOwnerLookup(r, hosts, ownershipBlock); err != nil {
				return err
			}
		}
	}
	for _, shards := range shardCounts {
		if err := measureRoutedQuery(r, shards); err != nil {
			return err
		}
	}
	return nil
}

// measurePlacement measures the memory of a placement and the time to rebuild it.
// Every measured look-up follows a change of the configuration version, which
// causes a rebuild.
func measurePlacement(r Recorder, services int) error {
	c := newTargetConfig(services, 1)
	inputs := &routerInputs{config: c, view: newHostView(targetHostsPerDataCentre, false)}
	before := liveMemory()
	router := newRouter(inputs)
	router.Owns("", 0, "")
	used := liveMemoryWith(inputs, router) - before
	size := float64(services * shardsPerService * replicasPerShard)
	next := *c
	result, err := measureCost(rusageSelf, func() error {
		next.Version++
		copied := next
		inputs.config = &copied
		router.Owns("", 0, "")
		return nil
	})
	if err != nil {
		return err
	}
	if err := r.Record(Point{Measure: "route: memory of one placement", Size: size, Per: "replica", Value: used, Unit: "B"}); err != nil {
		return err
	}
	return r.Record(Point{
		Measure: "route: rebuild after a configuration change", Size: size, Per: "replica", Value: result.processorMicros, Unit: "µs",
	})
}

// measureOwnerLookup measures the first owner look-up of a replica after a change of
// the hosts: every call switches between two views and looks up all replicas.
func measureOwnerLookup(r Recorder, hosts int, ownershipBlock uint32) error {
	inputs := &routerInputs{config: newTargetConfig(len(serviceCounts), ownershipBlock), view: newHostView(hosts, false)}
	router := newRouter(inputs)
	views := []*member.View{inputs.view, newHostView(hosts, true)}
	calls, replicas := 0, 0
	result, err := measureCost(rusageSelf, func() error {
		calls++
		inputs.view = views[calls%2]
		replicas = 0
		for _, s := range inputs.config.Services {
			for i := range s.Shards {
				for _, replica := range s.Shards[i].Replicas {
					router.Owns(s.Name, s.Shards[i].ID, replica.Addr)
					replicas++
				}
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	return r.Record(Point{
		Measure: "route: first owner look-up of a replica after a host change, ownership block " + strconv.Itoa(int(ownershipBlock)),
		Size:    float64(hosts), Per: "host in the data centre", Value: result.processorMicros / float64(replicas), Unit: "µs",
	})
}

// measureRoutedQuery measures the sending of one sub-request to each shard of a
// service.
func measureRoutedQuery(r Recorder, shards int) error {
	inputs := &routerInputs{config: newConfig(1, shards, replicasPerShard, 32), view: newHostView(targetHostsPerDataCentre, false)}
	router := newRouter(inputs)
	var seq uint64
	result, err := measureCost(rusageSelf, func() error {
		router.Send(newBatch(inputs.config, shards, 1, &seq), func([]wire.Reply) {})
		return nil
	})
	if err != nil {
		return err
	}
	return recordCost(r, "route: query sent, ownership block 32", "sub-request", shards, result)
}
