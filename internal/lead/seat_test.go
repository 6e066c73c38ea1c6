package lead

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/arbutusgauge/arbutusgauge/internal/history"
)

// seatLosingRegistry is a Registry that reports another holder of the seat to the
// agent, as a peer would, during Renew and Update.
type seatLosingRegistry struct {
	fakeRegistry
	agent *Agent
}

func (r *seatLosingRegistry) reportOtherHolder() {
	seat := Seat{Host: Host{Name: "other", DataCentre: "badin", PeerAddr: "other"}, Number: 1, Position: history.Position{Revision: 1 << 40}}
	r.agent.AdoptFleet(Fleet{Seats: []Seat{seat}})
}

func (r *seatLosingRegistry) Renew(context.Context) (bool, error) {
	r.reportOtherHolder()
	return false, nil
}

func (r *seatLosingRegistry) Update(context.Context, Seat) (history.Position, error) {
	r.reportOtherHolder()
	return history.Position{}, &TakenError{Seat: 1}
}

// Guards against a panic of the agent when its seat is lost during the call that
// renews or updates it.
func TestSeatLostDuringRenewOrUpdate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := &seatLosingRegistry{fakeRegistry: fakeRegistry{store: &fakeStore{seats: map[string]seatEntry{}}, host: "h1"}}
		agent, err := New(Options{
			Registry: r, Host: Host{Name: "h1", DataCentre: "badin", PeerAddr: "h1", Cores: 1}, OnFleet: func(Fleet) {},
		})
		g.Expect(err).NotTo(HaveOccurred())
		r.agent = agent
		for _, call := range []func(context.Context){agent.renewLease, agent.updateEntry} {
			g.Expect(agent.takeSeat(t.Context(), 1, history.Position{Revision: r.store.revision})).To(BeTrue())
			call(t.Context())
			g.Expect(agent.Leads()).To(BeFalse())
		}
		agent.updateEntry(t.Context()) // without a seat
	})
}

// Guards against a seat that stays taken after its holder stopped.
func TestStopReleasesSeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t)
		f.start("h1", "badin", 1)
		time.Sleep(time.Second)
		f.g.Expect(f.leaders()).To(HaveLen(1))
		f.stop()
		f.g.Expect(f.store.seats).To(BeEmpty())
	})
}

// Guards against hosts that use more than their share of a replica because other
// hosts are unreachable for a short time.
func TestCountFallsAfterRetention(t *testing.T) {
	g := NewWithT(t)
	var c HostCount
	now := time.Now()
	g.Expect(c.Update(8, now)).To(Equal(8))
	g.Expect(c.Update(3, now.Add(time.Second))).To(Equal(8))
	g.Expect(c.Update(9, now.Add(2*time.Second))).To(Equal(9))
	g.Expect(c.Update(5, now.Add(3*time.Second))).To(Equal(9))
	g.Expect(c.Update(2, now.Add(2*time.Second+countRetention))).To(Equal(5))
	g.Expect(c.Update(2, now.Add(2*time.Second+2*countRetention))).To(Equal(2))
}

// Guards against reads of the store by the leader of each data centre, and against
// data centres that learn of no change while the host that reads for all is dead,
// refused by the store, or has not noticed yet that it was replaced.
func TestOneLeaderReadsForAllDataCentres(t *testing.T) {
	for name, lose := range map[string]func(f *testFleet, reader string){
		"killed": func(f *testFleet, reader string) { f.kill(reader) },
		"refused": func(f *testFleet, reader string) {
			f.store.mu.Lock()
			f.store.refusedHosts[reader] = true
			f.store.mu.Unlock()
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(t)
				defer f.stop()
				for i := range 40 {
					f.start(fmt.Sprintf("h%02d", i), []string{"badin", "hyderabad", "matiari", "tando", "thatta"}[i%5], 0.2)
				}
				time.Sleep(20 * time.Second)
				f.g.Expect(f.leaders()).To(HaveLen(5))
				f.g.Expect(f.readers()).To(HaveLen(1))
				for _, m := range f.hosts {
					f.g.Expect(m.agent.Fleet().Hosts()).To(Equal(40), "no leader counts as a follower")
				}
				lose(f, f.readers()[0])
				time.Sleep(450 * time.Millisecond) // one poll
				f.g.Expect(len(f.readers())).To(BeNumerically(">=", 4), "the other leaders read the store themselves")
				time.Sleep(40 * time.Second)
				f.g.Expect(f.readers()).To(HaveLen(1), "one host reads for all again")
			})
		})
	}
}

// Guards against a host that keeps its seat beside another one after the store was
// restored: the entry of the new holder has a lower revision, in a later era.
func TestSeatOfALaterEraIsLost(t *testing.T) {
	g := NewWithT(t)
	agent, err := New(Options{
		Registry: &fakeRegistry{store: &fakeStore{seats: map[string]seatEntry{}}, host: "h1"},
		Host:     Host{Name: "h1", DataCentre: "badin", PeerAddr: "h1", Cores: 1}, OnFleet: func(Fleet) {},
	})
	g.Expect(err).NotTo(HaveOccurred())
	agent.ownSeat = &Seat{Host: agent.options.Host, Number: 1, Position: history.Position{Era: 1, Revision: 60}, Hosts: 1}
	seat := Seat{Host: Host{Name: "other", DataCentre: "badin", PeerAddr: "other"}, Number: 1}
	seat.Position = history.Position{Era: 1, Revision: 50}
	agent.AdoptFleet(Fleet{Seats: []Seat{seat}})
	g.Expect(agent.Leads()).To(BeTrue(), "an earlier holder")
	seat.Position = history.Position{Era: 2, Revision: 20}
	agent.AdoptFleet(Fleet{Seats: []Seat{seat}})
	g.Expect(agent.Leads()).To(BeFalse())
}
