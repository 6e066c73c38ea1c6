package owner

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// coldLimiter is a RateLimiter for which a replica is cold or warm; it permits everything.
type coldLimiter struct {
	noRateLimits
	mu    sync.Mutex
	cold  bool
	taken int
	left  time.Duration // by the last status call
}

// seen returns the number of permits taken and the rest of the warm-up.
func (c *coldLimiter) seen() (taken int, left time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.taken, c.left
}

func (c *coldLimiter) Cold(wire.ReplicaID) bool { c.mu.Lock(); defer c.mu.Unlock(); return c.cold }

func (c *coldLimiter) Take(wire.ReplicaID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.taken++
	return true
}

func (c *coldLimiter) ObserveWarmUp(_ wire.ReplicaID, left time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.left = left
}

// Guards against sub-requests that wait for a cold replica with their permits and then reach it
// together with later ones, and against a warm-up of a status call that is lost.
func TestNothingWaitsForAColdReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		limiter := &coldLimiter{cold: true}
		h := newHarness(t, oneShardConfig(), false, func(o *Options) { o.RateLimiter = limiter })
		defer h.close()
		s := h.dialer.server(r1)
		s.set(func(s *fakeServer) { s.serviceTime, s.status.WarmupLeft = 100*time.Millisecond, time.Minute })
		time.Sleep(4 * time.Second)
		_, left := limiter.seen()
		g.Expect(left).To(Equal(time.Minute))
		ids := h.send(r1, time.Second, testSlots+3)
		time.Sleep(10 * time.Millisecond)
		for _, id := range ids[testSlots:] {
			g.Expect(h.reply(id)).To(And(HaveField("Outcome", wire.NotRun), HaveField("Reason", wire.ReasonQueueFull)))
		}
		taken, _ := limiter.seen()
		g.Expect(taken).To(Equal(testSlots), "no permit is lost")
		limiter.mu.Lock()
		limiter.cold = false
		limiter.mu.Unlock()
		ids = h.send(r1, time.Second, testSlots+3)
		time.Sleep(500 * time.Millisecond)
		for _, id := range ids {
			g.Expect(h.reply(id).Reason).To(Equal(wire.ReasonNone), "a warm replica has a queue")
		}
	})
}
