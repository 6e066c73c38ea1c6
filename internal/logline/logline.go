// Package logline provides log handlers: one that writes each event as a line of
// key=value pairs, one that limits the rate of lines of each event, and a writer
// that does not block on a slow log output.
package logline

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
)

// Handler is a log.Handler that writes one line for each event. It is safe for
// concurrent use.
type Handler struct {
	mu  sync.Mutex
	out io.Writer
}

// New returns a handler that writes to out.
func New(out io.Writer) *Handler { return &Handler{out: out} }

// HandleLog implements log.Handler. Fields are sorted by name; a value is
// quoted when it holds a space, a quote, an equals sign or a control character.
func (h *Handler) HandleLog(e *log.Entry) error {
	var line strings.Builder
	writePair(&line, "time", e.Timestamp.UTC().Format(time.RFC3339Nano))
	writePair(&line, "level", e.Level.String())
	writePair(&line, "event", e.Message)
	for _, name := range e.Fields.Names() {
		writePair(&line, name, fmt.Sprint(e.Fields.Get(name)))
	}
	line.WriteByte('\n')
	h.mu.Lock()
	defer h.mu.Unlock()
	_, err := io.WriteString(h.out, line.String())
	return errors.WithStack(err)
}

// writePair appends a pair, preceded by a space unless it is the line's first.
func writePair(line *strings.Builder, name, value string) {
	if line.Len() > 0 {
		line.WriteByte(' ')
	}
	line.WriteString(name)
	line.WriteByte('=')
	if value == "" || strings.ContainsFunc(value, needsQuotes) {
		value = strconv.Quote(value)
	}
	line.WriteString(value)
}

// needsQuotes reports whether a value that contains r must be quoted.
func needsQuotes(r rune) bool { return r <= ' ' || r == '"' || r == '=' || r == 0x7f }
