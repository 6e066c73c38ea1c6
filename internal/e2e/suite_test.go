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
	// firstOffset keeps the ports of a run apart from those of the demo. Runs at
	// the same time use different offsets: each listens on the guard port of its
	// offset, which is baseGuardPort plus the offset.
	firstOffset   = 10000
	offsetStep    = 300
	offsetCount   = 6
	baseGuardPort = 16900
	startTimeout  = 30 * time.Second
	// inForceTimeout is the documented time within which an applied release note
	// is in force on all hosts.
	inForceTimeout = 4 * time.Second
	// drainWait is longer than balancerLag, as operators are told to set it, so
	// that the balancer notices a stopping host before it ends.
	drainWait   = 2 * time.Second
	balancerLag = time.Second
	// callTimeout is longer than a release note may take while the store is
	// down.
	callTimeout = 15 * time.Second
	rootDir     = "../.."
)

var (
	deployment *procs.Deployment
	caller     *procs.Caller
	logDir     string // logs of the programs, and metrics after a failed spec
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
	deployment, err = procs.Start(procs.Options{
		ProgramDir: bin, NoteTemplateFile: filepath.Join(rootDir, "examples/ganna/release-note.hujson"),
		SettingsTemplateFile: filepath.Join(rootDir, "examples/ganna/badin-1.hujson"),
		DataCentres:          []string{"badin", "thatta", "tando"}, HostsPerDataCentre: 3, WorkDir: logDir,
		PortOffset: reserveOffset(), Delay: 5 * time.Millisecond, DrainWait: drainWait,
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(deployment.Kill)
	caller = procs.NewCaller(callTimeout)
	Expect(deployment.WaitLive(startTimeout)).To(Succeed())
	applied := applyNote(deployment.Note)
	Expect(applied.Applied).To(BeTrue())
	Expect(deployment.WaitReady(inForceTimeout)).To(Succeed())
})

// reserveOffset returns a port offset that no other run uses and reserves it until
// the end of the suite.
func reserveOffset() int {
	for i := range offsetCount {
		offset := firstOffset + i*offsetStep
		guard, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(baseGuardPort+offset))
		if err == nil {
			DeferCleanup(guard.Close)
			return offset
		}
	}
	Fail("every port offset is in use")
	return 0
}

// A failed spec must not leave its faults behind for the next one.
var _ = AfterEach(func() {
	for _, host := range deployment.Hosts {
		_ = host.Signal(syscall.SIGCONT) // an ended host takes no signal
	}
	if CurrentSpecReport().Failed() {
		dumpMetrics()
	}
	setPlatformFaults(map[string]any{})
	for _, dataCentre := range []string{"badin", "thatta", "tando"} {
		setFaults(dataCentre, "all", map[string]any{})
	}
})

// dumpMetrics writes the metrics of every host that answers to the log directory,
// as evidence of a failed spec.
func dumpMetrics() {
	client := &http.Client{Timeout: time.Second}
	for _, host := range deployment.HostNames() {
		response, err := client.Get("http://" + deployment.HTTPAddr(host) + "/metrics")
		if err != nil {
			continue
		}
		body, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		_ = os.WriteFile(filepath.Join(logDir, host+".metrics"), body, 0o600)
	}
}

// noteReply is the reply to a release note. Status is the HTTP status.
type noteReply struct {
	Status      int    `json:"-"`
	Applied     bool   `json:"applied"`
	Version     uint64 `json:"version"`
	Code        string `json:"error"`
	WinningNote string `json:"winning_note"`
}

// applyNote sends a release note to the first host.
func applyNote(note any) noteReply { return applyNoteAt(deployment.HTTPAddr("badin-1"), note) }

// applyNoteAt sends a release note to the host at addr.
func applyNoteAt(addr string, note any) noteReply {
	var reply noteReply
	var err error
	reply.Status, err = caller.Post(context.Background(), addr, "/v1/operator/notes", note, &reply)
	Expect(err).NotTo(HaveOccurred())
	return reply
}

// configVersionAt returns the configuration version in force on a host, or 0 if it
// has none or does not answer.
func configVersionAt(host string) uint64 {
	var cfg struct {
		Version uint64 `json:"version"`
	}
	if caller.Get(context.Background(), deployment.HTTPAddr(host), "/v1/operator/config", &cfg) != nil {
		return 0
	}
	return cfg.Version
}

// searchRota runs the search "rota" on a host. It is repeatable, covers 20 shards
// and waits for coverage.
func searchRota(addr string) *procs.SearchReply {
	return caller.Search(context.Background(), addr, "mill-dispatch", "rota", procs.SearchRequest{})
}

// searchLoad sends searches through a balancer until it is stopped. The balancer
// notices changes of hosts balancerLag later.
type searchLoad struct {
	cancel  context.CancelFunc
	workers sync.WaitGroup
	mu      sync.Mutex
	replies []*procs.SearchReply
}

// startSearchLoad starts workers that each pause between their searches.
func startSearchLoad(workers int, pause time.Duration) *searchLoad {
	ctx, cancel := context.WithCancel(context.Background())
	l := &searchLoad{cancel: cancel}
	balancer := procs.NewBalancer(ctx, deployment, balancerLag)
	for range workers {
		l.workers.Go(func() {
			for ctx.Err() == nil {
				reply := searchRota(balancer.Pick())
				l.mu.Lock()
				l.replies = append(l.replies, reply)
				l.mu.Unlock()
				time.Sleep(pause)
			}
		})
	}
	return l
}

// stop ends the load and returns the replies of all searches.
func (l *searchLoad) stop() []*procs.SearchReply {
	l.cancel()
	l.workers.Wait()
	return l.replies
}

// setFaults replaces the faults of one backend server of a data centre, or of all if
// addr is "all".
func setFaults(dataCentre, addr string, faults any) {
	path := "/v1/replicas/" + addr + "/faults"
	Expect(caller.Put(context.Background(), deployment.BackendAdminAddr(dataCentre), path, faults)).To(Succeed())
}

// setPlatformFaults replaces the faults of the platform; an empty map ends them.
func setPlatformFaults(faults map[string]any) {
	Expect(caller.Put(context.Background(), deployment.PlatformAddr(), "/admin/faults", faults)).To(Succeed())
}
