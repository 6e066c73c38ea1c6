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

// hostClient calls entry hosts. Each call uses a new connection, because
// http.Transport may send a request again when a reused connection breaks.
type hostClient struct {
	hosts   []string
	timeout time.Duration
	http    *http.Client
}

func newHostClient(opts Options) *hostClient {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &hostClient{
		hosts:   opts.Hosts,
		timeout: opts.RequestTimeout,
		http: &http.Client{
			Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true},
			// A followed redirect would send the request a second time.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// apiCall is a request to the HTTP interface of an entry host.
type apiCall struct {
	method, path string
	header       map[string]string
	body         []byte
	timeout      time.Duration // 0 means hostClient.timeout
	readOnly     bool          // the call changes nothing although its method is not GET
}

// send makes the call on one host and decodes an answer with status 200 into
// reply. Errors: *NotSentError if no byte was sent, *AnswerLostError if the call
// may have run, *AnswerError if the host answered with another status.
func (c *hostClient) send(ctx context.Context, host string, call apiCall, reply any) error {
	timeout := call.timeout
	if timeout == 0 {
		timeout = c.timeout
	}
	readOnly := call.readOnly || call.method == http.MethodGet
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	req, err := http.NewRequestWithContext(ctx, call.method, "http://"+host+call.path, bytes.NewReader(call.body))
	if err != nil {
		return &NotSentError{Host: host, Err: err}
	}
	for name, value := range call.header {
		req.Header.Set(name, value)
	}
	resp, err := c.http.Do(req)
	if err != nil && !connected.Load() {
		return &NotSentError{Host: host, Err: innerError(err)}
	}
	if err != nil {
		return &AnswerLostError{Host: host, ReadOnly: readOnly, Err: innerError(err)}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return &AnswerLostError{Host: host, ReadOnly: readOnly, Err: err}
	}
	if resp.StatusCode != http.StatusOK {
		return newAnswerError(host, readOnly, resp.StatusCode, body)
	}
	if err := json.Unmarshal(body, reply); err != nil {
		return &AnswerLostError{Host: host, ReadOnly: readOnly, Err: err}
	}
	return nil
}

// innerError removes the outermost wrapper of an error: the method and URL that
// http.Client adds, or the operation and path that package os adds.
func innerError(err error) error {
	if inner := errors.Unwrap(err); inner != nil {
		return inner
	}
	return err
}

// newAnswerError returns the *AnswerError for an answer. The status text stands
// in for the error code of a body that is not an error of the HTTP interface.
func newAnswerError(host string, readOnly bool, status int, body []byte) error {
	out := &AnswerError{Host: host, ReadOnly: readOnly, Status: status}
	if json.Unmarshal(body, &out.Reply) != nil || out.Reply.Error == "" {
		out.Reply = errorReply{Error: http.StatusText(status)}
	}
	return out
}

// any makes a call that may safely run more than once. It makes the call on the
// hosts in turn, until one answers. Its errors are those of callInTurn.
func (c *hostClient) any(ctx context.Context, call apiCall, reply any) error {
	_, err := c.callInTurn(ctx, call, reply, retryRepeatable)
	return err
}

// retryPolicy reports whether a call that failed with err may be made on the
// next host.
type retryPolicy func(err error) bool

// retryRepeatable is the policy for calls that may run more than once. It
// retries after every failure but an error answer that any other host would give
// as well; only status 503 depends on the host.
func retryRepeatable(err error) bool {
	var answer *AnswerError
	return !errors.As(err, &answer) || answer.Status == http.StatusServiceUnavailable
}

// retryUnsent is the policy for calls that may run only once. It retries only if
// no byte was sent.
func retryUnsent(err error) bool {
	var unsent *NotSentError
	return errors.As(err, &unsent)
}

// callInTurn makes the call on the hosts in turn, as long as mayRetry allows the
// next one, and returns the host that answered. Errors: the failure itself if it
// is the only one or forbids a retry, else *HostsError with the failures of all
// hosts that were tried; *UsageError if no host is given.
func (c *hostClient) callInTurn(ctx context.Context, call apiCall, reply any, mayRetry retryPolicy) (string, error) {
	if len(c.hosts) == 0 {
		return "", newNoHostError()
	}
	var failures []error
	for _, host := range c.hosts {
		err := c.send(ctx, host, call, reply)
		if err == nil {
			return host, nil
		}
		failures = append(failures, err)
		if !mayRetry(err) || ctx.Err() != nil {
			break
		}
	}
	if len(failures) == 1 {
		return "", failures[0]
	}
	if last := failures[len(failures)-1]; !mayRetry(last) {
		return "", last
	}
	return "", &HostsError{Failures: failures}
}

func newNoHostError() error {
	return &UsageError{Message: "no host is given; use --host IP:port or set GAUGECTL_HOST"}
}

func getCall(path string) apiCall { return apiCall{method: http.MethodGet, path: path} }

// postCall returns a POST request with body as JSON.
func postCall(path string, body any) (apiCall, error) {
	text, err := json.Marshal(body)
	if err != nil {
		return apiCall{}, errors.WithStack(err)
	}
	return apiCall{method: http.MethodPost, path: path, body: text, header: map[string]string{"Content-Type": "application/json"}}, nil
}
