package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/procs"
)

const (
	searchInterval = 20 * time.Millisecond
	searchTimeout  = 10 * time.Second
)

// searchLoad repeats a search over all ledgers, on the hosts in turn, until it
// is stopped, and counts the answers.
type searchLoad struct {
	caller *procs.Caller
	cancel context.CancelFunc
	done   chan struct{}

	mu           sync.Mutex
	answered     int
	fullCoverage int // answers with coverage 1
	failures     []string
	slowest      time.Duration
	versions     map[uint64]int // answers by configuration version
}

// startLoad starts a load on the hosts with these HTTP addresses.
func startLoad(hosts []string, service, search string) *searchLoad {
	ctx, cancel := context.WithCancel(context.Background())
	l := &searchLoad{
		caller: procs.NewCaller(searchTimeout), cancel: cancel, done: make(chan struct{}), versions: map[uint64]int{},
	}
	go func() {
		defer close(l.done)
		for i := 0; ctx.Err() == nil; i++ {
			l.record(l.caller.Search(context.Background(), hosts[i%len(hosts)], service, search, procs.SearchRequest{}))
			time.Sleep(searchInterval)
		}
	}()
	return l
}

func (l *searchLoad) record(reply *procs.SearchReply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !reply.Answered() {
		l.failures = append(l.failures, fmt.Sprintf("%s %s %v", reply.Outcome, reply.Code, reply.Err))
		return
	}
	l.answered++
	l.slowest = max(l.slowest, reply.Took)
	l.versions[reply.ConfigVersion]++
	if reply.Coverage != nil && reply.Coverage.Fraction == 1 {
		l.fullCoverage++
	}
}

// stop ends the load after the search in progress.
func (l *searchLoad) stop() {
	l.cancel()
	<-l.done
	l.caller.Close()
}
