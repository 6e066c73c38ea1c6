package edge

import (
	"slices"

	"github.com/arbutusgauge/arbutusgauge/internal/aggregate"
	"github.com/arbutusgauge/arbutusgauge/internal/failover"
	"github.com/arbutusgauge/arbutusgauge/internal/owner"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// newFailover creates the module that hands queries over whose replicas this host does not
// reach; offerer forwards them.
func (h *Host) newFailover(offerer *aggregate.Client) error {
	var err error
	h.failover, err = failover.New(failover.Options{
		Addr:       h.settings.PeerAddr,
		Candidates: func() []string { return slices.Concat(h.lead.Peers(), h.lead.OtherPeers()) },
		Transport:  failover.NewHTTPTransport(),
		Offerer:    offerer,
		Scope:      h.scope.SubScope("failover"),
		Logger:     h.log,
	})
	return err
}

// reachReport returns what this host reaches, for hosts that do not. A host that stops names
// no service, because it takes no more queries.
func (h *Host) reachReport() failover.Report {
	report := failover.Report{Cores: h.settings.Cores, Hosts: h.lead.SampleHosts()}
	if view := h.catalog.View(); view != nil && !h.isLeaving() {
		report.Services = h.reachability.reachedServices(view)
	}
	return report
}

// isSilent reports whether a replica counts as silent, together with its data centre.
func (h *Host) isSilent(replica wire.ReplicaID) bool {
	return h.owner.Obstacle(replica) == owner.ObstacleSilent
}
