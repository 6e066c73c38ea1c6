package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/procs"
)

const (
	searchEvery = 20 * time.Millisecond
	searchLimit = 10 * time.Second
)

// load runs a search over all ledgers again and again, on one host after the
// other, until it is stopped.
type load struct {
	caller *procs.Caller
	cancel context.CancelFunc
	done   chan struct{}

	mu       sync.Mutex
	answered int
	whole    int // answers with coverage 1
	failed   []string
	slowest  time.Duration
	versions map[uint64]int // answers by configuration version
}

func startLoad(hosts []string, service, search string) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{
		caller: procs.NewCaller(searchLimit), cancel: cancel, done: make(chan struct{}), versions: map[uint64]int{},
	}
	go func() {
		defer close(l.done)
		for i := 0; ctx.Err() == nil; i++ {
			l.count(l.caller.Search(context.Background(), hosts[i%len(hosts)], service, search, procs.SearchRequest{}))
			time.Sleep(searchEvery)
		}
	}()
	return l
}

func (l *load) count(reply *procs.SearchReply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !reply.Answered() {
		l.failed = append(l.failed, fmt.Sprintf("%s %s %v", reply.Outcome, reply.Code, reply.Err))
		return
	}
	l.answered++
	l.slowest = max(l.slowest, reply.Took)
	l.versions[reply.ConfigVersion]++
	if reply.Coverage != nil && reply.Coverage.Fraction == 1 {
		l.whole++
	}
}

func (l *load) stop() {
	l.cancel()
	<-l.done
	l.caller.Close()
}
