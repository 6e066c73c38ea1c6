package front_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/arbutusgauge/arbutusgauge/internal/front"
	"github.com/arbutusgauge/arbutusgauge/internal/jwcc"
	"github.com/arbutusgauge/arbutusgauge/internal/textmetrics"
)

// Guards against an error response that doesn't tell the operator whether a note
// took effect, and which note changed the configuration first.
func TestNoteErrorResponses(t *testing.T) {
	for _, c := range []struct {
		err    error
		status int
		parts  []string
	}{
		{
			&front.BadNoteError{Problems: []jwcc.Problem{{File: "a.jsonc", Line: 3, Key: "base", Message: "m"}}}, 400,
			[]string{`"error":"bad_note"`, `"problems":[{"file":"a.jsonc","line":3,"key":"base","message":"m"}]`},
		},
		{
			&front.ConflictError{WinningNote: "n-6", Version: 3}, 409,
			[]string{`"error":"conflict"`, `"winning_note":"n-6"`, `"version":3`},
		},
		{&front.StoreError{Err: errors.New("down")}, 503, []string{`"store_unavailable"`, `"outcome":"not_applied"`}},
		{&front.StoreError{Err: errors.New("down"), OutcomeUnknown: true}, 503, []string{`"outcome":"unknown"`}},
		{errors.New("x"), 500, []string{`"outcome":"unknown"`}},
	} {
		RegisterTestingT(t)
		s, f, _ := newFront(unchanged)
		f.apply = func(bool) (*front.ApplyResult, error) { return nil, c.err }
		r := call(s, "POST", "/v1/operator/notes", `{}`)
		Expect(r.Status).To(Equal(c.status), r.Text)
		for _, part := range c.parts {
			Expect(r.Text).To(ContainSubstring(part))
		}
	}
}

func TestOperatorCalls(t *testing.T) {
	RegisterTestingT(t)
	s, f, _ := newFront(unchanged)
	for _, c := range []struct{ method, path, want string }{
		{"POST", "/v1/operator/notes", `{"applied":true,"version":4,"note":"n-7","already":false}`},
		{"POST", "/v1/operator/notes?dry_run=true", `{"applied":false,"version":4,"note":"n-7","already":false}`},
		{"GET", "/v1/operator/config", `"version":3`},
		{"GET", "/v1/operator/history", `{"version":4,"notes":[{"id":"n-7","version":4,"author":"","summary":""}]}`},
		{"GET", "/v1/operator/hosts", `{"self":"badin-1","hosts":[{"name":"badin-1","addr":"127.0.0.1:7001","http_addr":"","data_centre":"badin","state":"live","config_version":0,"incarnation":11}]}`},
		{"GET", "/v1/operator/replicas?service=x", `{"replicas":[{"replica":"10.0.0.1:1","service":"x","shard":0,"state":"ready"`},
		{"GET", "/v1/operator/burn", `{"recorded":0}`},
		{"GET", "/ready", `"ready":true`},
		{"GET", "/live", `true`},
	} {
		r := call(s, c.method, c.path, `{}`)
		Expect(r.Status).To(Equal(200), c.path)
		Expect(r.Text).To(ContainSubstring(c.want))
	}
	for path, status := range map[string]int{"/v1/operator/notes?dry_run=maybe": 400, "/v1/other": 404, "/ready": 405} {
		r := call(s, "POST", path, `{}`)
		Expect(r.Status).To(Equal(status), path)
		Expect(r.Error).NotTo(BeEmpty(), path)
	}
	f.config = nil
	Expect(call(s, "GET", "/v1/operator/config", "").Error).To(Equal("no_configuration"))
	Expect(call(s, "GET", "/ready", "").Status).To(Equal(503))
	Expect(call(s, "POST", "/v1/tickets", `{"count": 1}`).Error).To(Equal("no_configuration"))
}

// Guards against duplicate tickets, against calls without a limit on the number
// of tickets, and against tickets above what the registry can hold.
func TestTicketsAreIssuedInBulk(t *testing.T) {
	RegisterTestingT(t)
	s, _, _ := newFront(unchanged)
	r := call(s, "POST", "/v1/tickets", `{"count": 1000}`)
	Expect(r.Text).To(ContainSubstring(`"expires":"10m0s"`))
	distinct := map[string]bool{}
	for _, t := range r.Tickets {
		distinct[t] = true
	}
	Expect(distinct).To(HaveLen(1000))
	for _, body := range []string{``, `{}`, `{"count": 0}`, `{"count": 1001}`, `{"count": -1}`, `{"count": 1.5}`, `{"n": 1}`} {
		Expect(call(s, "POST", "/v1/tickets", body).Error).To(Equal("bad_request"), body)
	}
	for range 3 {
		call(s, "POST", "/v1/tickets", `{"count": 1000}`)
	}
	full := call(s, "POST", "/v1/tickets", `{"count": 1000}`)
	Expect([]any{full.Status, full.Header.Get("Retry-After")}).To(Equal([]any{429, "1"}))
}

// Guards against requests that the metrics don't count by outcome and error, and
// against another text form of the metrics.
func TestMetricsTextFormat(t *testing.T) {
	RegisterTestingT(t)
	text := textmetrics.New()
	scope, closer := tally.NewRootScope(tally.ScopeOptions{Reporter: text}, 0)
	s, _, _ := newFrontFor(hostA, unchanged, func(o *front.Options) { o.Metrics, o.MetricsText = scope, text })
	call(s, "POST", findPath, ``)
	call(s, "POST", bookPath, ``)
	scope.Timer("wait").Record(1500 * time.Millisecond)
	Expect(closer.Close()).To(Succeed()) // writes the metrics to the reporter
	r := call(s, "GET", "/metrics", "")
	Expect(r.Header.Get("Content-Type")).To(HavePrefix("text/plain"))
	lines := strings.Split(r.Text, "\n")
	Expect(lines).To(ContainElements(
		"requests{error=none,outcome=answered} 1",
		"requests{error=ticket_required,outcome=not_run} 1",
		"open_requests 0",
		"wait_seconds 1.5",
	))
	Expect(r.Text).To(ContainSubstring("request_latency{le="))
}
