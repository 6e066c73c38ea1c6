package front

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/jwcc"
	"github.com/arbutusgauge/arbutusgauge/internal/release"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// response is the encoded result of one search, which is sent to the caller or
// the forwarding host and stored with a ticket.
type response struct {
	status     int
	body       []byte
	outcome    wire.Outcome
	code       Code // empty when answered
	message    string
	retryAfter time.Duration
	coverage   float64 // fraction 0 to 1; 0 when the search did not run
	// search is the definition of the search at the start of the request; nil
	// when the request was refused before that or ran on another host.
	search *release.Search
}

// statusByCode maps codes to HTTP statuses.
var statusByCode = map[Code]int{
	CodeBadRequest:      http.StatusBadRequest,
	CodeTicketRequired:  http.StatusBadRequest,
	CodeTicketInvalid:   http.StatusBadRequest,
	CodeTicketExpired:   http.StatusBadRequest,
	CodeUnknownService:  http.StatusNotFound,
	CodeUnknownSearch:   http.StatusNotFound,
	CodeNotFound:        http.StatusNotFound,
	CodeTicketRunning:   http.StatusConflict,
	CodeTicketUsed:      http.StatusConflict,
	CodeOverloaded:      http.StatusTooManyRequests,
	CodeNoConfiguration: http.StatusServiceUnavailable,
	CodeStopping:        http.StatusServiceUnavailable,
	CodeRefused:         http.StatusServiceUnavailable,
	CodeBelowCoverage:   http.StatusBadGateway,
	CodeUnknownOutcome:  http.StatusGatewayTimeout,
	CodeInternal:        http.StatusInternalServerError,
}

// errorResponse returns the response of an error to the request with this id.
func errorResponse(request string, e *SearchError) *response {
	body := errorBody{
		Outcome: e.Outcome.String(), Error: e.Code, Message: e.Message, Request: request,
	}
	r := &response{outcome: e.Outcome, code: e.Code, message: e.Message, retryAfter: e.RetryAfter}
	if e.RetryAfter > 0 {
		after := jwcc.Duration(e.RetryAfter)
		body.RetryAfter = &after
	}
	if e.Coverage != nil {
		coverage := e.Coverage.withoutNilLists()
		body.Coverage = &coverage
		r.coverage = coverage.Fraction
	}
	r.status = statusByCode[e.Code]
	if r.status == 0 {
		r.status = http.StatusInternalServerError
	}
	r.body = mustMarshal(body)
	return r
}

// notRunResponse returns the response of a request that was refused before it
// ran.
func notRunResponse(request string, code Code, message string) *response {
	return errorResponse(request, &SearchError{Code: code, Outcome: wire.NotRun, Message: message})
}

// unknownResponse returns the response of a request that may have run.
func unknownResponse(request string, code Code, message string) *response {
	return errorResponse(request, &SearchError{Code: code, Outcome: wire.Unknown, Message: message})
}

// answeredResponse returns the response of an answer; total is the time since
// the request arrived.
func answeredResponse(request string, a *Answer, total time.Duration) *response {
	return &response{
		status:   http.StatusOK,
		body:     mustMarshal(newAnswerBody(request, a, total)),
		outcome:  wire.Answered,
		coverage: a.Coverage.Fraction,
	}
}

// mustMarshal returns the JSON form of a body.
func mustMarshal(body any) []byte {
	out, err := json.Marshal(body)
	if err != nil {
		panic(errors.WithStack(err)) // no body has a value that JSON can't represent
	}
	return out
}

// parseResponse returns the response for a status and body that were stored
// with a ticket or received from another host. It reports false for a body
// that is malformed, has no valid outcome, or has one that contradicts the
// status; callers of parseResponse treat that as an unknown outcome.
func parseResponse(status int, body []byte) (*response, bool) {
	var head struct {
		Outcome    string         `json:"outcome"`
		Error      Code           `json:"error"`
		Message    string         `json:"message"`
		RetryAfter *jwcc.Duration `json:"retry_after"`
		Coverage   *struct {
			Fraction float64 `json:"fraction"`
		} `json:"coverage"`
	}
	if json.Unmarshal(body, &head) != nil || status < http.StatusOK || status > maxHTTPStatus {
		return nil, false
	}
	r := &response{status: status, body: body, code: head.Error, message: head.Message}
	switch head.Outcome {
	case wire.Answered.String():
		r.outcome = wire.Answered
	case wire.NotRun.String():
		r.outcome = wire.NotRun
	case wire.Unknown.String():
		r.outcome = wire.Unknown
	default:
		return nil, false
	}
	if (r.outcome == wire.Answered) != (status == http.StatusOK) {
		return nil, false
	}
	if head.RetryAfter != nil {
		r.retryAfter = head.RetryAfter.D()
	}
	if head.Coverage != nil {
		r.coverage = head.Coverage.Fraction
	}
	return r, true
}

// maxHTTPStatus is the highest status that counts as valid.
const maxHTTPStatus = 599
