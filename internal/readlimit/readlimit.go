// Package readlimit bounds the memory that bytes from other processes take while
// they are read: for each message, and for all messages of the process together.
// A sender that never stops must not take the host down.
package readlimit

import (
	"io"
	"strconv"
	"sync"

	"github.com/pkg/errors"
)

const (
	// UnreservedBytes is the size up to which a message takes nothing from a
	// Budget, so that short messages can be read while long ones use it up.
	UnreservedBytes = 16 << 10
	// firstBufferBytes is the size of a buffer for a message of unknown length.
	firstBufferBytes = 1 << 10
	// bufferGrowth is the factor by which a full buffer grows. All buffers of a
	// message count against the Budget until the message ends, because the garbage
	// collector frees the outgrown ones late; a greater factor makes them few.
	bufferGrowth = 4
)

// Error reports a message that exceeds a limit.
type Error struct {
	What  string // the message or the memory that the limit is for
	Limit int64
	Unit  string // of Limit
}

// WhatBudget is the What of an Error for a Budget that is used up: the message
// itself may be within its limit.
const WhatBudget = "memory for messages being read"

// Units of Error.Limit.
const (
	Bytes = "bytes"
	Lines = "lines"
)

// Error implements error.
func (e *Error) Error() string {
	return e.What + " exceeds the limit of " + strconv.FormatInt(e.Limit, 10) + " " + e.Unit
}

// Exceeded reports whether a limit of this package caused err.
func Exceeded(err error) bool {
	var limitErr *Error
	return errors.As(err, &limitErr)
}

// Budget is the memory for all messages that a process reads at the same time. A
// nil Budget is unlimited. It is safe for concurrent use.
type Budget struct {
	mu    sync.Mutex
	limit int64 // bytes
	used  int64 // bytes
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// reserve takes n bytes, or returns *Error if fewer are left.
func (b *Budget) reserve(n int64) error {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used+n > b.limit {
		return errors.WithStack(&Error{What: WhatBudget, Limit: b.limit, Unit: Bytes})
	}
	b.used += n
	return nil
}

// release returns n bytes that were reserved.
func (b *Budget) release(n int64) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
}

// Limits are the limits of one message.
type Limits struct {
	What   string // names the message in *Error
	Max    int64  // bytes
	Budget *Budget
}

// ReadAll reads a message to its end. length is its stated length in bytes, -1 if
// none was stated. A message that exceeds a limit gives *Error as soon as that is
// known, other errors are those of r. The budget is free again on return.
func ReadAll(r io.Reader, length int64, limits Limits) ([]byte, error) {
	if length > limits.Max {
		return nil, errors.WithStack(&Error{What: limits.What, Limit: limits.Max, Unit: Bytes})
	}
	m := &message{limits: limits, greatest: limits.Max + 1}
	defer func() { limits.Budget.release(m.reserved) }()
	size := int64(firstBufferBytes)
	if length >= 0 {
		m.greatest = length + 1
		size = UnreservedBytes
	}
	m.bytes = make([]byte, 0, min(size, m.greatest))
	for {
		n, err := r.Read(m.bytes[len(m.bytes):cap(m.bytes)])
		m.bytes = m.bytes[:len(m.bytes)+n]
		switch {
		case int64(len(m.bytes)) > limits.Max:
			return nil, errors.WithStack(&Error{What: limits.What, Limit: limits.Max, Unit: Bytes})
		case err == io.EOF:
			return m.bytes, nil
		case err != nil:
			return nil, errors.WithStack(err)
		}
		if len(m.bytes) == cap(m.bytes) {
			if err := m.grow(); err != nil {
				return nil, err
			}
		}
	}
}

// message is a message being read.
type message struct {
	limits   Limits
	greatest int64 // bytes that the buffer needs at most; one more than the message shows its end
	bytes    []byte
	reserved int64 // bytes of the budget
}

// grow makes the full buffer larger. A stated length takes no memory before the
// bytes arrive.
func (m *message) grow() error {
	size := min(bufferGrowth*int64(cap(m.bytes)), max(m.greatest, int64(cap(m.bytes))+1))
	if size > UnreservedBytes {
		if err := m.limits.Budget.reserve(size); err != nil {
			return err
		}
		m.reserved += size
	}
	larger := make([]byte, len(m.bytes), size)
	copy(larger, m.bytes)
	m.bytes = larger
	return nil
}

// budgetDivisor is the part of a process's memory that messages being read may
// take.
const budgetDivisor = 24

// BudgetOf returns the limit of a Budget, in bytes, for a process with the given
// memory limit.
func BudgetOf(memoryBytes int64) int64 { return memoryBytes / budgetDivisor }
