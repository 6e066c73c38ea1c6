package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond
	// crashPath begins the paths of requests that crash each replica that begins to run them,
	// after its usual work time.
	crashPath = "/cards/crash/"
	// downTime is how long a crashed replica is away.
	downTime = 2500 * time.Millisecond
)

// replica is a stand-in of a replica: it registers itself, runs requests in its slots and
// answers with a signature.
type replica struct {
	store         *store
	log           *record
	service, zone string
	slots         int
	work          time.Duration
	addr          string

	mu       sync.Mutex
	id       string
	born     int64
	server   *http.Server
	sequence int
	running  chan struct{}
	waiting  atomic.Int32
}

var lastReplica atomic.Int64

// startReplica starts a replica on a free port and keeps it registered.
func startReplica(s *store, log *record, ip, service, zone string, slots int, work time.Duration) (*replica, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	r := &replica{store: s, log: log, service: service, zone: zone, slots: slots, work: work, addr: listener.Addr().String()}
	r.begin(listener)
	go func() {
		for range time.Tick(heartbeat) {
			r.register()
		}
	}()
	return r, nil
}

// begin starts an incarnation with a new id.
func (r *replica) begin(listener net.Listener) {
	r.mu.Lock()
	r.id = fmt.Sprintf("i-%08x", 0x7f3a0000+lastReplica.Add(1))
	r.born, r.sequence = time.Now().UnixMilli(), 0
	r.running = make(chan struct{}, r.slots)
	r.server = &http.Server{Handler: r.handlerOf(r.id)}
	server := r.server
	r.mu.Unlock()
	r.register()
	go func() { _ = server.Serve(listener) }()
}

// register writes the entry of the present incarnation, if there is one.
func (r *replica) register() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.server == nil {
		return
	}
	r.sequence++
	r.store.put("servers/"+r.id, map[string]any{
		"service": r.service, "address": r.addr, "zone": r.zone, "version": "v1", "slots": r.slots,
		"state": "ready", "warmup_left_ms": 0, "sequence": r.sequence, "born": r.born,
	})
}

// crash ends the incarnation id without a word, because of an attempt. Its entry lapses after three heartbeats, and
// the next incarnation starts after downTime.
func (r *replica) crash(id, attempt, path string) {
	r.mu.Lock()
	if r.id != id || r.server == nil {
		r.mu.Unlock()
		return
	}
	server := r.server
	r.server = nil
	r.mu.Unlock()
	r.log.crash(attempt, id, path)
	_ = server.Close()
	time.AfterFunc(3*heartbeat, func() { r.store.remove("servers/" + id) })
	time.AfterFunc(downTime, func() {
		listener, err := net.Listen("tcp", r.addr)
		if err != nil {
			r.log.printf("replica %s not started again: %v", r.addr, err)
			return
		}
		r.begin(listener)
		r.log.printf("replica %s of %s is back", r.addr, r.service)
	})
}

// handlerOf returns the handler of the incarnation id.
func (r *replica) handlerOf(id string) http.Handler {
	queue := int32(4 * r.slots)
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path == "/health" {
			w.Header().Set("X-Instance-Id", id)
			return
		}
		attempt := q.Header.Get("X-Attempt-Id")
		w.Header().Set("X-Attempt-Id", attempt)
		switch expected := q.Header.Get("X-Expected-Instance"); {
		case attempt == "":
			refuse(w, http.StatusBadRequest)
			return
		case expected != "" && expected != id:
			w.Header().Set("X-Instance-Id", id)
			refuse(w, http.StatusMisdirectedRequest)
			return
		case r.waiting.Add(1) > int32(r.slots)+queue:
			r.waiting.Add(-1)
			refuse(w, http.StatusServiceUnavailable)
			return
		}
		defer r.waiting.Add(-1)
		select {
		case r.running <- struct{}{}:
		case <-q.Context().Done():
			return
		}
		defer func() { <-r.running }()
		r.log.run(attempt, id, r.service, q)
		if strings.HasPrefix(q.URL.Path, crashPath) {
			time.Sleep(r.work)
			go r.crash(id, attempt, q.URL.Path)
			<-q.Context().Done()
			return
		}
		time.Sleep(r.work)
		w.Header().Set("X-Response-Stamp", fmt.Sprintf("%s.%s.%d", id, attempt, time.Now().UnixNano()))
		_, _ = w.Write([]byte("answer of " + r.service + " to " + attempt))
	})
}

// refuse answers a request that was not run.
func refuse(w http.ResponseWriter, code int) {
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(code)
}

// currentID returns the id of the present incarnation.
func (r *replica) currentID() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.id
}
