package httpjson

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/backend"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// bufferSize holds a usual batch and a usual response in one system call.
const bufferSize = 16 << 10 // bytes

// longPast is a deadline that interrupts reads and writes in progress.
var longPast = time.Unix(1, 0)

// Conn is one connection to a backend server. Close may be called during Run.
type Conn struct {
	replica wire.ReplicaID
	stream  *countedStream
	reader  *bufio.Reader
	writer  *bufio.Writer

	mu     sync.Mutex
	closed string // why the connection is closed; empty while open
}

var _ backend.Conn = (*Conn)(nil)

func newConn(conn net.Conn, replica wire.ReplicaID, maxResponse int64) *Conn {
	stream := &countedStream{conn: conn, limit: maxResponse}
	return &Conn{
		replica: replica,
		stream:  stream,
		reader:  bufio.NewReaderSize(stream, bufferSize),
		writer:  bufio.NewWriterSize(stream, bufferSize),
	}
}

// Run sends one batch and waits for its replies, in the order of subs. An
// answer that is missing from a well-formed response becomes an Unknown reply.
func (c *Conn) Run(ctx context.Context, subs []wire.Sub) ([]wire.Reply, error) {
	form := BatchForm{Subs: make([]SubForm, len(subs))}
	for i := range subs {
		form.Subs[i] = formOfSub(&subs[i])
	}
	code, body, err := c.call(ctx, http.MethodPost, PathSubrequests, &form)
	if err != nil {
		return nil, err
	}
	if code != http.StatusOK {
		return c.refused(subs, code, body)
	}
	var answer RepliesForm
	if err := json.Unmarshal(body, &answer); err != nil {
		return nil, c.lost(errors.Wrap(err, "response body"))
	}
	return c.match(subs, &answer), nil
}

// match pairs the replies with the sub-requests by id. Anything irregular
// closes the connection, because its next response can't be trusted.
func (c *Conn) match(subs []wire.Sub, answer *RepliesForm) []wire.Reply {
	replies := c.blank(subs, answer.Status, wire.ReasonServerError)
	filled := make([]bool, len(subs))
	regular := len(answer.Replies) == len(subs)
	for i := range answer.Replies {
		form := &answer.Replies[i]
		at := indexOf(subs, wire.SubID(form.ID), i)
		if at < 0 || filled[at] {
			regular = false
			continue
		}
		filled[at] = true
		if !form.fill(&replies[at]) {
			regular = false
		}
	}
	if !regular {
		c.close("replies did not match the batch")
	}
	return replies
}

// indexOf finds the sub-request with the id; servers usually keep the order,
// so guess is tried first.
func indexOf(subs []wire.Sub, id wire.SubID, guess int) int {
	if guess < len(subs) && subs[guess].ID == id {
		return guess
	}
	for i := range subs {
		if subs[i].ID == id {
			return i
		}
	}
	return -1
}

func (c *Conn) blank(subs []wire.Sub, status StatusForm, reason wire.Reason) []wire.Reply {
	replies := make([]wire.Reply, len(subs))
	for i := range subs {
		replies[i] = wire.Reply{
			ID:      subs[i].ID,
			Replica: c.replica,
			Reason:  reason,
			Held:    status.held(),
			Load:    wire.Load{InFlight: status.InFlight, State: status.state()},
		}
	}
	return replies
}

// refused handles a status other than 200. Only a body that says so proves
// that nothing ran.
func (c *Conn) refused(subs []wire.Sub, code int, body []byte) ([]wire.Reply, error) {
	var answer ErrorForm
	if err := json.Unmarshal(body, &answer); err != nil || answer.Outcome != wire.NotRun.String() {
		return nil, c.lost(&StatusError{Code: code})
	}
	replies := c.blank(subs, answer.Status, reasonOf(answer.Reason))
	for i := range replies {
		replies[i].Outcome = wire.NotRun
	}
	return replies, nil
}

// Cancel asks the server to stop sub-requests that other connections sent.
func (c *Conn) Cancel(ctx context.Context, ids []wire.SubID) error {
	form := CancelForm{IDs: make([]IDForm, len(ids))}
	for i, id := range ids {
		form.IDs[i] = IDForm(id)
	}
	code, _, err := c.call(ctx, http.MethodPost, PathCancel, &form)
	if err != nil {
		return err
	}
	if code != http.StatusOK {
		return c.lost(&StatusError{Code: code})
	}
	return nil
}

// Status asks for health and load.
func (c *Conn) Status(ctx context.Context) (backend.Status, error) {
	code, body, err := c.call(ctx, http.MethodGet, PathStatus, nil)
	if err != nil {
		return backend.Status{}, err
	}
	if code != http.StatusOK {
		return backend.Status{}, c.lost(&StatusError{Code: code})
	}
	var form StatusForm
	if err := json.Unmarshal(body, &form); err != nil {
		return backend.Status{}, c.lost(errors.Wrap(err, "status body"))
	}
	return form.status(), nil
}

// Close closes the connection and interrupts a call in progress.
func (c *Conn) Close() error {
	c.close("closed by this side")
	return nil
}

func (c *Conn) close(cause string) {
	c.mu.Lock()
	first := c.closed == ""
	if first {
		c.closed = cause
	}
	c.mu.Unlock()
	if first {
		// The result says nothing about the call in progress.
		_ = c.stream.conn.Close()
	}
}

func (c *Conn) closedCause() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

func (c *Conn) lost(err error) error {
	c.close(err.Error())
	return &backend.LostError{Replica: c.replica, Err: err}
}

func (c *Conn) notSent(err error) error {
	c.close(err.Error())
	return &backend.NotSentError{Replica: c.replica, Err: err}
}

// call writes one request and reads its response. Its errors are
// *backend.NotSentError and *backend.LostError, and close the connection.
func (c *Conn) call(ctx context.Context, method, path string, form any) (int, []byte, error) {
	request, err := c.request(method, path, form)
	if err != nil {
		return 0, nil, c.notSent(err)
	}
	if cause := c.closedCause(); cause != "" {
		return 0, nil, c.notSent(&ClosedError{Cause: cause})
	}
	// The deadline is set before ctx is watched, so that it can't replace the
	// one that interrupts the call.
	deadline, _ := ctx.Deadline()
	if err := c.stream.conn.SetDeadline(deadline); err != nil {
		return 0, nil, c.notSent(errors.WithStack(err))
	}
	if err := c.idleCheck(); err != nil {
		return 0, nil, c.notSent(err)
	}
	if ctx.Done() != nil {
		stop := context.AfterFunc(ctx, func() { _ = c.stream.conn.SetDeadline(longPast) })
		defer func() {
			if !stop() {
				// The interrupt may still be about to set its deadline.
				c.close("call was interrupted")
			}
		}()
	}
	if err := ctx.Err(); err != nil {
		return 0, nil, c.notSent(errors.WithStack(err))
	}
	if err := c.write(request); err != nil {
		return 0, nil, err
	}
	return c.read(request)
}

func (c *Conn) request(method, path string, form any) (*http.Request, error) {
	request := &http.Request{
		Method:     method,
		URL:        &url.URL{Path: path},
		Host:       string(c.replica),
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
		Header:     http.Header{"User-Agent": nil},
	}
	if form == nil {
		return request, nil
	}
	body, err := json.Marshal(form)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	request.Body = io.NopCloser(bytes.NewReader(body))
	request.ContentLength = int64(len(body))
	return request, nil
}

func (c *Conn) write(request *http.Request) error {
	c.stream.written = 0
	err := request.Write(c.writer)
	if err == nil {
		err = c.writer.Flush()
	}
	if err == nil {
		return nil
	}
	if c.stream.written == 0 {
		return c.notSent(errors.WithStack(err))
	}
	return c.lost(errors.WithStack(err))
}

func (c *Conn) read(request *http.Request) (int, []byte, error) {
	c.stream.left = c.stream.limit
	response, err := http.ReadResponse(c.reader, request)
	if err != nil {
		return 0, nil, c.lost(errors.WithStack(err))
	}
	body, err := readBody(response)
	if err != nil {
		return 0, nil, c.lost(errors.WithStack(err))
	}
	if response.Close {
		c.close("server asked to close")
	}
	return response.StatusCode, body, nil
}

func readBody(response *http.Response) ([]byte, error) {
	if response.ContentLength < 0 {
		return io.ReadAll(response.Body)
	}
	// The stated length is only a hint here; countedStream holds the limit.
	var body bytes.Buffer
	body.Grow(int(min(response.ContentLength, bufferSize)) + bytes.MinRead)
	_, err := body.ReadFrom(response.Body)
	return body.Bytes(), err
}

// idleCheck finds out whether the server closed the connection or sent bytes
// that answer no request, so that a stale connection costs no lost batch.
func (c *Conn) idleCheck() error {
	if c.reader.Buffered() > 0 {
		return &ClosedError{Cause: "unexpected bytes"}
	}
	return checkIdle(c.stream.conn)
}

// countedStream counts the bytes written and bounds the bytes read.
type countedStream struct {
	conn    net.Conn
	written int64
	left    int64
	limit   int64
}

// Write implements io.Writer.
func (s *countedStream) Write(p []byte) (int, error) {
	n, err := s.conn.Write(p)
	s.written += int64(n)
	return n, err
}

// Read implements io.Reader; it fails with *TooLargeError past the limit.
func (s *countedStream) Read(p []byte) (int, error) {
	if s.left <= 0 {
		return 0, &TooLargeError{Limit: s.limit}
	}
	if int64(len(p)) > s.left {
		p = p[:s.left]
	}
	n, err := s.conn.Read(p)
	s.left -= int64(n)
	return n, err
}
