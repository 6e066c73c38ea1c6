// Package edge assembles and runs the modules of an entry host on the users'
// platform. All hosts have the same role: each connects to the replicas itself
// and stores nothing.
package edge

import (
	"context"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/labstack/echo/v4"
	"github.com/oklog/run"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"github.com/arbutusgauge/arbutusgauge/internal/aggregate"
	"github.com/arbutusgauge/arbutusgauge/internal/boottime"
	"github.com/arbutusgauge/arbutusgauge/internal/catalog"
	"github.com/arbutusgauge/arbutusgauge/internal/explain"
	"github.com/arbutusgauge/arbutusgauge/internal/failover"
	"github.com/arbutusgauge/arbutusgauge/internal/gateway"
	"github.com/arbutusgauge/arbutusgauge/internal/lead"
	"github.com/arbutusgauge/arbutusgauge/internal/owner"
	"github.com/arbutusgauge/arbutusgauge/internal/quarantine"
	"github.com/arbutusgauge/arbutusgauge/internal/quota"
	"github.com/arbutusgauge/arbutusgauge/internal/ratelimit"
	"github.com/arbutusgauge/arbutusgauge/internal/readlimit"
	"github.com/arbutusgauge/arbutusgauge/internal/scatter"
	"github.com/arbutusgauge/arbutusgauge/internal/textmetrics"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
	"github.com/arbutusgauge/arbutusgauge/platform"
)

// Host is the process of one entry host.
type Host struct {
	settings     *platform.Settings
	log          log.Interface
	metrics      *textmetrics.Metrics
	scope        tally.Scope
	closeMetrics func() error
	stopping     atomic.Bool
	// requestsEnd ends when requests must no longer run, because the process is about to
	// end.
	requestsEnd context.Context
	endRequests context.CancelFunc
	// extraLoad and extraBurst are the settings of the retry budget in use.
	extraLoad  float64
	extraBurst int
	readBudget *readlimit.Budget // for messages of replicas, peers and callers

	catalog       *catalog.Catalog
	lead          *lead.Agent
	hostCount     lead.HostCount // used by OnFleet only, which has no concurrent calls
	owner         *owner.Owner
	rateLimits    *ratelimit.Registry
	quarantine    *quarantine.Registry
	quotas        *quota.Registry
	permitLeaders leaderList
	engine        *scatter.Engine
	gateway       *gateway.Gateway
	callerHandler *platform.CallerHandler
	failover      *failover.Client
	explainer     *explain.Explainer
	reachability  *reachability
	// holding are the data centres that hold the replicas of merged queries.
	holding atomic.Pointer[map[string]bool]

	// dialReplica opens the connections to replicas; nil: the network does.
	dialReplica platform.DialFunc

	servers []*server
}

// Option changes a new host.
type Option func(*Host)

// DialReplicasWith makes a host open its connections to replicas by a function, in place of
// the network.
func DialReplicasWith(dial platform.DialFunc) Option {
	return func(h *Host) { h.dialReplica = dial }
}

// server is one HTTP server with its listener.
type server struct {
	http     *http.Server
	listener net.Listener
}

// New creates the modules and opens the listeners. It also sets the process's
// limits for the garbage collector.
func New(settings *platform.Settings, logger log.Interface, options ...Option) (*Host, error) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(settings.MemoryBytes / memoryLimitDivisor)
	h := &Host{settings: settings, log: logger, metrics: textmetrics.New(), extraLoad: settings.ExtraLoad, extraBurst: settings.ExtraBurst}
	for _, option := range options {
		option(h)
	}
	h.requestsEnd, h.endRequests = context.WithCancel(context.Background())
	h.readBudget = readlimit.NewBudget(readlimit.BudgetOf(settings.MemoryBytes))
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Reporter: h.metrics, OmitCardinalityMetrics: true,
	}, metricsInterval)
	h.scope, h.closeMetrics = scope, closer.Close
	for _, step := range []func() error{h.newCatalog, h.newQueryModules, h.newCallerHandler, h.listen} {
		if err := step(); err != nil {
			h.close()
			return nil, err
		}
	}
	return h, nil
}

// newCatalog creates the modules that keep the table, the servers and the seats, and those
// whose state they pass on to peers.
func (h *Host) newCatalog() error {
	store := platform.NewStore(h.settings.StoreAddr, h.scope.SubScope("store"), h.log)
	if err := h.newRateLimits(); err != nil {
		return err
	}
	if err := h.newQuarantine(store); err != nil {
		return err
	}
	if err := h.newQuotas(); err != nil {
		return err
	}
	if err := h.newLead(store); err != nil {
		return err
	}
	var err error
	h.catalog, err = catalog.New(catalog.Options{
		Source:       store,
		AnswerMargin: answerMargin,
		Leadership:   h.lead,
		RateLimits:   h.rateLimits,
		Quarantine:   peerRecords{h.quarantine},
		HostName:     h.settings.Host,
		PeerAddr:     h.settings.PeerAddr,
		Cores:        h.settings.Cores,
		Clock:        boottime.Now,
		ExtraLoad:    h.settings.ExtraLoad * extraBudgetShare,
		ExtraBurst:   int(float64(h.settings.ExtraBurst) * extraBudgetShare),
		Scope:        h.scope.SubScope("catalog"),
		Logger:       h.log,
	})
	return err
}

// newRateLimits creates the module that keeps the rate limits of replicas.
func (h *Host) newRateLimits() error {
	var err error
	h.rateLimits, err = ratelimit.New(ratelimit.Options{
		Clock:        boottime.Now,
		Leaders:      h.permitLeaders.get,
		DataCentreOf: func(replica wire.ReplicaID) string { return h.owner.DataCentreOf(replica) },
		Unusable:     func(replica wire.ReplicaID) bool { return h.owner.Evacuated(replica) },
		Transport:    ratelimit.NewHTTPTransport(),
		Scope:        h.scope.SubScope("ratelimit"),
		Logger:       h.log,
	})
	return err
}

// newQuarantine creates the module that keeps requests away from the servers that they
// crash.
func (h *Host) newQuarantine(store *platform.Store) error {
	var err error
	h.quarantine, err = quarantine.New(quarantine.Options{
		Addr:      h.settings.PeerAddr,
		Clock:     boottime.Now,
		Leaders:   h.permitLeaders.otherAddrs,
		Leads:     func() bool { return h.lead.Leads() },
		Followers: func() []string { return h.lead.Followers() },
		Transport: quarantine.NewHTTPTransport(),
		Store:     platform.NewVerdictStore(store),
		Reads:     func() bool { return h.lead.Reads() },
		HasState:  h.hasState,
		Scope:     h.scope.SubScope("quarantine"),
		Logger:    h.log,
	})
	return err
}

// newLead creates the agent for the seats of the entry hosts.
func (h *Host) newLead(store *platform.Store) error {
	var err error
	h.lead, err = lead.New(lead.Options{
		Registry: platform.NewSeatRegistry(store),
		Host: lead.Host{
			Name: h.settings.Host, DataCentre: h.settings.DataCentre, PeerAddr: h.settings.PeerAddr, Cores: h.settings.Cores,
		},
		Seeds: h.settings.Seeds,
		OnFleet: func(fleet lead.Fleet) {
			hosts := h.hostCount.Update(fleet.Hosts(), time.Now())
			h.permitLeaders.publish(fleet, h.settings.Host, boottime.Now())
			h.catalog.SetShare(shareOf(fleet, hosts, h.settings.Host))
			h.rateLimits.SetHosts(hosts)
			h.quotas.SetHosts(hosts)
		},
		Logger: h.log,
	})
	return err
}

// ownsAll makes this host the owner of every replica, because each host connects
// to the replicas itself, within its share of their connections.
type ownsAll struct{}

// Owns implements owner.Ownership.
func (ownsAll) Owns(string, uint32, wire.ReplicaID) bool { return true }

// newQueryModules creates the modules that run queries on replicas.
func (h *Host) newQueryModules() error {
	var err error
	h.owner, err = owner.New(owner.Options{
		DataCentre:             h.settings.DataCentre,
		AllDataCentres:         true,
		SkipRoutineStatusCalls: true,
		KeepSilentRuns:         true,
		WarmConnections:        warmConnections,
		Clock:                  boottime.Now,
		Dialer:                 platform.NewDialer(h.dialReplica, h.readBudget, h.catalog.HealthPath, h.scope.SubScope("replica"), h.log),
		Ownership:              ownsAll{},
		RateLimiter:            h.rateLimits,
		Suspects:               h.quarantine,
		Scope:                  h.scope.SubScope("owner"),
		Logger:                 h.log,
		Timings: owner.Timings{
			CancelAfter:   cancelAfter,
			DeadlineGrace: cancelAfter,
			MinSilence:    minSilence,
			ProbeTimeout:  probeTimeout,
			DialTimeout:   dialTimeout,
			IdleTimeout:   replicaIdleTimeout,
		},
	})
	if err != nil {
		return err
	}
	h.engine, err = scatter.New(scatter.Options{
		Sender:        h.owner,
		DataCentre:    h.settings.DataCentre,
		DefaultDelay:  crossDataCentreDelay,
		Incarnation:   uint64(time.Now().UnixNano()),
		MinHedgeDelay: minHedgeDelay,
		EstimateWait:  h.owner.EstimateWait,
		Silent:        h.isSilent,
		RateLimited:   h.isRateLimited,
		PermitIn:      h.permitIn,
		BackoffOf:     h.backoffOf,
		Uncertainty:   h.owner.StatedUncertainty,
		Quarantined:   h.quarantine.Quarantined,
		Scope:         h.scope.SubScope("scatter"),
		Logger:        h.log,
	})
	h.reachability = &reachability{
		obstacle:           h.owner.Obstacle,
		isEvacuated:        h.owner.Evacuated,
		lastHeardElsewhere: func() time.Time { return h.owner.LastHeardOutside(h.settings.DataCentre) },
		log:                h.log,
	}
	h.catalog.OnChange(func(v *catalog.View) {
		// Before SetConfig, so that new replicas are neither used without their limits nor
		// connected while they are out of use.
		h.rateLimits.SetWarmUps(v.WarmUps)
		h.owner.SetEvacuated(v.Evacuated)
		h.owner.SetConfig(v.Config)
		h.engine.Retain(v.Config)
		holding := holdingDataCentres(v.Config)
		h.holding.Store(&holding)
	})
	return err
}

// newCallerHandler creates the handler of callers' requests and the gateway that
// it calls.
func (h *Host) newCallerHandler() error {
	forwarder := aggregate.New(aggregate.Options{
		Peers:  h.aggregatorPeers,
		Budget: h.readBudget,
		Scope:  h.scope.SubScope("aggregate"),
		Logger: h.log,
	})
	h.explainer = h.newExplainer(forwarder)
	if err := h.newFailover(forwarder); err != nil {
		return err
	}
	var err error
	h.gateway, err = gateway.New(gateway.Options{
		Engine: h.engine, View: h.catalog.View, Scope: h.scope.SubScope("gateway"),
		Forwarder: forwarder, Failover: h.failover, OnNewerTable: h.catalog.CatchUp, OnLeaving: h.owner.NoteLeaving,
		Permits: h.rateLimits, Quarantine: h.quarantine, Quotas: h.quotas,
	})
	if err != nil {
		return err
	}
	h.callerHandler = platform.NewCallerHandler(h.gateway, h.readBudget, h.catalog.View, h.isLeaving, h.log)
	return nil
}

// aggregatorPeers returns the hosts to forward merged queries to.
func (h *Host) aggregatorPeers() [][]aggregate.Peer {
	var holding map[string]bool
	if known := h.holding.Load(); known != nil {
		holding = *known
	}
	return aggregatorPeers(h.lead.Fleet(), lead.Host{DataCentre: h.settings.DataCentre, Cores: h.settings.Cores}, holding)
}

// backoffOf is Owner.BackoffOf, but 0 for a replica out of use: its return does not depend on
// the time for which it wants no requests.
func (h *Host) backoffOf(replica wire.ReplicaID) time.Duration {
	if h.owner.Evacuated(replica) {
		return 0
	}
	return h.owner.BackoffOf(replica)
}

// isRateLimited is Registry.Limited, but false for a replica out of use: a permit would not help.
func (h *Host) isRateLimited(replica wire.ReplicaID) bool {
	return !h.owner.Evacuated(replica) && h.rateLimits.Limited(replica)
}

// permitIn is Registry.RetryIn, but 0 for a replica out of use.
func (h *Host) permitIn(replica wire.ReplicaID) time.Duration {
	if h.owner.Evacuated(replica) {
		return 0
	}
	return h.rateLimits.ColdPermitIn(replica)
}

// isLeaving reports whether callers and peers should use another host, because
// this one is stopping or cut off.
func (h *Host) isLeaving() bool { return h.stopping.Load() || h.reachability.isCutOff() }

// serveReadiness answers the readiness check: status 503 while the host stops or
// can't serve, else 200.
func (h *Host) serveReadiness(c echo.Context) error {
	if h.stopping.Load() || !h.quarantine.Started() || !h.reachability.canServe(h.catalog.View()) {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	return c.NoContent(http.StatusOK)
}

// listen opens the listeners whose addresses are set: for callers, readiness
// checks, peers and metrics.
func (h *Host) listen() error {
	readiness := echo.New()
	readiness.GET(platform.PathReady, h.serveReadiness)
	peers := echo.New()
	peers.GET(catalog.PathState, echo.WrapHandler(http.HandlerFunc(h.serveState)))
	peers.POST(ratelimit.PathPermits, echo.WrapHandler(h.rateLimits.Handler()))
	peers.POST(quarantine.PathRecords, echo.WrapHandler(h.quarantine.RecordsHandler()))
	peers.POST(quota.PathQuota, echo.WrapHandler(h.quotas.Handler()))
	peers.POST(quarantine.PathTrials, echo.WrapHandler(h.quarantine.TrialsHandler()))
	peers.POST(failover.PathReach, echo.WrapHandler(failover.NewHandler(h.reachReport, h.log)))
	queries := aggregate.NewServer(h.gateway, h.isLeaving, h.readBudget, h.scope.SubScope("aggregate"), h.log)
	peers.POST(aggregate.PathQuery, func(c echo.Context) error {
		// echo's own writer would take the interim response for the final one.
		endAtStop(h.requestsEnd, queries).ServeHTTP(c.Response().Writer, c.Request())
		return nil
	})
	metrics := echo.New()
	metrics.GET("/metrics", func(c echo.Context) error {
		_, err := h.metrics.WriteTo(c.Response())
		return errors.WithStack(err)
	})
	metrics.POST(explain.Path, h.serveExplain)
	for _, s := range []struct {
		addr    string
		handler http.Handler
	}{
		{h.settings.CallerAddr, endAtStop(h.requestsEnd, h.callerHandler)}, {h.settings.ReadyAddr, readiness}, {h.settings.PeerAddr, peers}, {h.settings.MetricsAddr, metrics},
	} {
		if s.addr == "" {
			continue
		}
		listener, err := net.Listen("tcp", s.addr)
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		h.servers = append(h.servers, &server{listener: headLimitListener{listener}, http: &http.Server{
			Handler:           endHeadLimit(s.handler),
			ConnContext:       rememberConn,
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
		}})
	}
	return nil
}

// close closes the listeners and reports the last metrics.
func (h *Host) close() {
	h.endRequests()
	for _, s := range h.servers {
		_ = s.listener.Close()
	}
	if err := h.closeMetrics(); err != nil {
		h.log.WithError(err).Warn("metrics not closed")
	}
}

// Run serves until ctx ends, then stops: the readiness check fails, the host goes
// on serving while the load balancer removes it, finishes running requests and
// returns. A signal on settingsChanged means that the settings file may have
// changed.
func (h *Host) Run(ctx context.Context, settingsChanged <-chan os.Signal) error {
	defer h.close()
	h.log.WithFields(log.Fields{"host": h.settings.Host, "data_centre": h.settings.DataCentre}).Info("started")
	var group run.Group
	h.addShutdown(&group, ctx)
	for _, actor := range []func(context.Context) error{
		h.owner.Run, h.catalog.Run, h.lead.Run, h.quarantine.Run, h.quotas.Run, h.failover.Run,
		func(ctx context.Context) error { return h.catalog.StartFromPeers(ctx, h.settings.Seeds) },
		func(ctx context.Context) error { return h.watchSettings(ctx, settingsChanged) },
	} {
		ctx, cancel := context.WithCancel(context.Background())
		group.Add(func() error { return actor(ctx) }, func(error) { cancel() })
	}
	for _, s := range h.servers {
		stopped := make(chan struct{})
		group.Add(func() error { return s.serve(stopped) }, func(error) {
			close(stopped)
			_ = s.http.Close()
		})
	}
	err := group.Run()
	h.log.Info("stopped")
	return err
}

// addShutdown adds an actor to the group that shuts the host down when ctx ends,
// which then ends the group.
func (h *Host) addShutdown(group *run.Group, ctx context.Context) {
	stop := make(chan struct{})
	group.Add(func() error {
		select {
		case <-ctx.Done():
			h.shutDown()
		case <-stop:
		}
		return nil
	}, func(error) { close(stop) })
}

// shutDown fails the readiness check, waits until the load balancer has removed
// this host, and finishes the running requests of callers and the queries that run
// for peers. Those that take too long are answered as failed.
func (h *Host) shutDown() {
	h.log.Info("stopping")
	h.stopping.Store(true)
	time.Sleep(max(0, h.settings.StopTimeout-shutdownReserve))
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTime)
	defer cancel()
	time.AfterFunc(answerTimeAtStop, h.endRequests)
	var servers sync.WaitGroup
	for _, s := range h.servers {
		servers.Go(func() {
			if err := s.http.Shutdown(shutdownCtx); err != nil {
				h.log.WithError(err).WithField("listener", s.listener.Addr().String()).Error("stop cut off requests")
			}
		})
	}
	servers.Wait()
}

// serve serves until stopped is closed. http.Server.Serve returns at the start of
// a shutdown, while requests still run; a return then would end all actors.
func (s *server) serve(stopped <-chan struct{}) error {
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		<-stopped
		return nil
	}
	return errors.WithStack(err)
}
