package settings

import (
	"net/netip"
	"os"

	"github.com/arbutusgauge/arbutusgauge/internal/jwcc"
)

// Load reads and checks a settings file. *ReadError reports that the file could
// not be read; *jwcc.Error lists the problems in it, each with line and key.
func Load(file string) (*Entry, error) {
	body, err := os.ReadFile(file)
	if err != nil {
		return nil, &ReadError{File: file, Err: err}
	}
	return Parse(file, body)
}

// Parse decodes and checks settings. Settings left out get their defaults. The
// file name appears in messages only; *jwcc.Error lists the problems.
func Parse(file string, body []byte) (*Entry, error) {
	e := Defaults()
	positions, err := jwcc.DecodeWithPositions(file, body, &e)
	if err != nil {
		return nil, err
	}
	e.HTTP.Advertise = advertiseAddr(e.HTTP)
	e.Peer.Advertise = advertiseAddr(e.Peer)
	if err := e.validate(positions); err != nil {
		return nil, err
	}
	return &e, nil
}

// advertiseAddr returns the advertised address. If it is left out, the listen
// address takes its place, provided that it has a specific IP.
func advertiseAddr(l Listen) string {
	addr, err := netip.ParseAddrPort(l.Listen)
	if l.Advertise == "" && err == nil && !addr.Addr().IsUnspecified() {
		return l.Listen
	}
	return l.Advertise
}
