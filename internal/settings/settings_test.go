package settings

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/arbutusgauge/arbutusgauge/internal/jwcc"
)

const validSettings = `{ // a host
  "host": "badin-1", "data_centre": "badin",
  "http": {"listen": "127.0.0.1:17101"},
  "peer": {"listen": "0.0.0.0:17201", "advertise": "127.0.0.1:17201"},
  "seeds": ["127.0.0.1:17201"],
  "platform": {"urls": ["http://127.0.0.1:17000"]},
  "delays": {"thatta": "4ms"},
}`

// Guards against defaults and advertised addresses that differ from the
// documented ones, and against a missing file without *ReadError.
func TestLoadFillsDefaults(t *testing.T) {
	g := gomega.NewWithT(t)
	file := filepath.Join(t.TempDir(), "entry.jwcc")
	g.Expect(os.WriteFile(file, []byte(validSettings), 0o600)).To(gomega.Succeed())
	e, err := Load(file)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect([]any{e.DrainWait.D(), e.HTTP.Advertise, e.Log.Level, e.Limits.RequestBytes}).
		To(gomega.Equal([]any{3 * time.Second, "127.0.0.1:17101", "info", int64(1 << 20)}))
	g.Expect([]time.Duration{e.Delay("badin").D(), e.Delay("thatta").D(), e.Delay("tando").D()}).
		To(gomega.Equal([]time.Duration{0, 4 * time.Millisecond, 5 * time.Millisecond}))

	var readErr *ReadError
	_, err = Load(file + "x")
	g.Expect(errors.As(err, &readErr)).To(gomega.BeTrue())
	g.Expect(errors.Is(err, os.ErrNotExist)).To(gomega.BeTrue())
}

// Guards against faulty settings that are accepted, and against messages without
// line, column, key or allowed values. Each case replaces a text in
// validSettings and lists the text, its replacement and the message.
func TestParseReportsEachFault(t *testing.T) {
	for _, c := range [][3]string{
		{`"badin-1"`, `"Badin 1"`, `f:2:11: host: "Badin 1" is not a name; allowed are 1 to 64 of a-z`},
		{`"127.0.0.1:17101"`, `"localhost:17101"`, `f:3:22: http.listen: found "localhost:17101"; allowed is IP:port`},
		{`, "advertise": "127.0.0.1:17201"`, ``, `f:4:11: peer.advertise: found ""; allowed is IP:port that other hosts can connect to`},
		{`"0.0.0.0:17201"`, `"127.0.0.1:17101"`, `peer.listen: found "127.0.0.1:17101", which http.listen uses; allowed is another port`},
		{`["127.0.0.1:17201"]`, `["127.0.0.1:0"]`, `f:5:13: seeds[0]: found "127.0.0.1:0"; allowed is the IP:port`},
		{`["127.0.0.1:17201"]`, `["127.0.0.1:1", "127.0.0.1:1"]`, `seeds[1]: found 127.0.0.1:1 twice`},
		{`["http://127.0.0.1:17000"]`, `[]`, `platform.urls: found no URL; allowed is at least one`},
		{`"http://127.0.0.1:17000"`, `"http://store:1"`, `platform.urls[0]: found "http://store:1"; allowed is http://IP:port`},
		{`{"thatta": "4ms"}`, `{"badin": "4ms"}`, `delays.badin: "badin" is this host's own data centre`},
		{`{"thatta": "4ms"}`, `{"thatta": "-4ms"}`, `delays.thatta: found -4ms; allowed is 0s to 10s`},
		{`"seeds"`, `"drain_wait": "6m", "seeds"`, `drain_wait: found 6m0s; allowed is 0s to 5m0s`},
		{`"seeds"`, `"drain_wait": 3, "seeds"`, `drain_wait: "3" is not a duration; allowed is a quoted number with a unit`},
		{`"seeds"`, `"log": {"level": "loud"}, "seeds"`, `log.level: found "loud"; allowed are debug, info, warn, error`},
		{`"seeds"`, `"limits": {"open_requests": 0}, "seeds"`, `limits.open_requests: found 0; allowed is 1 to 1000000`},
		{`"seeds"`, `"sedes"`, `f:5:3: sedes: unknown key; allowed are host, data_centre, http, peer, seeds,`},
	} {
		t.Run(c[1], func(t *testing.T) {
			body := strings.Replace(validSettings, c[0], c[1], 1)
			_, err := Parse("f", []byte(body))
			var problems *jwcc.Error
			if !errors.As(err, &problems) {
				t.Fatalf("got %v, want *jwcc.Error", err)
			}
			gomega.NewWithT(t).Expect(err.Error()).To(gomega.ContainSubstring(c[2]))
		})
	}
}

// Guards against a setting that docs/settings.md does not describe.
func TestEverySettingIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/settings.md")
	if err != nil {
		t.Fatal(err)
	}
	var check func(prefix string, t reflect.Type) []string
	check = func(prefix string, t reflect.Type) []string {
		var missing []string
		for i := range t.NumField() {
			key := prefix + t.Field(i).Tag.Get("json")
			if t.Field(i).Type.Kind() == reflect.Struct {
				missing = append(missing, check(key+".", t.Field(i).Type)...)
			} else if !strings.Contains(string(page), "\n| `"+key+"` |") {
				missing = append(missing, key)
			}
		}
		return missing
	}
	gomega.NewWithT(t).Expect(check("", reflect.TypeFor[Entry]())).To(gomega.BeEmpty())
}
