package front

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/jwcc"
	"github.com/arbutusgauge/arbutusgauge/internal/once"
	"github.com/arbutusgauge/arbutusgauge/internal/scatter"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// searchBody is the decoded body of a search. Pointers are nil when the caller
// left the key out.
type searchBody struct {
	Range         *rangeBody
	Ledgers       []uint64
	Deadline      *jwcc.Duration
	LeastCoverage *float64
	Ticket        string
	Payload       string
}

// rangeBody is a range of ledgers that is decoded by decodeStrict.
type rangeBody wire.LedgerRange

// UnmarshalJSON implements json.Unmarshaler.
func (r *rangeBody) UnmarshalJSON(body []byte) error {
	return decodeStrict(body, map[string]any{"lo": &r.Lo, "hi": &r.Hi})
}

// parseSearch decodes a search and makes all checks that need no
// configuration. An empty body is the same as an empty JSON object. *BodyError
// reports the first fault.
func parseSearch(raw []byte) (*searchBody, error) {
	b := &searchBody{}
	if len(bytes.TrimSpace(raw)) == 0 {
		return b, nil
	}
	err := decodeStrict(raw, map[string]any{
		"range": &b.Range, "ledgers": &b.Ledgers, "deadline": &b.Deadline,
		"least_coverage": &b.LeastCoverage, "ticket": &b.Ticket, "payload": &b.Payload,
	})
	if err != nil {
		return nil, err
	}
	switch {
	case b.Range != nil && len(b.Ledgers) > 0:
		return nil, newBodyError("range and ledgers exclude each other")
	case b.Range != nil && wire.LedgerRange(*b.Range).Empty():
		return nil, newBodyError("range [%d,%d) is empty; lo must be below hi", b.Range.Lo, b.Range.Hi)
	case b.Deadline != nil && b.Deadline.D() <= 0:
		return nil, newBodyError("deadline %s is not positive", b.Deadline.D())
	case b.LeastCoverage != nil && (*b.LeastCoverage < 0 || *b.LeastCoverage > 1):
		return nil, newBodyError("least_coverage %v is out of range; allowed is 0 to 1", *b.LeastCoverage)
	}
	return b, nil
}

// requestHash returns the hash that binds a ticket to its request. It leaves
// out the deadline, because a caller that repeats a request has less time left.
func (b *searchBody) requestHash(service, search string) once.RequestHash {
	canonical, err := json.Marshal(struct {
		Range         *rangeBody
		Ledgers       []uint64
		LeastCoverage *float64
		Payload       string
	}{b.Range, b.Ledgers, b.LeastCoverage, b.Payload})
	if err != nil {
		panic(err) // no field has a form that can't be encoded
	}
	return once.HashRequest(service, search, canonical)
}

// ledgerRanges returns the ledgers as sorted, merged ranges.
func ledgerRanges(ledgers []uint64) wire.RangeSet {
	sorted := slices.Compact(slices.Sorted(slices.Values(ledgers)))
	var out wire.RangeSet
	for _, l := range sorted {
		if n := len(out); n > 0 && out[n-1].Hi == l {
			out[n-1].Hi = l + 1
			continue
		}
		out = append(out, wire.LedgerRange{Lo: l, Hi: l + 1})
	}
	return out
}

// decodeStrict decodes one JSON object into the fields, by key. Unlike
// encoding/json it refuses keys that differ in case, unknown keys, repeated
// keys and a second JSON value. Errors are *BodyError.
func decodeStrict(raw []byte, fields map[string]any) error {
	d := json.NewDecoder(bytes.NewReader(raw))
	if token, err := d.Token(); err != nil || token != json.Delim('{') {
		return newBodyError("body is not a JSON object")
	}
	seen := map[string]bool{}
	for d.More() {
		token, err := d.Token()
		if err != nil {
			return newBodyError("body is not valid JSON: %s", err)
		}
		key, _ := token.(string)
		target, known := fields[key]
		if !known {
			return newBodyError("key %q is unknown; allowed are %s", key, allowedKeys(fields))
		}
		if seen[key] {
			return newBodyError("key %q is repeated", key)
		}
		seen[key] = true
		if err := d.Decode(target); err != nil {
			return newBodyError("key %q is not valid: %s", key, err)
		}
	}
	if _, err := d.Token(); err != nil {
		return newBodyError("body is not valid JSON: %s", err)
	}
	if _, err := d.Token(); err != io.EOF {
		return newBodyError("body holds more than one JSON value")
	}
	return nil
}

// allowedKeys lists the keys in alphabetical order.
func allowedKeys(fields map[string]any) string {
	var keys []string
	for key := range fields {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return strings.Join(keys, ", ")
}

// newBodyError returns a *BodyError with a formatted message.
func newBodyError(format string, args ...any) error {
	return errors.WithStack(&BodyError{Message: fmt.Sprintf(format, args...)})
}

// answerBody is the response body of an answered search.
type answerBody struct {
	Outcome       string     `json:"outcome"`
	Request       string     `json:"request"`
	ConfigVersion uint64     `json:"config_version"`
	Snapshot      uint64     `json:"snapshot"`
	Rows          []rowBody  `json:"rows"`
	Coverage      *Coverage  `json:"coverage"`
	Timing        timingBody `json:"timing"`
	Work          Work       `json:"work"`
	Warnings      []string   `json:"warnings"`
}

// rowBody is one row of an answer. ValueBase64 replaces Value when the value is
// not valid UTF-8, which a JSON string can't carry unchanged.
type rowBody struct {
	Ledger      uint64 `json:"ledger"`
	Key         string `json:"key"`
	Value       string `json:"value"`
	ValueBase64 []byte `json:"value_base64,omitempty"`
}

// timingBody holds the time from the arrival of the request to its answer, and
// the number of the shard whose part was completed last.
type timingBody struct {
	Total        jwcc.Duration `json:"total"`
	SlowestShard uint32        `json:"slowest_shard"`
}

// errorBody is the response body of every error of the callers' interface.
type errorBody struct {
	Outcome    string         `json:"outcome"`
	Error      Code           `json:"error"`
	Message    string         `json:"message"`
	Request    string         `json:"request"`
	RetryAfter *jwcc.Duration `json:"retry_after,omitempty"`
	Coverage   *Coverage      `json:"coverage"`
}

// newAnswerBody returns the body of an answer; total is the time since the
// request arrived.
func newAnswerBody(request string, a *Answer, total time.Duration) answerBody {
	coverage := a.Coverage.withoutNilLists()
	body := answerBody{
		Outcome:       wire.Answered.String(),
		Request:       request,
		ConfigVersion: a.ConfigVersion,
		Snapshot:      a.Snapshot,
		Rows:          make([]rowBody, 0, len(a.Rows)),
		Coverage:      &coverage,
		Timing:        timingBody{Total: jwcc.Duration(total), SlowestShard: a.SlowestShard},
		Work:          a.Work,
		Warnings:      append([]string{}, a.Warnings...),
	}
	for _, r := range a.Rows {
		row := rowBody{Ledger: r.Ledger, Key: r.Key, Value: string(r.Value)}
		if !utf8.Valid(r.Value) {
			row.Value, row.ValueBase64 = "", r.Value
		}
		body.Rows = append(body.Rows, row)
	}
	return body
}

// withoutNilLists returns the coverage with nil lists replaced by empty ones,
// which JSON shows as [] instead of null.
func (c Coverage) withoutNilLists() Coverage {
	if c.Included == nil {
		c.Included = []Included{}
	}
	if c.Missing == nil {
		c.Missing = []MissingRange{}
	}
	return c
}

// mergeRanges returns the ranges sorted, with overlapping and adjacent ones
// merged. It sorts its argument in place.
func mergeRanges(ranges wire.RangeSet) wire.RangeSet {
	slices.SortFunc(ranges, func(a, b wire.LedgerRange) int { return cmp.Compare(a.Lo, b.Lo) })
	var out wire.RangeSet
	for _, r := range ranges {
		if n := len(out); n > 0 && out[n-1].Hi >= r.Lo {
			out[n-1].Hi = max(out[n-1].Hi, r.Hi)
			continue
		}
		out = append(out, r)
	}
	return out
}

// missingWarnings describes the parts that an answer lacks, with one text for
// each shard and reason.
func missingWarnings(missing []MissingRange) []string {
	var out []string
	for _, m := range missing {
		text := fmt.Sprintf("shard %d left out: %s", m.Shard, m.Reason)
		if m.Shard == scatter.NoShard {
			text = fmt.Sprintf("ledgers %s left out: %s", m.Range, m.Reason)
		}
		if !slices.Contains(out, text) {
			out = append(out, text)
		}
	}
	return out
}
