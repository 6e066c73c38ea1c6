package front_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/admit"
	"github.com/arbutusgauge/arbutusgauge/internal/burn"
	"github.com/arbutusgauge/arbutusgauge/internal/front"
	"github.com/arbutusgauge/arbutusgauge/internal/infra"
	"github.com/arbutusgauge/arbutusgauge/internal/peer/peerpb"
	"github.com/arbutusgauge/arbutusgauge/internal/release"
	"github.com/arbutusgauge/arbutusgauge/internal/rollout"
	"github.com/arbutusgauge/arbutusgauge/internal/scatter"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// fakeSender is a wire.Sender that replies to each sub-request after 5 ms.
type fakeSender struct {
	mu         sync.Mutex
	replies    map[uint32]wire.Reply // outcome and reason by shard; a shard without an entry answers
	executions int
}

func (s *fakeSender) Send(subs []wire.SubRequest, done func([]wire.Reply)) {
	for _, sub := range subs {
		time.AfterFunc(5*time.Millisecond, func() { done([]wire.Reply{s.reply(sub)}) })
	}
}

func (s *fakeSender) reply(sub wire.SubRequest) wire.Reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.replies[sub.Shard]
	if !ok {
		r = wire.Reply{Outcome: wire.Answered, Snapshot: 42, Range: sub.Range, Rows: []wire.Row{{
			Ledger: sub.Range.Lo, Key: "gang", Value: sub.Payload,
		}}}
	}
	if r.Outcome != wire.NotRun {
		s.executions++
	}
	r.ID, r.Replica, r.Held = sub.ID, sub.Replica, wire.SnapshotRange{Oldest: 40, Newest: 42}
	r.Load = wire.Load{Slots: 2, ServiceTime: 5 * time.Millisecond}
	return r
}

func (s *fakeSender) Cancel([]wire.SubRequestID) {}

// Guards, with the real engine and admission, against an outcome of a caller's
// search, or a burn counter, that doesn't follow from the outcomes of the
// shards, and against a second run of a ticketed search that may have run.
func TestOutcomesWithScatterEngine(t *testing.T) {
	refused := wire.Reply{Outcome: wire.NotRun, Reason: wire.ReasonDraining}
	lost := wire.Reply{Outcome: wire.Unknown, Reason: wire.ReasonConnLost}
	for _, c := range []struct {
		name          string
		leastCoverage float64
		replies       map[uint32]wire.Reply
		status        int
		code          string
		repeatStatus  int // status of a second call with the ticket, when all shards answer again
		class         burn.Class
	}{
		{"all answer", 1, nil, 200, "", 200, burn.Good},
		{"one shard refuses", 0.5, map[uint32]wire.Reply{1: refused}, 200, "", 200, burn.BelowCoverage},
		{"one shard is lost", 1, map[uint32]wire.Reply{1: lost}, 502, "below_coverage", 502, burn.BelowCoverage},
		{"all refuse", 0.5, map[uint32]wire.Reply{0: refused, 1: refused}, 503, "refused", 200, burn.Refused},
		{"all are lost", 0.5, map[uint32]wire.Reply{0: lost, 1: lost}, 504, "unknown_outcome", 504, burn.Unknown},
		{"one refuses, one is lost", 0, map[uint32]wire.Reply{0: refused, 1: lost}, 504, "unknown_outcome", 504, burn.Unknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				RegisterTestingT(t)
				sender := &fakeSender{replies: c.replies}
				s, recorder := newScatterFront(sender)
				ticket := issueTicket(s)
				body := `{"ticket": "` + ticket + `", "payload": "p", "least_coverage": ` + decimal(c.leastCoverage) + `}`
				r := call(s, "POST", bookPath, body)
				Expect([]any{r.Status, r.Error}).To(Equal([]any{c.status, c.code}), r.Text)
				if c.status == 200 || c.status == 502 {
					Expect(r.Coverage.Fraction).To(Equal(1 - float64(len(c.replies))/2))
				}
				counts := recorder.HostReport().Searches[0].Buckets[0]
				Expect(counts[c.class]).To(BeEquivalentTo(1))
				executions := sender.executions
				sender.replies = nil
				repeated := call(s, "POST", bookPath, body)
				Expect(repeated.Status).To(Equal(c.repeatStatus))
				if c.status != 503 {
					Expect(sender.executions).To(Equal(executions), "a ticketed request ran again")
					Expect(repeated.Text).To(Equal(r.Text))
				}
			})
		})
	}
}

func decimal(f float64) string { return map[float64]string{0: "0", 0.5: "0.5", 1: "1"}[f] }

// admissionLimit is the admission limit of newScatterFront, in queries in flight.
const admissionLimit = 32

// newScatterFront returns a server with the real scatter engine, admission and
// burn recorder, and this recorder.
func newScatterFront(sender wire.Sender) (*front.Server, *burn.Recorder) {
	engine, err := scatter.New(scatter.Options{
		Sender: sender, DataCentre: "badin", Incarnation: 11, Random: rand.NewPCG(1, 2),
	})
	Expect(err).NotTo(HaveOccurred())
	admission, err := admit.New(admit.Options{InitialLimit: admissionLimit})
	Expect(err).NotTo(HaveOccurred())
	recorder, err := burn.New(burn.Options{Host: "badin-1"})
	Expect(err).NotTo(HaveOccurred())
	s, _, _ := newFrontFor(hostA, func(f *fakes) {
		for _, search := range f.config.Searches {
			search.LeastCoverage = 0
			search.Objective = release.Objective{GoodFraction: 0.99, LeastCoverage: 1}
		}
	}, func(o *front.Options) {
		o.Engine = front.ScatterEngine{Engine: engine}
		o.Admission = front.AdaptiveAdmission{Admission: admission}
		o.Burn = front.BurnRecorder{Recorder: recorder}
	})
	return s, recorder
}

// Guards against a retry of a sub-request that may have run, when the search has
// a ticket and its definition allows retries without one.
func TestTicketedSubRequestsAreSentOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		sender := &fakeSender{replies: map[uint32]wire.Reply{1: {Outcome: wire.Unknown, Reason: wire.ReasonConnLost}}}
		s, _ := newScatterFront(sender)
		r := call(s, "POST", findPath, bookingBody(issueTicket(s)))
		Expect(r.Rows).To(HaveLen(1), r.Text)
		Expect(r.Rows[0].Value).To(Equal("crew=7"))
		Expect(sender.executions).To(Equal(2))
		call(s, "POST", findPath, `{"payload": "crew=7"}`)
		Expect(sender.executions).To(BeNumerically(">", 4), "without a ticket the lost one is retried")
	})
}

// Guards against a burst above the admission limit that is queued instead of
// refused with Retry-After, or that makes admitted searches fail.
func TestBurstIsRefusedByAdmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		sender := &fakeSender{}
		s, _ := newScatterFront(sender)
		var mu sync.Mutex
		callsByStatus := map[int]int{}
		var wg sync.WaitGroup
		for range 100 {
			wg.Go(func() {
				r := call(s, "POST", findPath, ``)
				mu.Lock()
				defer mu.Unlock()
				callsByStatus[r.Status]++
				if r.Status == 429 {
					Expect(r.Header.Get("Retry-After")).To(Equal("1"))
				}
			})
		}
		wg.Wait()
		Expect(callsByStatus).To(Equal(map[int]int{200: admissionLimit, 429: 100 - admissionLimit}))
		Expect(sender.executions).To(Equal(2 * admissionLimit))
	})
}

// memStore is the configuration store in memory; unavailable makes Get fail.
type memStore struct {
	mu          sync.Mutex
	entries     map[string]infra.Entry
	unavailable bool
}

func (m *memStore) Get(_ context.Context, key string) (infra.Entry, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.unavailable {
		return infra.Entry{}, &infra.UnavailableError{Op: "get", Err: errors.New("down")}
	}
	return m.entries[key], nil
}

func (m *memStore) CompareAndSwap(_ context.Context, key string, revision uint64, value []byte) (infra.Entry, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if current := m.entries[key]; current.Revision != revision {
		return infra.Entry{}, &infra.ConflictError{Current: current}
	}
	m.entries[key] = infra.Entry{Key: key, Value: value, Revision: revision + 1}
	return m.entries[key], nil
}

func (m *memStore) Watch(ctx context.Context, _ string, _ uint64) (infra.Entry, error) {
	<-ctx.Done()
	return infra.Entry{}, ctx.Err()
}

func (m *memStore) FetchConfig(context.Context, string, *peerpb.FetchConfigRequest) (*peerpb.FetchConfigReply, error) {
	return nil, errors.New("no peer")
}

// Guards, with the real rollout agent, against a response to a release note that
// misstates its result: checked, applied, already in force, conflict, invalid or
// not applied.
func TestNotesWithRolloutAgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		store := &memStore{entries: map[string]infra.Entry{}}
		_, f, _ := newFront(unchanged)
		agent, err := rollout.New(rollout.Options{
			Store: store, Fetcher: store, Members: f, Check: release.Check, ApplyNote: release.Apply, Seed: 1,
			Log: &log.Logger{Handler: memory.New()},
		})
		Expect(err).NotTo(HaveOccurred())
		s, _, _ := newFrontFor(hostA, unchanged, func(o *front.Options) {
			o.Configs, o.Operator = agent, front.RolloutOperator{Agent: agent}
		})
		const note = `{"id": "n-1", "base": 0, "author": "a", "services": {"added": [{"name": "desk", "slots": 2,
			"connections": 25, "connect_cost": "6ms", "shards": [{"id": 0, "range": {"lo": 0, "hi": 10},
			"replicas": [{"addr": "127.0.0.1:9001", "data_centre": "badin"}]}]}]}} /* comment */`
		notes := "/v1/operator/notes"
		Expect(call(s, "POST", findPath, ``).Error).To(Equal("no_configuration"))
		Expect(call(s, "POST", notes+"?dry_run=true", note).Text).To(ContainSubstring(`{"applied":false,"version":1`))
		Expect(agent.Current()).To(BeNil())
		Expect(call(s, "POST", notes, note).Text).To(ContainSubstring(`{"applied":true,"version":1,"note":"n-1","already":false}`))
		Expect(call(s, "POST", notes, note).Text).To(ContainSubstring(`"already":true`))
		Expect(call(s, "GET", "/v1/operator/history", "").Text).To(ContainSubstring(`{"version":1,"notes":[{"id":"n-1"`))
		Expect(call(s, "GET", "/ready", "").Status).To(Equal(200))
		other := `{"id": "n-2", "base": 0, "services": {"withdrawn": ["desk"]}}`
		for _, path := range []string{notes, notes + "?dry_run=true"} {
			r := call(s, "POST", path, other)
			Expect(r.Status).To(Equal(409), r.Text)
			Expect(r.Text).To(ContainSubstring(`"winning_note":"n-1"`))
			r = call(s, "POST", path, `{"id": "n-2", "base": 1, "sevices": {}}`)
			Expect(r.Status).To(Equal(400), r.Text)
			Expect(r.Text).To(ContainSubstring(`"line":1`))
		}
		store.unavailable = true
		r := call(s, "POST", notes, `{"id": "n-2", "base": 1, "services": {"withdrawn": ["desk"]}}`)
		Expect(r.Status).To(Equal(503), r.Text)
		Expect(r.Text).To(ContainSubstring(`"outcome":"not_applied"`))
	})
}
