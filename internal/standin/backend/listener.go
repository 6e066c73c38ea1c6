package backend

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// gate is the listener of a replica. It enforces the connection limit, and its
// socket can be closed and opened again on the same address.
type gate struct {
	addr  net.Addr
	cost  time.Duration
	limit int

	accepted chan net.Conn
	done     chan struct{}

	mu     sync.Mutex
	socket net.Listener // nil while connections are refused
	conns  map[*link]struct{}
	closed bool
	wait   sync.WaitGroup
}

func openGate(listen string, cost time.Duration, limit int) (*gate, error) {
	socket, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	g := &gate{
		addr:     socket.Addr(),
		cost:     cost,
		limit:    limit,
		accepted: make(chan net.Conn),
		done:     make(chan struct{}),
		conns:    map[*link]struct{}{},
	}
	g.start(socket)
	return g, nil
}

func (g *gate) start(socket net.Listener) {
	g.socket = socket
	g.wait.Go(func() { g.acceptAll(socket) })
}

func (g *gate) acceptAll(socket net.Listener) {
	for {
		conn, err := socket.Accept()
		if err != nil {
			return
		}
		l := &link{Conn: conn, gate: g, ready: time.Now().Add(g.cost), done: make(chan struct{})}
		if !g.admit(l) {
			l.reset()
			continue
		}
		select {
		case g.accepted <- l:
		case <-g.done:
			l.reset()
		}
	}
}

func (g *gate) admit(l *link) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed || len(g.conns) >= g.limit {
		return false
	}
	g.conns[l] = struct{}{}
	return true
}

// refuse closes or opens the listening socket.
func (g *gate) refuse(refuse bool) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed || refuse == (g.socket == nil) {
		return nil
	}
	if refuse {
		err := g.socket.Close()
		g.socket = nil
		return errors.WithStack(err)
	}
	socket, err := net.Listen("tcp", g.addr.String())
	if err != nil {
		return errors.WithStack(err)
	}
	g.start(socket)
	return nil
}

// each calls f with every open connection.
func (g *gate) each(f func(*link)) {
	g.mu.Lock()
	links := make([]*link, 0, len(g.conns))
	for l := range g.conns {
		links = append(links, l)
	}
	g.mu.Unlock()
	for _, l := range links {
		f(l)
	}
}

func (g *gate) count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns)
}

// Accept implements net.Listener.
func (g *gate) Accept() (net.Conn, error) {
	select {
	case conn := <-g.accepted:
		return conn, nil
	case <-g.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (g *gate) Close() error {
	g.mu.Lock()
	first := !g.closed
	g.closed = true
	socket := g.socket
	g.socket = nil
	g.mu.Unlock()
	if first {
		close(g.done)
		if socket != nil {
			_ = socket.Close()
		}
		g.wait.Wait()
	}
	return nil
}

// Addr implements net.Listener.
func (g *gate) Addr() net.Addr { return g.addr }

// link is one accepted connection.
type link struct {
	net.Conn
	gate   *gate
	ready  time.Time // no byte is read before
	silent atomic.Bool
	done   chan struct{}
	once   sync.Once
}

// Read implements net.Conn; it waits for the connection cost.
func (l *link) Read(p []byte) (int, error) {
	if wait := time.Until(l.ready); wait > 0 {
		select {
		case <-time.After(wait):
		case <-l.done:
		}
	}
	return l.Conn.Read(p)
}

// Write implements net.Conn; a silent connection swallows the bytes.
func (l *link) Write(p []byte) (int, error) {
	if l.silent.Load() {
		return len(p), nil
	}
	return l.Conn.Write(p)
}

// Close implements net.Conn.
func (l *link) Close() error {
	err := l.Conn.Close()
	l.once.Do(func() {
		close(l.done)
		l.gate.mu.Lock()
		delete(l.gate.conns, l)
		l.gate.mu.Unlock()
	})
	return err
}

// reset closes the connection with a TCP reset.
func (l *link) reset() {
	if conn, ok := l.Conn.(*net.TCPConn); ok {
		_ = conn.SetLinger(0)
	}
	_ = l.Close()
}
