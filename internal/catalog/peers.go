package catalog

import (
	"context"
	"net"
	"net/http"
	"time"
)

const (
	// startRetryInterval is the pause between two rounds of calls to all peers.
	startRetryInterval = 300 * time.Millisecond
	// unlimitedAge accepts the state of a peer however old it is.
	unlimitedAge = time.Duration(1<<63 - 1)
)

// StartFromPeers asks peers for their state until a table is known. The first round
// accepts only a fresh state: an older one may name servers that have left and
// routes that were withdrawn, while another peer knows better. A host that starts
// while the source is unavailable has no other way to get a state, so later rounds
// accept any age. It returns nil when ctx ends, not before.
func (c *Catalog) StartFromPeers(ctx context.Context, peers []string) error {
	dialer := &net.Dialer{Timeout: peerTimeout}
	client := &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true, DialContext: dialer.DialContext, MaxResponseHeaderBytes: maxStateHeadBytes,
	}}
	maxAge := maxPeerStateAge
	for ctx.Err() == nil && c.View() == nil && len(peers) > 0 {
		for _, peer := range peers {
			if c.View() != nil {
				break
			}
			if err := c.pollPeer(ctx, client, &peerCursor{peer: peer}, maxAge); err != nil && ctx.Err() == nil {
				c.options.Logger.WithError(err).WithField("peer", peer).Info("peer gave no state")
			}
		}
		maxAge = unlimitedAge
		sleep(ctx, startRetryInterval)
	}
	<-ctx.Done()
	return nil
}

// CatchUp fetches the state of a peer that used a newer routing table to answer a
// query, so that this host does not use an older table afterwards. It returns at
// once; calls during a fetch are ignored.
func (c *Catalog) CatchUp(peer string) {
	if !c.catchingUp.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer c.catchingUp.Store(false)
		p := newPeerSet()
		defer p.client.CloseIdleConnections()
		if err := c.pollPeer(context.Background(), p.client, p.cursor(peer), unlimitedAge); err != nil {
			c.options.Logger.WithError(err).WithField("peer", peer).Warn("newer table of a peer not taken over")
		}
	}()
}
