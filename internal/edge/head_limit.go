package edge

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/readlimit"
)

// maxHeadLines bounds the lines in the head of a request. net/http limits only the
// bytes, and a short field takes many times the memory of its bytes.
const maxHeadLines = 512

// headLimitListener accepts connections that fail when the head of a request has
// more than maxHeadLines lines.
type headLimitListener struct{ net.Listener }

// Accept implements net.Listener.
func (l headLimitListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err // unwrapped, because net/http looks at its type
	}
	limited := &headLimitConn{Conn: conn}
	limited.beginHead()
	return limited, nil
}

// headLimitConn counts the lines that are read between two requests.
type headLimitConn struct {
	net.Conn
	linesLeft atomic.Int64
	inHead    atomic.Bool
}

func (c *headLimitConn) beginHead() {
	c.linesLeft.Store(maxHeadLines)
	c.inHead.Store(true)
}

// Read implements net.Conn. It returns *readlimit.Error once the lines read before
// exceed the limit; those of one read may belong to the body.
func (c *headLimitConn) Read(p []byte) (int, error) {
	if c.inHead.Load() && c.linesLeft.Load() <= 0 {
		return 0, errors.WithStack(&readlimit.Error{What: "head of a request", Limit: maxHeadLines, Unit: readlimit.Lines})
	}
	n, err := c.Conn.Read(p)
	if c.inHead.Load() {
		c.linesLeft.Add(-int64(bytes.Count(p[:n], []byte{'\n'})))
	}
	return n, err // unwrapped, because net/http looks for io.EOF
}

// headLimitKey is the key of the connection in the context of its requests.
type headLimitKey struct{}

// rememberConn is http.Server.ConnContext for connections of headLimitListener.
func rememberConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, headLimitKey{}, conn)
}

// endHeadLimit ends the limit while a request is handled, so that it does not
// apply to the body.
func endHeadLimit(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(headLimitKey{}).(*headLimitConn); ok {
			conn.inHead.Store(false)
			defer conn.beginHead()
		}
		handler.ServeHTTP(w, r)
	})
}
