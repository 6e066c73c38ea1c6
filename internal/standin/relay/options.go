package relay

import (
	"net"

	"github.com/arbutusgauge/arbutusgauge/internal/jwcc"
)

// Options configure one relay.
type Options struct {
	// Listen is the "ip:port" to listen on; port 0 takes a free port.
	Listen string `json:"listen"`
	// Target is the "ip:port" that connections are passed on to.
	Target string `json:"target"`
	// Seed seeds the random numbers for the jitter.
	Seed uint64 `json:"seed"`
	// Link is the link's condition at the start.
	Link Link `json:"link"`
}

// Link is the condition of the network link that the relay simulates. It applies
// to both directions and to all connections.
type Link struct {
	// Delay is added in each direction to all data, and once to opening a
	// connection.
	Delay jwcc.Duration `json:"delay"`
	// Jitter bounds the random time that is added to Delay. Data stays in order.
	Jitter jwcc.Duration `json:"jitter"`
	// Cut holds all data back and leaves connections open. New connections are
	// accepted but not connected to the target yet, so they get no answer. When
	// the cut ends, the data is passed on, as TCP would resend it.
	Cut bool `json:"cut"`
	// Refuse closes the listening socket, so that new connections are refused;
	// open ones stay.
	Refuse bool `json:"refuse"`
}

// Validate returns *OptionsError if an option is outside its allowed range.
func (o Options) Validate() error {
	for option, addr := range map[string]string{"listen": o.Listen, "target": o.Target} {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return &OptionsError{Option: option, Allowed: "\"ip:port\""}
		}
	}
	return o.Link.Validate()
}

// Validate returns *OptionsError if Delay or Jitter is negative.
func (l Link) Validate() error {
	if l.Delay < 0 || l.Jitter < 0 {
		return &OptionsError{Option: "delay and jitter", Allowed: "positive"}
	}
	return nil
}
