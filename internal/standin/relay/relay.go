// Package relay is a TCP relay that injects network faults for tests and
// demonstrations: delay, jitter, cuts, refused, silent and reset connections.
package relay

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Relay forwards the connections of one address to one target. It is safe for
// concurrent use.
type Relay struct {
	options    Options
	addr       net.Addr
	done       chan struct{} // closed by Close
	goroutines sync.WaitGroup

	mu     sync.Mutex
	random *rand.Rand
	link   Link
	notCut chan struct{} // closed unless the link is cut
	socket net.Listener  // listening socket; nil while connections are refused
	pairs  map[*connPair]struct{}
	closed bool
}

// Start listens on the relay's address and starts to forward connections. The
// error is *OptionsError or the cause of the failed listen.
func Start(options Options) (*Relay, error) {
	if err := options.Validate(); err != nil {
		return nil, err
	}
	socket, err := net.Listen("tcp", options.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "start relay")
	}
	r := &Relay{
		options: options,
		addr:    socket.Addr(),
		done:    make(chan struct{}),
		random:  rand.New(rand.NewPCG(options.Seed, 0)),
		notCut:  make(chan struct{}),
		pairs:   map[*connPair]struct{}{},
		socket:  socket,
	}
	close(r.notCut)
	r.goroutines.Go(func() { r.acceptLoop(socket) })
	if err := r.SetLink(options.Link); err != nil {
		_ = r.Close()
		return nil, err
	}
	return r, nil
}

// Addr returns the address that the relay listens on.
func (r *Relay) Addr() string { return r.addr.String() }

// Target returns the address that connections are passed on to.
func (r *Relay) Target() string { return r.options.Target }

// Link returns the link's condition in force.
func (r *Relay) Link() Link {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.link
}

// SetLink replaces the link's condition; it does nothing on a closed relay. The
// error is *OptionsError, or the cause if the listening socket could not be closed
// or, after Refuse, opened again.
func (r *Relay) SetLink(link Link) error {
	if err := link.Validate(); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return nil
	}
	if link.Cut && !r.link.Cut {
		r.notCut = make(chan struct{})
	}
	if !link.Cut && r.link.Cut {
		close(r.notCut)
	}
	r.link = link
	return r.setRefusing(link.Refuse)
}

// setRefusing closes the listening socket or opens it again on the same address.
// The caller holds mu.
func (r *Relay) setRefusing(refuse bool) error {
	if refuse == (r.socket == nil) {
		return nil
	}
	if refuse {
		err := r.socket.Close()
		r.socket = nil
		return errors.WithStack(err)
	}
	socket, err := net.Listen("tcp", r.addr.String())
	if err != nil {
		return errors.WithStack(err)
	}
	r.socket = socket
	r.goroutines.Go(func() { r.acceptLoop(socket) })
	return nil
}

// SilenceConnections makes every open connection accept data and discard it until the
// connection closes. Connections that are opened later work normally.
func (r *Relay) SilenceConnections() { r.forEachPair(func(p *connPair) { p.silenced.Store(true) }) }

// ResetConnections closes every open connection with a TCP reset on both sides.
func (r *Relay) ResetConnections() { r.forEachPair((*connPair).reset) }

// Connections returns the number of open accepted connections.
func (r *Relay) Connections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.pairs)
}

// forEachPair calls f with every open pair, without holding mu.
func (r *Relay) forEachPair(f func(*connPair)) {
	r.mu.Lock()
	pairs := make([]*connPair, 0, len(r.pairs))
	for p := range r.pairs {
		pairs = append(pairs, p)
	}
	r.mu.Unlock()
	for _, p := range pairs {
		f(p)
	}
}

// Close closes the listening socket and every connection, and waits for the
// relay's goroutines. The error is always nil.
func (r *Relay) Close() error {
	r.mu.Lock()
	first := !r.closed
	r.closed = true
	if first {
		close(r.done)
		if r.socket != nil {
			_ = r.socket.Close()
		}
	}
	r.mu.Unlock()
	r.forEachPair((*connPair).close)
	r.goroutines.Wait()
	return nil
}

func (r *Relay) acceptLoop(socket net.Listener) {
	for {
		conn, err := socket.Accept()
		if err != nil {
			return
		}
		p := &connPair{relay: r, accepted: conn, done: make(chan struct{})}
		r.mu.Lock()
		if r.closed {
			r.mu.Unlock()
			_ = conn.Close()
			continue
		}
		r.pairs[p] = struct{}{}
		r.goroutines.Go(p.serve)
		r.mu.Unlock()
	}
}

// deliveryTime returns the time at which data that arrives now is to be passed on.
func (r *Relay) deliveryTime() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	delay := r.link.Delay.D()
	if r.link.Jitter > 0 {
		delay += time.Duration(r.random.Int64N(int64(r.link.Jitter)))
	}
	return time.Now().Add(delay)
}

// waitUntilNotCut waits until the link isn't cut. It returns false if done is
// closed before.
func (r *Relay) waitUntilNotCut(done <-chan struct{}) bool {
	r.mu.Lock()
	notCut := r.notCut
	r.mu.Unlock()
	select {
	case <-notCut:
		return true
	case <-done:
		return false
	}
}
