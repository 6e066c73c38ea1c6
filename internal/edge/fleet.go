package edge

import (
	"github.com/arbutusgauge/arbutusgauge/internal/catalog"
	"github.com/arbutusgauge/arbutusgauge/internal/lead"
)

// shareOf returns the share of the replicas of a host; hosts is the number of all
// hosts.
func shareOf(fleet lead.Fleet, hosts int, host string) catalog.Share {
	share := catalog.Share{Hosts: hosts}
	for _, seat := range fleet.Aggregators() {
		share.Aggregators++
		share.Aggregates = share.Aggregates || seat.Name == host
	}
	return share
}

// aggregatorPeers returns the peer addresses of the hosts to which a host with a
// processor share of cores forwards its merged queries: two groups, those of its
// data centre and the others. Only hosts that are larger, by lead.LargerBy, are
// listed.
func aggregatorPeers(fleet lead.Fleet, dataCentre string, cores float64) [][]string {
	var near, far []string
	for _, seat := range fleet.Aggregators() {
		switch {
		case seat.Cores < lead.LargerBy*cores:
		case seat.DataCentre == dataCentre:
			near = append(near, seat.Peers)
		default:
			far = append(far, seat.Peers)
		}
	}
	return [][]string{near, far}
}
