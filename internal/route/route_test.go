package route

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/arbutusgauge/arbutusgauge/internal/member"
	"github.com/arbutusgauge/arbutusgauge/internal/release"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

type fakeMembers struct{ view *member.View }

func (m *fakeMembers) View() *member.View { return m.view }
func (m *fakeMembers) Suspect(string)     {}

// recordingSender records what it is sent and never replies.
type recordingSender struct {
	subs      map[wire.SubRequestID]bool
	cancelled []wire.SubRequestID
	done      func([]wire.Reply)
}

func (r *recordingSender) Send(subs []wire.SubRequest, done func([]wire.Reply)) {
	r.done = done
	for _, s := range subs {
		r.subs[s.ID] = true
	}
}

func (r *recordingSender) Cancel(ids []wire.SubRequestID) { r.cancelled = append(r.cancelled, ids...) }

// senderTable implements Peers with a recordingSender per address.
type senderTable map[string]*recordingSender

func (t senderTable) Sender(addr string) wire.Sender {
	if t[addr] == nil {
		t[addr] = &recordingSender{subs: map[wire.SubRequestID]bool{}}
	}
	return t[addr]
}

func testConfig(version uint64, shards int) *release.Config {
	service := &release.Service{Name: "mill-dispatch"}
	for i := range shards {
		service.Shards = append(service.Shards, release.Shard{
			ID: uint32(i),
			Replicas: []release.Replica{
				{Addr: wire.ReplicaID(fmt.Sprintf("127.0.0.1:%d", 20000+2*i)), DataCentre: "badin"},
				{Addr: wire.ReplicaID(fmt.Sprintf("127.0.0.1:%d", 20001+2*i)), DataCentre: "badin"},
			},
		})
	}
	return &release.Config{Version: version, Services: map[string]*release.Service{service.Name: service}}
}

func testView(version uint64, states ...member.State) *member.View {
	view := &member.View{Version: version}
	for i, state := range states {
		view.Hosts = append(view.Hosts, member.Host{
			Name: fmt.Sprintf("badin-%d", i), Addr: fmt.Sprintf("127.0.0.1:%d", 17000+i), DataCentre: "badin", State: state, ConfigVersion: 1,
		})
	}
	view.Self = view.Hosts[0]
	return view
}

// ownerNames returns the host name of the owner of each replica that has one.
func ownerNames(r *Router, cfg *release.Config) map[wire.ReplicaID]string {
	out := map[wire.ReplicaID]string{}
	for _, shard := range cfg.Services["mill-dispatch"].Shards {
		for _, replica := range shard.Replicas {
			if host := r.currentState().ownerOf(replica.Addr); host != nil {
				out[replica.Addr] = host.Name
			}
		}
	}
	return out
}

// Guards against a change of hosts that moves replicas whose owner remains, which
// would needlessly close and open connections.
func TestOnlyUnitsOfTheLostHostMove(t *testing.T) {
	g := NewWithT(t)
	cfg := testConfig(1, 200)
	members := &fakeMembers{view: testView(1, member.Live, member.Live, member.Live)}
	router := New(Options{Config: func() *release.Config { return cfg }, Members: members})
	before := ownerNames(router, cfg)
	members.view = testView(2, member.Live, member.Suspect, member.Live)
	after := ownerNames(router, cfg)
	count := map[string]int{}
	for replica, host := range before {
		count[host]++
		if host != "badin-1" {
			g.Expect(after[replica]).To(Equal(host))
		}
		g.Expect(after[replica]).NotTo(Equal("badin-1"))
	}
	for _, n := range count {
		g.Expect(n).To(BeNumerically("~", 400/3, 40), "owners share the replicas evenly")
	}
}

// Guards against sub-requests to a host that has just started and has no
// configuration, so that it refuses them all.
func TestHostWithoutConfigurationOwnsNothing(t *testing.T) {
	g := NewWithT(t)
	cfg := testConfig(1, 20)
	view := testView(1, member.Live, member.Live, member.Live)
	view.Hosts[1].ConfigVersion = 0
	router := New(Options{Config: func() *release.Config { return cfg }, Members: &fakeMembers{view: view}})
	g.Expect(ownerNames(router, cfg)).NotTo(ContainElement("badin-1"))
	for i := range view.Hosts {
		view.Hosts[i].ConfigVersion = 0
	}
	router = New(Options{Config: func() *release.Config { return cfg }, Members: &fakeMembers{view: view}})
	g.Expect(ownerNames(router, cfg)).To(HaveLen(40), "without an eligible host, the live ones are tried")
}

// Guards against a sub-request that is sent to another host than the owner, and
// against a cancel that goes to another host than its sub-request.
func TestSubRequestsAreGroupedByOwner(t *testing.T) {
	g := NewWithT(t)
	cfg := testConfig(1, 20)
	local := &recordingSender{subs: map[wire.SubRequestID]bool{}}
	peers := senderTable{}
	router := New(Options{
		Config:  func() *release.Config { return cfg },
		Members: &fakeMembers{view: testView(1, member.Live, member.Live, member.Leaving)},
		Local:   local, Peers: peers,
	})
	var subs []wire.SubRequest
	var refused []wire.Reply
	for i, shard := range cfg.Services["mill-dispatch"].Shards {
		subs = append(subs, wire.SubRequest{ID: wire.SubRequestID{Seq: uint64(i)}, Replica: shard.Replicas[0].Addr})
	}
	subs = append(subs, wire.SubRequest{ID: wire.SubRequestID{Seq: 99}, Replica: "127.0.0.1:1"})
	router.Send(subs, func(r []wire.Reply) { refused = append(refused, r...) })
	g.Expect(refused).To(ConsistOf(wire.Reply{
		ID: wire.SubRequestID{Seq: 99}, Replica: "127.0.0.1:1", Outcome: wire.NotRun, Reason: wire.ReasonUnknownReplica,
	}))
	g.Expect(peers).To(HaveLen(1), "a leaving host owns nothing")
	remote := peers["127.0.0.1:17001"]
	g.Expect(len(local.subs) + len(remote.subs)).To(Equal(20))
	for id := range remote.subs {
		router.Cancel([]wire.SubRequestID{id})
		g.Expect(remote.cancelled).To(ConsistOf(id), "a cancel follows its sub-request")
		break
	}
}

// Guards against refusing sub-requests of queries that began with the previous
// configuration.
func TestReplicasOfThePreviousConfigurationKeepTheirOwner(t *testing.T) {
	g := NewWithT(t)
	cfg := testConfig(1, 4)
	router := New(Options{
		Config:  func() *release.Config { return cfg },
		Members: &fakeMembers{view: testView(1, member.Live)},
	})
	g.Expect(router.Owns("", 0, "127.0.0.1:20006")).To(BeTrue())
	cfg = testConfig(2, 2)
	g.Expect(router.Owns("", 0, "127.0.0.1:20006")).To(BeTrue())
	cfg = testConfig(3, 2)
	g.Expect(router.Owns("", 0, "127.0.0.1:20006")).To(BeFalse())
}
