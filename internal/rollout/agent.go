package rollout

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/release"
)

// Agent holds the configuration in force on this host, follows newer versions
// and applies release notes.
type Agent struct {
	opts    Options
	log     log.Interface
	current atomic.Pointer[adoptedVersion]

	adoptMu   sync.Mutex // serialises adoptions and their callbacks
	callbacks []func(*release.Config)

	hintMu    sync.Mutex
	hints     []hint        // hosts that announced a newer version, the latest announcement first
	hintAdded chan struct{} // capacity 1; signalled when hints has a new entry

	rngMu sync.Mutex
	rng   *rand.Rand
}

// New returns an agent that has no configuration yet. It fails with
// *OptionError when an option is missing or out of range.
func New(opts Options) (*Agent, error) {
	if err := opts.Validate(); err != nil {
		return nil, errors.WithStack(err)
	}
	opts = opts.withDefaults()
	return &Agent{
		opts:      opts,
		log:       opts.Log.WithField("module", "rollout").WithField("host", opts.Members.View().Self.Name),
		hintAdded: make(chan struct{}, 1),
		rng:       rand.New(rand.NewPCG(opts.Seed, 0)),
	}, nil
}

// Run keeps the configuration up to date until ctx ends, and then returns nil.
func (a *Agent) Run(ctx context.Context) error {
	var group sync.WaitGroup
	group.Go(func() { a.watchLoop(ctx) })
	group.Go(func() { a.fetchLoop(ctx) })
	group.Wait()
	return nil
}

// Current returns the configuration in force, or nil before the first adoption.
func (a *Agent) Current() *release.Config {
	if adopted := a.current.Load(); adopted != nil {
		return adopted.config
	}
	return nil
}

// Manifest returns the manifest of the configuration in force. Before the
// first adoption it is empty, with version 0.
func (a *Agent) Manifest() release.Manifest {
	if adopted := a.current.Load(); adopted != nil {
		return adopted.manifest
	}
	return release.Manifest{}
}

// OnAdopt registers f to be called with each newly adopted configuration, in
// order of version. If a configuration is in force, f is called with it before
// OnAdopt returns. f must not call the agent's OnAdopt or Apply, which would
// deadlock.
func (a *Agent) OnAdopt(f func(*release.Config)) {
	a.adoptMu.Lock()
	defer a.adoptMu.Unlock()
	a.callbacks = append(a.callbacks, f)
	if config := a.Current(); config != nil {
		f(config)
	}
}

// adopt brings a version into force and calls the callbacks. It does nothing if
// this host has the same or a higher version. docs holds all documents of m;
// source is the origin for the log: "store", "apply" or a host's address.
func (a *Agent) adopt(m release.Manifest, docs map[string][]byte, source string) error {
	a.adoptMu.Lock()
	defer a.adoptMu.Unlock()
	old := a.current.Load()
	if m.Version <= old.version() {
		return nil
	}
	config, err := assembleReusing(old, m, docs)
	if err != nil {
		return errors.WithStack(err)
	}
	next := &adoptedVersion{config: config, manifest: m, documents: docs}
	if old != nil {
		next.previousDocuments = old.documents
	}
	a.current.Store(next)
	a.opts.Scope.Gauge("version").Update(float64(m.Version))
	a.opts.Scope.Counter("adopted").Inc(1)
	a.log.WithFields(log.Fields{"version": m.Version, "note": m.Note, "source": source}).Info("configuration adopted")
	for _, f := range a.callbacks {
		f(config)
	}
	return nil
}

// assembleReusing builds a configuration and shares the unchanged services and
// searches with the version before, so that the cost is proportional to the
// change and not to the whole configuration, which has up to 70,000 replicas.
func assembleReusing(old *adoptedVersion, m release.Manifest, docs map[string][]byte) (*release.Config, error) {
	if old == nil {
		return release.Assemble(m, docs)
	}
	changed := release.Manifest{Version: m.Version, Note: m.Note, Services: map[string]string{}, Searches: map[string]string{}}
	for name, hash := range m.Services {
		if old.manifest.Services[name] != hash {
			changed.Services[name] = hash
		}
	}
	for name, hash := range m.Searches {
		if old.manifest.Searches[name] != hash {
			changed.Searches[name] = hash
		}
	}
	config, err := release.Assemble(changed, docs)
	if err != nil {
		return nil, err
	}
	for name := range m.Services {
		if config.Services[name] == nil {
			config.Services[name] = old.config.Services[name]
		}
	}
	for name := range m.Searches {
		if config.Searches[name] == nil {
			config.Searches[name] = old.config.Searches[name]
		}
	}
	return config, nil
}

// localDocuments returns the manifest's documents that this host has, by hash,
// and the hashes of the missing ones.
func (a *Agent) localDocuments(m release.Manifest) (docs map[string][]byte, missingHashes []string) {
	docs = map[string][]byte{}
	current := a.current.Load()
	for _, hash := range m.Hashes() {
		if body, ok := current.document(hash); ok {
			docs[hash] = body
		} else {
			missingHashes = append(missingHashes, hash)
		}
	}
	return docs, missingHashes
}
