package backend

import (
	"context"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/backend/httpjson"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// run executes one sub-request or refuses it before running it.
func (s *Server) run(ctx context.Context, form *httpjson.SubForm) httpjson.ReplyForm {
	received := time.Now()
	reply := httpjson.ReplyForm{ID: form.ID}
	ctx, cancel := context.WithDeadline(ctx, received.Add(time.Duration(form.TimeLeftUS)*time.Microsecond))
	defer cancel()
	snapshot, took, reason := s.begin(form, cancel)
	if reason != wire.ReasonNone {
		reply.Outcome, reply.Reason = wire.NotRun.String(), string(reason)
		return reply
	}
	number := s.record.begin(Execution{
		ID: form.ID, Query: form.Query, Search: form.Search, Snapshot: snapshot,
		Repeatable: form.Repeatable, Payload: form.Payload, Start: received,
	})
	timer := time.NewTimer(took)
	defer timer.Stop()
	stopped := false
	select {
	case <-timer.C:
	case <-ctx.Done():
		stopped = true
	}
	s.record.end(number, time.Now(), stopped)
	s.finish(form)
	if stopped {
		reply.Outcome, reply.Reason = wire.Unknown.String(), string(stopReason(ctx))
		return reply
	}
	s.answer(form, snapshot, &reply)
	return reply
}

func stopReason(ctx context.Context) wire.Reason {
	if ctx.Err() == context.DeadlineExceeded {
		return wire.ReasonTimeout
	}
	return wire.ReasonCancelled
}

// begin takes a slot and draws the execution time, or gives the reason of the
// refusal.
func (s *Server) begin(form *httpjson.SubForm, cancel context.CancelFunc) (uint64, time.Duration, wire.Reason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if reason := s.refusal(form); reason != wire.ReasonNone {
		return 0, 0, reason
	}
	snapshot := form.Snapshot
	if snapshot == 0 {
		snapshot = s.held.Newest
	}
	if p := s.faults.WrongSnapshot; p > 0 && s.random.Float64() < p {
		snapshot = s.held.Newest - 1
	}
	took := s.options.Time.draw(s.random)
	if s.cold > 0 {
		took *= coldFactor
		s.cold--
		if s.cold == 0 {
			s.noteState()
		}
	}
	if s.faults.SlowFactor > 0 {
		took = time.Duration(float64(took) * s.faults.SlowFactor)
	}
	took += s.faults.SlowBy.D()
	s.inFlight++
	s.most = max(s.most, s.inFlight)
	s.running[form.ID] = cancel
	return snapshot, took, wire.ReasonNone
}

// refusal says why a sub-request doesn't run. The caller holds mu.
func (s *Server) refusal(form *httpjson.SubForm) wire.Reason {
	switch {
	case s.options.Service != "" && form.Service != s.options.Service:
		return wire.ReasonBadRequest
	case form.Shard != s.options.Shard:
		return wire.ReasonRepartitioned
	case form.TimeLeftUS <= 0:
		return wire.ReasonExpired
	case s.draining:
		return wire.ReasonDraining
	case form.Snapshot != 0 && !s.held.Has(form.Snapshot):
		return wire.ReasonSnapshotGone
	case s.inFlight >= s.options.Slots:
		return wire.ReasonShed
	case s.faults.Shed > 0 && s.random.Float64() < s.faults.Shed:
		return wire.ReasonShed
	}
	if _, twice := s.running[form.ID]; twice {
		return wire.ReasonBadRequest
	}
	return wire.ReasonNone
}

func (s *Server) finish(form *httpjson.SubForm) {
	s.mu.Lock()
	s.inFlight--
	delete(s.running, form.ID)
	s.mu.Unlock()
}

func (s *Server) answer(form *httpjson.SubForm, snapshot uint64, reply *httpjson.ReplyForm) {
	asked := form.Range
	if asked.Empty() {
		asked = s.options.Range
	}
	covered := asked.Intersect(s.options.Range)
	if s.hit(func(f *Faults) float64 { return f.SplitRange }) {
		covered.Hi = covered.Lo + covered.Len()/2
	}
	reply.Outcome = wire.Answered.String()
	reply.Snapshot = snapshot
	reply.Range = covered
	for _, row := range rowsOf(covered, snapshot, s.options.RowEvery) {
		reply.Rows = append(reply.Rows, httpjson.RowForm{Ledger: row.Ledger, Key: row.Key, Value: row.Value})
	}
}
