package review

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Host is one entry host: its settings and its process.
type Host struct {
	Name, Zone, IP string
	StoreGate      *Gate // passes its connections to the store on
	dir            string
	mu             sync.Mutex
	cmd            *exec.Cmd
	exited         chan struct{}
}

// Ports of the entry hosts, each of which has a loopback address of its own.
const (
	frontPort   = "8104"
	readyPort   = "8108"
	controlPort = "8106"
)

// settingsText is the settings file of a host, as the users' pages show it.
const settingsText = `node = %q
role = "entry"
machine_class = "front"
serves = ["front","control"]
ip = %q
zone = %q
region = "ooe-region"
internal_port_range = [7380,7395]
seeds = [%s]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
[listen_addrs]
front = %q
ready = %q
control = %q
[limits]
cpu_share = 0.4
cores = 1
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
[bounds]
drain_ms = 3000
grace_s = 6
stable_window_ms = 4000
config_apply_ms = 3000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 58
[platform]
address = %q
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
`

// NewHost writes the settings of a host.
func NewHost(dir, name, zone, ip, store string, seeds string) (*Host, error) {
	h := &Host{Name: name, Zone: zone, IP: ip, dir: dir}
	text := fmt.Sprintf(settingsText, name, ip, zone, seeds, ip+":"+frontPort, ip+":"+readyPort, ip+":"+controlPort, store)
	return h, os.WriteFile(h.settingsPath(), []byte(text), 0o600)
}

func (h *Host) settingsPath() string { return filepath.Join(h.dir, h.Name+".toml") }

// ControlAddr returns the address for other hosts.
func (h *Host) ControlAddr() string { return h.IP + ":" + controlPort }

// Start starts the process with the command of the deploy file, in the present directory.
func (h *Host) Start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	out, err := os.OpenFile(filepath.Join(h.dir, h.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/edged")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "ARBUTUSGAUGE_CONFIG=" + h.settingsPath()}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.cmd, h.exited = cmd, exited
	go func() { _ = cmd.Wait(); close(exited); _ = out.Close() }()
	return nil
}

// Kill ends the process at once and waits for its end.
func (h *Host) Kill() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd == nil {
		return
	}
	_ = h.cmd.Process.Kill()
	<-h.exited
}

// Signal sends a signal to the process.
func (h *Host) Signal(signal syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.cmd.Process.Signal(signal)
}

// Ready reports whether the host says that it is ready.
func (h *Host) Ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + h.IP + ":" + readyPort + "/arbutusgauge/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Answer is what a client saw.
type Answer struct {
	Code    int // 0: no complete answer
	Header  http.Header
	Elapsed time.Duration
}

// Send sends one request to the host on a new connection, as a client attempt with a
// deadline.
func (h *Host) Send(method, target, attempt string, deadline time.Duration) Answer {
	began := time.Now()
	client := http.Client{Timeout: deadline + time.Second, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	request, err := http.NewRequest(method, "http://"+h.IP+":"+frontPort+target, nil)
	if err != nil {
		return Answer{}
	}
	request.Host = SearchHost
	request.Header.Set("X-Attempt-Id", attempt)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	response, err := client.Do(request)
	if err != nil {
		return Answer{Elapsed: time.Since(began)}
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return Answer{Elapsed: time.Since(began)}
	}
	return Answer{Code: response.StatusCode, Header: response.Header, Elapsed: time.Since(began)}
}
