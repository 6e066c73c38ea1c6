package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// relay forwards connections to one address and counts the bytes of both
// directions.
type relay struct {
	listener net.Listener
	target   string
	bytes    *atomic.Int64
	mu       sync.Mutex
	open     []net.Conn
	work     sync.WaitGroup
}

func startRelay(target string, bytes *atomic.Int64) (*relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.WithStack(err)
	}
	r := &relay{listener: listener, target: target, bytes: bytes}
	r.work.Go(r.accept)
	return r, nil
}

// Addr returns the address that connections go to.
func (r *relay) Addr() string { return r.listener.Addr().String() }

// Close ends all connections.
func (r *relay) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	for _, conn := range r.open {
		_ = conn.Close()
	}
	r.mu.Unlock()
	r.work.Wait()
}

func (r *relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		counted := countingConn{Conn: server, bytes: r.bytes}
		r.mu.Lock()
		r.open = append(r.open, client, server)
		r.mu.Unlock()
		r.work.Go(func() { forward(counted, client) })
		r.work.Go(func() { forward(client, counted) })
	}
}

// forward copies without the kernel's shortcut, which would pass the count.
func forward(to io.Writer, from io.Reader) {
	_, _ = io.Copy(struct{ io.Writer }{to}, struct{ io.Reader }{from})
	for _, end := range []any{to, from} {
		if conn, ok := end.(io.Closer); ok {
			_ = conn.Close()
		}
	}
}
