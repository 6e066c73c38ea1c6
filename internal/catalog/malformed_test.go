package catalog

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/arbutusgauge/arbutusgauge/internal/backend"
	"github.com/arbutusgauge/arbutusgauge/internal/history"
	"github.com/arbutusgauge/arbutusgauge/internal/lead"
	"github.com/arbutusgauge/arbutusgauge/internal/owner"
	"github.com/arbutusgauge/arbutusgauge/internal/readlimit"
	"github.com/arbutusgauge/arbutusgauge/internal/scatter"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// unreachable is a Dialer and a Registry that reach nothing.
type unreachable struct{}

type unreachableError struct{}

func (unreachableError) Error() string { return "not reachable" }

func (unreachable) Dial(_ context.Context, replica wire.ReplicaID) (backend.Conn, error) {
	return nil, &backend.DialError{Replica: replica, Err: unreachableError{}}
}
func (unreachable) Owns(string, uint32, wire.ReplicaID) bool         { return true }
func (unreachable) Seats(context.Context, bool) ([]lead.Seat, error) { return nil, unreachableError{} }

func (unreachable) Take(context.Context, lead.Seat, history.Position) (history.Position, error) {
	return history.Position{}, unreachableError{}
}

func (unreachable) Update(context.Context, lead.Seat) (history.Position, error) {
	return history.Position{}, unreachableError{}
}

func (unreachable) Renew(context.Context) (bool, error) { return false, unreachableError{} }
func (unreachable) Leave(context.Context) error         { return nil }

// newConnectedCatalog returns a catalog whose views reach an owner and an engine,
// as in an entry host, and whose fleet reaches a lead agent.
func newConnectedCatalog(t testing.TB) (*Catalog, *lead.Agent) {
	t.Helper()
	g := NewWithT(t)
	agent, err := lead.New(lead.Options{
		Registry: unreachable{}, Host: lead.Host{Name: "h", DataCentre: "badin", PeerAddr: "127.0.0.1:1"}, OnFleet: func(lead.Fleet) {},
	})
	g.Expect(err).NotTo(HaveOccurred())
	o, err := owner.New(owner.Options{DataCentre: "badin", AllDataCentres: true, Dialer: unreachable{}, Ownership: unreachable{}})
	g.Expect(err).NotTo(HaveOccurred())
	engine, err := scatter.New(scatter.Options{Sender: o, DataCentre: "badin", Incarnation: 1, EstimateWait: o.EstimateWait})
	g.Expect(err).NotTo(HaveOccurred())
	c, err := New(Options{Source: newSource(), Leadership: agent, ExtraLoad: 0.1, ExtraBurst: 50})
	g.Expect(err).NotTo(HaveOccurred())
	c.OnChange(func(v *View) {
		o.SetConfig(v.Config)
		engine.Retain(v.Config)
	})
	return c, agent
}

// Guards against a state of a peer that takes the process down: whatever decodes
// is applied to all modules, used for a query, and passed on.
func FuzzPeerState(f *testing.F) {
	for _, seed := range []string{
		`{}`, `null`, `{"run":1,"table":{"version":1}}`, `{"run":1,"table":{"version":2,"routes":[{"shards":["a","a",""],"least_coverage":7}]}}`,
		`{"run":1,"table":{"version":3,"routes":[{"host":"h","prefix":"/","timeout":-1,"latency_goal":-5,"targets":[{"weight":-1}]}]},"full":true,"servers":[{"service":"a"}]}`,
		`{"run":1,"fleet":{"seats":[{"name":"x","data_centre":"badin","number":1,"hosts":-5}]}}`,
		`{"run":1,"fleet":{"seats":[{"name":"x","data_centre":"badin","number":-1,"hosts":9223372036854775807,"cores":1e308}]}}`,
		`{"run":1,"revision":5,"changes":[{"ID":"a"},{"ID":"b","Server":{"id":"b","slots":4294967295}}],"age":9223372036854775807}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		state, err := decodePeerState(text)
		if err != nil {
			return
		}
		c, agent := newConnectedCatalog(t)
		if state.Table != nil {
			c.SetTable(state.Table, "fuzz")
		}
		c.applyPeerState(state, 0)
		agent.AdoptFleet(state.Fleet)
		agent.ReportLeaderless()
		if view := c.View(); view != nil {
			for i := range view.Table.Routes {
				route := view.Table.Match(view.Table.Routes[i].Host, view.Table.Routes[i].Prefix)
				if route != nil {
					route.ChooseService()
				}
			}
		}
		if next := c.stateSince(peerCursor{}); next != nil {
			next.Fleet = agent.Fleet()
			if _, err := json.Marshal(next); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// Guards against a host that fails, or takes over what is impossible, after one
// malformed message of a peer.
func TestMalformedStateOfAPeerChangesNothing(t *testing.T) {
	g := NewWithT(t)
	c, agent := newConnectedCatalog(t)
	c.SetTable(testTable(5), "test")
	text := ""
	peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, text) }))
	defer peer.Close()
	addr := strings.TrimPrefix(peer.URL, "http://")
	for _, text = range []string{
		``, `null`, `[]`, `{}`, `{"run":1,"age":-5}`, `{"run":1,"table":{}}`, `{"run":1,"table":{"version":9}`, `{"run":1,"table":{"version":"9"}}`,
		strings.Repeat(`{"run":`, 100000),
	} {
		g.Expect(c.pollPeer(t.Context(), http.DefaultClient, &peerCursor{peer: addr}, time.Hour)).NotTo(Succeed(), text)
	}
	g.Expect(c.View().Table.Version).To(BeEquivalentTo(5))
	text = `{"run":1,"fleet":{"seats":[{"name":"x","data_centre":"badin","number":1,"hosts":-7},{"name":"y","data_centre":"badin","number":2,"hosts":2}]}}`
	g.Expect(c.pollPeer(t.Context(), http.DefaultClient, &peerCursor{peer: addr}, time.Hour)).To(Succeed())
	agent.ReportLeaderless()
	g.Expect(agent.Fleet().Hosts()).To(Equal(2), "the malformed seat is left out")
}

// Guards against a state without end that takes the memory of the host.
func TestEndlessStateOfAPeerIsRefused(t *testing.T) {
	g := NewWithT(t)
	c, _ := newConnectedCatalog(t)
	block := []byte(strings.Repeat(`{"servers":[`, 1000))
	peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for {
			if _, err := w.Write(block); err != nil {
				return
			}
		}
	}))
	defer peer.Close()
	_, err := c.fetchState(t.Context(), http.DefaultClient, peerCursor{peer: strings.TrimPrefix(peer.URL, "http://")})
	g.Expect(readlimit.Exceeded(err)).To(BeTrue(), "%v", err)
}
