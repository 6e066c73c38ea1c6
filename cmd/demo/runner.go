package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/procs"
	"github.com/arbutusgauge/arbutusgauge/internal/release"
)

const (
	hostsPerDataCentre = 3
	startLimit         = 20 * time.Second
	slowBy             = "400ms"
	// phase is how long the searches go on under each change and fault.
	phase = 1500 * time.Millisecond
)

// runner shows one scene.
type runner struct {
	scene
	programs, examples, out string
	deployment              *procs.Deployment
	load                    *load
}

// AdminError reports a refused call to a stand-in.
type AdminError struct {
	URL    string
	Status string
}

// Error implements error.
func (e *AdminError) Error() string { return "call to " + e.URL + " returned " + e.Status }

func (r *runner) run() error {
	if err := r.start(); err != nil {
		return err
	}
	err := r.show()
	if stopErr := r.stop(); err == nil {
		err = stopErr
	}
	return err
}

func (r *runner) start() error {
	r.title("start " + r.user)
	dir := filepath.Join(r.out, r.dir)
	if err := os.RemoveAll(dir); err != nil {
		return errors.WithStack(err)
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.WithStack(err)
	}
	var err error
	r.deployment, err = procs.Start(procs.Options{
		Programs: r.programs, Note: filepath.Join(r.examples, r.dir, "release-note.hujson"),
		Settings:    filepath.Join(r.examples, r.dir, r.model),
		DataCentres: r.dataCentres, HostsPer: hostsPerDataCentre, Dir: dir, Delay: r.delay,
	})
	if err != nil {
		return err
	}
	fmt.Printf("%d entry hosts in %s\n", len(r.deployment.HostNames()), strings.Join(r.dataCentres, ", "))
	return r.deployment.WaitLive(startLimit)
}

func (r *runner) show() error {
	fmt.Printf("\n$ export GAUGECTL_HOST=%s\n", r.operatorHosts())
	steps := []func() error{
		func() error { return r.ctl("apply", r.deployment.NoteFile) },
		func() error { return r.deployment.WaitReady(startLimit) },
		func() error { return r.ctl("versions") },
		func() error { return r.ctl("services") },
		func() error { return r.ctl(append([]string{"search", r.service, r.search}, r.few...)...) },
		r.coverage,
		func() error { return r.ctl(append([]string{"search"}, r.single...)...) },
		r.showUnderLoad,
		func() error { return r.ctl("burn") },
	}
	return each(steps)
}

func each(steps []func() error) error {
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// showUnderLoad shows a release note and faults while searches go on.
func (r *runner) showUnderLoad() error {
	var hosts []string
	for _, host := range r.deployment.HostNames() {
		if host != r.kill {
			hosts = append(hosts, r.deployment.HTTPAddr(host))
		}
	}
	r.title(fmt.Sprintf("from here on, %s/%s runs all the time on the hosts other than %s", r.service, r.search, r.kill))
	r.load = startLoad(hosts, r.service, r.search)
	time.Sleep(phase)
	err := each([]func() error{r.showNote, r.showSlowReplica, r.showKilledHost})
	r.load.stop()
	return err
}

// showNote changes the search that is running.
func (r *runner) showNote() error {
	r.title("a release note halves the deadline of " + r.search)
	file := filepath.Join(r.out, r.dir, "second-note.json")
	if err := r.writeNote(file); err != nil {
		return err
	}
	if err := r.ctl("diff", file); err != nil {
		return err
	}
	if err := r.ctl("apply", file); err != nil {
		return err
	}
	time.Sleep(phase)
	return nil
}

func (r *runner) writeNote(file string) error {
	first := r.deployment.Note
	next := release.Note{ID: first.ID + "-second", Base: 1, Author: first.Author}
	for _, search := range first.Searches.Added {
		if search.Service == r.service && search.Name == r.search {
			search.Deadline /= 2
			next.Searches.Changed = []release.Search{search}
		}
	}
	body, err := json.MarshalIndent(&next, "", "  ")
	if err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(os.WriteFile(file, body, 0o644))
}

// operatorHosts names one entry host of each data centre.
func (r *runner) operatorHosts() string {
	var addrs []string
	for i, host := range r.deployment.HostNames() {
		if i%hostsPerDataCentre == 0 {
			addrs = append(addrs, r.deployment.HTTPAddr(host))
		}
	}
	return strings.Join(addrs, ",")
}

// ctl runs the operators' command and shows it.
func (r *runner) ctl(args ...string) error {
	fmt.Printf("\n$ gaugectl %s\n", strings.Join(args, " "))
	cmd := exec.Command(filepath.Join(r.programs, "gaugectl"), args...)
	cmd.Env = append(os.Environ(), "GAUGECTL_HOST="+r.operatorHosts())
	cmd.Stdout, cmd.Stderr = os.Stdout, os.Stderr
	return errors.Wrap(cmd.Run(), "gaugectl "+args[0])
}

func (r *runner) coverage() error { return r.ctl("coverage", r.service, r.search) }

func (r *runner) showSlowReplica() error {
	r.title("fault: replica " + r.slow.addr + " answers " + slowBy + " late")
	if err := r.setFaults(`{"slow_by": "` + slowBy + `"}`); err != nil {
		return err
	}
	if err := r.coverage(); err != nil {
		return err
	}
	time.Sleep(phase)
	return r.setFaults(`{}`)
}

func (r *runner) setFaults(body string) error {
	addr := "http://" + r.deployment.BackendAdmin(r.slow.dataCentre) + "/v1/replicas/" + url.PathEscape(r.slow.addr) + "/faults"
	request, err := http.NewRequest(http.MethodPut, addr, strings.NewReader(body))
	if err != nil {
		return errors.WithStack(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.WithStack(err)
	}
	_ = response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		return &AdminError{URL: addr, Status: response.Status}
	}
	return nil
}

func (r *runner) showKilledHost() error {
	r.title("fault: entry host " + r.kill + " is killed, then started again")
	r.deployment.Hosts[r.kill].Kill()
	if err := r.coverage(); err != nil {
		return err
	}
	time.Sleep(phase)
	if err := r.deployment.StartHost(r.kill); err != nil {
		return err
	}
	if err := r.deployment.WaitReady(startLimit, r.kill); err != nil {
		return err
	}
	if err := r.coverage(); err != nil {
		return err
	}
	return r.ctl("versions")
}

func (r *runner) stop() error {
	r.title("stop " + r.user)
	return r.deployment.Stop()
}

// summary says what the searches under load showed.
func (r *runner) summary() {
	l := r.load
	fmt.Printf("%s: %d searches of %s/%s during a release note, a slow replica and a killed host\n",
		r.user, l.answered+len(l.failed), r.service, r.search)
	fmt.Printf("  answered %d, of these with coverage 1 %d; not answered %d; slowest %s\n",
		l.answered, l.whole, len(l.failed), l.slowest.Round(time.Millisecond))
	for _, failure := range l.failed {
		fmt.Println("  not answered: " + failure)
	}
	fmt.Printf("  under version 1 %d, under version 2 %d\n", l.versions[1], l.versions[2])
}

func (r *runner) title(text string) { fmt.Printf("\n== %s\n", text) }
