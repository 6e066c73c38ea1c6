package edge

import (
	"sync/atomic"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/aggregate"
	"github.com/arbutusgauge/arbutusgauge/internal/catalog"
	"github.com/arbutusgauge/arbutusgauge/internal/lead"
	"github.com/arbutusgauge/arbutusgauge/internal/ratelimit"
	"github.com/arbutusgauge/arbutusgauge/internal/release"
)

// shareOf returns the share of the replicas' connections and of the retry budget
// for the host with the given name; hosts is the number of all hosts.
func shareOf(fleet lead.Fleet, hosts int, host string) catalog.Share {
	share := catalog.Share{Hosts: hosts}
	for _, seat := range fleet.Aggregators() {
		share.Aggregators++
		share.IsAggregator = share.IsAggregator || seat.Name == host
	}
	return share
}

// leadershipGap is the longest time without the first seat after which a host still
// counts as its holder throughout: a host whose lease has ended takes its seat again
// within this time, while a seat that another host took does not come back so soon.
const leadershipGap = time.Second

// leaderList holds the leaders of the last published fleet, which grant permits for
// replicas with a rate limit. Reading it takes no lock: limits are observed while a
// replica is locked, and a fleet is published, which locks all replicas, while the lead
// agent is locked.
type leaderList struct {
	list atomic.Pointer[[]ratelimit.Leader]
	// ownSince and ownUntil are the beginning and the last known moment of this host's
	// leadership; used by publish only, which has no concurrent calls.
	ownSince, ownUntil time.Duration
	leads              bool
}

// publish replaces the list by the leaders of a fleet, of which host may be one; now is
// the time of the clock of ratelimit.
func (l *leaderList) publish(fleet lead.Fleet, host string, now time.Duration) {
	var leaders []ratelimit.Leader
	leads := false
	for _, seat := range fleet.Leaders() {
		leader := ratelimit.Leader{DataCentre: seat.DataCentre, PeerAddr: seat.PeerAddr, Self: seat.Name == host}
		if leader.Self {
			leads = true
			leader.Since = l.leadingSince(now)
		}
		leaders = append(leaders, leader)
	}
	if l.leads {
		l.ownUntil = now
	}
	l.leads = leads
	l.list.Store(&leaders)
}

// leadingSince returns when this host, which leads now, began to lead.
func (l *leaderList) leadingSince(now time.Duration) time.Duration {
	continues := l.leads || l.ownSince != 0 && now-l.ownUntil < leadershipGap
	if !continues {
		l.ownSince = now
	}
	return l.ownSince
}

// get returns the list, which must not be changed.
func (l *leaderList) get() []ratelimit.Leader {
	if list := l.list.Load(); list != nil {
		return *list
	}
	return nil
}

// otherAddrs returns the addresses of the leaders other than this host.
func (l *leaderList) otherAddrs() []string {
	var addrs []string
	for _, leader := range l.get() {
		if !leader.Self && leader.PeerAddr != "" {
			addrs = append(addrs, leader.PeerAddr)
		}
	}
	return addrs
}

// addrs returns the addresses of all leaders; self is that of this host.
func (l *leaderList) addrs(self string) []string {
	addrs := l.otherAddrs()
	for _, leader := range l.get() {
		if leader.Self {
			addrs = append(addrs, self)
		}
	}
	return addrs
}

// minShardsHeld is the share of a service's shards with a replica in a data centre
// from which the data centre counts as one that holds the service. It is below 1,
// so that a lost replica does not move all queries elsewhere.
const minShardsHeld = 0.8

// holdingDataCentres returns the data centres that hold all services of merged
// queries: their hosts get nearly all parts without crossing to another one.
func holdingDataCentres(config *release.Config) map[string]bool {
	holding := map[string]bool{}
	first := true
	for _, service := range config.Services {
		if len(service.Shards) < 2 {
			continue
		}
		held := shardsByDataCentre(service)
		for dataCentre, shards := range held {
			if first && float64(shards) >= minShardsHeld*float64(len(service.Shards)) {
				holding[dataCentre] = true
			}
		}
		for dataCentre := range holding {
			if float64(held[dataCentre]) < minShardsHeld*float64(len(service.Shards)) {
				delete(holding, dataCentre)
			}
		}
		first = false
	}
	return holding
}

// shardsByDataCentre returns the number of a service's shards that have a replica
// in each data centre.
func shardsByDataCentre(service *release.Service) map[string]int {
	held := map[string]int{}
	for i := range service.Shards {
		seen := map[string]bool{}
		for _, replica := range service.Shards[i].Replicas {
			if !seen[replica.DataCentre] {
				seen[replica.DataCentre] = true
				held[replica.DataCentre]++
			}
		}
	}
	return held
}

// aggregatorPeers returns the hosts to which a host forwards its merged queries, in
// groups in order of preference. Where the data centre of the host holds the
// replicas, or none does, they are its own larger hosts and then those elsewhere.
// Else the hosts of the data centres that hold them come first: one answer crosses
// instead of nearly all parts. Only hosts that are larger, by
// lead.LargerHostRatio, are listed, but that a host as large forwards too where its
// parts would cross.
func aggregatorPeers(fleet lead.Fleet, host lead.Host, holding map[string]bool) [][]aggregate.Peer {
	var holders, near, far []aggregate.Peer
	crosses := len(holding) > 0 && !holding[host.DataCentre]
	for _, seat := range fleet.Aggregators() {
		larger := seat.Cores >= lead.LargerHostRatio*host.Cores
		elsewhere := aggregate.Peer{Addr: seat.PeerAddr, Delay: crossDataCentreDelay}
		switch {
		case crosses && holding[seat.DataCentre] && seat.Cores >= host.Cores:
			holders = append(holders, elsewhere)
		case !larger:
		case seat.DataCentre == host.DataCentre:
			near = append(near, aggregate.Peer{Addr: seat.PeerAddr})
		default:
			far = append(far, elsewhere)
		}
	}
	return [][]aggregate.Peer{holders, near, far}
}
