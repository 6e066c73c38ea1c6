package catalog

import (
	"context"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// peerSet keeps the positions at the peers and the peer that is followed.
type peerSet struct {
	client    *http.Client
	cursors   map[string]*peerCursor
	current   string    // the peer that is followed; "": none
	heldUntil time.Time // until then current is asked first
	// foundPeers is set once a peer was known to this host.
	foundPeers bool
	// refused holds the peers that were asked in vain since a peer was last followed.
	refused map[string]bool
	// hostsLearnedAt is when a peer was last asked for other hosts.
	hostsLearnedAt time.Time
}

func newPeerSet() *peerSet {
	dialer := &net.Dialer{Timeout: peerTimeout}
	return &peerSet{
		client: &http.Client{Transport: &http.Transport{
			DialContext: dialer.DialContext, IdleConnTimeout: peerIdleTimeout, MaxResponseHeaderBytes: maxStateHeadBytes,
		}},
		cursors: map[string]*peerCursor{}, refused: map[string]bool{},
	}
}

// noteRefused records a peer that was asked in vain and reports whether it is the first
// time since a peer was last followed.
func (p *peerSet) noteRefused(peer string) (first bool) {
	first = !p.refused[peer]
	p.refused[peer] = true
	return first
}

// peerIdleTimeout is how long an idle connection to a peer is kept open.
const peerIdleTimeout = 10 * time.Second

// candidates returns the peers to ask: those of the list in its order, but the
// current peer first while it is held.
func (p *peerSet) candidates(list []string, now time.Time) []string {
	if now.Before(p.heldUntil) {
		if index := slices.Index(list, p.current); index > 0 {
			list = append([]string{p.current}, slices.Delete(slices.Clone(list), index, index+1)...)
		}
	}
	return list[:min(len(list), maxPeersPerRound)]
}

// setCurrent records the peer that answered with a fresh state and reports
// whether it differs from the previous one. If it is new and not the preferred
// peer, it is asked first for peerHoldTime.
func (p *peerSet) setCurrent(peer string, preferred bool, now time.Time) (changed bool) {
	changed = p.current != peer
	clear(p.refused)
	if changed && !preferred {
		p.heldUntil = now.Add(peerHoldTime)
	}
	p.current = peer
	return changed
}

// cursor returns the position at a peer, and creates it if there is none.
func (p *peerSet) cursor(peer string) *peerCursor {
	cursor := p.cursors[peer]
	if cursor == nil {
		cursor = &peerCursor{peer: peer}
		p.cursors[peer] = cursor
	}
	return cursor
}

// pollPeers asks the peers until one answers with a fresh state. If none does, it
// tells the Leadership, learns from other hosts, and records an outage of the source
// unless one of them has a fresh state.
func (c *Catalog) pollPeers(ctx context.Context, p *peerSet) {
	list := c.options.Leadership.Peers()
	for i, peer := range p.candidates(list, time.Now()) {
		if c.tryPeer(ctx, p, peer, i == 0 && peer == list[0]) || ctx.Err() != nil {
			return
		}
	}
	c.options.Leadership.ReportLeaderless()
	if c.learnFromOthers(ctx, p) {
		return
	}
	c.mu.Lock()
	c.servers.noteSourceLost(time.Now())
	c.mu.Unlock()
}

// learnFromOthers applies the states of hosts that do not lead and reports whether one
// was fresh. They are not followed, so that a host that can use the store still does
// what a host without a leader must do. They name the leaders to the other ones.
func (c *Catalog) learnFromOthers(ctx context.Context, p *peerSet) bool {
	others := c.options.Leadership.OtherPeers()
	for _, peer := range others[:min(len(others), maxOtherPeersPerRound)] {
		cursor := p.cursor(peer)
		cursor.follows, cursor.wantsHosts = false, true
		err := c.pollPeer(ctx, p.client, cursor, neverFollow)
		var stale *StaleStateError
		switch {
		case ctx.Err() != nil:
			return true
		case !errors.As(err, &stale):
			delete(p.cursors, peer)
		case stale.Age <= maxPeerStateAge:
			return true
		}
	}
	return false
}

// tryPeer polls a peer and reports whether it can be followed, in which case it
// becomes the current one. preferred is as for setCurrent.
func (c *Catalog) tryPeer(ctx context.Context, p *peerSet, peer string, preferred bool) bool {
	now := time.Now()
	cursor := p.cursor(peer)
	cursor.follows = p.current == peer && !c.options.Leadership.Leads()
	cursor.wantsHosts = now.Sub(p.hostsLearnedAt) >= hostSampleInterval
	err := c.pollPeer(ctx, p.client, cursor, maxPeerStateAge)
	if err == nil {
		if cursor.wantsHosts {
			p.hostsLearnedAt = now
		}
		if p.setCurrent(peer, preferred, time.Now()) {
			c.options.Logger.WithField("peer", peer).Info("peer followed")
		}
		return true
	}
	if ctx.Err() != nil {
		return false
	}
	var stale *StaleStateError
	if !errors.As(err, &stale) {
		delete(p.cursors, peer)
	}
	c.options.Scope.Counter("relay_failed").Inc(1)
	first := p.noteRefused(peer)
	switch {
	case p.current == peer:
		p.current, p.heldUntil = "", time.Time{}
		c.options.Logger.WithError(err).WithField("peer", peer).Info("peer not followed any more")
	case first:
		c.options.Logger.WithError(err).WithField("peer", peer).Info("peer can't be followed")
	}
	return false
}
