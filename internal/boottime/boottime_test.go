package boottime

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a clock that stands still or goes back.
func TestClockAdvances(t *testing.T) {
	g := NewWithT(t)
	before := Now()
	time.Sleep(5 * time.Millisecond)
	g.Expect(Now() - before).To(BeNumerically(">=", 5*time.Millisecond))
}
