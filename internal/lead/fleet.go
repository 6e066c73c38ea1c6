package lead

import (
	"cmp"
	"slices"
)

const (
	// hostsPerSeat is the number of hosts per seat in a data centre with more
	// than minSeats seats.
	hostsPerSeat = 16
	// minSeats is the least number of seats of a data centre. It includes one
	// seat in reserve, in case the leader fails.
	minSeats = 2
	// LargerHostRatio is the least ratio of the processor shares of two hosts at
	// which one counts as larger than the other.
	LargerHostRatio = 1.5
)

// Hosts returns the number of hosts, or 0 while it is unknown.
func (f Fleet) Hosts() int {
	n := 0
	for i := range f.Seats {
		n += f.Seats[i].Hosts
	}
	return n
}

// Leaders returns the seats whose holders read the store: the taken seat with the
// lowest number of each data centre.
func (f Fleet) Leaders() []Seat {
	var out []Seat
	for _, seat := range f.Seats {
		if first := f.firstSeat(seat.DataCentre); first.Name == seat.Name && first.Number == seat.Number {
			out = append(out, seat)
		}
	}
	return out
}

// firstSeat returns the taken seat with the lowest number of a data centre; its
// Name is empty if there is none.
func (f Fleet) firstSeat(dataCentre string) Seat {
	var first Seat
	for _, seat := range f.Seats {
		if seat.DataCentre == dataCentre && (first.Name == "" || seat.Number < first.Number) {
			first = seat
		}
	}
	return first
}

// seat returns a seat by its number; its Name is empty if it is not taken.
func (f Fleet) seat(dataCentre string, number int) Seat {
	for _, seat := range f.Seats {
		if seat.DataCentre == dataCentre && seat.Number == number {
			return seat
		}
	}
	return Seat{}
}

// seatTarget returns the number of seats that a data centre should have for its
// number of hosts.
func (f Fleet) seatTarget(dataCentre string) int {
	hosts := 0
	for _, seat := range f.Seats {
		if seat.DataCentre == dataCentre {
			hosts += seat.Hosts
		}
	}
	return max(minSeats, (hosts+hostsPerSeat-1)/hostsPerSeat)
}

// leastCores returns the smallest known processor share of a host, or 0 while
// none is known.
func (f Fleet) leastCores() float64 {
	least := 0.0
	for i := range f.Seats {
		if c := f.Seats[i].LeastCores; c > 0 && (least == 0 || c < least) {
			least = c
		}
	}
	return least
}

// Aggregators returns the seats whose holders answer whole queries for smaller
// hosts: those that are larger, by LargerHostRatio, than the smallest host.
func (f Fleet) Aggregators() []Seat {
	least := f.leastCores()
	var out []Seat
	for _, seat := range f.Seats {
		if least > 0 && seat.Cores >= LargerHostRatio*least && seat.PeerAddr != "" {
			out = append(out, seat)
		}
	}
	return out
}

// normalize returns the fleet with its seats sorted, so that equal can compare it.
func (f Fleet) normalize() Fleet {
	seats := slices.Clone(f.Seats)
	slices.SortFunc(seats, func(a, b Seat) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Number, b.Number))
	})
	return Fleet{Seats: seats}
}

func (f Fleet) equal(other Fleet) bool { return slices.Equal(f.Seats, other.Seats) }
