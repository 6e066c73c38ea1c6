package ratelimit

import (
	"encoding/json"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

const (
	// warmUpWindow, warmUpFactor and warmUpSlack are the users' bound: in warmUpWindow a cold
	// replica gets at most warmUpFactor times its rate, and warmUpSlack more.
	warmUpWindow = time.Second
	warmUpFactor = 1.5
	warmUpSlack  = 5
)

// mostInSecond returns the most arrivals in warmUpWindow, from the start on.
func (r *simReplica) mostInSecond() int {
	most, first := 0, 0
	for i, at := range r.all {
		for at.Sub(r.all[first]) > warmUpWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func (f *fleet) expectWarmUpsKept(t *testing.T, d simDeployment) {
	bound := int(warmUpFactor*d.cold) + warmUpSlack
	most, total := 0, 0
	for _, r := range f.replicas {
		most, total = max(most, r.mostInSecond()), total+len(r.all)
	}
	used := float64(total) / (d.cold * float64(len(f.replicas)) * time.Since(f.began).Seconds())
	t.Logf("at most %d in a second, %d allowed; used %.2f of the rate", most, bound, used)
	NewWithT(t).Expect(most).To(BeNumerically("<=", bound))
}

var coldDeployments = map[string]simDeployment{
	"7 hosts":               {dataCentres: 3, hosts: 7, replicas: 3, cold: 5, load: 300, work: 10 * time.Millisecond},
	"79 hosts, 1 a second":  {dataCentres: 3, hosts: 79, replicas: 3, cold: 1, load: 400, work: 20 * time.Millisecond},
	"79 hosts, 40 a second": {dataCentres: 3, hosts: 79, replicas: 3, cold: 40, load: 800, work: 20 * time.Millisecond},
	"300 hosts, 2":          {dataCentres: 5, hosts: 300, replicas: 5, cold: 2, load: 600, work: 20 * time.Millisecond},
	"300 hosts, 60":         {dataCentres: 5, hosts: 300, replicas: 5, cold: 60, load: 800, work: 20 * time.Millisecond},
}

// Guards against more requests to a cold replica in any one second, over all hosts, than it
// survives: in steady overload, while the grantor is gone, when another one starts, while
// two grant, and when all hosts start at the same time.
func TestHostsTogetherKeepWarmUpRates(t *testing.T) {
	for name, d := range coldDeployments {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, d)
				f.run(d, 4*time.Second)
				f.down["host0"] = true
				f.run(d, 3*time.Second)
				f.addHost(t, "host0", "dc0", d.hosts).leadsSince = time.Since(f.began)
				f.down["host0"] = false
				f.run(d, 7*time.Second)
				rival := f.hosts[d.dataCentres]
				rival.leadsSince = time.Since(f.began)
				f.rival = rival.name
				f.run(d, handoverTime)
				f.hosts[0], f.hosts[d.dataCentres] = rival, f.hosts[0]
				f.rival = ""
				f.run(d, 2*time.Second)
				for i := range d.hosts {
					f.addHost(t, f.hosts[i].name, f.hosts[i].dataCentre, d.hosts)
				}
				f.run(d, 2*time.Second)
				f.expectWarmUpsKept(t, d)
			})
		})
	}
}

// Guards against permits that hosts hold back and then use all at once, beside those that are
// granted in the second after it.
func TestHeldBackPermitsKeepTheBound(t *testing.T) {
	for _, rate := range []float64{0.5, 4, 100, 1000} {
		g := NewWithT(t)
		r, now := newTestRegistry(t)
		r.SetWarmUps([]WarmUp{{Replica: testReplica, PerSecond: rate, Left: time.Hour, Sequence: 1}})
		ask := func() int {
			r.mu.Lock()
			w := want{Replica: testReplica, Count: 1000, Cold: r.coldStateOf(testReplica)}
			r.mu.Unlock()
			p := r.permit([]want{w}, Leader{})[0]
			r.mu.Lock()
			defer r.mu.Unlock()
			r.record(&w, p, *now)
			return p.Granted
		}
		const step = 5 * time.Millisecond
		for range 5 * time.Second / step {
			*now += step
			ask()
		}
		r.mu.Lock()
		used := r.replicas[testReplica].permits.held(*now)
		r.mu.Unlock()
		for range warmUpWindow / step {
			*now += step
			used += ask()
		}
		g.Expect(used).To(BeNumerically("<=", int(warmUpFactor*rate)+warmUpSlack), "%v a second", rate)
	}
}

// Guards against a rate that is hardly used, so that a replica can't warm up.
func TestWarmUpRateIsUsed(t *testing.T) {
	for name, d := range coldDeployments {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, d)
				f.run(d, 10*time.Second)
				total := 0
				for _, r := range f.replicas {
					total += len(r.all)
				}
				used := float64(total) / (d.cold * float64(d.replicas) * 10)
				t.Logf("used %.2f of the rate", used)
				NewWithT(t).Expect(used).To(BeNumerically(">=", 0.5))
			})
		})
	}
}

// warmUpOf is a registered warm-up of testReplica.
func warmUpOf(sequence uint64, left time.Duration) []WarmUp {
	return []WarmUp{{Replica: testReplica, PerSecond: 4, Left: left, Sequence: sequence}}
}

// Guards against a warm-up that outlives its registered end or its time, one that a late copy
// of its registration begins again, and replicas of services without a rate that are
// limited.
func TestWarmUpEndsByRegistrationOrTime(t *testing.T) {
	g := NewWithT(t)
	r, now := newTestRegistry(t)
	r.SetWarmUps(nil)
	r.ObserveWarmUp(testReplica, time.Minute)
	g.Expect(r.Allows(testReplica)).To(BeTrue(), "no rate is configured")
	r.SetWarmUps(warmUpOf(1, 10*time.Second))
	g.Expect(r.Cold(testReplica)).To(BeTrue())
	g.Expect(r.Limited(testReplica)).To(BeTrue())
	g.Expect(r.Allows(testReplica)).To(BeFalse(), "no permit")
	g.Expect(r.Take(testReplica)).To(BeFalse())
	g.Expect(r.ColdPermitIn(testReplica)).To(BeNumerically(">", 0))
	*now += 5 * time.Second
	r.SetWarmUps(warmUpOf(1, 10*time.Second))
	*now += 5 * time.Second
	g.Expect(r.Allows(testReplica)).To(BeTrue(), "its time is over")
	g.Expect(r.ColdPermitIn(testReplica)).To(BeZero())
	r.SetWarmUps(warmUpOf(1, 10*time.Second))
	g.Expect(r.Cold(testReplica)).To(BeFalse())
	r.SetWarmUps(warmUpOf(2, 10*time.Second))
	g.Expect(r.Cold(testReplica)).To(BeTrue(), "cold again")
	r.SetWarmUps(warmUpOf(3, 0))
	g.Expect(r.Cold(testReplica)).To(BeFalse(), "its registration says so")
	r.SetWarmUps(warmUpOf(2, 10*time.Second))
	g.Expect(r.Cold(testReplica)).To(BeFalse(), "an older registration")
	r.SetWarmUps(warmUpOf(4, 10*time.Second))
	r.SetWarmUps(nil)
	g.Expect(r.Allows(testReplica)).To(BeTrue(), "the rate was withdrawn")
	g.Expect(r.coldCount.Load()).To(BeZero())
}

// Guards against the higher one of a stated limit and the warm-up rate that binds, and against
// permits of the stated limit that outlive the start of the warm-up.
func TestLowerOfStatedLimitAndWarmUpRateBinds(t *testing.T) {
	g := NewWithT(t)
	r, now := newTestRegistry(t)
	r.Observe(testReplica, limitOf(2), time.Millisecond)
	r.mu.Lock()
	r.replicas[testReplica].permits.add(2, *now+time.Minute)
	r.mu.Unlock()
	r.SetWarmUps(warmUpOf(1, time.Minute))
	g.Expect(r.Take(testReplica)).To(BeFalse(), "permits of before")
	rate := func() float64 {
		r.mu.Lock()
		defer r.mu.Unlock()
		if known := r.limitedLocked(testReplica); known != nil {
			return known.rate()
		}
		return 0
	}
	g.Expect(rate()).To(Equal(2.0))
	r.Observe(testReplica, limitOf(9), time.Millisecond)
	g.Expect(rate()).To(Equal(4.0))
	*now += time.Second
	r.Observe(testReplica, wire.RateLimit{State: wire.RateUnlimited}, time.Millisecond)
	g.Expect(rate()).To(Equal(4.0))
	*now += time.Minute
	g.Expect(rate()).To(BeZero())
}

// Guards against permits that a grantor granted before it knew that the replica is cold.
func TestPermitsOfBeforeTheWarmUpDoNotCount(t *testing.T) {
	g := NewWithT(t)
	r, now := newTestRegistry(t)
	r.SetWarmUps(warmUpOf(1, time.Minute))
	r.mu.Lock()
	defer r.mu.Unlock()
	g.Expect(r.limitedLocked(testReplica)).NotTo(BeNil())
	r.record(&want{Replica: testReplica, Count: 9}, permission{Granted: 9}, *now)
	g.Expect(r.replicas[testReplica].permits.held(*now)).To(BeZero())
	r.record(&want{Replica: testReplica, Count: 9, Cold: r.coldStateOf(testReplica)}, permission{Granted: 1}, *now-warmUpValidity+1)
	g.Expect(r.replicas[testReplica].permits.held(*now)).To(Equal(1))
	g.Expect(r.replicas[testReplica].permits.held(*now+1)).To(BeZero(), "counted from the question")
}

// Guards against a replica that becomes cold again by a health response that one host sees, while
// the others go on at their usual rate; against an older response that counts for a later
// registration; and against a host that waits for permits although the grantor knows
// that the replica is warm.
func TestHostsTellEachOtherOfColdReplicas(t *testing.T) {
	g := NewWithT(t)
	observer, now := newTestRegistry(t)
	leader, leaderNow := newTestRegistry(t)
	follower, _ := newTestRegistry(t)
	for _, r := range []*Registry{observer, leader, follower} {
		r.SetWarmUps(warmUpOf(7, 0))
	}
	observer.ObserveWarmUp(testReplica, 10*time.Second)
	told, _ := observer.Since(0)
	g.Expect(leader.Learn(told)).To(Succeed())
	passedOn, _ := leader.Since(0)
	g.Expect(follower.Learn(passedOn)).To(Succeed())
	for _, r := range []*Registry{observer, leader, follower} {
		g.Expect(r.Cold(testReplica)).To(BeTrue())
		r.SetWarmUps(warmUpOf(7, 0))
		g.Expect(r.Cold(testReplica)).To(BeTrue(), "the registration is older")
	}
	late, lateNow := newTestRegistry(t)
	late.SetWarmUps(warmUpOf(6, 0))
	*lateNow += time.Second
	late.SetWarmUps(warmUpOf(8, 0))
	g.Expect(late.Learn(passedOn)).To(Succeed())
	g.Expect(late.Cold(testReplica)).To(BeFalse(), "a later registration says that it is warm")

	observer.SetWarmUps(warmUpOf(8, time.Hour)) // this host got an old registration late
	leader.SetWarmUps(warmUpOf(8, 5*time.Second))
	*now += 11 * time.Second
	*leaderNow += 11 * time.Second
	observer.mu.Lock()
	wants := []want{{Replica: testReplica, Count: 1, Cold: observer.coldStateOf(testReplica)}}
	observer.mu.Unlock()
	body, err := json.Marshal(&question{Wants: wants})
	g.Expect(err).NotTo(HaveOccurred())
	text, err := leader.Answer(body)
	g.Expect(err).NotTo(HaveOccurred())
	permissions, err := decodeAnswer(text, wants)
	g.Expect(err).NotTo(HaveOccurred())
	observer.mu.Lock()
	observer.record(&wants[0], permissions.Permissions[0], *now)
	observer.mu.Unlock()
	g.Expect(observer.Cold(testReplica)).To(BeFalse())
}

// Guards against warm-ups of a peer that are no times.
func TestMalformedWarmUpsOfPeersAreRefused(t *testing.T) {
	g := NewWithT(t)
	for _, cold := range []string{
		`{"per_second": 0, "left": 5}`, `{"per_second": -1, "left": 5}`, `{"per_second": 1, "left": -5}`,
		`{"per_second": 1, "left": ` + strconv.FormatInt(int64(maxWarmUp)+1, 10) + `}`, `{"per_second": 1, "age": -1}`,
	} {
		_, err := decodeQuestion([]byte(`{"wants": [{"replica": "a", "count": 1, "cold": ` + cold + `}]}`))
		g.Expect(err).To(HaveOccurred(), cold)
		_, err = decodeQuestion([]byte(`{"observed": [{"replica": "a", "cold": ` + cold + `}]}`))
		g.Expect(err).To(HaveOccurred(), cold)
	}
}
