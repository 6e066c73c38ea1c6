package httpconn

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/backend"
	"github.com/arbutusgauge/arbutusgauge/internal/readlimit"
)

// fuzzMaxResponse is the limit of a body in the fuzz test, in bytes.
const fuzzMaxResponse = 1 << 10

// Guards against panics, calls without an end and bodies beyond their limit, whatever
// bytes a backend server sends as its response.
func FuzzResponse(f *testing.F) {
	for _, response := range endlessResponses {
		f.Add([]byte(response.prefix + response.repeated[:min(64, len(response.repeated))]))
	}
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\nX-A: b\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\nwhole"))
	f.Add([]byte("HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\nwhole"))
	f.Add([]byte("HTTP/1.0 200 OK\r\n\r\nwhole"))
	f.Fuzz(func(t *testing.T, response []byte) {
		near, far := net.Pipe()
		go func() {
			defer func() { _ = far.Close() }()
			if _, err := far.Read(make([]byte, 256)); err == nil {
				_, _ = far.Write(response)
			}
		}()
		conn := New(near, "replica", Options{BufferSize: 256, MaxResponse: fuzzMaxResponse, Budget: readlimit.NewBudget(1 << 20)})
		defer func() { _ = conn.Close() }()
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		got, err := conn.Call(ctx, http.MethodGet, func(w io.Writer) error { return writeGet(w) })
		var lost *backend.LostError
		switch {
		case ctx.Err() != nil:
			t.Fatal("the call did not end")
		case err != nil && !errors.As(err, &lost):
			t.Fatalf("a call that was written ended with %v", err)
		case err == nil && (got.Code < 200 || len(got.Body) > fuzzMaxResponse):
			t.Fatalf("status %d with %d bytes", got.Code, len(got.Body))
		}
	})
}
