// Package relay is a TCP relay with fault injection: delay, jitter, cuts,
// silent connections and resets.
package relay

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Relay passes connections on to one target. It is safe for concurrent use.
type Relay struct {
	options Options
	addr    net.Addr
	done    chan struct{}
	wait    sync.WaitGroup

	mu     sync.Mutex
	random *rand.Rand
	link   Link
	healed chan struct{} // closed unless cut
	socket net.Listener  // nil while connections are refused
	pairs  map[*pair]struct{}
	closed bool
}

// Start opens the relay's address. The error is *OptionsError or the cause of
// the failed listen.
func Start(options Options) (*Relay, error) {
	if err := options.Validate(); err != nil {
		return nil, err
	}
	socket, err := net.Listen("tcp", options.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "relay")
	}
	r := &Relay{
		options: options,
		addr:    socket.Addr(),
		done:    make(chan struct{}),
		random:  rand.New(rand.NewPCG(options.Seed, 0)),
		healed:  make(chan struct{}),
		pairs:   map[*pair]struct{}{},
		socket:  socket,
	}
	close(r.healed)
	r.wait.Go(func() { r.acceptAll(socket) })
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

// Link returns the condition in force.
func (r *Relay) Link() Link {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.link
}

// SetLink replaces the condition of the line. The error is *OptionsError or
// the cause of a failed listen after Refuse.
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
		r.healed = make(chan struct{})
	}
	if !link.Cut && r.link.Cut {
		close(r.healed)
	}
	r.link = link
	return r.setRefuse(link.Refuse)
}

func (r *Relay) setRefuse(refuse bool) error {
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
	r.wait.Go(func() { r.acceptAll(socket) })
	return nil
}

// Silence makes every open connection accept bytes and pass none on, for good;
// new connections work.
func (r *Relay) Silence() { r.each(func(p *pair) { p.silent.Store(true) }) }

// Reset resets every open connection on both sides.
func (r *Relay) Reset() { r.each((*pair).reset) }

// Connections returns the number of open connections.
func (r *Relay) Connections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.pairs)
}

func (r *Relay) each(f func(*pair)) {
	r.mu.Lock()
	pairs := make([]*pair, 0, len(r.pairs))
	for p := range r.pairs {
		pairs = append(pairs, p)
	}
	r.mu.Unlock()
	for _, p := range pairs {
		f(p)
	}
}

// Close closes the address and every connection.
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
	r.each((*pair).close)
	r.wait.Wait()
	return nil
}

func (r *Relay) acceptAll(socket net.Listener) {
	for {
		conn, err := socket.Accept()
		if err != nil {
			return
		}
		p := &pair{relay: r, client: conn, done: make(chan struct{})}
		r.mu.Lock()
		if r.closed {
			r.mu.Unlock()
			_ = conn.Close()
			continue
		}
		r.pairs[p] = struct{}{}
		r.wait.Go(p.serve)
		r.mu.Unlock()
	}
}

// due returns when a piece of data that arrives now is passed on.
func (r *Relay) due() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	delay := r.link.Delay.D()
	if r.link.Jitter > 0 {
		delay += time.Duration(r.random.Int64N(int64(r.link.Jitter)))
	}
	return time.Now().Add(delay)
}

// waitHealed waits until the line isn't cut; false means that it was closed.
func (r *Relay) waitHealed(done <-chan struct{}) bool {
	r.mu.Lock()
	healed := r.healed
	r.mu.Unlock()
	select {
	case <-healed:
		return true
	case <-done:
		return false
	}
}
