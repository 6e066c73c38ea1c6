package edge

import (
	"github.com/arbutusgauge/arbutusgauge/internal/catalog"
	"github.com/arbutusgauge/arbutusgauge/internal/lead"
)

// shareOf returns the share of the replicas of one of a number of hosts.
func shareOf(fleet lead.Fleet, hosts int, host string) catalog.Share {
	share := catalog.Share{Hosts: hosts}
	for _, seat := range fleet.Aggregators() {
		share.Aggregators++
		share.Aggregates = share.Aggregates || seat.Name == host
	}
	return share
}

// aggregators returns the peer addresses of the hosts to which a host of some
// processor share hands its merged queries: those of its data centre, then the
// others.
func aggregators(fleet lead.Fleet, dataCentre string, cores float64) [][]string {
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
