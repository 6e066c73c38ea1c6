// Package textmetrics provides a reporter for a tally scope that keeps the values
// in memory and writes them as text.
package textmetrics

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
)

// Metrics holds the values of the metrics of a tally scope, whose Reporter it is.
// It is safe for concurrent use.
type Metrics struct {
	mu     sync.Mutex
	values map[string]float64 // by seriesName
}

// New returns a Metrics without values.
func New() *Metrics { return &Metrics{values: map[string]float64{}} }

// WriteTo implements io.WriterTo. It writes a line "name{tag=value} number" for
// each series, sorted by name. Counters count from the start of the process, and
// times are in seconds. Histogram buckets are not cumulative: a bucket counts the
// values up to its bound "le" and above the bound before it.
func (m *Metrics) WriteTo(w io.Writer) (int64, error) {
	m.mu.Lock()
	var out strings.Builder
	for _, name := range slices.Sorted(maps.Keys(m.values)) {
		fmt.Fprintf(&out, "%s %s\n", name, strconv.FormatFloat(m.values[name], 'g', -1, 64))
	}
	m.mu.Unlock()
	n, err := io.WriteString(w, out.String())
	return int64(n), errors.WithStack(err)
}

// seriesName returns the name of a metric followed by its tags, which are sorted,
// and extraTags in the form "key=value".
func seriesName(name string, tags map[string]string, extraTags ...string) string {
	var parts []string
	for _, key := range slices.Sorted(maps.Keys(tags)) {
		parts = append(parts, key+"="+tags[key])
	}
	parts = append(parts, extraTags...)
	if len(parts) == 0 {
		return name
	}
	return name + "{" + strings.Join(parts, ",") + "}"
}

func (m *Metrics) add(key string, delta float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.values[key] += delta
}

// ReportCounter implements tally.StatsReporter.
func (m *Metrics) ReportCounter(name string, tags map[string]string, value int64) {
	m.add(seriesName(name, tags), float64(value))
}

// ReportGauge implements tally.StatsReporter.
func (m *Metrics) ReportGauge(name string, tags map[string]string, value float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.values[seriesName(name, tags)] = value
}

// ReportTimer implements tally.StatsReporter. It adds to two series, the number
// of intervals and the sum of their lengths in seconds.
func (m *Metrics) ReportTimer(name string, tags map[string]string, interval time.Duration) {
	m.add(seriesName(name+"_count", tags), 1)
	m.add(seriesName(name+"_seconds", tags), interval.Seconds())
}

// ReportHistogramValueSamples implements tally.StatsReporter.
func (m *Metrics) ReportHistogramValueSamples(
	name string, tags map[string]string, _ tally.Buckets, _, upper float64, samples int64,
) {
	m.add(seriesName(name, tags, "le="+strconv.FormatFloat(upper, 'g', -1, 64)), float64(samples))
}

// ReportHistogramDurationSamples implements tally.StatsReporter.
func (m *Metrics) ReportHistogramDurationSamples(
	name string, tags map[string]string, _ tally.Buckets, _, upper time.Duration, samples int64,
) {
	m.add(seriesName(name, tags, "le="+strconv.FormatFloat(upper.Seconds(), 'g', -1, 64)), float64(samples))
}

// Capabilities implements tally.StatsReporter.
func (m *Metrics) Capabilities() tally.Capabilities { return m }

// Reporting implements tally.Capabilities.
func (m *Metrics) Reporting() bool { return true }

// Tagging implements tally.Capabilities.
func (m *Metrics) Tagging() bool { return true }

// Flush implements tally.StatsReporter. It does nothing, because every reported
// value is stored at once.
func (m *Metrics) Flush() {}
