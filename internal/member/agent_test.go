package member

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/platform"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// simulate runs body with 9 hosts that have found each other.
func simulate(t *testing.T, body func(t *testing.T, g *WithT, n *network, hosts []*simHost)) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		defer n.stopAll()
		hosts := n.startAll(t, 9)
		until(t, 5*time.Second, "all hosts join", func() bool { return allLive(hosts) })
		body(t, NewWithT(t), n, hosts)
	})
}

// Guards against a dead host that stays in views, and a restart that its old
// incarnation's entry hides.
func TestDeadHostAndRestart(t *testing.T) {
	simulate(t, func(t *testing.T, g *WithT, n *network, hosts []*simHost) {
		n.kill(hosts[4])
		rest := append(append([]*simHost{}, hosts[:4]...), hosts[5:]...)
		until(t, 6*time.Second, "dead host leaves all views", func() bool { return allLive(rest) })
		again := n.start(t, 4, "10.0.0.0:7000")
		until(t, 4*time.Second, "restarted host is in all views", func() bool {
			for _, h := range rest {
				for _, host := range h.View().Hosts {
					if host.Name == hostName(4) && (host.State != Live || host.Incarnation != again.opts.Self.Incarnation) {
						return false
					}
				}
			}
			return allLive(append(rest, again))
		})
	})
}

// Guards against live hosts that are declared dead when a tenth of the
// messages is lost.
func TestLossKillsNobody(t *testing.T) {
	simulate(t, func(t *testing.T, g *WithT, n *network, hosts []*simHost) {
		n.set(0.1, nil)
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			for _, h := range hosts {
				g.Expect(h.View().Hosts).To(HaveLen(9))
			}
		}
	})
}

// Guards against views that stay apart after a partition, and against hosts
// that lose their neighbours in the own data centre to the other side's view.
func TestPartitionHeals(t *testing.T) {
	simulate(t, func(t *testing.T, g *WithT, n *network, hosts []*simHost) {
		n.set(0, func(a, b Host) bool { return (a.DataCentre == "badin") != (b.DataCentre == "badin") })
		until(t, 20*time.Second, "the sides lose each other", func() bool {
			for i, h := range hosts {
				want := 6
				if i%3 == 0 {
					want = 3
				}
				if len(h.states()) != want {
					return false
				}
			}
			return true
		})
		time.Sleep(time.Minute)
		n.set(0, nil)
		took := until(t, 4*time.Second, "all views are whole again", func() bool {
			for _, h := range hosts {
				for _, host := range h.View().Hosts {
					if host.DataCentre == h.opts.Self.DataCentre {
						g.Expect(host.State).To(Equal(Live), "neighbour of "+h.opts.Self.Name)
					}
				}
			}
			return allLive(hosts)
		})
		t.Logf("views whole %s after the partition", took)
	})
}

// Guards against two data centres that lost only each other and then hold
// each other for dead although a third one reaches both.
func TestLostLinkBetweenTwoDataCentres(t *testing.T) {
	simulate(t, func(t *testing.T, g *WithT, n *network, hosts []*simHost) {
		n.set(0, func(a, b Host) bool {
			return a.DataCentre == "badin" && b.DataCentre == "thatta" || a.DataCentre == "thatta" && b.DataCentre == "badin"
		})
		for range 300 {
			time.Sleep(100 * time.Millisecond)
			for _, h := range hosts {
				g.Expect(h.View().Hosts).To(HaveLen(9))
			}
		}
	})
}

// Guards against a woken host that revives a host which died during its pause
// or that brings its neighbours into suspicion.
func TestWokenHostTakesOverTheTable(t *testing.T) {
	for _, pause := range []time.Duration{3 * time.Second, 20 * time.Second, 2 * simRetention} {
		t.Run(pause.String(), func(t *testing.T) {
			simulate(t, func(t *testing.T, g *WithT, n *network, hosts []*simHost) {
				hosts[3].pause()
				n.kill(hosts[6]) // a neighbour of the paused host
				time.Sleep(pause)
				rest := []*simHost{hosts[0], hosts[1], hosts[2], hosts[4], hosts[5], hosts[7], hosts[8]}
				if pause > 10*time.Second {
					g.Expect(allLive(rest)).To(BeTrue())
				}
				hosts[3].unpause()
				for range 80 {
					time.Sleep(50 * time.Millisecond)
					for _, h := range rest {
						if pause > 10*time.Second {
							g.Expect(h.states()).NotTo(HaveKey(hostName(6)))
						}
						g.Expect(h.states()).To(HaveKey(hostName(0)))
					}
				}
				until(t, 4*time.Second, "views agree", func() bool { return allLive(append(rest, hosts[3])) })
			})
		})
	}
}

// Guards against a whole fleet that waits for a table that nobody sends after
// all hosts were paused together.
func TestAllPausedTogether(t *testing.T) {
	simulate(t, func(t *testing.T, g *WithT, n *network, hosts []*simHost) {
		for _, h := range hosts {
			h.pause()
		}
		time.Sleep(time.Minute)
		for _, h := range hosts {
			h.unpause()
		}
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			for _, h := range hosts {
				g.Expect(h.View().Hosts).To(HaveLen(9))
			}
		}
	})
}

// Guards against a process that goes on under a name that another one has
// taken over.
func TestReplacedProcessStops(t *testing.T) {
	simulate(t, func(t *testing.T, g *WithT, n *network, hosts []*simHost) {
		self := hosts[3].opts.Self
		hosts[3].pause()
		time.Sleep(10 * time.Second)
		self.Addr, self.Incarnation = "10.0.9.9:7000", 0
		n.startHost(t, self, "10.0.0.0:7000")
		time.Sleep(5 * time.Second)
		hosts[3].unpause()
		time.Sleep(3 * time.Second)
		var replaced *ReplacedError
		g.Expect(hosts[3].done).To(Receive(WithTransform(func(err error) bool { return errors.As(err, &replaced) }, BeTrue())))
		g.Expect(replaced.Addr).To(Equal("10.0.9.9:7000"))
		hosts[3].done <- nil
	})
}

// Guards against a process that can't join because the clock was set back
// before its restart.
func TestRestartWithAnEarlierClock(t *testing.T) {
	simulate(t, func(t *testing.T, g *WithT, n *network, hosts []*simHost) {
		self := hosts[3].opts.Self
		n.kill(hosts[3])
		self.Incarnation -= uint64(time.Hour)
		hosts[3] = n.startHost(t, self, "10.0.0.0:7000")
		until(t, 6*time.Second, "all views hold the restarted host", func() bool { return allLive(hosts) })
	})
}

// Guards against a leaving host that keeps its ownership.
func TestLeave(t *testing.T) {
	simulate(t, func(t *testing.T, g *WithT, n *network, hosts []*simHost) {
		hosts[3].Leave()
		took := until(t, 2*time.Second, "all views show it leaving", func() bool {
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
		until(t, 8*time.Second, "it is gone", func() bool { return len(hosts[0].states()) == 8 })
	})
}

// Guards against owner duties that move only when the failure detector
// notices, and against a wrong suspicion that stays.
func TestSuspectActsAtOnceAndIsRefuted(t *testing.T) {
	simulate(t, func(t *testing.T, g *WithT, n *network, hosts []*simHost) {
		hosts[0].Suspect(hosts[3].opts.Self.Addr)
		g.Expect(hosts[0].states()).To(HaveKeyWithValue(hostName(3), Suspect))
		until(t, time.Second, "the suspicion is refuted", func() bool { return hosts[0].states()[hostName(3)] == Live })
	})
}

// Guards against leaving backend servers that some host goes on using, and
// against a server that stays leaving after it returned.
func TestLeavingServersReachAllHosts(t *testing.T) {
	simulate(t, func(t *testing.T, g *WithT, n *network, hosts []*simHost) {
		row := platform.ListedHost{Addr: "10.1.0.1:9000", Role: platform.RoleBackend, State: platform.HostLeaving}
		replica := wire.ReplicaID(row.Addr)
		list := platform.Hosts{Revision: 5, Hosts: []platform.ListedHost{row}}
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
		took := until(t, 2*time.Second, "leaving server known everywhere", everywhere(true))
		t.Logf("leaving server known everywhere after %s", took)
		late := n.start(t, 9, "10.0.0.0:7000")
		until(t, time.Second, "a new host learns of it", func() bool { return late.View().LeavingServers[replica] })
		list.Revision = 6
		list.Hosts[0].State = platform.HostLive
		hosts[1].UpdateHostList(list)
		until(t, 2*time.Second, "returned server known everywhere", everywhere(false))
		hosts[2].UpdateHostList(platform.Hosts{Revision: 5, Hosts: []platform.ListedHost{{Addr: row.Addr, Role: row.Role, State: platform.HostLeaving}}})
		time.Sleep(5 * time.Second)
		g.Expect(everywhere(false)()).To(BeTrue())
	})
}

// Guards against a configuration version that hosts don't hear of, or that a
// host's view shows as lower than before.
func TestConfigVersionSpreads(t *testing.T) {
	simulate(t, func(t *testing.T, g *WithT, n *network, hosts []*simHost) {
		for _, h := range hosts {
			h.OnConfig(func(_ string, version uint64) { h.Announce(version) })
		}
		hosts[4].Announce(7)
		took := until(t, 2*time.Second, "all hosts have the version", func() bool {
			for _, h := range hosts {
				if h.View().Self.ConfigVersion != 7 {
					return false
				}
			}
			return true
		})
		shown := until(t, 4*time.Second, "all views show the version of all hosts", func() bool {
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
