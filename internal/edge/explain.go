package edge

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/aggregate"
	"github.com/arbutusgauge/arbutusgauge/internal/catalog"
	"github.com/arbutusgauge/arbutusgauge/internal/explain"
	"github.com/arbutusgauge/arbutusgauge/internal/owner"
	"github.com/arbutusgauge/arbutusgauge/internal/ratelimit"
	"github.com/arbutusgauge/arbutusgauge/internal/readlimit"
	"github.com/arbutusgauge/arbutusgauge/internal/release"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// explainBodyTimeout limits how long a client may take to send a request to explain.
const explainBodyTimeout = 2 * time.Second

// explainFacts gives package explain what this host knows.
type explainFacts struct {
	host      *Host
	forwarder *aggregate.Client
}

// newExplainer returns the explainer of this host.
func (h *Host) newExplainer(forwarder *aggregate.Client) *explain.Explainer {
	facts := explainFacts{host: h, forwarder: forwarder}
	return &explain.Explainer{
		Host: h.settings.Host, DataCentre: h.settings.DataCentre, Configuration: facts, Replicas: facts, Peers: facts,
	}
}

// View implements explain.Configuration.
func (f explainFacts) View() *explain.View {
	view := f.host.catalog.View()
	if view == nil {
		return nil
	}
	return &explain.View{Table: view.Table, Config: view.Config}
}

// ServiceName implements explain.Configuration.
func (explainFacts) ServiceName(shards []string) string { return catalog.ServiceName(shards) }

// ForwardTo implements explain.Peers.
func (f explainFacts) ForwardTo() []string {
	var addrs []string
	for _, peer := range f.forwarder.Candidates() {
		addrs = append(addrs, peer.Addr)
	}
	return addrs
}

// FailoverTo implements explain.Peers.
func (f explainFacts) FailoverTo(service string) []string { return f.host.failover.Known(service) }

// Describe implements explain.Replicas.
func (f explainFacts) Describe(service *release.Service) map[wire.ReplicaID]explain.Facts {
	out := map[wire.ReplicaID]explain.Facts{}
	for id, judgement := range f.host.engine.Describe(service) {
		d := f.host.owner.Describe(id)
		limits := f.host.rateLimits.Describe(id)
		out[id] = explain.Facts{
			Obstacle: obstacleOf(d.Obstacle, limits), TimeLeft: d.Backoff, Ejected: d.Ejected, Limited: limits.Limited || limits.Cold,
			ReportsDraining: judgement.Draining, LastResort: judgement.Ejected,
			Wait: d.Wait, Price: judgement.Price, Uncertainty: d.Uncertainty, StatesLoad: d.StatesLoad,
			InFlight: d.InFlight, Queued: d.Queued, Load: d.Load, LoadAge: d.LoadAge,
		}
	}
	return out
}

// explainedObstacles are the reasons for the obstacles of package owner.
var explainedObstacles = map[owner.Obstacle]explain.Reason{
	owner.ObstacleUnknown: explain.ReasonUnknown, owner.ObstacleStopping: explain.ReasonStopping,
	owner.ObstacleEvacuated: explain.ReasonEvacuated, owner.ObstacleLeaving: explain.ReasonLeaving,
	owner.ObstacleDraining: explain.ReasonDraining, owner.ObstacleBackoff: explain.ReasonBackoff,
	owner.ObstacleSilent: explain.ReasonSilent, owner.ObstacleUnreachable: explain.ReasonUnreachable,
}

// obstacleOf returns why nothing may be sent to a replica: by its owner, else by its limits.
func obstacleOf(obstacle owner.Obstacle, limits ratelimit.Description) explain.Reason {
	switch {
	case obstacle != owner.ObstacleNone:
		return explainedObstacles[obstacle]
	case limits.Allowed:
		return explain.ReasonNone
	case limits.Cold:
		return explain.ReasonCold
	}
	return explain.ReasonRateLimited
}

// explainFailure is the body of an answer without a report, in the form that gaugectl reads.
type explainFailure struct {
	Error   string `json:"error"`
	Message string `json:"message"`
}

// serveExplain answers a call of explain.Path.
func (h *Host) serveExplain(c echo.Context) error {
	deadline := time.Now().Add(explainBodyTimeout)
	if err := http.NewResponseController(c.Response()).SetReadDeadline(deadline); err != nil {
		return errors.WithStack(err)
	}
	body, err := readlimit.ReadAll(c.Request().Body, c.Request().ContentLength, readlimit.Limits{
		What: "request to explain", Max: explain.MaxRequestBytes, Budget: h.readBudget,
	})
	if readlimit.Exceeded(err) {
		return c.JSON(http.StatusRequestEntityTooLarge, explainFailure{Error: "too_large", Message: err.Error()})
	}
	if err != nil {
		return err
	}
	request, err := explain.DecodeRequest(body)
	if err != nil {
		return c.JSON(http.StatusBadRequest, explainFailure{Error: "bad_request", Message: err.Error()})
	}
	report, err := h.explainer.Explain(request)
	var notReady *explain.NotReadyError
	switch {
	case errors.As(err, &notReady):
		return c.JSON(http.StatusServiceUnavailable, explainFailure{Error: "not_ready", Message: err.Error()})
	case err != nil:
		return err
	}
	return c.JSON(http.StatusOK, report)
}
