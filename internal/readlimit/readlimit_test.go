package readlimit

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	. "github.com/onsi/gomega"
)

// endless returns the same byte for ever.
type endless struct{ read int64 }

func (e *endless) Read(p []byte) (int, error) {
	e.read += int64(len(p))
	return len(p), nil
}

// Guards against messages that are cut at the limit, and against a limit that
// refuses a message of exactly its size.
func TestReadAllReturnsWholeMessagesUpToTheLimit(t *testing.T) {
	g := NewWithT(t)
	const limit = 100 << 10 // bytes
	for _, size := range []int64{0, 1, firstBufferBytes, UnreservedBytes - 1, UnreservedBytes, UnreservedBytes + 1, limit - 1, limit, limit + 1} {
		text := bytes.Repeat([]byte{'x'}, int(size))
		for _, length := range []int64{-1, size} {
			budget := NewBudget(1 << 20)
			got, err := ReadAll(iotest.HalfReader(bytes.NewReader(text)), length, Limits{What: "test", Max: limit, Budget: budget})
			if size > limit {
				g.Expect(Exceeded(err)).To(BeTrue())
			} else {
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(got).To(Equal(text))
			}
			g.Expect(budget.used).To(BeZero(), "the budget is released")
		}
	}
}

// Guards against reading on after a limit is exceeded, and against a message that
// is refused only after its stated length was read.
func TestReadAllStopsAtTheLimit(t *testing.T) {
	g := NewWithT(t)
	source := &endless{}
	_, err := ReadAll(source, -1, Limits{What: "test", Max: 1 << 20})
	g.Expect(Exceeded(err)).To(BeTrue())
	g.Expect(source.read).To(BeNumerically("<=", 1<<20+1))
	source = &endless{}
	_, err = ReadAll(source, 1<<20+1, Limits{What: "test", Max: 1 << 20})
	g.Expect(Exceeded(err)).To(BeTrue())
	g.Expect(source.read).To(BeZero())
}

// Guards against a stated length that allocates memory before bytes arrive.
func TestStatedLengthAllocatesNothing(t *testing.T) {
	g := NewWithT(t)
	budget := NewBudget(UnreservedBytes)
	got, err := ReadAll(bytes.NewReader([]byte("abc")), 1<<20, Limits{What: "test", Max: 1 << 20, Budget: budget})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(cap(got)).To(BeNumerically("<=", UnreservedBytes))
}

// Guards against long messages that together exceed the memory of the process,
// and against short ones that can't be read while others use up the budget.
func TestBudgetIsSharedByLongMessagesOnly(t *testing.T) {
	g := NewWithT(t)
	budget := NewBudget(512 << 10)
	block, readers := make(chan struct{}), make(chan error, 1)
	long := io.MultiReader(bytes.NewReader(make([]byte, 100<<10)), readerFunc(func([]byte) (int, error) { <-block; return 0, io.EOF }))
	go func() {
		_, err := ReadAll(long, -1, Limits{What: "long", Max: 1 << 20, Budget: budget})
		readers <- err
	}()
	g.Eventually(func() int64 { budget.mu.Lock(); defer budget.mu.Unlock(); return budget.used }).Should(BeNumerically(">=", 100<<10))
	_, err := ReadAll(bytes.NewReader(make([]byte, 300<<10)), -1, Limits{What: "second", Max: 1 << 20, Budget: budget})
	g.Expect(Exceeded(err)).To(BeTrue())
	short, err := ReadAll(bytes.NewReader(make([]byte, UnreservedBytes-1)), -1, Limits{What: "short", Max: 1 << 20, Budget: budget})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(short).To(HaveLen(UnreservedBytes - 1))
	close(block)
	g.Expect(<-readers).NotTo(HaveOccurred())
	g.Expect(budget.used).To(BeZero())
}

// Guards against an error of the source that is taken for the end of the message.
func TestReadAllReportsErrorsOfTheSource(t *testing.T) {
	g := NewWithT(t)
	broken := errors.New("broken")
	_, err := ReadAll(io.MultiReader(bytes.NewReader([]byte("half")), iotest.ErrReader(broken)), -1, Limits{What: "test", Max: 10})
	g.Expect(errors.Is(err, broken)).To(BeTrue())
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }
