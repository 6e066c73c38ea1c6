package entry

import (
	"context"
	"slices"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/member"
)

const (
	// hostListRole is the rendezvous role of the hosts that ask for the host
	// list, hostListWatchers their number in a data centre.
	hostListRole     = "host_list"
	hostListWatchers = 2

	hostListWait  = time.Second // longest wait of one host list call
	hostListRetry = 500 * time.Millisecond
	linksPeriod   = 250 * time.Millisecond
	// maxWarmLinks bounds the peers to which streams are kept open without a
	// query that needs them.
	maxWarmLinks = 64
)

// runHostList follows the platform's host list. Only the watchers of the data
// centre ask the platform; the others learn of leaving backend servers by
// gossip.
func (h *Host) runHostList(ctx context.Context) error {
	var revision uint64
	for ctx.Err() == nil {
		if !h.watchesHostList() {
			pause(ctx, hostListRetry)
			continue
		}
		list, err := h.platform.Hosts(ctx, revision, hostListWait)
		if err != nil {
			pause(ctx, hostListRetry)
			continue
		}
		if list.Revision > revision {
			revision = list.Revision
			h.members.UpdateHostList(list)
		}
	}
	return nil
}

// watchesHostList reports whether this host asks the platform for the host list
// on behalf of its data centre.
func (h *Host) watchesHostList() bool {
	view := h.members.View()
	chosen := member.First(view, hostListRole, view.Self.DataCentre, hostListWatchers)
	return slices.ContainsFunc(chosen, func(host member.Host) bool { return host.Name == view.Self.Name })
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// runLinks opens streams to live peers ahead of need and closes those to hosts
// that are gone.
func (h *Host) runLinks(ctx context.Context) error {
	linked := map[string]bool{}
	var seen *member.View
	for ctx.Err() == nil {
		if view := h.members.View(); view != seen {
			seen = view
			h.updateLinks(view, linked)
		}
		pause(ctx, linksPeriod)
	}
	return nil
}

func (h *Host) updateLinks(view *member.View, linked map[string]bool) {
	present := map[string]bool{}
	for _, host := range view.Hosts {
		if host.Addr == view.Self.Addr {
			continue
		}
		present[host.Addr] = true
		if host.State == member.Live && !linked[host.Addr] && len(linked) < maxWarmLinks {
			linked[host.Addr] = true
			h.client.Warm(host.Addr)
		}
	}
	for addr := range linked {
		if !present[addr] {
			delete(linked, addr)
			h.client.Forget(addr)
		}
	}
}
