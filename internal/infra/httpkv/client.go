package httpkv

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/infra"
)

const (
	// maxReplyBytes is the most bytes read of a reply. It leaves room for the
	// largest value in base64.
	maxReplyBytes = 4 << 20
	// maxErrorBodyBytes is the most bytes of a reply that an error keeps.
	maxErrorBodyBytes = 200
)

// Client implements infra.Store and infra.HostList for one address of the
// platform.
type Client struct {
	opts       Options
	baseURL    string
	httpClient *http.Client
}

var (
	_ infra.Store    = (*Client)(nil)
	_ infra.HostList = (*Client)(nil)
)

// New returns a client with the defaults filled in, or *OptionError for an
// option out of range.
func New(opts Options) (*Client, error) {
	if err := opts.Validate(); err != nil {
		return nil, errors.WithStack(err)
	}
	opts = opts.withDefaults()
	return &Client{
		opts:       opts,
		baseURL:    strings.TrimSuffix(opts.URL, "/"),
		httpClient: &http.Client{Transport: opts.Transport},
	}, nil
}

// entryBody is an entry of the store in a reply.
type entryBody struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
}

func (b entryBody) entry() infra.Entry {
	return infra.Entry{Key: b.Key, Value: b.Value, Revision: b.Revision}
}

// putBody is the body of a compare-and-swap; Revision is the expected one.
type putBody struct {
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
}

// Get implements infra.Store.
func (c *Client) Get(ctx context.Context, key string) (infra.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.CallTimeout)
	defer cancel()
	var out entryBody
	status, err := c.call(ctx, http.MethodGet, "/v1/kv/"+escapeKey(key), nil, &out)
	if err != nil || status != http.StatusOK {
		return infra.Entry{}, newUnavailableError("get", status, err)
	}
	return out.entry(), nil
}

// CompareAndSwap implements infra.Store. *TooLargeError means that the value is
// above the platform's size limit and was not written.
func (c *Client) CompareAndSwap(ctx context.Context, key string, revision uint64, value []byte) (infra.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.CallTimeout)
	defer cancel()
	var out entryBody
	status, err := c.call(ctx, http.MethodPut, "/v1/kv/"+escapeKey(key), putBody{Value: value, Revision: revision}, &out)
	switch {
	case err == nil && status == http.StatusOK:
		return out.entry(), nil
	case err == nil && status == http.StatusConflict:
		return infra.Entry{}, errors.WithStack(&infra.ConflictError{Current: out.entry()})
	case status == http.StatusRequestEntityTooLarge:
		return infra.Entry{}, errors.WithStack(&TooLargeError{Key: key, Bytes: len(value)})
	default:
		return infra.Entry{}, newUnavailableError("compare-and-swap", status, err)
	}
}

// Watch implements infra.Store by repeated long polls.
func (c *Client) Watch(ctx context.Context, key string, after uint64) (infra.Entry, error) {
	for {
		var out entryBody
		status, err := c.longPoll(ctx, "/v1/watch/"+escapeKey(key), after, c.opts.WatchWait, &out)
		if err == nil && status == http.StatusOK {
			return out.entry(), nil
		}
		if err != nil || status != http.StatusNoContent {
			return infra.Entry{}, newUnavailableError("watch", status, err)
		}
	}
}

// Hosts implements infra.HostList. When maxWait passes without a change, it
// returns revision after and no hosts.
func (c *Client) Hosts(ctx context.Context, after uint64, maxWait time.Duration) (infra.Hosts, error) {
	var out infra.Hosts
	status, err := c.longPoll(ctx, "/v1/hosts", after, maxWait, &out)
	switch {
	case err == nil && status == http.StatusOK:
		return out, nil
	case err == nil && status == http.StatusNoContent:
		return infra.Hosts{Revision: after}, nil
	default:
		return infra.Hosts{}, newUnavailableError("hosts", status, err)
	}
}

// longPoll makes one call that the platform answers as soon as there is a
// revision above after, or with status 204 when wait has passed.
func (c *Client) longPoll(ctx context.Context, path string, after uint64, wait time.Duration, out any) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+c.opts.WatchGrace)
	defer cancel()
	query := url.Values{"after": {strconv.FormatUint(after, 10)}, "wait": {wait.String()}}
	return c.call(ctx, http.MethodGet, path+"?"+query.Encode(), nil, out)
}

// call makes one HTTP call and returns the status. For 200 and 409 it decodes
// the reply's body into out. The status is 0 when the call failed before a whole
// reply was read. Statuses other than 200, 204 and 409 give a *StatusError.
func (c *Client) call(ctx context.Context, method, path string, body, out any) (int, error) {
	var payload io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return 0, errors.WithStack(err)
		}
		payload = bytes.NewReader(text)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, payload)
	if err != nil {
		return 0, errors.WithStack(err)
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return 0, errors.WithStack(err)
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return 0, errors.WithStack(err)
	}
	switch resp.StatusCode {
	case http.StatusOK, http.StatusConflict:
		return resp.StatusCode, errors.WithStack(json.Unmarshal(text, out))
	case http.StatusNoContent:
		return resp.StatusCode, nil
	default:
		return resp.StatusCode, &StatusError{Status: resp.StatusCode, Body: string(text[:min(len(text), maxErrorBodyBytes)])}
	}
}

// escapeKey escapes a key for a URL path and keeps its slashes as separators.
func escapeKey(key string) string {
	parts := strings.Split(key, "/")
	for i, part := range parts {
		parts[i] = url.PathEscape(part)
	}
	return strings.Join(parts, "/")
}

// newUnavailableError returns an *infra.UnavailableError caused by err or, if
// that is nil, by the status.
func newUnavailableError(op string, status int, err error) error {
	if err == nil {
		err = &StatusError{Status: status}
	}
	return errors.WithStack(&infra.UnavailableError{Op: op, Err: err})
}
