package quota

import (
	"math"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
)

const testAccount = "alpha"

// newTestGrantor returns a grantor "g" of a deployment of some hosts, whose accounts all
// have the quota of 10 requests a second with a burst of 10: the bound is 86 requests in
// 5 s, 26 above the quota.
func newTestGrantor(hosts int) *grantor {
	g := newGrantor(func(*accountReport) limit { return DefaultBounds.limit(10, 10) })
	g.hosts = hosts
	return g
}

// allowManySpares gives the test account a slack that leaves hosts some ten credits in
// advance, and returns the capacity of its bucket.
func allowManySpares(g *grantor) float64 {
	l := Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 80}.limit(10, 10)
	g.limitOf = func(*accountReport) limit { return l }
	return l.capacity
}

// newReport returns a report of a host with the next sequence number.
func newReport(host string, sequence uint64, accounts ...accountReport) *report {
	return &report{
		Host: host, Process: 1, Sequence: sequence, Grantor: "g", Leaders: []string{"g"}, Hold: holdTime(1),
		Accounts: accounts,
	}
}

func waitingFor(requests int) accountReport {
	return accountReport{Name: testAccount, Epoch: 1, RatePerSecond: 10, Burst: 10, Waiting: requests}
}

// settledGrantor returns a grantor with one host "h" in touch of some, after handoverTime
// and with a full bucket, and the time.
func settledGrantor(t *testing.T, hosts int) (*grantor, time.Duration) {
	g, now := newTestGrantor(hosts), time.Duration(0)
	for sequence := uint64(1); now < 2*handoverTime; sequence++ {
		mustHandle(t, g, newReport("h", sequence), now)
		now += minReportInterval
	}
	return g, now
}

func mustHandle(t *testing.T, g *grantor, r *report, now time.Duration) *answer {
	t.Helper()
	a, err := g.handle(r, now)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// Guards against credits that are counted twice, or forgotten, after a report or an answer
// is lost, repeated or late.
func TestReportsAreRepeatable(t *testing.T) {
	g := NewWithT(t)
	gr, now := settledGrantor(t, 1)
	full := allowManySpares(gr)
	first := waitingFor(4)
	first.Spare = 3
	a := mustHandle(t, gr, newReport("h", 1000, first), now)
	g.Expect(a.Accounts[0].Granted).To(Equal(7))
	b := gr.buckets[testAccount]
	g.Expect(b.level).To(BeNumerically("~", full-4, 1e-9))
	g.Expect(b.reserved).To(Equal(3))

	_, err := gr.handle(newReport("h", 999, waitingFor(4)), now)
	var stale *StaleReportError
	g.Expect(errors.As(err, &stale)).To(BeTrue(), "late")
	g.Expect(b.level).To(BeNumerically("~", full-4, 1e-9))
	g.Expect(b.reserved).To(Equal(3))

	// The answer was lost: the host states that it holds no credit and has used none.
	mustHandle(t, gr, newReport("h", 1001, waitingFor(1)), now)
	g.Expect(b.reserved).To(BeZero())
	g.Expect(b.level).To(BeNumerically("~", full-1, 1e-9))

	used := waitingFor(0)
	used.Used = 1
	mustHandle(t, gr, newReport("h", 1002, used), now)
	mustHandle(t, gr, newReport("h", 1003, used), now)
	g.Expect(b.reserved).To(BeZero())
	g.Expect(b.level).To(BeNumerically("~", full-1, 1e-9))

	mustHandle(t, gr, newReport("h", 1010), now) // nothing to state
	late := waitingFor(0)
	late.Acked = 1
	late.Used = 0
	mustHandle(t, gr, newReport("h", 1011, late), now)
	g.Expect(b.level).To(BeNumerically("~", full, 1e-9), "refunded after that")

	mustHandle(t, gr, newReport("h", 1012, waitingFor(1)), now)
	used.Used = 0
	mustHandle(t, gr, newReport("h", 1013, used), now)
	g.Expect(b.level).To(BeNumerically("~", full, 1e-9))
}

// Guards against a full bucket that is not refilled until the use of a credit is reported:
// a request would be refused that the quota admits.
func TestFullBucketIsRefilledAtOnce(t *testing.T) {
	g := NewWithT(t)
	gr, now := settledGrantor(t, 1)
	mustHandle(t, gr, newReport("h", 1000, waitingFor(1)), now)
	b := gr.buckets[testAccount]
	full := capacity(b.limit, 1)
	now += 100 * time.Millisecond
	gr.sweep(now, true)
	b.refill(gr.weightedSecondsOf(testAccount, now), 1, now)
	g.Expect(b.level - float64(b.reserved)).To(BeNumerically("~", full, 1e-9))
}

// Guards against credits that a killed host may have used and that are granted again.
func TestCreditsOfAKilledHostCountAsUsed(t *testing.T) {
	g := NewWithT(t)
	gr, now := settledGrantor(t, 1)
	allowManySpares(gr)
	five, three := waitingFor(0), waitingFor(0)
	five.Spare, three.Spare = 5, 3
	mustHandle(t, gr, newReport("h", 1000, five), now)
	b := gr.buckets[testAccount]
	before := b.level
	again := newReport("h", 1)
	again.Process = 2
	mustHandle(t, gr, again, now)
	g.Expect(b.level).To(BeNumerically("~", before-5, 1e-9))
	g.Expect(b.reserved).To(BeZero())

	again.Sequence, again.Accounts = 2, []accountReport{three}
	mustHandle(t, gr, again, now)
	gr.sweep(now+holdTime(1), false) // silent
	g.Expect(b.level).To(BeNumerically("~", before-5-3, 1e-9))
	g.Expect(b.reserved).To(BeZero())
}

// Guards against a grantor that grants, when it wakes up, what hosts used by their shares
// while it was suspended.
func TestSuspendedGrantorIsNotRefilled(t *testing.T) {
	g := NewWithT(t)
	gr, now := settledGrantor(t, 1)
	granted := mustHandle(t, gr, newReport("h", 1000, waitingFor(1000)), now).Accounts[0].Granted
	g.Expect(granted).To(BeNumerically(">", 10))
	used := waitingFor(1000)
	used.Used = int64(granted)
	now += time.Minute
	woken := mustHandle(t, gr, newReport("h", 1001, used), now).Accounts[0].Granted
	// The host counted for the hold time after its last report.
	g.Expect(woken).To(BeNumerically("<=", 10*holdTime(1).Seconds()))
}

// Guards against a refill for the time after a host's reports have ended, when it uses its
// share.
func TestHostsCountUntilTheirReportsEnd(t *testing.T) {
	g := NewWithT(t)
	gr, now := settledGrantor(t, 2)
	mustHandle(t, gr, newReport("i", 1), now)
	mustHandle(t, gr, newReport("h", 1000, waitingFor(1)), now)
	hold := holdTime(1)
	used := waitingFor(0)
	used.Used = 20
	mustHandle(t, gr, newReport("h", 1001, used), now+hold*8/10)
	level := gr.buckets[testAccount].level
	mustHandle(t, gr, newReport("h", 1002, used), now+hold*16/10)
	// The refill since h alone was in touch, and with i before.
	refill := DefaultBounds.limit(10, 10).refillPerSecond * (0.8*hold.Seconds() + 0.2*hold.Seconds()) / 2
	g.Expect(gr.buckets[testAccount].level).To(BeNumerically("~", level+refill, 1e-6))
}

// Guards against a new grantor that grants a whole burst beside what the one before it
// has granted.
func TestNewGrantorBeginsAlmostEmpty(t *testing.T) {
	g := NewWithT(t)
	gr := newTestGrantor(1)
	granted := mustHandle(t, gr, newReport("h", 1, waitingFor(1000)), 0).Accounts[0].Granted
	g.Expect(granted).To(Equal(int(handoverSlack * DefaultBounds.Slack)))

	settled, now := settledGrantor(t, 1)
	mustHandle(t, settled, newReport("h", 1000, waitingFor(0)), now)
	other := newReport("i", 1, waitingFor(0))
	other.Leaders = []string{"g", "z"}
	for chooseGrantor(other.Leaders, testAccount) != "g" {
		other.Leaders[1] += "z"
	}
	level := settled.buckets[testAccount].level
	mustHandle(t, settled, other, now)
	g.Expect(settled.buckets[testAccount].level).To(BeNumerically("~", level, 1e-9), "the account was granted here before")
	var away string
	for i := 0; away == ""; i++ {
		if name := "b" + strconv.Itoa(i); chooseGrantor([]string{"g", "z"}, name) == "z" {
			away = name
		}
	}
	g.Expect((&group{leaders: []string{"g"}, address: "g", groupsBefore: []*group{{leaders: []string{"g", "z"}, address: "g"}}}).mayBeGrantedElsewhere(away)).To(BeTrue())
}

// Guards against a grantor that grants the shares of hosts that are cut off, and against
// one that keeps the shares of hosts that have ended.
func TestSharesOfSilentHostsAreKept(t *testing.T) {
	g := NewWithT(t)
	part := func(gr *grantor, now time.Duration) float64 {
		report := waitingFor(0)
		_, p := gr.bucketOf(&report, now)
		return p
	}
	gr, now := settledGrantor(t, 4)
	g.Expect(part(gr, now)).To(Equal(0.25))
	mustHandle(t, gr, newReport("i", 1), now)
	g.Expect(part(gr, now)).To(Equal(0.5))
	ended := newReport("i", 2)
	ended.Ended = true
	mustHandle(t, gr, ended, now)
	g.Expect(part(gr, now)).To(BeNumerically("~", 1.0/3, 1e-9), "ended")
	mustHandle(t, gr, newReport("j", 1), now)
	now += holdTime(1)
	mustHandle(t, gr, newReport("h", 1001), now)
	g.Expect(part(gr, now)).To(BeNumerically("~", 1.0/3, 1e-9), "j is silent")
	gr.hosts = 2
	g.Expect(part(gr, now)).To(Equal(0.5), "j may be cut off although it is not counted")
	gr.setGone("j", 2, now)
	g.Expect(part(gr, now)).To(Equal(0.5), "another process of j")
	gr.setGone("j", 1, now)
	g.Expect(part(gr, now)).To(Equal(1.0))
}

// Guards against unused credits that take the last of the burst from requests at other
// hosts.
func TestSpareCreditsLeaveTheBurst(t *testing.T) {
	g := NewWithT(t)
	gr, now := settledGrantor(t, 1)
	report := waitingFor(1)
	report.Spare = 1000
	granted := mustHandle(t, gr, newReport("h", 1000, report), now).Accounts[0].Granted
	b := gr.buckets[testAccount]
	g.Expect(granted).To(Equal(int(b.limit.spare)))
	g.Expect(b.level - float64(b.reserved)).To(BeNumerically(">=", 10))
}

// Guards against a Retry-After at which there is no token, because requests that were
// refused before take it, and against one that is much too long.
func TestRetryAfterCountsThoseRefusedBefore(t *testing.T) {
	g := NewWithT(t)
	gr, now := settledGrantor(t, 1)
	const waiting = 40
	a := mustHandle(t, gr, newReport("h", 1000, waitingFor(waiting)), now).Accounts[0]
	g.Expect(a.Granted).To(BeNumerically("<", waiting))
	refused := time.Duration(waiting - a.Granted)
	g.Expect(a.Gap).To(Equal(seconds(1 / DefaultBounds.limit(10, 10).refillPerSecond)))
	used := waitingFor(1)
	used.Used = int64(a.Granted)
	next := mustHandle(t, gr, newReport("h", 1001, used), now).Accounts[0]
	g.Expect(next.TokenIn).To(Equal(a.TokenIn))
	g.Expect(next.RetryIn).To(BeNumerically("~", a.RetryIn+waiting*a.Gap, 10*a.Gap))
	g.Expect(next.RetryIn).To(BeNumerically(">=", a.RetryIn+refused*a.Gap), "after all of those")
}

// Guards against state of a grantor that grows with what peers send.
func TestGrantorIsBounded(t *testing.T) {
	g := NewWithT(t)
	gr := newTestGrantor(1)
	for i := range 3 * maxGroups {
		r := newReport("h"+strconv.Itoa(i), 1)
		r.Leaders = []string{"g", "l" + strconv.Itoa(i)}
		_, _ = gr.handle(r, 0)
	}
	g.Expect(len(gr.groups)).To(Equal(maxGroups))
	for i := range maxMembers + 10 {
		_, _ = gr.handle(newReport("m"+strconv.Itoa(i), 1), 0)
	}
	g.Expect(len(gr.members)).To(Equal(maxMembers))
	_, err := gr.handle(newReport("one more", 1), 0)
	var full *FullError
	g.Expect(errors.As(err, &full)).To(BeTrue())

	gr = newTestGrantor(1)
	for i := range maxBuckets + 10 {
		a := waitingFor(1)
		a.Name = strconv.Itoa(i)
		mustHandle(t, gr, newReport("h", uint64(i+1), a), 0)
	}
	g.Expect(len(gr.buckets)).To(Equal(maxBuckets))
	_, err = gr.handle(newReport("h", math.MaxInt64), silentRetention+2*holdTime(1))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(gr.members)).To(Equal(1))
	g.Expect(gr.members["h"].credits).To(BeEmpty())
}

// Guards against shares of hosts without a grantor that add up to more than the quota:
// each of 300 hosts that saves one request has many times the burst of a small account.
func TestSharesAddUpToOneQuota(t *testing.T) {
	for _, c := range []struct {
		hosts       int
		rate, burst float64
	}{{300, 2, 5}, {300, 100, 100}, {79, 20, 1}, {8, 1, 1}, {27, 20, 100}} {
		t.Run(strconv.Itoa(c.hosts)+" hosts, "+strconv.FormatFloat(c.rate, 'f', 0, 64), func(t *testing.T) {
			g := NewWithT(t)
			limit := DefaultBounds.limit(c.rate, c.burst)
			load := &simLoadResult{}
			for host := range c.hosts {
				// The golden ratio spreads the beginnings evenly.
				u := &use{limit: limit, position: math.Mod(float64(host)*math.Phi, 1)}
				for now := time.Second; now < 40*time.Second; now += 20 * time.Millisecond {
					if now > 10*time.Second && now < 20*time.Second {
						continue // saves tokens
					}
					if ok, _ := u.takeShare(outage{since: time.Second, countedUntil: 2 * time.Second, hosts: c.hosts}, now); ok {
						load.admitted = append(load.admitted, time.Time{}.Add(now))
					}
				}
			}
			g.Expect(len(load.admitted)).To(BeNumerically(">", 0.7*c.rate*28), "the share is used")
			g.Expect(float64(load.mostInWindow())).To(BeNumerically("<=", (5*c.rate+limit.burst)*(1+DefaultBounds.Overage)+DefaultBounds.Slack))
		})
	}
}
