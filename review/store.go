package review

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

// storeLatency is the time that the store takes for an answer.
const storeLatency = 4 * time.Millisecond

// Item is an entry of the store, or the removal of one.
type Item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	CreateRev uint64 `json:"create_rev,omitempty"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// lease is a lease of the store.
type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Store is a stand-in of the platform's store. Its pages are as small as
// those of the sites.
type Store struct {
	PageSize int

	listener net.Listener
	mu       sync.Mutex
	changed  *sync.Cond
	revision uint64
	items    map[string]Item
	history  []Item
	leases   map[uint64]lease
	// afterPage, if set, is called after a page of a range was read, without a lock.
	afterPage func(prefix, after string, truncated bool)
}

// NewStore starts a store on an address of the loopback network.
func NewStore(addr string) (*Store, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &Store{PageSize: 50, listener: listener, revision: 1, items: map[string]Item{}, leases: map[uint64]lease{}}
	s.changed = sync.NewCond(&s.mu)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /arbutusgauge/kv-key", s.readKey)
	mux.HandleFunc("GET /arbutusgauge/kv-range", s.readRange)
	mux.HandleFunc("GET /arbutusgauge/kv-watch", s.watch)
	mux.HandleFunc("POST /arbutusgauge/kv-txn", s.txn)
	mux.HandleFunc("POST /arbutusgauge/kv-lease", s.grantLease)
	mux.HandleFunc("POST /arbutusgauge/kv-keep/{id}", s.renewLease)
	mux.HandleFunc("DELETE /arbutusgauge/kv-lease-end/{id}", s.endLease)
	go func() { _ = http.Serve(listener, delayed(mux)) }()
	go s.expireLeases()
	return s, nil
}

// delayed adds the store's latency to each call.
func delayed(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeLatency)
		w.Header().Set("Store-Era", "1")
		next.ServeHTTP(w, r)
	})
}

// Addr returns the address of the store.
func (s *Store) Addr() string { return s.listener.Addr().String() }

// Put writes an entry as JSON, as the operator and the replicas do, and returns the time of
// the acknowledgement.
func (s *Store) Put(key string, value any) time.Time {
	text, _ := json.Marshal(value) // only maps of plain values are written
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, text, 0)
	return time.Now()
}

// SetAfterPage sets a function that is called each time a page of a range was read, before it
// is answered.
func (s *Store) SetAfterPage(f func(prefix, after string, truncated bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.afterPage = f
}

// Values returns the values of all entries with a prefix, as text by key.
func (s *Store) Values(prefix string) map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	values := map[string]string{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) {
			values[key] = string(it.Value)
		}
	}
	return values
}

func (s *Store) write(key string, value []byte, leaseID uint64) {
	s.revision++
	it := Item{Key: key, Value: value, Revision: s.revision, CreateRev: s.revision, Lease: leaseID}
	if old, ok := s.items[key]; ok {
		it.CreateRev = old.CreateRev
	}
	s.items[key] = it
	s.history = append(s.history, it)
	s.changed.Broadcast()
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, Item{Key: key, Revision: s.revision, Tombstone: true})
	s.changed.Broadcast()
}

func (s *Store) readKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, it)
}

func (s *Store) readRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	items := []Item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, it)
		}
	}
	slices.SortFunc(items, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	truncated := len(items) > s.PageSize
	if truncated {
		items = items[:s.PageSize]
	}
	revision, afterPage := s.revision, s.afterPage
	s.mu.Unlock()
	if afterPage != nil {
		afterPage(prefix, after, truncated)
	}
	writeJSON(w, map[string]any{"items": items, "truncated": truncated, "store_revision": revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.Now().Add(time.Duration(wait) * time.Millisecond)
	timer := time.AfterFunc(time.Duration(wait)*time.Millisecond, s.changed.Broadcast)
	defer timer.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		events := []Item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("prefix")) {
				events = append(events, it)
			}
		}
		if len(events) > 0 || !time.Now().Before(end) {
			writeJSON(w, map[string]any{"events": events, "store_revision": s.revision})
			return
		}
		s.changed.Wait()
	}
}

// txnForm is a transaction of the system.
type txnForm struct {
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

func (s *Store) txn(w http.ResponseWriter, r *http.Request) {
	var form txnForm
	if json.NewDecoder(r.Body).Decode(&form) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range form.Expect {
		if s.items[e.Key].Revision != e.Revision {
			w.WriteHeader(http.StatusPreconditionFailed)
			writeJSON(w, map[string]any{"items": []Item{s.items[e.Key]}})
			return
		}
	}
	for _, p := range form.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, p := range form.Puts {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, key := range form.Deletes {
		s.remove(key)
	}
	writeJSON(w, map[string]any{"revision": s.revision})
}

func (s *Store) grantLease(w http.ResponseWriter, r *http.Request) {
	var form struct {
		TTLMillis int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&form) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl := time.Duration(form.TTLMillis) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	id := uint64(len(s.leases)+1)<<20 + s.revision
	s.leases[id] = lease{ttl: ttl, expires: time.Now().Add(ttl)}
	writeJSON(w, map[string]any{"lease": id, "ttl_ms": form.TTLMillis})
}

func (s *Store) renewLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.expires = time.Now().Add(l.ttl)
	s.leases[id] = l
	writeJSON(w, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *Store) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropLease(id)
	writeJSON(w, map[string]any{})
}

// dropLease ends a lease and removes its entries. The caller holds mu.
func (s *Store) dropLease(id uint64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.remove(key)
		}
	}
}

// expireLeases ends leases that were not renewed.
func (s *Store) expireLeases() {
	for range time.Tick(100 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.expires) {
				s.dropLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
