// Package logline writes log events as one line of key=value pairs.
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

// Handler writes one line per event. It is safe for concurrent use.
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
	pair(&line, "time", e.Timestamp.UTC().Format(time.RFC3339Nano))
	pair(&line, "level", e.Level.String())
	pair(&line, "event", e.Message)
	for _, name := range e.Fields.Names() {
		pair(&line, name, fmt.Sprint(e.Fields.Get(name)))
	}
	line.WriteByte('\n')
	h.mu.Lock()
	defer h.mu.Unlock()
	_, err := io.WriteString(h.out, line.String())
	return errors.WithStack(err)
}

func pair(line *strings.Builder, name, value string) {
	if line.Len() > 0 {
		line.WriteByte(' ')
	}
	line.WriteString(name)
	line.WriteByte('=')
	if value == "" || strings.ContainsFunc(value, special) {
		value = strconv.Quote(value)
	}
	line.WriteString(value)
}

func special(r rune) bool { return r <= ' ' || r == '"' || r == '=' || r == 0x7f }
