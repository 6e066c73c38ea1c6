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

// impatientCaller has a short timeout, so that it gives up on a paused host soon.
var impatientCaller = procs.NewCaller(700 * time.Millisecond)

// sendCallOut sends a gang call-out, a search that is not repeatable and must run at
// most once. gang is its payload.
func sendCallOut(addr, ticket, gang string) *procs.SearchReply {
	return impatientCaller.Search(context.Background(), addr, "mill-dispatch", "gang-call-out", procs.SearchRequest{
		Range: &procs.LedgerRange{Lo: 7, Hi: 8}, Ticket: ticket, Payload: gang,
	})
}

// runsByPayload returns how often the backend servers ran the call-out with each
// payload.
func runsByPayload() map[string]int {
	runs := map[string]int{}
	for _, dataCentre := range []string{"badin", "thatta", "tando"} {
		var out struct {
			Executions []struct {
				Payload []byte `json:"payload"`
			} `json:"executions"`
		}
		path := "/v1/replicas/all/executions?not_repeatable=true&service=mill-dispatch&shard=0"
		if caller.Get(context.Background(), deployment.BackendAdminAddr(dataCentre), path, &out) != nil {
			continue // the data centre has no replica of the shard
		}
		for _, e := range out.Executions {
			runs[string(e.Payload)]++
		}
	}
	return runs
}

// gangCallOut is one call-out with the replies that its caller got.
type gangCallOut struct {
	gang     string
	replies  []*procs.SearchReply
	answered bool
}

// sendUntilAnswered sends the call-out through the hosts in turn until it is
// answered, at most 4 times, as a caller would after its host died.
func (c *gangCallOut) sendUntilAnswered(ticket string, hosts []string) {
	for i := range 4 {
		reply := sendCallOut(deployment.HTTPAddr(hosts[i%len(hosts)]), ticket, c.gang)
		c.replies = append(c.replies, reply)
		if reply.Answered() {
			c.answered = true
			return
		}
		time.Sleep(30 * time.Millisecond)
	}
}

var _ = Describe("a request that is not repeatable", func() {
	// Guards against a call-out that runs twice because a host died, was paused or
	// lost its connections and the caller sent the call-out to another host.
	It("runs at most once under kills, pauses, connection resets and repeated sending", func() {
		faults := []func(){
			func() { setFaults("badin", "all", map[string]any{"reset_after": 0.5}) },
			func() { setFaults("thatta", "all", map[string]any{"reset_before": 0.5, "shed": 0.3}) },
			func() { setFaults("badin", "all", map[string]any{"drop_replies": 0.5}) },
			func() { Expect(deployment.Hosts["badin-3"].Signal(syscall.SIGSTOP)).To(Succeed()) },
			func() { deployment.Hosts["thatta-3"].Kill() },
			func() { setPlatformFaults(map[string]any{"down": true}) },
		}
		hostNames := []string{"badin-1", "thatta-1", "tando-1", "badin-3", "thatta-3", "tando-3"}
		var mu sync.Mutex
		var callOuts []*gangCallOut
		for round, fault := range faults {
			var wg sync.WaitGroup
			for worker := range 6 {
				wg.Go(func() {
					defer GinkgoRecover()
					for n := range 5 {
						gang := fmt.Sprintf("gang-%d-%d-%d", round, worker, n)
						issuer := hostNames[(worker+n)%len(hostNames)]
						ticket, err := impatientCaller.RequestTicket(context.Background(), deployment.HTTPAddr(issuer))
						if err != nil {
							continue // the issuing host is down, no call-out was sent
						}
						c := &gangCallOut{gang: gang}
						c.sendUntilAnswered(ticket, []string{issuer, hostNames[(worker+n+1)%len(hostNames)], hostNames[(worker+n+2)%len(hostNames)]})
						mu.Lock()
						callOuts = append(callOuts, c)
						mu.Unlock()
					}
				})
			}
			time.Sleep(20 * time.Millisecond)
			fault()
			wg.Wait()
		}
		Expect(deployment.Hosts["badin-3"].Signal(syscall.SIGCONT)).To(Succeed())
		setPlatformFaults(map[string]any{})
		for _, dataCentre := range []string{"badin", "thatta"} {
			setFaults(dataCentre, "all", map[string]any{})
		}
		Expect(deployment.StartHost("thatta-3")).To(Succeed())
		Expect(deployment.WaitReady(startTimeout)).To(Succeed())
		time.Sleep(time.Second) // a resumed host must not run what it still holds either

		runs := runsByPayload()
		answered := 0
		for _, c := range callOuts {
			Expect(runs[c.gang]).To(BeNumerically("<=", 1), c.gang)
			if c.answered {
				answered++
				Expect(runs[c.gang]).To(Equal(1), c.gang+" was answered")
			}
			onlyNotRun := true
			for _, reply := range c.replies {
				onlyNotRun = onlyNotRun && reply.Err == nil && reply.Outcome == "not_run"
			}
			if onlyNotRun {
				Expect(runs[c.gang]).To(BeZero(), c.gang+" was reported as not run")
			}
		}
		Expect(len(callOuts)).To(BeNumerically(">", 100))
		Expect(answered).To(BeNumerically(">", len(callOuts)/4))
		GinkgoWriter.Printf("%d call-outs, %d answered, %d ran\n", len(callOuts), answered, len(runs))
	})
})
