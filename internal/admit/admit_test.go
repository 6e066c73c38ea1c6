package admit

import (
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func newAdmission(t *testing.T, o Options) *Admission {
	t.Helper()
	a, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// acquireAll admits queries until one is refused, and returns that error.
func acquireAll(a *Admission, service string) (releases []Release, refused error) {
	for {
		release, err := a.Acquire(service)
		if err != nil {
			return releases, err
		}
		releases = append(releases, release)
	}
}

// Guards against a refusal without the service and the retry time, which the
// response 429 (Too Many Requests) needs.
func TestAcquireRefusesAboveLimit(t *testing.T) {
	g := NewWithT(t)
	a := newAdmission(t, Options{InitialLimit: 5})
	releases, err := acquireAll(a, "mill")
	g.Expect(releases).To(HaveLen(5))
	overloaded, ok := errors.AsType[*OverloadedError](err)
	g.Expect(ok).To(BeTrue())
	g.Expect(overloaded.Service).To(Equal("mill"))
	g.Expect(overloaded.RetryAfter).To(BeNumerically(">", 0))
	releases[0](Feedback{Latency: time.Millisecond})
	releases[0](Feedback{Latency: time.Millisecond})
	_, inFlight := a.Limit("mill")
	g.Expect(inFlight).To(Equal(4), "a second release of a query has no effect")
	_, err = a.Acquire("other")
	g.Expect(err).NotTo(HaveOccurred(), "services don't share a limit")
}

// Guards against a limit that decreases once for every reply of a round trip, and
// against a limit below MinLimit, which would admit no query of the service.
func TestLimitDecreasesOncePerRoundTripDownToFloor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		a := newAdmission(t, Options{InitialLimit: 100, MinLimit: 3})
		longWait := Feedback{MaxQueueWait: 60 * time.Millisecond, Latency: 50 * time.Millisecond, LatencyGoal: 200 * time.Millisecond}
		time.Sleep(time.Second)
		releases, _ := acquireAll(a, "mill")
		for _, release := range releases {
			release(longWait)
		}
		limit, _ := a.Limit("mill")
		g.Expect(limit).To(Equal(80.0))
		for range 50 {
			time.Sleep(60 * time.Millisecond)
			release, err := a.Acquire("mill")
			g.Expect(err).NotTo(HaveOccurred())
			release(Feedback{Refused: true, Latency: 50 * time.Millisecond})
		}
		limit, _ = a.Limit("mill")
		g.Expect(limit).To(Equal(3.0))
	})
}

// Guards against a limit that doesn't recover after a decrease, that increases while
// few queries are in flight, or that increases by more than one query per round
// trip.
func TestLimitIncreasesAdditivelyOnlyWhenUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		a := newAdmission(t, Options{InitialLimit: 10, Increase: 1})
		shortWait := Feedback{MaxQueueWait: time.Millisecond, Latency: 5 * time.Millisecond, LatencyGoal: 200 * time.Millisecond}
		for range 100 {
			release, _ := a.Acquire("mill")
			release(shortWait)
		}
		limit, _ := a.Limit("mill")
		g.Expect(limit).To(Equal(10.0), "a single query in flight must not raise the limit")
		time.Sleep(time.Second)
		releases, _ := acquireAll(a, "mill")
		for _, release := range releases {
			release(Feedback{Refused: true, Latency: 5 * time.Millisecond})
		}
		limit, _ = a.Limit("mill")
		g.Expect(limit).To(Equal(8.0))
		for range 20 {
			time.Sleep(10 * time.Millisecond)
			releases, _ := acquireAll(a, "mill")
			for _, release := range releases {
				release(shortWait)
			}
		}
		limit, _ = a.Limit("mill")
		g.Expect(limit).To(BeNumerically(">", 13))
		g.Expect(limit).To(BeNumerically("<=", 28))
	})
}

// Guards against a new service that needs many round trips until its limit allows
// it to use its slots.
func TestLimitOfNewServiceDoublesPerRoundTrip(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		a := newAdmission(t, Options{InitialLimit: 4})
		for range 4 {
			releases, _ := acquireAll(a, "mill")
			time.Sleep(5 * time.Millisecond)
			for _, release := range releases {
				release(Feedback{Latency: 5 * time.Millisecond, LatencyGoal: 200 * time.Millisecond})
			}
		}
		limit, _ := a.Limit("mill")
		g.Expect(limit).To(BeNumerically(">=", 16))
	})
}

// Guards against keeping the state of withdrawn services for ever, and against a
// late release that changes the state of a new service of the same name.
func TestRetainDropsWithdrawnServices(t *testing.T) {
	g := NewWithT(t)
	a := newAdmission(t, Options{InitialLimit: 4})
	releases, _ := acquireAll(a, "mill")
	a.Retain(func(service string) bool { return service != "mill" })
	g.Expect(a.services).To(BeEmpty())
	releases[0](Feedback{Refused: true, Latency: time.Second})
	limit, inFlight := a.Limit("mill")
	g.Expect(limit).To(Equal(4.0))
	g.Expect(inFlight).To(Equal(0))
}

// Guards against data races and lost updates of the queries in flight; run with
// -race.
func TestConcurrentUse(t *testing.T) {
	g := NewWithT(t)
	a := newAdmission(t, Options{InitialLimit: 8})
	var wg sync.WaitGroup
	for range 16 {
		wg.Go(func() {
			for range 200 {
				if release, err := a.Acquire("mill"); err == nil {
					release(Feedback{Latency: time.Microsecond})
				}
			}
		})
	}
	wg.Wait()
	_, inFlight := a.Limit("mill")
	g.Expect(inFlight).To(Equal(0))
}

// Guards against accepting options with which the limit can't work.
func TestOptions(t *testing.T) {
	g := NewWithT(t)
	for _, o := range []Options{{DecreaseFactor: 1}, {MinLimit: 0.5}, {InitialLimit: 10, MaxLimit: 5}} {
		_, err := New(o)
		_, ok := errors.AsType[*OptionError](err)
		g.Expect(ok).To(BeTrue(), "%+v", o)
	}
}
