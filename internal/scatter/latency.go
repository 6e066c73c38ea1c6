package scatter

import (
	"math/bits"
	"sync"
	"sync/atomic"
	"time"
)

const (
	subBuckets     = 16 // per doubling: quantiles are exact to 1/16
	latencyBuckets = 40 * subBuckets
	// windowSamples is the count at which old samples lose half their weight.
	windowSamples = 2048
	// minSamples are needed before a quantile is used.
	minSamples = 64
	// quantileAge is how long a computed quantile is used.
	quantileAge = 20 * time.Millisecond
)

// latency estimates quantiles of a service's sub-request latency over the
// last few thousand sub-requests. Recording takes no lock.
type latency struct {
	counts [latencyBuckets]atomic.Uint32
	mu     sync.Mutex
	cached atomic.Int64 // nanoseconds; 0 means not known yet
	nextAt atomic.Int64 // unix nanoseconds
}

func bucketOf(d time.Duration) int {
	us := uint64(max(d/time.Microsecond, 1))
	if us < subBuckets {
		return int(us)
	}
	shift := bits.Len64(us) - 5
	return min((shift+1)*subBuckets+int(us>>shift)-subBuckets, latencyBuckets-1)
}

// bucketTop returns the upper bound of a bucket.
func bucketTop(i int) time.Duration {
	if i < subBuckets {
		return time.Duration(i+1) * time.Microsecond
	}
	shift := i/subBuckets - 1
	return time.Duration(uint64(i%subBuckets+subBuckets+1)<<shift) * time.Microsecond
}

func (l *latency) record(d time.Duration) { l.counts[bucketOf(d)].Add(1) }

// quantile returns the q-quantile, or 0 while too few samples are known.
func (l *latency) quantile(q float64, now time.Time) time.Duration {
	if now.UnixNano() < l.nextAt.Load() || !l.mu.TryLock() {
		return time.Duration(l.cached.Load())
	}
	defer l.mu.Unlock()
	l.nextAt.Store(now.Add(quantileAge).UnixNano())
	var total uint64
	var snapshot [latencyBuckets]uint32
	for i := range l.counts {
		snapshot[i] = l.counts[i].Load()
		total += uint64(snapshot[i])
	}
	if total < minSamples {
		return time.Duration(l.cached.Load())
	}
	l.cached.Store(int64(quantileOf(snapshot[:], total, q)))
	if total > windowSamples {
		for i, n := range snapshot {
			if n > 0 {
				l.counts[i].Add(-((n + 1) / 2))
			}
		}
	}
	return time.Duration(l.cached.Load())
}

func quantileOf(counts []uint32, total uint64, q float64) time.Duration {
	want, sum := uint64(q*float64(total)), uint64(0)
	for i, n := range counts {
		sum += uint64(n)
		if sum > want {
			return bucketTop(i)
		}
	}
	return bucketTop(len(counts) - 1)
}
