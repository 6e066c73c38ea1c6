package ratelimit

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/peerhttp"
)

// PathPermits is the path at which a leader answers questions for permits.
const PathPermits = "/v1/permits"

// maxMessageBytes bounds a question and an answer: 70,000 replicas take 8 MB.
const maxMessageBytes = 16 << 20

// HTTPTransport asks grantors by HTTP.
type HTTPTransport struct{ client *peerhttp.Client }

var _ Transport = (*HTTPTransport)(nil)

// NewHTTPTransport returns a transport without connections.
func NewHTTPTransport() *HTTPTransport {
	return &HTTPTransport{client: peerhttp.NewClient(askTimeout, maxMessageBytes)}
}

// Ask implements Transport.
func (t *HTTPTransport) Ask(ctx context.Context, peer string, question []byte) ([]byte, error) {
	return t.client.Post(ctx, peer, PathPermits, question)
}

// Handler answers the questions of other hosts: 409 means that this host does not lead its
// data centre.
func (r *Registry) Handler() http.Handler {
	return &peerhttp.Handler{
		What: "question for permits", MaxBytes: maxMessageBytes, Answer: r.Answer, StatusOf: statusOf, Logger: r.options.Logger,
	}
}

// statusOf returns the HTTP status for a question that was refused.
func statusOf(err error) int {
	var noGrantor *NoGrantorError
	if errors.As(err, &noGrantor) {
		return http.StatusConflict
	}
	return http.StatusBadRequest
}
