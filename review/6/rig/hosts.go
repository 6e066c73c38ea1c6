package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// host is one entry host: a process of the system with its settings.
type host struct {
	name, zone, ip     string
	front, ready, peer string // addresses
	settings, program  string // paths
	log                *record
	logFile            *os.File
	mu                 sync.Mutex
	process            *exec.Cmd
}

// hostZones are the zones of the hosts, as on the small deployment ganna-rota.
var hostZones = []string{"badin", "badin", "badin", "thatta", "thatta", "thatta", "tando", "tando"}

// newHosts writes the settings of all hosts into a folder.
func newHosts(log *record, dir, program, ipPrefix, storeAddr string) ([]*host, error) {
	hosts := make([]*host, len(hostZones))
	var seeds []string
	for i, zone := range hostZones {
		h := &host{name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone, ip: fmt.Sprintf("%s.%d", ipPrefix, i+1), program: program, log: log}
		for _, addr := range []*string{&h.front, &h.ready, &h.peer} {
			listener, err := net.Listen("tcp", net.JoinHostPort(h.ip, "0"))
			if err != nil {
				return nil, err
			}
			*addr = listener.Addr().String()
			defer func() { _ = listener.Close() }()
		}
		if i%3 == 0 {
			seeds = append(seeds, `"`+h.peer+`"`)
		}
		hosts[i] = h
	}
	for _, h := range hosts {
		h.settings = filepath.Join(dir, h.name+".toml")
		text := fmt.Sprintf(settingsText, h.name, h.ip, h.zone, strings.Join(seeds, ","), h.front, h.ready, h.peer, storeAddr)
		if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
			return nil, err
		}
		file, err := os.Create(filepath.Join(dir, h.name+".log"))
		if err != nil {
			return nil, err
		}
		h.logFile = file
	}
	return hosts, nil
}

// settingsText is the settings file of a host of a small deployment.
const settingsText = `node = "%s"
role = "entry"
machine_class = "front"
serves = ["front","control"]
ip = "%s"
zone = "%s"
region = "sindh-south"
seeds = [%s]
bootstrap = true
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","scatter","platform"]
[listen_addrs]
front = "%s"
ready = "%s"
control = "%s"
[limits]
cpu_share = 0.4
cores = 1
memory_mb = 284
max_fds = 4100
[bounds]
stable_window_ms = 4000
drain_ms = 3000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 3000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 56
recover_s = 12
[platform]
address = "%s"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
`

// start starts the process with the command of the deploy file.
func (h *host) start() error {
	cmd := exec.Command(h.program)
	cmd.Env = []string{"ARBUTUSGAUGE_CONFIG=" + h.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = h.logFile, h.logFile
	if err := cmd.Start(); err != nil {
		return err
	}
	h.mu.Lock()
	h.process = cmd
	h.mu.Unlock()
	h.log.printf("start  %s", h.name)
	return nil
}

// signal sends a signal to the process.
func (h *host) signal(sig syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		_ = h.process.Process.Signal(sig)
		h.log.printf("signal %s %s", sig, h.name)
	}
}

// wait waits for the end of the process.
func (h *host) wait() {
	h.mu.Lock()
	process := h.process
	h.process = nil
	h.mu.Unlock()
	if process != nil {
		_ = process.Wait()
	}
}

// isReady reports whether the readiness check succeeds.
func (h *host) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + h.ready + "/arbutusgauge/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all hosts are ready; false if they are not in time.
func awaitReady(hosts []*host, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, h := range hosts {
			if h.isReady() {
				ready++
			}
		}
		if ready == len(hosts) {
			return true
		}
	}
	return false
}

// killAll ends the processes of all hosts.
func killAll(hosts []*host) {
	for _, h := range hosts {
		h.signal(syscall.SIGKILL)
	}
	for _, h := range hosts {
		h.wait()
	}
}
