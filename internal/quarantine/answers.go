package quarantine

import (
	"encoding/binary"
	"sync/atomic"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

const (
	// answerSlots is the number of recent answers that a host remembers, a power of two; a
	// slot takes 8 bytes.
	answerSlots = 4096
	// answerMemory is how long an answer is remembered. Endings are known to all hosts
	// much sooner, and a run that began before an answer has usually ended by then.
	answerMemory = 10 * time.Second
)

// recentAnswers remembers which requests servers answered lately, also those that are not
// suspected, so that a request that keeps being answered is cleared as soon as its endings
// become known. A later answer with the same slot replaces an earlier one. The zero value
// is ready for use; it is safe for concurrent use.
type recentAnswers struct {
	// slots hold 32 bits of the key and then the time in milliseconds, modulo 1<<32.
	slots [answerSlots]atomic.Uint64
}

func (a *recentAnswers) slot(key wire.RequestKey) (*atomic.Uint64, uint64) {
	index := binary.BigEndian.Uint16(key[:]) % answerSlots
	return &a.slots[index], uint64(binary.BigEndian.Uint32(key[4:])) << 32
}

// note remembers an answer at a time.
func (a *recentAnswers) note(key wire.RequestKey, at time.Duration) {
	slot, tag := a.slot(key)
	slot.Store(tag | uint64(uint32(at.Milliseconds())))
}

// last returns when the request was last answered; false: not within answerMemory.
func (a *recentAnswers) last(key wire.RequestKey, now time.Duration) (time.Duration, bool) {
	slot, tag := a.slot(key)
	value := slot.Load()
	if value == 0 || value>>32<<32 != tag {
		return 0, false
	}
	age := time.Duration(uint32(now.Milliseconds())-uint32(value)) * time.Millisecond
	return now.Truncate(time.Millisecond) - age, age <= answerMemory
}
