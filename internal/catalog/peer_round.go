package catalog

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// firstStages is the number of stages of a round that ask one healthy peer each. The
// stage after them asks all others, so that a round ends in a bounded time however many
// peers are silent.
const firstStages = 2

// peerCall is one poll of a peer. A call that outlasts its round goes on, and its peer is
// not asked again meanwhile.
type peerCall struct {
	cursor       *peerCursor
	round, stage int // in which it began
	// preferred is as for peerSet.setCurrent.
	preferred bool
	// leads is set if the peer may be followed.
	leads bool
	// answering is set when the head of the answer has arrived.
	answering atomic.Bool
	err       error
}

// pollPeers asks the peers until one answers with a fresh state. If none does, it
// tells the Leadership, learns from other hosts, and records an outage of the source
// unless one of them has a fresh state.
func (c *Catalog) pollPeers(ctx context.Context, p *peerSet) {
	p.round++
	if c.collectFinished(ctx, p) || c.pollLeaders(ctx, p) || ctx.Err() != nil {
		return
	}
	c.options.Leadership.ReportLeaderless()
	if c.learnFromOthers(ctx, p) || ctx.Err() != nil {
		return
	}
	c.mu.Lock()
	c.servers.noteSourceLost(time.Now())
	c.mu.Unlock()
}

// pollLeaders asks the peers in stages until one can be followed, and reports whether one
// can. A stage begins when the calls of the stage before have failed or were silent for
// peerTimeout. A host without a state waits longer for a peer that has not failed:
// many hosts that start together ask for the full state.
func (c *Catalog) pollLeaders(ctx context.Context, p *peerSet) bool {
	list := c.options.Leadership.Peers()
	for _, stage := range p.stages(p.candidates(list, time.Now())) {
		p.stage++
		patience := peerTimeout
		for _, peer := range stage {
			if !p.failing[peer] && !c.hasState() {
				patience = peerFullStateTimeout
			}
			c.startCall(ctx, p, &peerCall{cursor: p.cursor(peer), preferred: peer == list[0], leads: true})
		}
		if c.awaitCalls(ctx, p, patience, true) {
			return true
		}
	}
	return false
}

// stages divides peers into those that are asked at the same time. A peer that has just
// failed, or still owes an answer, does not hold up the next one.
func (p *peerSet) stages(peers []string) [][]string {
	var stages [][]string
	var stage []string
	for i, peer := range peers {
		if len(stages) == firstStages {
			return append(stages, append(stage, peers[i:]...))
		}
		stage = append(stage, peer)
		if !p.failing[peer] && p.calls[peer] == nil {
			stages, stage = append(stages, stage), nil
		}
	}
	if len(stage) > 0 {
		stages = append(stages, stage)
	}
	return stages
}

// startCall polls a peer, unless an earlier call to it is still under way.
func (c *Catalog) startCall(ctx context.Context, p *peerSet, call *peerCall) {
	cursor := call.cursor
	if p.calls[cursor.peer] != nil {
		return
	}
	maxAge := neverFollow
	cursor.follows, cursor.wantsHosts = false, true
	if call.leads {
		maxAge = maxPeerStateAge
		cursor.follows = p.current == cursor.peer && !c.options.Leadership.Leads()
		cursor.wantsHosts = time.Since(p.hostsLearnedAt) >= hostSampleInterval
	}
	cursor.onHead = func() { call.answering.Store(true) }
	call.round, call.stage = p.round, p.stage
	p.calls[cursor.peer] = call
	p.running.Go(func() {
		call.err = c.pollPeer(ctx, p.client, cursor, maxAge)
		select {
		case p.finished <- call:
		case <-ctx.Done():
		}
	})
}

// awaitCalls waits for the calls of this stage and reports whether one of the leaders, or
// of the other hosts, gave a fresh state. After a time it waits only for those that are
// answering.
func (c *Catalog) awaitCalls(ctx context.Context, p *peerSet, patience time.Duration, leaders bool) bool {
	timer := time.NewTimer(patience)
	defer timer.Stop()
	for expired := false; p.isAwaited(expired); {
		select {
		case call := <-p.finished:
			delete(p.calls, call.cursor.peer)
			if fresh := c.finishCall(ctx, p, call); fresh && call.leads == leaders {
				return true
			}
		case <-timer.C:
			expired = true
		case <-ctx.Done():
			return false
		}
	}
	return false
}

// collectFinished records the calls that have ended since the last round, and reports
// whether a leader is followed for one of them.
func (c *Catalog) collectFinished(ctx context.Context, p *peerSet) (followed bool) {
	for {
		select {
		case call := <-p.finished:
			delete(p.calls, call.cursor.peer)
			followed = c.finishCall(ctx, p, call) && call.leads || followed
		default:
			return followed
		}
	}
}

// isAwaited reports whether a call is answering or, unless the time is over, belongs to
// this stage.
func (p *peerSet) isAwaited(expired bool) bool {
	for _, call := range p.calls {
		if call.answering.Load() || !expired && call.stage == p.stage {
			return true
		}
	}
	return false
}

// learnFromOthers applies the states of hosts that do not lead and reports whether one
// was fresh. They are not followed, so that a host that can use the store still does
// what a host without a leader must do. They name the leaders to the other ones.
func (c *Catalog) learnFromOthers(ctx context.Context, p *peerSet) bool {
	p.stage++
	others := c.options.Leadership.OtherPeers()
	for _, peer := range others[:min(len(others), maxOtherPeersPerRound)] {
		c.startCall(ctx, p, &peerCall{cursor: p.cursor(peer)})
	}
	return c.awaitCalls(ctx, p, peerTimeout, false)
}

// finishCall records the result of a call and reports whether the state was fresh. The
// peer is followed then, if it leads.
func (c *Catalog) finishCall(ctx context.Context, p *peerSet, call *peerCall) bool {
	peer := call.cursor.peer
	var stale *StaleStateError
	isStale := errors.As(call.err, &stale)
	if ctx.Err() == nil {
		p.failing[peer] = call.err != nil && !isStale
	}
	switch {
	case !call.leads:
		return isStale && stale.Age <= maxPeerStateAge
	case call.err == nil && call.round != p.round && !call.preferred && p.current != "" && p.current != peer:
		// Another peer is followed since the round of this call.
	case call.err == nil:
		c.follow(p, call)
		return true
	case ctx.Err() == nil:
		c.noteNotFollowed(p, peer, call.err)
	}
	return false
}

// follow makes the peer of a call the current one.
func (c *Catalog) follow(p *peerSet, call *peerCall) {
	now := time.Now()
	if call.cursor.wantsHosts {
		p.hostsLearnedAt = now
	}
	if p.setCurrent(call.cursor.peer, call.preferred, now) {
		c.options.Logger.WithField("peer", call.cursor.peer).Info("peer followed")
	}
}

// noteNotFollowed records that a peer can't be followed.
func (c *Catalog) noteNotFollowed(p *peerSet, peer string, err error) {
	c.options.Scope.Counter("relay_failed").Inc(1)
	first := p.noteRefused(peer)
	switch {
	case p.current == peer:
		p.current, p.heldUntil = "", time.Time{}
		c.options.Logger.WithError(err).WithField("peer", peer).Info("peer not followed any more")
	case first:
		c.options.Logger.WithError(err).WithField("peer", peer).Info("peer can't be followed")
	}
}
