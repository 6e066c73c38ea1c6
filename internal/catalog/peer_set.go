package catalog

import (
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
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
	// failing holds the peers whose last call failed.
	failing map[string]bool
	// calls are the calls under way, by peer; finished gets them when they end.
	calls    map[string]*peerCall
	finished chan *peerCall
	running  sync.WaitGroup
	// round and stage are the numbers of the present round of polls, and of its stage.
	round, stage int
	// hostsLearnedAt is when a peer was last asked for other hosts.
	hostsLearnedAt time.Time
}

func newPeerSet() *peerSet {
	dialer := &net.Dialer{Timeout: peerTimeout}
	return &peerSet{
		client: &http.Client{Transport: &http.Transport{
			DialContext: dialer.DialContext, IdleConnTimeout: peerIdleTimeout, MaxResponseHeaderBytes: maxStateHeadBytes,
		}},
		cursors: map[string]*peerCursor{}, refused: map[string]bool{}, failing: map[string]bool{},
		calls: map[string]*peerCall{}, finished: make(chan *peerCall),
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

// maxCursors limits the positions that are kept. A host polls a few leaders and, while
// none of them is fresh, other hosts.
const maxCursors = 32

// cursor returns the position at a peer, and creates it if there is none.
func (p *peerSet) cursor(peer string) *peerCursor {
	cursor := p.cursors[peer]
	if cursor == nil {
		for other := range p.cursors {
			if len(p.cursors) >= maxCursors && other != p.current && p.calls[other] == nil {
				delete(p.cursors, other)
				delete(p.failing, other)
			}
		}
		cursor = &peerCursor{peer: peer}
		p.cursors[peer] = cursor
	}
	return cursor
}
