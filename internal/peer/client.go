package peer

import (
	"context"
	"sync"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// keepAliveLinks is the most links whose idle streams are pinged in one
// keep-alive period, so that the cost doesn't grow with the number of peers.
const keepAliveLinks = 8

// Client holds the links to all peers in use.
type Client struct {
	opts   Options
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	calls  *callPool

	mu    sync.Mutex
	links map[string]*link
	order []string // keep-alive rotation
	next  int
}

// NewClient returns a client, or *OptionError.
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

// Sender returns the sender of sub-requests to the host at addr.
func (c *Client) Sender(addr string) wire.Sender { return c.link(addr) }

// Warm opens the streams to a host before they are needed.
func (c *Client) Warm(addr string) { c.link(addr).warm() }

func (c *Client) link(addr string) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	l, ok := c.links[addr]
	if !ok {
		l = newLink(c.ctx, &c.wg, addr, &c.opts)
		c.links[addr] = l
		c.order = append(c.order, addr)
	}
	return l
}

// Forget closes the link to a host that is gone for good.
func (c *Client) Forget(addr string) {
	c.mu.Lock()
	l, ok := c.links[addr]
	delete(c.links, addr)
	for i, a := range c.order {
		if a == addr {
			c.order = append(c.order[:i], c.order[i+1:]...)
			break
		}
	}
	c.mu.Unlock()
	if ok {
		l.close()
	}
	c.calls.forget(addr)
}

// Run keeps idle streams checked until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	ticker := time.NewTicker(c.opts.KeepAlive)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			for _, l := range c.dueLinks() {
				l.checkStreams(c.opts.KeepAlive)
			}
		}
	}
}

func (c *Client) dueLinks() []*link {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := min(keepAliveLinks, len(c.order))
	due := make([]*link, 0, n)
	for range n {
		c.next = (c.next + 1) % len(c.order)
		due = append(due, c.links[c.order[c.next]])
	}
	return due
}

// Close ends all links and calls and waits for them.
func (c *Client) Close() {
	c.mu.Lock()
	links := c.links
	c.links = map[string]*link{}
	c.order = nil
	c.mu.Unlock()
	for _, l := range links {
		l.close()
	}
	c.cancel()
	c.calls.close()
	c.wg.Wait()
}
