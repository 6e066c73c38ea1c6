package backend

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"

	"github.com/arbutusgauge/arbutusgauge/internal/backend/httpjson"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// maxBatchBody bounds a request body.
const maxBatchBody = 16 << 20 // bytes

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+httpjson.PathSubrequests, s.serveBatch)
	mux.HandleFunc("POST "+httpjson.PathCancel, s.serveCancel)
	mux.HandleFunc("GET "+httpjson.PathStatus, s.serveStatus)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.waitWhileFrozen(r.Context())
		if l := linkOf(r); l.silent.Load() {
			abandon(r)
		}
		mux.ServeHTTP(w, r)
	})
}

func linkOf(r *http.Request) *link { return r.Context().Value(linkKey{}).(*link) }

// abandon keeps the connection open without an answer until the client closes
// it, and ends the call.
func abandon(r *http.Request) {
	l := linkOf(r)
	l.silent.Store(true)
	select {
	case <-r.Context().Done():
	case <-l.done:
	}
	panic(http.ErrAbortHandler)
}

func (s *Server) waitWhileFrozen(ctx context.Context) {
	s.mu.Lock()
	thawed := s.thawed
	s.mu.Unlock()
	select {
	case <-thawed:
	case <-ctx.Done():
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) serveBatch(w http.ResponseWriter, r *http.Request) {
	var batch httpjson.BatchForm
	body := http.MaxBytesReader(w, r.Body, maxBatchBody)
	if err := json.NewDecoder(body).Decode(&batch); err != nil {
		s.refuse(w, wire.ReasonBadRequest)
		return
	}
	if s.hit(func(f *Faults) float64 { return f.ResetBefore }) {
		linkOf(r).reset()
		panic(http.ErrAbortHandler)
	}
	answer := httpjson.RepliesForm{Replies: s.runAll(r.Context(), batch.Subs)}
	if s.hit(func(f *Faults) float64 { return f.DropReplies }) {
		abandon(r)
	}
	if s.hit(func(f *Faults) float64 { return f.ResetAfter }) {
		linkOf(r).reset()
		panic(http.ErrAbortHandler)
	}
	if s.hit(func(f *Faults) float64 { return f.Duplicate }) {
		answer.Replies = append(answer.Replies, answer.Replies...)
	}
	if len(answer.Replies) > 0 && s.hit(func(f *Faults) float64 { return f.Omit }) {
		answer.Replies = answer.Replies[1:]
	}
	s.mu.Lock()
	answer.Status = s.statusNow()
	s.mu.Unlock()
	if s.hit(func(f *Faults) float64 { return f.ResetMiddle }) {
		s.resetMiddle(w, r, &answer)
	}
	writeJSON(w, http.StatusOK, &answer)
}

// resetMiddle sends half of the response and resets the connection.
func (s *Server) resetMiddle(w http.ResponseWriter, r *http.Request, answer *httpjson.RepliesForm) {
	body, _ := json.Marshal(answer)
	_, _ = w.Write(body[:len(body)/2])
	_ = http.NewResponseController(w).Flush()
	linkOf(r).reset()
	panic(http.ErrAbortHandler)
}

func (s *Server) runAll(ctx context.Context, subs []httpjson.SubForm) []httpjson.ReplyForm {
	replies := make([]httpjson.ReplyForm, len(subs))
	if len(subs) == 1 {
		replies[0] = s.run(ctx, &subs[0])
		return replies
	}
	var wait sync.WaitGroup
	for i := range subs {
		wait.Go(func() { replies[i] = s.run(ctx, &subs[i]) })
	}
	wait.Wait()
	return replies
}

func (s *Server) refuse(w http.ResponseWriter, reason wire.Reason) {
	s.mu.Lock()
	status := s.statusNow()
	s.mu.Unlock()
	writeJSON(w, http.StatusServiceUnavailable, &httpjson.ErrorForm{
		Outcome: wire.NotRun.String(), Reason: string(reason), Status: status,
	})
}

func (s *Server) serveCancel(w http.ResponseWriter, r *http.Request) {
	var form httpjson.CancelForm
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBatchBody)).Decode(&form); err != nil {
		s.refuse(w, wire.ReasonBadRequest)
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
	stated := s.statusStated()
	writeJSON(w, http.StatusOK, &stated)
}

func writeJSON(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	// A failed write means that the client is gone.
	_ = json.NewEncoder(w).Encode(body)
}
