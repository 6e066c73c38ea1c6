package main

import (
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
)

const (
	hostsPerDataCentre = 3
	startLimit         = 20 * time.Second
	slowBy             = "400ms"
)

// runner shows one scene.
type runner struct {
	scene
	programs, examples, out string
	deployment              *procs.Deployment
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
	steps := []func() error{
		func() error { return r.ctl("apply", r.deployment.NoteFile) },
		func() error { return r.deployment.WaitReady(startLimit) },
		func() error { return r.ctl("versions") },
		func() error { return r.ctl("services") },
		func() error { return r.search("search") },
		func() error { return r.ctl(append([]string{"search"}, r.single...)...) },
		r.showSlowReplica,
		r.showKilledHost,
		func() error { return r.ctl("burn") },
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// ctl runs the operators' command and shows it.
func (r *runner) ctl(args ...string) error {
	full := []string{}
	for _, host := range r.deployment.HostNames()[:hostsPerDataCentre] {
		full = append(full, "--host", r.deployment.HTTPAddr(host))
	}
	full = append(full, args...)
	fmt.Printf("\n$ gaugectl %s\n", strings.Join(args, " "))
	cmd := exec.Command(filepath.Join(r.programs, "gaugectl"), full...)
	cmd.Stdout, cmd.Stderr = os.Stdout, os.Stderr
	return errors.Wrap(cmd.Run(), "gaugectl "+args[0])
}

func (r *runner) search(command string) error {
	return r.ctl(append([]string{command}, r.scene.search...)...)
}

func (r *runner) showSlowReplica() error {
	r.title("fault: replica " + r.slow.addr + " answers " + slowBy + " late")
	if err := r.setFaults(`{"slow_by": "` + slowBy + `"}`); err != nil {
		return err
	}
	if err := r.search("coverage"); err != nil {
		return err
	}
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
	if err := r.search("coverage"); err != nil {
		return err
	}
	if err := r.deployment.StartHost(r.kill); err != nil {
		return err
	}
	if err := r.deployment.WaitReady(startLimit, r.kill); err != nil {
		return err
	}
	if err := r.search("coverage"); err != nil {
		return err
	}
	return r.ctl("versions")
}

func (r *runner) stop() error {
	r.title("stop " + r.user)
	return r.deployment.Stop()
}

func (r *runner) title(text string) { fmt.Printf("\n== %s\n", text) }
