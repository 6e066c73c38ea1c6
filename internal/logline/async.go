package logline

import (
	"io"
	"strconv"
	"sync/atomic"
	"time"
)

// AsyncWriter is an io.Writer that queues log lines for another writer, which may
// block, such as a pipe without a reader. Write never waits for that writer:
// lines that don't fit into the queue are left out and counted.
type AsyncWriter struct {
	queue   chan []byte
	leftOut atomic.Int64
	done    chan struct{}
}

const (
	// queueLines is the number of lines that can wait for the writer.
	queueLines = 512
	// closeTimeout bounds how long Close waits for the writer.
	closeTimeout = 200 * time.Millisecond
)

// NewAsyncWriter returns an AsyncWriter that writes to out in a goroutine until
// Close.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	a := &AsyncWriter{queue: make(chan []byte, queueLines), done: make(chan struct{})}
	go a.writeLoop(out)
	return a
}

// Write implements io.Writer. It expects one whole line and never returns an
// error, also when the line is left out.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case a.queue <- append([]byte(nil), line...):
	default:
		a.leftOut.Add(1)
	}
	return len(line), nil
}

// LeftOut returns the number of lines that were left out so far.
func (a *AsyncWriter) LeftOut() int64 { return a.leftOut.Load() }

// Close waits until the queued lines are written, for closeTimeout at most; lines
// that are still queued then may be lost. Write must not be called after Close.
func (a *AsyncWriter) Close() {
	close(a.queue)
	select {
	case <-a.done:
	case <-time.After(closeTimeout):
	}
}

// writeLoop writes the queued lines. It appends a line with the number of lines
// left out, if there are new ones, to the next line that is written.
func (a *AsyncWriter) writeLoop(out io.Writer) {
	defer close(a.done)
	var reported int64
	for line := range a.queue {
		if leftOut := a.leftOut.Load(); leftOut > reported {
			line = append(line, "time="+time.Now().UTC().Format(time.RFC3339Nano)+
				" level=warn event=\"log lines left out\" lines="+strconv.FormatInt(leftOut-reported, 10)+"\n"...)
			reported = leftOut
		}
		if _, err := out.Write(line); err != nil {
			// The log output itself failed, so the error can't be logged.
			// Lines that don't fit into the queue are still counted as left out.
			return
		}
	}
}
