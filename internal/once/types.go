// Package once issues tickets for requests that are not repeatable and records
// the state of each ticket, so that its request runs at most once. A ticket is
// bound to the process that issued it: no other process may run its request.
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
	Incarnation uint64 // incarnation of the issuing process
	Seq         uint64 // sequence number within the incarnation, from 1
}

// RequestHash identifies the request that a ticket is presented with.
type RequestHash [16]byte

// HashRequest returns the hash of a request. body must hold, in a canonical
// form, all parameters in which two requests to a search can differ.
func HashRequest(service, search string, body []byte) RequestHash {
	buf := binary.AppendUvarint(nil, uint64(len(service)))
	buf = append(buf, service...)
	buf = binary.AppendUvarint(buf, uint64(len(search)))
	buf = append(buf, search...)
	buf = append(buf, body...)
	sum := sha256.Sum256(buf)
	return RequestHash(sum[:16])
}

// Answer is the HTTP response to a ticket's request.
type Answer struct {
	Status int // HTTP status
	Body   []byte
}

// StoredAnswer is a kept answer with the outcome of its request.
type StoredAnswer struct {
	Outcome wire.Outcome
	Answer  Answer
}

// Claim is the permission to run the request of a ticket once. The caller of
// Begin must call Finish; until then the ticket counts as running.
type Claim interface {
	// Finish ends the claim; calls after the first have no effect. With NotRun
	// the ticket may be presented again with the same request until it expires;
	// with any other outcome it stays used, and answer is kept within the
	// limits of Options.
	Finish(outcome wire.Outcome, answer Answer)
}
