package owner

import (
	"math"
	"slices"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/balance"
)

const (
	// latencyWindowSize is the number of latest answers that the p95 covers.
	latencyWindowSize = 64
	// p95RefreshAnswers is the number of answers between computations of the p95.
	p95RefreshAnswers = 16
	// meanDivisor is the inverse weight of a new answer in the exponential mean.
	meanDivisor = 16
	// recentMeanDivisor is the inverse weight of a new sample in recentMean, which
	// is used to choose between replicas. It is smaller than meanDivisor, so that
	// a replica that turns slow is noticed after a few answers.
	recentMeanDivisor = 4
	// excessHalfLife is the time in which the part of a latency that balance.Limit cuts off
	// halves in the estimate: it tells of a pause, which is over within 150 ms.
	excessHalfLife = 150 * time.Millisecond
)

// latencyStats tracks the time from sending a sub-request to its answer.
type latencyStats struct {
	mean         time.Duration
	recentMean   time.Duration // without the excess of latencies above balance.Limit
	excess       time.Duration // what that added to the mean, at lastSampleAt
	p95          time.Duration
	window       [latencyWindowSize]time.Duration
	sampleCount  int
	lastSampleAt time.Time // of the newest sample in recentMean
}

// addRecent adds a sample to recentMean only: the time of an attempt that ended without an
// answer and would have taken at least that long.
func (l *latencyStats) addRecent(took time.Duration, now time.Time) {
	l.addSample(took, 0, now)
}

// addSample adds a sample to recentMean and its excess to what is left of the excess.
func (l *latencyStats) addSample(took, excess time.Duration, now time.Time) {
	if l.lastSampleAt.IsZero() {
		l.recentMean = took + excess
	} else {
		l.excess = l.excessAt(now) + excess/recentMeanDivisor
		l.recentMean += (took - l.recentMean) / recentMeanDivisor
	}
	l.lastSampleAt = now
}

// excessAt returns what is left of the excess.
func (l *latencyStats) excessAt(now time.Time) time.Duration {
	if l.excess == 0 {
		return 0
	}
	return time.Duration(float64(l.excess) * math.Exp2(-float64(now.Sub(l.lastSampleAt))/float64(excessHalfLife)))
}

// add adds the time of an answer to all statistics. Counted in full, one pause would keep
// the replica out of use for several answers, which takes seconds on a host that sends
// little.
func (l *latencyStats) add(took time.Duration, now time.Time) {
	limited := balance.Limit(took, l.recentMean)
	l.addSample(limited, took-limited, now)
	if l.sampleCount == 0 {
		l.mean = took
	} else {
		l.mean += (took - l.mean) / meanDivisor
	}
	l.window[l.sampleCount%latencyWindowSize] = took
	l.sampleCount++
	if l.sampleCount%p95RefreshAnswers == 0 || l.sampleCount < p95RefreshAnswers {
		sorted := l.window
		filled := sorted[:min(l.sampleCount, latencyWindowSize)]
		slices.Sort(filled)
		l.p95 = filled[(len(filled)-1)*95/100]
	}
}
