package proof

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// Oracle knows what truly ran and what callers were told. Requests are told
// apart by their payload.
type Oracle struct {
	mu    sync.Mutex
	runs  map[string][]execution
	calls map[string][]*Call
}

// execution is one run of a sub-request by a shard.
type execution struct {
	shard    uint32
	sent, at time.Time
}

// Call is one presentation of a request by a caller.
type Call struct {
	Payload string
	Search  string
	Ticket  string
	Host    string
	Start   time.Time
	End     time.Time
	// Status is 0 when no answer reached the caller.
	Status  int
	Outcome string
	Code    string
	Body    string
	// Answer holds the decoded rows and coverage of an answered call.
	Answer Answer
}

// Answer is what the oracle checks of an answered call.
type Answer struct {
	Rows []struct {
		Ledger uint64
		Value  string
	}
	Coverage struct {
		Requested, Covered uint64
		Included           []struct {
			Shard uint32
			Range wire.KeyRange
		}
	}
}

func newOracle() *Oracle {
	return &Oracle{runs: map[string][]execution{}, calls: map[string][]*Call{}}
}

func (o *Oracle) ran(sub wire.Sub, sent time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	payload := string(sub.Payload)
	o.runs[payload] = append(o.runs[payload], execution{shard: sub.Shard, sent: sent, at: time.Now()})
}

func (o *Oracle) began(c *Call) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.calls[c.Payload] = append(o.calls[c.Payload], c)
}

// Runs returns how often each shard ran a request.
func (o *Oracle) Runs(payload string) [Shards]int {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out [Shards]int
	for _, e := range o.runs[payload] {
		out[e.shard]++
	}
	return out
}

// Faults returns every broken promise. All calls must have ended.
func (o *Oracle) Faults() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []string
	for payload, calls := range o.calls {
		runs := o.runs[payload]
		if calls[0].Search == bookSearch {
			out = append(out, ranTwice(payload, runs)...)
			out = append(out, differentAnswers(payload, calls)...)
		}
		for _, c := range calls {
			switch c.Outcome {
			case wire.NotRun.String():
				out = append(out, falseNotRun(c, calls, runs)...)
			case wire.Answered.String():
				out = append(out, falseAnswer(c, runs)...)
			}
		}
	}
	slices.Sort(out)
	return out
}

// ranTwice checks that no shard ran a request that is not repeatable twice.
func ranTwice(payload string, runs []execution) []string {
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

// falseNotRun checks that a request that was refused as not run did not run
// because of this call or an earlier one. A run is excused only if another
// call, which was not refused, may have caused it.
func falseNotRun(c *Call, calls []*Call, runs []execution) []string {
	for _, e := range runs {
		if e.sent.Before(c.Start) {
			return []string{fmt.Sprintf("request %s was refused at %s as not run (%s), but an earlier call ran it", c.Payload, c.Host, c.Code)}
		}
		excused := slices.ContainsFunc(calls, func(other *Call) bool {
			return other != c && !other.Start.After(e.sent) && other.Outcome != wire.NotRun.String()
		})
		if !excused {
			return []string{fmt.Sprintf("request %s was refused at %s as not run (%s), but ran", c.Payload, c.Host, c.Code)}
		}
	}
	return nil
}

// falseAnswer checks that an answer holds the rows of its own request and that
// every covered shard ran it.
func falseAnswer(c *Call, runs []execution) []string {
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
		if !slices.ContainsFunc(runs, func(e execution) bool { return e.shard == included.Shard && !e.at.After(c.End) }) {
			out = append(out, fmt.Sprintf("request %s is answered for shard %d, which did not run it", c.Payload, included.Shard))
		}
	}
	return out
}

// differentAnswers checks that a ticket has one answer.
func differentAnswers(payload string, calls []*Call) []string {
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
