package backend

import (
	"context"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/backend/httpjson"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// execute runs one sub-request until its execution time has passed, its deadline
// expires or it is cancelled. A refused sub-request doesn't run and is not recorded.
func (s *Server) execute(ctx context.Context, sub *httpjson.SubForm) httpjson.ReplyForm {
	received := time.Now()
	reply := httpjson.ReplyForm{ID: sub.ID}
	ctx, cancel := context.WithDeadline(ctx, received.Add(time.Duration(sub.TimeLeftUS)*time.Microsecond))
	defer cancel()
	snapshot, executionTime, reason := s.admit(sub, cancel)
	if reason != wire.ReasonNone {
		reply.Outcome, reply.Reason = wire.NotRun.String(), string(reason)
		return reply
	}
	number := s.recorder.begin(Execution{
		ID: sub.ID, Query: sub.Query, Search: sub.Search, Snapshot: snapshot,
		Repeatable: sub.Repeatable, Payload: sub.Payload, Start: received,
	})
	timer := time.NewTimer(executionTime)
	defer timer.Stop()
	stopped := false
	select {
	case <-timer.C:
	case <-ctx.Done():
		stopped = true
	}
	s.recorder.end(number, time.Now(), stopped)
	s.releaseSlot(sub)
	if stopped {
		reply.Outcome, reply.Reason = wire.Unknown.String(), string(stopReason(ctx))
		return reply
	}
	s.fillReply(sub, snapshot, &reply)
	return reply
}

// stopReason returns the reason for which a sub-request with a done context stopped.
func stopReason(ctx context.Context) wire.Reason {
	if ctx.Err() == context.DeadlineExceeded {
		return wire.ReasonTimeout
	}
	return wire.ReasonCancelled
}

// admit takes a slot and returns the snapshot to answer from and the execution time,
// or returns the reason for refusing the sub-request. cancel is called by a cancel
// call.
func (s *Server) admit(sub *httpjson.SubForm, cancel context.CancelFunc) (uint64, time.Duration, wire.Reason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if reason := s.refusalReason(sub); reason != wire.ReasonNone {
		return 0, 0, reason
	}
	snapshot := sub.Snapshot
	if snapshot == 0 {
		snapshot = s.heldSnapshots.Newest
	}
	if p := s.faults.WrongSnapshot; p > 0 && s.random.Float64() < p {
		snapshot = s.heldSnapshots.Newest - 1
	}
	executionTime := s.options.ServiceTime.sample(s.random)
	if s.coldRequestsLeft > 0 {
		executionTime *= coldSlowdown
		s.coldRequestsLeft--
		if s.coldRequestsLeft == 0 {
			s.recordStatus()
		}
	}
	if s.faults.SlowFactor > 0 {
		executionTime = time.Duration(float64(executionTime) * s.faults.SlowFactor)
	}
	executionTime += s.faults.SlowBy.D()
	s.inFlight++
	s.maxInFlight = max(s.maxInFlight, s.inFlight)
	s.running[sub.ID] = cancel
	return snapshot, executionTime, wire.ReasonNone
}

// refusalReason returns why a sub-request is not run, or wire.ReasonNone. The caller
// holds mu.
func (s *Server) refusalReason(sub *httpjson.SubForm) wire.Reason {
	switch {
	case s.options.Service != "" && sub.Service != s.options.Service:
		return wire.ReasonBadRequest
	case sub.Shard != s.options.Shard:
		return wire.ReasonRepartitioned
	case sub.TimeLeftUS <= 0:
		return wire.ReasonDeadlineExpired
	case s.draining:
		return wire.ReasonDraining
	case sub.Snapshot != 0 && !s.heldSnapshots.Contains(sub.Snapshot):
		return wire.ReasonSnapshotNotHeld
	case s.inFlight >= s.options.Slots:
		return wire.ReasonShed
	case s.faults.Shed > 0 && s.random.Float64() < s.faults.Shed:
		return wire.ReasonShed
	}
	if _, duplicate := s.running[sub.ID]; duplicate {
		return wire.ReasonBadRequest
	}
	return wire.ReasonNone
}

// releaseSlot frees the slot taken by admit.
func (s *Server) releaseSlot(sub *httpjson.SubForm) {
	s.mu.Lock()
	s.inFlight--
	delete(s.running, sub.ID)
	s.mu.Unlock()
}

// fillReply fills in the outcome and the rows of an executed sub-request. It covers
// the part of the requested range (empty: all) that the replica holds.
func (s *Server) fillReply(sub *httpjson.SubForm, snapshot uint64, reply *httpjson.ReplyForm) {
	requested := sub.Range
	if requested.Empty() {
		requested = s.options.Range
	}
	covered := requested.Intersect(s.options.Range)
	if s.drawFault(func(f *Faults) float64 { return f.SplitRange }) {
		covered.Hi = covered.Lo + covered.Len()/2
	}
	reply.Outcome = wire.Answered.String()
	reply.Snapshot = snapshot
	reply.Range = covered
	for _, row := range rowsOf(covered, snapshot, s.options.RowSpacing) {
		reply.Rows = append(reply.Rows, httpjson.RowForm{Ledger: row.Ledger, Key: row.Key, Value: row.Value})
	}
}
