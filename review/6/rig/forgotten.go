package main

import (
	"sync"
	"time"
)

const (
	// stableWindow is `stable_window_ms`.
	stableWindow = 4 * time.Second
	// cardWork is the mean work time of `gang-card`.
	cardWork = 160 * time.Millisecond
	// maxCrashRetries is the number of retries that the rule allows.
	maxCrashRetries = 3
)

// cardsConfig is a configuration with one route to single replicas, as `gang-card`.
func cardsConfig() map[string]any {
	return map[string]any{
		"version": 3,
		"routes": []map[string]any{{
			"name": "r-cards", "host": callerHost, "prefix": "/cards/", "type": "safe", "timeout_ms": 6000,
			"target_latency_ms": 600, "priority": 2, "service": "cards", "max_attempts": 2,
		}},
		"services": []map[string]any{{"name": "cards", "max_connections": 110, "health_check_path": "/health"}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 5000, "idle_timeout_ms": 60000},
	}
}

// startCards starts the replicas of the service cards.
func (r *rig) startCards(work time.Duration) error {
	for _, zone := range []string{"badin", "badin", "thatta", "thatta", "tando"} {
		if _, err := startReplica(r.store, r.log, r.ip+".201", "cards", zone, 6, work); err != nil {
			return err
		}
	}
	return nil
}

// wave sends one copy of a request to each host at the same moment.
func (r *rig) wave(path string) []answer {
	answers := make([]answer, len(r.hosts))
	var sent sync.WaitGroup
	for i, h := range r.hosts {
		sent.Go(func() {
			transport := newTransport()
			defer transport.CloseIdleConnections()
			answers[i] = send(r.log, transport, h, "GET", path, "", 6*time.Second)
		})
	}
	sent.Wait()
	return answers
}

// forgottenRequest: copies of a request that crashes replicas arrive at all hosts at once;
// then all processes are killed, and the copies come again.
func forgottenRequest(r *rig) int {
	if err := r.setUp(cardsConfig(), func() error { return r.startCards(cardWork) }); err != nil {
		return r.notRun("%v", err)
	}
	if !awaitReady(r.hosts, 10*time.Second) {
		return r.notRun("the hosts are not ready")
	}
	time.Sleep(3 * time.Second)
	const path = crashPath + "2f"
	r.log.printf("first wave")
	r.wave(path)
	time.Sleep(downTime + 2*time.Second)
	if r.trouble {
		r.log.printf("all processes are killed")
		killAll(r.hosts)
		time.Sleep(time.Second)
		for _, h := range r.hosts {
			if err := h.start(); err != nil {
				return r.notRun("%v", err)
			}
		}
	}
	if !awaitReady(r.hosts, 12*time.Second) {
		return r.notRun("the hosts are not ready again")
	}
	time.Sleep(stableWindow + 2*time.Second) // all machines are in touch
	r.log.printf("second wave")
	r.wave(path)
	time.Sleep(time.Second)
	return r.judgeCrashes(path)
}
