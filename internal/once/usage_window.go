package once

import (
	"slices"
	"time"
)

// usageWindow records which of the newest tickets were used, in one bit for each
// sequence number. size is the number of tickets.
type usageWindow struct {
	size uint64
	bits []uint64
}

func newUsageWindow(size int) *usageWindow {
	words := (uint64(size) + bitsPerWord - 1) / bitsPerWord
	return &usageWindow{size: words * bitsPerWord, bits: make([]uint64, words)}
}

// locate returns the word and the bit mask of a sequence number.
func (w *usageWindow) locate(seq uint64) (*uint64, uint64) {
	index := seq % w.size
	return &w.bits[index/bitsPerWord], 1 << (index % bitsPerWord)
}

func (w *usageWindow) isSet(seq uint64) bool {
	word, bit := w.locate(seq)
	return *word&bit != 0
}

func (w *usageWindow) set(seq uint64) {
	word, bit := w.locate(seq)
	*word |= bit
}

func (w *usageWindow) clear(seq uint64) {
	word, bit := w.locate(seq)
	*word &^= bit
}

// batchesPerLife is the number of issue times kept per ticket life. A ticket
// stays valid for up to 1/600 of its life longer than stated, never shorter.
const batchesPerLife = 600

// issueHistory keeps the issue times of tickets that are not expired. Tickets
// are grouped in batches by time, so that memory use does not depend on the
// number of tickets.
type issueHistory struct {
	ticketLife        time.Duration
	batches           []issueBatch
	expiredThroughSeq uint64 // the ticket with this number and all before it are expired
}

// issueBatch is a group of tickets issued within one batchSpan.
type issueBatch struct {
	firstIssuedAt time.Time
	lastSeq       uint64 // newest ticket of the batch
}

func (h *issueHistory) batchSpan() time.Duration { return h.ticketLife / batchesPerLife }

// add records now as the issue time of the tickets up to last that have no issue
// time yet.
func (h *issueHistory) add(last uint64, now time.Time) {
	if n := len(h.batches); n > 0 && now.Sub(h.batches[n-1].firstIssuedAt) <= h.batchSpan() {
		h.batches[n-1].lastSeq = last
		return
	}
	h.batches = append(h.batches, issueBatch{firstIssuedAt: now, lastSeq: last})
}

// expireBatches removes the batches whose tickets are all expired at now.
func (h *issueHistory) expireBatches(now time.Time) {
	n := 0
	for n < len(h.batches) && now.Sub(h.batches[n].firstIssuedAt) > h.ticketLife+h.batchSpan() {
		h.expiredThroughSeq = h.batches[n].lastSeq
		n++
	}
	h.batches = slices.Delete(h.batches, 0, n)
}

// isExpired reports whether a ticket was expired at the last call of
// expireBatches.
func (h *issueHistory) isExpired(seq uint64) bool { return seq <= h.expiredThroughSeq }
