package ratelimit

import (
	"encoding/json"
	"math"
	"time"

	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// Known is the limit of a replica as one host tells it to another.
type Known struct {
	Replica   wire.ReplicaID `json:"replica"`
	Limited   bool           `json:"limited"` // false: the limit has ended
	PerSecond float64        `json:"per_second"`
	Age       time.Duration  `json:"age"` // since a response showed it
	// Cold is set if the replica is cold by a health response.
	Cold *coldState `json:"cold,omitempty"`
}

// validate returns *MessageError for a limit that no host of this program sends.
func (k *Known) validate() error {
	if k.Replica == "" || k.Age < 0 || k.PerSecond < 0 || math.IsNaN(k.PerSecond) || math.IsInf(k.PerSecond, 0) {
		return errors.WithStack(&MessageError{Problem: "limit of replica \"" + string(k.Replica) + "\" is out of range"})
	}
	if k.Cold != nil {
		return k.Cold.validate()
	}
	return nil
}

func (k *Known) limit() wire.RateLimit {
	if !k.Limited {
		return wire.RateLimit{State: wire.RateUnlimited}
	}
	return wire.RateLimit{State: wire.RateLimited, PerSecond: k.PerSecond}
}

// want asks for permits.
type want struct {
	Replica wire.ReplicaID `json:"replica"`
	Count   int            `json:"count"`
	Cold    *coldState     `json:"cold,omitempty"` // set if the replica is cold
}

// maxWanted bounds the permits of one want.
const maxWanted = 1 << 20

// question is the body of a request at PathPermits.
type question struct {
	Observed []Known `json:"observed,omitempty"`
	Wants    []want  `json:"wants,omitempty"`
}

// answer is the response to a question, with a permission for each want in its order.
type answer struct {
	Permissions []permission `json:"permissions,omitempty"`
}

// permission is what a grantor answers to a want.
type permission struct {
	Granted int           `json:"granted"`
	RetryIn time.Duration `json:"retry_in,omitempty"` // until there is another permit; 0: at once
	// Warm ends the warm-up that the want stated.
	Warm bool `json:"warm,omitempty"`
}

// decodeQuestion decodes a question. *MessageError reports one that no host of this
// program sends.
func decodeQuestion(body []byte) (*question, error) {
	var q question
	if err := json.Unmarshal(body, &q); err != nil {
		return nil, errors.WithStack(err)
	}
	for i := range q.Observed {
		if err := q.Observed[i].validate(); err != nil {
			return nil, err
		}
	}
	for _, w := range q.Wants {
		if w.Count < 0 || w.Count > maxWanted {
			return nil, errors.WithStack(&MessageError{Problem: "number of permits is out of range"})
		}
		if w.Cold == nil {
			continue
		}
		if err := w.Cold.validate(); err != nil {
			return nil, err
		}
	}
	return &q, nil
}

// decodeAnswer decodes the answer to a question with the given wants.
func decodeAnswer(body []byte, wants []want) (*answer, error) {
	var a answer
	if err := json.Unmarshal(body, &a); err != nil {
		return nil, errors.WithStack(err)
	}
	if len(a.Permissions) != len(wants) {
		return nil, errors.WithStack(&MessageError{Problem: "number of permissions differs from that of the wants"})
	}
	for i, p := range a.Permissions {
		if p.Granted < 0 || p.Granted > wants[i].Count || p.RetryIn < 0 {
			return nil, errors.WithStack(&MessageError{Problem: "permission is out of range"})
		}
	}
	return &a, nil
}

// MessageError reports a malformed message of a peer.
type MessageError struct{ Problem string }

// Error implements error.
func (e *MessageError) Error() string { return "malformed rate limit message: " + e.Problem }
