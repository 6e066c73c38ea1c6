package logline_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	. "github.com/onsi/gomega"

	"github.com/arbutusgauge/arbutusgauge/internal/logline"
)

// blockedWriter blocks each Write until open is closed.
type blockedWriter struct {
	open chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.open
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

// Guards against a process that blocks on a log pipe without a reader, and
// against lines that are left out but not counted.
func TestAsyncWriteNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := &blockedWriter{open: make(chan struct{})}
		async := logline.NewAsyncWriter(w)
		for range 2000 {
			_, err := async.Write([]byte("event=x\n"))
			g.Expect(err).NotTo(HaveOccurred())
		}
		g.Expect(async.LeftOut()).To(BeNumerically(">", 1000))
		close(w.open)
		async.Close()
		text := w.text.String()
		g.Expect(text).To(ContainSubstring("log lines left out"))
		g.Expect(int64(strings.Count(text, "event=x\n")) + async.LeftOut()).To(BeEquivalentTo(2000))
	})
}

// Guards against a process stop that hangs on a log pipe without a reader.
func TestAsyncCloseIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &blockedWriter{open: make(chan struct{})}
		async := logline.NewAsyncWriter(w)
		_, _ = async.Write([]byte("x\n"))
		start := time.Now()
		async.Close()
		NewWithT(t).Expect(time.Since(start)).To(BeNumerically("<=", time.Second))
		close(w.open)
	})
}

// Guards against a flood of one event that hides other events or costs processor
// time, and against lines that are left out but not counted.
func TestRateLimitedHandlerBoundsLinesOfEachEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var out bytes.Buffer
		logger := &log.Logger{Handler: logline.NewRateLimitedHandler(logline.New(&out), 5), Level: log.InfoLevel}
		for range 100 {
			logger.Info("flood")
		}
		logger.WithField("id", 7).Info("rare")
		g.Expect(strings.Count(out.String(), "event=flood")).To(Equal(5))
		g.Expect(out.String()).To(ContainSubstring("event=rare id=7"))
		time.Sleep(time.Second)
		logger.Info("flood")
		g.Expect(out.String()).To(ContainSubstring("event=flood left_out=95"))
	})
}
