package edge

import (
	"github.com/arbutusgauge/arbutusgauge/internal/catalog"
	"github.com/arbutusgauge/arbutusgauge/internal/lead"
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

// aggregatorPeers returns the peer addresses of the hosts to which a host with a
// processor share of cores forwards its merged queries: two groups, those of its
// data centre and the others. Only hosts that are larger, by lead.LargerHostRatio,
// are listed.
func aggregatorPeers(fleet lead.Fleet, dataCentre string, cores float64) [][]string {
	var near, far []string
	for _, seat := range fleet.Aggregators() {
		switch {
		case seat.Cores < lead.LargerHostRatio*cores:
		case seat.DataCentre == dataCentre:
			near = append(near, seat.PeerAddr)
		default:
			far = append(far, seat.PeerAddr)
		}
	}
	return [][]string{near, far}
}
