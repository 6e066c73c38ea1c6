package logline

import (
	"sync"
	"time"

	"github.com/apex/log"
)

// limitWindow is the time span for which a RateLimitedHandler counts the lines of
// an event.
const limitWindow = time.Second

// RateLimitedHandler is a log.Handler that passes on a limited number of lines a
// second for each event. When lines were left out, the next line of the event that
// is passed on has their number in the field "left_out".
type RateLimitedHandler struct {
	next           log.Handler
	linesPerSecond int

	mu     sync.Mutex
	events map[string]*eventWindow
}

// eventWindow counts the lines of one event.
type eventWindow struct {
	start   time.Time
	passed  int // lines passed on since start
	leftOut int // lines left out since the last one that was passed on
}

// NewRateLimitedHandler returns a handler that passes on at most linesPerSecond
// lines of each event to next. Events should be few, because each is kept in
// memory.
func NewRateLimitedHandler(next log.Handler, linesPerSecond int) *RateLimitedHandler {
	return &RateLimitedHandler{next: next, linesPerSecond: linesPerSecond, events: map[string]*eventWindow{}}
}

// HandleLog implements log.Handler.
func (l *RateLimitedHandler) HandleLog(e *log.Entry) error {
	leftOut, ok := l.admit(e.Message, time.Now())
	if !ok {
		return nil
	}
	if leftOut > 0 {
		fields := log.Fields{"left_out": leftOut}
		for name, value := range e.Fields {
			fields[name] = value
		}
		copied := *e
		copied.Fields = fields
		e = &copied
	}
	return l.next.HandleLog(e)
}

// admit reports whether a line of the event may be passed on now, and the number
// of lines that were left out before it.
func (l *RateLimitedHandler) admit(event string, now time.Time) (leftOut int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	window := l.events[event]
	if window == nil {
		window = &eventWindow{start: now}
		l.events[event] = window
	}
	if now.Sub(window.start) >= limitWindow {
		window.start, window.passed = now, 0
	}
	if window.passed >= l.linesPerSecond {
		window.leftOut++
		return 0, false
	}
	window.passed++
	leftOut, window.leftOut = window.leftOut, 0
	return leftOut, true
}
