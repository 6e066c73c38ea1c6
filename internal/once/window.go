package once

import (
	"slices"
	"time"
)

// window records the use of the last size sequence numbers, one bit each.
type window struct {
	size uint64
	bits []uint64
}

func newWindow(size int) *window {
	words := (uint64(size) + bitsPerWord - 1) / bitsPerWord
	return &window{size: words * bitsPerWord, bits: make([]uint64, words)}
}

func (w *window) place(seq uint64) (*uint64, uint64) {
	at := seq % w.size
	return &w.bits[at/bitsPerWord], 1 << (at % bitsPerWord)
}

func (w *window) has(seq uint64) bool {
	word, bit := w.place(seq)
	return *word&bit != 0
}

func (w *window) set(seq uint64) {
	word, bit := w.place(seq)
	*word |= bit
}

func (w *window) clear(seq uint64) {
	word, bit := w.place(seq)
	*word &^= bit
}

// epochsPerLife is the number of issue times kept per ticket life; a ticket
// lives up to 1/600 longer than stated, never shorter.
const epochsPerLife = 600

// epochs keeps issue times of tickets, grouped so that their number does not
// depend on the number of tickets.
type epochs struct {
	life           time.Duration
	list           []epoch
	expiredThrough uint64 // all tickets up to this one are expired
}

// epoch holds the tickets issued within one span; last is the newest of them.
type epoch struct {
	start time.Time
	last  uint64
}

func (e *epochs) span() time.Duration { return e.life / epochsPerLife }

// issued records tickets up to last as issued now.
func (e *epochs) issued(last uint64, now time.Time) {
	if n := len(e.list); n > 0 && now.Sub(e.list[n-1].start) <= e.span() {
		e.list[n-1].last = last
		return
	}
	e.list = append(e.list, epoch{start: now, last: last})
}

// advance drops the epochs whose tickets are all expired.
func (e *epochs) advance(now time.Time) {
	n := 0
	for n < len(e.list) && now.Sub(e.list[n].start) > e.life+e.span() {
		e.expiredThrough = e.list[n].last
		n++
	}
	e.list = slices.Delete(e.list, 0, n)
}

// expired reports whether a ticket is past its life; advance must have run.
func (e *epochs) expired(seq uint64) bool { return seq <= e.expiredThrough }
