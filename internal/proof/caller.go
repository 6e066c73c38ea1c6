package proof

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"time"
)

// Request is one call of a search and what the caller does meanwhile.
type Request struct {
	Payload  string
	Search   string // "book" if empty
	Ticket   string
	Deadline time.Duration // 0 uses the deadline of the search
	// LoseAnswer drops the answer on its way to the caller, which then sees none.
	LoseAnswer bool
	// DisconnectAfter is the time after which the caller disconnects; 0 means never.
	DisconnectAfter time.Duration
	// Body is sent instead of the JSON form of the request unless it is empty.
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

// IssueTickets requests n tickets from a host. It returns none if the host does not
// answer.
func (s *Sim) IssueTickets(host *Host, n int) []string {
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

// Present sends a request to a host, waits for the answer and records the call in
// the oracle. The Status of the returned call is 0 if the caller got no answer.
func (s *Sim) Present(host *Host, r Request) *Call {
	if r.Search == "" {
		r.Search = bookSearch
	}
	c := &Call{Payload: r.Payload, Search: r.Search, Ticket: r.Ticket, Host: host.info.Name, Start: time.Now()}
	s.Oracle.recordCall(c)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if r.DisconnectAfter > 0 {
		disconnect := time.AfterFunc(r.DisconnectAfter, cancel)
		defer disconnect.Stop()
	}
	status, body := host.serve(ctx, "/v1/services/"+serviceName+"/searches/"+r.Search, r.body())
	c.End = time.Now()
	if status == 0 || r.LoseAnswer || ctx.Err() != nil {
		return c
	}
	var reply struct{ Outcome, Error string }
	if json.Unmarshal(body, &reply) != nil {
		return c
	}
	c.Status, c.Outcome, c.Code, c.Body = status, reply.Outcome, reply.Error, string(body)
	if json.Unmarshal(body, &c.Answer) != nil {
		c.Answer = Answer{}
	}
	return c
}

// serve handles one HTTP POST request in the host's process. Status 0 means that
// no process runs or that it ended before the reply.
func (h *Host) serve(ctx context.Context, path, body string) (int, []byte) {
	p := h.currentProcess()
	if p == nil || !p.aliveAfterPause() {
		return 0, nil
	}
	request := httptest.NewRequestWithContext(ctx, http.MethodPost, path, bytes.NewBufferString(body))
	w := httptest.NewRecorder()
	p.server.Handler().ServeHTTP(w, request)
	if !p.aliveAfterPause() {
		return 0, nil
	}
	return w.Code, w.Body.Bytes()
}
