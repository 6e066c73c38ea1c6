package owner

import (
	"slices"
	"time"
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
)

// latencyStats tracks the time from sending a sub-request to its answer.
type latencyStats struct {
	mean         time.Duration
	recentMean   time.Duration
	p95          time.Duration
	window       [latencyWindowSize]time.Duration
	sampleCount  int
	lastSampleAt time.Time // of the newest sample in recentMean
}

// addRecent adds a sample to recentMean only: the time of an answer, or of an
// attempt that ended without an answer and would have taken at least that long.
func (l *latencyStats) addRecent(took time.Duration, now time.Time) {
	if l.lastSampleAt.IsZero() {
		l.recentMean = took
	} else {
		l.recentMean += (took - l.recentMean) / recentMeanDivisor
	}
	l.lastSampleAt = now
}

// add adds the time of an answer to all statistics.
func (l *latencyStats) add(took time.Duration, now time.Time) {
	l.addRecent(took, now)
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
