package owner

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/arbutusgauge/arbutusgauge/internal/quarantine"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// recordedSuspects records what an owner reports.
type recordedSuspects struct {
	mu       sync.Mutex
	ended    map[wire.ReplicaID][]wire.RequestKey
	answered []wire.RequestKey
}

func (s *recordedSuspects) ServerEnded(replica wire.ReplicaID, runs []quarantine.Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended == nil {
		s.ended = map[wire.ReplicaID][]wire.RequestKey{}
	}
	for _, run := range runs {
		s.ended[replica] = append(s.ended[replica], run.Key)
	}
}

func (s *recordedSuspects) Answered(key wire.RequestKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answered = append(s.answered, key)
}

// recorded returns the requests under which a server ended, and those that were answered.
func (s *recordedSuspects) recorded(replica wire.ReplicaID) (ended, answered []wire.RequestKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended[replica], s.answered
}

// testSuspects runs a test with an owner whose reports are recorded.
func testSuspects(t *testing.T, f func(g *WithT, h *harness, suspects *recordedSuspects)) {
	synctest.Test(t, func(t *testing.T) {
		suspects := &recordedSuspects{}
		h := newHarness(t, oneShardConfig(), true, func(o *Options) {
			o.AllDataCentres, o.SkipRoutineStatusCalls, o.WarmConnections = true, true, 1
			o.Timings.CancelAfter = 300 * time.Millisecond
			o.Suspects = suspects
		})
		defer h.close()
		f(NewWithT(t), h, suspects)
	})
}

func (h *harness) sendKeyed(key wire.RequestKey, id wire.ReplicaID) wire.SubRequestID {
	sub := h.sub(id, time.Second)
	sub.Key = key
	h.owner.Send([]wire.SubRequest{sub}, h.done)
	return sub.ID
}

// Guards against servers whose end is not traced to the requests that they ran, and
// against a report for requests that ran elsewhere or were answered.
func TestEndOfAServerIsReportedWithItsRuns(t *testing.T) {
	testSuspects(t, func(g *WithT, h *harness, suspects *recordedSuspects) {
		s := h.dialer.server(r1)
		h.sendKeyed(wire.RequestKey{9}, r1)
		time.Sleep(100 * time.Millisecond)
		s.set(func(s *fakeServer) { s.serviceTime = 50 * time.Millisecond })
		h.sendKeyed(wire.RequestKey{1}, r1)
		h.sendKeyed(wire.RequestKey{2}, r1)
		h.sendKeyed(wire.RequestKey{3}, r2)
		time.Sleep(20 * time.Millisecond)
		s.set(func(s *fakeServer) { s.refuseDials = true })
		s.closeConnections()
		time.Sleep(time.Second)
		ended, answered := suspects.recorded(r1)
		g.Expect(ended).To(ConsistOf(wire.RequestKey{1}, wire.RequestKey{2}))
		g.Expect(answered).To(ConsistOf(wire.RequestKey{9}, wire.RequestKey{3}))
	})
}

// Guards against requests that are blamed for a server that lives: it reset connections,
// lost a response, did not answer in time, or can't be reached any more.
func TestLivingServerIsNotReportedAsEnded(t *testing.T) {
	none := func(*fakeServer) {}
	for name, disturb := range map[string]struct{ before, during func(s *fakeServer) }{
		"resets connections": {none, func(s *fakeServer) { s.closeConnections() }},
		"is cut off with a reset": {none, func(s *fakeServer) {
			s.set(func(s *fakeServer) { s.dialsTimeOut = true })
			s.closeConnections()
		}},
		"loses the response": {func(s *fakeServer) { s.fault = faultLostAfter }, none},
		"is silent":          {func(s *fakeServer) { s.silentRuns = 1 }, none},
	} {
		t.Run(name, func(t *testing.T) {
			testSuspects(t, func(g *WithT, h *harness, suspects *recordedSuspects) {
				s := h.dialer.server(r1)
				s.set(func(s *fakeServer) { s.serviceTime = 50 * time.Millisecond; disturb.before(s) })
				id := h.sendKeyed(wire.RequestKey{1}, r1)
				time.Sleep(20 * time.Millisecond)
				disturb.during(s)
				time.Sleep(3 * time.Second)
				g.Expect(h.reply(id).Outcome).To(Equal(wire.Unknown))
				s.set(func(s *fakeServer) { s.refuseDials, s.dialsTimeOut = true, false }) // it ends later, for another reason
				s.closeConnections()
				time.Sleep(3 * time.Second)
				ended, _ := suspects.recorded(r1)
				g.Expect(ended).To(BeEmpty())
			})
		})
	}
}
