package quarantine

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/peerhttp"
)

// PathRecords is the path at which a host takes records from its peers, PathTrials the one
// at which a leader answers questions for trials.
const (
	PathRecords = "/v1/quarantine"
	PathTrials  = "/v1/trial"
)

// maxMessageBytes bounds the body of one call, which has maxTold records.
const maxMessageBytes = 1 << 20

// HTTPTransport carries records and questions by HTTP.
type HTTPTransport struct{ client *peerhttp.Client }

var _ Transport = (*HTTPTransport)(nil)

// NewHTTPTransport returns a transport without connections.
func NewHTTPTransport() *HTTPTransport {
	return &HTTPTransport{client: peerhttp.NewClient(tellTimeout, maxMessageBytes)}
}

// Tell implements Transport.
func (t *HTTPTransport) Tell(ctx context.Context, peer string, records []byte) error {
	_, err := t.client.Post(ctx, peer, PathRecords, records)
	return err
}

// Ask implements Transport.
func (t *HTTPTransport) Ask(ctx context.Context, peer string, question []byte) ([]byte, error) {
	return t.client.Post(ctx, peer, PathTrials, question)
}

// RecordsHandler takes the records of other hosts.
func (r *Registry) RecordsHandler() http.Handler {
	return r.handler("records of suspected requests", func(message []byte) ([]byte, error) {
		records, err := decodeRecords(message)
		if err != nil {
			return nil, err
		}
		return nil, r.Learn(records)
	})
}

// TrialsHandler answers the questions of other hosts for trials: 409 means that this host
// leads no data centre.
func (r *Registry) TrialsHandler() http.Handler {
	return r.handler("question for a trial", r.AnswerQuestion)
}

func (r *Registry) handler(what string, answer func([]byte) ([]byte, error)) http.Handler {
	return &peerhttp.Handler{
		What: what, MaxBytes: maxMessageBytes, Answer: answer, StatusOf: statusOf, Logger: r.options.Logger,
	}
}

// statusOf returns the HTTP status for a message that was refused.
func statusOf(err error) int {
	var noLeader *NotLeaderError
	if errors.As(err, &noLeader) {
		return http.StatusConflict
	}
	return http.StatusBadRequest
}
