package catalog

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/lead"
	"github.com/arbutusgauge/arbutusgauge/internal/routing"
)

// PathState is the path at which a host shows its peers what it believes. A
// few hosts follow the source; the others follow one of these, because calls to
// the source are priced and bounded for all hosts together.
const PathState = "/v1/state"

const (
	// relayTimeout bounds a question to a peer; a frozen one does not answer.
	relayTimeout = 300 * time.Millisecond
	// relayFullTimeout is the same for everything that a peer has, which many
	// hosts may ask for at once when they start.
	relayFullTimeout = 1500 * time.Millisecond
	// relayPace is the time between two questions, relayStartPace while this host
	// has no table.
	relayPace      = 400 * time.Millisecond
	relayStartPace = 50 * time.Millisecond
	// relayAge is the greatest age of what a peer heard from the source.
	// An undisturbed one hears from it every 1.2 s.
	relayAge = 1500 * time.Millisecond
	// relayTries is the number of peers asked in one round.
	relayTries = 4
	// relayHold is how long a host stays with a peer that it did not prefer.
	relayHold = 5 * time.Second
	// unheard is the age of what was never heard of.
	unheard = time.Hour
	// keptChanges bounds the changes of servers that a host keeps for its peers.
	keptChanges = 2000
	// maxState bounds the answer of a peer, in bytes.
	maxState = 32 << 20
)

// changeLog numbers the effective changes of the servers. The catalog's mutex
// guards it.
type changeLog struct {
	run     int64 // tells this process's numbers from those of others
	next    uint64
	changes []ServerChange // the newest, up to next
}

func (l *changeLog) add(change ServerChange) {
	l.next++
	l.changes = append(l.changes, change)
	if len(l.changes) > 2*keptChanges {
		l.changes = append([]ServerChange(nil), l.changes[len(l.changes)-keptChanges:]...)
	}
}

// since returns the changes after a number, false if they are not kept.
func (l *changeLog) since(run int64, after uint64) ([]ServerChange, bool) {
	if run != l.run || after > l.next || l.next-after > uint64(len(l.changes)) {
		return nil, false
	}
	return l.changes[uint64(len(l.changes))-(l.next-after):], true
}

// state is the answer to a peer.
type state struct {
	// Age is the time since this host heard from the source.
	Age   time.Duration  `json:"age"`
	Table *routing.Table `json:"table,omitempty"` // if it is newer than the peer's
	Fleet lead.Fleet     `json:"fleet"`
	// Revision is that of the source up to which this host knows the servers.
	Revision uint64 `json:"revision"`
	Run      int64  `json:"run"`
	Next     uint64 `json:"next"`
	// Servers are all servers if Full is set, else Changes the changes.
	Full    bool           `json:"full,omitempty"`
	Servers []Server       `json:"servers,omitempty"`
	Changes []ServerChange `json:"changes,omitempty"`
}

// position is what a host already has from a peer.
type position struct {
	peer    string
	follows bool // this host follows the peer, so that the peer counts it
	version uint64
	run     int64
	next    uint64
}

// ServeState answers a peer.
func (c *Catalog) ServeState(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	answer := c.stateAfter(position{
		version: parseUint(query.Get("version")), run: int64(parseUint(query.Get("run"))), next: parseUint(query.Get("next")),
	})
	if relay := c.options.Relay; relay != nil {
		cores, err := strconv.ParseFloat(query.Get("cores"), 64)
		if err != nil {
			cores = 0
		}
		if query.Get("follows") != "" {
			relay.Asked(query.Get("host"), cores)
		}
		if answer != nil {
			answer.Fleet = relay.Fleet()
		}
	}
	if answer == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(answer); err != nil {
		c.options.Logger.WithError(err).Warn("state not delivered to a peer")
	}
}

// parseUint reads a number; one that can't be read counts as 0, which asks for
// everything.
func parseUint(text string) uint64 {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

func (c *Catalog) stateAfter(p position) *state {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.table == nil {
		return nil
	}
	answer := &state{Age: c.age(), Revision: c.revision, Run: c.changes.run, Next: c.changes.next}
	if c.table.Version > p.version {
		answer.Table = c.table
	}
	changes, kept := c.changes.since(p.run, p.next)
	if kept {
		answer.Changes = changes
		return answer
	}
	answer.Full = true
	for _, server := range c.servers.known {
		answer.Servers = append(answer.Servers, server)
	}
	return answer
}

// age returns the time since the older of the last answers of the source. The
// caller holds mu.
func (c *Catalog) age() time.Duration {
	now := c.options.Clock()
	return max(now-c.heardTable, now-c.heardServers)
}

// fresh reports whether the source answered this host of late.
func (c *Catalog) fresh() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.age() <= relayAge
}

// PeerError reports a peer that can't be followed.
type PeerError struct{ Peer, Problem string }

// Error implements error.
func (e *PeerError) Error() string { return "peer " + e.Peer + ": " + e.Problem }

// peers is what a host remembers of the hosts that it asks.
type peers struct {
	client    *http.Client
	positions map[string]*position
	present   string // the peer that was followed last
	heldUntil time.Time
}

func newPeers() *peers {
	dialer := &net.Dialer{Timeout: relayTimeout}
	return &peers{
		client:    &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, IdleConnTimeout: peerIdle}},
		positions: map[string]*position{},
	}
}

// peerIdle is how long an unused connection to a peer is kept.
const peerIdle = 10 * time.Second

// order returns the peers to ask, the present one first while it is held.
func (p *peers) order(list []string, now time.Time) []string {
	if now.Before(p.heldUntil) {
		if at := slices.Index(list, p.present); at > 0 {
			list = append([]string{p.present}, slices.Delete(slices.Clone(list), at, at+1)...)
		}
	}
	return list[:min(len(list), relayTries)]
}

// followed notes which peer answered with fresh knowledge.
func (p *peers) followed(peer string, preferred bool, now time.Time) (changed bool) {
	changed = p.present != peer
	if changed && !preferred {
		p.heldUntil = now.Add(relayHold)
	}
	p.present = peer
	return changed
}

func (p *peers) position(peer string) *position {
	at := p.positions[peer]
	if at == nil {
		at = &position{peer: peer}
		p.positions[peer] = at
	}
	return at
}

// followPeer asks the peers in turn while this host does not lead, or while the
// source does not answer it.
func (c *Catalog) followPeer(ctx context.Context) {
	p := newPeers()
	defer p.client.CloseIdleConnections()
	for ctx.Err() == nil {
		if !c.leads() || c.sourceLost.Load() > 0 || !c.fresh() {
			c.askPeers(ctx, p)
		}
		pace := relayPace
		if c.View() == nil {
			pace = relayStartPace
		}
		sleep(ctx, pace)
	}
}

// askPeers asks peers until one has fresh knowledge.
func (c *Catalog) askPeers(ctx context.Context, p *peers) {
	list := c.options.Relay.Peers()
	for i, peer := range p.order(list, time.Now()) {
		at := p.position(peer)
		at.follows = p.present == peer && !c.leads()
		err := c.askPeer(ctx, p.client, at, relayAge)
		if err == nil {
			if p.followed(peer, i == 0 && peer == list[0], time.Now()) {
				c.options.Logger.WithField("peer", peer).Info("peer followed")
			}
			return
		}
		if ctx.Err() != nil {
			return
		}
		delete(p.positions, peer)
		c.options.Scope.Counter("relay_failed").Inc(1)
		if p.present == peer {
			p.present, p.heldUntil = "", time.Time{}
			c.options.Logger.WithError(err).WithField("peer", peer).Info("peer not followed any more")
		}
	}
	c.mu.Lock()
	c.servers.lost(time.Now())
	c.mu.Unlock()
	c.options.Relay.Orphaned()
}

// askPeer takes what a peer has beyond a position.
func (c *Catalog) askPeer(ctx context.Context, client *http.Client, at *position, maxAge time.Duration) error {
	if view := c.View(); view != nil {
		at.version = view.Table.Version
	}
	limit := relayTimeout
	if at.run == 0 {
		limit = relayFullTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	began := c.options.Clock()
	answer, err := c.fetchState(ctx, client, *at)
	if err != nil {
		return err
	}
	if answer.Age > maxAge {
		return &PeerError{Peer: at.peer, Problem: "it last heard from the source " + answer.Age.String() + " ago"}
	}
	if answer.Table != nil {
		c.SetTable(answer.Table, "peer")
	}
	c.takeState(answer, began)
	at.run, at.next = answer.Run, answer.Next
	if relay := c.options.Relay; relay != nil && len(answer.Fleet.Seats) > 0 {
		relay.Learn(answer.Fleet)
	}
	return nil
}

// takeState takes the servers of a peer, which knew them at the time began or
// later. It ends an absence of the source that this host noted, because the
// followed host keeps lapsed servers itself.
func (c *Catalog) takeState(answer *state, began time.Duration) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	heard := began - answer.Age
	c.heardTable, c.heardServers = max(c.heardTable, heard), max(c.heardServers, heard)
	c.servers.awaySince = time.Time{}
	if answer.Revision < c.revision {
		// The peer is behind what another one or the source has said.
		return
	}
	if answer.Full {
		c.takeList(answer.Servers, answer.Revision, now)
		return
	}
	known := c.revision
	c.revision = answer.Revision
	c.applyRelayed(answer.Changes, known, now)
}

func (c *Catalog) fetchState(ctx context.Context, client *http.Client, at position) (*state, error) {
	query := url.Values{
		"version": {strconv.FormatUint(at.version, 10)},
		"run":     {strconv.FormatInt(at.run, 10)},
		"next":    {strconv.FormatUint(at.next, 10)},
		"host":    {c.options.Name},
		"cores":   {strconv.FormatFloat(c.options.Cores, 'f', -1, 64)},
	}
	if at.follows {
		query.Set("follows", "1")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at.peer+PathState+"?"+query.Encode(), nil)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, &PeerError{Peer: at.peer, Problem: response.Status}
	}
	var answer state
	if err := json.NewDecoder(io.LimitReader(response.Body, maxState)).Decode(&answer); err != nil {
		return nil, errors.Wrap(err, "state of peer "+at.peer)
	}
	return &answer, nil
}

// applyRelayed takes the effective changes of a peer that are beyond a known
// revision, and its conclusions. The caller holds mu.
func (c *Catalog) applyRelayed(changes []ServerChange, known uint64, now time.Time) {
	changed := false
	for _, change := range changes {
		if change.Revision != 0 && change.Revision <= known {
			continue
		}
		if change.Server != nil {
			changed = c.applyOne(change, now) || changed
			continue
		}
		if old, ok := c.servers.known[change.ID]; ok {
			c.dropServer(old, change.Revision, now, "server gone")
			changed = true
		}
	}
	if changed {
		c.rebuild()
	}
}
