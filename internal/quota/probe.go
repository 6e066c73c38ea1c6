package quota

import (
	"context"
	"sync"
)

const (
	// goneRefusals is the number of consecutive refused connections, one a second, after
	// which a silent host counts as gone: a process that is replaced is back sooner.
	goneRefusals = 3
	// parallelProbes bounds the connections to silent hosts at a time.
	parallelProbes = 16
)

// probeSilentHosts looks whether the hosts that have become silent are gone. The share of
// one that is cut off must be kept.
func (r *Registry) probeSilentHosts(ctx context.Context) {
	r.grantorMu.Lock()
	defer r.grantorMu.Unlock()
	silent := r.grantor.silentHosts()
	if r.probing || len(silent) == 0 {
		return
	}
	r.probing = true
	go func() {
		gone := r.probe(ctx, silent)
		r.grantorMu.Lock()
		defer r.grantorMu.Unlock()
		r.probing = false
		r.noteProbes(silent, gone)
	}()
}

// noteProbes records the results of probes. The caller holds grantorMu.
func (r *Registry) noteProbes(silent map[string]uint64, gone map[string]bool) {
	for address := range r.refusals {
		if !gone[address] {
			delete(r.refusals, address)
		}
	}
	for address := range gone {
		r.refusals[address]++
		if r.refusals[address] >= goneRefusals {
			delete(r.refusals, address)
			r.grantor.setGone(address, silent[address], r.options.Clock())
		}
	}
}

// probe returns the hosts whose machines say that no process listens.
func (r *Registry) probe(ctx context.Context, hosts map[string]uint64) map[string]bool {
	var (
		mu      sync.Mutex
		running sync.WaitGroup
		gone    = map[string]bool{}
		slots   = make(chan struct{}, parallelProbes)
	)
	for address := range hosts {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			if r.options.Transport.IsGone(ctx, address) {
				mu.Lock()
				defer mu.Unlock()
				gone[address] = true
			}
		})
	}
	running.Wait()
	return gone
}
