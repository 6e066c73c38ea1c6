package proof

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/uber-go/tally/v4"

	"github.com/arbutusgauge/arbutusgauge/internal/front"
	"github.com/arbutusgauge/arbutusgauge/internal/member"
	"github.com/arbutusgauge/arbutusgauge/internal/once"
	"github.com/arbutusgauge/arbutusgauge/internal/release"
	"github.com/arbutusgauge/arbutusgauge/internal/scatter"
)

// Host is an entry host, on which one process at a time runs.
type Host struct {
	sim        *Sim
	info       member.Host // without incarnation
	config     atomic.Pointer[release.Config]
	overloaded atomic.Bool

	mu          sync.Mutex
	process     *process // nil while the host is down
	incarnation uint64
	running     chan struct{} // closed while the host is not paused
	history     []event
}

// event is a change of what the members should know of a host.
type event struct {
	at   time.Time
	up   bool
	info member.Host
}

// process is one run of the daemon.
type process struct {
	host   *Host
	server *front.Server
	dead   atomic.Bool
}

func newHost(s *Sim, info member.Host) *Host {
	h := &Host{sim: s, info: info, running: make(chan struct{})}
	close(h.running)
	h.config.Store(Config())
	return h
}

// Name returns the name.
func (h *Host) Name() string { return h.info.Name }

// Start begins a process with a new incarnation unless one runs.
func (h *Host) Start() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		return
	}
	h.incarnation++
	info := h.info
	info.Incarnation = h.incarnation
	p := &process{host: h}
	p.server = newServer(p, info)
	h.process = p
	h.history = append(h.history, event{at: time.Now(), up: true, info: info})
}

// newServer builds a process over the real front, tickets and scatter.
func newServer(p *process, info member.Host) *front.Server {
	quiet := &log.Logger{Handler: discard.Default, Level: log.FatalLevel}
	// Incarnations of different hosts differ, as sub-request ids need.
	unique := info.Incarnation<<16 | uint64(portOf(info.Addr))
	tickets, err := once.New(once.Options{
		DataCentre: info.DataCentre, Addr: info.Addr, Incarnation: info.Incarnation, TicketsKept: 1 << 12,
	})
	if err != nil {
		panic(err)
	}
	engine, err := scatter.New(scatter.Options{
		Sender: &sender{process: p}, DataCentre: info.DataCentre, Incarnation: unique, Logger: quiet,
	})
	if err != nil {
		panic(err)
	}
	server, err := front.New(front.Options{
		Incarnation: unique,
		Engine:      front.ScatterEngine{Engine: engine},
		Admission:   admission{p}, Configs: configs{p.host}, Members: members{p.host, info},
		Operator: noOperator{}, Replicas: noReplicas{}, Burn: noBurn{},
		Forwarder: forwarder{p}, Tickets: tickets, Log: quiet, Metrics: tally.NoopScope,
	})
	if err != nil {
		panic(err)
	}
	return server
}

func portOf(addr string) uint16 {
	var port uint16
	for _, c := range addr[len("127.0.0.1:"):] {
		port = port*10 + uint16(c-'0')
	}
	return port
}

// Kill ends the process at once: what it holds in memory is gone, what it has
// sent goes on.
func (h *Host) Kill() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.end(h.process)
}

// end records the end of p if it still runs; h.mu is held.
func (h *Host) end(p *process) {
	if p == nil || h.process != p {
		return
	}
	p.dead.Store(true)
	h.process = nil
	h.history = append(h.history, event{at: time.Now()})
}

// Stop ends the process gracefully.
func (h *Host) Stop() {
	p := h.current()
	if p == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_ = p.server.Stop(ctx) // requests that a paused host cuts off are open at the callers
	h.mu.Lock()
	defer h.mu.Unlock()
	h.end(p)
}

// Pause stops the process from doing anything until Resume.
func (h *Host) Pause() {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.running:
		h.running = make(chan struct{})
	default: // paused already
	}
}

// Resume ends a pause.
func (h *Host) Resume() {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.running:
	default:
		close(h.running)
	}
}

// SetOverloaded makes admission refuse every search.
func (h *Host) SetOverloaded(on bool) { h.overloaded.Store(on) }

// SetConfig puts a configuration into force; nil is none.
func (h *Host) SetConfig(cfg *release.Config) { h.config.Store(cfg) }

func (h *Host) current() *process {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.process
}

// pass waits while the host is paused and reports whether the process lives.
func (p *process) pass() bool {
	p.host.mu.Lock()
	running := p.host.running
	p.host.mu.Unlock()
	<-running
	return !p.dead.Load()
}

// known returns the host as the others knew it at a time; ok is false if they
// knew of no process.
func (h *Host) known(at time.Time) (info member.Host, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, e := range h.history {
		if !e.at.After(at) {
			info, ok = e.info, e.up
		}
	}
	return info, ok
}

// members is the member view of one process, which lags.
type members struct {
	host *Host
	self member.Host
}

// View implements member.Members.
func (m members) View() *member.View {
	v := &member.View{Self: m.self}
	for _, h := range m.host.sim.hosts {
		if h == m.host {
			v.Hosts = append(v.Hosts, m.self)
		} else if info, ok := h.known(time.Now().Add(-viewLag)); ok {
			v.Hosts = append(v.Hosts, info)
		}
	}
	return v
}

// Suspect implements member.Members.
func (m members) Suspect(string) {}

type configs struct{ host *Host }

// Current implements front.Configs.
func (c configs) Current() *release.Config { return c.host.config.Load() }

// admission takes some time, in which a host can be paused or killed between
// the use of a ticket and the first sub-request.
type admission struct{ process *process }

// Admit implements front.Admission.
func (a admission) Admit(service *release.Service, _ *release.Search) (func(front.Feedback), error) {
	time.Sleep(admissionTime)
	if !a.process.pass() || a.process.host.overloaded.Load() {
		return nil, &front.OverloadedError{Service: service.Name, RetryAfter: 50 * time.Millisecond}
	}
	return func(front.Feedback) {}, nil
}

type noOperator struct{}

// Apply implements front.Operator.
func (noOperator) Apply(context.Context, string, []byte, bool) (*front.Applied, error) {
	return &front.Applied{}, nil
}

// History implements front.Operator.
func (noOperator) History(context.Context) (*front.History, error) { return &front.History{}, nil }

type noReplicas struct{}

// Replicas implements front.Replicas.
func (noReplicas) Replicas(string) []front.Replica { return nil }

type noBurn struct{}

// Record implements front.Burn.
func (noBurn) Record(front.Observation) {}

// Report implements front.Burn.
func (noBurn) Report() any { return nil }
