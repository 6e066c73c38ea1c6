package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// client calls entry hosts. Each call has its own connection, because
// http.Transport may send a request again when a kept connection breaks.
type client struct {
	hosts   []string
	timeout time.Duration
	http    *http.Client
}

func newClient(opts Options) *client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &client{
		hosts:   opts.Hosts,
		timeout: opts.RequestTimeout,
		http: &http.Client{
			Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true},
			// A followed redirect would send the request a second time.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// call is one request to one host.
type call struct {
	method, path string
	header       map[string]string
	body         []byte
	timeout      time.Duration // 0 means client.timeout
}

// send makes the call and decodes an answer with status 200 into into.
// *NotSentError: no byte was sent; *LostError: it may have run; *AnswerError:
// the host answered with an error.
func (c *client) send(ctx context.Context, host string, do call, into any) error {
	timeout := do.timeout
	if timeout == 0 {
		timeout = c.timeout
	}
	read := do.method == http.MethodGet
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	req, err := http.NewRequestWithContext(ctx, do.method, "http://"+host+do.path, bytes.NewReader(do.body))
	if err != nil {
		return &NotSentError{Host: host, Err: err}
	}
	for name, value := range do.header {
		req.Header.Set(name, value)
	}
	resp, err := c.http.Do(req)
	if err != nil && !connected.Load() {
		return &NotSentError{Host: host, Err: cause(err)}
	}
	if err != nil {
		return &LostError{Host: host, Read: read, Err: cause(err)}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return &LostError{Host: host, Read: read, Err: err}
	}
	if resp.StatusCode != http.StatusOK {
		return answerError(host, read, resp.StatusCode, body)
	}
	if err := json.Unmarshal(body, into); err != nil {
		return &LostError{Host: host, Read: read, Err: err}
	}
	return nil
}

// cause removes the method and URL that http.Client puts before an error.
func cause(err error) error {
	if inner := errors.Unwrap(err); inner != nil {
		return inner
	}
	return err
}

func answerError(host string, read bool, status int, body []byte) error {
	out := &AnswerError{Host: host, Read: read, Status: status}
	if json.Unmarshal(body, &out.Reply) != nil || out.Reply.Error == "" {
		out.Reply = errorReply{Error: http.StatusText(status)}
	}
	return out
}

// any makes a call that may run more than once on the hosts in turn, until one
// answers. *HostsError lists the failures of all hosts.
func (c *client) any(ctx context.Context, do call, into any) error {
	_, err := c.first(ctx, do, into, repeatable)
	return err
}

// nextHost says whether a call that failed may be made on the next host.
type nextHost func(err error) bool

// repeatable goes on after every failure but an answer that another host would
// give as well.
func repeatable(err error) bool {
	var answer *AnswerError
	return !errors.As(err, &answer) || answer.Status == http.StatusServiceUnavailable
}

// notRepeatable goes on only if no byte was sent.
func notRepeatable(err error) bool {
	var unsent *NotSentError
	return errors.As(err, &unsent)
}

// first makes the call on the hosts in turn and returns the one that answered.
func (c *client) first(ctx context.Context, do call, into any, next nextHost) (string, error) {
	if len(c.hosts) == 0 {
		return "", errNoHost()
	}
	var failures []error
	for _, host := range c.hosts {
		err := c.send(ctx, host, do, into)
		if err == nil {
			return host, nil
		}
		failures = append(failures, err)
		if !next(err) || ctx.Err() != nil {
			break
		}
	}
	if len(failures) == 1 {
		return "", failures[0]
	}
	if last := failures[len(failures)-1]; !next(last) {
		return "", last
	}
	return "", &HostsError{Failures: failures}
}

func errNoHost() error {
	return &UsageError{Message: "no host is given; use --host IP:port or set GAUGECTL_HOST"}
}

func get(path string) call { return call{method: http.MethodGet, path: path} }

func post(path string, body any) (call, error) {
	text, err := json.Marshal(body)
	if err != nil {
		return call{}, errors.WithStack(err)
	}
	return call{method: http.MethodPost, path: path, body: text, header: map[string]string{"Content-Type": "application/json"}}, nil
}
