package burn

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/arbutusgauge/arbutusgauge/internal/fixedseed"
	"github.com/arbutusgauge/arbutusgauge/internal/jwcc"
	"github.com/arbutusgauge/arbutusgauge/internal/release"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

func TestMain(m *testing.M) {
	fixedseed.Parse()
	os.Exit(m.Run())
}

var objective = release.Objective{Good: 0.99, Latency: jwcc.Duration(100 * time.Millisecond), Coverage: 0.9}

func result(o wire.Outcome, latency time.Duration, coverage float64) Result {
	return Result{Outcome: o, Latency: latency, Coverage: coverage, Objective: objective}
}

// clock is a settable time source.
type clock struct{ now time.Time }

func newRecorder(t testing.TB, host string, c *clock, maxSearches int) *Recorder {
	t.Helper()
	r, err := New(Options{Host: host, Now: func() time.Time { return c.now }, MaxSearches: maxSearches})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

var epoch = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// Guards against requests that are counted in the wrong class.
func TestClassOfResults(t *testing.T) {
	g := gomega.NewWithT(t)
	ms := time.Millisecond
	g.Expect(result(wire.Answered, 100*ms, 0.9).Class()).To(gomega.Equal(Good))
	g.Expect(result(wire.Answered, 101*ms, 0.9).Class()).To(gomega.Equal(Late))
	g.Expect(result(wire.Answered, 101*ms, 0.89).Class()).To(gomega.Equal(BelowCoverage))
	g.Expect(result(wire.NotRun, ms, 0).Class()).To(gomega.Equal(Refused))
	g.Expect(result(wire.Unknown, ms, 0).Class()).To(gomega.Equal(Unknown))
	g.Expect(Result{BelowLeast: true}.Class()).To(gomega.Equal(BelowCoverage))
}

// Guards against wrong burn rates, shares and windows: 2 of 100 requests were
// bad in the last minutes, and 10 of 10 half an hour ago.
func TestReportOverBothWindows(t *testing.T) {
	g := gomega.NewWithT(t)
	c := &clock{now: epoch.Add(-2 * time.Hour)}
	r := newRecorder(t, "badin-1", c, 0)
	r.Record("s", "find", result(wire.Unknown, 0, 0)) // older than both windows
	c.now = epoch.Add(-30 * time.Minute)
	for range 10 {
		r.Record("s", "find", result(wire.NotRun, 0, 0))
	}
	c.now = epoch
	for range 98 {
		r.Record("s", "find", result(wire.Answered, 0, 1))
	}
	r.Record("s", "find", result(wire.Answered, time.Second, 1))
	r.Record("s", "find", result(wire.Unknown, 0, 0))

	report := Merge([]HostReport{r.HostReport()})
	s := report.Searches[0]
	g.Expect([]uint64{s.Short.Requests, s.Short.Bad, s.Long.Requests, s.Long.Bad}).To(gomega.Equal([]uint64{100, 2, 110, 12}))
	g.Expect(s.Short.BurnRate).To(gomega.BeNumerically("~", 2, 1e-9))
	g.Expect(s.Long.BurnRate).To(gomega.BeNumerically("~", 100*12.0/110, 1e-9))
	g.Expect(s.Short.Causes).To(gomega.Equal(map[string]float64{"late": 0.5, "unknown": 0.5}))
	g.Expect(s.Long.CausesText()).To(gomega.Equal("refused 83.33%, late 8.333%, unknown 8.333%"))
	g.Expect(s.State).To(gomega.Equal(SlowBurn))
	g.Expect(s.Series).To(gomega.HaveLen(120))
}

// Guards against counts that are lost, doubled or moved when a clock goes
// forward by any amount or steps back, and against growth of the memory.
func TestRecorderKeepsExactlyTheLongWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &clock{now: epoch}
		r, err := New(Options{Host: "h", Now: func() time.Time { return c.now }})
		if err != nil {
			t.Fatal(err)
		}
		counts, newest := map[int64]uint64{}, int64(0)
		for range rapid.IntRange(1, 40).Draw(t, "records") {
			c.now = c.now.Add(time.Duration(rapid.IntRange(-40, 3000).Draw(t, "seconds")) * time.Second)
			r.Record("s", "find", result(wire.Answered, 0, 1))
			newest = max(newest, c.now.UnixNano()/int64(bucketWidth))
			counts[newest]++
		}
		var want, got uint64
		for bucket, n := range counts {
			if bucket > newest-ringBuckets {
				want += n
			}
		}
		for i, bucket := range r.HostReport().Searches[0].Buckets {
			got += bucket[Good]
			if number := r.HostReport().Searches[0].First + int64(i); bucket[Good] != counts[number] {
				t.Fatalf("bucket %d has %d, want %d", number, bucket[Good], counts[number])
			}
		}
		if got != want {
			t.Fatalf("got %d requests, want %d", got, want)
		}
	})
}

// Guards against unbounded memory, and against withdrawn searches that keep
// new ones from being counted.
func TestRecorderBoundsTheSearches(t *testing.T) {
	g := gomega.NewWithT(t)
	c := &clock{now: epoch}
	r := newRecorder(t, "h", c, 1)
	r.Record("s", "old", result(wire.Answered, 0, 1))
	r.Record("s", "new", result(wire.Answered, 0, 1))
	g.Expect(r.HostReport().NotCounted).To(gomega.Equal(uint64(1)))
	c.now = c.now.Add(2 * time.Hour)
	r.Record("s", "new", result(wire.Answered, 0, 1))
	g.Expect(r.HostReport().Searches).To(gomega.HaveLen(1))
	g.Expect(r.HostReport().Searches[0].Search).To(gomega.Equal("new"))
	var option *OptionError
	_, err := New(Options{})
	g.Expect(errors.As(err, &option)).To(gomega.BeTrue())
}

// Guards against data races and lost counts under concurrent use.
func TestRecorderIsSafeForConcurrentUse(t *testing.T) {
	r := newRecorder(t, "h", &clock{now: epoch}, 0)
	var wait sync.WaitGroup
	for range 8 {
		wait.Go(func() {
			for range 500 {
				r.Record("s", "find", result(wire.Answered, 0, 1))
				r.HostReport()
			}
		})
	}
	wait.Wait()
	gomega.NewWithT(t).Expect(r.HostReport().Searches[0].Buckets).To(gomega.Equal([]Counts{{Good: 4000}}))
}

// Guards against sums that differ from those of the hosts, and against hosts
// that are left out or counted twice without a word.
func TestMergeAddsHostsUpAfterJSON(t *testing.T) {
	g := gomega.NewWithT(t)
	c := &clock{now: epoch}
	var reports []HostReport
	for _, host := range []string{"badin-1", "tando-1"} {
		r := newRecorder(t, host, c, 0)
		r.Record("s", "find", result(wire.NotRun, 0, 0))
		c.now = c.now.Add(40 * time.Second)
		body, err := json.Marshal(r.HostReport())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		var report HostReport
		g.Expect(json.Unmarshal(body, &report)).To(gomega.Succeed())
		reports = append(reports, report, report)
	}
	reports = append(reports, HostReport{Host: "old", Bucket: 1, At: epoch})
	report := Merge(reports)
	g.Expect(report.Hosts).To(gomega.Equal([]string{"badin-1", "tando-1"}))
	g.Expect(report.Searches[0].Short.Causes).To(gomega.Equal(map[string]float64{"refused": 1}))
	g.Expect(report.Searches[0].Short.Bad).To(gomega.Equal(uint64(2)))
	g.Expect(report.Searches[0].State).To(gomega.Equal(FastBurn))
	g.Expect(report.Warnings).To(gomega.ConsistOf(
		"host old is left out: its buckets have a width of 1ns, expected is 30s",
		"the report of host badin-1 is 40s older than the newest; its counts may be in wrong buckets"))
	g.Expect(Merge(nil).Searches).To(gomega.BeEmpty())
}

// Guards against a page that needs other files, breaks on hostile names or has
// no plots, and against a table without the figures.
func TestReportAsTextAndHTML(t *testing.T) {
	g := gomega.NewWithT(t)
	c := &clock{now: epoch.Add(-20 * time.Minute)}
	r := newRecorder(t, "badin-1", c, 0)
	for range 40 {
		c.now = c.now.Add(30 * time.Second)
		r.Record("s", "find<b>", result(wire.Answered, 0, 1))
		r.Record("s", "find<b>", result(wire.Unknown, 0, 0))
	}
	var text, html bytes.Buffer
	report := Merge([]HostReport{r.HostReport()})
	g.Expect(report.WriteText(&text)).To(gomega.Succeed())
	g.Expect(text.String()).To(gomega.MatchRegexp(`s/find<b>\s+fast_burn\s+99% within 100ms at coverage 0.9\s+1%\s+50.00\s+50.00\s+80\s+50%\s+unknown 100%`))
	g.Expect(report.WriteHTML(&html)).To(gomega.Succeed())
	page := html.String()
	g.Expect(strings.Count(page, "<svg")).To(gomega.Equal(2))
	g.Expect(page).NotTo(gomega.MatchRegexp(`<b>|<\?xml|src=|href="[^#]|url\(|@import|<script`))
	g.Expect(page).To(gomega.ContainSubstring("s/find&lt;b&gt;"))
}

// BenchmarkRecord runs on every request of a host.
func BenchmarkRecord(b *testing.B) {
	r := newRecorder(b, "h", &clock{now: epoch}, 0)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			r.Record("s", "find", result(wire.Answered, 0, 1))
		}
	})
}
