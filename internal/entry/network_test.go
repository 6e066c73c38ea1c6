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

// place is a data centre or the platform.
type place string

const platformPlace place = "platform"

// network carries the connections between places and can cut them. A cut
// connection stays open and brings nothing, as in a real partition.
type network struct {
	mu      sync.Mutex
	healed  *sync.Cond
	cut     map[[2]place]bool
	placeOf map[string]place // by address
}

func newNetwork() *network {
	n := &network{cut: map[[2]place]bool{}, placeOf: map[string]place{}}
	n.healed = sync.NewCond(&n.mu)
	return n
}

// isolate cuts a place off from all others.
func (n *network) isolate(a place, others ...place) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, b := range others {
		n.cut[[2]place{a, b}] = true
		n.cut[[2]place{b, a}] = true
	}
}

func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = map[[2]place]bool{}
	n.healed.Broadcast()
}

func (n *network) dialFrom(from place) func(ctx context.Context, addr string) (net.Conn, error) {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		n.mu.Lock()
		pair := [2]place{from, n.placeOf[addr]}
		cut := n.cut[pair]
		n.mu.Unlock()
		if cut {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, "tcp", addr)
		if err != nil {
			return nil, err
		}
		return &cutConn{Conn: conn, network: n, pair: pair}, nil
	}
}

type cutConn struct {
	net.Conn
	network *network
	pair    [2]place
	closed  bool
}

// pass blocks while the two places are cut off from each other.
func (c *cutConn) pass() {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	for c.network.cut[c.pair] && !c.closed {
		c.network.healed.Wait()
	}
}

func (c *cutConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.pass()
	return n, err
}

func (c *cutConn) Write(p []byte) (int, error) {
	c.pass()
	return c.Conn.Write(p)
}

func (c *cutConn) Close() error {
	c.network.mu.Lock()
	c.closed = true
	c.network.healed.Broadcast()
	c.network.mu.Unlock()
	return c.Conn.Close()
}

// startHost runs an entry host in this process until the test ends.
func startHost(t *testing.T, n *network, entry *settings.Entry) *Host {
	t.Helper()
	from := place(entry.DataCentre)
	dial := n.dialFrom(from)
	host, err := New(entry, &log.Logger{Handler: discard.Default}, Network{
		DialPeer: dial,
		Platform: &http.Transport{DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
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
