// Package httpconn makes HTTP/1.1 calls to backend servers, one at a time on each
// connection. Unlike http.Transport, it reports whether any byte of a call was
// written, never sends a call again, and does not reuse a connection on which
// unexpected bytes arrived between calls.
package httpconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/backend"
	"github.com/arbutusgauge/arbutusgauge/internal/readlimit"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// interruptDeadline is a deadline in the past, which interrupts reads and writes
// in progress.
var interruptDeadline = time.Unix(1, 0)

// Conn is one connection to a backend server. Only one Call may be in progress at
// a time; Close may be called during it.
type Conn struct {
	replica wire.ReplicaID
	options Options
	stream  *limitedStream
	reader  *bufio.Reader
	writer  *bufio.Writer

	mu         sync.Mutex
	closeCause string // why the connection was closed; empty while it is open
}

// Options bound the memory of a connection.
type Options struct {
	BufferSize  int               // bytes, for the reader and for the writer each
	MaxResponse int64             // bytes of the body of one response
	Budget      *readlimit.Budget // for the bodies that the process reads at the same time; nil: no limit
}

const (
	// maxHeadBytes bounds the head of a response, with the interim responses before
	// it. A short field takes many times the memory of its bytes.
	maxHeadBytes = 16 << 10
	// maxInterimResponses bounds the interim responses that are skipped.
	maxInterimResponses = 5
)

// New returns a Conn that takes over conn, and closes it when it is closed.
func New(conn net.Conn, replica wire.ReplicaID, options Options) *Conn {
	stream := &limitedStream{conn: conn}
	return &Conn{
		replica: replica,
		options: options,
		stream:  stream,
		reader:  bufio.NewReaderSize(stream, options.BufferSize),
		writer:  bufio.NewWriterSize(stream, options.BufferSize),
	}
}

// Response is a response that has been read in full.
type Response struct {
	Code   int
	Header http.Header
	Body   []byte
}

// Call writes one request and reads its response. method must be that of the
// request, because it decides whether the response has a body. Its errors are
// *backend.NotSentError when no byte was written, else *backend.LostError; both
// close the connection. A response with "Connection: close" also closes it, so
// that the next call returns *backend.NotSentError.
func (c *Conn) Call(ctx context.Context, method string, write func(io.Writer) error) (*Response, error) {
	if cause := c.closedCause(); cause != "" {
		return nil, c.notSent(&ClosedError{Cause: cause})
	}
	// The deadline is set before ctx is watched, so that it does not overwrite
	// interruptDeadline.
	deadline, _ := ctx.Deadline()
	if err := c.stream.conn.SetDeadline(deadline); err != nil {
		return nil, c.notSent(errors.WithStack(err))
	}
	if err := c.checkReusable(); err != nil {
		return nil, c.notSent(err)
	}
	if ctx.Done() != nil {
		stop := context.AfterFunc(ctx, func() { _ = c.stream.conn.SetDeadline(interruptDeadline) })
		defer func() {
			if !stop() {
				// The function may still be about to set its deadline, so the
				// connection must not be reused.
				c.close("call was interrupted")
			}
		}()
	}
	if err := ctx.Err(); err != nil {
		return nil, c.notSent(errors.WithStack(err))
	}
	if err := c.writeRequest(write); err != nil {
		return nil, err
	}
	return c.readResponse(method)
}

// writeRequest writes and flushes the request.
func (c *Conn) writeRequest(write func(io.Writer) error) error {
	c.stream.written = 0
	err := write(c.writer)
	if err == nil {
		err = c.writer.Flush()
	}
	if err == nil {
		return nil
	}
	if c.stream.written == 0 {
		return c.notSent(errors.WithStack(err))
	}
	return c.CloseLost(errors.WithStack(err))
}

// readResponse reads one response with its body.
func (c *Conn) readResponse(method string) (*Response, error) {
	response, err := c.readHead(method)
	if err != nil {
		return nil, c.CloseLost(err)
	}
	body, err := readlimit.ReadAll(c.limitFraming(response), response.ContentLength, readlimit.Limits{
		What: "body of a response", Max: c.options.MaxResponse, Budget: c.options.Budget,
	})
	if err != nil {
		return nil, c.CloseLost(err)
	}
	if response.Close {
		c.close("server asked to close")
	}
	return &Response{Code: response.StatusCode, Header: response.Header, Body: body}, nil
}

// limitFraming returns the body of a response, with a limit if it comes in chunks.
func (c *Conn) limitFraming(response *http.Response) io.Reader {
	if len(response.TransferEncoding) == 0 {
		return response.Body
	}
	return &chunkedBody{body: response.Body, stream: c.stream, began: c.stream.read - int64(c.reader.Buffered())}
}

// readHead reads the head of the final response and skips interim responses.
func (c *Conn) readHead(method string) (*http.Response, error) {
	c.stream.beginHead()
	defer c.stream.endHead()
	for range maxInterimResponses + 1 {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, errors.WithStack(err)
		}
		switch code := response.StatusCode; {
		case code < 100 || code > 599:
			return nil, errors.WithStack(&StatusError{Code: code})
		case code >= 200:
			return response, nil
		}
	}
	return nil, errors.WithStack(&InterimResponsesError{Limit: maxInterimResponses})
}

// checkReusable returns an error when the server has closed the connection or
// sent unexpected bytes since the last call. A call on such a connection would
// be lost, while an error before the call is written permits sending the call
// elsewhere.
func (c *Conn) checkReusable() error {
	if c.reader.Buffered() > 0 {
		return &ClosedError{Cause: "unexpected bytes"}
	}
	return checkSocketIdle(c.stream.conn)
}

// CloseLost closes the connection and returns *backend.LostError with the cause
// err: the call may have run.
func (c *Conn) CloseLost(err error) error {
	c.close(err.Error())
	return &backend.LostError{Replica: c.replica, Err: err}
}

// notSent closes the connection and returns *backend.NotSentError.
func (c *Conn) notSent(err error) error {
	c.close(err.Error())
	return &backend.NotSentError{Replica: c.replica, Err: err}
}

// Retire closes a connection between calls, because its next response can't be
// trusted or its server is about to close it. The next call fails with cause.
func (c *Conn) Retire(cause string) { c.close(cause) }

// Close closes the connection and interrupts a call in progress. It returns nil.
func (c *Conn) Close() error {
	c.close("closed by this side")
	return nil
}

// close closes the connection unless it is closed already, and keeps the first
// cause.
func (c *Conn) close(cause string) {
	c.mu.Lock()
	wasOpen := c.closeCause == ""
	if wasOpen {
		c.closeCause = cause
	}
	c.mu.Unlock()
	if wasOpen {
		// An error of closing says nothing about the call.
		_ = c.stream.conn.Close()
	}
}

func (c *Conn) closedCause() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closeCause
}
