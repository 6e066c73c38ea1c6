package quota

import (
	"encoding/json"
	"math"
	"time"

	"github.com/pkg/errors"
)

// Bounds of messages. A host has credits of some hundred accounts at most.
const (
	maxNameBytes   = 1 << 10
	maxLeaders     = 64
	maxReported    = 20_000
	maxCredits     = 1 << 20
	maxUsed        = 1 << 50
	maxHold        = 30 * time.Second
	maxRetry       = time.Hour
	maxLimit       = 1e12 // requests a second, and requests
	maxMessageSize = 4 << 20
)

// report is what a host tells a leader. It states totals, so a report that is repeated
// or lost does no harm.
type report struct {
	Host     string   `json:"host"`     // its address for peers
	Process  uint64   `json:"process"`  // identifies the process of the host
	Sequence uint64   `json:"sequence"` // grows with each report of the process
	Grantor  string   `json:"grantor"`  // address of the leader that gets the report
	Leaders  []string `json:"leaders"`  // addresses among which the host chooses grantors, sorted
	// Hold is how long credits are valid after the report was sent, and how long the
	// grantor counts the host after the report arrived.
	Hold time.Duration `json:"hold"`
	// Leaving is whether the host must not be counted: it is about to use another list of
	// leaders, or had no answer and uses its share. Ended is whether it stops and uses no
	// share either.
	Leaving bool `json:"leaving,omitempty"`
	Ended   bool `json:"ended,omitempty"`
	// Accounts has each account of which the host holds a credit.
	Accounts []accountReport `json:"accounts,omitempty"`
}

// accountReport is what a report states of one account, in requests.
type accountReport struct {
	Name          string  `json:"name"`
	Epoch         uint64  `json:"epoch"` // identifies the counter of Used
	RatePerSecond float64 `json:"rate_per_s"`
	Burst         float64 `json:"burst"`
	Used          int64   `json:"used"`              // credits used since the epoch began, less refunds
	Acked         int64   `json:"acked,omitempty"`   // Used as the grantor knew it after its last answer
	Held          int     `json:"held,omitempty"`    // credits not used
	Waiting       int     `json:"waiting,omitempty"` // requests that wait for a credit
	Spare         int     `json:"spare,omitempty"`   // credits wanted for later requests
	Refused       int     `json:"refused,omitempty"` // requests refused since the report before, without a question
}

// answer is the response to a report.
type answer struct {
	Accounts []accountAnswer `json:"accounts,omitempty"` // in the order of the report
}

// accountAnswer grants credits of one account. If they are fewer than the waiting
// requests, the durations are set.
type accountAnswer struct {
	Granted int           `json:"granted,omitempty"`
	TokenIn time.Duration `json:"token_in,omitempty"` // until there is another credit
	RetryIn time.Duration `json:"retry_in,omitempty"` // until the first request without a credit may have one
	Gap     time.Duration `json:"gap,omitempty"`      // between that request and each further one
}

// decodeReport decodes a report. *MessageError reports one that no host of this program
// sends.
func decodeReport(body []byte) (*report, error) {
	var r report
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, errors.WithStack(&MessageError{Problem: "report is not JSON of the expected form", Err: err})
	}
	if problem := r.problem(); problem != "" {
		return nil, errors.WithStack(&MessageError{Problem: problem})
	}
	return &r, nil
}

// problem says what is wrong with a report, "" for nothing.
func (r *report) problem() string {
	switch {
	case !isName(r.Host) || !isName(r.Grantor):
		return "report has no usable host or grantor"
	case len(r.Leaders) == 0 || len(r.Leaders) > maxLeaders:
		return "number of leaders is out of range"
	case r.Hold <= 0 || r.Hold > maxHold:
		return "hold time is out of range"
	case len(r.Accounts) > maxReported:
		return "number of accounts is out of range"
	}
	for _, leader := range r.Leaders {
		if !isName(leader) {
			return "address of a leader is not usable"
		}
	}
	seen := make(map[string]struct{}, len(r.Accounts))
	for i := range r.Accounts {
		a := &r.Accounts[i]
		if problem := a.problem(); problem != "" {
			return problem
		}
		if _, twice := seen[a.Name]; twice {
			return "account is listed twice"
		}
		seen[a.Name] = struct{}{}
	}
	return ""
}

func (a *accountReport) problem() string {
	switch {
	case !isName(a.Name):
		return "account has no usable name"
	case !isLimit(a.RatePerSecond) || a.RatePerSecond == 0 || !isLimit(a.Burst):
		return "quota is out of range"
	case a.Used < -maxUsed || a.Used > maxUsed || a.Acked < -maxUsed || a.Acked > maxUsed:
		return "use is out of range"
	case !isCount(a.Held) || !isCount(a.Waiting) || !isCount(a.Spare) || !isCount(a.Refused):
		return "number of credits is out of range"
	}
	return ""
}

func isName(s string) bool { return s != "" && len(s) <= maxNameBytes }

func isLimit(v float64) bool { return v >= 0 && v <= maxLimit && !math.IsNaN(v) }

func isCount(n int) bool { return n >= 0 && n <= maxCredits }

func isRetry(d time.Duration) bool { return d >= 0 && d <= maxRetry }

// decodeAnswer decodes the answer to a report.
func decodeAnswer(body []byte, to *report) (*answer, error) {
	var a answer
	if err := json.Unmarshal(body, &a); err != nil {
		return nil, errors.WithStack(&MessageError{Problem: "answer is not JSON of the expected form", Err: err})
	}
	if len(a.Accounts) != len(to.Accounts) {
		return nil, errors.WithStack(&MessageError{Problem: "number of accounts differs from that of the report"})
	}
	for i, got := range a.Accounts {
		asked := &to.Accounts[i]
		if got.Granted < 0 || got.Granted > asked.Waiting+asked.Spare || !isRetry(got.TokenIn) || !isRetry(got.RetryIn) || !isRetry(got.Gap) {
			return nil, errors.WithStack(&MessageError{Problem: "grant is out of range"})
		}
	}
	return &a, nil
}
