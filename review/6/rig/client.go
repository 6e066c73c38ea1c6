package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// callerHost is the host name of all routes.
const callerHost = "pupu76.example"

// answer is the answer to an attempt; code is 0 if there was none.
type answer struct {
	attempt string
	code    int
	header  http.Header
	body    string
}

// newAttempt returns the id of an attempt.
func newAttempt() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// newTransport returns a transport whose connections are used again.
func newTransport() *http.Transport {
	return &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}
}

// send sends one attempt to a host. A key, if not empty, is the caller's.
func send(log *record, transport *http.Transport, h *host, method, path, key string, deadline time.Duration) answer {
	a := answer{attempt: newAttempt()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+h.front+path, nil)
	if err != nil {
		return a
	}
	request.Host = callerHost
	request.Header.Set("X-Attempt-Id", a.attempt)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	log.printf("send   attempt=%s host=%s path=%s", a.attempt, h.name, path)
	response, err := transport.RoundTrip(request)
	if err != nil {
		log.printf("answer attempt=%s none: %v", a.attempt, err)
		return a
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		log.printf("answer attempt=%s broken off: %v", a.attempt, err)
		return a
	}
	a.code, a.header, a.body = response.StatusCode, response.Header, string(body)
	log.printf("answer attempt=%s status=%d retry_after=%s", a.attempt, a.code, response.Header.Get("Retry-After"))
	return a
}
