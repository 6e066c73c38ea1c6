package entry

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/arbutusgauge/arbutusgauge/internal/jwcc"
	"github.com/arbutusgauge/arbutusgauge/internal/settings"
)

// metricScopes names the packages whose metrics go to the scope of their name.
var metricScopes = []string{"admit", "aggregate", "catalog", "front", "gateway", "member", "owner", "peer", "rollout", "route", "scatter", "store"}

var (
	instrument    = regexp.MustCompile(`(?:\.(?:Counter|Gauge|Timer|Histogram)|\bcounter)\(([^,)]*)`)
	metricName    = regexp.MustCompile(`^"([a-z_]+)"$`)
	documentedRow = regexp.MustCompile("(?m)^\\| `([a-z_]+\\.[a-z_]+)` \\|")
	metricLine    = regexp.MustCompile(`(?m)^([a-z_.]+)\{`)
)

// sourceMetrics returns the metrics that the sources name, with their scope.
// Every metric must have a literal name, so that none escapes this search.
func sourceMetrics(t *testing.T) []string {
	t.Helper()
	files, err := filepath.Glob("../*/*.go")
	if err != nil {
		t.Fatal(err)
	}
	adapter, err := filepath.Glob("../../platform/*.go")
	if err != nil {
		t.Fatal(err)
	}
	var found []string
	for _, file := range append(files, adapter...) {
		scope := filepath.Base(filepath.Dir(file))
		if scope == "platform" {
			// Its metrics are those of the client of the store.
			scope = "store"
		}
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		body, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for _, call := range instrument.FindAllStringSubmatch(string(body), -1) {
			name := metricName.FindStringSubmatch(call[1])
			if name == nil {
				t.Errorf("%s: the name of metric %s is not a literal", file, call[1])
				continue
			}
			if !slices.Contains(metricScopes, scope) {
				t.Errorf("%s: metric %s is in a package without a scope of its own", file, name[1])
			}
			found = append(found, scope+"."+name[1])
		}
	}
	slices.Sort(found)
	return slices.Compact(found)
}

func documentedMetrics(t *testing.T) []string {
	t.Helper()
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, row := range documentedRow.FindAllStringSubmatch(string(page), -1) {
		names = append(names, row[1])
	}
	slices.Sort(names)
	return names
}

// Guards against a metric that docs/OPERATIONS.md lacks, lists twice or still
// lists after it is gone.
func TestEveryMetricIsDocumented(t *testing.T) {
	g := NewWithT(t)
	g.Expect(documentedMetrics(t)).To(Equal(sourceMetrics(t)))
}

// Guards against a running host whose metrics have other names than the ones
// in docs/OPERATIONS.md, such as a scope that is entered twice.
func TestMetricsOfARunningHostAreDocumented(t *testing.T) {
	g := NewWithT(t)
	addr, peer := freeAddr(t), freeAddr(t)
	entry := settings.Defaults()
	entry.Host, entry.DataCentre = "badin-1", "badin"
	entry.HTTP = settings.Listen{Listen: addr, Advertise: addr}
	entry.Peer = settings.Listen{Listen: peer, Advertise: peer}
	entry.Platform.URLs = []string{"http://" + freeAddr(t)}
	entry.DrainWait = jwcc.Duration(10 * time.Millisecond)
	startHost(t, newNetwork(), &entry)
	get(g, http.MethodPost, fmt.Sprintf("http://%s/v1/services/s/searches/x", addr), "{}")

	documented := documentedMetrics(t)
	var seen []string
	read := func() []string {
		seen = nil
		body := get(g, http.MethodGet, "http://"+addr+"/metrics", "")
		for _, line := range metricLine.FindAllStringSubmatch(body, -1) {
			seen = append(seen, line[1])
		}
		return seen
	}
	g.Eventually(read, 5*metricsInterval, "100ms").Should(ContainElements("front.requests", "front.request_latency", "rollout.watch_failed"))
	for _, name := range seen {
		g.Expect(documented).To(ContainElement(name))
	}
}

func get(g Gomega, method, url, body string) string {
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	g.Expect(err).NotTo(HaveOccurred())
	response, err := http.DefaultClient.Do(request)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	g.Expect(err).NotTo(HaveOccurred())
	return string(text)
}
