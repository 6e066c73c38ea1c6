package boottime

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a clock that does not advance or that steps back.
func TestNowAdvances(t *testing.T) {
	g := NewWithT(t)
	before := Now()
	time.Sleep(5 * time.Millisecond)
	g.Expect(Now() - before).To(BeNumerically(">=", 5*time.Millisecond))
}
