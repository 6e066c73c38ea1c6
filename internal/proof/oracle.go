package proof

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// Oracle records what the shards ran and what callers were told. A payload
// identifies a request. Its methods are safe for concurrent use.
type Oracle struct {
	mu    sync.Mutex
	runs  map[string][]execution // by payload
	calls map[string][]*Call     // by payload, in the order of their start
}

// execution is one execution of a sub-request by a shard.
type execution struct {
	shard         uint32
	sentAt, ranAt time.Time
}

// Call is one call of a search by a caller, with the answer that it got.
type Call struct {
	Payload string
	Search  string
	Ticket  string
	Host    string // name of the called host
	Start   time.Time
	End     time.Time
	// Status is 0 when no answer reached the caller.
	Status  int
	Outcome string
	Code    string // error code; empty if there is none
	Body    string
	// Answer holds the decoded rows and coverage of an answered call.
	Answer Answer
}

// Answer holds the parts of an answer that the oracle checks.
type Answer struct {
	Rows []struct {
		Ledger uint64
		Value  string
	}
	Coverage struct {
		Requested, Covered uint64
		Included           []struct {
			Shard uint32
			Range wire.LedgerRange
		}
	}
}

func newOracle() *Oracle {
	return &Oracle{runs: map[string][]execution{}, calls: map[string][]*Call{}}
}

// recordRun records that a shard runs sub now. sent is when the entry host sent it.
func (o *Oracle) recordRun(sub wire.SubRequest, sent time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	payload := string(sub.Payload)
	o.runs[payload] = append(o.runs[payload], execution{shard: sub.Shard, sentAt: sent, ranAt: time.Now()})
}

func (o *Oracle) recordCall(c *Call) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.calls[c.Payload] = append(o.calls[c.Payload], c)
}

// RunCounts returns how often each shard has run the request with a payload.
func (o *Oracle) RunCounts(payload string) [Shards]int {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out [Shards]int
	for _, e := range o.runs[payload] {
		out[e.shard]++
	}
	return out
}

// Violations returns a sorted description of every guarantee that was broken. It must
// not be called before all calls have ended.
func (o *Oracle) Violations() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []string
	for payload, calls := range o.calls {
		runs := o.runs[payload]
		if calls[0].Search == bookSearch {
			out = append(out, checkRunsOnce(payload, runs)...)
			out = append(out, checkSameAnswer(payload, calls)...)
		}
		for _, c := range calls {
			switch c.Outcome {
			case wire.NotRun.String():
				out = append(out, checkNotRun(c, calls, runs)...)
			case wire.Answered.String():
				out = append(out, checkAnswer(c, runs)...)
			}
		}
	}
	slices.Sort(out)
	return out
}

// checkRunsOnce reports each shard that ran a request more than once. It applies
// to requests that are not repeatable.
func checkRunsOnce(payload string, runs []execution) []string {
	var out []string
	var count [Shards]int
	for _, e := range runs {
		count[e.shard]++
	}
	for shard, n := range count {
		if n > 1 {
			out = append(out, fmt.Sprintf("request %s ran %d times on shard %d", payload, n, shard))
		}
	}
	return out
}

// checkNotRun reports a call that was refused as not run although this call or an
// earlier one ran the request. An execution that was sent after the start of c is
// accepted if another call may have caused it: one that began before the sending
// and was not refused itself.
func checkNotRun(c *Call, calls []*Call, runs []execution) []string {
	for _, e := range runs {
		if e.sentAt.Before(c.Start) {
			return []string{fmt.Sprintf("request %s was refused at %s as not run (%s), but an earlier call ran it", c.Payload, c.Host, c.Code)}
		}
		causedByOther := slices.ContainsFunc(calls, func(other *Call) bool {
			return other != c && !other.Start.After(e.sentAt) && other.Outcome != wire.NotRun.String()
		})
		if !causedByOther {
			return []string{fmt.Sprintf("request %s was refused at %s as not run (%s), but ran", c.Payload, c.Host, c.Code)}
		}
	}
	return nil
}

// checkAnswer reports an answer that holds rows of another request, a number of
// rows that differs from its coverage, or a shard that did not run the request
// before the call ended.
func checkAnswer(c *Call, runs []execution) []string {
	var out []string
	for _, row := range c.Answer.Rows {
		if row.Value != c.Payload {
			out = append(out, fmt.Sprintf("request %s got a row of request %s", c.Payload, row.Value))
			break
		}
	}
	if uint64(len(c.Answer.Rows)) != c.Answer.Coverage.Covered {
		out = append(out, fmt.Sprintf("request %s got %d rows for %d covered ledgers", c.Payload, len(c.Answer.Rows), c.Answer.Coverage.Covered))
	}
	for _, included := range c.Answer.Coverage.Included {
		if !slices.ContainsFunc(runs, func(e execution) bool { return e.shard == included.Shard && !e.ranAt.After(c.End) }) {
			out = append(out, fmt.Sprintf("request %s is answered for shard %d, which did not run it", c.Payload, included.Shard))
		}
	}
	return out
}

// checkSameAnswer reports two different answers to the calls of one request.
func checkSameAnswer(payload string, calls []*Call) []string {
	var first *Call
	for _, c := range calls {
		if c.Outcome != wire.Answered.String() {
			continue
		}
		if first != nil && first.Body != c.Body {
			return []string{fmt.Sprintf("request %s has two answers, at %s and %s", payload, first.Host, c.Host)}
		}
		first = c
	}
	return nil
}
