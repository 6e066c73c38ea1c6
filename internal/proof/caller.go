package proof

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"time"
)

// Request is what a caller presents.
type Request struct {
	Payload  string
	Search   string // "book" if empty
	Ticket   string
	Deadline time.Duration // 0: the search's
	// LoseAnswer drops the answer on its way to the caller.
	LoseAnswer bool
	// LeaveAfter makes the caller disconnect; 0: never.
	LeaveAfter time.Duration
	// Body replaces the JSON form of the request.
	Body string
}

func (r Request) body() string {
	if r.Body != "" {
		return r.Body
	}
	fields := map[string]any{"payload": r.Payload}
	if r.Ticket != "" {
		fields["ticket"] = r.Ticket
	}
	if r.Deadline != 0 {
		fields["deadline"] = r.Deadline.String()
	}
	out, err := json.Marshal(fields)
	if err != nil {
		panic(err) // no field has a form that can't be encoded
	}
	return string(out)
}

// Issue gets tickets from a host; none if the host does not answer.
func (s *Sim) Issue(host *Host, n int) []string {
	body, err := json.Marshal(map[string]int{"count": n})
	if err != nil {
		panic(err) // an integer always has a JSON form
	}
	_, out := host.serve(context.Background(), "/v1/tickets", string(body))
	var reply struct{ Tickets []string }
	if json.Unmarshal(out, &reply) != nil {
		return nil
	}
	return reply.Tickets
}

// Present makes one call and waits for its end.
func (s *Sim) Present(host *Host, r Request) *Call {
	if r.Search == "" {
		r.Search = bookSearch
	}
	c := &Call{Payload: r.Payload, Search: r.Search, Ticket: r.Ticket, Host: host.info.Name, Start: time.Now()}
	s.Oracle.began(c)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if r.LeaveAfter > 0 {
		leave := time.AfterFunc(r.LeaveAfter, cancel)
		defer leave.Stop()
	}
	status, body := host.serve(ctx, "/v1/services/"+serviceName+"/searches/"+r.Search, r.body())
	c.End = time.Now()
	if status == 0 || r.LoseAnswer || ctx.Err() != nil {
		return c
	}
	var head struct{ Outcome, Error string }
	if json.Unmarshal(body, &head) != nil {
		return c
	}
	c.Status, c.Outcome, c.Code, c.Body = status, head.Outcome, head.Error, string(body)
	if json.Unmarshal(body, &c.Answer) != nil {
		c.Answer = Answer{}
	}
	return c
}

// serve runs one HTTP request in the host's process. Status 0 means that the
// process ended first.
func (h *Host) serve(ctx context.Context, path, body string) (int, []byte) {
	p := h.current()
	if p == nil || !p.pass() {
		return 0, nil
	}
	request := httptest.NewRequestWithContext(ctx, http.MethodPost, path, bytes.NewBufferString(body))
	w := httptest.NewRecorder()
	p.server.Handler().ServeHTTP(w, request)
	if !p.pass() {
		return 0, nil
	}
	return w.Code, w.Body.Bytes()
}
