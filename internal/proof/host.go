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

// Host is a simulated entry host. At most one process runs on it at a time.
type Host struct {
	sim        *Sim
	info       member.Host // without the incarnation, which each process has of its own
	config     atomic.Pointer[release.Config]
	overloaded atomic.Bool

	mu          sync.Mutex
	process     *process // nil while the host is down
	incarnation uint64
	unpaused    chan struct{} // closed unless the host is paused
	history     []lifecycleEvent
}

// lifecycleEvent is the start or the end of a process. The other hosts learn of it
// viewLag later.
type lifecycleEvent struct {
	at   time.Time
	up   bool
	info member.Host
}

// process is one process of an entry host, from its start to its end.
type process struct {
	host   *Host
	server *front.Server
	dead   atomic.Bool
}

func newHost(s *Sim, info member.Host) *Host {
	h := &Host{sim: s, info: info, unpaused: make(chan struct{})}
	close(h.unpaused)
	h.config.Store(Config())
	return h
}

// Name returns the host's name, which has the form "<data centre>-<number>".
func (h *Host) Name() string { return h.info.Name }

// Start starts a process with a new incarnation unless one runs.
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
	h.history = append(h.history, lifecycleEvent{at: time.Now(), up: true, info: info})
}

// newServer returns the front server of a process. Front, tickets and scatter are
// the real packages; admission, members, links and shards are simulated.
func newServer(p *process, info member.Host) *front.Server {
	logger := &log.Logger{Handler: discard.Default, Level: log.FatalLevel}
	// Ids of sub-requests hold the incarnation, which must differ between hosts.
	incarnation := info.Incarnation<<16 | uint64(portOf(info.Addr))
	tickets, err := once.New(once.Options{
		DataCentre: info.DataCentre, Addr: info.Addr, Incarnation: info.Incarnation, TicketsKept: 1 << 12,
	})
	if err != nil {
		panic(err)
	}
	engine, err := scatter.New(scatter.Options{
		Sender: &sender{process: p}, DataCentre: info.DataCentre, Incarnation: incarnation, Logger: logger,
	})
	if err != nil {
		panic(err)
	}
	server, err := front.New(front.Options{
		Incarnation: incarnation,
		Engine:      front.ScatterEngine{Engine: engine},
		Admission:   admission{p}, Configs: configs{p.host}, Members: members{p.host, info},
		Operator: noOperator{}, Replicas: noReplicas{}, Burn: noBurn{},
		Forwarder: forwarder{p}, Tickets: tickets, Log: logger, Metrics: tally.NoopScope,
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

// Kill ends the process at once. Its memory is lost; what it has sent still
// arrives.
func (h *Host) Kill() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.endProcess(h.process)
}

// endProcess marks p as dead and records its end if p still runs. The caller
// holds h.mu.
func (h *Host) endProcess(p *process) {
	if p == nil || h.process != p {
		return
	}
	p.dead.Store(true)
	h.process = nil
	h.history = append(h.history, lifecycleEvent{at: time.Now()})
}

// Stop shuts the process down gracefully, with a limit of 10 s, and returns when
// it has ended.
func (h *Host) Stop() {
	p := h.currentProcess()
	if p == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_ = p.server.Stop(ctx) // reports requests cut off on a paused host, whose callers get no answer
	h.mu.Lock()
	defer h.mu.Unlock()
	h.endProcess(p)
}

// Pause makes the process send and receive nothing until Resume.
func (h *Host) Pause() {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.unpaused:
		h.unpaused = make(chan struct{})
	default: // already paused
	}
}

// Resume ends a pause. It does nothing if the host is not paused.
func (h *Host) Resume() {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.unpaused:
	default:
		close(h.unpaused)
	}
}

// SetOverloaded sets whether admission refuses every search.
func (h *Host) SetOverloaded(on bool) { h.overloaded.Store(on) }

// SetConfig sets the configuration in force; nil means that the host has none.
func (h *Host) SetConfig(cfg *release.Config) { h.config.Store(cfg) }

func (h *Host) currentProcess() *process {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.process
}

// aliveAfterPause waits while the host is paused and reports whether the process
// is still alive then.
func (p *process) aliveAfterPause() bool {
	p.host.mu.Lock()
	unpaused := p.host.unpaused
	p.host.mu.Unlock()
	<-unpaused
	return !p.dead.Load()
}

// knownAt returns the member data of the last process that started at or before
// a time. ok is false if no process ran at that time.
func (h *Host) knownAt(at time.Time) (info member.Host, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, e := range h.history {
		if !e.at.After(at) {
			info, ok = e.info, e.up
		}
	}
	return info, ok
}

// members is the member view of one process. It learns of changes on other hosts
// after viewLag.
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
		} else if info, ok := h.knownAt(time.Now().Add(-viewLag)); ok {
			v.Hosts = append(v.Hosts, info)
		}
	}
	return v
}

// Suspect implements member.Members. The view follows the simulated hosts alone,
// so a suspicion has no effect.
func (m members) Suspect(string) {}

type configs struct{ host *Host }

// Current implements front.Configs.
func (c configs) Current() *release.Config { return c.host.config.Load() }

// admission admits searches after admissionDelay, so that a host can be paused or
// killed between the use of a ticket and the first sub-request.
type admission struct{ process *process }

// Admit implements front.Admission.
func (a admission) Admit(service *release.Service, _ *release.Search) (func(front.Feedback), error) {
	time.Sleep(admissionDelay)
	if !a.process.aliveAfterPause() || a.process.host.overloaded.Load() {
		return nil, &front.OverloadedError{Service: service.Name, RetryAfter: 50 * time.Millisecond}
	}
	return func(front.Feedback) {}, nil
}

type noOperator struct{}

// Apply implements front.Operator.
func (noOperator) Apply(context.Context, string, []byte, bool) (*front.ApplyResult, error) {
	return &front.ApplyResult{}, nil
}

// History implements front.Operator.
func (noOperator) History(context.Context) (*front.History, error) { return &front.History{}, nil }

type noReplicas struct{}

// Replicas implements front.Replicas.
func (noReplicas) Replicas(string) []front.ReplicaStatus { return nil }

type noBurn struct{}

// Record implements front.Burn.
func (noBurn) Record(front.Observation) {}

// Report implements front.Burn.
func (noBurn) Report() any { return nil }
