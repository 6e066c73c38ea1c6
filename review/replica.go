package review

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Run is one request that a replica began to run.
type Run struct {
	Attempt, Replica, Target string
	At                       time.Time
	Cut                      bool // the replica ended before it was done
}

// Replica is a stand-in of a replica. Its fields are set before it is started, or within
// Locked.
type Replica struct {
	ID, Service, Zone string
	Slots             int
	WorkTime          time.Duration
	// CrashTarget is the target of requests that end the replica when it runs them; it is
	// back after RestartAfter.
	CrashTarget  string
	RestartAfter time.Duration
	// Leaving makes it say in all answers that it leaves.
	Leaving bool
	// RetryAfter, if set, makes it turn all requests away with 503 and this value.
	RetryAfter string
	Record     *Record
	OnRestart  func()

	mu       sync.Mutex
	addr     string
	listener net.Listener
	conns    map[net.Conn]bool
	born     time.Time
	down     bool
	runs     []Run
	refused  []time.Time
	crashes  []time.Time
	sequence int
}

// Start listens on a free port of an address.
func (r *Replica) Start(ip string) error {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return err
	}
	r.addr, r.conns, r.born = listener.Addr().String(), map[net.Conn]bool{}, time.Now()
	r.listener = listener
	go r.accept(listener)
	return nil
}

// Locked calls change while no request is being handled.
func (r *Replica) Locked(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
}

// Key returns the key of the replica's entry in the store.
func (r *Replica) Key() string { return "servers/" + r.ID }

// Entry returns the next entry of the replica in the store.
func (r *Replica) Entry(state string) map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	return map[string]any{
		"service": r.Service, "address": r.addr, "zone": r.Zone, "version": "v1", "slots": r.Slots, "state": state,
		"warmup_left_ms": 0, "sequence": r.sequence, "born": r.born.UnixMilli(),
	}
}

// Runs returns what the replica began to run.
func (r *Replica) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run(nil), r.runs...)
}

// Refused returns when the replica turned requests away.
func (r *Replica) Refused() []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]time.Time(nil), r.refused...)
}

// Crashes returns when the replica crashed.
func (r *Replica) Crashes() []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]time.Time(nil), r.crashes...)
}

// End ends the replica as its process ends: connections break, new ones are refused.
func (r *Replica) End() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.end()
}

func (r *Replica) end() {
	r.down = true
	_ = r.listener.Close()
	for conn := range r.conns {
		_ = conn.Close()
	}
}

func (r *Replica) crash(attempt string) {
	r.mu.Lock()
	if r.down {
		r.mu.Unlock()
		return
	}
	r.crashes = append(r.crashes, time.Now())
	r.end()
	r.mu.Unlock()
	r.Record.Line("replica %s crashed under %s", r.ID, attempt)
	time.AfterFunc(r.RestartAfter, r.restart)
}

// restart starts the replica again under its id and address.
func (r *Replica) restart() {
	listener, err := net.Listen("tcp", r.addr)
	if err != nil {
		r.Record.Line("replica %s: %v", r.ID, err)
		return
	}
	r.mu.Lock()
	r.listener, r.down, r.born, r.sequence = listener, false, time.Now(), 0
	r.mu.Unlock()
	r.Record.Line("replica %s is back", r.ID)
	go r.accept(listener)
	if r.OnRestart != nil {
		r.OnRestart()
	}
}

func (r *Replica) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go r.serve(conn)
	}
}

func (r *Replica) serve(conn net.Conn) {
	r.Locked(func() { r.conns[conn] = true })
	defer r.Locked(func() { delete(r.conns, conn) })
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if !r.handle(conn, reader, request) {
			return
		}
	}
}

// handle answers one request and reports whether the connection stays open.
func (r *Replica) handle(conn net.Conn, reader *bufio.Reader, q *http.Request) bool {
	attempt := q.Header.Get("X-Attempt-Id")
	r.mu.Lock()
	leaving, retryAfter, work := r.Leaving, r.RetryAfter, r.WorkTime
	crashes := r.CrashTarget != "" && q.RequestURI == r.CrashTarget
	r.mu.Unlock()
	notices := ""
	if leaving {
		notices = "Server-Leaving: 1\r\nConnection: close\r\n"
	}
	if q.RequestURI == "/health" {
		status := "200 OK"
		if leaving {
			status = "503 Service Unavailable"
		}
		return write(conn, "HTTP/1.1 "+status+"\r\nX-Instance-Id: "+r.ID+"\r\n"+notices+"Content-Length: 0\r\n\r\n") && !leaving
	}
	echo := "X-Attempt-Id: " + attempt + "\r\n"
	if want := q.Header.Get("X-Expected-Instance"); want != "" && want != r.ID {
		return write(conn, "HTTP/1.1 421 Misdirected Request\r\n"+echo+"X-Instance-Id: "+r.ID+"\r\nContent-Length: 0\r\n\r\n")
	}
	if retryAfter != "" {
		r.Locked(func() { r.refused = append(r.refused, time.Now()) })
		r.Record.Line("replica %s turned %s away, Retry-After %s", r.ID, attempt, retryAfter)
		return write(conn, "HTTP/1.1 503 Service Unavailable\r\n"+echo+"X-Not-Executed: 1\r\nRetry-After: "+retryAfter+"\r\nContent-Length: 0\r\n\r\n")
	}
	r.mu.Lock()
	index := len(r.runs)
	r.runs = append(r.runs, Run{Attempt: attempt, Replica: r.ID, Target: q.RequestURI, At: time.Now()})
	r.mu.Unlock()
	if crashes {
		r.Record.Line("replica %s began to run %s", r.ID, attempt)
		work /= 2
	}
	if !r.work(conn, reader, work) {
		r.Locked(func() { r.runs[index].Cut = r.down })
		return false
	}
	if crashes {
		r.crash(attempt)
		return false
	}
	body := fmt.Sprintf("%-16.16s", r.ID)
	return write(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\n%sX-Response-Stamp: %s.%s\r\n%sContent-Length: %d\r\n\r\n%s",
		echo, r.ID, attempt, notices, len(body), body)) && !leaving
}

// work takes the time of the work and reports false if the connection ends meanwhile.
func (r *Replica) work(conn net.Conn, reader *bufio.Reader, d time.Duration) bool {
	_ = conn.SetReadDeadline(time.Now().Add(d))
	_, err := reader.Peek(1)
	_ = conn.SetReadDeadline(time.Time{})
	timeout, ok := err.(net.Error)
	return err == nil || ok && timeout.Timeout()
}

func write(conn net.Conn, text string) bool {
	_, err := io.WriteString(conn, text)
	return err == nil
}
