package quota

import (
	"context"
	"net"
	"net/http"
	"syscall"

	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/peerhttp"
)

// PathQuota is the path at which a leader takes reports.
const PathQuota = "/v1/quota"

// HTTPTransport sends reports by HTTP.
type HTTPTransport struct{ client *peerhttp.Client }

var _ Transport = (*HTTPTransport)(nil)

// NewHTTPTransport returns a transport without connections.
func NewHTTPTransport() *HTTPTransport {
	return &HTTPTransport{client: peerhttp.NewClient(askTimeout, maxMessageSize)}
}

// Ask implements Transport.
func (t *HTTPTransport) Ask(ctx context.Context, peer string, report []byte) ([]byte, error) {
	return t.client.Post(ctx, peer, PathQuota, report)
}

// IsGone implements Transport.
func (t *HTTPTransport) IsGone(ctx context.Context, peer string) bool {
	conn, err := (&net.Dialer{Timeout: askTimeout}).DialContext(ctx, "tcp", peer)
	if err == nil {
		_ = conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// Handler answers the reports of other hosts: 409 means that a newer report of the host has
// arrived, 503 that this host can't keep more.
func (r *Registry) Handler() http.Handler {
	return &peerhttp.Handler{
		What: "quota report", MaxBytes: maxMessageSize, Answer: r.Answer, StatusOf: statusOf, Logger: r.options.Logger,
	}
}

// statusOf returns the HTTP status for a report that was refused.
func statusOf(err error) int {
	var (
		stale *StaleReportError
		full  *FullError
	)
	switch {
	case errors.As(err, &stale):
		return http.StatusConflict
	case errors.As(err, &full):
		return http.StatusServiceUnavailable
	}
	return http.StatusBadRequest
}
