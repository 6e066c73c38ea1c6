package httpjson

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"

	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/backend"
	"github.com/arbutusgauge/arbutusgauge/internal/backend/httpconn"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// bufferBytes is the size of each buffer, so that a usual batch or response takes
// one system call.
const bufferBytes = 16 << 10

// Conn implements backend.Conn for the JSON protocol. Close may be called during
// any call.
type Conn struct {
	replica wire.ReplicaID
	http    *httpconn.Conn
}

var _ backend.Conn = (*Conn)(nil)

func newConn(conn net.Conn, replica wire.ReplicaID, maxResponse int64) *Conn {
	options := httpconn.Options{BufferSize: bufferBytes, MaxResponse: maxResponse}
	return &Conn{replica: replica, http: httpconn.New(conn, replica, options)}
}

// Run sends one batch and returns its replies in the order of subs. A
// sub-request without a reply in a well-formed response gets outcome Unknown.
// Errors are *backend.NotSentError and *backend.LostError.
func (c *Conn) Run(ctx context.Context, subs []wire.SubRequest) ([]wire.Reply, error) {
	form := BatchForm{Subs: make([]SubForm, len(subs))}
	for i := range subs {
		form.Subs[i] = newSubForm(&subs[i])
	}
	code, body, err := c.call(ctx, http.MethodPost, PathSubrequests, &form)
	if err != nil {
		return nil, err
	}
	if code != http.StatusOK {
		return c.decodeRefusal(subs, code, body)
	}
	var answer RepliesForm
	if err := json.Unmarshal(body, &answer); err != nil {
		return nil, c.http.CloseLost(errors.Wrap(err, "decode response body"))
	}
	return c.matchReplies(subs, &answer), nil
}

// matchReplies pairs the replies with the sub-requests by id. A missing, repeated,
// malformed or unknown reply closes the connection, because its next response
// can't be trusted.
func (c *Conn) matchReplies(subs []wire.SubRequest, answer *RepliesForm) []wire.Reply {
	replies := c.newReplies(subs, answer.Status, wire.ReasonServerError)
	hasReply := make([]bool, len(subs))
	allMatched := len(answer.Replies) == len(subs)
	for i := range answer.Replies {
		form := &answer.Replies[i]
		position := indexOf(subs, wire.SubRequestID(form.ID), i)
		if position < 0 || hasReply[position] {
			allMatched = false
			continue
		}
		hasReply[position] = true
		if !form.applyTo(&replies[position]) {
			allMatched = false
		}
	}
	if !allMatched {
		c.http.Retire("replies did not match the batch")
	}
	return replies
}

// indexOf returns the index of the sub-request with the id, -1 if there is none.
// It tries guess first, since servers usually keep the order.
func indexOf(subs []wire.SubRequest, id wire.SubRequestID, guess int) int {
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

// newReplies returns a reply with outcome Unknown and the given reason for each
// sub-request.
func (c *Conn) newReplies(subs []wire.SubRequest, status StatusForm, reason wire.Reason) []wire.Reply {
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

// decodeRefusal translates a response with a status other than 200. Only a body
// with outcome "not_run" proves that nothing ran; for any other it returns
// *backend.LostError.
func (c *Conn) decodeRefusal(subs []wire.SubRequest, code int, body []byte) ([]wire.Reply, error) {
	var answer ErrorForm
	if err := json.Unmarshal(body, &answer); err != nil || answer.Outcome != wire.NotRun.String() {
		return nil, c.http.CloseLost(&StatusError{Code: code})
	}
	replies := c.newReplies(subs, answer.Status, knownReason(answer.Reason))
	for i := range replies {
		replies[i].Outcome = wire.NotRun
	}
	return replies, nil
}

// Cancel implements backend.Conn.
func (c *Conn) Cancel(ctx context.Context, ids []wire.SubRequestID) error {
	form := CancelForm{IDs: make([]IDForm, len(ids))}
	for i, id := range ids {
		form.IDs[i] = IDForm(id)
	}
	code, _, err := c.call(ctx, http.MethodPost, PathCancel, &form)
	if err != nil {
		return err
	}
	if code != http.StatusOK {
		return c.http.CloseLost(&StatusError{Code: code})
	}
	return nil
}

// Status implements backend.Conn.
func (c *Conn) Status(ctx context.Context) (backend.Status, error) {
	code, body, err := c.call(ctx, http.MethodGet, PathStatus, nil)
	if err != nil {
		return backend.Status{}, err
	}
	if code != http.StatusOK {
		return backend.Status{}, c.http.CloseLost(&StatusError{Code: code})
	}
	var form StatusForm
	if err := json.Unmarshal(body, &form); err != nil {
		return backend.Status{}, c.http.CloseLost(errors.Wrap(err, "decode status body"))
	}
	return form.status(), nil
}

// Close closes the connection and interrupts a call in progress.
func (c *Conn) Close() error { return c.http.Close() }

// call makes one HTTP call and returns the status and the body of the response.
// form is sent as JSON unless it is nil. Its errors are *backend.NotSentError and
// *backend.LostError, and close the connection.
func (c *Conn) call(ctx context.Context, method, path string, form any) (int, []byte, error) {
	request, err := c.newRequest(method, path, form)
	if err != nil {
		c.http.Retire(err.Error())
		return 0, nil, &backend.NotSentError{Replica: c.replica, Err: err}
	}
	response, err := c.http.Call(ctx, method, func(w io.Writer) error { return request.Write(w) })
	if err != nil {
		return 0, nil, err
	}
	return response.Code, response.Body, nil
}

// newRequest returns the HTTP request of a call.
func (c *Conn) newRequest(method, path string, form any) (*http.Request, error) {
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
