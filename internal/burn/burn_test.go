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

var objective = release.Objective{GoodFraction: 0.99, Latency: jwcc.Duration(100 * time.Millisecond), LeastCoverage: 0.9}

func newResult(outcome wire.Outcome, latency time.Duration, coverage float64) Result {
	return Result{Outcome: outcome, Latency: latency, Coverage: coverage, Objective: objective}
}

// fakeClock is a time source that tests set.
type fakeClock struct{ now time.Time }

func newRecorder(t testing.TB, host string, c *fakeClock, maxSearches int) *Recorder {
	t.Helper()
	r, err := New(Options{Host: host, Now: func() time.Time { return c.now }, MaxSearches: maxSearches})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

var baseTime = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// Guards against requests that are counted in the wrong class.
func TestResultClass(t *testing.T) {
	g := gomega.NewWithT(t)
	ms := time.Millisecond
	g.Expect(newResult(wire.Answered, 100*ms, 0.9).Class()).To(gomega.Equal(Good))
	g.Expect(newResult(wire.Answered, 101*ms, 0.9).Class()).To(gomega.Equal(Late))
	g.Expect(newResult(wire.Answered, 101*ms, 0.89).Class()).To(gomega.Equal(BelowCoverage))
	g.Expect(newResult(wire.NotRun, ms, 0).Class()).To(gomega.Equal(Refused))
	g.Expect(newResult(wire.Unknown, ms, 0).Class()).To(gomega.Equal(Unknown))
	g.Expect(Result{BelowLeastCoverage: true}.Class()).To(gomega.Equal(BelowCoverage))
}

// Guards against wrong burn rates, shares of causes and window bounds. In the
// current bucket 2 of 100 requests are bad; half an hour earlier 10 of 10 were.
func TestReportOverBothWindows(t *testing.T) {
	g := gomega.NewWithT(t)
	c := &fakeClock{now: baseTime.Add(-2 * time.Hour)}
	r := newRecorder(t, "badin-1", c, 0)
	r.Record("s", "find", newResult(wire.Unknown, 0, 0)) // older than both windows
	c.now = baseTime.Add(-30 * time.Minute)
	for range 10 {
		r.Record("s", "find", newResult(wire.NotRun, 0, 0))
	}
	c.now = baseTime
	for range 98 {
		r.Record("s", "find", newResult(wire.Answered, 0, 1))
	}
	r.Record("s", "find", newResult(wire.Answered, time.Second, 1))
	r.Record("s", "find", newResult(wire.Unknown, 0, 0))

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

// Guards against counts that are lost, doubled or put into another bucket when
// the clock advances by any amount or steps back, and against counts that are
// kept for longer than the ring's time span.
func TestRecorderRetainsExactlyTheLongWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &fakeClock{now: baseTime}
		r, err := New(Options{Host: "h", Now: func() time.Time { return c.now }})
		if err != nil {
			t.Fatal(err)
		}
		counts, newest := map[int64]uint64{}, int64(0)
		for range rapid.IntRange(1, 40).Draw(t, "records") {
			c.now = c.now.Add(time.Duration(rapid.IntRange(-40, 3000).Draw(t, "seconds")) * time.Second)
			r.Record("s", "find", newResult(wire.Answered, 0, 1))
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
			if number := r.HostReport().Searches[0].FirstBucket + int64(i); bucket[Good] != counts[number] {
				t.Fatalf("bucket %d has %d, want %d", number, bucket[Good], counts[number])
			}
		}
		if got != want {
			t.Fatalf("got %d requests, want %d", got, want)
		}
	})
}

// Guards against unbounded memory, and against idle (withdrawn) searches that
// keep new ones from being counted.
func TestRecorderBoundsTheSearches(t *testing.T) {
	g := gomega.NewWithT(t)
	c := &fakeClock{now: baseTime}
	r := newRecorder(t, "h", c, 1)
	r.Record("s", "old", newResult(wire.Answered, 0, 1))
	r.Record("s", "new", newResult(wire.Answered, 0, 1))
	g.Expect(r.HostReport().NotCounted).To(gomega.Equal(uint64(1)))
	c.now = c.now.Add(2 * time.Hour)
	r.Record("s", "new", newResult(wire.Answered, 0, 1))
	g.Expect(r.HostReport().Searches).To(gomega.HaveLen(1))
	g.Expect(r.HostReport().Searches[0].Search).To(gomega.Equal("new"))
	var option *OptionError
	_, err := New(Options{})
	g.Expect(errors.As(err, &option)).To(gomega.BeTrue())
}

// Guards against data races and lost counts under concurrent use.
func TestRecorderIsSafeForConcurrentUse(t *testing.T) {
	r := newRecorder(t, "h", &fakeClock{now: baseTime}, 0)
	var wait sync.WaitGroup
	for range 8 {
		wait.Go(func() {
			for range 500 {
				r.Record("s", "find", newResult(wire.Answered, 0, 1))
				r.HostReport()
			}
		})
	}
	wait.Wait()
	gomega.NewWithT(t).Expect(r.HostReport().Searches[0].Buckets).To(gomega.Equal([]Counts{{Good: 4000}}))
}

// Guards against sums that differ from the hosts' counts after a JSON round
// trip, and against hosts that are counted twice or left out without a warning.
func TestMergeSumsDecodedHostReports(t *testing.T) {
	g := gomega.NewWithT(t)
	c := &fakeClock{now: baseTime}
	var reports []HostReport
	for _, host := range []string{"badin-1", "tando-1"} {
		r := newRecorder(t, host, c, 0)
		r.Record("s", "find", newResult(wire.NotRun, 0, 0))
		c.now = c.now.Add(40 * time.Second)
		body, err := json.Marshal(r.HostReport())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		var report HostReport
		g.Expect(json.Unmarshal(body, &report)).To(gomega.Succeed())
		reports = append(reports, report, report)
	}
	reports = append(reports, HostReport{Host: "old", BucketWidth: 1, At: baseTime})
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

// Guards against an HTML page that needs other files, does not escape names or
// lacks its plots, and against a text table without the figures.
func TestReportAsTextAndHTML(t *testing.T) {
	g := gomega.NewWithT(t)
	c := &fakeClock{now: baseTime.Add(-20 * time.Minute)}
	r := newRecorder(t, "badin-1", c, 0)
	for range 40 {
		c.now = c.now.Add(30 * time.Second)
		r.Record("s", "find<b>", newResult(wire.Answered, 0, 1))
		r.Record("s", "find<b>", newResult(wire.Unknown, 0, 0))
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

// BenchmarkRecord measures Record, which a host calls for every request.
func BenchmarkRecord(b *testing.B) {
	r := newRecorder(b, "h", &fakeClock{now: baseTime}, 0)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			r.Record("s", "find", newResult(wire.Answered, 0, 1))
		}
	})
}
