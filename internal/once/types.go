// Package once issues tickets for requests that are not repeatable and keeps
// the state of each, so that the request of a ticket runs at most once. A
// ticket is bound to the process that issued it: no other process may run its
// request.
package once

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// Ticket is a single-use permission to run one request.
type Ticket struct {
	DataCentre  string
	Addr        string // peer address of the issuing host, "ip:port"
	Incarnation uint64 // of the issuing process
	Seq         uint64 // from 1 within the incarnation
}

// RequestHash identifies the request that a ticket is presented with.
type RequestHash [16]byte

// HashRequest returns the hash of a request. body holds everything that makes
// two requests differ, in a canonical form.
func HashRequest(service, search string, body []byte) RequestHash {
	buf := binary.AppendUvarint(nil, uint64(len(service)))
	buf = append(buf, service...)
	buf = binary.AppendUvarint(buf, uint64(len(search)))
	buf = append(buf, search...)
	buf = append(buf, body...)
	sum := sha256.Sum256(buf)
	return RequestHash(sum[:16])
}

// Answer is the stored end of a ticket's request.
type Answer struct {
	Status int // HTTP status
	Body   []byte
}

// Stored is a kept answer with its outcome.
type Stored struct {
	Outcome wire.Outcome
	Answer  Answer
}

// Claim is the permission to run the request of a ticket once. Its holder must
// call Finish.
type Claim interface {
	// Finish ends the claim; calls after the first have no effect. NotRun
	// allows the ticket to be presented again with the same request; any other
	// outcome uses it up.
	Finish(outcome wire.Outcome, answer Answer)
}
