package rollout

import (
	"context"
	"time"
)

// backoff waits with exponentially growing, jittered times.
type backoff struct {
	agent *Agent
	next  time.Duration
}

// wait sleeps for a random time between half and all of the current step and
// doubles the step. It reports false when ctx ended.
func (b *backoff) wait(ctx context.Context) bool {
	if b.next == 0 {
		b.next = b.agent.opts.Backoff
	}
	step := b.next
	b.next = min(2*b.next, b.agent.opts.MaxBackoff)
	return sleep(ctx, b.agent.jitter(step))
}

// reset starts again with the first step.
func (b *backoff) reset() { b.next = 0 }

// jitter returns a random time between half of d and d.
func (a *Agent) jitter(d time.Duration) time.Duration {
	a.rngMu.Lock()
	defer a.rngMu.Unlock()
	return d/2 + time.Duration(a.rng.Int64N(int64(d/2)+1))
}

// sleep reports false when ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
