package failover

import (
	"context"
	"encoding/json"
	"math"
	"net/http"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/peerhttp"
)

// httpTransport asks hosts over HTTP.
type httpTransport struct{ client *peerhttp.Client }

// NewHTTPTransport returns a Transport without connections.
func NewHTTPTransport() Transport {
	return httpTransport{client: peerhttp.NewClient(askTimeout, maxReportBytes)}
}

// Ask implements Transport.
func (t httpTransport) Ask(ctx context.Context, peer string) (Report, error) {
	answer, err := t.client.Post(ctx, peer, PathReach, nil)
	if err != nil {
		return Report{}, err
	}
	return decodeReport(answer)
}

// decodeReport decodes a report. *ReportError means that no host of this program sent it.
func decodeReport(message []byte) (Report, error) {
	var report Report
	if err := json.Unmarshal(message, &report); err != nil {
		return Report{}, errors.WithStack(err)
	}
	switch {
	case !(report.Cores >= 0) || math.IsInf(report.Cores, 0):
		return Report{}, errors.WithStack(&ReportError{Problem: "the processor share is out of range"})
	case len(report.Services) > maxServices || len(report.Hosts) > maxHosts:
		return Report{}, errors.WithStack(&ReportError{Problem: "it is too long"})
	}
	return report, nil
}

// NewHandler returns the handler of PathReach, which answers with what report returns.
func NewHandler(report func() Report, logger log.Interface) http.Handler {
	return &peerhttp.Handler{
		What: "question for reached services", MaxBytes: 0, Logger: logger,
		Answer: func([]byte) ([]byte, error) {
			answer, err := json.Marshal(report())
			return answer, errors.WithStack(err)
		},
		StatusOf: func(error) int { return http.StatusInternalServerError },
	}
}
