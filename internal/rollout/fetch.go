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
	// maxHints bounds the hosts that are remembered as having a newer version.
	maxHints = 8
	// bootstrapHosts is the number of hosts that one without a configuration
	// asks at once.
	bootstrapHosts = 3
	// parallelFetches bounds the fetches at one time.
	parallelFetches = 2
	// maxWantedHashes bounds the documents asked for in one call.
	maxWantedHashes = 4096
)

// hint names a host that has a version.
type hint struct {
	addr    string
	version uint64
}

// Announced says that the host at addr has a version. It is fetched from there
// if it is newer than the one in force. The call does not block.
func (a *Agent) Announced(addr string, version uint64) {
	if version <= a.current.Load().version() {
		return
	}
	a.hintMu.Lock()
	a.hints = slices.DeleteFunc(a.hints, func(h hint) bool { return h.addr == addr })
	a.hints = slices.Insert(a.hints, 0, hint{addr: addr, version: version})
	a.hints = a.hints[:min(len(a.hints), maxHints)]
	a.hintMu.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// nextHint removes and returns the hint with the highest version above the one
// in force, the newest of equal ones.
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

// fetchLoop fetches newer versions from the hosts that announced them, and
// looks for a first configuration.
func (a *Agent) fetchLoop(ctx context.Context) {
	retry := backoff{agent: a}
	for ctx.Err() == nil {
		if a.Current() == nil {
			a.bootstrap(ctx)
			a.fetchHinted(ctx)
			if a.Current() == nil {
				retry.wait(ctx)
			}
			continue
		}
		select {
		case <-ctx.Done():
		case <-a.wake:
			a.fetchHinted(ctx)
		}
	}
}

// fetchHinted tries the hinted hosts until one fetch succeeds or none is left.
// A second host is asked when the first doesn't answer within FetchHedge.
func (a *Agent) fetchHinted(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	type result struct {
		hint hint
		err  error
	}
	results := make(chan result)
	running, free := 0, true
	defer func() {
		cancel()
		for ; running > 0; running-- {
			<-results
		}
	}()
	for {
		if free && running < parallelFetches {
			h, ok := a.nextHint()
			if !ok && running == 0 {
				return
			}
			if ok {
				running++
				free = false
				go func() { results <- result{h, a.fetch(ctx, h.addr)} }()
			}
		}
		hedge := time.NewTimer(a.opts.FetchHedge)
		select {
		case r := <-results:
			running--
			free = true
			// The version can have come from elsewhere meanwhile.
			if r.err != nil && a.current.Load().version() < r.hint.version {
				a.opts.Scope.Counter("fetch_failed").Inc(1)
				a.log.WithError(r.err).WithField("version", r.hint.version).Warn("fetch from a host failed")
			}
		case <-hedge.C:
			free = true
		case <-ctx.Done():
			hedge.Stop()
			return
		}
		hedge.Stop()
	}
}

// fetch takes the configuration of the host at addr if it is newer.
func (a *Agent) fetch(ctx context.Context, addr string) error {
	a.opts.Scope.Counter("fetches").Inc(1)
	var (
		m    release.Manifest
		docs map[string][]byte
		want []string
	)
	req := &peerpb.FetchConfigRequest{HaveVersion: a.current.Load().version()}
	for {
		reply, err := a.ask(ctx, addr, req)
		if err != nil {
			return err
		}
		progress := len(reply.Manifest) > 0
		if progress {
			if m, err = unpackManifest(reply.Manifest, addr); err != nil {
				return err
			}
			if m.Version <= req.HaveVersion {
				return errors.WithStack(&NothingNewerError{Addr: addr})
			}
			docs, want = a.known(m)
		}
		if m.Version == 0 {
			return errors.WithStack(&NothingNewerError{Addr: addr})
		}
		for _, d := range reply.Documents {
			i := slices.Index(want, d.Hash)
			if i < 0 {
				continue
			}
			if docs[d.Hash], err = unpackDocument(d); err != nil {
				return err
			}
			want = slices.Delete(want, i, i+1)
			progress = true
		}
		if len(want) == 0 {
			return a.adopt(m, docs, addr)
		}
		if !progress {
			return errors.WithStack(missing(m, want[0]))
		}
		req = &peerpb.FetchConfigRequest{HaveVersion: m.Version, Hashes: want[:min(len(want), maxWantedHashes)]}
	}
}

func (a *Agent) ask(ctx context.Context, addr string, req *peerpb.FetchConfigRequest) (*peerpb.FetchConfigReply, error) {
	ctx, cancel := context.WithTimeout(ctx, a.opts.FetchTimeout)
	defer cancel()
	reply, err := a.opts.Fetcher.FetchConfig(ctx, addr, req)
	return reply, errors.WithStack(err)
}

// bootstrap asks a few random hosts for their version and hints at them, so
// that the newest among them is fetched.
func (a *Agent) bootstrap(ctx context.Context) {
	view := a.opts.Members.View()
	hosts := slices.DeleteFunc(slices.Clone(view.Hosts), func(h member.Host) bool { return h.Name == view.Self.Name })
	a.rngMu.Lock()
	a.rng.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	a.rngMu.Unlock()
	hosts = hosts[:min(len(hosts), bootstrapHosts)]
	done := make(chan struct{})
	for _, h := range hosts {
		go func() {
			defer func() { done <- struct{}{} }()
			reply, err := a.ask(ctx, h.Addr, &peerpb.FetchConfigRequest{})
			if err != nil || len(reply.Manifest) == 0 {
				return
			}
			if m, err := unpackManifest(reply.Manifest, h.Addr); err == nil {
				a.Announced(h.Addr, m.Version)
			}
		}()
	}
	for range hosts {
		<-done
	}
}
