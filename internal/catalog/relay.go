package catalog

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/history"
	"github.com/arbutusgauge/arbutusgauge/internal/readlimit"
)

// PathState is the path at which a host serves its catalog state to peers. Usually
// one host reads the source; the leaders poll it and the other hosts poll their
// leader, because calls to the source cost money and are limited for all hosts
// together.
const PathState = "/v1/state"

const (
	// peerTimeout is the timeout of a call to a peer, which may be frozen.
	peerTimeout = 300 * time.Millisecond
	// peerFullStateTimeout is the timeout of a call for the full state. It is
	// longer because many starting hosts may ask a peer at once.
	peerFullStateTimeout = 1500 * time.Millisecond
	// peerPollInterval is the time between two polls of the peers;
	// peerStartPollInterval replaces it while this host has no table.
	peerPollInterval      = 400 * time.Millisecond
	peerStartPollInterval = 50 * time.Millisecond
	// maxPeerStateAge is the greatest age of the source's last answer to a peer
	// with which the peer's state counts as fresh. Without faults the source answers
	// the first reader every 0.8 s, and the other leaders poll that one.
	maxPeerStateAge = 1500 * time.Millisecond
	// maxPeersPerRound limits the peers that are asked in one poll, and
	// maxOtherPeersPerRound the hosts after them that do not lead.
	maxPeersPerRound      = 4
	maxOtherPeersPerRound = 2
	// hostSampleInterval is the time after which a host asks the followed peer for
	// other hosts again.
	hostSampleInterval = 5 * time.Second
	// peerHoldTime is how long a host keeps following a peer that is not its
	// first choice.
	peerHoldTime = 5 * time.Second
	// neverFollow is the greatest age of a state that is applied without following the
	// peer.
	neverFollow = time.Duration(-1)
	// neverHeardAge is the initial age of the source's last answer.
	neverHeardAge = time.Hour
	// maxStateBytes limits the size of a peer's answer: 70,000 servers take about
	// 14 MB.
	maxStateBytes = 32 << 20
	// maxStateHeadBytes limits the head of a peer's answer.
	maxStateHeadBytes = 16 << 10
)

// peerCursor is the position up to which a host has the state of a peer.
type peerCursor struct {
	peer    string // address, "ip:port"
	follows bool   // tells the peer to count this host as a follower
	// onHead, if set, is called when the head of an answer has arrived.
	onHead func()
	// wantsHosts asks the peer for the addresses of some hosts.
	wantsHosts bool
	version    uint64 // of the routing table that this host has
	run        int64  // run and newest of the peer's change log; 0: nothing yet
	newest     uint64
	known      history.Position // up to which this host knows the servers
	fullAt     time.Time        // when a full state was last applied
	// rateLimits and quarantine are the positions in the rate limits and in the
	// suspected requests of the process run.
	rateLimits, quarantine uint64
}

// ServeState serves this host's state to a peer, from the position in the query
// parameters on. It answers with status 503 while no table is known.
func (c *Catalog) ServeState(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	answer := c.stateSince(peerCursor{
		version: parseUintOrZero(query.Get("version")), run: int64(parseUintOrZero(query.Get("run"))), newest: parseUintOrZero(query.Get("next")),
		known: history.Position{Era: parseUintOrZero(query.Get("era")), Revision: parseUintOrZero(query.Get("revision"))},
	})
	if leadership := c.options.Leadership; leadership != nil {
		cores, err := strconv.ParseFloat(query.Get("cores"), 64)
		if err != nil {
			cores = 0
		}
		if query.Get("follows") != "" {
			leadership.RecordFollower(query.Get("host"), query.Get("addr"), cores)
		}
		if answer != nil {
			answer.Fleet = leadership.Fleet()
			if query.Get("hosts") != "" {
				answer.Hosts = leadership.SampleHosts()
			}
		}
	}
	if answer == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	// A position at another process means nothing here.
	samePosition := query.Get("run") == strconv.FormatInt(answer.Run, 10)
	position := func(name string) uint64 {
		if !samePosition {
			return 0
		}
		return parseUintOrZero(query.Get(name))
	}
	if c.options.RateLimits != nil {
		answer.RateLimits, answer.RateLimitsRevision = c.options.RateLimits.Since(position("rate_limits"))
	}
	if c.options.Quarantine != nil {
		answer.Quarantine, answer.QuarantineRevision = c.options.Quarantine.Since(position("quarantine"))
	}
	w.Header().Set("Content-Type", "application/json")
	if answer.Full {
		// It takes a while to encode. The head shows the host that this one is not suspended.
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
	}
	if err := json.NewEncoder(w).Encode(answer); err != nil {
		c.options.Logger.WithError(err).Warn("state not delivered to a peer")
	}
}

// parseUintOrZero parses a number. Text that is not a number gives 0, which asks
// for the full state.
func parseUintOrZero(text string) uint64 {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// stateSince returns the state after a position, or nil while no table is known.
func (c *Catalog) stateSince(p peerCursor) *peerState {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.table == nil {
		return nil
	}
	answer := &peerState{Age: c.sourceAge(), Revision: c.position.Revision, Era: c.position.Era, Run: c.changes.run, Newest: c.changes.newest}
	answer.Evacuated = c.evacuated.state()
	if c.table.Version > p.version {
		answer.Table = c.table
	}
	changes, jumped, kept := c.changes.since(p.run, p.newest, p.known)
	if kept {
		answer.Changes, answer.Jumped = changes, jumped
		return answer
	}
	answer.Full = true
	for _, server := range c.servers.known {
		answer.Servers = append(answer.Servers, server)
	}
	answer.Lapsed = slices.Collect(maps.Keys(c.servers.dropLapsedAt))
	return answer
}

// sourceAge returns the time since the source's last answer for the table or for
// the servers, whichever is older. The caller holds mu.
func (c *Catalog) sourceAge() time.Duration {
	now := c.options.Clock()
	return max(now-c.tableHeardAt, now-c.serversHeardAt)
}

// hasState reports whether this host knows a table and the servers.
func (c *Catalog) hasState() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table != nil && c.position.Revision != 0
}

// isFresh reports whether sourceAge is within maxPeerStateAge.
func (c *Catalog) isFresh() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sourceAge() <= maxPeerStateAge
}

// PeerError reports a peer whose state can't be used.
type PeerError struct{ Peer, Problem string }

// Error implements error.
func (e *PeerError) Error() string { return "peer " + e.Peer + ": " + e.Problem }

// StaleStateError reports a peer whose state is too old to follow the peer.
type StaleStateError struct {
	Peer string
	Age  time.Duration // of the source's last answer to the peer
}

// Error implements error.
func (e *StaleStateError) Error() string {
	return "peer " + e.Peer + ": state is too old: the source last answered " + e.Age.String() + " ago"
}

// followPeers polls the peers while this host does not read the source, or while it gets no
// answers from the source. It returns when ctx ends.
func (c *Catalog) followPeers(ctx context.Context) {
	p := newPeerSet()
	if c.options.PeerTransport != nil {
		p.client = &http.Client{Transport: c.options.PeerTransport}
	}
	defer p.client.CloseIdleConnections()
	defer p.running.Wait()
	for ctx.Err() == nil {
		if !c.reads() || c.failingWatches.Load() > 0 || !c.isFresh() {
			c.pollPeers(ctx, p)
		}
		interval := peerPollInterval
		if c.View() == nil {
			interval = peerStartPollInterval
		}
		c.sleepUntilPoll(ctx, p, interval)
	}
}

// sleepUntilPoll waits for the interval between two polls. A starting host polls as soon
// as it knows a peer, which may have a newer table than the source, if that was
// restored, and knows the rate limits.
func (c *Catalog) sleepUntilPoll(ctx context.Context, p *peerSet, interval time.Duration) {
	if p.foundPeers {
		sleep(ctx, interval)
		return
	}
	for until := time.Now().Add(interval); ctx.Err() == nil && time.Now().Before(until); {
		sleep(ctx, peerStartPollInterval)
		if len(c.options.Leadership.Peers()) > 0 {
			p.foundPeers = true
			return
		}
	}
}

// pollPeer fetches and applies the state of a peer after a position, and advances
// the position. A state older than maxAge gives *StaleStateError: what is later in it
// than the known state is applied, but the peer can't be followed, and a host without
// a state does not begin with it. A failed call leaves the position as it is.
func (c *Catalog) pollPeer(ctx context.Context, client *http.Client, cursor *peerCursor, maxAge time.Duration) error {
	if view := c.View(); view != nil {
		cursor.version = view.Table.Version
	}
	cursor.known = c.knownPosition()
	if c.needsFullState(cursor) {
		cursor.run, cursor.newest = 0, 0
	}
	timeout := peerTimeout
	if cursor.run == 0 {
		timeout = peerFullStateTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	began := c.options.Clock()
	answer, err := c.fetchState(ctx, client, *cursor)
	if err != nil {
		return err
	}
	answer.asked = cursor.known
	stale := answer.Age > maxAge
	if stale && !c.hasState() {
		// It may name servers that have left. A newer routing table reverts nothing, unless
		// this host has none: the routes of the first one may have been withdrawn.
		if answer.Table != nil && c.View() != nil {
			c.SetTable(answer.Table, "old state of a peer")
		}
		return &StaleStateError{Peer: cursor.peer, Age: answer.Age}
	}
	c.applyPeerEvacuated(answer.Evacuated, cursor.peer)
	if answer.Table != nil {
		c.SetTable(answer.Table, "peer")
	}
	if complete := c.applyPeerState(answer, began); complete || stale {
		cursor.run, cursor.newest = answer.Run, answer.Newest
		if answer.Full {
			cursor.fullAt = time.Now()
		}
	}
	if c.options.RateLimits != nil {
		if err := c.options.RateLimits.Learn(answer.RateLimits); err != nil {
			c.options.Logger.WithError(err).WithField("peer", cursor.peer).Warn("rate limits of a peer refused")
		}
	}
	if c.options.Quarantine != nil {
		if err := c.options.Quarantine.Learn(answer.Quarantine); err != nil {
			c.options.Logger.WithError(err).WithField("peer", cursor.peer).Warn("suspected requests of a peer refused")
		}
	}
	cursor.rateLimits, cursor.quarantine = answer.RateLimitsRevision, answer.QuarantineRevision
	if leadership := c.options.Leadership; leadership != nil {
		leadership.LearnHosts(answer.Hosts)
		switch {
		case stale:
			leadership.LearnSeats(answer.Fleet)
		case len(answer.Fleet.Seats) > 0:
			leadership.AdoptFleet(answer.Fleet)
		}
	}
	if stale {
		return &StaleStateError{Peer: cursor.peer, Age: answer.Age}
	}
	return nil
}

// needsFullState reports whether the full state of a peer is due after a restoration of the
// source. Until the servers have registered again, hosts at the same position can know
// different servers, which they had learned in the era before.
func (c *Catalog) needsFullState(cursor *peerCursor) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	settledAt := c.restoredAt.Add(reregisterGrace)
	return !c.restoredAt.IsZero() && time.Now().After(settledAt) && cursor.fullAt.Before(settledAt)
}

// applyPeerState applies the servers of a peer's state; began is the time of
// Options.Clock just before the call. A fresh state ends a recorded outage of the
// source, because the peer itself keeps lapsed servers during an outage. It returns false
// if the state was not applied and must be asked for again: as one that is older, but may
// lack a server that the peer dropped without a change of the source.
func (c *Catalog) applyPeerState(answer *peerState, began time.Duration) (complete bool) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	heardAt := began - answer.Age
	c.tableHeardAt, c.serversHeardAt = max(c.tableHeardAt, heardAt), max(c.serversHeardAt, heardAt)
	if answer.Age <= maxPeerStateAge {
		c.servers.sourceLostAt = time.Time{}
	}
	at := history.Position{Era: answer.Era, Revision: answer.Revision}
	if at.IsBefore(c.position) {
		// The source or another peer has already provided a later state.
		c.options.Scope.Counter("relay_ignored").Inc(1)
		c.options.Logger.WithFields(log.Fields{
			"era": at.Era, "revision": at.Revision, "known_era": c.position.Era, "known_revision": c.position.Revision,
			"changes": len(answer.Changes), "full": answer.Full,
		}).Info("older state of a peer ignored")
		return !c.mayLackDropped(answer)
	}
	if answer.Full {
		lapsedBefore := maps.Clone(c.servers.dropLapsedAt)
		c.setServersLocked(answer.Servers, at, now)
		c.servers.noteLapsed(answer.Lapsed, lapsedBefore, now)
		return true
	}
	known := c.position
	if answer.Jumped {
		if known != answer.asked {
			return false // the peer has not checked the jump against this position
		}
		c.changes.addJump(known, at)
	}
	c.setPosition(at, now)
	c.applyPeerChanges(answer.Changes, known, now)
	return true
}

// mayLackDropped reports whether a state lacks a known server that the peer may have
// dropped itself. The caller holds mu.
func (c *Catalog) mayLackDropped(answer *peerState) bool {
	if !answer.Full {
		return slices.ContainsFunc(answer.Changes, func(change ServerChange) bool { return change.Revision == 0 })
	}
	named := make(map[string]bool, len(answer.Servers))
	for i := range answer.Servers {
		named[answer.Servers[i].ID] = true
	}
	for id := range c.servers.known {
		if !named[id] {
			return true
		}
	}
	return false
}

func (c *Catalog) fetchState(ctx context.Context, client *http.Client, cursor peerCursor) (*peerState, error) {
	query := url.Values{
		"version":     {strconv.FormatUint(cursor.version, 10)},
		"run":         {strconv.FormatInt(cursor.run, 10)},
		"next":        {strconv.FormatUint(cursor.newest, 10)},
		"era":         {strconv.FormatUint(cursor.known.Era, 10)},
		"revision":    {strconv.FormatUint(cursor.known.Revision, 10)},
		"host":        {c.options.HostName},
		"rate_limits": {strconv.FormatUint(cursor.rateLimits, 10)},
		"quarantine":  {strconv.FormatUint(cursor.quarantine, 10)},
		"cores":       {strconv.FormatFloat(c.options.Cores, 'f', -1, 64)},
	}
	if cursor.follows {
		query.Set("follows", "1")
		query.Set("addr", c.options.PeerAddr)
	}
	if cursor.wantsHosts {
		query.Set("hosts", "1")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+cursor.peer+PathState+"?"+query.Encode(), nil)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer func() { _ = response.Body.Close() }()
	if cursor.onHead != nil {
		cursor.onHead()
	}
	if response.StatusCode != http.StatusOK {
		return nil, &PeerError{Peer: cursor.peer, Problem: response.Status}
	}
	body, err := readlimit.ReadAll(response.Body, response.ContentLength, readlimit.Limits{What: "state of a peer", Max: maxStateBytes})
	if err != nil {
		return nil, errors.Wrap(err, "read state of peer "+cursor.peer)
	}
	answer, err := decodePeerState(body)
	if err != nil {
		return nil, errors.Wrap(err, "decode state of peer "+cursor.peer)
	}
	return answer, nil
}

// applyPeerChanges applies the changes of a peer that are after a known position,
// and those without a revision, which the peer derived itself. A removal is
// applied even in the grace period for lapsed entries: the peer has waited for
// its end. The caller holds mu.
func (c *Catalog) applyPeerChanges(changes []ServerChange, known history.Position, now time.Time) {
	changed := false
	for _, change := range changes {
		if change.Revision != 0 && !known.IsBefore(change.position()) {
			continue
		}
		if change.Server != nil {
			changed = c.applyChange(change, now) || changed
			continue
		}
		if old, ok := c.servers.known[change.ID]; ok {
			c.dropServer(old, change.position(), now, "server gone")
			changed = true
		}
	}
	if changed {
		c.rebuild()
	}
}
