// Package admit implements admission control: it limits the queries in flight per
// service on this host. The limit increases additively while owners report short
// queues and decreases multiplicatively when they report long ones or refuse
// sub-requests. Whole queries are refused rather than sub-requests, because
// refusing one sub-request makes the answer of its query incomplete.
package admit

import "time"

// Feedback is the result of an admitted query as far as it affects the limit.
type Feedback struct {
	// MaxQueueWait is the greatest queue wait that a reply to the query reported.
	MaxQueueWait time.Duration
	// Refused reports whether an owner refused a sub-request because of load.
	Refused bool
	// Latency is the total time of the query; 0 means that it didn't run.
	Latency time.Duration
	// LatencyGoal is the latency goal of the search; if 0,
	// Options.DefaultLatencyGoal applies.
	LatencyGoal time.Duration
}

// Release ends an admitted query and adjusts the limit of its service. Calls after
// the first have no effect.
type Release func(Feedback)
