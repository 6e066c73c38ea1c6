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

// Recorder counts the requests of one host in time buckets. Options.MaxSearches
// bounds its memory. All methods are safe for concurrent use.
type Recorder struct {
	opts       Options
	start      time.Time
	notCounted atomic.Uint64

	mu     sync.RWMutex
	series map[seriesKey]*series
}

type seriesKey struct{ service, search string }

// ringBuckets is the number of buckets of the long window and the current one,
// which is incomplete.
const ringBuckets = longBuckets + 1

// series holds the counts of one search in a ring of buckets. The bucket with
// the number i is at index i modulo the length of the ring.
type series struct {
	mu        sync.Mutex
	objective release.Objective
	newest    int64 // number of the newest bucket
	ring      [ringBuckets]Counts
}

// New returns a Recorder without counts. It returns *OptionError for an option
// that is not allowed.
func New(opts Options) (*Recorder, error) {
	if err := opts.Validate(); err != nil {
		return nil, err
	}
	return &Recorder{opts: opts, start: opts.Now(), series: map[seriesKey]*series{}}, nil
}

// Record counts one request that ended now. When Options.MaxSearches other
// searches had requests recently, it only adds to HostReport.NotCounted.
func (r *Recorder) Record(service, search string, result Result) {
	s := r.seriesFor(seriesKey{service, search})
	if s == nil {
		r.notCounted.Add(1)
		return
	}
	bucket, class := r.currentBucket(), result.Class()
	s.mu.Lock()
	defer s.mu.Unlock()
	bucket = max(bucket, s.newest)
	s.advance(bucket)
	s.objective = result.Objective
	s.ring[bucket%ringBuckets][class]++
}

// currentBucket returns the number of the current bucket. It adds the monotonic
// time since the start to the wall-clock time of the start, so that a step of
// the wall clock does not change the number.
func (r *Recorder) currentBucket() int64 {
	return r.start.Add(r.opts.Now().Sub(r.start)).UnixNano() / int64(bucketWidth)
}

// seriesFor returns the series of a search and creates it when there is none. It
// returns nil when Options.MaxSearches is reached and no other search is idle.
func (r *Recorder) seriesFor(key seriesKey) *series {
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
		r.evictIdle()
	}
	if len(r.series) >= r.opts.MaxSearches {
		return nil
	}
	s = &series{newest: r.currentBucket()}
	r.series[key] = s
	return s
}

// evictIdle removes the searches without a request in the ring's time span, such
// as withdrawn ones.
func (r *Recorder) evictIdle() {
	current := r.currentBucket()
	for key, s := range r.series {
		s.mu.Lock()
		idle := s.newest <= current-ringBuckets
		s.mu.Unlock()
		if idle {
			delete(r.series, key)
		}
	}
}

// advance makes bucket the newest one and zeroes those that it passes. It does
// nothing when bucket is not newer than the newest one.
func (s *series) advance(bucket int64) {
	for i := max(s.newest+1, bucket-ringBuckets+1); i <= bucket; i++ {
		s.ring[i%ringBuckets] = Counts{}
	}
	s.newest = max(s.newest, bucket)
}

// HostReport returns the counts of the long window and of the current bucket.
// Searches without a request in that time are left out.
func (r *Recorder) HostReport() HostReport {
	current := r.currentBucket()
	out := HostReport{
		Host: r.opts.Host, DataCentre: r.opts.DataCentre, At: r.start.Add(r.opts.Now().Sub(r.start)).Round(0).UTC(),
		BucketWidth: jwcc.Duration(bucketWidth), NotCounted: r.notCounted.Load(), Searches: []HostSearch{},
	}
	r.mu.RLock()
	defer r.mu.RUnlock()
	for key, s := range r.series {
		if report, ok := s.report(key, current); ok {
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

// report returns the buckets from the first to the last that has a request. It
// returns false when no bucket has one.
func (s *series) report(key seriesKey, current int64) (HostSearch, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(current)
	out := HostSearch{Service: key.service, Search: key.search, Objective: s.objective}
	for i := s.newest - ringBuckets + 1; i <= s.newest; i++ {
		counts := s.ring[i%ringBuckets]
		if len(out.Buckets) == 0 {
			if counts.Total() == 0 {
				continue
			}
			out.FirstBucket = i
		}
		out.Buckets = append(out.Buckets, counts)
	}
	for len(out.Buckets) > 0 && out.Buckets[len(out.Buckets)-1].Total() == 0 {
		out.Buckets = out.Buckets[:len(out.Buckets)-1]
	}
	return out, len(out.Buckets) > 0
}
