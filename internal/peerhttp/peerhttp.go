// Package peerhttp carries the messages by which hosts coordinate: one message each way,
// posted over HTTP and bounded in size. The packages that use it encode the messages.
package peerhttp

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/readlimit"
)

const (
	idleTimeout  = 10 * time.Second
	maxHeadBytes = 16 << 10
)

// Client posts messages to peers. It is safe for concurrent use.
type Client struct {
	client   *http.Client
	maxBytes int64
}

// NewClient returns a client without connections. dialTimeout bounds the dial to a peer, and
// maxBytes the body of an answer.
func NewClient(dialTimeout time.Duration, maxBytes int64) *Client {
	return &Client{maxBytes: maxBytes, client: &http.Client{Transport: &http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeadBytes,
	}}}
}

// StatusError reports a peer that answered with a status other than 200.
type StatusError struct{ Peer, Path, Status string }

// Error implements error.
func (e *StatusError) Error() string {
	return "peer " + e.Peer + " answered " + e.Path + " with " + e.Status
}

// Post posts a message to a path of a peer, "ip:port", and returns its answer. The error is
// *StatusError, *readlimit.Error or that of the connection.
func (c *Client) Post(ctx context.Context, peer, path string, message []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+peer+path, bytes.NewReader(message))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, errors.WithStack(&StatusError{Peer: peer, Path: path, Status: response.Status})
	}
	return readlimit.ReadAll(response.Body, response.ContentLength, readlimit.Limits{What: "answer to " + path, Max: c.maxBytes})
}

// Handler answers the messages of peers.
type Handler struct {
	// What names the message in the log.
	What     string
	MaxBytes int64
	// Answer returns the answer to a message. A failed one is logged and answered with the
	// status that StatusOf returns.
	Answer   func(message []byte) ([]byte, error)
	StatusOf func(error) int
	Logger   log.Interface
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	message, err := readlimit.ReadAll(r.Body, r.ContentLength, readlimit.Limits{What: h.What, Max: h.MaxBytes})
	if err != nil {
		h.Logger.WithError(err).Warn(h.What + " not read")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	answer, err := h.Answer(message)
	if err != nil {
		h.refuse(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if _, err := w.Write(answer); err != nil {
		h.Logger.WithError(err).Debug("answer to " + h.What + " not delivered")
	}
}

// refuse answers a message that was refused. Status 409 is not logged: it is usual, as when
// leaders change or messages overtake each other.
func (h *Handler) refuse(w http.ResponseWriter, err error) {
	status := h.StatusOf(err)
	if status != http.StatusConflict {
		h.Logger.WithError(err).Warn(h.What + " refused")
	}
	w.WriteHeader(status)
}
