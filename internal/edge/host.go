// Package edge puts the modules of an entry host on the users' platform
// together and runs them. All hosts are alike: each reaches the replicas
// itself and keeps nothing.
package edge

import (
	"context"
	"net"
	"net/http"
	"os"
	"runtime/debug"
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
	"github.com/arbutusgauge/arbutusgauge/internal/gateway"
	"github.com/arbutusgauge/arbutusgauge/internal/lead"
	"github.com/arbutusgauge/arbutusgauge/internal/owner"
	"github.com/arbutusgauge/arbutusgauge/internal/scatter"
	"github.com/arbutusgauge/arbutusgauge/internal/textmetrics"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
	"github.com/arbutusgauge/arbutusgauge/platform"
)

// Host is the process of one entry host.
type Host struct {
	settings *platform.Settings
	log      log.Interface
	metrics  *textmetrics.Metrics
	scope    tally.Scope
	closer   func() error
	stopping atomic.Bool
	// extraLoad and extraBurst are those of the settings in use.
	extraLoad  float64
	extraBurst int

	catalog *catalog.Catalog
	lead    *lead.Agent
	hosts   lead.Count // used by one callback at a time
	owner   *owner.Owner
	engine  *scatter.Engine
	gateway *gateway.Gateway
	front   *platform.Front
	reach   *reach

	servers []*server
}

// server is one HTTP server with its listener.
type server struct {
	http     *http.Server
	listener net.Listener
}

// New opens the listeners and puts the modules together.
func New(settings *platform.Settings, logger log.Interface) (*Host, error) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(settings.MemoryBytes / memoryShare)
	h := &Host{settings: settings, log: logger, metrics: textmetrics.New(), extraLoad: settings.ExtraLoad, extraBurst: settings.ExtraBurst}
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Reporter: h.metrics, OmitCardinalityMetrics: true,
	}, metricsInterval)
	h.scope, h.closer = scope, closer.Close
	for _, step := range []func() error{h.newCatalog, h.newQueries, h.newFront, h.listen} {
		if err := step(); err != nil {
			h.close()
			return nil, err
		}
	}
	return h, nil
}

func (h *Host) newCatalog() error {
	store := platform.NewStore(h.settings.Store, h.scope.SubScope("store"), h.log)
	var err error
	h.lead, err = lead.New(lead.Options{
		Registry: platform.NewRegistry(store),
		Host: lead.Host{
			Name: h.settings.Host, DataCentre: h.settings.DataCentre, Peers: h.settings.Peers, Cores: h.settings.Cores,
		},
		OnFleet: func(fleet lead.Fleet) {
			hosts := h.hosts.Update(fleet.Hosts(), time.Now())
			h.catalog.SetShare(shareOf(fleet, hosts, h.settings.Host))
		},
		Logger: h.log,
	})
	if err != nil {
		return err
	}
	h.catalog, err = catalog.New(catalog.Options{
		Source:       store,
		AnswerMargin: answerMargin,
		Relay:        h.lead,
		Name:         h.settings.Host,
		Cores:        h.settings.Cores,
		Clock:        boottime.Now,
		ExtraLoad:    h.settings.ExtraLoad * extraShare,
		ExtraBurst:   int(float64(h.settings.ExtraBurst) * extraShare),
		Scope:        h.scope.SubScope("catalog"),
		Logger:       h.log,
	})
	return err
}

// ownsAll makes this host the owner of every replica that it uses: it reaches
// them itself, within its share of their connections.
type ownsAll struct{}

// Owns implements owner.Ownership.
func (ownsAll) Owns(string, uint32, wire.ReplicaID) bool { return true }

func (h *Host) newQueries() error {
	var err error
	h.owner, err = owner.New(owner.Options{
		DataCentre:      h.settings.DataCentre,
		AllDataCentres:  true,
		Passive:         true,
		WarmConnections: warmConnections,
		Dialer:          platform.NewDialer(),
		Ownership:       ownsAll{},
		Scope:           h.scope.SubScope("owner"),
		Logger:          h.log,
		Timings: owner.Timings{
			CancelAfter:  cancelAfter,
			Grace:        cancelAfter,
			SilentAfter:  silentAfter,
			ProbeTimeout: probeTimeout,
			DialTimeout:  dialTimeout,
			IdleClose:    idleClose,
		},
	})
	if err != nil {
		return err
	}
	h.engine, err = scatter.New(scatter.Options{
		Sender:        h.owner,
		DataCentre:    h.settings.DataCentre,
		DefaultDelay:  otherDataCentre,
		Incarnation:   uint64(time.Now().UnixNano()),
		MinHedgeDelay: leastHedgeDelay,
		Outlook:       h.owner.Outlook,
		Scope:         h.scope.SubScope("scatter"),
		Logger:        h.log,
	})
	h.reach = &reach{
		usable: h.owner.Usable,
		heard:  func() time.Time { return h.owner.Heard(h.settings.DataCentre) },
		log:    h.log,
	}
	h.catalog.OnChange(func(v *catalog.View) {
		h.owner.SetConfig(v.Config)
		h.engine.Retain(v.Config)
	})
	return err
}

func (h *Host) newFront() error {
	forwarder := aggregate.New(aggregate.Options{
		Peers:  func() [][]string { return aggregators(h.lead.Fleet(), h.settings.DataCentre, h.settings.Cores) },
		Scope:  h.scope.SubScope("aggregate"),
		Logger: h.log,
	})
	var err error
	h.gateway, err = gateway.New(gateway.Options{
		Engine: h.engine, View: h.catalog.View, Forwarder: forwarder, Behind: h.catalog.CatchUp, Scope: h.scope.SubScope("gateway"),
	})
	if err != nil {
		return err
	}
	h.front = platform.NewFront(h.gateway, h.catalog.View, h.leaving, h.log)
	return nil
}

// leaving reports whether callers should go to another host.
func (h *Host) leaving() bool { return h.stopping.Load() || h.reach.cut() }

// ready answers the readiness check.
func (h *Host) ready(c echo.Context) error {
	if h.stopping.Load() || !h.reach.serves(h.catalog.View()) {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	return c.NoContent(http.StatusOK)
}

func (h *Host) listen() error {
	readiness := echo.New()
	readiness.GET(platform.PathReady, h.ready)
	peers := echo.New()
	peers.GET(catalog.PathState, echo.WrapHandler(http.HandlerFunc(h.catalog.ServeState)))
	queries := aggregate.NewServer(h.gateway, h.leaving, h.scope.SubScope("aggregate"), h.log)
	peers.POST(aggregate.PathQuery, func(c echo.Context) error {
		// echo takes an interim response for the final one.
		queries.ServeHTTP(c.Response().Writer, c.Request())
		return nil
	})
	metrics := echo.New()
	metrics.GET("/metrics", func(c echo.Context) error {
		_, err := h.metrics.WriteTo(c.Response())
		return errors.WithStack(err)
	})
	for _, s := range []struct {
		addr    string
		handler http.Handler
	}{
		{h.settings.Callers, h.front}, {h.settings.Ready, readiness}, {h.settings.Peers, peers}, {h.settings.Metrics, metrics},
	} {
		if s.addr == "" {
			continue
		}
		listener, err := net.Listen("tcp", s.addr)
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		h.servers = append(h.servers, &server{listener: listener, http: &http.Server{
			Handler:           s.handler,
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
		}})
	}
	return nil
}

func (h *Host) close() {
	for _, s := range h.servers {
		_ = s.listener.Close()
	}
	if err := h.closer(); err != nil {
		h.log.WithError(err).Warn("metrics not closed")
	}
}

// Run serves until ctx ends, then stops: it reports that it is not ready, goes
// on serving while the balancer takes it out, finishes what runs and returns.
// changed tells that the settings file may have changed.
func (h *Host) Run(ctx context.Context, changed <-chan os.Signal) error {
	defer h.close()
	h.log.WithFields(log.Fields{"host": h.settings.Host, "data_centre": h.settings.DataCentre}).Info("started")
	var group run.Group
	h.addStop(&group, ctx)
	for _, actor := range []func(context.Context) error{
		h.owner.Run, h.catalog.Run, h.lead.Run,
		func(ctx context.Context) error { return h.catalog.StartFromPeers(ctx, h.settings.Seeds) },
		func(ctx context.Context) error { return h.watchSettings(ctx, changed) },
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

// addStop ends the group when ctx ends and the stop is carried out.
func (h *Host) addStop(group *run.Group, ctx context.Context) {
	stop := make(chan struct{})
	group.Add(func() error {
		select {
		case <-ctx.Done():
			h.stop()
		case <-stop:
		}
		return nil
	}, func(error) { close(stop) })
}

func (h *Host) stop() {
	h.log.Info("stopping")
	h.stopping.Store(true)
	time.Sleep(max(0, h.settings.StopWithin-stopReserve))
	limit, cancel := context.WithTimeout(context.Background(), stopReserve/2)
	defer cancel()
	// The first server is that of the callers.
	if err := h.servers[0].http.Shutdown(limit); err != nil {
		h.log.WithError(err).Error("stop cut off requests")
	}
}

// serve returns after the stop: a shutdown ends Serve while requests still run,
// and the end of one actor ends all.
func (s *server) serve(stopped <-chan struct{}) error {
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		<-stopped
		return nil
	}
	return errors.WithStack(err)
}
