package main

import (
	"strings"
	"sync"
	"time"
)

// overwrittenEntry: another writer writes over the entry of a replica of the service notices.
// What it writes names the service cards, but lacks the field version.
func overwrittenEntry(r *rig) int {
	config := cardsConfig()
	config["routes"] = append(config["routes"].([]map[string]any), map[string]any{
		"name": "r-notices", "host": callerHost, "prefix": "/notices/", "type": "safe", "timeout_ms": 6000,
		"target_latency_ms": 600, "priority": 2, "service": "notices", "max_attempts": 2,
	})
	config["services"] = append(config["services"].([]map[string]any), map[string]any{
		"name": "notices", "max_connections": 110, "health_check_path": "/health",
	})
	var notices []*replica
	err := r.setUp(config, func() error {
		for _, zone := range []string{"badin", "thatta", "tando"} {
			n, err := startReplica(r.store, r.log, r.ip+".201", "notices", zone, 6, cardWork)
			if err != nil {
				return err
			}
			notices = append(notices, n)
		}
		return r.startCards(cardWork)
	})
	if err != nil {
		return r.notRun("%v", err)
	}
	if !awaitReady(r.hosts, 10*time.Second) {
		return r.notRun("the hosts are not ready")
	}
	time.Sleep(stableWindow + time.Second)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for _, h := range r.hosts {
		callers.Go(func() { r.callCards(h, stop) })
	}
	time.Sleep(time.Second)
	if r.trouble {
		notices[0].overwrite()
	}
	time.Sleep(6 * time.Second)
	close(stop)
	callers.Wait()
	foreign := r.log.executions(func(e execution) bool { return e.service != "cards" && strings.HasPrefix(e.path, "/cards/") })
	all := r.log.executions(func(e execution) bool { return strings.HasPrefix(e.path, "/cards/") })
	r.log.printf("requests for /cards/: %d run, %d of them by the service notices", len(all), len(foreign))
	if len(foreign) > 0 {
		return exitBroken
	}
	return exitHeld
}

// callCards sends requests to a host, ten a second.
func (r *rig) callCards(h *host, stop chan struct{}) {
	transport := newTransport()
	defer transport.CloseIdleConnections()
	for {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
			send(r.log, transport, h, "GET", "/cards/1/", "", 6*time.Second)
		}
	}
}

// overwrite writes the entry of the replica as another writer does, once: with the fields of
// a replica of cards, but without the field version.
func (r *replica) overwrite() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	r.log.printf("another writer writes servers/%s", r.id)
	r.store.put("servers/"+r.id, map[string]any{
		"service": "cards", "address": r.addr, "zone": r.zone, "slots": r.slots,
		"state": "ready", "warmup_left_ms": 0, "sequence": r.sequence, "born": r.born,
	})
}
