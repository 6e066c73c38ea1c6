package lead

import (
	"math/rand/v2"
	"slices"
)

// maxKnownHosts limits the hosts that an agent remembers besides the holders of the
// seats. A host needs one of them that is neither lost nor refused by the store.
const maxKnownHosts = 8

// SampleHosts returns the addresses of some other hosts, to be told to a peer.
func (a *Agent) SampleHosts() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.knownHosts)
}

// LearnHosts remembers the addresses of hosts that a peer knows.
func (a *Agent) LearnHosts(addrs []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, addr := range addrs[:min(len(addrs), maxKnownHosts)] {
		a.rememberHost(addr)
	}
}

// rememberHost adds the address of a host to the known ones, in place of a random
// one if there are maxKnownHosts. The caller holds mu.
func (a *Agent) rememberHost(addr string) {
	if addr == "" || addr == a.options.Host.PeerAddr || slices.Contains(a.knownHosts, addr) {
		return
	}
	if len(a.knownHosts) < maxKnownHosts {
		a.knownHosts = append(a.knownHosts, addr)
		return
	}
	a.knownHosts[rand.IntN(maxKnownHosts)] = addr
}

// OtherPeers returns the addresses of known hosts that Peers does not name, in random
// order. Most hosts find new leaders through the store, so one of them can name the
// leaders to a host that the store refuses.
func (a *Agent) OtherPeers() []string {
	named := a.Peers()
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []string
	add := func(addr string) {
		if addr != "" && addr != a.options.Host.PeerAddr && !slices.Contains(named, addr) && !slices.Contains(out, addr) {
			out = append(out, addr)
		}
	}
	for i := range a.fleet.Seats {
		add(a.fleet.Seats[i].PeerAddr)
	}
	for _, addr := range slices.Concat(a.knownHosts, a.options.Seeds) {
		add(addr)
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// LearnSeats takes over the seats of a peer that is not fresh enough to be followed,
// as far as they are later than the known ones. A seat that the peer does not name
// stays: only a fresh state shows that a seat is vacant.
func (a *Agent) LearnSeats(fleet Fleet) {
	a.mu.Lock()
	defer a.mu.Unlock()
	next := Fleet{Seats: slices.Clone(a.fleet.Seats)}
	for _, seat := range fleet.Seats {
		index := slices.IndexFunc(next.Seats, func(known Seat) bool {
			return known.DataCentre == seat.DataCentre && known.Number == seat.Number
		})
		switch {
		case index < 0:
			next.Seats = append(next.Seats, seat)
		case next.Seats[index].IsBefore(seat.Position):
			next.Seats[index] = seat
		}
	}
	a.setFleet(next)
}
