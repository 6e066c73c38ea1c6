// Package backend is the interface to backend servers. Adapters for published
// protocols live in its subdirectories.
package backend

import (
	"context"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// Status is what a backend server says about itself. It may lag or mislead,
// so it is only a hint.
type Status struct {
	Draining bool
	Cold     bool
	InFlight uint32
	Held     wire.Held
}

// Dialer opens connections to replicas.
type Dialer interface {
	Dial(ctx context.Context, replica wire.ReplicaID) (Conn, error)
}

// Conn is one connection to a backend server. Only one Run or Status is in
// progress at a time.
type Conn interface {
	// Run sends one batch and waits for its replies, one for each sub-request.
	// *NotSentError means that no byte was written, *LostError that the batch
	// may have run. After an error the connection must be closed. Neither ctx
	// nor subs may be used after Run has returned.
	Run(ctx context.Context, subs []wire.Sub) ([]wire.Reply, error)
	// Cancel asks the server to stop sub-requests that another connection sent.
	Cancel(ctx context.Context, ids []wire.SubID) error
	// Status asks for health and load.
	Status(ctx context.Context) (Status, error)
	Close() error
}

// RunDeadline is the time left that a batch states to the server: the least of
// its sub-requests.
func RunDeadline(subs []wire.Sub) time.Duration {
	if len(subs) == 0 {
		return 0
	}
	least := subs[0].TimeLeft
	for _, s := range subs[1:] {
		least = min(least, s.TimeLeft)
	}
	return least
}
