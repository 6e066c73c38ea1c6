package e2e

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/arbutusgauge/arbutusgauge/internal/procs"
)

// hasty gives up on a paused host soon, as an impatient caller does.
var hasty = procs.NewCaller(700 * time.Millisecond)

// callOut sends a gang call-out, which must run at most once.
func callOut(addr, ticket, gang string) *procs.SearchReply {
	return hasty.Search(context.Background(), addr, "mill-dispatch", "gang-call-out", procs.SearchRequest{
		Range: &procs.LedgerRange{Lo: 7, Hi: 8}, Ticket: ticket, Payload: gang,
	})
}

// runsByPayload counts what the backend servers truly ran, by payload.
func runsByPayload() map[string]int {
	runs := map[string]int{}
	for _, dataCentre := range []string{"badin", "thatta", "tando"} {
		var out struct {
			Executions []struct {
				Payload []byte `json:"payload"`
			} `json:"executions"`
		}
		path := "/v1/replicas/all/executions?not_repeatable=true&service=mill-dispatch&shard=0"
		if caller.Get(context.Background(), fleet.BackendAdmin(dataCentre), path, &out) != nil {
			continue // the data centre has no replica of the shard
		}
		for _, e := range out.Executions {
			runs[string(e.Payload)]++
		}
	}
	return runs
}

// booking is one call-out that its caller presents until it is sure, or for a
// while.
type booking struct {
	gang     string
	replies  []*procs.SearchReply
	answered bool
}

// present sends the call-out again through other hosts while its outcome is in
// doubt, as a caller would after its host died.
func (b *booking) present(ticket string, hosts []string) {
	for i := range 4 {
		reply := callOut(fleet.HTTPAddr(hosts[i%len(hosts)]), ticket, b.gang)
		b.replies = append(b.replies, reply)
		if reply.Answered() {
			b.answered = true
			return
		}
		time.Sleep(30 * time.Millisecond)
	}
}

var _ = Describe("a request that is not repeatable", func() {
	// Guards against a call-out that runs twice because its host died, was
	// paused or lost its connections, and its caller presented it elsewhere.
	It("runs at most once under kills, pauses, resets and repeated presentation", func() {
		faults := []func(){
			func() { setFaults("badin", "all", map[string]any{"reset_after": 0.5}) },
			func() { setFaults("thatta", "all", map[string]any{"reset_before": 0.5, "shed": 0.3}) },
			func() { setFaults("badin", "all", map[string]any{"drop_replies": 0.5}) },
			func() { Expect(fleet.Hosts["badin-3"].Signal(syscall.SIGSTOP)).To(Succeed()) },
			func() { fleet.Hosts["thatta-3"].Kill() },
			func() { setPlatform(map[string]any{"down": true}) },
		}
		all := []string{"badin-1", "thatta-1", "tando-1", "badin-3", "thatta-3", "tando-3"}
		var mu sync.Mutex
		var bookings []*booking
		for round, fault := range faults {
			var wg sync.WaitGroup
			for worker := range 6 {
				wg.Go(func() {
					defer GinkgoRecover()
					for n := range 5 {
						gang := fmt.Sprintf("gang-%d-%d-%d", round, worker, n)
						issuer := all[(worker+n)%len(all)]
						ticket, err := hasty.Ticket(context.Background(), fleet.HTTPAddr(issuer))
						if err != nil {
							continue // the issuing host is down: nothing was sent
						}
						b := &booking{gang: gang}
						b.present(ticket, []string{issuer, all[(worker+n+1)%len(all)], all[(worker+n+2)%len(all)]})
						mu.Lock()
						bookings = append(bookings, b)
						mu.Unlock()
					}
				})
			}
			time.Sleep(20 * time.Millisecond)
			fault()
			wg.Wait()
		}
		Expect(fleet.Hosts["badin-3"].Signal(syscall.SIGCONT)).To(Succeed())
		setPlatform(map[string]any{})
		for _, dataCentre := range []string{"badin", "thatta"} {
			setFaults(dataCentre, "all", map[string]any{})
		}
		Expect(fleet.StartHost("thatta-3")).To(Succeed())
		Expect(fleet.WaitReady(startLimit)).To(Succeed())
		time.Sleep(time.Second) // what a woken host still holds must not run either

		runs := runsByPayload()
		answered := 0
		for _, b := range bookings {
			Expect(runs[b.gang]).To(BeNumerically("<=", 1), b.gang)
			if b.answered {
				answered++
				Expect(runs[b.gang]).To(Equal(1), b.gang+" was answered")
			}
			onlyNotRun := true
			for _, reply := range b.replies {
				onlyNotRun = onlyNotRun && reply.Err == nil && reply.Outcome == "not_run"
			}
			if onlyNotRun {
				Expect(runs[b.gang]).To(BeZero(), b.gang+" was reported as not run")
			}
		}
		Expect(len(bookings)).To(BeNumerically(">", 100))
		Expect(answered).To(BeNumerically(">", len(bookings)/4))
		GinkgoWriter.Printf("%d call-outs, %d answered, %d ran\n", len(bookings), answered, len(runs))
	})
})
