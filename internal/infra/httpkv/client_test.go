package httpkv_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/infra"
	"github.com/arbutusgauge/arbutusgauge/internal/infra/httpkv"
	"github.com/arbutusgauge/arbutusgauge/internal/jwcc"
	standin "github.com/arbutusgauge/arbutusgauge/internal/standin/platform"
)

// startPlatform returns a stand-in platform and a client for it.
func startPlatform(t *testing.T, callTimeout time.Duration) (*standin.Server, *httpkv.Client) {
	t.Helper()
	server := standin.NewServer()
	listener := httptest.NewServer(server)
	t.Cleanup(listener.Close)
	client, err := httpkv.New(httpkv.Options{
		URL: listener.URL, CallTimeout: callTimeout, WatchWait: 50 * time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	return server, client
}

// Guards against an adapter that hides a write conflict, an absent key or a
// value above the size limit.
func TestCompareAndSwap(t *testing.T) {
	g := NewWithT(t)
	_, client := startPlatform(t, 10*time.Second)
	ctx := context.Background()

	entry, err := client.Get(ctx, "config/manifest")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(entry.Revision).To(BeZero())

	entry, err = client.CompareAndSwap(ctx, "config/manifest", 0, []byte("one"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(entry.Revision).To(Equal(uint64(1)))

	_, err = client.CompareAndSwap(ctx, "config/manifest", 0, []byte("two"))
	var conflict *infra.ConflictError
	g.Expect(errors.As(err, &conflict)).To(BeTrue())
	g.Expect(string(conflict.Current.Value)).To(Equal("one"))

	_, err = client.CompareAndSwap(ctx, "large", 0, make([]byte, 1<<20+1))
	var tooLarge *httpkv.TooLargeError
	g.Expect(errors.As(err, &tooLarge)).To(BeTrue())
}

// Guards against reporting a write whose reply was lost as applied or as not
// applied, and against sending it again.
func TestLostReplyIsUnavailableAndWrittenOnce(t *testing.T) {
	g := NewWithT(t)
	server, client := startPlatform(t, 10*time.Second)
	ctx := context.Background()
	_, err := client.Get(ctx, "k") // leaves an idle connection that the write can reuse
	g.Expect(err).NotTo(HaveOccurred())
	server.SetFaults(standin.Faults{LoseReplies: 1})

	_, err = client.CompareAndSwap(ctx, "k", 0, []byte("v"))
	var unavailable *infra.UnavailableError
	g.Expect(errors.As(err, &unavailable)).To(BeTrue())

	entry, err := client.Get(ctx, "k")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(entry).To(Equal(infra.Entry{Key: "k", Value: []byte("v"), Revision: 1}))
	g.Expect(server.Counters().Writes).To(Equal(uint64(1)))
}

// Guards against a stand-in that drops a slow write after the client timed out.
// A real platform may still apply it.
func TestSlowWriteTakesEffectAfterItsCallerGaveUp(t *testing.T) {
	g := NewWithT(t)
	server, client := startPlatform(t, 300*time.Millisecond)
	server.SetFaults(standin.Faults{Delay: jwcc.Duration(400 * time.Millisecond)})
	_, err := client.CompareAndSwap(context.Background(), "k", 0, []byte("v"))
	var unavailable *infra.UnavailableError
	g.Expect(errors.As(err, &unavailable)).To(BeTrue())
	server.SetFaults(standin.Faults{})
	g.Eventually(func() uint64 {
		entry, _ := client.Get(context.Background(), "k")
		return entry.Revision
	}, "2s").Should(Equal(uint64(1)))
}

// Guards against a watch that misses a change, returns before one, or hides that
// the platform is down.
func TestWatch(t *testing.T) {
	g := NewWithT(t)
	server, client := startPlatform(t, 10*time.Second)
	got := make(chan infra.Entry, 1)
	go func() {
		entry, _ := client.Watch(context.Background(), "k", 0)
		got <- entry
	}()
	g.Consistently(got, "150ms").ShouldNot(Receive())
	_, err := client.CompareAndSwap(context.Background(), "k", 0, []byte("v"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(got).Should(Receive(HaveField("Revision", uint64(1))))

	server.SetFaults(standin.Faults{Down: true})
	_, err = client.Watch(context.Background(), "k", 1)
	var unavailable *infra.UnavailableError
	g.Expect(errors.As(err, &unavailable)).To(BeTrue())
}

// Guards against a stand-in that shows a change of the host list before its lag
// has passed.
func TestHostListLags(t *testing.T) {
	g := NewWithT(t)
	server, client := startPlatform(t, 10*time.Second)
	row := infra.ListedHost{Addr: "10.0.0.1:7000", Role: infra.RoleEntry, DataCentre: "badin", State: infra.HostLive}
	server.SetFaults(standin.Faults{HostListLag: jwcc.Duration(200 * time.Millisecond)})
	server.SetHosts([]infra.ListedHost{row})

	hosts, err := client.Hosts(context.Background(), 0, 50*time.Millisecond)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(hosts.Hosts).To(BeEmpty())
	hosts, err = client.Hosts(context.Background(), 0, time.Second)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(hosts).To(Equal(infra.Hosts{Revision: 1, Hosts: []infra.ListedHost{row}}))
}

func TestOptionsAreChecked(t *testing.T) {
	g := NewWithT(t)
	_, err := httpkv.New(httpkv.Options{URL: "no address"})
	var option *httpkv.OptionError
	g.Expect(errors.As(err, &option)).To(BeTrue())
}
