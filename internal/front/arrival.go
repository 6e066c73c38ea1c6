package front

import (
	"context"
	"net"
	"sync"
	"time"
)

// arrivalListener accepts connections that note when a request arrives, so
// that the time until its handler runs counts towards the deadline.
type arrivalListener struct{ net.Listener }

// Accept implements net.Listener.
func (l arrivalListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &arrivalConn{Conn: c, waiting: true}, nil
}

// arrivalConn notes the time of the first read of each request.
type arrivalConn struct {
	net.Conn
	mu      sync.Mutex
	waiting bool
	first   time.Time
}

// Read implements net.Conn.
func (c *arrivalConn) Read(buf []byte) (int, error) {
	n, err := c.Conn.Read(buf)
	if n > 0 {
		c.mu.Lock()
		if c.waiting {
			c.waiting, c.first = false, time.Now()
		}
		c.mu.Unlock()
	}
	return n, err
}

// await makes the next read the first of a request.
func (c *arrivalConn) await() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = true
}

// take returns the arrival of the current request once. A pipelined request,
// whose bytes came with those of the one before it, arrives now.
func (c *arrivalConn) take() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := c.first
	c.first = time.Time{}
	if at.IsZero() {
		return time.Now()
	}
	return at
}

type connKey struct{}

func connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// arrivalOf returns when the request of ctx arrived.
func arrivalOf(ctx context.Context) time.Time {
	if c, ok := ctx.Value(connKey{}).(*arrivalConn); ok {
		return c.take()
	}
	return time.Now()
}
