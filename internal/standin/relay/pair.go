package relay

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// pieceSize is the most that one read passes on.
	pieceSize = 32 << 10 // bytes
	// maxPieces bounds the data under way in one direction.
	maxPieces = 256
	// dialTimeout bounds the connection to the target.
	dialTimeout = 2 * time.Second
)

// pair is one accepted connection and its connection to the target.
type pair struct {
	relay  *Relay
	client net.Conn
	server net.Conn // nil until dialled; guarded by mu
	silent atomic.Bool
	done   chan struct{}
	once   sync.Once
	mu     sync.Mutex
}

// piece is data to be passed on at a moment; no data means the end.
type piece struct {
	at   time.Time
	data []byte
}

func (p *pair) serve() {
	defer p.close()
	if !p.pass(p.relay.due()) {
		return
	}
	server, err := net.DialTimeout("tcp", p.relay.options.Target, dialTimeout)
	if err != nil {
		p.reset()
		return
	}
	p.mu.Lock()
	p.server = server
	p.mu.Unlock()
	select {
	case <-p.done:
		_ = server.Close()
		return
	default:
	}
	var wait sync.WaitGroup
	wait.Go(func() { p.carry(p.client, server) })
	wait.Go(func() { p.carry(server, p.client) })
	wait.Wait()
}

// carry passes data from one side to the other, in order.
func (p *pair) carry(from, to net.Conn) {
	pieces := make(chan piece, maxPieces)
	var wait sync.WaitGroup
	wait.Go(func() { p.deliver(to, pieces) })
	for {
		data := make([]byte, pieceSize)
		n, err := from.Read(data)
		if n > 0 && !p.enqueue(pieces, piece{at: p.relay.due(), data: data[:n]}) {
			break
		}
		if err != nil {
			if err != io.EOF {
				// A reset is passed on as a reset.
				p.reset()
			}
			break
		}
	}
	p.enqueue(pieces, piece{at: p.relay.due()})
	close(pieces)
	wait.Wait()
}

func (p *pair) enqueue(pieces chan<- piece, next piece) bool {
	select {
	case pieces <- next:
		return true
	case <-p.done:
		return false
	}
}

func (p *pair) deliver(to net.Conn, pieces <-chan piece) {
	for next := range pieces {
		if !p.pass(next.at) || p.silent.Load() {
			continue
		}
		if len(next.data) == 0 {
			if half, ok := to.(interface{ CloseWrite() error }); ok {
				_ = half.CloseWrite()
			}
			continue
		}
		if _, err := to.Write(next.data); err != nil {
			p.close()
		}
	}
}

// pass waits until a moment and until the line isn't cut; false means that the
// connection is closed.
func (p *pair) pass(at time.Time) bool {
	if wait := time.Until(at); wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-p.done:
			return false
		}
	}
	return p.relay.waitHealed(p.done)
}

func (p *pair) close() {
	p.once.Do(func() {
		close(p.done)
		p.relay.mu.Lock()
		delete(p.relay.pairs, p)
		p.relay.mu.Unlock()
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.client.Close()
	if p.server != nil {
		_ = p.server.Close()
	}
}

// reset closes both sides with a TCP reset.
func (p *pair) reset() {
	p.mu.Lock()
	for _, conn := range []net.Conn{p.client, p.server} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	p.mu.Unlock()
	p.close()
}
