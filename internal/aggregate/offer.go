package aggregate

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"time"
)

// confirmation ends an offer that the peer has taken on. Without it the peer
// runs nothing, so a host that waits no longer can answer the query itself.
const confirmation = '!'

// offer is the sending side of one query: the query, and its confirmation once
// the peer has said that it takes it on.
type offer struct {
	body   *io.PipeReader
	writer *io.PipeWriter
	timer  *time.Timer

	mu    sync.Mutex
	state offerState
}

type offerState int

const (
	offered offerState = iota
	confirmed
	withdrawn
)

// newOffer makes the offer of a query. late is called when the peer says nothing
// within acceptWait.
func newOffer(query []byte, late func(error)) *offer {
	o := &offer{}
	o.body, o.writer = io.Pipe()
	o.timer = time.AfterFunc(acceptWait, func() {
		if o.move(withdrawn) {
			late(&SlowError{})
		}
	})
	go func() {
		// An error means that the request has ended, which its sender sees.
		_, _ = o.writer.Write(append(query, '\n'))
	}()
	return o
}

// move leaves the offered state; only one of several moves succeeds.
func (o *offer) move(to offerState) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.state != offered {
		return false
	}
	o.state = to
	return true
}

func (o *offer) confirmed() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.state == confirmed
}

// trace confirms the offer when the interim response of the peer arrives.
func (o *offer) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		Got1xxResponse: func(code int, _ textproto.MIMEHeader) error {
			if code == http.StatusEarlyHints && o.move(confirmed) {
				o.timer.Stop()
				go o.confirm()
			}
			return nil
		},
	})
}

func (o *offer) confirm() {
	if _, err := o.writer.Write([]byte{confirmation}); err == nil {
		_ = o.writer.Close() // a pipe's writer closes without an error
	}
}

// close ends what still waits.
func (o *offer) close() {
	o.timer.Stop()
	o.move(withdrawn)
	_ = o.body.Close() // a pipe's reader closes without an error
}
