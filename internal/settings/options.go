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
	maxOneWayDelay     = 10 * time.Second
	minHTTPTimeout     = 100 * time.Millisecond
	maxHTTPTimeout     = time.Hour
	maxRequestBytes    = 64 * mebibyte
	// maxNoteBytes bounds limits.note_bytes. A note that names 69,720 replicas
	// in indented form has 8.3 MB.
	maxNoteBytes    = 256 * mebibyte
	maxHeaderBytes  = mebibyte
	maxOpenRequests = 1_000_000
)

var logLevels = []string{"debug", "info", "warn", "error"}

// Defaults returns the default values of the settings that a file may leave out.
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

// Validate checks every setting. *jwcc.Error lists the problems by key, without
// file and line.
func (e *Entry) Validate() error { return e.validate(nil) }

// validate checks every setting; positions, which may be nil, adds file and line
// to the problems.
func (e *Entry) validate(positions *jwcc.KeyPositions) error {
	v := validator{positions: positions}
	v.checkName("host", e.Host)
	v.checkName("data_centre", e.DataCentre)
	v.checkListen("http", e.HTTP)
	v.checkListen("peer", e.Peer)
	v.check(e.HTTP.Listen != e.Peer.Listen || e.HTTP.Listen == "", "peer.listen",
		"found %q, which http.listen uses; allowed is another port", e.Peer.Listen)
	v.checkSeeds(e.Seeds)
	v.checkPlatform(e.Platform)
	v.checkDuration("drain_wait", e.DrainWait, 0, maxDrainWait)
	v.checkDelays(e)
	v.check(slices.Contains(logLevels, e.Log.Level), "log.level", "found %q; allowed are %s", e.Log.Level, strings.Join(logLevels, ", "))
	v.checkLimits(e.Limits)
	if len(v.problems) > 0 {
		return &jwcc.Error{Problems: v.problems}
	}
	return nil
}

// validator collects the problems of the settings.
type validator struct {
	positions *jwcc.KeyPositions // nil: problems have no file and line
	problems  []jwcc.Problem
}

// check adds a problem at the key unless ok is true.
func (v *validator) check(ok bool, key, format string, args ...any) {
	if !ok {
		v.problems = append(v.problems, v.positions.ProblemAt(key, fmt.Sprintf(format, args...)))
	}
}

func (v *validator) checkName(key, name string) {
	v.check(jwcc.IsValidName(name), key, "%q is not a name; allowed are %s", name, jwcc.NameRule)
}

func (v *validator) checkDuration(key string, d jwcc.Duration, least, most time.Duration) {
	v.check(d.D() >= least && d.D() <= most, key, "found %s; allowed is %s to %s", d.D(), least, most)
}

func (v *validator) checkNumber(key string, n, least, most int64) {
	v.check(n >= least && n <= most, key, "found %d; allowed is %d to %d", n, least, most)
}

// isAddress reports whether text is an "IP:port" with a port other than 0. Other
// hosts can't connect to an unspecified IP, such as 0.0.0.0; it is allowed only
// with allowUnspecified, for an address to listen on.
func isAddress(text string, allowUnspecified bool) bool {
	addr, err := netip.ParseAddrPort(text)
	return err == nil && addr.Port() != 0 && (allowUnspecified || !addr.Addr().IsUnspecified())
}

func (v *validator) checkListen(key string, l Listen) {
	if !isAddress(l.Listen, true) {
		v.check(false, key+".listen", "found %q; allowed is IP:port, such as \"127.0.0.1:17101\"", l.Listen)
		return
	}
	v.check(isAddress(l.Advertise, false), key+".advertise",
		"found %q; allowed is IP:port that other hosts can connect to; it is needed when listen has no specific IP", l.Advertise)
}

func (v *validator) checkSeeds(seeds []string) {
	for i, seed := range seeds {
		key := "seeds[" + strconv.Itoa(i) + "]"
		v.check(isAddress(seed, false), key, "found %q; allowed is the IP:port of a host's peer address", seed)
		v.check(slices.Index(seeds, seed) == i, key, "found %s twice; allowed is each address once", seed)
	}
}

func (v *validator) checkPlatform(p Platform) {
	v.check(len(p.URLs) > 0, "platform.urls", "found no URL; allowed is at least one")
	for i, text := range p.URLs {
		u, err := url.Parse(text)
		ok := err == nil && (u.Scheme == "http" || u.Scheme == "https") && isAddress(u.Host, false) &&
			(u.Path == "" || u.Path == "/") && u.RawQuery == "" && u.Fragment == "" && u.User == nil
		v.check(ok, "platform.urls["+strconv.Itoa(i)+"]", "found %q; allowed is http://IP:port or https://IP:port", text)
	}
	v.checkDuration("platform.timeout", p.Timeout, minPlatformTimeout, maxPlatformTimeout)
}

func (v *validator) checkDelays(e *Entry) {
	for _, dataCentre := range slices.Sorted(maps.Keys(e.Delays)) {
		key := "delays." + dataCentre
		v.checkName(key, dataCentre)
		v.check(dataCentre != e.DataCentre, key, "%q is this host's own data centre; allowed are the others", dataCentre)
		v.checkDuration(key, e.Delays[dataCentre], 0, maxOneWayDelay)
	}
	v.checkDuration("default_delay", e.DefaultDelay, 0, maxOneWayDelay)
}

func (v *validator) checkLimits(l Limits) {
	v.checkNumber("limits.request_bytes", l.RequestBytes, kibibyte, maxRequestBytes)
	v.checkNumber("limits.note_bytes", l.NoteBytes, kibibyte, maxNoteBytes)
	v.checkNumber("limits.header_bytes", int64(l.HeaderBytes), kibibyte, maxHeaderBytes)
	v.checkDuration("limits.header_timeout", l.HeaderTimeout, minHTTPTimeout, maxHTTPTimeout)
	v.checkDuration("limits.idle_timeout", l.IdleTimeout, minHTTPTimeout, maxHTTPTimeout)
	v.checkNumber("limits.open_requests", int64(l.OpenRequests), 1, maxOpenRequests)
}
