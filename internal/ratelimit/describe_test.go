package ratelimit

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against descriptions that use up or drop permits, or differ from Allows.
func TestDescribeIsAllowsWithoutEffects(t *testing.T) {
	g := NewWithT(t)
	r, now := newTestRegistry(t)
	g.Expect(r.Describe(testReplica)).To(Equal(Description{Allowed: true}))
	r.Observe(testReplica, limitOf(2), time.Millisecond)
	*now += time.Second
	g.Expect(r.Describe(testReplica)).To(Equal(Description{Limited: true}))
	g.Expect(r.Allows(testReplica)).To(BeFalse())
	known := r.replicas[testReplica]
	known.permits.add(1, *now+time.Second)
	known.permits.add(1, *now+2*time.Second)
	*now += 1500 * time.Millisecond
	g.Expect(r.Describe(testReplica)).To(Equal(Description{Limited: true, Allowed: true}))
	g.Expect(known.permits.grants).To(HaveLen(2), "expired permits are not dropped")
	g.Expect(r.Allows(testReplica)).To(BeTrue())

	r.SetWarmUps([]WarmUp{{Replica: testReplica, PerSecond: 1, Left: time.Minute, Sequence: 1}})
	g.Expect(r.Describe(testReplica)).To(Equal(Description{Limited: true, Cold: true}), "earlier permits are not for a cold replica")
	g.Expect(known.permits.count(*now)).To(Equal(1))
	g.Expect(r.Allows(testReplica)).To(BeFalse())
	*now += 2 * time.Minute
	g.Expect(r.Describe(testReplica).Cold).To(BeFalse())
	g.Expect(r.warmUps[testReplica].until).NotTo(BeZero(), "the warm-up is not ended")
}
