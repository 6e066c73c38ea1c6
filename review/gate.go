package review

import (
	"net"
	"sync"
)

// gateBuffer is the size of one read of a gate.
const gateBuffer = 32 << 10

// Gate passes the connections of one host on to the store. While it is silent, nothing
// passes in either direction, and nothing is closed.
type Gate struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	opened   *sync.Cond
	silent   bool
}

// NewGate starts a gate on a free port of an address.
func NewGate(ip, target string) (*Gate, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	g := &Gate{listener: listener, target: target}
	g.opened = sync.NewCond(&g.mu)
	go g.accept()
	return g, nil
}

// Addr returns the address of the gate.
func (g *Gate) Addr() string { return g.listener.Addr().String() }

// SetSilent makes the gate silent, or passes on again.
func (g *Gate) SetSilent(silent bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.silent = silent
	g.opened.Broadcast()
}

// wait returns when the gate is not silent.
func (g *Gate) wait() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for g.silent {
		g.opened.Wait()
	}
}

func (g *Gate) accept() {
	for {
		conn, err := g.listener.Accept()
		if err != nil {
			return
		}
		go g.serve(conn)
	}
}

func (g *Gate) serve(conn net.Conn) {
	g.wait()
	store, err := net.Dial("tcp", g.target)
	if err != nil {
		_ = conn.Close()
		return
	}
	go g.pass(store, conn)
	g.pass(conn, store)
}

// pass passes bytes on until one of the connections ends, and closes both.
func (g *Gate) pass(to, from net.Conn) {
	defer func() { _, _ = to.Close(), from.Close() }()
	buffer := make([]byte, gateBuffer)
	for {
		n, err := from.Read(buffer)
		g.wait()
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
