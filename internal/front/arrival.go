package front

import (
	"context"
	"net"
	"sync"
	"time"
)

// arrivalListener accepts connections that record when a request arrives, so
// that the time until its handler runs counts towards the deadline.
type arrivalListener struct{ net.Listener }

// Accept implements net.Listener; the connections are of type *arrivalConn.
func (l arrivalListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &arrivalConn{Conn: c, awaitsRequest: true}, nil
}

// arrivalConn records the time of the first read of each request.
type arrivalConn struct {
	net.Conn
	mu            sync.Mutex
	awaitsRequest bool
	arrivedAt     time.Time
}

// Read implements net.Conn and records the first bytes of a request.
func (c *arrivalConn) Read(buf []byte) (int, error) {
	n, err := c.Conn.Read(buf)
	if n > 0 {
		c.mu.Lock()
		if c.awaitsRequest {
			c.awaitsRequest, c.arrivedAt = false, time.Now()
		}
		c.mu.Unlock()
	}
	return n, err
}

// expectRequest makes the next read count as the first one of a request.
func (c *arrivalConn) expectRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaitsRequest = true
}

// consumeArrival returns the arrival time of the current request and clears
// it. A pipelined request, whose bytes were read with those of the request
// before it, has no time of its own and gets the present time.
func (c *arrivalConn) consumeArrival() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := c.arrivedAt
	c.arrivedAt = time.Time{}
	if at.IsZero() {
		return time.Now()
	}
	return at
}

// connKey is the context key of the connection of a request.
type connKey struct{}

// connContext stores the connection in the context of its requests. It is the
// ConnContext of the HTTP server.
func connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// requestArrival returns when the request of ctx arrived, or the present time
// if the connection doesn't record it. A second call for the same request also
// returns the present time.
func requestArrival(ctx context.Context) time.Time {
	if c, ok := ctx.Value(connKey{}).(*arrivalConn); ok {
		return c.consumeArrival()
	}
	return time.Now()
}
