//go:build unix

package httpconn

import (
	"net"
	"syscall"

	"github.com/pkg/errors"
)

// checkSocketIdle reads from the socket without waiting. It returns an error when
// there is an end of stream, a reset or a byte; a healthy idle connection has
// nothing to read.
func checkSocketIdle(conn net.Conn) error {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return errors.WithStack(err)
	}
	var n int
	var readErr error
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		n, readErr = syscall.Read(int(fd), one[:])
		return true
	})
	switch {
	case err != nil:
		return errors.WithStack(err)
	case readErr == syscall.EAGAIN || readErr == syscall.EWOULDBLOCK || readErr == syscall.EINTR:
		return nil
	case readErr != nil:
		return errors.WithStack(readErr)
	case n == 0:
		return &ClosedError{Cause: "closed by the server"}
	default:
		return &ClosedError{Cause: "unexpected bytes"}
	}
}
