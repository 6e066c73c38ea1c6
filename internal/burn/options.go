package burn

import "time"

const (
	// bucketWidth must be the same on all hosts: Merge leaves out a host whose
	// buckets have another width.
	bucketWidth = 30 * time.Second
	shortWindow = 5 * time.Minute
	longWindow  = time.Hour

	shortBuckets = int64(shortWindow / bucketWidth)
	longBuckets  = int64(longWindow / bucketWidth)

	// fastBurnRate uses 2% of a 30-day error budget in one hour.
	fastBurnRate = 14.4
	// minBudget keeps the burn rate finite when an objective allows no bad
	// requests.
	minBudget = 1e-6
	// maxReportAge is how much older than the newest report a host's report may
	// be. Above that, the host's clock may be behind, and its counts may be in
	// other buckets than those of the other hosts.
	maxReportAge = bucketWidth

	defaultMaxSearches = 512
)

// Options configure a Recorder.
type Options struct {
	Host       string // name of the host that counts; required
	DataCentre string
	// MaxSearches bounds the number of searches that are counted, each of which
	// takes about 4.9 KB of memory. The default is 512.
	MaxSearches int
	Now         func() time.Time // the default is time.Now
}

// Validate checks the options and sets the defaults. It returns *OptionError
// for a value that is not allowed.
func (o *Options) Validate() error {
	if o.Host == "" {
		return &OptionError{Option: "Host", Allowed: "a name"}
	}
	if o.MaxSearches < 0 {
		return &OptionError{Option: "MaxSearches", Allowed: "0 or more"}
	}
	if o.MaxSearches == 0 {
		o.MaxSearches = defaultMaxSearches
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return nil
}
