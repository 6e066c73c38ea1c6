package aggregate

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/gateway"
	"github.com/arbutusgauge/arbutusgauge/internal/readlimit"
)

// Client forwards queries to peers. It is safe for concurrent use.
type Client struct {
	options Options
	http    *http.Client

	mu         sync.Mutex
	avoidUntil map[string]time.Time // end of avoidDuration, by the address of a peer that failed
}

var _ gateway.Forwarder = (*Client)(nil)

// New returns a client without connections.
func New(options Options) *Client {
	options = options.withDefaults()
	dialer := &net.Dialer{Timeout: options.AcceptTimeout}
	return &Client{
		options: options,
		http: &http.Client{Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			DisableCompression:  true,
			MaxIdleConnsPerHost: maxIdleConnections,
			IdleConnTimeout:     idleConnectionTimeout,
			WriteBufferSize:     2 << 10,
			ReadBufferSize:      4 << 10,

			MaxResponseHeaderBytes: maxReplyHeadBytes,
		}},
		avoidUntil: map[string]time.Time{},
	}
}

// Forward implements gateway.Forwarder. It offers the query to one peer only: a
// second offer would take time that this host needs to answer the query itself.
// Once the query may run at the peer, a failure is a ForwardOutcome with
// FailedUnknown and not an error, unless ctx has ended.
func (c *Client) Forward(ctx context.Context, query *gateway.ForwardedQuery) (*gateway.ForwardOutcome, error) {
	peer := c.choosePeer(time.Now())
	if peer.Addr == "" {
		return nil, &gateway.NotForwardedError{}
	}
	return c.offerTo(ctx, peer, query)
}

// Offer offers a query to those of the peers that are not avoided, one after the other and to
// no more than maxOffers, until one runs it. Its results are those of Forward.
func (c *Client) Offer(ctx context.Context, query *gateway.ForwardedQuery, peers []Peer, maxOffers int) (*gateway.ForwardOutcome, error) {
	began := time.Now()
	var failed error = &gateway.NotForwardedError{}
	for _, peer := range c.notAvoided(peers, began) {
		if maxOffers == 0 {
			break
		}
		maxOffers--
		delayed := *query
		waited := time.Since(began)
		delayed.TimeLeft, delayed.Elapsed = query.TimeLeft-waited, query.Elapsed+waited
		if delayed.TimeLeft <= 0 {
			break
		}
		outcome, err := c.offerTo(ctx, peer, &delayed)
		var notForwarded *gateway.NotForwardedError
		if !errors.As(err, &notForwarded) {
			return outcome, err
		}
		failed = err
	}
	return nil, failed
}

// offerTo offers a query to a peer, with the results of Forward. A peer that took the query but
// reaches too few replicas has not run it.
func (c *Client) offerTo(ctx context.Context, peer Peer, query *gateway.ForwardedQuery) (*gateway.ForwardOutcome, error) {
	forwarded := *query
	forwarded.Elapsed += hopTime + 2*peer.Delay
	outcome, mayRun, err := c.offerQuery(ctx, peer.Addr, &forwarded)
	if err == nil && outcome.Unreachable {
		err, mayRun = errors.WithStack(&UnreachableError{Peer: peer.Addr}), false
	}
	switch {
	case err == nil:
		c.options.Scope.Counter("forwarded").Inc(1)
		outcome.Peer = peer.Addr
		return outcome, nil
	case ctx.Err() != nil:
		return nil, errors.WithStack(ctx.Err())
	case mayRun:
		c.avoidPeer(peer.Addr, query, err)
		return &gateway.ForwardOutcome{Peer: peer.Addr, Failure: gateway.FailedUnknown, Reason: err.Error()}, nil
	default:
		c.avoidPeer(peer.Addr, query, err)
		return nil, &gateway.NotForwardedError{Err: err}
	}
}

// choosePeer returns a random peer out of the first group with a peer that is
// not avoided; its Addr is empty if there is none.
func (c *Client) choosePeer(now time.Time) Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	if usable := c.usablePeers(now); len(usable) > 0 {
		return usable[rand.IntN(len(usable))]
	}
	return Peer{}
}

// avoidPeer avoids a peer for avoidDuration, and logs and counts the failure.
func (c *Client) avoidPeer(peer string, query *gateway.ForwardedQuery, err error) {
	now := time.Now()
	c.mu.Lock()
	for other, until := range c.avoidUntil {
		if now.After(until) {
			delete(c.avoidUntil, other)
		}
	}
	c.avoidUntil[peer] = now.Add(avoidDuration)
	c.mu.Unlock()
	c.options.Scope.Counter("not_forwarded").Inc(1)
	c.options.Logger.WithError(err).WithFields(log.Fields{"peer": peer, "request": query.ID, "avoided_for": avoidDuration}).
		Info("peer took no query")
}

// offerQuery offers a query to a peer, confirms the offer if the peer accepts it
// in time, and returns the outcome. mayRun reports that the query may run, or has
// run, at the peer.
func (c *Client) offerQuery(ctx context.Context, peer string, query *gateway.ForwardedQuery) (outcome *gateway.ForwardOutcome, mayRun bool, err error) {
	encoded, err := json.Marshal(query)
	if err != nil {
		return nil, false, errors.WithStack(err)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	offer := newOffer(encoded, c.options.AcceptTimeout, func(err error) { cancel(err) })
	defer offer.close()
	// The transport waits for the end of the request body even if the request is
	// cancelled, so the body is closed then.
	defer context.AfterFunc(ctx, offer.close)()
	request, err := http.NewRequestWithContext(offer.withTrace(ctx), http.MethodPost, "http://"+peer+PathQuery, offer.body)
	if err != nil {
		return nil, false, errors.WithStack(err)
	}
	deadlineTimer := time.AfterFunc(query.TimeLeft+replyGrace, func() { cancel(context.DeadlineExceeded) })
	defer deadlineTimer.Stop()
	response, err := c.http.Do(request)
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, offer.isConfirmed(), errors.WithStack(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, false, errors.WithStack(&PeerError{Peer: peer, Code: response.StatusCode})
	}
	body, err := readlimit.ReadAll(response.Body, response.ContentLength, readlimit.Limits{
		What: "reply of a peer", Max: maxReplyBytes, Budget: c.options.Budget,
	})
	if err != nil {
		return nil, true, err
	}
	outcome, err = decodeOutcome(peer, body, query.Single)
	return outcome, true, err
}

// decodeOutcome decodes the reply of a peer. *PeerError reports an outcome that is
// neither a failure nor an answer: a merged answer has a part, any other one a response.
func decodeOutcome(peer string, body []byte, single bool) (*gateway.ForwardOutcome, error) {
	outcome := &gateway.ForwardOutcome{}
	if err := json.Unmarshal(body, outcome); err != nil {
		return nil, errors.WithStack(err)
	}
	answered := len(outcome.Proofs) > 0 && outcome.MissingShards >= 0
	if single {
		answered = len(outcome.Single) > 0
	}
	if outcome.Failure == "" && !answered {
		return nil, errors.WithStack(&PeerError{Peer: peer, Code: http.StatusOK})
	}
	return outcome, nil
}
