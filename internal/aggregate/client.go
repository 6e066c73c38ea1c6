package aggregate

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/gateway"
)

// Client hands queries to peers. It is safe for concurrent use.
type Client struct {
	options Options
	http    *http.Client

	mu    sync.Mutex
	avoid map[string]time.Time // peers that failed, until when they get no query
}

var _ gateway.Forwarder = (*Client)(nil)

// New returns a client.
func New(options Options) *Client {
	dialer := &net.Dialer{Timeout: acceptWait}
	return &Client{
		options: options.withDefaults(),
		http: &http.Client{Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			DisableCompression:  true,
			MaxIdleConnsPerHost: idleConnections,
			IdleConnTimeout:     idleTimeout,
			WriteBufferSize:     2 << 10,
			ReadBufferSize:      4 << 10,
		}},
		avoid: map[string]time.Time{},
	}
}

// Forward implements gateway.Forwarder. It tries one peer: after that, the time
// is better spent here.
func (c *Client) Forward(ctx context.Context, query *gateway.Forwarded) (*gateway.Outcome, error) {
	peer := c.choose(time.Now())
	if peer == "" {
		return nil, &gateway.NotTakenError{}
	}
	handed := *query
	handed.Used += hop
	outcome, begun, err := c.ask(ctx, peer, &handed)
	switch {
	case err == nil:
		c.options.Scope.Counter("forwarded").Inc(1)
		outcome.Peer = peer
		return outcome, nil
	case ctx.Err() != nil:
		return nil, errors.WithStack(ctx.Err())
	case begun:
		c.fail(peer, query, err)
		return &gateway.Outcome{Peer: peer, Failure: gateway.FailedUnknown, Reason: err.Error()}, nil
	default:
		c.fail(peer, query, err)
		return nil, &gateway.NotTakenError{Err: err}
	}
}

// choose returns a random peer of the first group with one that did not fail
// lately, "" for none.
func (c *Client) choose(now time.Time) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, group := range c.options.Peers() {
		var usable []string
		for _, peer := range group {
			if !now.Before(c.avoid[peer]) {
				usable = append(usable, peer)
			}
		}
		if len(usable) > 0 {
			return usable[rand.IntN(len(usable))]
		}
	}
	return ""
}

func (c *Client) fail(peer string, query *gateway.Forwarded, err error) {
	now := time.Now()
	c.mu.Lock()
	for other, until := range c.avoid {
		if now.After(until) {
			delete(c.avoid, other)
		}
	}
	c.avoid[peer] = now.Add(avoidFor)
	c.mu.Unlock()
	c.options.Scope.Counter("not_forwarded").Inc(1)
	c.options.Logger.WithError(err).WithFields(log.Fields{"peer": peer, "request": query.ID, "avoided_for": avoidFor}).
		Info("peer took no query")
}

// ask offers the query to a peer and has it run there once the peer has said in
// time that it takes it on. begun reports that it may run there.
func (c *Client) ask(ctx context.Context, peer string, query *gateway.Forwarded) (outcome *gateway.Outcome, begun bool, err error) {
	text, err := json.Marshal(query)
	if err != nil {
		return nil, false, errors.WithStack(err)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	offer := newOffer(text, func(err error) { cancel(err) })
	defer offer.close()
	// The transport waits for the end of a request's body even when the request
	// is cancelled.
	defer context.AfterFunc(ctx, offer.close)()
	request, err := http.NewRequestWithContext(offer.trace(ctx), http.MethodPost, "http://"+peer+PathQuery, offer.body)
	if err != nil {
		return nil, false, errors.WithStack(err)
	}
	limit := time.AfterFunc(query.Left+replySlack, func() { cancel(context.DeadlineExceeded) })
	defer limit.Stop()
	response, err := c.http.Do(request)
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, offer.confirmed(), errors.WithStack(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, false, errors.WithStack(&PeerError{Peer: peer, Code: response.StatusCode})
	}
	outcome = &gateway.Outcome{}
	err = json.NewDecoder(io.LimitReader(response.Body, maxReply)).Decode(outcome)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body) // keeps the connection
	}
	return outcome, true, errors.WithStack(err)
}
