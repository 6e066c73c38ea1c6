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

// response is the end of one caller's request, ready to be written, stored
// with a ticket or sent to a forwarding host.
type response struct {
	status     int
	body       []byte
	outcome    wire.Outcome
	code       Code // empty when answered
	message    string
	retryAfter time.Duration
	coverage   float64 // fraction; 0 when the search did not run
	// planned is the search as it was when the request began; nil when the
	// request was refused before that or ran elsewhere.
	planned *release.Search
}

// statusOf maps codes to HTTP statuses.
var statusOf = map[Code]int{
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

// fail builds the response of an error.
func fail(request string, e *SearchError) *response {
	body := errorBody{
		Outcome: e.Outcome.String(), Error: e.Code, Message: e.Message, Request: request,
	}
	r := &response{outcome: e.Outcome, code: e.Code, message: e.Message, retryAfter: e.RetryAfter}
	if e.RetryAfter > 0 {
		after := jwcc.Duration(e.RetryAfter)
		body.RetryAfter = &after
	}
	if e.Coverage != nil {
		coverage := e.Coverage.withLists()
		body.Coverage = &coverage
		r.coverage = coverage.Fraction
	}
	r.status = statusOf[e.Code]
	if r.status == 0 {
		r.status = http.StatusInternalServerError
	}
	r.body = encode(body)
	return r
}

func notRun(request string, code Code, message string) *response {
	return fail(request, &SearchError{Code: code, Outcome: wire.NotRun, Message: message})
}

func unknown(request string, code Code, message string) *response {
	return fail(request, &SearchError{Code: code, Outcome: wire.Unknown, Message: message})
}

func answered(request string, a *Answer, total time.Duration) *response {
	return &response{
		status:   http.StatusOK,
		body:     encode(newAnswerBody(request, a, total)),
		outcome:  wire.Answered,
		coverage: a.Coverage.Fraction,
	}
}

// encode returns the JSON form of a body.
func encode(body any) []byte {
	out, err := json.Marshal(body)
	if err != nil {
		panic(errors.WithStack(err)) // bodies hold no value that JSON lacks
	}
	return out
}

// replayed returns the response of a body that was stored or received. A body
// without a valid outcome counts as unknown.
func replayed(status int, body []byte) (*response, bool) {
	var head struct {
		Outcome    string         `json:"outcome"`
		Error      Code           `json:"error"`
		Message    string         `json:"message"`
		RetryAfter *jwcc.Duration `json:"retry_after"`
		Coverage   *struct {
			Fraction float64 `json:"fraction"`
		} `json:"coverage"`
	}
	if json.Unmarshal(body, &head) != nil || status < http.StatusOK || status > maxStatus {
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

const maxStatus = 599
