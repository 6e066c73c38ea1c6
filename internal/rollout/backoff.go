package rollout

import (
	"context"
	"time"
)

// backoff waits between tries for exponentially growing times with jitter.
type backoff struct {
	agent     *Agent
	nextDelay time.Duration
}

// wait sleeps for a random time between half of the current delay and all of
// it, and doubles the delay up to MaxBackoff. It returns false if ctx ended
// first.
func (b *backoff) wait(ctx context.Context) bool {
	if b.nextDelay == 0 {
		b.nextDelay = b.agent.opts.MinBackoff
	}
	delay := b.nextDelay
	b.nextDelay = min(2*b.nextDelay, b.agent.opts.MaxBackoff)
	return sleep(ctx, b.agent.jitter(delay))
}

// reset returns to the first delay.
func (b *backoff) reset() { b.nextDelay = 0 }

// jitter returns a random duration from d/2 to d.
func (a *Agent) jitter(d time.Duration) time.Duration {
	a.rngMu.Lock()
	defer a.rngMu.Unlock()
	return d/2 + time.Duration(a.rng.Int64N(int64(d/2)+1))
}

// sleep waits for d and returns true, or false if ctx ended first.
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
