package catalog

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/arbutusgauge/arbutusgauge/internal/history"
)

// evacuate writes an evacuation, or removes it.
func (s *fakeSource) evacuate(name string, removed bool) {
	s.set(func(s *fakeSource) {
		s.revision++
		if s.evacuated == nil {
			s.evacuated = map[string]bool{}
		}
		s.evacuated[name] = true
		if removed {
			delete(s.evacuated, name)
		}
		s.evacuations = append(s.evacuations, loggedEvacuation{Evacuation{DataCentre: name, Removed: removed}, s.revision})
	})
}

// evacuationStore is a store that keeps its whole history, over all eras.
type evacuationStore struct {
	at      history.Position
	sets    map[history.Position]map[string]bool
	changes []loggedEvacuation // of the present era's history
}

func newEvacuationStore() *evacuationStore {
	s := &evacuationStore{at: history.Position{Era: 1, Revision: 1}, sets: map[history.Position]map[string]bool{}}
	s.sets[s.at] = map[string]bool{}
	return s
}

func (s *evacuationStore) write(name string, removed bool) {
	next := map[string]bool{}
	for n := range s.sets[s.at] {
		next[n] = true
	}
	next[name] = true
	if removed {
		delete(next, name)
	}
	s.at.Revision++
	s.sets[s.at] = next
	s.changes = append(s.changes, loggedEvacuation{Evacuation{DataCentre: name, Removed: removed}, s.at.Revision})
}

// restore goes back to an earlier revision of the present era.
func (s *evacuationStore) restore(revision uint64) {
	from := history.Position{Era: s.at.Era, Revision: revision}
	for r := uint64(1); r <= revision; r++ {
		s.sets[history.Position{Era: from.Era + 1, Revision: r}] = s.sets[history.Position{Era: from.Era, Revision: r}]
	}
	s.at = history.Position{Era: from.Era + 1, Revision: revision}
	s.changes = slices.DeleteFunc(s.changes, func(c loggedEvacuation) bool { return c.revision > revision })
}

// watch returns the changes after a position; false if they are gone.
func (s *evacuationStore) watch(after history.Position) (changes []Evacuation, held bool) {
	for _, c := range s.changes {
		if c.revision > after.Revision {
			changes = append(changes, c.Evacuation)
		}
	}
	return changes, after.Era == s.at.Era
}

// evacuationHost is a host with its own position as a reader.
type evacuationHost struct {
	set    evacuatedSet
	reader history.Position
}

// Guards against an evacuated data centre that a late read, an old watch or the state of an
// older peer brings back into use or takes out of it, and against hosts that do not end
// with the right set after restorations, changes of the reader and of the leader. Answers
// arrive late and in any order.
func TestEvacuatedSetFollowsTheStoreWhateverArrivesLate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		store := newEvacuationStore()
		hosts := []*evacuationHost{{}, {}, {}}
		var late []func()
		check := func() {
			for _, h := range hosts {
				if h.set.at.Revision != 0 {
					g.Expect(h.set.names).To(Equal(store.sets[h.set.at]), "at %v", h.set.at)
				}
			}
		}
		read := func(h *evacuationHost) func() {
			at, names := store.at, store.sets[store.at]
			return func() { h.set.replace(names, at); h.reader = at }
		}
		watch := func(h *evacuationHost) func() {
			after, next := h.reader, store.at
			changes, held := store.watch(after)
			return func() {
				if !held {
					h.reader = history.Position{}
					return
				}
				h.set.replace(h.set.changed(changes), next)
				h.reader = next
			}
		}
		poll := func(h, peer *evacuationHost) func() {
			state := peer.set.state()
			return func() {
				if state == nil {
					return
				}
				names := map[string]bool{}
				for _, n := range state.DataCentres {
					names[n] = true
				}
				before := h.set.at
				h.set.replace(names, state.Position)
				g.Expect(h.set.at.IsBefore(before)).To(BeFalse(), "position went back")
			}
		}
		// follow makes one call of a reader; a host makes one at a time.
		follow := func(h *evacuationHost) func() {
			if h.reader.Revision == 0 {
				return read(h)
			}
			return watch(h)
		}
		busy := map[*evacuationHost]bool{}
		pick := func(name string) *evacuationHost { return rapid.SampledFrom(hosts).Draw(t, name) }
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				store.write(rapid.SampledFrom([]string{"x", "y"}).Draw(t, "zone"), rapid.Bool().Draw(t, "removed"))
			},
			"restore": func(t *rapid.T) {
				if store.at.Era < 4 {
					store.restore(rapid.Uint64Range(1, store.at.Revision).Draw(t, "revision"))
				}
			},
			"follow": func(*rapid.T) {
				if h := pick("host"); !busy[h] {
					busy[h] = true
					apply := follow(h)
					late = append(late, func() { busy[h] = false; apply() })
				}
			},
			"poll": func(*rapid.T) { late = append(late, poll(pick("host"), pick("peer"))) },
			"restart": func(*rapid.T) {
				if h := pick("host"); !busy[h] {
					*h = evacuationHost{}
				}
			},
			"deliver": func(t *rapid.T) {
				if len(late) > 0 {
					i := rapid.IntRange(0, len(late)-1).Draw(t, "answer")
					apply := late[i]
					late = slices.Delete(late, i, i+1)
					apply()
				}
			},
			"": func(*rapid.T) { check() },
		})
		for _, apply := range late {
			apply()
		}
		for range 3 { // a lost position, a full read, a watch
			follow(hosts[0])()
		}
		poll(hosts[1], hosts[0])()
		poll(hosts[2], hosts[1])()
		for _, h := range hosts {
			g.Expect(h.set.names).To(Equal(store.sets[store.at]))
		}
	})
}

// Guards against a reader that misses an evacuation or its end, also when the history of
// the store is lost meanwhile, and against a view without the set that was read with its table.
func TestReaderFollowsEvacuations(t *testing.T) {
	s := newSource()
	s.putTable(1)
	s.evacuate("sindh", false)
	runCatalog(t, s, func(g *WithT, c *Catalog) {
		g.Expect(c.View().Evacuated).To(Equal([]string{"sindh"}))
		s.evacuate("badin", false)
		time.Sleep(time.Second)
		g.Expect(c.View().Evacuated).To(Equal([]string{"badin", "sindh"}))
		s.evacuate("sindh", true)
		time.Sleep(time.Second)
		g.Expect(c.View().Evacuated).To(Equal([]string{"badin"}))
		s.set(func(s *fakeSource) { s.tableHistoryGone = true; s.evacuated, s.evacuations = nil, nil; s.revision++ })
		time.Sleep(3 * time.Second)
		g.Expect(c.View().Evacuated).To(BeEmpty(), "the removal was in the lost history")
	})
}

// Guards against a host that starts with the table of a peer, but uses replicas of evacuated
// data centres until it hears of them by other means, and against the state of an older
// host, or of one of an earlier version, that ends the evacuation.
func TestPeersTellTheEvacuatedDataCentres(t *testing.T) {
	g := NewWithT(t)
	newCatalog := func() *Catalog {
		c, err := New(Options{Source: newSource()})
		g.Expect(err).NotTo(HaveOccurred())
		return c
	}
	leader, follower := newCatalog(), newCatalog()
	leader.applyEvacuationRead([]Evacuation{{DataCentre: "badin"}}, history.Position{Era: 1, Revision: 9})
	leader.SetTable(testTable(1), "test")
	leader.setServers(nil, history.Position{Era: 1, Revision: 9}, history.Position{})
	var views []*View
	follower.OnChange(func(v *View) { views = append(views, v) })
	poll := func(from *Catalog) {
		peer := httptest.NewServer(http.HandlerFunc(from.ServeState))
		defer peer.Close()
		cursor := &peerCursor{peer: strings.TrimPrefix(peer.URL, "http://")}
		g.Expect(follower.pollPeer(t.Context(), http.DefaultClient, cursor, unlimitedAge)).To(Succeed())
	}
	poll(leader)
	g.Expect(views).NotTo(BeEmpty())
	for _, v := range views {
		g.Expect(v.Evacuated).To(Equal([]string{"badin"}))
	}
	older, earlierVersion, restored := newCatalog(), newCatalog(), newCatalog()
	older.applyEvacuationRead(nil, history.Position{Era: 1, Revision: 8})
	restored.applyEvacuationRead(nil, history.Position{Era: 2, Revision: 3})
	for _, c := range []*Catalog{older, earlierVersion, restored} {
		c.SetTable(testTable(2), "test")
	}
	poll(older)
	poll(earlierVersion)
	g.Expect(follower.View().Evacuated).To(Equal([]string{"badin"}))
	poll(restored)
	g.Expect(follower.View().Evacuated).To(BeEmpty())
	poll(leader)
	g.Expect(follower.View().Evacuated).To(BeEmpty(), "the state of an earlier era")
}
