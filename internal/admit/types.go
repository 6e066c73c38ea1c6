// Package admit limits the queries in flight per service on this host. The
// limit grows additively while owners report short queues and shrinks
// multiplicatively when they report long ones or refuse work. Whole queries
// are refused, because a query that lacks one sub-request is spoiled.
package admit

import "time"

// Feedback tells how an admitted query went.
type Feedback struct {
	// Wait is the greatest queue wait that a reply of the query reported.
	Wait time.Duration
	// Refused reports that an owner refused a sub-request because of load.
	Refused bool
	// Latency is the total time of the query; 0 means that it didn't run.
	Latency time.Duration
	// Goal is the latency goal of the search; 0 means the option's default.
	Goal time.Duration
}

// Release ends an admitted query. Only its first call counts.
type Release func(Feedback)
