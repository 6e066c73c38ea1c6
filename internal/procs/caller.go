package procs

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// SearchRequest is the body of a search call.
type SearchRequest struct {
	Range         *LedgerRange `json:"range,omitempty"`
	Deadline      string       `json:"deadline,omitempty"`
	LeastCoverage float64      `json:"least_coverage,omitempty"`
	Ticket        string       `json:"ticket,omitempty"`
	Payload       string       `json:"payload,omitempty"`
}

// LedgerRange is a half-open range of ledgers.
type LedgerRange struct {
	Lo uint64 `json:"lo"`
	Hi uint64 `json:"hi"`
}

// SearchReply is what a caller sees of a search: an answer or an error body.
// Err is set when the connection brought no whole reply.
type SearchReply struct {
	Err           error  `json:"-"`
	Status        int    `json:"-"`
	Outcome       string `json:"outcome"`
	Code          string `json:"error"`
	Message       string `json:"message"`
	ConfigVersion uint64 `json:"config_version"`
	Snapshot      uint64 `json:"snapshot"`
	Rows          []struct {
		Ledger uint64 `json:"ledger"`
		Value  string `json:"value"`
	} `json:"rows"`
	Coverage *struct {
		Fraction float64 `json:"fraction"`
		Missing  []struct {
			Shard  uint32 `json:"shard"`
			Reason string `json:"reason"`
		} `json:"missing"`
	} `json:"coverage"`
	Work struct {
		FirstTries int `json:"first_tries"`
		Hedges     int `json:"hedges"`
		Retries    int `json:"retries"`
	} `json:"work"`
	Took time.Duration `json:"-"`
}

// Answered reports whether the search was answered.
func (r *SearchReply) Answered() bool { return r.Err == nil && r.Status == http.StatusOK }

// Caller sends searches as a caller's program does.
type Caller struct{ client *http.Client }

// callerIdleConns is enough for every host and worker of a test.
const callerIdleConns = 64

// NewCaller returns a caller whose requests end after limit.
func NewCaller(limit time.Duration) *Caller {
	transport := &http.Transport{MaxIdleConnsPerHost: callerIdleConns}
	return &Caller{client: &http.Client{Timeout: limit, Transport: transport}}
}

// Close drops idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Search runs one search on the host at addr.
func (c *Caller) Search(ctx context.Context, addr, service, search string, body SearchRequest) *SearchReply {
	reply := &SearchReply{}
	start := time.Now()
	path := "/v1/services/" + service + "/searches/" + search
	reply.Status, reply.Err = c.Post(ctx, addr, path, body, reply)
	reply.Took = time.Since(start)
	return reply
}

// Ticket takes one ticket from the host at addr.
func (c *Caller) Ticket(ctx context.Context, addr string) (string, error) {
	var out struct {
		Tickets []string `json:"tickets"`
	}
	status, err := c.Post(ctx, addr, "/v1/tickets", map[string]int{"count": 1}, &out)
	if err != nil {
		return "", err
	}
	if len(out.Tickets) != 1 {
		return "", &StatusError{URL: "http://" + addr + "/v1/tickets", Status: status}
	}
	return out.Tickets[0], nil
}

// StatusError reports an unexpected HTTP status.
type StatusError struct {
	URL    string
	Status int
}

// Error implements error.
func (e *StatusError) Error() string {
	return "call to " + e.URL + " returned " + http.StatusText(e.Status)
}

// Post sends a JSON body and reads a JSON reply.
func (c *Caller) Post(ctx context.Context, addr, path string, body, into any) (int, error) {
	return c.do(ctx, http.MethodPost, "http://"+addr+path, body, into)
}

// Put sends a JSON body.
func (c *Caller) Put(ctx context.Context, addr, path string, body any) error {
	status, err := c.do(ctx, http.MethodPut, "http://"+addr+path, body, nil)
	if err == nil && status >= http.StatusMultipleChoices {
		return &StatusError{URL: "http://" + addr + path, Status: status}
	}
	return err
}

// Get reads a JSON reply.
func (c *Caller) Get(ctx context.Context, addr, path string, into any) error {
	status, err := c.do(ctx, http.MethodGet, "http://"+addr+path, nil, into)
	if err == nil && status >= http.StatusMultipleChoices {
		return &StatusError{URL: "http://" + addr + path, Status: status}
	}
	return err
}

func (c *Caller) do(ctx context.Context, method, url string, body, into any) (int, error) {
	var raw []byte
	var err error
	if body != nil {
		if raw, err = json.Marshal(body); err != nil {
			return 0, errors.WithStack(err)
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(raw))
	if err != nil {
		return 0, errors.WithStack(err)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return 0, errors.WithStack(err)
	}
	defer func() { _ = response.Body.Close() }()
	if into == nil {
		return response.StatusCode, nil
	}
	return response.StatusCode, errors.WithStack(json.NewDecoder(response.Body).Decode(into))
}

// Balancer picks ready hosts in turn, as of its last look, like the platform's
// load balancer.
type Balancer struct {
	deployment *Deployment
	mu         sync.Mutex
	ready      []string // HTTP addresses
	next       int
}

// NewBalancer returns a balancer that looks at readiness every lag until ctx
// ends.
func NewBalancer(ctx context.Context, d *Deployment, lag time.Duration) *Balancer {
	b := &Balancer{deployment: d}
	b.look()
	go func() {
		ticker := time.NewTicker(lag)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				b.look()
			}
		}
	}()
	return b
}

func (b *Balancer) look() {
	var ready []string
	for _, host := range b.deployment.HostNames() {
		if addr := b.deployment.HTTPAddr(host); b.deployment.answers("http://" + addr + "/ready") {
			ready = append(ready, addr)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = ready
}

// Pick returns the address of a host, or "" when none is ready.
func (b *Balancer) Pick() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return ""
	}
	b.next = (b.next + 1) % len(b.ready)
	return b.ready[b.next]
}
