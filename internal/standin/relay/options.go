package relay

import (
	"net"

	"github.com/arbutusgauge/arbutusgauge/internal/jwcc"
)

// Options describe one relay.
type Options struct {
	// Listen is "ip:port"; port 0 takes a free one.
	Listen string `json:"listen"`
	// Target is the "ip:port" that connections are passed on to.
	Target string `json:"target"`
	// Seed fixes the jitter.
	Seed uint64 `json:"seed"`
	Link Link   `json:"link"`
}

// Link is the condition of the line, in both directions.
type Link struct {
	// Delay is added one way to every piece of data and to a new connection.
	Delay jwcc.Duration `json:"delay"`
	// Jitter is the largest random addition to Delay. Data stays in order.
	Jitter jwcc.Duration `json:"jitter"`
	// Cut loses all data and leaves connections open; new connections get no
	// answer. The data is passed on when the cut ends, as TCP resends it.
	Cut bool `json:"cut"`
	// Refuse closes the listening socket.
	Refuse bool `json:"refuse"`
}

// Validate returns *OptionsError for the first option out of range.
func (o Options) Validate() error {
	for name, addr := range map[string]string{"listen": o.Listen, "target": o.Target} {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return &OptionsError{Option: name, Allowed: "\"ip:port\""}
		}
	}
	return o.Link.Validate()
}

// Validate returns *OptionsError for the first value out of range.
func (l Link) Validate() error {
	if l.Delay < 0 || l.Jitter < 0 {
		return &OptionsError{Option: "delay and jitter", Allowed: "positive"}
	}
	return nil
}
