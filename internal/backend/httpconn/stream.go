package httpconn

import "net"

// limitedStream is a connection that counts the bytes written in a call, and
// limits the bytes read.
type limitedStream struct {
	conn      net.Conn
	written   int64 // bytes, since the start of the call
	readLeft  int64 // bytes that may still be read in this call
	readLimit int64 // bytes that may be read in each call
}

// Write implements io.Writer.
func (s *limitedStream) Write(p []byte) (int, error) {
	n, err := s.conn.Write(p)
	s.written += int64(n)
	return n, err
}

// Read implements io.Reader. It returns *TooLargeError when the limit is reached.
func (s *limitedStream) Read(p []byte) (int, error) {
	if s.readLeft <= 0 {
		return 0, &TooLargeError{Limit: s.readLimit}
	}
	if int64(len(p)) > s.readLeft {
		p = p[:s.readLeft]
	}
	n, err := s.conn.Read(p)
	s.readLeft -= int64(n)
	return n, err
}
