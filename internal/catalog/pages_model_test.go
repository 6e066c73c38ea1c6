package catalog

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/arbutusgauge/arbutusgauge/internal/history"
)

const (
	modelHosts   = 3
	modelServers = 10
)

// pagedSource is a Source in memory that reads its servers in pages. between runs before
// each page but the first and before the answer of a watch is delivered; an error fails
// the read.
type pagedSource struct {
	at       history.Position
	pageSize int
	entries  map[string]Server
	newest   map[string]Server // the newest registration of each server, also of removed ones
	log      []ServerChange    // of the era
	states   map[history.Position]map[string]Server
	between  func() error
}

func (s *pagedSource) Table(context.Context) (OperatorEntries, history.Position, error) {
	return OperatorEntries{Table: testTable(1)}, s.at, nil
}

func (s *pagedSource) WatchTable(context.Context, history.Position, time.Duration) (OperatorEntries, history.Position, error) {
	return OperatorEntries{}, s.at, nil
}

func (s *pagedSource) Servers(context.Context) (ServerList, error) {
	list := ServerList{From: s.at}
	for after := ""; ; {
		var keys []string
		for _, key := range slices.Sorted(maps.Keys(s.entries)) {
			if key > after && len(keys) < s.pageSize {
				list.Servers, keys = append(list.Servers, s.entries[key]), append(keys, key)
			}
		}
		list.To = s.at
		if len(keys) < s.pageSize {
			return list, nil
		}
		after = keys[len(keys)-1]
		if err := s.between(); err != nil {
			return ServerList{}, err
		}
		if s.at.Era != list.From.Era {
			return ServerList{}, &HistoryGoneError{After: list.From}
		}
	}
}

func (s *pagedSource) WatchServers(_ context.Context, after history.Position, _ time.Duration) (ServerChanges, error) {
	if after.Era != s.at.Era {
		return ServerChanges{}, &HistoryGoneError{After: after}
	}
	answer := ServerChanges{Position: s.at}
	for _, change := range s.log {
		if change.Revision > after.Revision {
			answer.Changes = append(answer.Changes, change)
		}
	}
	return answer, s.between()
}

// record stores a change and the state after it.
func (s *pagedSource) record(id string, server *Server) {
	s.at.Revision++
	if delete(s.entries, id); server != nil {
		s.entries[id], s.newest[id] = *server, *server
	}
	s.log = append(s.log, ServerChange{ID: id, Server: server, Revision: s.at.Revision, Era: s.at.Era})
	s.states[s.at] = maps.Clone(s.entries)
}

// register registers the next sequence of a server, of a new incarnation if it is not
// running or has drained.
func (s *pagedSource) register(id string, draining, running bool) {
	next, known := s.newest[id]
	if !known {
		next = newServer(id, "a")
	} else if next.Sequence++; !running || next.Draining && !draining {
		next.Born, next.Sequence = next.Born+1, 1
	}
	next.Draining = draining
	s.record(id, &next)
}

// restore starts a new era with an earlier state.
func (s *pagedSource) restore(back uint64) {
	at := s.at
	at.Revision -= min(back, uint64(len(s.log)))
	s.entries, s.log = maps.Clone(s.states[at]), nil
	s.at = history.Position{Era: at.Era + 1, Revision: at.Revision}
	s.states[s.at] = maps.Clone(s.entries)
}

// modelStep is one step of a trial: what happens, to which server and hosts.
type modelStep struct{ Kind, A, B int }

func drawModelStep(t *rapid.T) modelStep {
	return modelStep{Kind: rapid.IntRange(0, 99).Draw(t, "kind"), A: rapid.IntRange(0, 99).Draw(t, "a"), B: rapid.IntRange(0, 99).Draw(t, "b")}
}

// readerTrial is a group of hosts that read the source, or each other's states.
type readerTrial struct {
	source  *pagedSource
	hosts   [modelHosts]*Catalog
	read    [modelHosts]followStep
	cursors [modelHosts]map[string]*peerCursor
	gaps    []modelStep // what happens between pages
	live    map[string]bool
	reading [modelHosts]bool
}

// RoundTrip passes a poll to the host that the address names.
func (m *readerTrial) RoundTrip(r *http.Request) (*http.Response, error) {
	host, err := strconv.Atoi(r.URL.Host)
	if err != nil {
		return nil, err
	}
	answer := httptest.NewRecorder()
	m.hosts[host].ServeState(answer, r)
	return answer.Result(), nil
}

func (m *readerTrial) start(host int) {
	time.Sleep(time.Millisecond) // a change log has its own number
	c, err := New(Options{Source: m.source, ServersPace: time.Microsecond})
	if err != nil {
		panic(err)
	}
	c.SetTable(testTable(1), "test")
	m.hosts[host], m.read[host], m.cursors[host] = c, c.newServersStep(), map[string]*peerCursor{}
}

func (m *readerTrial) poll(host, peer int) {
	if host == peer {
		return
	}
	name := strconv.Itoa(peer)
	cursor := m.cursors[host][name]
	if cursor == nil {
		cursor = &peerCursor{peer: name}
		m.cursors[host][name] = cursor
	}
	_ = m.hosts[host].pollPeer(context.Background(), &http.Client{Transport: m}, cursor, maxPeerStateAge)
}

// readSource lets a host make one call to the source, unless it is in one.
func (m *readerTrial) readSource(host int) {
	if !m.reading[host] {
		m.reading[host] = true
		m.hosts[host].noteTableAnswer()
		_ = m.read[host](context.Background())
		m.reading[host] = false
	}
}

// change changes an entry of the source.
func (m *readerTrial) change(step modelStep) {
	id := fmt.Sprintf("i-%02d", step.A%modelServers)
	switch step.B % 4 {
	case 0, 1:
		m.source.register(id, false, m.live[id])
		m.live[id] = true
	case 2:
		if m.live[id] {
			m.source.register(id, true, true)
		}
	case 3:
		if _, listed := m.source.entries[id]; listed {
			m.source.record(id, nil)
		}
		delete(m.live, id)
	}
}

// between runs the steps between two pages.
func (m *readerTrial) between() error {
	for len(m.gaps) > 0 {
		step := m.gaps[0]
		m.gaps = m.gaps[1:]
		switch {
		case step.Kind < 30:
			return nil
		case step.Kind < 75:
			m.change(step)
		case step.Kind < 85:
			m.readSource(step.B % modelHosts)
		case step.Kind < 95:
			m.poll(step.A%modelHosts, step.B%modelHosts)
		case step.Kind < 98:
			return sourceError{}
		default:
			m.source.restore(uint64(step.A % 8))
		}
	}
	return nil
}

func (m *readerTrial) do(step modelStep) {
	host := step.A % modelHosts
	switch {
	case step.Kind < 30:
		m.change(step)
	case step.Kind < 60:
		m.readSource(host)
	case step.Kind < 85:
		m.poll(host, step.B%modelHosts)
	case step.Kind < 90:
		m.start(host)
	case step.Kind < 93:
		_ = m.hosts[host].readInitialServers(context.Background())
	case step.Kind < 98:
		m.pause(time.Duration(step.A) * 20 * time.Millisecond)
	default:
		m.source.restore(uint64(step.A % 8))
	}
}

func (m *readerTrial) pause(d time.Duration) {
	time.Sleep(d)
	for _, c := range m.hosts {
		c.dropExpired()
	}
}

// behind returns what a host misses of the state of the source at its position. After a
// restoration hosts rightly know more than the source.
func (m *readerTrial) behind() string {
	for host, c := range m.hosts {
		state := m.source.states[c.position]
		if c.position.Era > 1 || c.position.Revision == 0 {
			continue
		}
		if problem := difference(state, c); problem != "" {
			return fmt.Sprintf("host %d at %v: %s", host, c.position, problem)
		}
	}
	return ""
}

// difference compares the servers that a host knows with a state of the source.
func difference(state map[string]Server, c *Catalog) string {
	for id, want := range state {
		got, known := c.servers.known[id]
		if got.Sequence = want.Sequence; !known || got != want {
			return fmt.Sprintf("%s: known %v %+v, want %+v", id, known, got, want)
		}
	}
	for id := range c.servers.known {
		if _, listed := state[id]; !listed {
			return id + ": known after its removal"
		}
	}
	return ""
}

// settle lets all live servers register again, as they do within the grace period, one
// host read the source and the others follow it, and compares them with the source.
func (m *readerTrial) settle(reader int) string {
	for _, id := range slices.Sorted(maps.Keys(m.source.newest)) {
		switch _, listed := m.source.entries[id]; {
		case m.live[id]:
			next := m.source.newest[id]
			next.Sequence++
			m.source.record(id, &next)
		case listed:
			m.source.record(id, nil)
		}
	}
	m.gaps = nil
	for range 5 {
		m.readSource(reader) // the first call may report that the history is gone
		for host := range m.hosts {
			m.poll(host, reader)
		}
		m.pause(time.Second)
	}
	for host, c := range m.hosts {
		if problem := difference(m.source.entries, c); problem != "" {
			return fmt.Sprintf("host %d at the end, reader %d: %s", host, reader, problem)
		}
	}
	return ""
}

func (m *readerTrial) run(steps []modelStep, pageSize, reader int) string {
	m.live = map[string]bool{}
	m.source = &pagedSource{
		at: history.Position{Era: 1, Revision: 1}, pageSize: pageSize, entries: map[string]Server{}, newest: map[string]Server{},
		states: map[history.Position]map[string]Server{}, between: m.between,
	}
	for i := range modelServers {
		m.change(modelStep{A: i})
	}
	for host := range m.hosts {
		m.start(host)
	}
	for _, step := range steps {
		m.do(step)
		if problem := m.behind(); problem != "" {
			return problem
		}
	}
	return m.settle(reader)
}

// Guards against drains, removals and new replicas that a follower never learns of: a
// change between two pages of a full read was logged with the position of the first page,
// and followers at that position skipped it. Also against changes lost when the reader
// changes or restarts, when a host learns a later state while it reads, and when the
// store is restored. A follower at a position holds each change up to it, so that after
// one watch of the reader and one poll it misses none.
func TestFollowersHoldEachChangeUpToTheirPosition(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		trial := &readerTrial{gaps: rapid.SliceOfN(rapid.Custom(drawModelStep), 0, 60).Draw(rt, "gaps")}
		steps := rapid.SliceOfN(rapid.Custom(drawModelStep), 1, 60).Draw(rt, "steps")
		pageSize := rapid.IntRange(2, 2*modelServers).Draw(rt, "page size") // one to five pages
		reader := rapid.IntRange(0, modelHosts-1).Draw(rt, "reader")
		var problem string
		synctest.Test(t, func(*testing.T) { problem = trial.run(steps, pageSize, reader) })
		if problem != "" {
			rt.Fatal(problem)
		}
	})
}
