package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// historyTime is how long the store keeps changes for watches (`history_s`).
const historyTime = 20 * time.Second

// item is an entry of the store, or the removal of one.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	CreateRev uint64 `json:"create_rev,omitempty"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`

	at time.Time
}

// lease is a lease of the store.
type lease struct {
	ttl time.Duration
	end time.Time
}

// store is a stand-in of the platform's metadata store, as PROTOCOL.md describes it.
type store struct {
	listener net.Listener

	mu        sync.Mutex
	changed   chan struct{} // closed at each change
	revision  uint64
	dropped   uint64 // newest revision that the history lacks
	items     map[string]item
	history   []item
	leases    map[uint64]*lease
	lastLease uint64
}

// newStore starts a store on a free port of a loopback address.
func newStore(ip string) (*store, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	s := &store{listener: listener, changed: make(chan struct{}), revision: 1, items: map[string]item{}, leases: map[uint64]*lease{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /arbutusgauge/kv-key", s.readKey)
	mux.HandleFunc("GET /arbutusgauge/kv-range", s.readRange)
	mux.HandleFunc("GET /arbutusgauge/kv-watch", s.watch)
	mux.HandleFunc("POST /arbutusgauge/kv-txn", s.txn)
	mux.HandleFunc("POST /arbutusgauge/kv-lease", s.grantLease)
	mux.HandleFunc("POST /arbutusgauge/kv-keep/{id}", s.renewLease)
	mux.HandleFunc("DELETE /arbutusgauge/kv-lease-end/{id}", s.endLease)
	go func() { _ = http.Serve(listener, mux) }()
	go s.expireLoop()
	return s, nil
}

func (s *store) addr() string { return s.listener.Addr().String() }

// put writes an entry without a lease, as the operator and the replicas do.
func (s *store) put(key string, value any) {
	text, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(item{Key: key, Value: text})
}

// remove deletes an entry.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; ok {
		s.write(item{Key: key, Tombstone: true})
	}
}

// write makes one change. The caller holds mu.
func (s *store) write(it item) {
	s.revision++
	it.Revision, it.CreateRev, it.at = s.revision, s.revision, time.Now()
	if old, ok := s.items[it.Key]; ok {
		it.CreateRev = old.CreateRev
	}
	if it.Tombstone {
		delete(s.items, it.Key)
	} else {
		s.items[it.Key] = it
	}
	s.history = append(s.history, it)
	for len(s.history) > 0 && time.Since(s.history[0].at) > historyTime {
		s.dropped = s.history[0].Revision
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// expireLoop ends leases whose time is over.
func (s *store) expireLoop() {
	for range time.Tick(50 * time.Millisecond) {
		s.mu.Lock()
		now := time.Now()
		for id, l := range s.leases {
			if now.After(l.end) {
				s.dropLease(id)
			}
		}
		s.mu.Unlock()
	}
}

// dropLease ends a lease and removes its entries. The caller holds mu.
func (s *store) dropLease(id uint64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.write(item{Key: key, Tombstone: true})
		}
	}
}

// reply writes a JSON response.
func reply(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) readKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"store_revision": s.revision})
		return
	}
	reply(w, http.StatusOK, struct {
		item
		StoreRevision uint64 `json:"store_revision"`
	}{it, s.revision})
}

// pageItems is the number of items of a page.
const pageItems = 500

func (s *store) readRange(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("after") {
			found = append(found, it)
		}
	}
	slices.SortFunc(found, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	truncated := len(found) > pageItems
	reply(w, http.StatusOK, map[string]any{
		"items": found[:min(len(found), pageItems)], "truncated": truncated, "store_revision": s.revision,
	})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		gone, changed, revision := after < s.dropped, s.changed, s.revision
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, query.Get("prefix")) {
				events = append(events, it)
			}
		}
		s.mu.Unlock()
		if gone {
			reply(w, http.StatusGone, map[string]any{"store_revision": revision})
			return
		}
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-timeout:
			}
		}
		reply(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
		return
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var form struct {
		Expect []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expect"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"puts"`
		Deletes []string `json:"deletes"`
	}
	if json.NewDecoder(r.Body).Decode(&form) != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, holds := []item{}, true
	for _, e := range form.Expect {
		it, ok := s.items[e.Key]
		if ok {
			current = append(current, it)
		}
		holds = holds && it.Revision == e.Revision
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current, "store_revision": s.revision})
		return
	}
	for _, p := range form.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			reply(w, http.StatusNotFound, map[string]any{"store_revision": s.revision})
			return
		}
	}
	for _, p := range form.Puts {
		s.write(item{Key: p.Key, Value: p.Value, Lease: p.Lease})
	}
	for _, key := range form.Deletes {
		s.write(item{Key: key, Tombstone: true})
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.revision, "store_revision": s.revision})
}

func (s *store) grantLease(w http.ResponseWriter, r *http.Request) {
	var form struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&form) != nil || form.TTL < 1000 {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	ttl := time.Duration(form.TTL) * time.Millisecond
	s.leases[s.lastLease] = &lease{ttl: ttl, end: time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": s.lastLease, "ttl_ms": form.TTL, "store_revision": s.revision})
}

func (s *store) renewLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		reply(w, http.StatusNotFound, map[string]any{"store_revision": s.revision})
		return
	}
	l.end = time.Now().Add(l.ttl)
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": l.ttl.Milliseconds(), "store_revision": s.revision})
}

func (s *store) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		reply(w, http.StatusNotFound, map[string]any{"store_revision": s.revision})
		return
	}
	s.dropLease(id)
	reply(w, http.StatusOK, map[string]any{"store_revision": s.revision})
}
