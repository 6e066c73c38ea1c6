package quarantine

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/readlimit"
)

// PathRecords is the path at which a host takes records from its peers, PathTrials the one
// at which a leader answers questions for trials.
const (
	PathRecords = "/v1/quarantine"
	PathTrials  = "/v1/trial"
)

const (
	// maxMessageBytes bounds the body of one call, which has maxTold records.
	maxMessageBytes = 1 << 20
	peerIdleTimeout = 10 * time.Second
	peerHeadBytes   = 16 << 10
)

// ServeRecords takes the records of another host.
func (r *Registry) ServeRecords(w http.ResponseWriter, request *http.Request) {
	body, err := readlimit.ReadAll(request.Body, request.ContentLength, readlimit.Limits{What: "records of suspected requests", Max: maxMessageBytes})
	var records []Known
	if err == nil {
		records, err = decodeRecords(body)
	}
	if err == nil {
		err = r.Learn(records)
	}
	if err != nil {
		r.options.Logger.WithError(err).Warn("records of suspected requests refused")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// ServeTrials answers the question of another host for a trial: 409 means that this host
// leads no data centre.
func (r *Registry) ServeTrials(w http.ResponseWriter, request *http.Request) {
	body, err := readlimit.ReadAll(request.Body, request.ContentLength, readlimit.Limits{What: "question for a trial", Max: maxMessageBytes})
	var text []byte
	if err == nil {
		text, err = r.AnswerQuestion(body)
	}
	var noLeader *NoLeaderError
	switch {
	case errors.As(err, &noLeader):
		w.WriteHeader(http.StatusConflict)
		return
	case err != nil:
		r.options.Logger.WithError(err).Warn("question for a trial refused")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if _, err := w.Write(text); err != nil {
		r.options.Logger.WithError(err).Warn("answer for a trial not delivered")
	}
}

// HTTPTransport carries records and questions by HTTP.
type HTTPTransport struct{ client *http.Client }

var _ Transport = (*HTTPTransport)(nil)

// NewHTTPTransport returns a transport without connections.
func NewHTTPTransport() *HTTPTransport {
	return &HTTPTransport{client: &http.Client{Transport: &http.Transport{
		DialContext:            (&net.Dialer{Timeout: tellTimeout}).DialContext,
		IdleConnTimeout:        peerIdleTimeout,
		MaxResponseHeaderBytes: peerHeadBytes,
	}}}
}

// Tell implements Transport.
func (t *HTTPTransport) Tell(ctx context.Context, peer string, records []byte) error {
	_, err := t.post(ctx, peer, PathRecords, records)
	return err
}

// Ask implements Transport.
func (t *HTTPTransport) Ask(ctx context.Context, peer string, question []byte) ([]byte, error) {
	return t.post(ctx, peer, PathTrials, question)
}

// post makes a call to a peer and returns the body of its response. *PeerStatusError reports
// a status other than 200.
func (t *HTTPTransport) post(ctx context.Context, peer, path string, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+peer+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	response, err := t.client.Do(request)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, errors.WithStack(&PeerStatusError{Peer: peer, Status: response.Status})
	}
	return readlimit.ReadAll(response.Body, response.ContentLength, readlimit.Limits{What: "answer of a peer", Max: maxMessageBytes})
}
