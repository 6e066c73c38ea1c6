package platform

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/infra"
)

const (
	// maxValueBytes is the platform's limit on the size of one value.
	maxValueBytes = 1 << 20
	// maxBodyBytes bounds a request body, with room for the largest value in
	// base64.
	maxBodyBytes = 2 << 20
	// maxPollWait bounds the wait of one long poll.
	maxPollWait = 60 * time.Second
)

// Server is the stand-in platform. It implements http.Handler and is safe for
// concurrent use.
type Server struct {
	mux   *http.ServeMux
	store *store
	hosts *hostList

	mu            sync.Mutex
	faults        Faults
	countersSince time.Time

	reads, writes, conflicts, watches, hostLists, refused, lostReplies atomic.Uint64
	waitingPolls                                                       atomic.Int64
}

// NewServer returns a stand-in platform with an empty store and an empty host list.
func NewServer() *Server {
	s := &Server{mux: http.NewServeMux(), store: newStore(), hosts: newHostList(), countersSince: time.Now()}
	s.mux.HandleFunc("GET /v1/kv/{key...}", s.withReadFaults(s.get))
	s.mux.HandleFunc("PUT /v1/kv/{key...}", s.put)
	s.mux.HandleFunc("GET /v1/watch/{key...}", s.withReadFaults(s.watch))
	s.mux.HandleFunc("GET /v1/hosts", s.withReadFaults(s.listHosts))
	s.mux.HandleFunc("GET /admin/faults", s.getFaults)
	s.mux.HandleFunc("PUT /admin/faults", s.putFaults)
	s.mux.HandleFunc("PUT /admin/hosts", s.putHosts)
	s.mux.HandleFunc("POST /admin/hosts", s.postHost)
	s.mux.HandleFunc("DELETE /admin/hosts", s.deleteHost)
	s.mux.HandleFunc("GET /admin/counters", s.getCounters)
	s.mux.HandleFunc("DELETE /admin/counters", s.resetCounters)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetFaults replaces the injected faults. Down also ends long polls that are in
// progress, once they have an answer.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the faults in force.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetHosts replaces the host list. The change becomes visible after the lag
// that is in force now.
func (s *Server) SetHosts(rows []infra.ListedHost) {
	s.hosts.update(s.Faults().HostListLag.D(), func([]infra.ListedHost) []infra.ListedHost { return rows })
}

// Counters returns the counters since the last reset.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	seconds := time.Since(s.countersSince).Seconds()
	s.mu.Unlock()
	c := Counters{
		Reads: s.reads.Load(), Writes: s.writes.Load(), Conflicts: s.conflicts.Load(),
		Watches: s.watches.Load(), HostLists: s.hostLists.Load(), Refused: s.refused.Load(),
		LostReplies: s.lostReplies.Load(), WaitingPolls: s.waitingPolls.Load(), Seconds: seconds,
	}
	if seconds > 0 {
		c.ReadRate = float64(c.Reads+c.Watches+c.HostLists) / seconds
		c.WriteRate = float64(c.Writes) / seconds
	}
	return c
}

// withReadFaults wraps the handler of a read with the faults Delay and Down.
func (s *Server) withReadFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !sleepOrGone(r, s.Faults().Delay.D()) {
			return
		}
		if s.refuseIfDown() {
			dropConnection()
		}
		next(w, r)
	}
}

// sleepOrGone waits for d and returns true, or returns false if the caller goes
// away first.
func sleepOrGone(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// dropConnection ends a handler and closes the connection without a reply:
// net/http does so on this panic and doesn't log it.
func dropConnection() { panic(http.ErrAbortHandler) }

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	s.reads.Add(1)
	entry, _ := s.store.get(r.PathValue("key"))
	writeJSON(w, http.StatusOK, entry)
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	s.watches.Add(1)
	key := r.PathValue("key")
	s.longPoll(w, r, func(after uint64) (any, bool, <-chan struct{}) {
		entry, changed := s.store.get(key)
		return entry, entry.Revision > after, changed
	})
}

func (s *Server) listHosts(w http.ResponseWriter, r *http.Request) {
	s.hostLists.Add(1)
	s.longPoll(w, r, func(after uint64) (any, bool, <-chan struct{}) {
		hosts, changed := s.hosts.get()
		return hosts, hosts.Revision > after, changed
	})
}

// longPoll answers 200 with the value once its revision is above the query
// parameter after, or 204 when the query parameter wait (at most maxPollWait)
// has passed. read returns the value, whether it is above after, and a channel
// that is closed when the value may have changed.
func (s *Server) longPoll(w http.ResponseWriter, r *http.Request, read func(after uint64) (any, bool, <-chan struct{})) {
	after, err := strconv.ParseUint(queryParam(r, "after", "0"), 10, 64)
	if err != nil {
		http.Error(w, "after is not a revision", http.StatusBadRequest)
		return
	}
	requestedWait, err := time.ParseDuration(queryParam(r, "wait", "0s"))
	if err != nil {
		http.Error(w, "wait is not a duration", http.StatusBadRequest)
		return
	}
	s.waitingPolls.Add(1)
	defer s.waitingPolls.Add(-1)
	timer := time.NewTimer(min(requestedWait, maxPollWait))
	defer timer.Stop()
	for {
		value, newer, changed := read(after)
		if newer {
			s.finishLongPoll(w, http.StatusOK, value)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			s.finishLongPoll(w, http.StatusNoContent, nil)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// finishLongPoll answers a long poll, or drops the connection if the fault Down
// was set during the wait.
func (s *Server) finishLongPoll(w http.ResponseWriter, status int, value any) {
	if s.refuseIfDown() {
		dropConnection()
	}
	writeJSON(w, status, value)
}

// queryParam returns the query parameter, or fallback if it is empty or absent.
func queryParam(r *http.Request, name, fallback string) string {
	if v := r.URL.Query().Get(name); v != "" {
		return v
	}
	return fallback
}

// writeJSON sends the status and the body, or the status alone if body is nil.
func writeJSON(w http.ResponseWriter, status int, body any) {
	if body == nil {
		w.WriteHeader(status)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write only means that the caller has closed the connection.
	_ = json.NewEncoder(w).Encode(body)
}

// decodeBody decodes the JSON body into target. On failure it answers 413 for a
// body above maxBodyBytes or else 400, and returns false.
func decodeBody(w http.ResponseWriter, r *http.Request, target any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(target)
	if err == nil {
		return true
	}
	status := http.StatusBadRequest
	if strings.Contains(err.Error(), "request body too large") {
		status = http.StatusRequestEntityTooLarge
	}
	http.Error(w, err.Error(), status)
	return false
}
