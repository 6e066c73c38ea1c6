// Package entry assembles the modules of an entry host and runs them.
package entry

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/oklog/run"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"github.com/arbutusgauge/arbutusgauge/internal/admit"
	"github.com/arbutusgauge/arbutusgauge/internal/backend/httpjson"
	"github.com/arbutusgauge/arbutusgauge/internal/burn"
	"github.com/arbutusgauge/arbutusgauge/internal/front"
	"github.com/arbutusgauge/arbutusgauge/internal/infra"
	"github.com/arbutusgauge/arbutusgauge/internal/infra/httpkv"
	"github.com/arbutusgauge/arbutusgauge/internal/member"
	"github.com/arbutusgauge/arbutusgauge/internal/once"
	"github.com/arbutusgauge/arbutusgauge/internal/owner"
	"github.com/arbutusgauge/arbutusgauge/internal/peer"
	"github.com/arbutusgauge/arbutusgauge/internal/release"
	"github.com/arbutusgauge/arbutusgauge/internal/rollout"
	"github.com/arbutusgauge/arbutusgauge/internal/route"
	"github.com/arbutusgauge/arbutusgauge/internal/scatter"
	"github.com/arbutusgauge/arbutusgauge/internal/settings"
	"github.com/arbutusgauge/arbutusgauge/internal/textmetrics"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

const (
	// metricsInterval is how often the metrics page is updated.
	metricsInterval = time.Second
	// stopTimeout bounds the wait for running requests after drain_wait has
	// passed.
	stopTimeout = 30 * time.Second
)

// Host holds the modules of one entry host.
type Host struct {
	settings    *settings.Entry
	network     Network
	log         log.Interface
	incarnation uint64
	metrics     *textmetrics.Metrics
	scope       tally.Scope
	closeScope  func() error

	platform   infra.Endpoint
	peerClient *peer.Client
	members    *member.Agent
	rollout    *rollout.Agent
	router     *route.Router
	owner      *owner.Owner
	engine     *scatter.Engine
	admission  *admit.Admission
	tickets    *once.Registry
	burn       *burn.Recorder
	front      *front.Server
	peerServer *peer.Server

	httpListener net.Listener
	peerListener net.Listener
}

// Network holds the ways in which a host reaches its peers and the platform. A
// nil field means plain TCP; tests set fields that inject network faults.
type Network struct {
	DialPeer          func(ctx context.Context, addr string) (net.Conn, error)
	PlatformTransport http.RoundTripper
}

// New opens the listeners and creates the modules. After an error everything
// that was opened is closed again.
func New(s *settings.Entry, logger log.Interface, network Network) (*Host, error) {
	h := &Host{
		settings:    s,
		network:     network,
		log:         logger.WithField("host", s.Host),
		incarnation: uint64(time.Now().UnixNano()),
		metrics:     textmetrics.New(),
	}
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Reporter:               h.metrics,
		Tags:                   map[string]string{"host": s.Host, "data_centre": s.DataCentre},
		OmitCardinalityMetrics: true,
	}, metricsInterval)
	h.scope, h.closeScope = scope, closer.Close
	for _, step := range []func() error{
		h.listen, h.newPlatform, h.newPeerClient, h.newMembers, h.newRollout, h.newOwner, h.newEngine, h.newFront,
	} {
		if err := step(); err != nil {
			h.close()
			return nil, err
		}
	}
	return h, nil
}

func (h *Host) listen() error {
	var err error
	if h.httpListener, err = net.Listen("tcp", h.settings.HTTP.Listen); err != nil {
		return errors.Wrap(err, "http.listen")
	}
	if h.peerListener, err = net.Listen("tcp", h.settings.Peer.Listen); err != nil {
		return errors.Wrap(err, "peer.listen")
	}
	return nil
}

func (h *Host) newPlatform() error {
	var endpoints []infra.Endpoint
	for _, url := range h.settings.Platform.URLs {
		client, err := httpkv.New(httpkv.Options{
			URL:         url,
			CallTimeout: h.settings.Platform.Timeout.D(),
			Transport:   h.network.PlatformTransport,
		})
		if err != nil {
			return err
		}
		endpoints = append(endpoints, client)
	}
	h.platform = infra.NewFailover(endpoints)
	return nil
}

func (h *Host) newPeerClient() error {
	var err error
	h.peerClient, err = peer.NewClient(peer.Options{
		Self:         h.settings.Host,
		Dial:         h.network.DialPeer,
		OnDialFailed: func(addr string) { h.members.Suspect(addr) },
		Scope:        h.scope.SubScope("peer"),
		Logger:       h.log,
	})
	return err
}

func (h *Host) newMembers() error {
	var err error
	h.members, err = member.New(member.Options{
		Self: member.Host{
			Name:        h.settings.Host,
			Addr:        h.settings.Peer.Advertise,
			HTTPAddr:    h.settings.HTTP.Advertise,
			DataCentre:  h.settings.DataCentre,
			Incarnation: h.incarnation,
		},
		Seeds:    h.settings.Seeds,
		Gossiper: h.peerClient,
		Scope:    h.scope.SubScope("member"),
		Log:      h.log,
	})
	return err
}

func (h *Host) newRollout() error {
	var err error
	h.rollout, err = rollout.New(rollout.Options{
		Store:   h.platform,
		Fetcher: h.peerClient,
		Members: h.members,

		Check:     release.Check,
		ApplyNote: release.Apply,
		Scope:     h.scope.SubScope("rollout"),
		Log:       h.log,
	})
	if err != nil {
		return err
	}
	h.members.OnNewerConfig(h.rollout.AddVersionHint)
	h.rollout.OnAdopt(h.adoptConfig)
	return nil
}

// adoptConfig passes a configuration to the modules that keep state derived
// from it, and announces its version to the peers.
func (h *Host) adoptConfig(cfg *release.Config) {
	h.owner.SetConfig(cfg)
	h.engine.Retain(cfg)
	h.admission.Retain(func(service string) bool { return cfg.Services[service] != nil })
	h.members.SetConfigVersion(cfg.Version)
	h.members.Announce(cfg.Version)
}

// newOwner creates the owner and the router, which is its source of ownership.
func (h *Host) newOwner() error {
	dialer, err := httpjson.NewDialer(httpjson.Options{})
	if err != nil {
		return err
	}
	h.router = route.New(route.Options{
		Config:  h.rollout.Current,
		Members: h.members,
		Local:   localSender{h},
		Peers:   h.peerClient,
		Scope:   h.scope.SubScope("route"),
	})
	h.owner, err = owner.New(owner.Options{
		DataCentre: h.settings.DataCentre,
		Dialer:     dialer,
		Ownership:  h.router,
		LeavingServer: func(replica wire.ReplicaID) bool {
			return h.members.View().LeavingServers[replica]
		},
		Scope:  h.scope.SubScope("owner"),
		Logger: h.log,
	})
	return err
}

// localSender sends to the owner of this host. Router and owner refer to each
// other and the router is created first, so the owner is looked up in each call.
type localSender struct{ host *Host }

// Send implements wire.Sender.
func (s localSender) Send(subs []wire.SubRequest, done func([]wire.Reply)) {
	s.host.owner.Send(subs, done)
}

// Cancel implements wire.Sender.
func (s localSender) Cancel(ids []wire.SubRequestID) { s.host.owner.Cancel(ids) }

// newEngine creates the query engine and the admission control.
func (h *Host) newEngine() error {
	delays := map[string]time.Duration{}
	for name, delay := range h.settings.Delays {
		delays[name] = delay.D()
	}
	var err error
	h.engine, err = scatter.New(scatter.Options{
		Sender:       h.router,
		StatusSource: replicaStatusSource{selfAddr: h.settings.Peer.Advertise, router: h.router, owner: h.owner, client: h.peerClient},
		Config:       h.rollout.Current,
		DataCentre:   h.settings.DataCentre,
		Delays:       delays,

		DefaultDelay: h.settings.DefaultDelay.D(),
		Incarnation:  h.incarnation,
		Scope:        h.scope.SubScope("scatter"),
		Logger:       h.log,
	})
	if err != nil {
		return err
	}
	h.admission, err = admit.New(admit.Options{Scope: h.scope.SubScope("admit")})
	return err
}

// newFront creates the HTTP server with the modules that only it uses, and the
// server for peers.
func (h *Host) newFront() error {
	var err error
	h.tickets, err = once.New(once.Options{
		DataCentre:  h.settings.DataCentre,
		Addr:        h.settings.Peer.Advertise,
		Incarnation: h.incarnation,
	})
	if err != nil {
		return err
	}
	h.burn, err = burn.New(burn.Options{Host: h.settings.Host, DataCentre: h.settings.DataCentre})
	if err != nil {
		return err
	}
	h.front, err = front.New(front.Options{
		Listener:    h.httpListener,
		Incarnation: h.incarnation,
		Engine:      front.ScatterEngine{Engine: h.engine},
		Admission:   front.AdaptiveAdmission{Admission: h.admission},
		Configs:     h.rollout,
		Operator:    front.RolloutOperator{Agent: h.rollout},
		Members:     h.members,
		Replicas:    front.OwnerReplicas{Owner: h.owner},
		Burn:        front.BurnRecorder{Recorder: h.burn},
		Forwarder:   ticketForwarder{h.peerClient},
		Tickets:     h.tickets,
		Log:         h.log,
		Metrics:     h.scope.SubScope("front"),
		MetricsText: h.metrics,
		// front.New replaces 0 by its default; 1 ns stands for no wait.
		DrainWait:   max(h.settings.DrainWait.D(), time.Nanosecond),
		StopTimeout: stopTimeout,
		BodyLimit:   h.settings.Limits.RequestBytes,
		NoteLimit:   h.settings.Limits.NoteBytes,
		OpenLimit:   int64(h.settings.Limits.OpenRequests),
		HeaderLimit: h.settings.Limits.HeaderBytes,
		IdleTimeout: h.settings.Limits.IdleTimeout.D(),

		HeaderTimeout: h.settings.Limits.HeaderTimeout.D(),
	})
	if err != nil {
		return err
	}
	h.peerServer = peer.NewServer(h.owner, peerHandlers{h}, h.scope.SubScope("peer_server"))
	return nil
}

func (h *Host) close() {
	if h.httpListener != nil {
		_ = h.httpListener.Close()
	}
	if h.peerListener != nil {
		_ = h.peerListener.Close()
	}
	if h.peerClient != nil {
		h.peerClient.Close()
	}
	_ = h.closeScope()
}

// Run serves until ctx ends, then stops gracefully: it announces that the host
// is leaving, goes on serving for drain_wait, and returns when the requests of
// callers and peers are finished. It returns an error when a module failed.
func (h *Host) Run(ctx context.Context) error {
	defer h.close()
	h.log.WithField("http", h.settings.HTTP.Advertise).WithField("peer", h.settings.Peer.Advertise).
		WithField("incarnation", h.incarnation).Info("entry host started")
	var group run.Group
	h.addContextActor(&group, ctx)
	h.addFront(&group)
	for _, actor := range []func(context.Context) error{
		func(ctx context.Context) error { return h.peerServer.Serve(ctx, h.peerListener) },
		h.owner.Run, h.rollout.Run, h.watchHostList, h.maintainPeerStreams, h.peerClient.Run, h.members.Run,
	} {
		addActor(&group, actor)
	}
	err := group.Run()
	h.log.Info("entry host stopped")
	return err
}

// addContextActor adds an actor that ends the group when ctx ends.
func (h *Host) addContextActor(group *run.Group, ctx context.Context) {
	stop := make(chan struct{})
	group.Add(func() error {
		select {
		case <-ctx.Done():
		case <-stop:
		}
		return nil
	}, func(error) { close(stop) })
}

// addFront adds the HTTP server. It must be added before the modules that
// requests need: actors are interrupted in the order in which they are added,
// and the interrupt of this one returns only when no request is left or the
// time limit has passed.
func (h *Host) addFront(group *run.Group) {
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error { return h.front.Run(ctx) }, func(error) {
		h.members.Leave()
		stopCtx, cancelStop := context.WithTimeout(context.Background(), h.settings.DrainWait.D()+stopTimeout)
		defer cancelStop()
		if err := h.front.Stop(stopCtx); err != nil {
			h.log.WithError(err).Error("stop cut off requests")
		}
		h.peerServer.Drain(stopCtx)
		if err := h.owner.Stop(stopCtx); err != nil {
			h.log.WithError(err).Error("stop left sub-requests running")
		}
		cancel()
	})
}

func addActor(group *run.Group, run func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error { return run(ctx) }, func(error) { cancel() })
}
