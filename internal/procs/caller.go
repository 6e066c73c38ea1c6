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

// SearchReply is the reply to a search call, with the fields of an answer and of
// an error body. Err is set when no complete reply was received.
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
	Took time.Duration `json:"-"` // from the sending of the request to the end of the reply
}

// Answered reports whether a complete reply with the status 200 was received.
func (r *SearchReply) Answered() bool { return r.Err == nil && r.Status == http.StatusOK }

// Caller calls the HTTP interfaces of hosts and stand-ins, as programs of callers
// and operators do.
type Caller struct{ client *http.Client }

// maxIdleConnsPerHost is enough for all workers of a test that call one host.
const maxIdleConnsPerHost = 64

// NewCaller returns a Caller whose requests fail after requestTimeout.
func NewCaller(requestTimeout time.Duration) *Caller {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost}
	return &Caller{client: &http.Client{Timeout: requestTimeout, Transport: transport}}
}

// Close closes the idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Search calls a search on the host at addr. A failed call is reported in the
// reply's Err.
func (c *Caller) Search(ctx context.Context, addr, service, search string, body SearchRequest) *SearchReply {
	reply := &SearchReply{}
	start := time.Now()
	path := "/v1/services/" + service + "/searches/" + search
	reply.Status, reply.Err = c.Post(ctx, addr, path, body, reply)
	reply.Took = time.Since(start)
	return reply
}

// RequestTicket requests one ticket from the host at addr. It returns *StatusError
// when the reply does not hold exactly one ticket.
func (c *Caller) RequestTicket(ctx context.Context, addr string) (string, error) {
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

// StatusError reports a call that was answered with an unexpected HTTP status.
type StatusError struct {
	URL    string
	Status int
}

// Error implements error.
func (e *StatusError) Error() string {
	return "call to " + e.URL + " returned " + http.StatusText(e.Status)
}

// Post sends body as JSON, decodes the JSON reply into into and returns the HTTP
// status. A status other than 2xx is no error.
func (c *Caller) Post(ctx context.Context, addr, path string, body, into any) (int, error) {
	return c.do(ctx, http.MethodPost, "http://"+addr+path, body, into)
}

// Put sends body as JSON. It returns *StatusError for a status of 300 or above.
func (c *Caller) Put(ctx context.Context, addr, path string, body any) error {
	status, err := c.do(ctx, http.MethodPut, "http://"+addr+path, body, nil)
	if err == nil && status >= http.StatusMultipleChoices {
		return &StatusError{URL: "http://" + addr + path, Status: status}
	}
	return err
}

// Get decodes the JSON reply into into. It returns *StatusError for a status of
// 300 or above.
func (c *Caller) Get(ctx context.Context, addr, path string, into any) error {
	status, err := c.do(ctx, http.MethodGet, "http://"+addr+path, nil, into)
	if err == nil && status >= http.StatusMultipleChoices {
		return &StatusError{URL: "http://" + addr + path, Status: status}
	}
	return err
}

// do sends a request, with body as JSON unless it is nil, and decodes the JSON
// reply into into unless that is nil. It returns the HTTP status.
func (c *Caller) do(ctx context.Context, method, url string, body, into any) (int, error) {
	var encoded []byte
	var err error
	if body != nil {
		if encoded, err = json.Marshal(body); err != nil {
			return 0, errors.WithStack(err)
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(encoded))
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

// Balancer picks hosts in turn among those that were ready at its last poll, like
// the load balancer of the platform.
type Balancer struct {
	deployment *Deployment
	mu         sync.Mutex
	ready      []string // HTTP addresses of the hosts that were ready at the last poll
	lastPicked int      // index in ready
}

// NewBalancer returns a Balancer that polls the readiness of the hosts now and
// then at every interval until ctx is cancelled.
func NewBalancer(ctx context.Context, d *Deployment, interval time.Duration) *Balancer {
	b := &Balancer{deployment: d}
	b.refresh()
	go func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				b.refresh()
			}
		}
	}()
	return b
}

// refresh polls the readiness of all hosts.
func (b *Balancer) refresh() {
	var ready []string
	for _, host := range b.deployment.HostNames() {
		if addr := b.deployment.HTTPAddr(host); b.deployment.respondsOK("http://" + addr + "/ready") {
			ready = append(ready, addr)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = ready
}

// Pick returns the HTTP address of the next ready host, or "" when none is ready.
func (b *Balancer) Pick() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return ""
	}
	b.lastPicked = (b.lastPicked + 1) % len(b.ready)
	return b.ready[b.lastPicked]
}
