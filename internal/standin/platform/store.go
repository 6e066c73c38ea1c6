package platform

import (
	"sync"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/infra"
)

// store is the key-value state.
type store struct {
	mu      sync.Mutex
	entries map[string]EntryBody
	changed chan struct{} // closed and replaced at each successful write of any key
}

func newStore() *store {
	return &store{entries: map[string]EntryBody{}, changed: make(chan struct{})}
}

// get returns the entry of a key, with revision 0 if the key is absent, and a
// channel that is closed at the next write of any key.
func (s *store) get(key string) (EntryBody, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, ok := s.entries[key]
	if !ok {
		entry = EntryBody{Key: key}
	}
	return entry, s.changed
}

// compareAndSwap writes value if the key is at the given revision (0: absent).
// It returns the entry after the call and whether the write took effect.
func (s *store) compareAndSwap(key string, revision uint64, value []byte) (EntryBody, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, ok := s.entries[key]
	if !ok {
		current = EntryBody{Key: key}
	}
	if current.Revision != revision {
		return current, false
	}
	next := EntryBody{Key: key, Value: value, Revision: revision + 1}
	s.entries[key] = next
	close(s.changed)
	s.changed = make(chan struct{})
	return next, true
}

// hostList is the host list. Readers see a change only once the lag that was
// in force at the change has passed.
type hostList struct {
	mu      sync.Mutex
	actual  []infra.ListedHost // includes changes that are not visible yet
	visible infra.Hosts
	changed chan struct{}
}

func newHostList() *hostList { return &hostList{changed: make(chan struct{})} }

// get returns the visible list and a channel that is closed when the next list
// becomes visible.
func (l *hostList) get() (infra.Hosts, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.visible, l.changed
}

// update applies change to the actual rows and makes the result visible after
// lag, or at once if lag is not positive.
func (l *hostList) update(lag time.Duration, change func([]infra.ListedHost) []infra.ListedHost) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// change gets a copy, because visible rows are read without the lock.
	l.actual = change(append([]infra.ListedHost(nil), l.actual...))
	rows := l.actual
	if lag <= 0 {
		l.publish(rows)
		return
	}
	time.AfterFunc(lag, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.publish(rows)
	})
}

// publish makes rows visible under the next revision. The caller holds mu.
func (l *hostList) publish(rows []infra.ListedHost) {
	l.visible = infra.Hosts{Revision: l.visible.Revision + 1, Hosts: rows}
	close(l.changed)
	l.changed = make(chan struct{})
}
