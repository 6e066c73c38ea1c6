//go:build !unix

package httpconn

import "net"

// checkSocketIdle returns nil, because a read without waiting is not available on
// this system. A stale connection fails in the call itself.
func checkSocketIdle(net.Conn) error { return nil }
