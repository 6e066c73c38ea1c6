package main

import (
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// boardPath is the one request of the route that is added later: a page that is the same
	// for all callers.
	boardPath = "/board/"
	// boardWork is the work time of that page, less than half of the timeout of its route.
	boardWork = 2500 * time.Millisecond
	// boardPace is the time between two requests of one caller for the page, and crashAfter the
	// time from the start of the callers until the crash: a second after a request.
	boardPace  = 6 * time.Second
	crashAfter = boardPace + time.Second
	// steadyAfter is the time from the crash until the steady state that is judged, and
	// steadyTime the length of it.
	steadyAfter = 20 * time.Second
	steadyTime  = 25 * time.Second
)

// refusedPage: the replicas of a service crash at the same moment while they run the copies of
// one proper request. Each later copy takes longer than a trial.
func refusedPage(r *rig) int {
	var notices []*replica
	err := r.setUp(cardsConfig(), func() error {
		for _, zone := range []string{"badin", "thatta", "tando"} {
			n, err := startReplica(r.store, r.log, r.ip+".201", "notices", zone, 6, boardWork)
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
	r.store.put("op/config", boardConfig())
	time.Sleep(4 * time.Second)

	var answers answerList
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for _, h := range r.hosts {
		callers.Go(func() { r.callEach(h, "/cards/1/", 500*time.Millisecond, &answers, stop) })
		callers.Go(func() { r.callEach(h, boardPath, boardPace, &answers, stop) })
	}
	time.Sleep(crashAfter)
	if r.trouble {
		r.log.printf("all replicas of notices crash")
		for _, n := range notices {
			n.crash(n.currentID(), "none", "none")
		}
	}
	time.Sleep(steadyAfter)
	from := time.Now()
	time.Sleep(steadyTime)
	close(stop)
	callers.Wait()
	return r.judgeAddedRoute(&answers, from)
}

// boardConfig is cardsConfig with the route of the page.
func boardConfig() map[string]any {
	config := cardsConfig()
	config["version"] = 7
	config["routes"] = append(config["routes"].([]map[string]any), map[string]any{
		"name": "r-board", "host": callerHost, "prefix": boardPath, "type": "safe", "timeout_ms": 6000,
		"target_latency_ms": 3000, "priority": 2, "service": "notices", "max_attempts": 2,
	})
	config["services"] = append(config["services"].([]map[string]any), map[string]any{
		"name": "notices", "max_connections": 110, "health_check_path": "/health",
	})
	return config
}

// sentAnswer is the answer to a request that was sent at a time.
type sentAnswer struct {
	sent time.Time
	path string
	code int
}

// answerList is a list of answers for several callers.
type answerList struct {
	mu   sync.Mutex
	list []sentAnswer
}

// callEach sends the same request to a host at a fixed pace.
func (r *rig) callEach(h *host, path string, pace time.Duration, answers *answerList, stop chan struct{}) {
	transport := newTransport()
	defer transport.CloseIdleConnections()
	ticker := time.NewTicker(pace)
	defer ticker.Stop()
	var sent sync.WaitGroup
	defer sent.Wait()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		sent.Go(func() {
			at := time.Now()
			a := send(r.log, transport, h, http.MethodGet, path, "", 6*time.Second)
			answers.mu.Lock()
			defer answers.mu.Unlock()
			answers.list = append(answers.list, sentAnswer{sent: at, path: path, code: a.code})
		})
	}
}

// judgeAddedRoute judges how often the requests on the route that was added later are served
// in the steady state that begins at a time, compared with those on the first route.
func (r *rig) judgeAddedRoute(answers *answerList, from time.Time) int {
	var asked, served [2]float64 // on the first route, and on the one that was added later
	for _, a := range answers.list {
		if a.sent.Before(from) || a.sent.After(from.Add(steadyTime)) {
			continue
		}
		i := 0
		if strings.HasPrefix(a.path, boardPath) {
			i = 1
		}
		asked[i]++
		if a.code == http.StatusOK {
			served[i]++
		}
	}
	r.log.printf("steady state: first route %.0f of %.0f served, route added later %.0f of %.0f served", served[0], asked[0], served[1], asked[1])
	if asked[0] == 0 || asked[1] < 20 {
		return r.notRun("too few requests")
	}
	if served[1]/asked[1] < served[0]/asked[0]/4 {
		return exitBroken
	}
	return exitHeld
}
