package httpconn

import (
	"net"

	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/readlimit"
)

// limitedStream is a connection that counts the bytes written in a call, and
// limits the bytes of a response's head.
type limitedStream struct {
	conn      net.Conn
	written   int64 // bytes, since the start of the call
	inHead    bool
	bytesLeft int // bytes that may still be read in the head
}

// beginHead starts the limit of a head.
func (s *limitedStream) beginHead() { s.inHead, s.bytesLeft = true, maxHeadBytes }

// endHead ends the limit.
func (s *limitedStream) endHead() { s.inHead = false }

// Write implements io.Writer.
func (s *limitedStream) Write(p []byte) (int, error) {
	n, err := s.conn.Write(p)
	s.written += int64(n)
	return n, err
}

// Read implements io.Reader. Within a head it returns *readlimit.Error if the
// bytes read before exceed the limit. Those of one read may exceed it, because they
// may belong to the body; their number is that of the reader's buffer.
func (s *limitedStream) Read(p []byte) (int, error) {
	if s.inHead && s.bytesLeft <= 0 {
		return 0, errors.WithStack(&readlimit.Error{What: "head of a response", Limit: maxHeadBytes, Unit: readlimit.Bytes})
	}
	n, err := s.conn.Read(p)
	if s.inHead {
		s.bytesLeft -= n
	}
	return n, err
}
