package settings

import (
	"fmt"
	"maps"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/jwcc"
)

const (
	kibibyte = 1 << 10
	mebibyte = 1 << 20

	minPlatformTimeout = 10 * time.Millisecond
	maxPlatformTimeout = time.Minute
	maxDrainWait       = 5 * time.Minute
	maxDelay           = 10 * time.Second
	minHTTPTimeout     = 100 * time.Millisecond
	maxHTTPTimeout     = time.Hour
	maxRequestBytes    = 64 * mebibyte
	// maxNoteBytes bounds a note; one that names 69,720 replicas in indented
	// form has 8.3 MB.
	maxNoteBytes    = 256 * mebibyte
	maxHeaderBytes  = mebibyte
	maxOpenRequests = 1_000_000
)

var logLevels = []string{"debug", "info", "warn", "error"}

// Defaults returns the settings that a file may leave out.
func Defaults() Entry {
	return Entry{
		Platform:     Platform{Timeout: jwcc.Duration(2 * time.Second)},
		DrainWait:    jwcc.Duration(3 * time.Second),
		DefaultDelay: jwcc.Duration(5 * time.Millisecond),
		Log:          Log{Level: "info"},
		Limits: Limits{
			RequestBytes:  mebibyte,
			NoteBytes:     32 * mebibyte,
			HeaderBytes:   16 * kibibyte,
			HeaderTimeout: jwcc.Duration(5 * time.Second),
			IdleTimeout:   jwcc.Duration(90 * time.Second),
			OpenRequests:  20_000,
		},
	}
}

// Validate checks every setting; *jwcc.Error lists the problems by key.
func (e *Entry) Validate() error { return e.validate(nil) }

func (e *Entry) validate(source *jwcc.Source) error {
	v := validator{source: source}
	v.name("host", e.Host)
	v.name("data_centre", e.DataCentre)
	v.listen("http", e.HTTP)
	v.listen("peer", e.Peer)
	v.requires(e.HTTP.Listen != e.Peer.Listen || e.HTTP.Listen == "", "peer.listen",
		"found %q, which http.listen uses; allowed is another port", e.Peer.Listen)
	v.seeds(e.Seeds)
	v.platform(e.Platform)
	v.duration("drain_wait", e.DrainWait, 0, maxDrainWait)
	v.delays(e)
	v.requires(slices.Contains(logLevels, e.Log.Level), "log.level", "found %q; allowed are %s", e.Log.Level, strings.Join(logLevels, ", "))
	v.limits(e.Limits)
	if len(v.problems) > 0 {
		return &jwcc.Error{Problems: v.problems}
	}
	return nil
}

type validator struct {
	source   *jwcc.Source
	problems []jwcc.Problem
}

// requires reports a problem at the key unless the condition holds.
func (v *validator) requires(holds bool, key, format string, args ...any) {
	if !holds {
		v.problems = append(v.problems, v.source.Problem(key, fmt.Sprintf(format, args...)))
	}
}

func (v *validator) name(key, name string) {
	v.requires(jwcc.IsName(name), key, "%q is not a name; allowed are %s", name, jwcc.NameForm)
}

func (v *validator) duration(key string, d jwcc.Duration, least, most time.Duration) {
	v.requires(d.D() >= least && d.D() <= most, key, "found %s; allowed is %s to %s", d.D(), least, most)
}

func (v *validator) number(key string, n, least, most int64) {
	v.requires(n >= least && n <= most, key, "found %d; allowed is %d to %d", n, least, most)
}

// address reports whether text is "IP:port" that others can connect to. An
// unspecified IP, such as 0.0.0.0, is only valid to listen on.
func address(text string, unspecified bool) bool {
	addr, err := netip.ParseAddrPort(text)
	return err == nil && addr.Port() != 0 && (unspecified || !addr.Addr().IsUnspecified())
}

func (v *validator) listen(key string, l Listen) {
	if !address(l.Listen, true) {
		v.requires(false, key+".listen", "found %q; allowed is IP:port, such as \"127.0.0.1:17101\"", l.Listen)
		return
	}
	v.requires(address(l.Advertise, false), key+".advertise",
		"found %q; allowed is IP:port that other hosts can connect to; it is needed when listen has no specific IP", l.Advertise)
}

func (v *validator) seeds(seeds []string) {
	for i, seed := range seeds {
		key := "seeds[" + strconv.Itoa(i) + "]"
		v.requires(address(seed, false), key, "found %q; allowed is the IP:port of a host's peer address", seed)
		v.requires(slices.Index(seeds, seed) == i, key, "found %s twice; allowed is each address once", seed)
	}
}

func (v *validator) platform(p Platform) {
	v.requires(len(p.URLs) > 0, "platform.urls", "found no URL; allowed is at least one")
	for i, text := range p.URLs {
		u, err := url.Parse(text)
		ok := err == nil && (u.Scheme == "http" || u.Scheme == "https") && address(u.Host, false) &&
			(u.Path == "" || u.Path == "/") && u.RawQuery == "" && u.Fragment == "" && u.User == nil
		v.requires(ok, "platform.urls["+strconv.Itoa(i)+"]", "found %q; allowed is http://IP:port or https://IP:port", text)
	}
	v.duration("platform.timeout", p.Timeout, minPlatformTimeout, maxPlatformTimeout)
}

func (v *validator) delays(e *Entry) {
	for _, dataCentre := range slices.Sorted(maps.Keys(e.Delays)) {
		key := "delays." + dataCentre
		v.name(key, dataCentre)
		v.requires(dataCentre != e.DataCentre, key, "%q is this host's own data centre; allowed are the others", dataCentre)
		v.duration(key, e.Delays[dataCentre], 0, maxDelay)
	}
	v.duration("default_delay", e.DefaultDelay, 0, maxDelay)
}

func (v *validator) limits(l Limits) {
	v.number("limits.request_bytes", l.RequestBytes, kibibyte, maxRequestBytes)
	v.number("limits.note_bytes", l.NoteBytes, kibibyte, maxNoteBytes)
	v.number("limits.header_bytes", int64(l.HeaderBytes), kibibyte, maxHeaderBytes)
	v.duration("limits.header_timeout", l.HeaderTimeout, minHTTPTimeout, maxHTTPTimeout)
	v.duration("limits.idle_timeout", l.IdleTimeout, minHTTPTimeout, maxHTTPTimeout)
	v.number("limits.open_requests", int64(l.OpenRequests), 1, maxOpenRequests)
}
