package burn

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/jwcc"
	"github.com/arbutusgauge/arbutusgauge/internal/release"
)

// Merge sums the reports of hosts. Only the newest report of each host is used.
// A host whose buckets have another width is left out with a warning. The
// objective of a search is taken from the newest host report that has the search.
func Merge(reports []HostReport) Report {
	reports = slices.Clone(reports)
	slices.SortStableFunc(reports, func(a, b HostReport) int { return b.At.Compare(a.At) })
	out := Report{Hosts: []string{}, Searches: []SearchReport{}}
	countsBySearch := map[seriesKey]*searchCounts{}
	for _, host := range reports {
		if slices.Contains(out.Hosts, host.Host) {
			continue
		}
		if host.BucketWidth != jwcc.Duration(bucketWidth) {
			out.warn("host %s is left out: its buckets have a width of %s, expected is %s", host.Host, host.BucketWidth.D(), bucketWidth)
			continue
		}
		if len(out.Hosts) == 0 {
			out.At = host.At
		}
		if age := out.At.Sub(host.At); age > maxReportAge {
			out.warn("the report of host %s is %s older than the newest; its counts may be in wrong buckets", host.Host, age)
		}
		if host.NotCounted > 0 {
			out.warn("host %s did not count %d requests, because it serves too many searches", host.Host, host.NotCounted)
		}
		out.Hosts = append(out.Hosts, host.Host)
		for _, search := range host.Searches {
			addSearch(countsBySearch, search)
		}
	}
	slices.Sort(out.Hosts)
	slices.Sort(out.Warnings)
	for key, s := range countsBySearch {
		out.Searches = append(out.Searches, s.report(key, out.At))
	}
	slices.SortFunc(out.Searches, func(a, b SearchReport) int {
		if order := strings.Compare(a.Service, b.Service); order != 0 {
			return order
		}
		return strings.Compare(a.Search, b.Search)
	})
	return out
}

func (r *Report) warn(format string, args ...any) {
	r.Warnings = append(r.Warnings, fmt.Sprintf(format, args...))
}

// searchCounts holds the counts of one search, summed over the hosts.
type searchCounts struct {
	objective release.Objective
	buckets   map[int64]Counts // by bucket number
}

// addSearch adds the counts of one search on one host. The first call for a
// search sets its objective.
func addSearch(countsBySearch map[seriesKey]*searchCounts, search HostSearch) {
	key := seriesKey{search.Service, search.Search}
	s := countsBySearch[key]
	if s == nil {
		s = &searchCounts{objective: search.Objective, buckets: map[int64]Counts{}}
		countsBySearch[key] = s
	}
	for i, counts := range search.Buckets {
		total := s.buckets[search.FirstBucket+int64(i)]
		total.add(counts)
		s.buckets[search.FirstBucket+int64(i)] = total
	}
}

// report returns the report on one search for the windows that end at end.
func (s *searchCounts) report(key seriesKey, end time.Time) SearchReport {
	newest := end.UnixNano() / int64(bucketWidth)
	out := SearchReport{
		Service: key.service, Search: key.search, Objective: s.objective, Budget: max(1-s.objective.GoodFraction, minBudget), State: OK,
	}
	var short, long Counts
	for i := newest - longBuckets + 1; i <= newest; i++ {
		counts := s.buckets[i]
		long.add(counts)
		if i > newest-shortBuckets {
			short.add(counts)
		}
		out.Series = append(out.Series, Point{At: time.Unix(0, i*int64(bucketWidth)).UTC(), Counts: counts})
	}
	out.Short = newWindow(shortWindow, short, out.Budget)
	out.Long = newWindow(longWindow, long, out.Budget)
	switch {
	case out.Short.BurnRate >= fastBurnRate && out.Long.BurnRate >= fastBurnRate:
		out.State = FastBurn
	case out.Long.BurnRate > 1:
		out.State = SlowBurn
	}
	return out
}

// newWindow computes the figures of a window from its counts. The budget is the
// fraction of requests that may be bad.
func newWindow(span time.Duration, counts Counts, budget float64) Window {
	total, bad := counts.Total(), counts.Bad()
	out := Window{
		Span: jwcc.Duration(span), Requests: total, Bad: bad, GoodRatio: 1,
		Allowed: budget * float64(total), Causes: map[string]float64{},
	}
	if total > 0 {
		out.GoodRatio = float64(counts[Good]) / float64(total)
		out.BurnRate = float64(bad) / float64(total) / budget
	}
	for class := Late; class < numClasses; class++ {
		if bad > 0 && counts[class] > 0 {
			out.Causes[class.String()] = float64(counts[class]) / float64(bad)
		}
	}
	return out
}
