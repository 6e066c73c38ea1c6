package e2e

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/arbutusgauge/arbutusgauge/internal/procs"
)

const (
	// Port offsets lie clear of the demo's ports. Runs at the same time take
	// different ones: each holds the guard port of its offset.
	firstOffset = 10000
	offsetStep  = 300
	offsets     = 6
	guardPort   = 16900
	startLimit  = 30 * time.Second
	// forceLimit is the stated bound for a configuration to be in force.
	forceLimit = 4 * time.Second
	// drainWait is longer than balancerLag, as operators are told to set it.
	drainWait   = 2 * time.Second
	balancerLag = time.Second
	// callLimit is longer than a note may take while the store is down.
	callLimit = 15 * time.Second
	rootDir   = "../.."
)

var (
	fleet  *procs.Deployment
	caller *procs.Caller
	logDir string
)

func TestE2E(t *testing.T) {
	RegisterFailHandler(Fail)
	suite, reporter := GinkgoConfiguration()
	suite.RandomSeed = 1 // the same order in every run
	RunSpecs(t, "real processes under failure", suite, reporter)
}

var _ = BeforeSuite(func() {
	bin := GinkgoT().TempDir()
	build := exec.Command("go", "build", "-o", bin, "./cmd/...")
	build.Dir = rootDir
	out, err := build.CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(out))
	logDir = os.Getenv("E2E_LOGS")
	if logDir == "" {
		logDir = GinkgoT().TempDir()
	}
	fleet, err = procs.Start(procs.Options{
		Programs: bin, Note: filepath.Join(rootDir, "examples/ganna/release-note.hujson"),
		Settings:    filepath.Join(rootDir, "examples/ganna/badin-1.hujson"),
		DataCentres: []string{"badin", "thatta", "tando"}, HostsPer: 3, Dir: logDir,
		PortOffset: freeOffset(), Delay: 5 * time.Millisecond, DrainWait: drainWait,
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(fleet.Kill)
	caller = procs.NewCaller(callLimit)
	Expect(fleet.WaitLive(startLimit)).To(Succeed())
	applied := applyNote(fleet.Note)
	Expect(applied.Applied).To(BeTrue())
	Expect(fleet.WaitReady(forceLimit)).To(Succeed())
})

// freeOffset returns a port offset that no other run holds.
func freeOffset() int {
	for i := range offsets {
		offset := firstOffset + i*offsetStep
		guard, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(guardPort+offset))
		if err == nil {
			DeferCleanup(guard.Close)
			return offset
		}
	}
	Fail("every port offset is in use")
	return 0
}

// One failed spec must not leave its faults to the next one.
var _ = AfterEach(func() {
	for _, host := range fleet.Hosts {
		_ = host.Signal(syscall.SIGCONT) // a host that has ended can't be woken
	}
	if CurrentSpecReport().Failed() {
		dumpMetrics()
	}
	setPlatform(map[string]any{})
	for _, dataCentre := range []string{"badin", "thatta", "tando"} {
		setFaults(dataCentre, "all", map[string]any{})
	}
})

// dumpMetrics writes the metrics of every host to the log directory, so that a
// failed run can be explained.
func dumpMetrics() {
	client := &http.Client{Timeout: time.Second}
	for _, host := range fleet.HostNames() {
		response, err := client.Get("http://" + fleet.HTTPAddr(host) + "/metrics")
		if err != nil {
			continue
		}
		body, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		_ = os.WriteFile(filepath.Join(logDir, host+".metrics"), body, 0o600)
	}
}

// noteReply is the reply to a release note.
type noteReply struct {
	Status      int    `json:"-"`
	Applied     bool   `json:"applied"`
	Version     uint64 `json:"version"`
	Code        string `json:"error"`
	WinningNote string `json:"winning_note"`
}

func applyNote(note any) noteReply { return applyNoteAt(fleet.HTTPAddr("badin-1"), note) }

func applyNoteAt(addr string, note any) noteReply {
	var reply noteReply
	var err error
	reply.Status, err = caller.Post(context.Background(), addr, "/v1/operator/notes", note, &reply)
	Expect(err).NotTo(HaveOccurred())
	return reply
}

// versionAt returns the version in force on a host, 0 when it has none or
// doesn't answer.
func versionAt(host string) uint64 {
	var cfg struct {
		Version uint64 `json:"version"`
	}
	if caller.Get(context.Background(), fleet.HTTPAddr(host), "/v1/operator/config", &cfg) != nil {
		return 0
	}
	return cfg.Version
}

// rota is a repeatable search of 20 shards that waits for coverage.
func rota(addr string) *procs.SearchReply {
	return caller.Search(context.Background(), addr, "mill-dispatch", "rota", procs.SearchRequest{})
}

// load sends searches through a balancer that lags until stopped.
type load struct {
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	mu      sync.Mutex
	replies []*procs.SearchReply
}

func startLoad(workers int, pause time.Duration) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{cancel: cancel}
	balancer := procs.NewBalancer(ctx, fleet, balancerLag)
	for range workers {
		l.wg.Go(func() {
			for ctx.Err() == nil {
				reply := rota(balancer.Pick())
				l.mu.Lock()
				l.replies = append(l.replies, reply)
				l.mu.Unlock()
				time.Sleep(pause)
			}
		})
	}
	return l
}

func (l *load) stop() []*procs.SearchReply {
	l.cancel()
	l.wg.Wait()
	return l.replies
}

// setFaults sets faults on the backend servers of a data centre; addr may be
// "all".
func setFaults(dataCentre, addr string, faults any) {
	path := "/v1/replicas/" + addr + "/faults"
	Expect(caller.Put(context.Background(), fleet.BackendAdmin(dataCentre), path, faults)).To(Succeed())
}

func setPlatform(faults map[string]any) {
	Expect(caller.Put(context.Background(), fleet.PlatformAddr(), "/admin/faults", faults)).To(Succeed())
}
