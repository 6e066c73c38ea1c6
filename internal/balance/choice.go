package balance

import (
	"math"
	"time"
)

// Candidate is a replica that a request may be sent to.
type Candidate struct {
	// Wait is the expected time to the answer, including the price of the network path.
	Wait time.Duration
	// Uncertainty is how far Wait may be off, as View.Estimate returns it; 0: it is exact.
	Uncertainty time.Duration
}

// Choose returns the index of a candidate, at random. The one with the least wait has
// weight 1, and another one e^(-difference/uncertainty), with the sum of the uncertainties
// of the two. Hosts with the same old report thus do not all choose the same replica,
// however many they are. random returns uniform values in [0, 1). candidates must not be
// empty.
func Choose(candidates []Candidate, random func() float64) int {
	best := 0
	for i, c := range candidates {
		if c.Wait < candidates[best].Wait {
			best = i
		}
	}
	sum := 0.0
	for _, c := range candidates {
		sum += c.weight(candidates[best])
	}
	left := random() * sum
	for i, c := range candidates {
		if left -= c.weight(candidates[best]); left < 0 {
			return i
		}
	}
	return best
}

// weight returns the weight of a candidate beside the one with the least wait.
func (c Candidate) weight(best Candidate) float64 {
	difference, uncertainty := float64(c.Wait-best.Wait), float64(c.Uncertainty+best.Uncertainty)
	switch {
	case difference <= 0:
		return 1
	case uncertainty <= 0:
		return 0
	}
	return math.Exp(-difference / uncertainty)
}
