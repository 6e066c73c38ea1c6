package front_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/arbutusgauge/arbutusgauge/internal/front"
	"github.com/arbutusgauge/arbutusgauge/internal/jwcc"
	"github.com/arbutusgauge/arbutusgauge/internal/member"
	"github.com/arbutusgauge/arbutusgauge/internal/once"
	"github.com/arbutusgauge/arbutusgauge/internal/peer/peerpb"
	"github.com/arbutusgauge/arbutusgauge/internal/release"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// fakes implements all interfaces that a server needs. When run, admit or apply
// is nil, that call succeeds.
type fakes struct {
	mu          sync.Mutex
	config      *release.Config
	view        *member.View
	run         func(context.Context, front.Search) (*front.Answer, error)
	admit       func() error
	forward     func(ctx context.Context, addr string, in *peerpb.TicketedRequest) (*peerpb.TicketedReply, error)
	apply       func(dryRun bool) (*front.ApplyResult, error)
	searches    []front.Search
	recorded    []front.Observation
	forwardedTo []string
}

func (f *fakes) Run(ctx context.Context, s front.Search) (*front.Answer, error) {
	f.mu.Lock()
	f.searches = append(f.searches, s)
	f.mu.Unlock()
	if f.run != nil {
		return f.run(ctx, s)
	}
	return &front.Answer{
		ConfigVersion: s.Config.Version, Snapshot: 42,
		Coverage: front.Coverage{Fraction: 1, Requested: s.Ledgers.Len(), Covered: s.Ledgers.Len()},
		Rows: []wire.Row{
			{Ledger: 7, Key: "gang-7", Value: []byte("text")}, {Ledger: 8, Value: []byte{0xff}},
		},
	}, nil
}

func (f *fakes) Admit(*release.Service, *release.Search) (func(front.Feedback), error) {
	if f.admit != nil {
		return nil, f.admit()
	}
	return func(front.Feedback) {}, nil
}

func (f *fakes) Current() *release.Config {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.config
}

func (f *fakes) Apply(_ context.Context, _ string, _ []byte, dryRun bool) (*front.ApplyResult, error) {
	if f.apply != nil {
		return f.apply(dryRun)
	}
	return &front.ApplyResult{Applied: !dryRun, Version: 4, Note: "n-7"}, nil
}

func (f *fakes) History(context.Context) (*front.History, error) {
	return &front.History{Version: 4, Notes: []release.NoteRecord{{ID: "n-7", Version: 4}}}, nil
}

func (f *fakes) View() *member.View { return f.view }

func (f *fakes) Suspect(string) {}

func (f *fakes) Replicas(service string) []front.ReplicaStatus {
	return []front.ReplicaStatus{{Replica: "10.0.0.1:1", Service: service, State: "ready"}}
}

func (f *fakes) Record(o front.Observation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recorded = append(f.recorded, o)
}

func (f *fakes) Report() any { return map[string]int{"recorded": len(f.recorded)} }

func (f *fakes) RunTicketed(ctx context.Context, addr string, in *peerpb.TicketedRequest) (*peerpb.TicketedReply, error) {
	f.mu.Lock()
	f.forwardedTo = append(f.forwardedTo, addr)
	f.mu.Unlock()
	return f.forward(ctx, addr, in)
}

// searchCount returns how many searches the engine ran.
func (f *fakes) searchCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.searches)
}

// testConfig returns a configuration with service "desk" on ledgers 0 to 199,
// its repeatable search "find" and its search "book", which is not repeatable.
func testConfig() *release.Config {
	search := func(name string, repeatable bool) *release.Search {
		return &release.Search{
			Name: name, Service: "desk", Repeatable: repeatable, WaitRule: release.WaitCoverage,
			LatencyGoal: jwcc.Duration(50 * time.Millisecond), Deadline: jwcc.Duration(500 * time.Millisecond),
			LeastCoverage: 0.5,
		}
	}
	return &release.Config{
		Version: 3,
		Services: map[string]*release.Service{"desk": {Name: "desk", Slots: 2, Shards: []release.Shard{
			{ID: 0, Range: wire.LedgerRange{Lo: 0, Hi: 100}, Replicas: []release.Replica{{Addr: "10.0.0.1:1", DataCentre: "badin"}}},
			{ID: 1, Range: wire.LedgerRange{Lo: 100, Hi: 200}, Replicas: []release.Replica{{Addr: "10.0.0.2:1", DataCentre: "badin"}}},
		}}},
		Searches: map[string]*release.Search{"desk/find": search("find", true), "desk/book": search("book", false)},
	}
}

var hostA = member.Host{Name: "badin-1", Addr: "127.0.0.1:7001", DataCentre: "badin", Incarnation: 11}

// newFront returns a server of hostA with its fakes and its log.
func newFront(change func(*fakes)) (*front.Server, *fakes, *memory.Handler) {
	return newFrontFor(hostA, change)
}

// newFrontFor returns a server of the host self with its fakes and its log.
func newFrontFor(self member.Host, change func(*fakes), options ...func(*front.Options)) (*front.Server, *fakes, *memory.Handler) {
	f := &fakes{config: testConfig(), view: &member.View{Self: self, Hosts: []member.Host{self}}}
	change(f)
	tickets, err := once.New(once.Options{
		DataCentre: self.DataCentre, Addr: self.Addr, Incarnation: self.Incarnation, TicketsKept: 1 << 12,
	})
	Expect(err).NotTo(HaveOccurred())
	logs := memory.New()
	o := front.Options{
		Incarnation: self.Incarnation, Engine: f, Admission: f, Configs: f, Operator: f, Members: f,
		Replicas: f, Burn: f, Forwarder: f, Tickets: tickets,
		Log:     &log.Logger{Handler: logs, Level: log.DebugLevel},
		Metrics: tally.NoopScope,
	}
	for _, c := range options {
		c(&o)
	}
	s, err := front.New(o)
	Expect(err).NotTo(HaveOccurred())
	return s, f, logs
}

// reply is a response with its decoded body.
type reply struct {
	Status  int
	Header  http.Header
	Text    string
	Outcome string
	Error   string
	Message string
	Request string
	Tickets []string
	Rows    []struct {
		Ledger      uint64
		Key, Value  string
		ValueBase64 string `json:"value_base64"`
	}
	Coverage *struct{ Fraction float64 }
}

func call(s *front.Server, method, path, body string) reply {
	return callContext(context.Background(), s, method, path, body)
}

func callContext(ctx context.Context, s *front.Server, method, path, body string) reply {
	return serve(s, httptest.NewRequest(method, path, strings.NewReader(body)).WithContext(ctx))
}

// callWithDelayedBody makes a call whose body arrives after the delay.
func callWithDelayedBody(s *front.Server, path, body string, delay time.Duration) reply {
	r, w := io.Pipe()
	go func() {
		time.Sleep(delay)
		_, _ = io.WriteString(w, body)
		_ = w.Close()
	}()
	return serve(s, httptest.NewRequest(http.MethodPost, path, r))
}

func serve(s *front.Server, request *http.Request) reply {
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, request)
	r := reply{Status: w.Code, Header: w.Header(), Text: w.Body.String()}
	_ = json.Unmarshal(w.Body.Bytes(), &r)
	return r
}

const (
	findPath = "/v1/services/desk/searches/find"
	bookPath = "/v1/services/desk/searches/book"
)

func issueTicket(s *front.Server) string {
	r := call(s, "POST", "/v1/tickets", `{"count": 1}`)
	Expect(r.Tickets).To(HaveLen(1), r.Text)
	return r.Tickets[0]
}

func bookingBody(ticket string) string { return `{"ticket": "` + ticket + `", "payload": "crew=7"}` }
