package member

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/infra"
	"github.com/arbutusgauge/arbutusgauge/internal/peer/peerpb"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// runSimulation runs body in virtual time with 9 hosts that have joined.
func runSimulation(t *testing.T, body func(t *testing.T, g *WithT, n *network, hosts []*simHost)) {
	runSimulationOf(t, 9, body)
}

// runSimulationOf runs body in virtual time with count hosts that have joined.
func runSimulationOf(t *testing.T, count int, body func(t *testing.T, g *WithT, n *network, hosts []*simHost)) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		defer n.stopAll()
		hosts := n.startAll(t, count)
		limit := 5 * time.Second
		if count > 9 {
			limit = 10 * time.Second
		}
		waitUntil(t, limit, "all hosts join", func() bool { return allLive(hosts) })
		body(t, NewWithT(t), n, hosts)
	})
}

// Guards against a dead host that stays in views, and against a restarted host
// that is still shown with its old incarnation.
func TestDeadHostAndRestart(t *testing.T) {
	runSimulation(t, func(t *testing.T, g *WithT, n *network, hosts []*simHost) {
		n.kill(hosts[4])
		rest := append(append([]*simHost{}, hosts[:4]...), hosts[5:]...)
		waitUntil(t, 6*time.Second, "dead host leaves all views", func() bool { return allLive(rest) })
		restarted := n.startHostNumber(t, 4, "10.0.0.0:7000")
		waitUntil(t, 4*time.Second, "restarted host is in all views", func() bool {
			for _, h := range rest {
				for _, host := range h.View().Hosts {
					if host.Name == hostName(4) && (host.State != Live || host.Incarnation != restarted.opts.Self.Incarnation) {
						return false
					}
				}
			}
			return allLive(append(rest, restarted))
		})
	})
}

// Guards against live hosts that are declared dead when 10% of the messages are
// lost.
func TestMessageLossDeclaresNoHostDead(t *testing.T) {
	runSimulationOf(t, 45, func(t *testing.T, g *WithT, n *network, hosts []*simHost) {
		n.setFaults(0.1, nil)
		checkDuring(30*time.Second, func() {
			for _, h := range hosts {
				g.Expect(h.View().Hosts).To(HaveLen(len(hosts)))
			}
		})
	})
}

// Guards against hosts that are suspected when only the path between two of them
// fails.
func TestLostPathBetweenTwoHosts(t *testing.T) {
	runSimulation(t, func(t *testing.T, g *WithT, n *network, hosts []*simHost) {
		a, b := hosts[0].opts.Self.Name, hosts[3].opts.Self.Name
		n.setFaults(0, func(x, y Host) bool { return x.Name == a && y.Name == b || x.Name == b && y.Name == a })
		checkDuring(20*time.Second, func() { g.Expect(allLive(hosts)).To(BeTrue()) })
	})
}

// expectNeighboursLive fails the test if a host other than except has another
// host of its data centre, other than except, in a state other than Live.
func expectNeighboursLive(g *WithT, hosts []*simHost, except string) {
	for _, h := range hosts {
		if h.opts.Self.Name == except {
			continue
		}
		states := h.states()
		for _, other := range hosts {
			self := other.opts.Self
			if self.DataCentre == h.opts.Self.DataCentre && self.Name != except {
				g.ExpectWithOffset(1, states).To(HaveKeyWithValue(self.Name, Live), "neighbour of "+h.opts.Self.Name)
			}
		}
	}
}

// Guards against views that stay different after a partition, and against hosts
// that accept the other side's claim that hosts of their own data centre failed.
func TestPartitionHeals(t *testing.T) {
	for _, length := range []time.Duration{8 * time.Second, time.Minute} {
		t.Run(length.String(), func(t *testing.T) {
			runSimulationOf(t, 18, func(t *testing.T, g *WithT, n *network, hosts []*simHost) {
				n.setFaults(0, func(a, b Host) bool { return (a.DataCentre == "badin") != (b.DataCentre == "badin") })
				time.Sleep(length)
				g.Expect(len(hosts[0].states())).To(BeNumerically("<", len(hosts)))
				n.setFaults(0, nil)
				healed := time.Now()
				var completeAt time.Time
				checkDuring(20*time.Second, func() {
					expectNeighboursLive(g, hosts, "")
					if completeAt.IsZero() && allLive(hosts) {
						completeAt = time.Now()
					}
				})
				g.Expect(completeAt).NotTo(BeZero())
				t.Logf("views complete %s after the partition", completeAt.Sub(healed))
				g.Expect(completeAt.Sub(healed)).To(BeNumerically("<", 15*time.Second))
			})
		})
	}
}

// Guards against a host that was cut off and on its return makes others believe
// that its neighbours are dead.
func TestIsolatedHostReturns(t *testing.T) {
	// After the shorter times its claims are still queued to be sent.
	for _, length := range []time.Duration{5 * time.Second, 6 * time.Second, 15 * time.Second} {
		t.Run(length.String(), func(t *testing.T) {
			runSimulation(t, func(t *testing.T, g *WithT, n *network, hosts []*simHost) {
				isolated := hosts[3].opts.Self.Name
				n.setFaults(0, func(a, b Host) bool { return a.Name == isolated || b.Name == isolated })
				time.Sleep(length)
				g.Expect(hosts[0].states()).NotTo(HaveKey(isolated))
				g.Expect(hosts[3].states()).NotTo(HaveKey(hostName(0)))
				n.setFaults(0, nil)
				checkDuring(10*time.Second, func() { expectNeighboursLive(g, hosts, isolated) })
				g.Expect(allLive(hosts)).To(BeTrue())
			})
		})
	}
}

// Guards against a host that was cut off and still spreads its claims about other
// hosts on its return. It has recorded all others as dead, while they only
// suspect it so far.
func TestReturningHostDropsItsClaims(t *testing.T) {
	g := NewWithT(t)
	self := Host{Name: "badin-1", Addr: "10.0.0.1:7000", DataCentre: "badin", Incarnation: 1}
	agent, err := New(Options{Self: self, Gossiper: simTransport{newNetwork(), Host{}}, Log: quietLog})
	g.Expect(err).NotTo(HaveOccurred())
	agent.joined = true
	event := func(name string, state State) *peerpb.MemberEvent {
		return &peerpb.MemberEvent{Name: name, Addr: name, DataCentre: "badin", Incarnation: 1, State: uint32(state)}
	}
	receive := func(from *peerpb.MemberEvent, members ...*peerpb.MemberEvent) *peerpb.GossipMessage {
		reply, err := agent.HandleGossip(t.Context(), &peerpb.GossipMessage{From: from, Members: members})
		g.Expect(err).NotTo(HaveOccurred())
		return reply
	}
	receive(event("badin-0", Live), event("badin-0", Dead), event("badin-2", Dead))
	reply := receive(event("badin-2", Live), event("badin-1", Suspect))
	g.Expect(reply.Members).NotTo(ContainElement(And(HaveField("Name", "badin-0"), HaveField("State", uint32(Dead)))))
	g.Expect(agent.stale).To(BeTrue())
}

// Guards against a host that accepts failure claims from a sender that it has
// recorded as dead, and against one that doesn't inform the sender of that.
func TestClaimsOfDeadSenderAreIgnored(t *testing.T) {
	g := NewWithT(t)
	agent, err := New(Options{Self: Host{Name: "badin-0", Addr: "10.0.0.1:7000", DataCentre: "badin", Incarnation: 1}, Gossiper: simTransport{newNetwork(), Host{}}, Log: quietLog})
	g.Expect(err).NotTo(HaveOccurred())
	event := func(name string, state State) *peerpb.MemberEvent {
		return &peerpb.MemberEvent{Name: name, Addr: name, DataCentre: "badin", Incarnation: 1, State: uint32(state)}
	}
	receive := func(from *peerpb.MemberEvent, members ...*peerpb.MemberEvent) *peerpb.GossipMessage {
		reply, err := agent.HandleGossip(t.Context(), &peerpb.GossipMessage{From: from, Members: members})
		g.Expect(err).NotTo(HaveOccurred())
		return reply
	}
	states := func() map[string]State { return (&simHost{Agent: agent}).states() }
	receive(event("badin-1", Live), event("badin-2", Live), event("badin-3", Dead))

	reply := receive(event("badin-3", Live), event("badin-2", Dead))
	g.Expect(states()).To(HaveKeyWithValue("badin-2", Live))
	g.Expect(reply.Members).To(ContainElement(And(HaveField("Name", "badin-3"), HaveField("State", uint32(Dead)))))

	// The sender, not this host, was cut off: this host must not take over the
	// sender's table.
	receive(event("badin-3", Live), event("badin-0", Dead))
	g.Expect(agent.View().Self.Counter).To(Equal(uint64(1)))
	g.Expect(agent.stale).To(BeFalse())

	refuted := event("badin-3", Live)
	refuted.Counter = 1
	receive(refuted, event("badin-2", Dead))
	g.Expect(states()).To(HaveKeyWithValue("badin-3", Live))
	g.Expect(states()).To(HaveKeyWithValue("badin-2", Live))
	receive(refuted, event("badin-2", Dead))
	g.Expect(states()).NotTo(HaveKey("badin-2"))
}

// Guards against two data centres that declare each other's hosts dead when only
// the link between them fails and a third data centre reaches both.
func TestLostLinkBetweenTwoDataCentres(t *testing.T) {
	runSimulation(t, func(t *testing.T, g *WithT, n *network, hosts []*simHost) {
		n.setFaults(0, func(a, b Host) bool {
			return a.DataCentre == "badin" && b.DataCentre == "thatta" || a.DataCentre == "thatta" && b.DataCentre == "badin"
		})
		checkDuring(30*time.Second, func() { g.Expect(allLive(hosts)).To(BeTrue()) })
	})
}

// Guards against a paused host that on resuming spreads as live a host that died
// during the pause, or declares its neighbours dead because timers expired.
func TestResumedHostTakesOverTable(t *testing.T) {
	for _, pause := range []time.Duration{3 * time.Second, 20 * time.Second, 2 * simRetention} {
		t.Run(pause.String(), func(t *testing.T) {
			runSimulation(t, func(t *testing.T, g *WithT, n *network, hosts []*simHost) {
				paused := hosts[3].opts.Self
				// Calls of the host hang for one period, so that the pause begins
				// during a probe.
				n.setFaults(0, func(from, _ Host) bool { return from.Name == paused.Name })
				time.Sleep(DefaultPingPeriod + 50*time.Millisecond)
				hosts[3].pause()
				n.setFaults(0, nil)
				n.kill(hosts[6]) // a neighbour of the paused host
				time.Sleep(pause)
				rest := []*simHost{hosts[0], hosts[1], hosts[2], hosts[4], hosts[5], hosts[7], hosts[8]}
				deathKnown := pause > 10*time.Second
				if deathKnown {
					g.Expect(allLive(rest)).To(BeTrue())
				}
				hosts[3].unpause()
				checkDuring(4*time.Second, func() {
					for _, h := range rest {
						g.Expect(hosts[3].states()).To(HaveKeyWithValue(h.opts.Self.Name, Live))
					}
					expectNeighboursLive(g, rest, paused.Name)
					for _, h := range rest {
						if deathKnown {
							g.Expect(h.states()).NotTo(HaveKey(hostName(6)))
						}
					}
				})
				waitUntil(t, 6*time.Second, "views agree", func() bool { return allLive(append(rest, hosts[3])) })
			})
		})
	}
}

// Guards against a host that on resuming declares another one dead, because a
// suspicion time expired during the pause.
func TestSuspicionDoesNotRunOutDuringAPause(t *testing.T) {
	runSimulation(t, func(t *testing.T, g *WithT, n *network, hosts []*simHost) {
		paused, suspected := hosts[3].opts.Self, hosts[0].opts.Self
		n.setFaults(0, func(from, to Host) bool { return from.Name == paused.Name })
		hosts[3].Suspect(suspected.Addr)
		hosts[3].pause()
		time.Sleep(10 * time.Second)
		n.setFaults(0, nil)
		hosts[3].unpause()
		checkDuring(5*time.Second, func() { g.Expect(hosts[3].states()).To(HaveKey(suspected.Name)) })
		g.Expect(allLive(hosts)).To(BeTrue())
	})
}

// Guards against hosts that wait for each other's tables forever after all were
// paused together: all their tables are stale, so none is sent.
func TestAllHostsPausedTogether(t *testing.T) {
	runSimulation(t, func(t *testing.T, g *WithT, n *network, hosts []*simHost) {
		for _, h := range hosts {
			h.pause()
		}
		time.Sleep(time.Minute)
		for _, h := range hosts {
			h.unpause()
		}
		checkDuring(10*time.Second, func() { expectNeighboursLive(g, hosts, "") })
		n.kill(hosts[8])
		waitUntil(t, 8*time.Second, "a dead host leaves all views", func() bool { return allLive(hosts[:8]) })
	})
}

// Guards against a process that keeps running after another process has taken
// over its host name.
func TestReplacedProcessStops(t *testing.T) {
	runSimulation(t, func(t *testing.T, g *WithT, n *network, hosts []*simHost) {
		self := hosts[3].opts.Self
		hosts[3].pause()
		time.Sleep(10 * time.Second)
		self.Addr, self.Incarnation = "10.0.9.9:7000", 0
		n.startHost(t, self, "10.0.0.0:7000")
		time.Sleep(5 * time.Second)
		hosts[3].unpause()
		time.Sleep(3 * time.Second)
		var replaced *ReplacedError
		g.Expect(hosts[3].runResult).To(Receive(WithTransform(func(err error) bool { return errors.As(err, &replaced) }, BeTrue())))
		g.Expect(replaced.Addr).To(Equal("10.0.9.9:7000"))
		hosts[3].runResult <- nil
	})
}

// Guards against a process that can't join because the clock was set back
// before its restart.
func TestRestartWithAnEarlierClock(t *testing.T) {
	runSimulation(t, func(t *testing.T, g *WithT, n *network, hosts []*simHost) {
		self := hosts[3].opts.Self
		n.kill(hosts[3])
		self.Incarnation -= uint64(time.Hour)
		hosts[3] = n.startHost(t, self, "10.0.0.0:7000")
		waitUntil(t, 6*time.Second, "all views hold the restarted host", func() bool {
			incarnation := hosts[3].View().Self.Incarnation
			for _, h := range hosts {
				for _, host := range h.View().Hosts {
					if host.Name == self.Name && host.Incarnation != incarnation {
						return false
					}
				}
			}
			return allLive(hosts)
		})
	})
}

// Guards against a leaving host that stays an owner because other hosts don't see
// it as leaving, and against one that is still listed after it stopped.
func TestLeave(t *testing.T) {
	runSimulation(t, func(t *testing.T, g *WithT, n *network, hosts []*simHost) {
		hosts[3].Leave()
		took := waitUntil(t, 2*time.Second, "all views show it leaving", func() bool {
			for _, h := range hosts {
				if h.states()[hostName(3)] != Leaving {
					return false
				}
			}
			return true
		})
		t.Logf("leaving known everywhere after %s", took)
		time.Sleep(10 * time.Second)
		g.Expect(hosts[0].states()).To(HaveKeyWithValue(hostName(3), Leaving))
		n.kill(hosts[3])
		waitUntil(t, 8*time.Second, "it is gone", func() bool { return len(hosts[0].states()) == 8 })
	})
}

// Guards against a reported connection failure that has no effect until a probe
// fails, and against a wrong suspicion that is not refuted.
func TestSuspectActsAtOnceAndIsRefuted(t *testing.T) {
	runSimulation(t, func(t *testing.T, g *WithT, n *network, hosts []*simHost) {
		hosts[0].Suspect(hosts[3].opts.Self.Addr)
		g.Expect(hosts[0].states()).To(HaveKeyWithValue(hostName(3), Suspect))
		waitUntil(t, time.Second, "the suspicion is refuted", func() bool { return hosts[0].states()[hostName(3)] == Live })
	})
}

// Guards against leaving backend servers that some host doesn't learn of, and
// against a server that stays leaving after it returned.
func TestLeavingServersReachAllHosts(t *testing.T) {
	runSimulation(t, func(t *testing.T, g *WithT, n *network, hosts []*simHost) {
		row := infra.ListedHost{Addr: "10.1.0.1:9000", Role: infra.RoleBackend, State: infra.HostLeaving}
		replica := wire.ReplicaID(row.Addr)
		list := infra.Hosts{Revision: 5, Hosts: []infra.ListedHost{row}}
		hosts[0].UpdateHostList(list)
		everywhere := func(leaving bool) func() bool {
			return func() bool {
				for _, h := range hosts {
					if h.View().LeavingServers[replica] != leaving {
						return false
					}
				}
				return true
			}
		}
		took := waitUntil(t, 2*time.Second, "leaving server known everywhere", everywhere(true))
		t.Logf("leaving server known everywhere after %s", took)
		late := n.startHostNumber(t, 9, "10.0.0.0:7000")
		waitUntil(t, time.Second, "a new host learns of it", func() bool { return late.View().LeavingServers[replica] })
		list.Revision = 6
		list.Hosts[0].State = infra.HostLive
		hosts[1].UpdateHostList(list)
		waitUntil(t, 2*time.Second, "returned server known everywhere", everywhere(false))
		hosts[2].UpdateHostList(infra.Hosts{Revision: 5, Hosts: []infra.ListedHost{{Addr: row.Addr, Role: row.Role, State: infra.HostLeaving}}})
		time.Sleep(5 * time.Second)
		g.Expect(everywhere(false)()).To(BeTrue())
	})
}

// Guards against a configuration version that does not reach all hosts, and
// against one that is replaced by a lower one.
func TestConfigVersionSpreads(t *testing.T) {
	runSimulation(t, func(t *testing.T, g *WithT, n *network, hosts []*simHost) {
		for _, h := range hosts {
			h.OnNewerConfig(func(_ string, version uint64) { h.Announce(version) })
		}
		hosts[4].Announce(7)
		took := waitUntil(t, 2*time.Second, "all hosts have the version", func() bool {
			for _, h := range hosts {
				if h.View().Self.ConfigVersion != 7 {
					return false
				}
			}
			return true
		})
		shown := waitUntil(t, 4*time.Second, "all views show the version of all hosts", func() bool {
			for _, h := range hosts {
				for _, host := range h.View().Hosts {
					if host.ConfigVersion != 7 {
						return false
					}
				}
			}
			return true
		})
		hosts[4].SetConfigVersion(3)
		g.Expect(hosts[4].View().Self.ConfigVersion).To(Equal(uint64(7)))
		t.Logf("adopted everywhere after %s, shown everywhere %s later", took, shown)
	})
}
