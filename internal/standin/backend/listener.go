package backend

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// limitedListener is the listener of a replica. It resets connections above a
// limit, delays the first read of each, and can close its listening socket and
// open it again on the same address.
type limitedListener struct {
	addr        net.Addr
	connectCost time.Duration // delay before the first byte of a connection is read
	maxConns    int

	acceptedConns chan net.Conn
	done          chan struct{} // closed by Close

	mu          sync.Mutex
	socket      net.Listener              // listening socket; nil while connections are refused
	conns       map[*trackedConn]struct{} // open connections
	closed      bool
	acceptLoops sync.WaitGroup
}

// listenLimited listens on the "ip:port" listen.
func listenLimited(listen string, connectCost time.Duration, maxConns int) (*limitedListener, error) {
	socket, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	l := &limitedListener{
		addr:          socket.Addr(),
		connectCost:   connectCost,
		maxConns:      maxConns,
		acceptedConns: make(chan net.Conn),
		done:          make(chan struct{}),
		conns:         map[*trackedConn]struct{}{},
	}
	l.startAccepting(socket)
	return l, nil
}

// startAccepting accepts connections from socket. The caller holds mu, or g is not
// shared yet.
func (l *limitedListener) startAccepting(socket net.Listener) {
	l.socket = socket
	l.acceptLoops.Go(func() { l.acceptLoop(socket) })
}

func (l *limitedListener) acceptLoop(socket net.Listener) {
	for {
		conn, err := socket.Accept()
		if err != nil {
			return
		}
		c := &trackedConn{Conn: conn, listener: l, readableAt: time.Now().Add(l.connectCost), closed: make(chan struct{})}
		if !l.addConn(c) {
			c.reset()
			continue
		}
		select {
		case l.acceptedConns <- c:
		case <-l.done:
			c.reset()
		}
	}
}

// addConn returns false if the listener is closed or its connection limit is
// reached.
func (l *limitedListener) addConn(c *trackedConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || len(l.conns) >= l.maxConns {
		return false
	}
	l.conns[c] = struct{}{}
	return true
}

// setRefusing closes the listening socket or opens it again on the same address.
func (l *limitedListener) setRefusing(refuse bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || refuse == (l.socket == nil) {
		return nil
	}
	if refuse {
		err := l.socket.Close()
		l.socket = nil
		return errors.WithStack(err)
	}
	socket, err := net.Listen("tcp", l.addr.String())
	if err != nil {
		return errors.WithStack(err)
	}
	l.startAccepting(socket)
	return nil
}

// forEachConn calls f with every open connection, without holding mu.
func (l *limitedListener) forEachConn(f func(*trackedConn)) {
	l.mu.Lock()
	conns := make([]*trackedConn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	l.mu.Unlock()
	for _, c := range conns {
		f(c)
	}
}

func (l *limitedListener) connCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.acceptedConns:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. Connections that Accept returned stay
// open.
func (l *limitedListener) Close() error {
	l.mu.Lock()
	first := !l.closed
	l.closed = true
	socket := l.socket
	l.socket = nil
	l.mu.Unlock()
	if first {
		close(l.done)
		if socket != nil {
			_ = socket.Close()
		}
		l.acceptLoops.Wait()
	}
	return nil
}

// Addr implements net.Listener.
func (l *limitedListener) Addr() net.Addr { return l.addr }

// trackedConn is an accepted connection of a limitedListener.
type trackedConn struct {
	net.Conn
	listener   *limitedListener
	readableAt time.Time     // nothing is read before
	silenced   atomic.Bool   // written data is discarded
	closed     chan struct{} // closed by Close
	closeOnce  sync.Once
}

// Read implements net.Conn. It waits until readableAt first.
func (c *trackedConn) Read(p []byte) (int, error) {
	if wait := time.Until(c.readableAt); wait > 0 {
		select {
		case <-time.After(wait):
		case <-c.closed:
		}
	}
	return c.Conn.Read(p)
}

// Write implements net.Conn. A silenced connection discards the data and reports
// success.
func (c *trackedConn) Write(p []byte) (int, error) {
	if c.silenced.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	err := c.Conn.Close()
	c.closeOnce.Do(func() {
		close(c.closed)
		c.listener.mu.Lock()
		delete(c.listener.conns, c)
		c.listener.mu.Unlock()
	})
	return err
}

// reset closes the connection with a TCP reset.
func (c *trackedConn) reset() {
	if conn, ok := c.Conn.(*net.TCPConn); ok {
		_ = conn.SetLinger(0)
	}
	_ = c.Close()
}
