package relay

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// chunkSize is the largest amount of data that is read and passed on at once.
	chunkSize = 32 << 10 // bytes
	// maxQueuedChunks bounds the data in flight in one direction of a connection.
	maxQueuedChunks = 256
	// dialTimeout bounds the time to connect to the target.
	dialTimeout = 2 * time.Second
)

// connPair is one accepted connection and its connection to the target.
type connPair struct {
	relay     *Relay
	accepted  net.Conn
	toTarget  net.Conn      // guarded by mu; nil until the target is connected
	silenced  atomic.Bool   // data is read and discarded
	done      chan struct{} // closed by close
	closeOnce sync.Once
	mu        sync.Mutex
}

// chunk is data to be passed on at deliverAt. A chunk without data marks the end
// of the stream.
type chunk struct {
	deliverAt time.Time
	data      []byte
}

// serve connects to the target and forwards data in both directions until both
// have ended.
func (p *connPair) serve() {
	defer p.close()
	if !p.waitToDeliver(p.relay.deliveryTime()) {
		return
	}
	target, err := net.DialTimeout("tcp", p.relay.options.Target, dialTimeout)
	if err != nil {
		p.reset()
		return
	}
	p.mu.Lock()
	p.toTarget = target
	p.mu.Unlock()
	select {
	case <-p.done:
		_ = target.Close()
		return
	default:
	}
	var group sync.WaitGroup
	group.Go(func() { p.forward(p.accepted, target) })
	group.Go(func() { p.forward(target, p.accepted) })
	group.Wait()
}

// forward passes data from source to destination in order, under the link's delay
// and cut, until source ends or the pair is closed.
func (p *connPair) forward(source, destination net.Conn) {
	chunks := make(chan chunk, maxQueuedChunks)
	var group sync.WaitGroup
	group.Go(func() { p.deliver(destination, chunks) })
	for {
		data := make([]byte, chunkSize)
		n, err := source.Read(data)
		if n > 0 && !p.enqueue(chunks, chunk{deliverAt: p.relay.deliveryTime(), data: data[:n]}) {
			break
		}
		if err != nil {
			if err != io.EOF {
				// A reset by one side must reach the other side as a reset.
				p.reset()
			}
			break
		}
	}
	p.enqueue(chunks, chunk{deliverAt: p.relay.deliveryTime()})
	close(chunks)
	group.Wait()
}

// enqueue returns false if the pair is closed before there is room for the chunk.
func (p *connPair) enqueue(chunks chan<- chunk, next chunk) bool {
	select {
	case chunks <- next:
		return true
	case <-p.done:
		return false
	}
}

// deliver writes the queued chunks to destination when they are due, and closes its
// write side at the end of the stream. Chunks of a silenced or closed pair are
// discarded.
func (p *connPair) deliver(destination net.Conn, chunks <-chan chunk) {
	for next := range chunks {
		if !p.waitToDeliver(next.deliverAt) || p.silenced.Load() {
			continue
		}
		if len(next.data) == 0 {
			if conn, ok := destination.(interface{ CloseWrite() error }); ok {
				_ = conn.CloseWrite()
			}
			continue
		}
		if _, err := destination.Write(next.data); err != nil {
			p.close()
		}
	}
}

// waitToDeliver waits until deliverAt and then until the link isn't cut. It returns
// false if the pair is closed before.
func (p *connPair) waitToDeliver(deliverAt time.Time) bool {
	if wait := time.Until(deliverAt); wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-p.done:
			return false
		}
	}
	return p.relay.waitUntilNotCut(p.done)
}

// close closes both connections and removes the pair from the relay. It may be
// called more than once.
func (p *connPair) close() {
	p.closeOnce.Do(func() {
		close(p.done)
		p.relay.mu.Lock()
		delete(p.relay.pairs, p)
		p.relay.mu.Unlock()
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.accepted.Close()
	if p.toTarget != nil {
		_ = p.toTarget.Close()
	}
}

// reset closes both connections with a TCP reset.
func (p *connPair) reset() {
	p.mu.Lock()
	for _, conn := range []net.Conn{p.accepted, p.toTarget} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	p.mu.Unlock()
	p.close()
}
