// Package httpjson implements package backend for the protocol of the stand-in
// backend server, JSON over HTTP/1.1. It uses httpconn instead of http.Transport,
// which hides whether a byte was written and may send a request again.
package httpjson

import (
	"context"
	"net"

	"github.com/arbutusgauge/arbutusgauge/internal/backend"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// Dialer opens connections to backend servers. It is safe for concurrent use.
type Dialer struct {
	options Options
	net     net.Dialer
}

var _ backend.Dialer = (*Dialer)(nil)

// NewDialer returns a dialer, or *OptionsError for an invalid option.
func NewDialer(options Options) (*Dialer, error) {
	if err := options.Validate(); err != nil {
		return nil, err
	}
	options = options.withDefaults()
	return &Dialer{options: options, net: net.Dialer{Timeout: options.DialTimeout}}, nil
}

// Dial opens a connection to the replica, whose id is its "host:port". Its errors
// are *backend.DialError.
func (d *Dialer) Dial(ctx context.Context, replica wire.ReplicaID) (backend.Conn, error) {
	conn, err := d.net.DialContext(ctx, "tcp", string(replica))
	if err != nil {
		return nil, &backend.DialError{Replica: replica, Err: err}
	}
	return newConn(conn, replica, d.options.MaxResponse), nil
}
