package ratelimit

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/readlimit"
)

// PathPermits is the path at which a leader answers questions for permits.
const PathPermits = "/v1/permits"

const (
	// maxMessageBytes bounds a question and an answer: 70,000 replicas take 8 MB.
	maxMessageBytes = 16 << 20
	peerIdleTimeout = 10 * time.Second
	peerHeadBytes   = 16 << 10
)

// HTTPTransport asks grantors by HTTP.
type HTTPTransport struct{ client *http.Client }

var _ Transport = (*HTTPTransport)(nil)

// NewHTTPTransport returns a transport without connections.
func NewHTTPTransport() *HTTPTransport {
	return &HTTPTransport{client: &http.Client{Transport: &http.Transport{
		DialContext:            (&net.Dialer{Timeout: askTimeout}).DialContext,
		IdleConnTimeout:        peerIdleTimeout,
		MaxResponseHeaderBytes: peerHeadBytes,
	}}}
}

// Ask implements Transport.
func (t *HTTPTransport) Ask(ctx context.Context, peer string, question []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+peer+PathPermits, bytes.NewReader(question))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	response, err := t.client.Do(request)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, errors.WithStack(&NoGrantorError{Peer: peer, Status: response.Status})
	}
	return readlimit.ReadAll(response.Body, response.ContentLength, readlimit.Limits{What: "permissions of a grantor", Max: maxMessageBytes})
}

// ServePermits answers the question of another host: 409 means that this host does not
// lead its data centre.
func (r *Registry) ServePermits(w http.ResponseWriter, request *http.Request) {
	body, err := readlimit.ReadAll(request.Body, request.ContentLength, readlimit.Limits{What: "question for permits", Max: maxMessageBytes})
	if err != nil {
		r.options.Logger.WithError(err).Warn("question for permits not read")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	text, err := r.Answer(body)
	var noGrantor *NoGrantorError
	switch {
	case errors.As(err, &noGrantor):
		w.WriteHeader(http.StatusConflict)
		return
	case err != nil:
		r.options.Logger.WithError(err).Warn("question for permits refused")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if _, err := w.Write(text); err != nil {
		r.options.Logger.WithError(err).Warn("permissions not delivered to a peer")
	}
}
