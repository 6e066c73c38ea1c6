package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/arbutusgauge/arbutusgauge/internal/settings"
)

// site is a data centre or the platform.
type site string

const platformSite site = "platform"

// network dials the connections between sites and can partition them. A
// connection between partitioned sites stays open but transfers no data.
type network struct {
	mu         sync.Mutex
	healed     *sync.Cond
	blocked    map[[2]site]bool
	siteByAddr map[string]site
}

func newNetwork() *network {
	n := &network{blocked: map[[2]site]bool{}, siteByAddr: map[string]site{}}
	n.healed = sync.NewCond(&n.mu)
	return n
}

// isolate partitions site a from the others.
func (n *network) isolate(a site, others ...site) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, b := range others {
		n.blocked[[2]site{a, b}] = true
		n.blocked[[2]site{b, a}] = true
	}
}

func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked = map[[2]site]bool{}
	n.healed.Broadcast()
}

func (n *network) dialFrom(source site) func(ctx context.Context, addr string) (net.Conn, error) {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		n.mu.Lock()
		pair := [2]site{source, n.siteByAddr[addr]}
		blocked := n.blocked[pair]
		n.mu.Unlock()
		if blocked {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, "tcp", addr)
		if err != nil {
			return nil, err
		}
		return &partitionedConn{Conn: conn, network: n, pair: pair}, nil
	}
}

// partitionedConn is a connection between two sites that blocks while they are
// partitioned.
type partitionedConn struct {
	net.Conn
	network *network
	pair    [2]site
	closed  bool
}

// waitUntilHealed blocks while the two sites are partitioned, or until the
// connection is closed.
func (c *partitionedConn) waitUntilHealed() {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	for c.network.blocked[c.pair] && !c.closed {
		c.network.healed.Wait()
	}
}

func (c *partitionedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.waitUntilHealed()
	return n, err
}

func (c *partitionedConn) Write(p []byte) (int, error) {
	c.waitUntilHealed()
	return c.Conn.Write(p)
}

func (c *partitionedConn) Close() error {
	c.network.mu.Lock()
	c.closed = true
	c.network.healed.Broadcast()
	c.network.mu.Unlock()
	return c.Conn.Close()
}

// startHost runs an entry host in this process until the test ends. Its
// connections go through n.
func startHost(t *testing.T, n *network, entry *settings.Entry) *Host {
	t.Helper()
	hostSite := site(entry.DataCentre)
	dial := n.dialFrom(hostSite)
	host, err := New(entry, &log.Logger{Handler: discard.Default}, Network{
		DialPeer: dial,
		PlatformTransport: &http.Transport{DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			return dial(ctx, addr)
		}},
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := host.Run(ctx); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() {
		cancel()
		select {
		case <-done:
		case <-time.After(stopTimeout):
			t.Error("host " + entry.Host + " did not stop")
		}
	})
	return host
}
