package owner

import (
	"context"
	"slices"
	"sync"
	"time"
)

// runContext is a context that a connection reuses for its successive runs. Unlike
// context.WithDeadline it allocates nothing per run. A backend.Conn must not use
// it after Run has returned.
type runContext struct {
	mu         sync.Mutex
	deadline   time.Time // of the current run; zero between runs
	timer      *time.Timer
	done       chan struct{}
	expired    bool
	afterFuncs []*func() // registered with AfterFunc for the current run
}

var _ context.Context = (*runContext)(nil)

// begin starts the next run with its deadline.
func (c *runContext) begin(deadline, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = deadline
	if c.timer == nil {
		c.done = make(chan struct{})
		c.timer = time.AfterFunc(deadline.Sub(now), c.expire)
		return
	}
	c.timer.Reset(deadline.Sub(now))
}

// shorten moves the deadline of the current run forward. It has no effect between
// runs or if the deadline is earlier already.
func (c *runContext) shorten(deadline, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.deadline.IsZero() || !deadline.Before(c.deadline) {
		return
	}
	c.deadline = deadline
	c.timer.Reset(deadline.Sub(now))
}

// end ends the current run and reports whether it passed its deadline. If it did,
// the context stays expired and can't be used for another run.
func (c *runContext) end() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timer.Stop()
	c.deadline = time.Time{}
	clear(c.afterFuncs)
	c.afterFuncs = c.afterFuncs[:0]
	return c.expired
}

// expire is called by the timer. A late call for an earlier run has no effect: it
// finds no deadline or one in the future.
func (c *runContext) expire() {
	c.mu.Lock()
	if c.deadline.IsZero() || time.Now().Before(c.deadline) {
		c.mu.Unlock()
		return
	}
	c.expired = true
	close(c.done)
	callbacks := slices.Clone(c.afterFuncs)
	c.afterFuncs = nil
	c.mu.Unlock()
	for _, f := range callbacks {
		go (*f)()
	}
}

// Deadline implements context.Context.
func (c *runContext) Deadline() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.deadline, true
}

// Done implements context.Context.
func (c *runContext) Done() <-chan struct{} { return c.done }

// Err implements context.Context.
func (c *runContext) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.expired {
		return context.DeadlineExceeded
	}
	return nil
}

// Value implements context.Context.
func (c *runContext) Value(any) any { return nil }

// AfterFunc registers f to be called when the run passes its deadline. Package
// context looks for this method and then starts no goroutine for a derived context
// or a callback.
func (c *runContext) AfterFunc(f func()) (stop func() bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.expired {
		go f()
		return func() bool { return false }
	}
	c.afterFuncs = append(c.afterFuncs, &f)
	return func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		at := slices.Index(c.afterFuncs, &f)
		if at < 0 {
			return false
		}
		c.afterFuncs = slices.Delete(c.afterFuncs, at, at+1)
		return true
	}
}
