package ratelimit

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/release"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

const testReplica = wire.ReplicaID("10.0.0.1:80/i-1/17")

// newTestRegistry returns a registry of a host that leads the only data centre, and its
// clock.
func newTestRegistry(t *testing.T) (*Registry, *time.Duration) {
	t.Helper()
	now := time.Hour
	r, err := New(Options{
		Clock:        func() time.Duration { return now },
		Leaders:      func() []Leader { return []Leader{{DataCentre: "dc", PeerAddr: "self", Self: true}} },
		DataCentreOf: func(wire.ReplicaID) string { return "dc" },
		Transport:    NewHTTPTransport(),
	})
	if err != nil {
		t.Fatal(err)
	}
	return r, &now
}

func limitOf(perSecond float64) wire.RateLimit {
	return wire.RateLimit{State: wire.RateLimited, PerSecond: perSecond}
}

// Guards against a response without a limit that overtakes nothing but was late: it was
// sent before the replica advertised its limit.
func TestResponseToAnEarlierRequestDoesNotEndTheLimit(t *testing.T) {
	g := NewWithT(t)
	r, now := newTestRegistry(t)
	r.Observe(testReplica, limitOf(2), time.Millisecond)
	*now += 100 * time.Millisecond
	r.Observe(testReplica, wire.RateLimit{State: wire.RateUnlimited}, 150*time.Millisecond)
	g.Expect(r.Limited(testReplica)).To(BeTrue())
	r.Observe(testReplica, wire.RateLimit{}, time.Millisecond)
	g.Expect(r.Limited(testReplica)).To(BeTrue(), "a failed request says nothing of the limit")
	r.Observe(testReplica, wire.RateLimit{State: wire.RateUnlimited}, 50*time.Millisecond)
	g.Expect(r.Limited(testReplica)).To(BeFalse())
	g.Expect(r.Allows(testReplica)).To(BeTrue())
}

// Guards against restarted hosts that send at their own rate until a replica tells them
// its limit, and against older news that brings an ended limit back.
func TestHostsLearnLimitsFromPeers(t *testing.T) {
	g := NewWithT(t)
	veteran, now := newTestRegistry(t)
	veteran.Observe(testReplica, limitOf(2), time.Millisecond)
	*now += time.Second
	known, revision := veteran.Since(0)
	g.Expect(known).To(HaveLen(1))

	restarted, restartedNow := newTestRegistry(t)
	g.Expect(restarted.Learn(known)).To(Succeed())
	g.Expect(restarted.Limited(testReplica)).To(BeTrue())
	g.Expect(restarted.Take(testReplica)).To(BeFalse(), "a restarted host has no permit")

	*restartedNow += 10 * time.Millisecond
	restarted.Observe(testReplica, wire.RateLimit{State: wire.RateUnlimited}, 5*time.Millisecond)
	g.Expect(restarted.Learn(known)).To(Succeed())
	g.Expect(restarted.Limited(testReplica)).To(BeFalse(), "the peer's news is older")

	unchanged, _ := veteran.Since(revision)
	g.Expect(unchanged).To(BeEmpty())
	*now += 10 * time.Millisecond
	veteran.Observe(testReplica, wire.RateLimit{State: wire.RateUnlimited}, 5*time.Millisecond)
	ended, _ := veteran.Since(revision)
	g.Expect(ended).To(HaveLen(1))
	g.Expect(ended[0].Limited).To(BeFalse())
}

// Guards against permits that outlive a suspension of the host or are saved up.
func TestUnusedPermitsEnd(t *testing.T) {
	g := NewWithT(t)
	r, now := newTestRegistry(t)
	r.Observe(testReplica, limitOf(100), time.Millisecond)
	r.mu.Lock()
	r.replicas[testReplica].permits.add(3, *now+permitValidity(100))
	r.mu.Unlock()
	g.Expect(r.Take(testReplica)).To(BeTrue())
	*now += permitValidity(100)
	g.Expect(r.Allows(testReplica)).To(BeFalse())
	g.Expect(r.Take(testReplica)).To(BeFalse())
}

// Guards against a query that does without permits because it counts on a replica out of
// use, whose limit does not bind, and against permits that are asked for such a replica.
func TestReplicasOutOfUseNeedNoPermits(t *testing.T) {
	g := NewWithT(t)
	r, _ := newTestRegistry(t)
	r.options.Unusable = func(id wire.ReplicaID) bool { return id != testReplica }
	r.Observe(testReplica, limitOf(2), time.Millisecond)
	r.Observe("limited", limitOf(2), time.Millisecond)
	shard := &release.Shard{Replicas: []release.Replica{{Addr: "limited"}, {Addr: "unlimited"}, {Addr: testReplica}}}
	r.mu.Lock()
	defer r.mu.Unlock()
	for range 20 {
		g.Expect(r.choose(shard)).To(Equal(shardChoice{replica: testReplica, known: r.replicas[testReplica]}))
	}
}

// Guards against a limit of 0, or close to it, that lasts for ever because no request
// could show that it has ended.
func TestLimitOfZeroIsProbed(t *testing.T) {
	g := NewWithT(t)
	grants := newGrantor()
	limit := &replicaLimit{limit: limitOf(0)}
	granted := 0
	for at := time.Duration(0); at <= time.Minute; at += 100 * time.Millisecond {
		n, _ := grants.grant(testReplica, limit.rate(), burstTime, 1, at)
		granted += n
	}
	g.Expect(granted).To(BeNumerically("~", 60*minRate, 1))
}

// Guards against a host that grants permits after it has lost its seat: two grantors
// allow twice the limit.
func TestOnlyLeadersGrantPermits(t *testing.T) {
	g := NewWithT(t)
	r, _ := newTestRegistry(t)
	r.options.Leaders = func() []Leader { return []Leader{{DataCentre: "dc", PeerAddr: "other"}} }
	_, err := r.Answer([]byte(`{"wants": [{"replica": "a", "count": 1}]}`))
	var noGrantor *NoGrantorError
	g.Expect(errors.As(err, &noGrantor)).To(BeTrue())
}

// Guards against messages of another program that end the process or grant permits
// without end.
func TestMalformedMessagesAreRefused(t *testing.T) {
	g := NewWithT(t)
	for _, body := range []string{
		`x`, `{"wants": [{"replica": "a", "count": -1}]}`, `{"wants": [{"count": 99999999999}]}`,
		`{"observed": [{"replica": "", "limited": true}]}`, `{"observed": [{"replica": "a", "per_second": -1}]}`,
		`{"observed": [{"replica": "a", "age": -5}]}`,
	} {
		_, err := decodeQuestion([]byte(body))
		g.Expect(err).To(HaveOccurred(), body)
	}
	wants := []want{{Replica: "a", Count: 2}}
	for _, body := range []string{
		`x`, `{}`, `{"permissions": [{"granted": 3}]}`, `{"permissions": [{"granted": -1}]}`, `{"permissions": [{"granted": 1, "retry_in": -1}]}`,
	} {
		_, err := decodeAnswer([]byte(body), wants)
		g.Expect(err).To(HaveOccurred(), body)
	}
	r, _ := newTestRegistry(t)
	g.Expect(r.Learn([]Known{{Replica: "a", Limited: true, PerSecond: math.NaN()}, {Replica: "b", Limited: true, PerSecond: 1}})).NotTo(Succeed())
	g.Expect(r.Limited("a")).To(BeFalse())
	g.Expect(r.Limited("b")).To(BeTrue(), "the other limits are recorded")
}

// Guards against panics, and permits beyond what was asked for, on malformed messages of
// peers.
func FuzzMessages(f *testing.F) {
	f.Add([]byte(`{"observed": [{"replica": "a", "limited": true, "per_second": 2, "age": 5}], "wants": [{"replica": "a", "count": 3}]}`))
	f.Add([]byte(`{"permissions": [{"granted": 1, "retry_in": 1000}]}`))
	f.Add([]byte(`{"wants": [{"replica": "a", "count": 1048577}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		r, now := newTestRegistry(t)
		*now += time.Minute
		if q, err := decodeQuestion(body); err == nil {
			text, err := r.Answer(body)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := decodeAnswer(text, q.Wants); err != nil {
				t.Fatalf("own answer refused: %v", err)
			}
		}
		_, _ = decodeAnswer(body, []want{{Replica: "a", Count: 2}})
	})
}
