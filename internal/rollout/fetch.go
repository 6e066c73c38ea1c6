package rollout

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/member"
	"github.com/arbutusgauge/arbutusgauge/internal/peer/peerpb"
	"github.com/arbutusgauge/arbutusgauge/internal/release"
)

const (
	// maxHints bounds the remembered announcements of newer versions.
	maxHints = 8
	// maxBootstrapHosts bounds the hosts that a host without a configuration
	// asks for their version at one time.
	maxBootstrapHosts = 3
	// maxParallelFetches bounds the fetches at one time.
	maxParallelFetches = 2
	// maxWantedHashes bounds the documents requested in one call.
	maxWantedHashes = 4096
)

// hint is an announcement that the host at addr has a version.
type hint struct {
	addr    string
	version uint64
}

// AddVersionHint records that the host at addr has the version. If the version is
// higher than the one in force, Run fetches it from that host. The call does not
// block.
func (a *Agent) AddVersionHint(addr string, version uint64) {
	if version <= a.current.Load().version() {
		return
	}
	a.hintMu.Lock()
	a.hints = slices.DeleteFunc(a.hints, func(h hint) bool { return h.addr == addr })
	a.hints = slices.Insert(a.hints, 0, hint{addr: addr, version: version})
	a.hints = a.hints[:min(len(a.hints), maxHints)]
	a.hintMu.Unlock()
	select {
	case a.hintAdded <- struct{}{}:
	default:
	}
}

// nextHint removes and returns the hint with the highest version above the one
// in force, and among equal versions the latest announcement. It returns false
// if there is none, and then drops all hints.
func (a *Agent) nextHint() (hint, bool) {
	a.hintMu.Lock()
	defer a.hintMu.Unlock()
	current := a.current.Load().version()
	best := -1
	for i, h := range a.hints {
		if h.version > current && (best < 0 || h.version > a.hints[best].version) {
			best = i
		}
	}
	if best < 0 {
		a.hints = nil
		return hint{}, false
	}
	h := a.hints[best]
	a.hints = slices.Delete(a.hints, best, best+1)
	return h, true
}

// fetchLoop fetches newer versions from the hosts that announced them. While
// this host has no configuration, it asks random hosts for theirs.
func (a *Agent) fetchLoop(ctx context.Context) {
	retry := backoff{agent: a}
	for ctx.Err() == nil {
		if a.Current() == nil {
			a.collectInitialHints(ctx)
			a.fetchFromHints(ctx)
			if a.Current() == nil {
				retry.wait(ctx)
			}
			continue
		}
		select {
		case <-ctx.Done():
		case <-a.hintAdded:
			a.fetchFromHints(ctx)
		}
	}
}

// fetchFromHints fetches from the hosts in the hints until no hint names a
// newer version than the one in force. When a host doesn't answer within
// FetchHedgeDelay, a second fetch starts beside the first.
func (a *Agent) fetchFromHints(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	type result struct {
		hint hint
		err  error
	}
	results := make(chan result)
	running, mayStart := 0, true
	defer func() {
		cancel()
		for ; running > 0; running-- {
			<-results
		}
	}()
	for {
		if mayStart && running < maxParallelFetches {
			h, ok := a.nextHint()
			if !ok && running == 0 {
				return
			}
			if ok {
				running++
				mayStart = false
				go func() { results <- result{h, a.fetch(ctx, h.addr)} }()
			}
		}
		hedge := time.NewTimer(a.opts.FetchHedgeDelay)
		select {
		case r := <-results:
			running--
			mayStart = true
			// Another source may have delivered the version meanwhile.
			if r.err != nil && a.current.Load().version() < r.hint.version {
				a.opts.Scope.Counter("fetch_failed").Inc(1)
				a.log.WithError(r.err).WithField("version", r.hint.version).Warn("fetch from a host failed")
			}
		case <-hedge.C:
			mayStart = true
		case <-ctx.Done():
			hedge.Stop()
			return
		}
		hedge.Stop()
	}
}

// fetch adopts the configuration of the host at addr. It fails with
// *NoNewerConfigError if that host has no newer version than this one. A reply
// may hold only some of the documents; fetch then requests the rest.
func (a *Agent) fetch(ctx context.Context, addr string) error {
	a.opts.Scope.Counter("fetches").Inc(1)
	var (
		m      release.Manifest
		docs   map[string][]byte
		wanted []string
	)
	req := &peerpb.FetchConfigRequest{HaveVersion: a.current.Load().version()}
	for {
		reply, err := a.requestConfig(ctx, addr, req)
		if err != nil {
			return err
		}
		progressed := len(reply.Manifest) > 0
		if progressed {
			if m, err = decompressManifest(reply.Manifest, addr); err != nil {
				return err
			}
			if m.Version <= req.HaveVersion {
				return errors.WithStack(&NoNewerConfigError{Addr: addr})
			}
			docs, wanted = a.localDocuments(m)
		}
		if m.Version == 0 {
			return errors.WithStack(&NoNewerConfigError{Addr: addr})
		}
		for _, d := range reply.Documents {
			i := slices.Index(wanted, d.Hash)
			if i < 0 {
				continue
			}
			if docs[d.Hash], err = decompressDocument(d); err != nil {
				return err
			}
			wanted = slices.Delete(wanted, i, i+1)
			progressed = true
		}
		if len(wanted) == 0 {
			return a.adopt(m, docs, addr)
		}
		if !progressed {
			return errors.WithStack(missingDocument(m, wanted[0]))
		}
		req = &peerpb.FetchConfigRequest{HaveVersion: m.Version, Hashes: wanted[:min(len(wanted), maxWantedHashes)]}
	}
}

// requestConfig sends one request to the host at addr, bounded by FetchTimeout.
func (a *Agent) requestConfig(ctx context.Context, addr string, req *peerpb.FetchConfigRequest) (*peerpb.FetchConfigReply, error) {
	ctx, cancel := context.WithTimeout(ctx, a.opts.FetchTimeout)
	defer cancel()
	reply, err := a.opts.Fetcher.FetchConfig(ctx, addr, req)
	return reply, errors.WithStack(err)
}

// collectInitialHints asks a few random hosts for their version and adds hints
// for those that answer, so that the highest version among them is fetched
// first. It returns when all calls have ended.
func (a *Agent) collectInitialHints(ctx context.Context) {
	view := a.opts.Members.View()
	hosts := slices.DeleteFunc(slices.Clone(view.Hosts), func(h member.Host) bool { return h.Name == view.Self.Name })
	a.rngMu.Lock()
	a.rng.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	a.rngMu.Unlock()
	hosts = hosts[:min(len(hosts), maxBootstrapHosts)]
	done := make(chan struct{})
	for _, h := range hosts {
		go func() {
			defer func() { done <- struct{}{} }()
			reply, err := a.requestConfig(ctx, h.Addr, &peerpb.FetchConfigRequest{})
			if err != nil || len(reply.Manifest) == 0 {
				return
			}
			if m, err := decompressManifest(reply.Manifest, h.Addr); err == nil {
				a.AddVersionHint(h.Addr, m.Version)
			}
		}()
	}
	for range hosts {
		<-done
	}
}
