package member

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// BenchmarkCost reports the cost of the membership protocol for a host per
// second: calls that it sends, and bytes sent and received, in a steady state
// and with one host restarting every 21 s. It also reports the times to join, to
// remove a dead host from all views and to spread a configuration version. Run
// it with
//
//	go test -run '^$' -bench Cost -benchtime 1x ./internal/member
func BenchmarkCost(b *testing.B) {
	for _, count := range []int{9, 50, 200, 800} {
		b.Run(fmt.Sprintf("hosts=%d", count), func(b *testing.B) {
			for range b.N {
				// synctest.Test needs a *testing.T, which a benchmark lacks.
				testing.RunTests(func(string, string) (bool, error) { return true, nil },
					[]testing.InternalTest{{Name: "cost", F: func(t *testing.T) { reportCost(t, b, count) }}})
			}
		})
	}
}

func reportCost(t *testing.T, b *testing.B, count int) {
	const span = 42 * time.Second
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		defer n.stopAll()
		hosts := n.startAll(t, count)
		joined := waitUntil(t, 90*time.Second, "all hosts join", func() bool { return allLive(hosts) })
		b.ReportMetric(joined.Seconds(), "s-to-join")
		time.Sleep(30 * time.Second)
		measure := func(label string, during func()) {
			calls, bytes := n.callCount.Load(), n.byteCount.Load()
			during()
			perHost := float64(count) * span.Seconds()
			b.ReportMetric(float64(n.callCount.Load()-calls)/perHost, label+"-calls/s")
			// Each byte is sent by one host and received by another.
			b.ReportMetric(2*float64(n.byteCount.Load()-bytes)/perHost, label+"-B/s")
		}
		measure("steady", func() { time.Sleep(span) })
		measure("churn", func() {
			for i := range 2 {
				at := 3 + i
				n.kill(hosts[at])
				time.Sleep(2 * time.Second)
				hosts[at] = n.startHostNumber(t, at, "10.0.0.0:7000")
				time.Sleep(span/2 - 2*time.Second)
			}
		})
		n.kill(hosts[5])
		rest := append(append([]*simHost{}, hosts[:5]...), hosts[6:]...)
		b.ReportMetric(waitUntil(t, 40*time.Second, "a dead host leaves all views", func() bool { return allLive(rest) }).Seconds(), "s-to-forget")
		for _, h := range rest {
			h.OnNewerConfig(func(_ string, version uint64) {
				if version > h.View().Self.ConfigVersion {
					h.Announce(version)
				}
			})
		}
		rest[0].Announce(5)
		b.ReportMetric(waitUntil(t, 10*time.Second, "all hosts have heard a version", func() bool {
			for _, h := range rest {
				if h.View().Self.ConfigVersion != 5 {
					return false
				}
			}
			return true
		}).Seconds(), "s-to-hear-version")
		b.ReportMetric(float64(n.largestMessage.Load()), "largest-message-B")
	})
}
