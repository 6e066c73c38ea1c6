package quota

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"github.com/arbutusgauge/arbutusgauge/internal/account"
	"github.com/arbutusgauge/arbutusgauge/internal/peerhttp"
)

// single returns a fleet of one host, which grants for itself, with one account.
func single(t *testing.T, a account.Account) (*fleet, *Registry) {
	f := newFleet(t, 1)
	f.mu.Lock()
	f.accounts = []account.Account{a}
	f.mu.Unlock()
	time.Sleep(2 * handoverTime)
	return f, f.hosts[simName(0)].registry
}

// Guards against callers that come back after the Retry-After and are refused again, while
// nobody else asks.
func TestRetryAfterIsAccurate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f, r := single(t, account.Account{Name: "a", RatePerSecond: 5, Burst: 5})
		var wait sync.WaitGroup
		var mu sync.Mutex
		refused, again := 0, 0
		for range 60 {
			wait.Go(func() {
				_, err := r.Admit(context.Background(), &f.accounts[0])
				if err == nil {
					return
				}
				var exceeded *ExceededError
				g.Expect(errors.As(err, &exceeded)).To(BeTrue())
				time.Sleep(exceeded.RetryAfter + 2*sweepInterval)
				_, err = r.Admit(context.Background(), &f.accounts[0])
				mu.Lock()
				defer mu.Unlock()
				refused++
				if err != nil {
					again++
				}
			})
		}
		wait.Wait()
		l := DefaultBounds.limit(5, 5)
		g.Expect(refused).To(BeNumerically(">=", 60-int(l.capacity+l.refillPerSecond*waitTimeout.Seconds())))
		g.Expect(again).To(BeNumerically("<=", refused/20), "refused again")
		f.finish()
	})
}

// Guards against requests that did not run and are not returned to the quota, and against
// ones that are returned twice.
func TestRequestsThatDidNotRunAreRefunded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f, r := single(t, account.Account{Name: "a", RatePerSecond: 0.01, Burst: 1})
		admitted := 0
		var last func()
		for range 40 {
			refund, err := r.Admit(context.Background(), &f.accounts[0])
			if err != nil {
				continue
			}
			admitted++
			last = refund
			if admitted <= 20 {
				refund()
				refund()
			}
			time.Sleep(newsInterval)
		}
		full := DefaultBounds.limit(0.01, 1).capacity
		g.Expect(admitted).To(Equal(20 + int(full)))
		last()
		time.Sleep(time.Second)
		_, err := r.Admit(context.Background(), &f.accounts[0])
		g.Expect(err).NotTo(HaveOccurred())
		_, err = r.Admit(context.Background(), &f.accounts[0])
		g.Expect(err).To(HaveOccurred())
		f.finish()
	})
}

// Guards against messages and waits in deployments without quotas.
func TestWithoutQuotasNothingHappens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		scope := tally.NewTestScope("", nil)
		r, err := New(Options{
			Address: "h", Clock: func() time.Duration { return time.Hour }, Leaders: func() []string { return []string{"g"} },
			Accounts:  func() []account.Account { return []account.Account{{Name: "a"}} },
			Transport: &simHost{}, Scope: scope,
		})
		g.Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = r.Run(ctx)
		}()
		time.Sleep(10 * time.Second)
		for _, a := range []*account.Account{nil, {Name: "a"}} {
			refund, err := r.Admit(context.Background(), a)
			g.Expect(err).NotTo(HaveOccurred())
			refund()
		}
		cancel()
		<-ended
		g.Expect(scope.Snapshot().Counters()["reports+"].Value()).To(BeZero())
	})
}

// Guards against the arrival of one request at each host at the same moment, which hosts
// that report their use afterwards would all admit.
func TestOneRequestAtEachHostAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(t, 300)
		time.Sleep(2 * handoverTime)
		const small = simAccounts - 1
		for range 3 {
			for _, name := range f.names {
				go f.serve(f.hosts[name], small)
			}
			time.Sleep(time.Second)
		}
		f.finish()
		f.expectBound(t, g)
		g.Expect(len(f.loads[small].admitted)).To(BeNumerically(">=", f.accounts[small].Burst))
	})
}

// Guards against a host that reports with another list of leaders while a leader of its
// old list may still count it, and so gets its part of the quota twice.
func TestHostLeavesBeforeItUsesAnotherList(t *testing.T) {
	g := NewWithT(t)
	now, leaders := time.Second, []string{"g"}
	r, err := New(Options{
		Address: "h", Clock: func() time.Duration { return now }, Leaders: func() []string { return leaders },
		Accounts: func() []account.Account { return nil }, Transport: &simHost{},
	})
	g.Expect(err).NotTo(HaveOccurred())
	r.SetHosts(1)
	r.updateLeaders(now)
	old := r.links["g"]
	sent := r.prepare(old, now)
	g.Expect(sent.report.Leaving).To(BeFalse())
	leaders = []string{"z"}
	r.updateLeaders(now)
	g.Expect(r.leaders).To(Equal([]string{"g"}))
	g.Expect(r.prepare(old, now).report.Leaving).To(BeTrue())
	now += holdTime(1) + askTimeout // the report may have arrived as late as this
	r.updateLeaders(now)
	g.Expect(r.leaders).To(Equal([]string{"g"}), "not told, and may be counted")
	now += leaseGrace
	r.updateLeaders(now)
	g.Expect(r.leaders).To(Equal([]string{"z"}))

	r.links["z"].lost = true
	g.Expect(r.prepare(r.links["z"], now).report.Leaving).To(BeTrue(), "a leader that does not answer must not count this host")
}

// Guards against reports of other hosts that are refused with the wrong status, and
// against a transport that takes refusals for answers.
func TestReportsOverHTTP(t *testing.T) {
	g := NewWithT(t)
	r, err := New(Options{
		Address: "g", Clock: func() time.Duration { return time.Hour }, Leaders: func() []string { return nil },
		Accounts: func() []account.Account { return nil }, Transport: NewHTTPTransport(),
	})
	g.Expect(err).NotTo(HaveOccurred())
	r.SetHosts(1)
	server := httptest.NewServer(r.Handler())
	address := strings.TrimPrefix(server.URL, "http://")
	transport := NewHTTPTransport()
	text, err := transport.Ask(context.Background(), address, []byte(validReport))
	g.Expect(err).NotTo(HaveOccurred())
	sent, err := decodeReport([]byte(validReport))
	g.Expect(err).NotTo(HaveOccurred())
	answered, err := decodeAnswer(text, sent)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(answered.Accounts[0].Granted).To(BeNumerically(">", 0))
	for body, status := range map[string]string{validReport: "409 Conflict", "{}": "400 Bad Request"} {
		_, err := transport.Ask(context.Background(), address, []byte(body))
		var refused *peerhttp.StatusError
		g.Expect(errors.As(err, &refused)).To(BeTrue())
		g.Expect(refused.Status).To(Equal(status))
	}
	response, err := http.Post(server.URL, "application/json", bytes.NewReader(make([]byte, maxMessageSize+1)))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.StatusCode).To(Equal(http.StatusBadRequest))
	g.Expect(response.Body.Close()).To(Succeed())
	g.Expect(transport.IsGone(context.Background(), address)).To(BeFalse())
	server.Close()
	g.Expect(transport.IsGone(context.Background(), address)).To(BeTrue())
}
