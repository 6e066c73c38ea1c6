package platform

import (
	"net/http"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/infra"
)

// put serves a compare-and-swap under the faults Delay, Down and LoseReplies. A
// revision that does not match is answered with 409 and the current entry.
func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	var body PutRequest
	if !decodeBody(w, r, &body) {
		return
	}
	if len(body.Value) > maxValueBytes {
		http.Error(w, "value exceeds 1 MB", http.StatusRequestEntityTooLarge)
		return
	}
	// The delay ignores the caller's context: a write still takes effect after
	// its caller has given up, as it would in a slow store.
	time.Sleep(s.Faults().Delay.D())
	if s.refuseIfDown() {
		dropConnection()
	}
	s.writes.Add(1)
	entry, swapped := s.store.compareAndSwap(r.PathValue("key"), body.Revision, body.Value)
	if s.consumeLostReply() {
		dropConnection()
	}
	if !swapped {
		s.conflicts.Add(1)
		writeJSON(w, http.StatusConflict, entry)
		return
	}
	writeJSON(w, http.StatusOK, entry)
}

// refuseIfDown reports whether the fault Down is set, and counts the call as
// refused if so. The handler then has to call dropConnection.
func (s *Server) refuseIfDown() bool {
	if !s.Faults().Down {
		return false
	}
	s.refused.Add(1)
	return true
}

// consumeLostReply reports whether the reply to a write is to be lost. It takes
// one off LoseReplies and counts it if so.
func (s *Server) consumeLostReply() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseReplies <= 0 {
		return false
	}
	s.faults.LoseReplies--
	s.lostReplies.Add(1)
	return true
}

func (s *Server) getFaults(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Faults())
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var body Faults
	if decodeBody(w, r, &body) {
		s.SetFaults(body)
		writeJSON(w, http.StatusOK, body)
	}
}

func (s *Server) putHosts(w http.ResponseWriter, r *http.Request) {
	var body HostsRequest
	if decodeBody(w, r, &body) {
		s.SetHosts(body.Hosts)
		writeJSON(w, http.StatusNoContent, nil)
	}
}

// postHost adds the host, or replaces the listed host with the same address.
func (s *Server) postHost(w http.ResponseWriter, r *http.Request) {
	var body infra.ListedHost
	if !decodeBody(w, r, &body) {
		return
	}
	s.hosts.update(s.Faults().HostListLag.D(), func(rows []infra.ListedHost) []infra.ListedHost {
		for i := range rows {
			if rows[i].Addr == body.Addr {
				rows[i] = body
				return rows
			}
		}
		return append(rows, body)
	})
	writeJSON(w, http.StatusNoContent, nil)
}

func (s *Server) deleteHost(w http.ResponseWriter, r *http.Request) {
	addr := r.URL.Query().Get("addr")
	s.hosts.update(s.Faults().HostListLag.D(), func(rows []infra.ListedHost) []infra.ListedHost {
		kept := rows[:0]
		for _, row := range rows {
			if row.Addr != addr {
				kept = append(kept, row)
			}
		}
		return kept
	})
	writeJSON(w, http.StatusNoContent, nil)
}

func (s *Server) getCounters(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Counters())
}

func (s *Server) resetCounters(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	s.countersSince = time.Now()
	s.mu.Unlock()
	s.reads.Store(0)
	s.writes.Store(0)
	s.conflicts.Store(0)
	s.watches.Store(0)
	s.hostLists.Store(0)
	s.refused.Store(0)
	s.lostReplies.Store(0)
	writeJSON(w, http.StatusNoContent, nil)
}
