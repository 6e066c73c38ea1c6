package peer

import (
	"context"
	"sync"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// maxLinksPerKeepAlive is the most links whose idle streams are pinged in one
// keep-alive period, so that the cost doesn't grow with the number of peers.
const maxLinksPerKeepAlive = 8

// Client sends sub-requests and calls to other entry hosts. It holds one link
// for each peer in use.
type Client struct {
	opts   Options
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	calls  *callPool

	mu             sync.Mutex
	links          map[string]*link
	keepAliveOrder []string // addresses of the links, in the order of their keep-alive checks
	keepAlivePos   int      // index in keepAliveOrder of the link checked last
}

// NewClient returns a client with the defaults filled in, or *OptionError for an
// option out of range. The caller must call Close in the end.
func NewClient(opts Options) (*Client, error) {
	opts = opts.withDefaults()
	if err := opts.Validate(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &Client{opts: opts, ctx: ctx, cancel: cancel, links: map[string]*link{}}
	c.calls = newCallPool(&c.opts)
	return c, nil
}

// Sender returns the sender of sub-requests to the peer at addr.
func (c *Client) Sender(addr string) wire.Sender { return c.link(addr) }

// Warm starts to open the streams to the peer at addr, so that its first
// sub-requests don't wait for a dial.
func (c *Client) Warm(addr string) { c.link(addr).warm() }

func (c *Client) link(addr string) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	l, ok := c.links[addr]
	if !ok {
		l = newLink(c.ctx, &c.wg, addr, &c.opts)
		c.links[addr] = l
		c.keepAliveOrder = append(c.keepAliveOrder, addr)
	}
	return l
}

// RemovePeer closes the link and the idle connections to a host that has left
// the fleet.
func (c *Client) RemovePeer(addr string) {
	c.mu.Lock()
	l, ok := c.links[addr]
	delete(c.links, addr)
	for i, a := range c.keepAliveOrder {
		if a == addr {
			c.keepAliveOrder = append(c.keepAliveOrder[:i], c.keepAliveOrder[i+1:]...)
			break
		}
	}
	c.mu.Unlock()
	if ok {
		l.close()
	}
	c.calls.closeIdle(addr)
}

// Run pings idle streams once in a keep-alive period until ctx ends, and then
// returns nil. Each period covers the next few links in turn.
func (c *Client) Run(ctx context.Context) error {
	ticker := time.NewTicker(c.opts.KeepAlivePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			for _, l := range c.nextKeepAliveLinks() {
				l.pingIdleStreams(c.opts.KeepAlivePeriod)
			}
		}
	}
}

func (c *Client) nextKeepAliveLinks() []*link {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := min(maxLinksPerKeepAlive, len(c.keepAliveOrder))
	due := make([]*link, 0, n)
	for range n {
		c.keepAlivePos = (c.keepAlivePos + 1) % len(c.keepAliveOrder)
		due = append(due, c.links[c.keepAliveOrder[c.keepAlivePos]])
	}
	return due
}

// Close closes all links and idle connections and waits for their goroutines.
// Sub-requests that were written end as unknown, the others as not run.
func (c *Client) Close() {
	c.mu.Lock()
	links := c.links
	c.links = map[string]*link{}
	c.keepAliveOrder = nil
	c.mu.Unlock()
	for _, l := range links {
		l.close()
	}
	c.cancel()
	c.calls.close()
	c.wg.Wait()
}
