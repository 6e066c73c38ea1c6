package quota

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/readlimit"
)

// PathQuota is the path at which a leader takes reports.
const PathQuota = "/v1/quota"

const (
	peerIdleTimeout = 10 * time.Second
	peerHeadBytes   = 16 << 10
)

// HTTPTransport sends reports by HTTP.
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
func (t *HTTPTransport) Ask(ctx context.Context, peer string, report []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+peer+PathQuota, bytes.NewReader(report))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	response, err := t.client.Do(request)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, errors.WithStack(&GrantorError{Peer: peer, Status: response.Status})
	}
	return readlimit.ReadAll(response.Body, response.ContentLength, readlimit.Limits{What: "answer of a quota grantor", Max: maxMessageSize})
}

// IsGone implements Transport.
func (t *HTTPTransport) IsGone(ctx context.Context, peer string) bool {
	conn, err := (&net.Dialer{Timeout: askTimeout}).DialContext(ctx, "tcp", peer)
	if err == nil {
		_ = conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// ServeReports answers the report of another host: 409 means that a newer report of the
// host has arrived, 503 that this host can't keep more.
func (r *Registry) ServeReports(w http.ResponseWriter, request *http.Request) {
	body, err := readlimit.ReadAll(request.Body, request.ContentLength, readlimit.Limits{What: "quota report", Max: maxMessageSize})
	if err != nil {
		r.options.Logger.WithError(err).Warn("quota report not read")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	text, err := r.Answer(body)
	if err != nil {
		r.options.Logger.WithError(err).Warn("quota report refused")
		w.WriteHeader(statusOf(err))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if _, err := w.Write(text); err != nil {
		r.options.Logger.WithError(err).Debug("quota credits not delivered to a peer")
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
