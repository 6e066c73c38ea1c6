package e2e

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/arbutusgauge/arbutusgauge/internal/procs"
)

// setHeld states which snapshots the backend servers of a data centre hold.
func setHeld(dataCentre string, oldest, newest int) {
	GinkgoHelper()
	held := map[string]int{"Oldest": oldest, "Newest": newest}
	path := "/v1/replicas/all/held?service=mill-dispatch"
	Expect(caller.Put(context.Background(), fleet.BackendAdmin(dataCentre), path, held)).To(Succeed())
}

// checkAnswer compares an answer with what it says of itself: rows of one
// snapshot, one row for each covered ledger, none outside of the request.
func checkAnswer(reply *procs.SearchReply, lo, hi uint64) string {
	seen := map[uint64]bool{}
	prefix := fmt.Sprintf("s%d-", reply.Snapshot)
	for _, row := range reply.Rows {
		switch {
		case !strings.HasPrefix(row.Value, prefix):
			return fmt.Sprintf("ledger %d has %q in an answer of snapshot %d", row.Ledger, row.Value, reply.Snapshot)
		case row.Ledger < lo || row.Ledger >= hi:
			return fmt.Sprintf("ledger %d is outside of the request [%d,%d)", row.Ledger, lo, hi)
		case seen[row.Ledger]:
			return fmt.Sprintf("ledger %d is there twice", row.Ledger)
		}
		seen[row.Ledger] = true
	}
	if covered := reply.Coverage.Fraction * float64(hi-lo); int(covered+0.5) != len(reply.Rows) {
		return fmt.Sprintf("coverage states %.1f ledgers, there are %d rows", covered, len(reply.Rows))
	}
	return ""
}

var _ = Describe("an answer", func() {
	// Guards against rows of two snapshots, doubled or foreign rows, and a
	// coverage that differs from the rows, while snapshots change and backend
	// servers answer late, twice, in part or from another snapshot.
	It("has one snapshot, its own rows and a true coverage while everything below changes", func() {
		faults := []map[string]any{
			{"duplicate": 0.3, "slow_by": "5ms"},
			{"wrong_snapshot": 0.3},
			{"split_range": 0.3},
			{"omit": 0.2, "drop_replies": 0.05},
			{"reset_after": 0.2, "reset_middle": 0.2},
			{},
		}
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		var mu sync.Mutex
		var wrong []string
		answers, snapshots := 0, map[uint64]bool{}
		for worker := range 6 {
			wg.Go(func() {
				host := fleet.HTTPAddr(fleet.HostNames()[worker])
				lo, hi := uint64(worker*20), uint64(worker*20+80)
				for ctx.Err() == nil {
					reply := caller.Search(ctx, host, "mill-dispatch", "gang-status", procs.SearchRequest{
						Range: &procs.LedgerRange{Lo: lo, Hi: hi}, Deadline: "400ms",
					})
					if !reply.Answered() {
						continue
					}
					problem := checkAnswer(reply, lo, hi)
					mu.Lock()
					answers++
					snapshots[reply.Snapshot] = true
					if problem != "" {
						wrong = append(wrong, problem)
					}
					mu.Unlock()
				}
			})
		}
		dataCentres := []string{"badin", "thatta", "tando"}
		for version := 2; version < 14; version++ {
			for i, dataCentre := range dataCentres {
				setFaults(dataCentre, "all", faults[(version+i)%len(faults)])
				// Data centres differ in what they hold, and drop a snapshot
				// while queries pin it.
				setHeld(dataCentre, max(1, version-1-i%2), version)
				time.Sleep(60 * time.Millisecond)
			}
		}
		cancel()
		wg.Wait()
		for _, dataCentre := range dataCentres {
			setFaults(dataCentre, "all", map[string]any{})
			setHeld(dataCentre, 1, 13)
		}
		Expect(wrong).To(BeEmpty())
		Expect(answers).To(BeNumerically(">", 100))
		Expect(len(snapshots)).To(BeNumerically(">=", 4))
		GinkgoWriter.Printf("%d answers of %d snapshots\n", answers, len(snapshots))
	})
})
