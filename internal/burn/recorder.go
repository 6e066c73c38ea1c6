package burn

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/jwcc"
	"github.com/arbutusgauge/arbutusgauge/internal/release"
)

// Recorder counts the requests of one host in time buckets. Its memory is
// bounded by Options.MaxSearches. All methods may be called concurrently.
type Recorder struct {
	opts       Options
	start      time.Time
	notCounted atomic.Uint64

	mu     sync.RWMutex
	series map[seriesKey]*series
}

type seriesKey struct{ service, search string }

// ringBuckets holds the long window and the bucket that is being filled.
const ringBuckets = longBuckets + 1

// series is a ring of buckets; bucket i is at index i modulo its length.
type series struct {
	mu        sync.Mutex
	objective release.Objective
	newest    int64 // number of the newest bucket
	ring      [ringBuckets]Counts
}

// New returns a recorder. *OptionError reports an invalid option.
func New(opts Options) (*Recorder, error) {
	if err := opts.Validate(); err != nil {
		return nil, err
	}
	return &Recorder{opts: opts, start: opts.Now(), series: map[seriesKey]*series{}}, nil
}

// Record counts one request that ended now. When there are more searches than
// Options.MaxSearches, the request counts into HostReport.NotCounted only.
func (r *Recorder) Record(service, search string, result Result) {
	s := r.find(seriesKey{service, search})
	if s == nil {
		r.notCounted.Add(1)
		return
	}
	now, class := r.bucket(), result.Class()
	s.mu.Lock()
	defer s.mu.Unlock()
	now = max(now, s.newest)
	s.advance(now)
	s.objective = result.Objective
	s.ring[now%ringBuckets][class]++
}

// bucket returns the number of the current bucket. It counts from the start by
// the monotonic clock, so that a step of the wall clock does not move it.
func (r *Recorder) bucket() int64 {
	return r.start.Add(r.opts.Now().Sub(r.start)).UnixNano() / int64(bucketWidth)
}

func (r *Recorder) find(key seriesKey) *series {
	r.mu.RLock()
	s := r.series[key]
	r.mu.RUnlock()
	if s != nil {
		return s
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if s = r.series[key]; s != nil {
		return s
	}
	if len(r.series) >= r.opts.MaxSearches {
		r.dropIdle()
	}
	if len(r.series) >= r.opts.MaxSearches {
		return nil
	}
	s = &series{newest: r.bucket()}
	r.series[key] = s
	return s
}

// dropIdle removes the searches without requests in the long window, such as
// those that were withdrawn.
func (r *Recorder) dropIdle() {
	now := r.bucket()
	for key, s := range r.series {
		s.mu.Lock()
		idle := s.newest <= now-ringBuckets
		s.mu.Unlock()
		if idle {
			delete(r.series, key)
		}
	}
}

// advance empties the buckets between the newest one and now.
func (s *series) advance(now int64) {
	for i := max(s.newest+1, now-ringBuckets+1); i <= now; i++ {
		s.ring[i%ringBuckets] = Counts{}
	}
	s.newest = max(s.newest, now)
}

// HostReport returns the counts of the long window and the current bucket.
func (r *Recorder) HostReport() HostReport {
	now := r.bucket()
	out := HostReport{
		Host: r.opts.Host, DataCentre: r.opts.DataCentre, At: r.start.Add(r.opts.Now().Sub(r.start)).Round(0).UTC(),
		Bucket: jwcc.Duration(bucketWidth), NotCounted: r.notCounted.Load(), Searches: []HostSearch{},
	}
	r.mu.RLock()
	defer r.mu.RUnlock()
	for key, s := range r.series {
		if report, ok := s.report(key, now); ok {
			out.Searches = append(out.Searches, report)
		}
	}
	slices.SortFunc(out.Searches, func(a, b HostSearch) int {
		if order := strings.Compare(a.Service, b.Service); order != 0 {
			return order
		}
		return strings.Compare(a.Search, b.Search)
	})
	return out
}

// report returns the buckets from the first to the last with a request, and
// false if there is none.
func (s *series) report(key seriesKey, now int64) (HostSearch, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now)
	out := HostSearch{Service: key.service, Search: key.search, Objective: s.objective}
	for i := s.newest - ringBuckets + 1; i <= s.newest; i++ {
		counts := s.ring[i%ringBuckets]
		if len(out.Buckets) == 0 {
			if counts.Total() == 0 {
				continue
			}
			out.First = i
		}
		out.Buckets = append(out.Buckets, counts)
	}
	for len(out.Buckets) > 0 && out.Buckets[len(out.Buckets)-1].Total() == 0 {
		out.Buckets = out.Buckets[:len(out.Buckets)-1]
	}
	return out, len(out.Buckets) > 0
}
