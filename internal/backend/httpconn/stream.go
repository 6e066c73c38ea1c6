package httpconn

import (
	"io"
	"net"

	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/readlimit"
)

// limitedStream is a connection that counts the bytes written and read in a call, and
// limits the bytes of a response's head.
type limitedStream struct {
	conn      net.Conn
	written   int64 // bytes, since the start of the call
	read      int64 // bytes, since the connection was opened
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
	s.read += int64(n)
	if s.inHead {
		s.bytesLeft -= n
	}
	return n, err
}

const (
	// maxFramingBytes bounds the bytes of a chunked body that are not data: the sizes of
	// the chunks, their extensions and the trailer. The longest usual body may come in
	// chunks of one byte, which take 5 bytes each.
	maxFramingBytes = 256 << 10
	// framingDivisor is the part of the data by which that bound grows, so that bodies
	// up to Options.MaxResponse may come in chunks of some 50 bytes.
	framingDivisor = 8
)

// chunkedBody is a chunked body that limits the bytes around its data. Each chunk costs
// processor time, and chunks without end must not take that of the whole host.
type chunkedBody struct {
	body   io.Reader
	stream *limitedStream
	began  int64 // stream.read at the start of the body, less what was buffered then
	data   int64 // bytes
}

// Read implements io.Reader. It returns *readlimit.Error once the framing exceeds its
// bound, by the buffer of the connection at most.
func (b *chunkedBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	b.data += int64(n)
	limit := maxFramingBytes + b.data/framingDivisor
	if err == nil && b.stream.read-b.began-b.data > limit {
		return n, errors.WithStack(&readlimit.Error{What: "framing of a chunked response", Limit: limit, Unit: readlimit.Bytes})
	}
	return n, err
}
