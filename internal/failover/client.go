package failover

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/arbutusgauge/arbutusgauge/internal/aggregate"
	"github.com/arbutusgauge/arbutusgauge/internal/gateway"
)

// Client finds the hosts that reach a service and hands queries over to them. It is safe for
// concurrent use.
type Client struct {
	options Options
	demand  chan struct{} // signals Run that a search is needed

	mu          sync.Mutex
	neededUntil time.Time
	reports     map[string]receivedReport // by the address of a host
	named       []string                  // hosts that others named
	// answered is closed, and replaced, with each answer of a host. searched is set when a
	// round of this search has ended.
	answered chan struct{}
	searched bool
}

var _ gateway.Forwarder = (*Client)(nil)

// receivedReport is the last report of a host.
type receivedReport struct {
	Report
	at time.Time
}

// reaches reports whether a report that counts at now names a service.
func (r *receivedReport) reaches(service string, now time.Time) bool {
	return now.Sub(r.at) <= reportMaxAge && slices.Contains(r.Services, service)
}

// New returns a client that knows no host. A missing option gives *OptionError.
func New(options Options) (*Client, error) {
	if err := options.Validate(); err != nil {
		return nil, err
	}
	return &Client{
		options: options, demand: make(chan struct{}, 1), reports: map[string]receivedReport{}, answered: make(chan struct{}),
	}, nil
}

// Forward implements gateway.Forwarder: it hands a query over to a host that reaches its
// service.
func (c *Client) Forward(ctx context.Context, query *gateway.ForwardedQuery) (*gateway.ForwardOutcome, error) {
	peers := c.find(ctx, query.Service)
	if len(peers) == 0 {
		c.options.Scope.Counter("no_peer").Inc(1)
		return nil, &gateway.NotForwardedError{}
	}
	outcome, err := c.options.Offerer.Offer(ctx, query, peers, maxOffers)
	if err == nil {
		c.options.Scope.Counter("forwarded").Inc(1)
	}
	return outcome, err
}

// find returns the hosts that reach a service, in the order in which a query is to be offered.
// While the first round of a search runs, it waits for an answer.
func (c *Client) find(ctx context.Context, service string) []aggregate.Peer {
	timer := time.NewTimer(firstAnswerWait)
	defer timer.Stop()
	c.need()
	for {
		peers, answered, searched := c.peersFor(service)
		if len(peers) > 0 || searched {
			return peers
		}
		select {
		case <-answered:
		case <-timer.C:
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}

// need starts the search or extends it.
func (c *Client) need() {
	c.mu.Lock()
	c.neededUntil = time.Now().Add(searchDuration)
	c.mu.Unlock()
	select {
	case c.demand <- struct{}{}:
	default:
	}
}

// peersFor returns the hosts that reach a service, larger ones more often first. answered is
// closed with the next answer of a host, and searched is set once a round has ended.
func (c *Client) peersFor(service string) (peers []aggregate.Peer, answered <-chan struct{}, searched bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	keys := map[string]float64{}
	for addr, report := range c.reports {
		if report.reaches(service, now) {
			peers = append(peers, aggregate.Peer{Addr: addr})
			// Sorted by these keys, a host comes first with a probability in proportion to its cores.
			keys[addr] = rand.ExpFloat64() / max(report.Cores, minCores)
		}
	}
	slices.SortFunc(peers, func(a, b aggregate.Peer) int {
		if keys[a.Addr] < keys[b.Addr] {
			return -1
		}
		return 1
	})
	return peers, c.answered, c.searched
}

// Known returns the addresses of the hosts that reach a service, as far as they are known now,
// sorted. It changes nothing.
func (c *Client) Known(service string) []string {
	peers, _, _ := c.peersFor(service)
	addrs := make([]string, 0, len(peers))
	for _, peer := range peers {
		addrs = append(addrs, peer.Addr)
	}
	slices.Sort(addrs)
	return addrs
}

// minCores is the least processor share that counts, for a host that states none.
const minCores = 0.05

// Run searches for hosts while queries need them, until ctx ends. It returns nil.
func (c *Client) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.demand:
			if c.isNeeded() {
				c.search(ctx)
			}
		}
	}
}

// search asks hosts in rounds until no query has needed that for searchDuration.
func (c *Client) search(ctx context.Context) {
	c.options.Logger.Info("replicas not reached, asking other hosts")
	for rounds := 0; ctx.Err() == nil && c.isNeeded(); rounds++ {
		began := time.Now()
		asked, reaching := c.askHosts(ctx)
		if rounds == 0 {
			c.options.Logger.WithFields(log.Fields{"asked": asked, "reaching": reaching, "took": time.Since(began)}).Info("other hosts asked")
		}
		sleep(ctx, roundInterval)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reports, c.named, c.searched = map[string]receivedReport{}, nil, false
	c.options.Logger.Info("other hosts no longer needed")
}

// isNeeded reports whether the search goes on.
func (c *Client) isNeeded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.neededUntil)
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// askHosts runs one round. It returns the number of hosts asked and of those that reach any
// service.
func (c *Client) askHosts(ctx context.Context) (asked, reaching int) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	hosts := c.chooseHosts(time.Now())
	var calls sync.WaitGroup
	for _, addr := range hosts {
		calls.Go(func() {
			report, err := c.options.Transport.Ask(ctx, addr)
			c.record(addr, report, err)
		})
	}
	calls.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.searched = true
	c.wakeWaiting()
	for _, addr := range hosts {
		if len(c.reports[addr].Services) > 0 {
			reaching++
		}
	}
	return len(hosts), reaching
}

// chooseHosts returns the hosts to ask in a round: some of those that reach a service, then
// others in random order.
func (c *Client) chooseHosts(now time.Time) []string {
	candidates := c.options.Candidates()
	c.mu.Lock()
	defer c.mu.Unlock()
	candidates = append(slices.Clone(candidates), c.named...)
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	var chosen []string
	add := func(addr string, limit int) {
		if len(chosen) < limit && addr != "" && addr != c.options.Addr && !slices.Contains(chosen, addr) {
			chosen = append(chosen, addr)
		}
	}
	for addr, report := range c.reports { // in random order
		if len(report.Services) > 0 && now.Sub(report.at) <= reportMaxAge {
			add(addr, refreshedPerRound)
		}
	}
	for _, addr := range candidates {
		add(addr, hostsPerRound)
	}
	return chosen
}

// record records the answer of a host. A host that gave none is not used.
func (c *Client) record(addr string, report Report, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.wakeWaiting()
	if err != nil {
		c.options.Scope.Counter("asks_failed").Inc(1)
		delete(c.reports, addr)
		return
	}
	c.reports[addr] = receivedReport{Report: report, at: time.Now()}
	for _, host := range report.Hosts {
		c.remember(host)
	}
}

// remember adds a host to the named ones, in place of a random one if there are
// maxNamedHosts. The caller holds mu.
func (c *Client) remember(host string) {
	switch {
	case slices.Contains(c.named, host):
	case len(c.named) < maxNamedHosts:
		c.named = append(c.named, host)
	default:
		c.named[rand.IntN(maxNamedHosts)] = host
	}
}

// wakeWaiting wakes the queries that wait for an answer. The caller holds mu.
func (c *Client) wakeWaiting() {
	close(c.answered)
	c.answered = make(chan struct{})
}
