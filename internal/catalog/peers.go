package catalog

import (
	"context"
	"net"
	"net/http"
	"time"
)

const (
	// startPause is the pause between two rounds of questions of a host that
	// starts.
	startPause = 300 * time.Millisecond
	// anyAge accepts whatever a peer has, because the source is away.
	anyAge = time.Duration(1<<63 - 1)
)

// StartFromPeers asks peers for a table until one is known, because a host that
// starts while the source is away has no other way to learn it. It returns nil
// when ctx ends.
func (c *Catalog) StartFromPeers(ctx context.Context, peers []string) error {
	dialer := &net.Dialer{Timeout: relayTimeout}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: dialer.DialContext}}
	for ctx.Err() == nil && c.View() == nil && len(peers) > 0 {
		for _, peer := range peers {
			if c.View() != nil {
				break
			}
			if err := c.askPeer(ctx, client, &position{peer: peer}, anyAge); err != nil && ctx.Err() == nil {
				c.options.Logger.WithError(err).WithField("peer", peer).Info("peer gave no state")
			}
		}
		sleep(ctx, startPause)
	}
	<-ctx.Done()
	return nil
}

// CatchUp takes the state of a peer that has answered by a newer table, so that
// this host does not go back behind that answer.
func (c *Catalog) CatchUp(peer string) {
	if !c.catchingUp.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer c.catchingUp.Store(false)
		p := newPeers()
		defer p.client.CloseIdleConnections()
		if err := c.askPeer(context.Background(), p.client, p.position(peer), anyAge); err != nil {
			c.options.Logger.WithError(err).WithField("peer", peer).Warn("newer table of a peer not taken over")
		}
	}()
}
