package httpjson

import "time"

const (
	defaultDialTimeout = time.Second
	// defaultMaxResponse leaves room for a batch of 64 replies of 256 KB.
	defaultMaxResponse = 16 << 20 // bytes
)

// Options configure a Dialer.
type Options struct {
	// DialTimeout bounds the opening of a connection; default 1 s.
	DialTimeout time.Duration
	// MaxResponse bounds one response with its headers, in bytes; default 16 MB.
	MaxResponse int64
}

func (o Options) withDefaults() Options {
	if o.DialTimeout == 0 {
		o.DialTimeout = defaultDialTimeout
	}
	if o.MaxResponse == 0 {
		o.MaxResponse = defaultMaxResponse
	}
	return o
}

// Validate returns *OptionsError when an option is out of range.
func (o Options) Validate() error {
	if o.DialTimeout < 0 {
		return &OptionsError{Option: "DialTimeout", Allowed: "positive"}
	}
	if o.MaxResponse < 0 {
		return &OptionsError{Option: "MaxResponse", Allowed: "positive"}
	}
	return nil
}
