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
	// StopLimit bounds a graceful stop of one program.
	StopLimit = 45 * time.Second
	// pollEvery is how often a wait looks again.
	pollEvery = 50 * time.Millisecond
	// adminPortGap lies between the platform's port and the first admin port of
	// the stand-in backend processes, one for each data centre.
	adminPortGap = 50
)

// Options describe a deployment on this machine.
type Options struct {
	Programs    string   // directory of the built programs
	Note        string   // release note file
	Settings    string   // settings file of one host, the model for all
	DataCentres []string // in the order of the hosts' ports
	HostsPer    int      // entry hosts in a data centre
	Dir         string   // for logs and generated files
	// PortOffset is added to every port, so that two deployments can run.
	PortOffset int
	Delay      time.Duration // one-way delay between data centres, stated in the settings
	DrainWait  time.Duration // 0 keeps the model's
	Backend    []string      // further flags of the stand-in backend servers
}

// Deployment is a running set of programs.
type Deployment struct {
	opts     Options
	model    *settings.Entry
	NoteFile string // with the offset ports
	Note     *release.Note
	Platform *Process
	Backends map[string]*Process // by data centre
	Hosts    map[string]*Process // by host name
	entries  map[string]*settings.Entry
	order    []string
	client   *http.Client
}

// Start runs the platform and the backend servers and then all entry hosts.
func Start(opts Options) (*Deployment, error) {
	d := &Deployment{
		opts: opts, Backends: map[string]*Process{}, Hosts: map[string]*Process{},
		entries: map[string]*settings.Entry{}, client: &http.Client{Timeout: 10 * time.Second},
	}
	for _, step := range []func() error{d.load, d.checkPorts, d.startPlatform, d.startBackends, d.startHosts} {
		if err := step(); err != nil {
			d.Kill()
			return nil, err
		}
	}
	return d, nil
}

func (d *Deployment) load() error {
	var err error
	if d.model, err = settings.Load(d.opts.Settings); err != nil {
		return err
	}
	body, err := os.ReadFile(d.opts.Note)
	if err != nil {
		return errors.WithStack(err)
	}
	if d.Note, err = release.ParseNote(d.opts.Note, body); err != nil {
		return err
	}
	for i := range d.Note.Services.Added {
		for j := range d.Note.Services.Added[i].Shards {
			replicas := d.Note.Services.Added[i].Shards[j].Replicas
			for k := range replicas {
				replicas[k].Addr = wire.ReplicaID(d.offset(string(replicas[k].Addr), 0))
			}
		}
	}
	d.NoteFile = filepath.Join(d.opts.Dir, "release-note.json")
	return d.writeJSON(d.NoteFile, d.Note)
}

// checkPorts returns *PortError when another program, such as a second
// deployment, listens on an address of this one: its answers would be taken for
// those of the programs started here.
func (d *Deployment) checkPorts() error {
	addrs := []string{d.PlatformAddr()}
	for dc, dataCentre := range d.opts.DataCentres {
		addrs = append(addrs, d.BackendAdmin(dataCentre))
		for i := range d.opts.HostsPer {
			index := dc*d.opts.HostsPer + i
			addrs = append(addrs, d.offset(d.model.HTTP.Listen, index), d.offset(d.model.Peer.Listen, index))
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

// offset moves the port of an address by the deployment's offset and more.
func (d *Deployment) offset(addr string, more int) string {
	host, text, _ := net.SplitHostPort(addr)
	port, _ := strconv.Atoi(text)
	return net.JoinHostPort(host, strconv.Itoa(port+d.opts.PortOffset+more))
}

func (d *Deployment) program(name string) string { return filepath.Join(d.opts.Programs, name) }

// PlatformAddr returns the platform's address.
func (d *Deployment) PlatformAddr() string {
	return d.offset(strings.TrimPrefix(d.model.Platform.URLs[0], "http://"), 0)
}

// BackendAdmin returns the admin address of a data centre's backend servers.
func (d *Deployment) BackendAdmin(dataCentre string) string {
	for i, name := range d.opts.DataCentres {
		if name == dataCentre {
			return d.offset(strings.TrimPrefix(d.model.Platform.URLs[0], "http://"), adminPortGap+i)
		}
	}
	return ""
}

func (d *Deployment) startPlatform() error {
	var err error
	d.Platform, err = StartProcess("platform", d.opts.Dir, d.program("standin-platform"), "--listen", d.PlatformAddr())
	return err
}

// RestartPlatform starts the platform again after it was ended. It is empty
// then.
func (d *Deployment) RestartPlatform() error { return d.startPlatform() }

func (d *Deployment) startBackends() error {
	for _, name := range d.opts.DataCentres {
		args := []string{"--note", d.NoteFile, "--data-centre", name, "--admin", d.BackendAdmin(name)}
		p, err := StartProcess("backend-"+name, d.opts.Dir, d.program("standin-backend"), append(args, d.opts.Backend...)...)
		if err != nil {
			return err
		}
		d.Backends[name] = p
	}
	return nil
}

func (d *Deployment) startHosts() error {
	var seeds []string
	for dc := range d.opts.DataCentres {
		seeds = append(seeds, d.offset(d.model.Peer.Listen, dc*d.opts.HostsPer))
	}
	for dc, dataCentre := range d.opts.DataCentres {
		for i := range d.opts.HostsPer {
			entry := d.entry(dataCentre, dc*d.opts.HostsPer+i, i+1, seeds)
			d.entries[entry.Host] = entry
			d.order = append(d.order, entry.Host)
			if err := d.StartHost(entry.Host); err != nil {
				return err
			}
		}
	}
	return nil
}

// entry makes the settings of one host from the model.
func (d *Deployment) entry(dataCentre string, index, number int, seeds []string) *settings.Entry {
	entry := *d.model
	entry.Host = dataCentre + "-" + strconv.Itoa(number)
	entry.DataCentre = dataCentre
	http := d.offset(d.model.HTTP.Listen, index)
	peer := d.offset(d.model.Peer.Listen, index)
	entry.HTTP = settings.Listen{Listen: http, Advertise: http}
	entry.Peer = settings.Listen{Listen: peer, Advertise: peer}
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

// StartHost starts an entry host, or starts it again after it ended.
func (d *Deployment) StartHost(name string) error {
	file := filepath.Join(d.opts.Dir, name+".json")
	if err := d.writeJSON(file, d.entries[name]); err != nil {
		return err
	}
	p, err := StartProcess(name, d.opts.Dir, d.program("entryd"), "--settings", file)
	if err != nil {
		return err
	}
	d.Hosts[name] = p
	return nil
}

// HostNames returns the entry hosts in the order of their ports.
func (d *Deployment) HostNames() []string { return d.order }

// HTTPAddr returns the address of an entry host for callers and operators.
func (d *Deployment) HTTPAddr(host string) string { return d.entries[host].HTTP.Advertise }

// PeerAddr returns the peer address of an entry host.
func (d *Deployment) PeerAddr(host string) string { return d.entries[host].Peer.Advertise }

// WaitReady waits until the hosts are ready, all when none is named.
func (d *Deployment) WaitReady(limit time.Duration, hosts ...string) error {
	if len(hosts) == 0 {
		hosts = d.order
	}
	return d.wait("readiness of "+strings.Join(hosts, ", "), limit, func() bool {
		for _, host := range hosts {
			if !d.answers("http://" + d.HTTPAddr(host) + "/ready") {
				return false
			}
		}
		return true
	})
}

// WaitLive waits until all entry hosts and stand-ins answer.
func (d *Deployment) WaitLive(limit time.Duration) error {
	return d.wait("start of the programs", limit, func() bool {
		for _, host := range d.order {
			if !d.answers("http://" + d.HTTPAddr(host) + "/live") {
				return false
			}
		}
		for _, dataCentre := range d.opts.DataCentres {
			if !d.answers("http://" + d.BackendAdmin(dataCentre) + "/v1/replicas") {
				return false
			}
		}
		return true
	})
}

func (d *Deployment) wait(what string, limit time.Duration, done func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(pollEvery) {
		if done() {
			return nil
		}
	}
	return &TimeoutError{What: what, Limit: limit}
}

func (d *Deployment) answers(url string) bool {
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

// Stop ends the entry hosts gracefully, all at once, and then the stand-ins.
// It returns the first error.
func (d *Deployment) Stop() error {
	var mu sync.Mutex
	var first error
	stop := func(p *Process) {
		if p == nil || !p.Running() {
			return
		}
		if err := p.Stop(StopLimit); err != nil {
			mu.Lock()
			defer mu.Unlock()
			if first == nil {
				first = err
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
	return first
}

// Kill ends every program without notice.
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
