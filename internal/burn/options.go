package burn

import "time"

const (
	bucketWidth = 30 * time.Second
	shortWindow = 5 * time.Minute
	longWindow  = time.Hour

	shortBuckets = int64(shortWindow / bucketWidth)
	longBuckets  = int64(longWindow / bucketWidth)

	// fastBurnRate spends 2% of a 30-day budget in one hour.
	fastBurnRate = 14.4
	// minBudget keeps the burn rate finite for an objective of 1.
	minBudget = 1e-6
	// maxClockDifference is the age of a host's report, against the newest
	// one, above which its buckets may not match those of the others.
	maxClockDifference = bucketWidth

	defaultMaxSearches = 512
)

// Options of a Recorder.
type Options struct {
	Host       string
	DataCentre string
	// MaxSearches bounds the searches counted, and with them the memory: about
	// 4.9 KB for each. The default is 512.
	MaxSearches int
	Now         func() time.Time // the default is time.Now
}

// Validate fills the defaults. *OptionError reports a value that is not allowed.
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
