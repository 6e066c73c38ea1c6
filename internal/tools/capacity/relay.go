package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// relay forwards TCP connections to the address target and adds the bytes of both
// directions to byteCount.
type relay struct {
	listener  net.Listener
	target    string
	byteCount *atomic.Int64
	mu        sync.Mutex
	conns     []net.Conn
	running   sync.WaitGroup
}

// startRelay starts a relay on a free loopback port; Close ends it.
func startRelay(target string, byteCount *atomic.Int64) (*relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.WithStack(err)
	}
	r := &relay{listener: listener, target: target, byteCount: byteCount}
	r.running.Go(r.accept)
	return r, nil
}

// Addr returns the address on which the relay accepts connections.
func (r *relay) Addr() string { return r.listener.Addr().String() }

// Close closes the listener and all connections and waits for the goroutines.
func (r *relay) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	for _, conn := range r.conns {
		_ = conn.Close()
	}
	r.mu.Unlock()
	r.running.Wait()
}

func (r *relay) accept() {
	for {
		incoming, err := r.listener.Accept()
		if err != nil {
			return
		}
		outgoing, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = incoming.Close()
			continue
		}
		counted := countingConn{Conn: outgoing, byteCount: r.byteCount}
		r.mu.Lock()
		r.conns = append(r.conns, incoming, outgoing)
		r.mu.Unlock()
		r.running.Go(func() { forward(counted, incoming) })
		r.running.Go(func() { forward(incoming, counted) })
	}
}

// forward copies until one side closes and then closes both. The wrappers hide
// ReadFrom and WriteTo, with which io.Copy could let the kernel copy the bytes
// uncounted.
func forward(to io.Writer, from io.Reader) {
	_, _ = io.Copy(struct{ io.Writer }{to}, struct{ io.Reader }{from})
	for _, end := range []any{to, from} {
		if conn, ok := end.(io.Closer); ok {
			_ = conn.Close()
		}
	}
}
