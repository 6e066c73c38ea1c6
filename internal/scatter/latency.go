package scatter

import (
	"math/bits"
	"sync"
	"sync/atomic"
	"time"
)

const (
	bucketsPerDoubling = 16 // quantiles are exact to 1/16
	latencyBuckets     = 40 * bucketsPerDoubling
	// windowSamples is the number of samples above which all counts are halved,
	// so that old samples lose weight.
	windowSamples = 2048
	// minQuantileSamples is the number of samples below which no quantile is
	// computed.
	minQuantileSamples = 64
	// quantileMaxAge is how long a computed quantile is used before it is
	// computed again.
	quantileMaxAge = 20 * time.Millisecond
)

// latencyHistogram estimates quantiles of the sub-request latency of a search
// over the last few thousand sub-requests. Recording takes no lock.
type latencyHistogram struct {
	counts         [latencyBuckets]atomic.Uint32
	mu             sync.Mutex   // held while the quantile is computed
	cachedQuantile atomic.Int64 // nanoseconds; 0 means not known yet
	recomputeAt    atomic.Int64 // unix nanoseconds
}

// bucketIndex returns the bucket of a latency. Buckets are 1 µs wide up to 16 µs
// and 1/16 of a power of two above; the last one holds all longer latencies.
func bucketIndex(d time.Duration) int {
	us := uint64(max(d/time.Microsecond, 1))
	if us < bucketsPerDoubling {
		return int(us)
	}
	shift := bits.Len64(us) - 5
	return min((shift+1)*bucketsPerDoubling+int(us>>shift)-bucketsPerDoubling, latencyBuckets-1)
}

// bucketUpperBound returns the upper bound of a bucket.
func bucketUpperBound(i int) time.Duration {
	if i < bucketsPerDoubling {
		return time.Duration(i+1) * time.Microsecond
	}
	shift := i/bucketsPerDoubling - 1
	return time.Duration(uint64(i%bucketsPerDoubling+bucketsPerDoubling+1)<<shift) * time.Microsecond
}

func (l *latencyHistogram) record(d time.Duration) { l.counts[bucketIndex(d)].Add(1) }

// quantile returns the q-quantile, or 0 until minQuantileSamples are recorded.
// Calls within quantileMaxAge return the quantile that was computed last.
func (l *latencyHistogram) quantile(q float64, now time.Time) time.Duration {
	if now.UnixNano() < l.recomputeAt.Load() || !l.mu.TryLock() {
		return time.Duration(l.cachedQuantile.Load())
	}
	defer l.mu.Unlock()
	l.recomputeAt.Store(now.Add(quantileMaxAge).UnixNano())
	var total uint64
	var counts [latencyBuckets]uint32
	for i := range l.counts {
		counts[i] = l.counts[i].Load()
		total += uint64(counts[i])
	}
	if total < minQuantileSamples {
		return time.Duration(l.cachedQuantile.Load())
	}
	l.cachedQuantile.Store(int64(quantileOf(counts[:], total, q)))
	if total > windowSamples {
		for i, n := range counts {
			if n > 0 {
				l.counts[i].Add(-((n + 1) / 2))
			}
		}
	}
	return time.Duration(l.cachedQuantile.Load())
}

// quantileOf returns the upper bound of the bucket that holds the q-quantile of
// total samples.
func quantileOf(counts []uint32, total uint64, q float64) time.Duration {
	rank, sum := uint64(q*float64(total)), uint64(0)
	for i, n := range counts {
		sum += uint64(n)
		if sum > rank {
			return bucketUpperBound(i)
		}
	}
	return bucketUpperBound(len(counts) - 1)
}
