// Package backend defines the interface to backend servers. Its subdirectories
// hold the HTTP connection and the adapter of the stand-in protocol.
package backend

import (
	"context"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// Status is the state that a backend server reports. It is only a hint, because
// it may be out of date or wrong.
type Status struct {
	Draining   bool               // takes no new sub-requests
	Cold       bool               // takes fewer sub-requests at a time than usual
	WarmupLeft time.Duration      // for so long the server stays cold; 0: it does not say so
	InFlight   uint32             // sub-requests in progress
	Held       wire.SnapshotRange // snapshots that it can serve
	Leaving    bool               // the server leaves for good
	Backoff    time.Duration      // for so long it wants no requests from this host; 0: it does not say so

	StatedLoad wire.StatedLoad // load over all hosts
}

// Dialer opens connections to replicas.
type Dialer interface {
	// Dial opens a connection; its errors are *DialError.
	Dial(ctx context.Context, replica wire.ReplicaID) (Conn, error)
}

// Conn is one connection to a backend server. Only one Run or Status may be in
// progress at a time.
type Conn interface {
	// Run sends one batch and waits for its replies, one for each sub-request.
	// *NotSentError means that no byte was written, *LostError that the batch
	// may have run. After an error the caller must close the connection. An
	// implementation must not use ctx or subs after Run has returned.
	Run(ctx context.Context, subs []wire.SubRequest) ([]wire.Reply, error)
	// Cancel asks the server to stop sub-requests that were sent on another
	// connection.
	Cancel(ctx context.Context, ids []wire.SubRequestID) error
	// Status asks for the server's health, load and snapshots.
	Status(ctx context.Context) (Status, error)
	// Close closes the connection. It may be called during Run.
	Close() error
}

// LeastTimeLeft returns the time left for a batch: the least time left of its
// sub-requests, 0 for an empty batch.
func LeastTimeLeft(subs []wire.SubRequest) time.Duration {
	if len(subs) == 0 {
		return 0
	}
	least := subs[0].TimeLeft
	for _, s := range subs[1:] {
		least = min(least, s.TimeLeft)
	}
	return least
}
