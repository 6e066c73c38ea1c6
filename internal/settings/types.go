// Package settings reads and checks the settings of an entry host's process. The
// file is strict JSON with comments and trailing commas, read once at the start.
package settings

import "github.com/arbutusgauge/arbutusgauge/internal/jwcc"

// Entry holds the settings of an entry host.
type Entry struct {
	Host       string `json:"host"`        // name of this host, unique in the fleet
	DataCentre string `json:"data_centre"` // data centre of this host
	HTTP       Listen `json:"http"`        // address for callers and operators
	Peer       Listen `json:"peer"`        // address for other entry hosts
	// Seeds are the peer addresses of the hosts that this host contacts first
	// to join the fleet. They may include its own address, so that all hosts
	// can share one list.
	Seeds    []string `json:"seeds"`
	Platform Platform `json:"platform"`
	// DrainWait is how long a stopping host goes on accepting requests after
	// its readiness check begins to fail.
	DrainWait jwcc.Duration `json:"drain_wait"`
	// Delays are the one-way network delays to the other data centres, by name.
	// DefaultDelay applies to a data centre without an entry.
	Delays       map[string]jwcc.Duration `json:"delays"`
	DefaultDelay jwcc.Duration            `json:"default_delay"`
	Log          Log                      `json:"log"`
	Limits       Limits                   `json:"limits"`
}

// Listen holds the addresses of one interface of this host, as "IP:port".
type Listen struct {
	Listen string `json:"listen"` // bound address; may be unspecified, such as 0.0.0.0
	// Advertise is the address that others connect to. The default is Listen,
	// if that has a specific IP.
	Advertise string `json:"advertise"`
}

// Platform holds the settings for calls to the platform's services.
type Platform struct {
	URLs    []string      `json:"urls"`    // base URLs by IP address, tried in order
	Timeout jwcc.Duration `json:"timeout"` // of one call other than a watch
}

// Log holds the settings of the process's log.
type Log struct {
	Level string `json:"level"` // debug, info, warn or error
}

// Limits bounds the memory and connections that callers can make the process
// hold. Sizes are in bytes.
type Limits struct {
	RequestBytes  int64         `json:"request_bytes"`  // body of a search or ticket call
	NoteBytes     int64         `json:"note_bytes"`     // body of a release note
	HeaderBytes   int           `json:"header_bytes"`   // header of an HTTP request
	HeaderTimeout jwcc.Duration `json:"header_timeout"` // to read an HTTP header
	IdleTimeout   jwcc.Duration `json:"idle_timeout"`   // of an HTTP connection between requests
	OpenRequests  int           `json:"open_requests"`  // open HTTP requests above which searches are refused
}

// Delay returns the one-way network delay to a data centre. It is 0 for the
// host's own data centre.
func (e *Entry) Delay(dataCentre string) jwcc.Duration {
	if dataCentre == e.DataCentre {
		return 0
	}
	if delay, ok := e.Delays[dataCentre]; ok {
		return delay
	}
	return e.DefaultDelay
}
