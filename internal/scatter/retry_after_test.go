package scatter

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// Guards against a refusal for lack of permits that names a time before which there is none,
// or a longer one than needed: a part needs one of its replicas, a query all parts.
func TestRateLimitedQueryNamesTheTimeToItsPermits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		config := catalogConfig(4, 2)
		waits := map[wire.ReplicaID]time.Duration{}
		for i := range config.Services["mill"].Shards {
			for j, r := range config.Services["mill"].Shards[i].Replicas {
				waits[r.Addr] = time.Duration(100*i+50*j+40) * time.Millisecond
			}
		}
		e := testEngine(t, &fakeSender{}, func(o *Options) {
			o.EstimateWait = func(wire.ReplicaID) (time.Duration, bool) { return 0, false }
			o.RateLimited = func(wire.ReplicaID) bool { return true }
			o.PermitIn = func(id wire.ReplicaID) time.Duration { return waits[id] }
		})
		_, err := e.Run(t.Context(), toursQuery(config))
		var notRun *NotRunError
		g.Expect(errors.As(err, &notRun)).To(BeTrue())
		g.Expect(notRun.Reason).To(Equal(wire.ReasonRateLimited))
		g.Expect(notRun.RetryAfter).To(Equal(340 * time.Millisecond))
		clear(waits)
		_, err = e.Run(t.Context(), toursQuery(config))
		g.Expect(errors.As(err, &notRun)).To(BeTrue())
		g.Expect(notRun.RetryAfter).To(BeZero(), "not known")
	})
}
