package entry

import (
	"context"
	"slices"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/member"
)

const (
	// hostListRole is the role in the rendezvous hash that selects the hosts
	// that ask the platform for the host list.
	hostListRole = "host_list"
	// hostListWatchers is the number of hosts in each data centre that ask the
	// platform for the host list.
	hostListWatchers = 2

	hostListPollTimeout = time.Second // longest wait of one call for the host list
	hostListRetryDelay  = 500 * time.Millisecond
	peerStreamInterval  = 250 * time.Millisecond
	// maxWarmPeers bounds the number of peers to which streams are opened before
	// a query needs them.
	maxWarmPeers = 64
)

// watchHostList follows the platform's host list. Only the watchers of the data
// centre ask the platform; the other hosts learn of leaving backend servers by
// gossip.
func (h *Host) watchHostList(ctx context.Context) error {
	var revision uint64
	for ctx.Err() == nil {
		if !h.isHostListWatcher() {
			sleep(ctx, hostListRetryDelay)
			continue
		}
		list, err := h.platform.Hosts(ctx, revision, hostListPollTimeout)
		if err != nil {
			sleep(ctx, hostListRetryDelay)
			continue
		}
		if list.Revision > revision {
			revision = list.Revision
			h.members.UpdateHostList(list)
		}
	}
	return nil
}

// isHostListWatcher reports whether this host is one of those that ask the
// platform for the host list on behalf of their data centre.
func (h *Host) isHostListWatcher() bool {
	view := h.members.View()
	watchers := member.SelectLive(view, hostListRole, view.Self.DataCentre, hostListWatchers)
	return slices.ContainsFunc(watchers, func(host member.Host) bool { return host.Name == view.Self.Name })
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// maintainPeerStreams opens streams to live peers before a query needs them and
// closes the streams to hosts that are no longer in the member view.
func (h *Host) maintainPeerStreams(ctx context.Context) error {
	warmed := map[string]bool{}
	var lastView *member.View
	for ctx.Err() == nil {
		if view := h.members.View(); view != lastView {
			lastView = view
			h.updatePeerStreams(view, warmed)
		}
		sleep(ctx, peerStreamInterval)
	}
	return nil
}

// updatePeerStreams applies a member view. The set warmed holds the addresses of
// the peers to which streams were opened.
func (h *Host) updatePeerStreams(view *member.View, warmed map[string]bool) {
	present := map[string]bool{}
	for _, host := range view.Hosts {
		if host.Addr == view.Self.Addr {
			continue
		}
		present[host.Addr] = true
		if host.State == member.Live && !warmed[host.Addr] && len(warmed) < maxWarmPeers {
			warmed[host.Addr] = true
			h.peerClient.Warm(host.Addr)
		}
	}
	for addr := range warmed {
		if !present[addr] {
			delete(warmed, addr)
			h.peerClient.RemovePeer(addr)
		}
	}
}
