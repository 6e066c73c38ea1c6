package edge

import "time"

const (
	// gcPercent and memoryLimitDivisor trade processor time for memory, which has
	// a price for the users: the garbage collector runs when the heap has grown by
	// gcPercent, and more often above the process's memory limit divided by
	// memoryLimitDivisor.
	gcPercent          = 100
	memoryLimitDivisor = 3

	metricsInterval = time.Second

	// answerMargin is the part of a latency goal that is spent outside this host:
	// the round trip to the caller, a new connection, and reading the request.
	answerMargin = 22 * time.Millisecond
	// extraBudgetShare is the fraction of the retry budget that the hosts use. The
	// rest allows for requests that the budget's check counts in another time
	// window than the hosts do.
	extraBudgetShare = 0.8
	// cancelAfter is how long a cancelled request may still run before its
	// connection is closed. A paused replica can finish the request in that time,
	// which saves the connection. Replica work counts as wasted from 500 ms after
	// the caller has left.
	cancelAfter = 300 * time.Millisecond
	// minSilence is the least time without an answer after which a connection may
	// count as silent. It is above the longest usual run time of a request,
	// 960 ms, so that a long request does not have that effect.
	minSilence   = 2 * time.Second
	dialTimeout  = 500 * time.Millisecond
	probeTimeout = 400 * time.Millisecond
	// warmConnections is the number of connections kept open to each replica; more
	// are open only while they are used. It is small because the connections of a
	// host that lost power count against a replica's limit until the replica
	// closes them.
	warmConnections    = 1
	replicaIdleTimeout = 2 * time.Second
	// crossDataCentreDelay is the assumed one-way network delay to another data
	// centre.
	crossDataCentreDelay = 5 * time.Millisecond
	// minHedgeDelay avoids hedges for replicas that are only slightly slower than
	// the fastest one.
	minHedgeDelay = 10 * time.Millisecond

	// headerTimeout, idleTimeout and maxHeaderBytes are above the limits that
	// operators set for callers; the limit for headers in the routing table is
	// checked with each request.
	headerTimeout  = 10 * time.Second
	idleTimeout    = 5 * time.Minute
	maxHeaderBytes = 64 << 10
	// shutdownReserve is the part of the time allowed for a stop that is reserved
	// for running requests and the end of the process.
	shutdownReserve = 1500 * time.Millisecond
	// answerTimeAtStop is the part of shutdownReserve that running requests have to end
	// by themselves, and shutdownTime the part after which the process ends: requests that
	// still run are answered as failed between the two.
	answerTimeAtStop = 600 * time.Millisecond
	shutdownTime     = 900 * time.Millisecond
)
