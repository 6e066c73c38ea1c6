package main

import (
	"strconv"

	"github.com/arbutusgauge/arbutusgauge/internal/member"
	"github.com/arbutusgauge/arbutusgauge/internal/release"
	"github.com/arbutusgauge/arbutusgauge/internal/route"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// targetHosts is the number of hosts in one data centre at the target.
const targetHosts = 350

var (
	hostCounts = []int{50, 150, targetHosts}
	blocks     = []uint32{1, 32}
)

// routeWorld is what a router derives its state from.
type routeWorld struct {
	config *release.Config
	view   *member.View
}

// View implements member.Members.
func (w *routeWorld) View() *member.View { return w.view }

// Suspect implements member.Members.
func (*routeWorld) Suspect(string) {}

// Sender implements route.Peers.
func (*routeWorld) Sender(string) wire.Sender { return echoSender{} }

func newRouter(w *routeWorld) *route.Router {
	return route.New(route.Options{
		Config: func() *release.Config { return w.config }, Members: w, Local: echoSender{}, Peers: w,
	})
}

// hostView has the given number of hosts in every data centre. The last one
// of each is Suspect when short is true, so that its units move.
func hostView(perDataCentre int, short bool) *member.View {
	v := &member.View{Version: 1}
	for i := range perDataCentre * dataCentres {
		host := member.Host{Name: "host-" + strconv.Itoa(i), Addr: hostAddr(i) + ":7000", DataCentre: dataCentre(i)}
		if short && i >= (perDataCentre-1)*dataCentres {
			host.State = member.Suspect
		}
		v.Hosts = append(v.Hosts, host)
	}
	v.Self = v.Hosts[0]
	return v
}

func measureRoute(r Recorder, _ *Options) error {
	for _, services := range targetServices {
		if err := measurePlacement(r, services); err != nil {
			return err
		}
	}
	for _, block := range blocks {
		for _, hosts := range hostCounts {
			if err := measureRank(r, hosts, block); err != nil {
				return err
			}
		}
	}
	for _, shards := range queryShards {
		if err := measureRouted(r, shards); err != nil {
			return err
		}
	}
	return nil
}

// measurePlacement changes the configuration between two look-ups.
func measurePlacement(r Recorder, services int) error {
	c := targetConfig(services, 1)
	w := &routeWorld{config: c, view: hostView(targetHosts, false)}
	before := memory()
	router := newRouter(w)
	router.Owns("", 0, "")
	used := memoryWith(w, router) - before
	size := float64(services * shardsPer * replicasPer)
	next := *c
	result, err := measureCost(thisProcess, func() error {
		next.Version++
		copied := next
		w.config = &copied
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
		Measure: "route: rebuild after a configuration change", Size: size, Per: "replica", Value: result.micros, Unit: "µs",
	})
}

// measureRank alternates between two views and looks up the owner of every
// replica.
func measureRank(r Recorder, hosts int, block uint32) error {
	w := &routeWorld{config: targetConfig(len(targetServices), block), view: hostView(hosts, false)}
	router := newRouter(w)
	views := []*member.View{w.view, hostView(hosts, true)}
	turn, replicas := 0, 0
	result, err := measureCost(thisProcess, func() error {
		turn++
		w.view = views[turn%2]
		replicas = 0
		for _, s := range w.config.Services {
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
		Measure: "route: first owner look-up of a replica after a host change, ownership block " + strconv.Itoa(int(block)),
		Size:    float64(hosts), Per: "host in the data centre", Value: result.micros / float64(replicas), Unit: "µs",
	})
}

func measureRouted(r Recorder, shards int) error {
	w := &routeWorld{config: config(1, shards, replicasPer, 32), view: hostView(targetHosts, false)}
	router := newRouter(w)
	var seq uint64
	result, err := measureCost(thisProcess, func() error {
		router.Send(batch(w.config, shards, 1, &seq), func([]wire.Reply) {})
		return nil
	})
	if err != nil {
		return err
	}
	return recordCost(r, "route: query sent, ownership block 32", "sub-request", shards, result)
}
