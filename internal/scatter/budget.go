package scatter

import "sync"

// budget is a token bucket that bounds the hedges and retries of a service or of
// one shard. It is refilled per first try instead of per second, so that the
// extra load stays in proportion to the load.
type budget struct {
	mu         sync.Mutex
	tokens     float64
	refill     float64 // tokens per first try
	burst      float64 // greatest number of tokens
	configured bool
}

// configure sets the refill per first try and the burst. The first call fills
// the bucket; later ones keep the tokens up to the new burst.
func (b *budget) configure(refill, burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.configured {
		b.tokens, b.configured = burst, true
	}
	b.refill, b.burst = refill, burst
	b.tokens = min(b.tokens, burst)
}

// credit adds the refill for n first tries.
func (b *budget) credit(n int) {
	b.mu.Lock()
	b.tokens = min(b.tokens+b.refill*float64(n), b.burst)
	b.mu.Unlock()
}

// refillPerTry returns the tokens that are added per first try.
func (b *budget) refillPerTry() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.refill
}

// refund returns the token of an attempt that did not reach a replica.
func (b *budget) refund() {
	b.mu.Lock()
	b.tokens = min(b.tokens+1, b.burst)
	b.mu.Unlock()
}

// trySpend takes one token and reports whether there was one.
func (b *budget) trySpend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
