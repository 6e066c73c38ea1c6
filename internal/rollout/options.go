package rollout

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/uber-go/tally/v4"

	"github.com/arbutusgauge/arbutusgauge/internal/infra"
	"github.com/arbutusgauge/arbutusgauge/internal/member"
	"github.com/arbutusgauge/arbutusgauge/internal/release"
)

// Defaults of Options.
const (
	DefaultWatchersPerDataCentre = 2
	DefaultStoreTimeout          = 2 * time.Second
	DefaultFetchTimeout          = time.Second
	// DefaultFetchHedgeDelay leaves enough time for a fetch from a second host,
	// after one from a host that doesn't answer, within the 4 s in which a
	// version comes into force on every host.
	DefaultFetchHedgeDelay    = 300 * time.Millisecond
	DefaultWatchTimeout       = 10 * time.Second
	DefaultWatcherCheckPeriod = 250 * time.Millisecond
	DefaultApplyTimeout       = 8 * time.Second
	DefaultMinBackoff         = 50 * time.Millisecond
	// DefaultMaxBackoff is well below the 4 s in which a configuration comes
	// into force after the store has become available again.
	DefaultMaxBackoff = time.Second
)

// Options configures an Agent. Store, Fetcher, Members, Check and ApplyNote are
// required; the zero value of any other option stands for its default.
type Options struct {
	Store   infra.Store
	Fetcher Fetcher
	Members member.Members
	// Check and ApplyNote are release.Check and release.Apply, or substitutes in
	// tests.
	Check     func(base *release.Config, n *release.Note) error
	ApplyNote func(base *release.Config, n *release.Note) (*release.Config, error)
	// IsWatcher reports whether this host watches the store. By default, the
	// watchers of a data centre are its first live hosts in the order of a
	// rendezvous hash.
	IsWatcher func() bool
	// WatchersPerDataCentre is the number of watchers in a data centre. It has no
	// effect when IsWatcher is set.
	WatchersPerDataCentre int

	// StoreTimeout bounds one read or write of the store, and FetchTimeout one
	// call to another host.
	StoreTimeout time.Duration
	FetchTimeout time.Duration
	// FetchHedgeDelay is the time without an answer after which a fetch from a
	// second host starts.
	FetchHedgeDelay time.Duration
	// WatchTimeout bounds one watch call to the store. WatcherCheckPeriod is the
	// longest time between two checks whether this host has become a watcher.
	WatchTimeout       time.Duration
	WatcherCheckPeriod time.Duration
	// ApplyTimeout bounds one call of Apply with all its tries.
	ApplyTimeout time.Duration
	// MinBackoff is the first delay after a failure. The delay doubles with each
	// further failure up to MaxBackoff.
	MinBackoff time.Duration
	MaxBackoff time.Duration

	Scope tally.Scope
	Log   log.Interface
	// Seed seeds the random number generator of jitter and of the choice of
	// hosts; 0 stands for a random seed.
	Seed uint64
}

// Validate returns *OptionError for the first option that is missing or out of
// range, and nil if there is none.
func (o Options) Validate() error {
	required := []struct {
		name    string
		missing bool
	}{
		{"Store", o.Store == nil},
		{"Fetcher", o.Fetcher == nil},
		{"Members", o.Members == nil},
		{"Check", o.Check == nil},
		{"ApplyNote", o.ApplyNote == nil},
	}
	for _, r := range required {
		if r.missing {
			return &OptionError{Option: r.name, Allowed: "a value other than nil"}
		}
	}
	durations := []time.Duration{
		o.StoreTimeout, o.FetchTimeout, o.FetchHedgeDelay, o.WatchTimeout, o.WatcherCheckPeriod, o.ApplyTimeout, o.MinBackoff, o.MaxBackoff,
	}
	if o.WatchersPerDataCentre < 0 || slices.Min(durations) < 0 {
		return &OptionError{Option: "WatchersPerDataCentre or one of the durations", Allowed: "at least 0"}
	}
	return nil
}

func (o Options) withDefaults() Options {
	setDefault(&o.WatchersPerDataCentre, DefaultWatchersPerDataCentre)
	setDefault(&o.StoreTimeout, DefaultStoreTimeout)
	setDefault(&o.FetchTimeout, DefaultFetchTimeout)
	setDefault(&o.FetchHedgeDelay, DefaultFetchHedgeDelay)
	setDefault(&o.WatchTimeout, DefaultWatchTimeout)
	setDefault(&o.WatcherCheckPeriod, DefaultWatcherCheckPeriod)
	setDefault(&o.ApplyTimeout, DefaultApplyTimeout)
	setDefault(&o.MinBackoff, DefaultMinBackoff)
	setDefault(&o.MaxBackoff, DefaultMaxBackoff)
	setDefault(&o.Seed, rand.Uint64())
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	if o.Log == nil {
		o.Log = log.Log
	}
	if o.IsWatcher == nil {
		members, watchers := o.Members, o.WatchersPerDataCentre
		o.IsWatcher = func() bool { return isWatcher(members.View(), watchers) }
	}
	return o
}

// isWatcher reports whether the view's own host is among the first watchers
// live hosts of its data centre.
func isWatcher(v *member.View, watchers int) bool {
	chosen := member.SelectLive(v, watcherHashRole, v.Self.DataCentre, watchers)
	return slices.ContainsFunc(chosen, func(h member.Host) bool { return h.Name == v.Self.Name })
}

func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}
