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

// setHeldSnapshots sets the range of snapshots that the mill-dispatch backend servers
// of a data centre hold.
func setHeldSnapshots(dataCentre string, oldest, newest int) {
	GinkgoHelper()
	held := map[string]int{"Oldest": oldest, "Newest": newest}
	path := "/v1/replicas/all/held?service=mill-dispatch"
	Expect(caller.Put(context.Background(), deployment.BackendAdminAddr(dataCentre), path, held)).To(Succeed())
}

// checkAnswer checks an answer against the snapshot and coverage that it states and
// the requested range [lo,hi): rows of one snapshot, one row for each covered ledger,
// none outside the range. It returns a description of the first fault, or "".
func checkAnswer(reply *procs.SearchReply, lo, hi uint64) string {
	seen := map[uint64]bool{}
	prefix := fmt.Sprintf("s%d-", reply.Snapshot)
	for _, row := range reply.Rows {
		switch {
		case !strings.HasPrefix(row.Value, prefix):
			return fmt.Sprintf("ledger %d has value %q in an answer of snapshot %d", row.Ledger, row.Value, reply.Snapshot)
		case row.Ledger < lo || row.Ledger >= hi:
			return fmt.Sprintf("ledger %d is outside the requested range [%d,%d)", row.Ledger, lo, hi)
		case seen[row.Ledger]:
			return fmt.Sprintf("ledger %d has more than one row", row.Ledger)
		}
		seen[row.Ledger] = true
	}
	if covered := reply.Coverage.Fraction * float64(hi-lo); int(covered+0.5) != len(reply.Rows) {
		return fmt.Sprintf("coverage states %.1f ledgers, but the answer has %d rows", covered, len(reply.Rows))
	}
	return ""
}

var _ = Describe("an answer", func() {
	// Guards against an answer with rows of two snapshots, duplicate rows, rows
	// outside the requested range or a coverage that differs from its rows. Backend
	// servers change snapshots meanwhile and answer late, twice, in part or from
	// another snapshot.
	It("has rows of one snapshot and its own range, and a true coverage, while snapshots and faults of backend servers change", func() {
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
				host := deployment.HTTPAddr(deployment.HostNames()[worker])
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
				// Data centres hold different snapshots and drop one while queries
				// are pinned to it.
				setHeldSnapshots(dataCentre, max(1, version-1-i%2), version)
				time.Sleep(60 * time.Millisecond)
			}
		}
		cancel()
		wg.Wait()
		for _, dataCentre := range dataCentres {
			setFaults(dataCentre, "all", map[string]any{})
			setHeldSnapshots(dataCentre, 1, 13)
		}
		Expect(wrong).To(BeEmpty())
		Expect(answers).To(BeNumerically(">", 100))
		Expect(len(snapshots)).To(BeNumerically(">=", 4))
		GinkgoWriter.Printf("%d answers of %d snapshots\n", answers, len(snapshots))
	})
})
