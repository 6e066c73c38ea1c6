package lead

import (
	"cmp"
	"slices"
)

const (
	// hostsPerSeat is the number of hosts of a data centre for each seat beyond
	// leastSeats.
	hostsPerSeat = 16
	// leastSeats keeps one seat in reserve for the host that leads.
	leastSeats = 2
	// LargerBy is the factor by which a host has more processor time than
	// another to count as larger.
	LargerBy = 1.5
)

// Hosts returns the number of hosts, 0 while it is unknown.
func (f Fleet) Hosts() int {
	n := 0
	for i := range f.Seats {
		n += f.Seats[i].Hosts
	}
	return n
}

// Leaders returns the seats whose holders follow the store: the first of each
// data centre.
func (f Fleet) Leaders() []Seat {
	var out []Seat
	for _, seat := range f.Seats {
		if first := f.first(seat.DataCentre); first.Name == seat.Name && first.Number == seat.Number {
			out = append(out, seat)
		}
	}
	return out
}

// first returns the first taken seat of a data centre; its Name is empty if
// there is none.
func (f Fleet) first(dataCentre string) Seat {
	var first Seat
	for _, seat := range f.Seats {
		if seat.DataCentre == dataCentre && (first.Name == "" || seat.Number < first.Number) {
			first = seat
		}
	}
	return first
}

func (f Fleet) seat(dataCentre string, number int) Seat {
	for _, seat := range f.Seats {
		if seat.DataCentre == dataCentre && seat.Number == number {
			return seat
		}
	}
	return Seat{}
}

// seats returns the number of seats that a data centre should have.
func (f Fleet) seats(dataCentre string) int {
	hosts := 0
	for _, seat := range f.Seats {
		if seat.DataCentre == dataCentre {
			hosts += seat.Hosts
		}
	}
	return max(leastSeats, (hosts+hostsPerSeat-1)/hostsPerSeat)
}

// leastCores returns the processor share of the smallest host that is known.
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
// hosts.
func (f Fleet) Aggregators() []Seat {
	least := f.leastCores()
	var out []Seat
	for _, seat := range f.Seats {
		if least > 0 && seat.Cores >= LargerBy*least && seat.Peers != "" {
			out = append(out, seat)
		}
	}
	return out
}

// normalize sorts the seats, so that equal fleets compare as equal.
func (f Fleet) normalize() Fleet {
	seats := slices.Clone(f.Seats)
	slices.SortFunc(seats, func(a, b Seat) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Number, b.Number))
	})
	return Fleet{Seats: seats}
}

func (f Fleet) equal(other Fleet) bool { return slices.Equal(f.Seats, other.Seats) }
