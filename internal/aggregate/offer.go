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

// confirmationByte follows the query in the request body once the peer has
// accepted it. Without it the peer runs nothing, so a host that has stopped
// waiting can answer the query itself.
const confirmationByte = '!'

// pendingOffer is the sender's side of one offer. It writes the request body: the
// query, and the confirmation once the peer has accepted it.
type pendingOffer struct {
	body        *io.PipeReader
	writer      *io.PipeWriter
	acceptTimer *time.Timer

	mu    sync.Mutex
	state offerState
}

// offerState is the state of an offer. It leaves offerOpen once.
type offerState int

const (
	offerOpen offerState = iota
	offerConfirmed
	offerWithdrawn
)

// newOffer starts the offer of a query. onTimeout is called with
// *AcceptTimeoutError if the peer does not accept it within timeout.
func newOffer(query []byte, timeout time.Duration, onTimeout func(error)) *pendingOffer {
	o := &pendingOffer{}
	o.body, o.writer = io.Pipe()
	o.acceptTimer = time.AfterFunc(timeout, func() {
		if o.changeState(offerWithdrawn) {
			onTimeout(&AcceptTimeoutError{Timeout: timeout})
		}
	})
	go func() {
		// An error means that the request has ended, and http.Client.Do reports
		// that.
		_, _ = o.writer.Write(append(query, '\n'))
	}()
	return o
}

// changeState leaves offerOpen and reports whether it did; only the first call
// succeeds.
func (o *pendingOffer) changeState(to offerState) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.state != offerOpen {
		return false
	}
	o.state = to
	return true
}

// isConfirmed reports whether the confirmation was sent or is being sent.
func (o *pendingOffer) isConfirmed() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.state == offerConfirmed
}

// withTrace returns a context for the request that confirms the offer when the
// peer's interim response (103) arrives.
func (o *pendingOffer) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		Got1xxResponse: func(code int, _ textproto.MIMEHeader) error {
			if code == http.StatusEarlyHints && o.changeState(offerConfirmed) {
				o.acceptTimer.Stop()
				go o.writeConfirmation()
			}
			return nil
		},
	})
}

// writeConfirmation writes the confirmation and ends the request body.
func (o *pendingOffer) writeConfirmation() {
	if _, err := o.writer.Write([]byte{confirmationByte}); err == nil {
		_ = o.writer.Close() // Close of a PipeWriter never fails
	}
}

// close withdraws the offer if it is still open, and releases its timer and pipe.
func (o *pendingOffer) close() {
	o.acceptTimer.Stop()
	o.changeState(offerWithdrawn)
	_ = o.body.Close() // Close of a PipeReader never fails
}
