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

// Agent holds the configuration in force on this host.
type Agent struct {
	opts    Options
	log     log.Interface
	current atomic.Pointer[snapshot]

	adoptMu   sync.Mutex // orders adoptions and their callbacks
	callbacks []func(*release.Config)

	hintMu sync.Mutex
	hints  []hint        // hosts that have a newer version, newest hint first
	wake   chan struct{} // capacity 1: there are new hints

	rngMu sync.Mutex
	rng   *rand.Rand
}

// New returns an agent without a configuration. *OptionError reports an
// option out of range.
func New(opts Options) (*Agent, error) {
	if err := opts.Validate(); err != nil {
		return nil, errors.WithStack(err)
	}
	opts = opts.withDefaults()
	return &Agent{
		opts: opts,
		log:  opts.Log.WithField("module", "rollout").WithField("host", opts.Members.View().Self.Name),
		wake: make(chan struct{}, 1),
		rng:  rand.New(rand.NewPCG(opts.Seed, 0)),
	}, nil
}

// Run keeps the configuration up to date until ctx ends; it returns nil then.
func (a *Agent) Run(ctx context.Context) error {
	var group sync.WaitGroup
	group.Go(func() { a.watchLoop(ctx) })
	group.Go(func() { a.fetchLoop(ctx) })
	group.Wait()
	return nil
}

// Current returns the configuration in force, or nil before the first.
func (a *Agent) Current() *release.Config {
	if s := a.current.Load(); s != nil {
		return s.config
	}
	return nil
}

// Manifest returns the manifest of the configuration in force; its version is
// 0 before the first.
func (a *Agent) Manifest() release.Manifest {
	if s := a.current.Load(); s != nil {
		return s.manifest
	}
	return release.Manifest{}
}

// OnAdopt registers f to be called with each newly adopted configuration, in
// order of version, and at once with the one in force if there is one. f must
// not call the agent's OnAdopt or Apply.
func (a *Agent) OnAdopt(f func(*release.Config)) {
	a.adoptMu.Lock()
	defer a.adoptMu.Unlock()
	a.callbacks = append(a.callbacks, f)
	if config := a.Current(); config != nil {
		f(config)
	}
}

// adopt brings a version into force unless this host has it or a higher one.
func (a *Agent) adopt(m release.Manifest, docs map[string][]byte, source string) error {
	a.adoptMu.Lock()
	defer a.adoptMu.Unlock()
	old := a.current.Load()
	if m.Version <= old.version() {
		return nil
	}
	config, err := assemble(old, m, docs)
	if err != nil {
		return errors.WithStack(err)
	}
	next := &snapshot{config: config, manifest: m, docs: docs}
	if old != nil {
		next.older = old.docs
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

// assemble builds a configuration and reuses the unchanged services and
// searches of the version before, so that a change costs no more than what it
// changes: a full configuration has 70,000 replicas.
func assemble(old *snapshot, m release.Manifest, docs map[string][]byte) (*release.Config, error) {
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

// known returns the manifest's documents that this host has and the hashes of
// the others.
func (a *Agent) known(m release.Manifest) (docs map[string][]byte, lacking []string) {
	docs = map[string][]byte{}
	current := a.current.Load()
	for _, hash := range m.Hashes() {
		if body, ok := current.document(hash); ok {
			docs[hash] = body
		} else {
			lacking = append(lacking, hash)
		}
	}
	return docs, lacking
}
