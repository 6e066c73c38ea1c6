package procs

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/jwcc"
	"github.com/arbutusgauge/arbutusgauge/internal/release"
	"github.com/arbutusgauge/arbutusgauge/internal/settings"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

const (
	// StopTimeout bounds the graceful stop of one program.
	StopTimeout = 45 * time.Second
	// pollInterval is the pause between two checks of a condition waited for.
	pollInterval = 50 * time.Millisecond
	// backendAdminPortOffset is the distance from the platform's port to the first
	// admin port of the stand-in backends. Each data centre has one such port.
	backendAdminPortOffset = 50
)

// Options configure a deployment whose programs all run as local processes.
type Options struct {
	ProgramDir           string   // directory of the built programs
	NoteTemplateFile     string   // path of the release note, whose ports are shifted by PortOffset
	SettingsTemplateFile string   // path of one host's settings, from which those of all hosts are made
	DataCentres          []string // names, in the order of the hosts' ports
	HostsPerDataCentre   int      // number of entry hosts in each data centre
	WorkDir              string   // directory for logs and generated files
	// PortOffset is added to every port, so that several deployments can run at
	// the same time.
	PortOffset   int
	Delay        time.Duration // one-way delay between data centres that the settings state
	DrainWait    time.Duration // 0 keeps the value in SettingsTemplateFile
	BackendFlags []string      // additional flags of the stand-in backends
}

// Deployment is a set of running programs: the stand-in platform, one stand-in
// backend process for each data centre, and the entry hosts.
type Deployment struct {
	opts             Options
	settingsTemplate *settings.Entry
	NoteFile         string // path of the generated release note with the shifted ports
	Note             *release.Note
	Platform         *Process
	Backends         map[string]*Process // by data centre
	Hosts            map[string]*Process // by host name
	hostSettings     map[string]*settings.Entry
	hostNames        []string
	client           *http.Client
}

// Start starts the platform, the backends and then all entry hosts, and returns
// without waiting for their readiness. When it fails, it kills what it started.
func Start(opts Options) (*Deployment, error) {
	d := &Deployment{
		opts: opts, Backends: map[string]*Process{}, Hosts: map[string]*Process{},
		hostSettings: map[string]*settings.Entry{}, client: &http.Client{Timeout: 10 * time.Second},
	}
	for _, step := range []func() error{d.loadTemplates, d.checkPorts, d.startPlatform, d.startBackends, d.startHosts} {
		if err := step(); err != nil {
			d.Kill()
			return nil, err
		}
	}
	return d, nil
}

// loadTemplates reads the settings and the release note of the options, and writes
// the note with shifted ports to NoteFile.
func (d *Deployment) loadTemplates() error {
	var err error
	if d.settingsTemplate, err = settings.Load(d.opts.SettingsTemplateFile); err != nil {
		return err
	}
	body, err := os.ReadFile(d.opts.NoteTemplateFile)
	if err != nil {
		return errors.WithStack(err)
	}
	if d.Note, err = release.ParseNote(d.opts.NoteTemplateFile, body); err != nil {
		return err
	}
	for i := range d.Note.Services.Added {
		for j := range d.Note.Services.Added[i].Shards {
			replicas := d.Note.Services.Added[i].Shards[j].Replicas
			for k := range replicas {
				replicas[k].Addr = wire.ReplicaID(d.shiftPort(string(replicas[k].Addr), 0))
			}
		}
	}
	d.NoteFile = filepath.Join(d.opts.WorkDir, "release-note.json")
	return d.writeJSON(d.NoteFile, d.Note)
}

// checkPorts returns *PortError when another program, such as a program of a
// second deployment, listens on an address of this deployment. Its replies would
// be taken for those of this deployment's programs.
func (d *Deployment) checkPorts() error {
	addrs := []string{d.PlatformAddr()}
	for dcIndex, dataCentre := range d.opts.DataCentres {
		addrs = append(addrs, d.BackendAdminAddr(dataCentre))
		for i := range d.opts.HostsPerDataCentre {
			index := dcIndex*d.opts.HostsPerDataCentre + i
			addrs = append(addrs, d.shiftPort(d.settingsTemplate.HTTP.Listen, index), d.shiftPort(d.settingsTemplate.Peer.Listen, index))
		}
	}
	for _, addr := range addrs {
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			return errors.WithStack(&PortError{Addr: addr, Err: err})
		}
		_ = listener.Close()
	}
	return nil
}

func (d *Deployment) writeJSON(file string, value any) error {
	body, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(os.WriteFile(file, body, 0o644))
}

// shiftPort returns the address with Options.PortOffset and offset added to its
// port.
func (d *Deployment) shiftPort(addr string, offset int) string {
	host, portText, _ := net.SplitHostPort(addr)
	port, _ := strconv.Atoi(portText)
	return net.JoinHostPort(host, strconv.Itoa(port+d.opts.PortOffset+offset))
}

func (d *Deployment) programPath(name string) string { return filepath.Join(d.opts.ProgramDir, name) }

// PlatformAddr returns the HTTP address of the stand-in platform.
func (d *Deployment) PlatformAddr() string {
	return d.shiftPort(strings.TrimPrefix(d.settingsTemplate.Platform.URLs[0], "http://"), 0)
}

// BackendAdminAddr returns the HTTP address of the admin interface of a data centre's
// stand-in backend, or "" for an unknown data centre.
func (d *Deployment) BackendAdminAddr(dataCentre string) string {
	for i, name := range d.opts.DataCentres {
		if name == dataCentre {
			return d.shiftPort(strings.TrimPrefix(d.settingsTemplate.Platform.URLs[0], "http://"), backendAdminPortOffset+i)
		}
	}
	return ""
}

func (d *Deployment) startPlatform() error {
	var err error
	d.Platform, err = StartProcess("platform", d.opts.WorkDir, d.programPath("standin-platform"), "--listen", d.PlatformAddr())
	return err
}

// RestartPlatform starts the platform again after its process has exited. The
// platform keeps its data in memory only, so it is empty then.
func (d *Deployment) RestartPlatform() error { return d.startPlatform() }

func (d *Deployment) startBackends() error {
	for _, name := range d.opts.DataCentres {
		args := []string{"--note", d.NoteFile, "--data-centre", name, "--admin", d.BackendAdminAddr(name)}
		p, err := StartProcess("backend-"+name, d.opts.WorkDir, d.programPath("standin-backend"), append(args, d.opts.BackendFlags...)...)
		if err != nil {
			return err
		}
		d.Backends[name] = p
	}
	return nil
}

func (d *Deployment) startHosts() error {
	var seeds []string
	for dcIndex := range d.opts.DataCentres {
		seeds = append(seeds, d.shiftPort(d.settingsTemplate.Peer.Listen, dcIndex*d.opts.HostsPerDataCentre))
	}
	for dcIndex, dataCentre := range d.opts.DataCentres {
		for i := range d.opts.HostsPerDataCentre {
			entry := d.newHostSettings(dataCentre, dcIndex*d.opts.HostsPerDataCentre+i, i+1, seeds)
			d.hostSettings[entry.Host] = entry
			d.hostNames = append(d.hostNames, entry.Host)
			if err := d.StartHost(entry.Host); err != nil {
				return err
			}
		}
	}
	return nil
}

// newHostSettings returns the settings of one host, made from settingsTemplate.
// The index counts the hosts of all data centres from 0 and shifts the ports;
// hostNumber counts the hosts of the data centre from 1.
func (d *Deployment) newHostSettings(dataCentre string, index, hostNumber int, seeds []string) *settings.Entry {
	entry := *d.settingsTemplate
	entry.Host = dataCentre + "-" + strconv.Itoa(hostNumber)
	entry.DataCentre = dataCentre
	httpAddr := d.shiftPort(d.settingsTemplate.HTTP.Listen, index)
	peerAddr := d.shiftPort(d.settingsTemplate.Peer.Listen, index)
	entry.HTTP = settings.Listen{Listen: httpAddr, Advertise: httpAddr}
	entry.Peer = settings.Listen{Listen: peerAddr, Advertise: peerAddr}
	entry.Seeds = seeds
	entry.Platform.URLs = []string{"http://" + d.PlatformAddr()}
	if d.opts.DrainWait > 0 {
		entry.DrainWait = jwcc.Duration(d.opts.DrainWait)
	}
	entry.Delays = map[string]jwcc.Duration{}
	for _, other := range d.opts.DataCentres {
		if other != dataCentre {
			entry.Delays[other] = jwcc.Duration(d.opts.Delay)
		}
	}
	return &entry
}

// StartHost starts an entry host, also again after its process has exited.
func (d *Deployment) StartHost(name string) error {
	file := filepath.Join(d.opts.WorkDir, name+".json")
	if err := d.writeJSON(file, d.hostSettings[name]); err != nil {
		return err
	}
	p, err := StartProcess(name, d.opts.WorkDir, d.programPath("entryd"), "--settings", file)
	if err != nil {
		return err
	}
	d.Hosts[name] = p
	return nil
}

// HostNames returns the names of the entry hosts in the order of their ports.
func (d *Deployment) HostNames() []string { return d.hostNames }

// HTTPAddr returns the address at which an entry host serves callers and operators.
func (d *Deployment) HTTPAddr(host string) string { return d.hostSettings[host].HTTP.Advertise }

// PeerAddr returns the address at which an entry host serves other entry hosts.
func (d *Deployment) PeerAddr(host string) string { return d.hostSettings[host].Peer.Advertise }

// WaitReady waits until the named hosts are ready, or all hosts when none is named.
// It returns *TimeoutError when they are not ready within the timeout.
func (d *Deployment) WaitReady(timeout time.Duration, hosts ...string) error {
	if len(hosts) == 0 {
		hosts = d.hostNames
	}
	return d.waitFor("readiness of "+strings.Join(hosts, ", "), timeout, func() bool {
		for _, host := range hosts {
			if !d.respondsOK("http://" + d.HTTPAddr(host) + "/ready") {
				return false
			}
		}
		return true
	})
}

// WaitLive waits until all entry hosts and the stand-in backends respond. It
// returns *TimeoutError when they do not within the timeout.
func (d *Deployment) WaitLive(timeout time.Duration) error {
	return d.waitFor("start of the programs", timeout, func() bool {
		for _, host := range d.hostNames {
			if !d.respondsOK("http://" + d.HTTPAddr(host) + "/live") {
				return false
			}
		}
		for _, dataCentre := range d.opts.DataCentres {
			if !d.respondsOK("http://" + d.BackendAdminAddr(dataCentre) + "/v1/replicas") {
				return false
			}
		}
		return true
	})
}

// waitFor polls done until it returns true. It returns *TimeoutError with the
// description what when that does not happen within the timeout.
func (d *Deployment) waitFor(what string, timeout time.Duration, done func() bool) error {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if done() {
			return nil
		}
	}
	return &TimeoutError{Operation: what, Limit: timeout}
}

// respondsOK reports whether a GET request to the URL is answered with the status
// 200 within a second.
func (d *Deployment) respondsOK(url string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	response, err := d.client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Stop stops the entry hosts gracefully and concurrently, and then the stand-ins
// one by one. It stops all of them also after a failure, and returns the first
// error.
func (d *Deployment) Stop() error {
	var mu sync.Mutex
	var firstErr error
	stop := func(p *Process) {
		if p == nil || !p.Running() {
			return
		}
		if err := p.Stop(StopTimeout); err != nil {
			mu.Lock()
			defer mu.Unlock()
			if firstErr == nil {
				firstErr = err
			}
		}
	}
	var hosts sync.WaitGroup
	for _, p := range d.Hosts {
		hosts.Go(func() { stop(p) })
	}
	hosts.Wait()
	for _, p := range d.Backends {
		stop(p)
	}
	stop(d.Platform)
	return firstErr
}

// Kill ends every program with SIGKILL and waits until it has exited.
func (d *Deployment) Kill() {
	for _, p := range d.Hosts {
		p.Kill()
	}
	for _, p := range d.Backends {
		p.Kill()
	}
	if d.Platform != nil {
		d.Platform.Kill()
	}
}
