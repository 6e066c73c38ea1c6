package owner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a deadline that expires another run than its own, and against
// derived contexts and callbacks that miss the deadline or are called after the run.
func TestRunContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const limit = 10 * time.Millisecond
		var ctx runContext
		calls := 0
		ctx.begin(time.Now().Add(limit), time.Now())
		stop := context.AfterFunc(&ctx, func() { calls++ })
		g.Expect(stop()).To(BeTrue())
		context.AfterFunc(&ctx, func() { calls++ }) // not stopped before end
		time.Sleep(limit / 2)
		g.Expect(ctx.end()).To(BeFalse())

		ctx.begin(time.Now().Add(limit), time.Now())
		ctx.expire() // a late timer call of the previous run
		g.Expect(ctx.Err()).NotTo(HaveOccurred())
		time.Sleep(limit * 3 / 4)
		g.Expect(ctx.Err()).NotTo(HaveOccurred())
		derived, cancel := context.WithCancel(&ctx)
		defer cancel()
		time.Sleep(limit / 4)
		synctest.Wait()
		g.Expect(derived.Err()).To(MatchError(context.DeadlineExceeded))
		g.Expect(ctx.Done()).To(BeClosed())
		g.Expect(calls).To(BeZero())
		g.Expect(ctx.end()).To(BeTrue())
	})
}
