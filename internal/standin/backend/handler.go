package backend

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"

	"github.com/arbutusgauge/arbutusgauge/internal/backend/httpjson"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// maxBodyBytes bounds the body of a batch or a cancel call.
const maxBodyBytes = 16 << 20

// handler serves the calls of the JSON protocol. Calls wait while the replica is
// frozen, and get no answer on a silenced connection.
func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+httpjson.PathSubrequests, s.serveBatch)
	mux.HandleFunc("POST "+httpjson.PathCancel, s.serveCancel)
	mux.HandleFunc("GET "+httpjson.PathStatus, s.serveStatus)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.waitUntilUnfrozen(r.Context())
		if conn := connOf(r); conn.silenced.Load() {
			holdUnanswered(r)
		}
		mux.ServeHTTP(w, r)
	})
}

// connOf returns the connection that a request came in on.
func connOf(r *http.Request) *trackedConn { return r.Context().Value(connKey{}).(*trackedConn) }

// holdUnanswered silences the connection, keeps it open until the caller closes it,
// and then ends the handler without an answer.
func holdUnanswered(r *http.Request) {
	conn := connOf(r)
	conn.silenced.Store(true)
	select {
	case <-r.Context().Done():
	case <-conn.closed:
	}
	panic(http.ErrAbortHandler)
}

// waitUntilUnfrozen returns once the fault Freeze is not set. It ends the handler if
// ctx is done before.
func (s *Server) waitUntilUnfrozen(ctx context.Context) {
	s.mu.Lock()
	unfrozen := s.unfrozen
	s.mu.Unlock()
	select {
	case <-unfrozen:
	case <-ctx.Done():
		panic(http.ErrAbortHandler)
	}
}

// serveBatch executes a batch of sub-requests, with the faults that apply to batches.
func (s *Server) serveBatch(w http.ResponseWriter, r *http.Request) {
	var batch httpjson.BatchForm
	body := http.MaxBytesReader(w, r.Body, maxBodyBytes)
	if err := json.NewDecoder(body).Decode(&batch); err != nil {
		s.refuseRequest(w, wire.ReasonBadRequest)
		return
	}
	if s.drawFault(func(f *Faults) float64 { return f.ResetBefore }) {
		connOf(r).reset()
		panic(http.ErrAbortHandler)
	}
	answer := httpjson.RepliesForm{Replies: s.executeBatch(r.Context(), batch.Subs)}
	if s.drawFault(func(f *Faults) float64 { return f.DropReplies }) {
		holdUnanswered(r)
	}
	if s.drawFault(func(f *Faults) float64 { return f.ResetAfter }) {
		connOf(r).reset()
		panic(http.ErrAbortHandler)
	}
	if s.drawFault(func(f *Faults) float64 { return f.Duplicate }) {
		answer.Replies = append(answer.Replies, answer.Replies...)
	}
	if len(answer.Replies) > 0 && s.drawFault(func(f *Faults) float64 { return f.Omit }) {
		answer.Replies = answer.Replies[1:]
	}
	s.mu.Lock()
	answer.Status = s.currentStatus()
	s.mu.Unlock()
	if s.drawFault(func(f *Faults) float64 { return f.ResetMiddle }) {
		s.sendHalfThenReset(w, r, &answer)
	}
	writeJSON(w, http.StatusOK, &answer)
}

// sendHalfThenReset sends half of the response, resets the connection and ends the
// handler.
func (s *Server) sendHalfThenReset(w http.ResponseWriter, r *http.Request, answer *httpjson.RepliesForm) {
	body, _ := json.Marshal(answer)
	_, _ = w.Write(body[:len(body)/2])
	_ = http.NewResponseController(w).Flush()
	connOf(r).reset()
	panic(http.ErrAbortHandler)
}

// executeBatch executes sub-requests concurrently. The replies are in their order.
func (s *Server) executeBatch(ctx context.Context, subs []httpjson.SubForm) []httpjson.ReplyForm {
	replies := make([]httpjson.ReplyForm, len(subs))
	if len(subs) == 1 {
		replies[0] = s.execute(ctx, &subs[0])
		return replies
	}
	var group sync.WaitGroup
	for i := range subs {
		group.Go(func() { replies[i] = s.execute(ctx, &subs[i]) })
	}
	group.Wait()
	return replies
}

// refuseRequest answers a whole call with 503 and the reason why nothing was run.
func (s *Server) refuseRequest(w http.ResponseWriter, reason wire.Reason) {
	s.mu.Lock()
	status := s.currentStatus()
	s.mu.Unlock()
	writeJSON(w, http.StatusServiceUnavailable, &httpjson.ErrorForm{
		Outcome: wire.NotRun.String(), Reason: string(reason), Status: status,
	})
}

func (s *Server) serveCancel(w http.ResponseWriter, r *http.Request) {
	var form httpjson.CancelForm
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&form); err != nil {
		s.refuseRequest(w, wire.ReasonBadRequest)
		return
	}
	s.mu.Lock()
	for _, id := range form.IDs {
		if cancel, ok := s.running[id]; ok {
			cancel()
		}
	}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, struct{}{})
}

func (s *Server) serveStatus(w http.ResponseWriter, _ *http.Request) {
	reported := s.reportedStatus()
	writeJSON(w, http.StatusOK, &reported)
}

func writeJSON(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	// A failed write only means that the caller has closed the connection.
	_ = json.NewEncoder(w).Encode(body)
}
