package settings

import (
	"net/netip"
	"os"

	"github.com/arbutusgauge/arbutusgauge/internal/jwcc"
)

// Load reads and checks a settings file. *ReadError means that the file could
// not be read; *jwcc.Error lists what is wrong in it, with line and key.
func Load(file string) (*Entry, error) {
	body, err := os.ReadFile(file)
	if err != nil {
		return nil, &ReadError{File: file, Err: err}
	}
	return Parse(file, body)
}

// Parse reads and checks settings; file names them in messages. Errors are
// those of Load.
func Parse(file string, body []byte) (*Entry, error) {
	e := Defaults()
	source, err := jwcc.DecodeSource(file, body, &e)
	if err != nil {
		return nil, err
	}
	e.HTTP.Advertise = advertised(e.HTTP)
	e.Peer.Advertise = advertised(e.Peer)
	if err := e.validate(source); err != nil {
		return nil, err
	}
	return &e, nil
}

// advertised returns the listen address in place of a missing advertised one,
// if others can connect to it.
func advertised(l Listen) string {
	addr, err := netip.ParseAddrPort(l.Listen)
	if l.Advertise == "" && err == nil && !addr.Addr().IsUnspecified() {
		return l.Listen
	}
	return l.Advertise
}
