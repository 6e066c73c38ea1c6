package main

import (
	"sync"
	"time"
)

const (
	// firstOfPair and secondOfPair are the paths of two requests that crash replicas. The
	// second is the one that the hosts put after the other when both ran on the same servers.
	firstOfPair  = crashPath + "2f"
	secondOfPair = crashPath + "30"
)

// pairGaps are how much later the first of the pair is sent, each time that the pair comes. At
// first both run on the same replicas, and the second crashes them.
var pairGaps = []time.Duration{5 * time.Millisecond, 200 * time.Millisecond, 200 * time.Millisecond}

// pairOfRequests: two requests that crash replicas come together, some seconds apart, at all
// hosts at once. Without trouble, one of them comes alone.
func pairOfRequests(r *rig) int {
	if err := r.setUp(cardsConfig(), func() error { return r.startCards(cardWork) }); err != nil {
		return r.notRun("%v", err)
	}
	if !awaitReady(r.hosts, 10*time.Second) {
		return r.notRun("the hosts are not ready")
	}
	time.Sleep(stableWindow + time.Second)
	for _, gap := range pairGaps {
		r.log.printf("wave")
		var sent sync.WaitGroup
		sent.Go(func() { r.wave(secondOfPair) })
		if r.trouble {
			time.Sleep(gap)
			sent.Go(func() { r.wave(firstOfPair) })
		}
		sent.Wait()
		time.Sleep(stableWindow + downTime + time.Second)
	}
	return r.judgeCrashes(secondOfPair)
}

// judgeCrashes judges the rule for one path: the retries that reached replicas later than
// stableWindow after the request crashed the third replica.
func (r *rig) judgeCrashes(path string) int {
	crashes := r.log.crashesOf(path)
	if len(crashes) < 3 {
		return r.notRun("the request crashed %d replicas only", len(crashes))
	}
	third := crashes[2].at
	retries := map[string]bool{}
	for _, e := range r.log.executions(func(e execution) bool { return e.path == path }) {
		if e.at.After(third.Add(stableWindow)) {
			retries[e.attempt] = true
		}
	}
	r.log.printf("%s: third crash at %.3f, retries that reached replicas later than %s after it: %d, allowed: %d",
		path, third.Sub(r.log.began).Seconds(), stableWindow, len(retries), maxCrashRetries)
	if len(retries) > maxCrashRetries {
		return exitBroken
	}
	return exitHeld
}
