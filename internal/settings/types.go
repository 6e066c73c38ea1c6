// Package settings holds the settings of an entry host's process: strict JSON
// with comments, read once at the start.
package settings

import "github.com/arbutusgauge/arbutusgauge/internal/jwcc"

// Entry holds the settings of the daemon of an entry host.
type Entry struct {
	Host       string `json:"host"`        // name of this host, unique in the fleet
	DataCentre string `json:"data_centre"` // data centre of this host
	HTTP       Listen `json:"http"`        // callers and operators
	Peer       Listen `json:"peer"`        // other entry hosts
	// Seeds are peer addresses of hosts for the first contact. The address of
	// this host may be among them, so that all hosts can share one list.
	Seeds    []string `json:"seeds"`
	Platform Platform `json:"platform"`
	// DrainWait is how long a stopping host goes on serving after its
	// readiness check fails.
	DrainWait jwcc.Duration `json:"drain_wait"`
	// Delays are the one-way delays to the other data centres. A data centre
	// without an entry is taken to be DefaultDelay away.
	Delays       map[string]jwcc.Duration `json:"delays"`
	DefaultDelay jwcc.Duration            `json:"default_delay"`
	Log          Log                      `json:"log"`
	Limits       Limits                   `json:"limits"`
}

// Listen is an address of this host, as "IP:port".
type Listen struct {
	Listen string `json:"listen"` // bound address; may be unspecified, such as 0.0.0.0
	// Advertise is the address that others use. It is Listen when left out.
	Advertise string `json:"advertise"`
}

// Platform says where the platform's services are.
type Platform struct {
	URLs    []string      `json:"urls"`    // base URLs by IP address, tried in order
	Timeout jwcc.Duration `json:"timeout"` // of one call, except a watch
}

// Log holds the settings of the process's log.
type Log struct {
	Level string `json:"level"` // debug, info, warn or error
}

// Limits bound what callers can make the process hold.
type Limits struct {
	RequestBytes  int64         `json:"request_bytes"`  // body of a search or ticket call
	NoteBytes     int64         `json:"note_bytes"`     // body of a release note
	HeaderBytes   int           `json:"header_bytes"`   // header of an HTTP request
	HeaderTimeout jwcc.Duration `json:"header_timeout"` // to read an HTTP header
	IdleTimeout   jwcc.Duration `json:"idle_timeout"`   // of an HTTP connection between requests
	OpenRequests  int           `json:"open_requests"`  // HTTP requests at a time
}

// Delay returns the one-way delay to a data centre: 0 to the host's own.
func (e *Entry) Delay(dataCentre string) jwcc.Duration {
	if dataCentre == e.DataCentre {
		return 0
	}
	if delay, ok := e.Delays[dataCentre]; ok {
		return delay
	}
	return e.DefaultDelay
}
