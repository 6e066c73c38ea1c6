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
	startTimeout       = 20 * time.Second
	slowReplicaDelay   = "400ms" // added to each answer of the slow replica
	// phaseDuration is how long the load runs under each change and fault.
	phaseDuration = 1500 * time.Millisecond
)

// runner runs one scenario.
type runner struct {
	scenario
	programsDir, examplesDir, outDir string
	deployment                       *procs.Deployment
	load                             *searchLoad
}

// AdminError reports a call to the admin interface of a stand-in that returned
// an error status.
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
	err := r.runSteps()
	if stopErr := r.stop(); err == nil {
		err = stopErr
	}
	return err
}

func (r *runner) start() error {
	r.printTitle("start " + r.organisation)
	outputDir := filepath.Join(r.outDir, r.exampleDir)
	if err := os.RemoveAll(outputDir); err != nil {
		return errors.WithStack(err)
	}
	if err := os.MkdirAll(outputDir, 0o755); err != nil {
		return errors.WithStack(err)
	}
	var err error
	r.deployment, err = procs.Start(procs.Options{
		ProgramDir: r.programsDir, NoteTemplateFile: filepath.Join(r.examplesDir, r.exampleDir, "release-note.hujson"),
		SettingsTemplateFile: filepath.Join(r.examplesDir, r.exampleDir, r.settingsFile),
		DataCentres:          r.dataCentres, HostsPerDataCentre: hostsPerDataCentre, WorkDir: outputDir, Delay: r.oneWayDelay,
	})
	if err != nil {
		return err
	}
	fmt.Printf("%d entry hosts in %s\n", len(r.deployment.HostNames()), strings.Join(r.dataCentres, ", "))
	return r.deployment.WaitLive(startTimeout)
}

// runSteps applies the release note of the deployment and runs the commands and
// faults of the demo.
func (r *runner) runSteps() error {
	fmt.Printf("\n$ export GAUGECTL_HOST=%s\n", r.operatorHostAddrs())
	steps := []func() error{
		func() error { return r.gaugectl("apply", r.deployment.NoteFile) },
		func() error { return r.deployment.WaitReady(startTimeout) },
		func() error { return r.gaugectl("versions") },
		func() error { return r.gaugectl("services") },
		func() error { return r.gaugectl(append([]string{"search", r.service, r.search}, r.rangeFlags...)...) },
		r.showCoverage,
		func() error { return r.gaugectl(append([]string{"search"}, r.ticketedSearch...)...) },
		r.showUnderLoad,
		func() error { return r.gaugectl("burn") },
	}
	return runInOrder(steps)
}

// runInOrder runs the steps until one fails.
func runInOrder(steps []func() error) error {
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// showUnderLoad applies a release note and injects faults while a load runs on
// every host that is not killed.
func (r *runner) showUnderLoad() error {
	var hosts []string
	for _, host := range r.deployment.HostNames() {
		if host != r.hostToKill {
			hosts = append(hosts, r.deployment.HTTPAddr(host))
		}
	}
	r.printTitle(fmt.Sprintf("from here on, %s/%s runs continuously on the hosts other than %s", r.service, r.search, r.hostToKill))
	r.load = startLoad(hosts, r.service, r.search)
	time.Sleep(phaseDuration)
	err := runInOrder([]func() error{r.showNote, r.showSlowReplica, r.showKilledHost})
	r.load.stop()
	return err
}

// showNote applies a release note that changes the search of the load.
func (r *runner) showNote() error {
	r.printTitle("a release note halves the deadline of " + r.search)
	noteFile := filepath.Join(r.outDir, r.exampleDir, "second-note.json")
	if err := r.writeNote(noteFile); err != nil {
		return err
	}
	if err := r.gaugectl("diff", noteFile); err != nil {
		return err
	}
	if err := r.gaugectl("apply", noteFile); err != nil {
		return err
	}
	time.Sleep(phaseDuration)
	return nil
}

// writeNote writes a release note that halves the deadline of the search.
func (r *runner) writeNote(noteFile string) error {
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
	return errors.WithStack(os.WriteFile(noteFile, body, 0o644))
}

// operatorHostAddrs returns the HTTP addresses of one entry host in each data
// centre, separated by commas.
func (r *runner) operatorHostAddrs() string {
	var addrs []string
	for i, host := range r.deployment.HostNames() {
		if i%hostsPerDataCentre == 0 {
			addrs = append(addrs, r.deployment.HTTPAddr(host))
		}
	}
	return strings.Join(addrs, ",")
}

// gaugectl prints a gaugectl command line and runs it.
func (r *runner) gaugectl(args ...string) error {
	fmt.Printf("\n$ gaugectl %s\n", strings.Join(args, " "))
	cmd := exec.Command(filepath.Join(r.programsDir, "gaugectl"), args...)
	cmd.Env = append(os.Environ(), "GAUGECTL_HOST="+r.operatorHostAddrs())
	cmd.Stdout, cmd.Stderr = os.Stdout, os.Stderr
	return errors.Wrap(cmd.Run(), "gaugectl "+args[0])
}

func (r *runner) showCoverage() error { return r.gaugectl("coverage", r.service, r.search) }

func (r *runner) showSlowReplica() error {
	r.printTitle("fault: replica " + r.slow.addr + " answers " + slowReplicaDelay + " late")
	if err := r.setFaults(`{"slow_by": "` + slowReplicaDelay + `"}`); err != nil {
		return err
	}
	if err := r.showCoverage(); err != nil {
		return err
	}
	time.Sleep(phaseDuration)
	return r.setFaults(`{}`)
}

// setFaults replaces the faults of the slow replica; body is the JSON body of the
// admin call.
func (r *runner) setFaults(body string) error {
	faultsURL := "http://" + r.deployment.BackendAdminAddr(r.slow.dataCentre) + "/v1/replicas/" + url.PathEscape(r.slow.addr) + "/faults"
	request, err := http.NewRequest(http.MethodPut, faultsURL, strings.NewReader(body))
	if err != nil {
		return errors.WithStack(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.WithStack(err)
	}
	_ = response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		return &AdminError{URL: faultsURL, Status: response.Status}
	}
	return nil
}

func (r *runner) showKilledHost() error {
	r.printTitle("fault: entry host " + r.hostToKill + " is killed, then started again")
	r.deployment.Hosts[r.hostToKill].Kill()
	if err := r.showCoverage(); err != nil {
		return err
	}
	time.Sleep(phaseDuration)
	if err := r.deployment.StartHost(r.hostToKill); err != nil {
		return err
	}
	if err := r.deployment.WaitReady(startTimeout, r.hostToKill); err != nil {
		return err
	}
	if err := r.showCoverage(); err != nil {
		return err
	}
	return r.gaugectl("versions")
}

func (r *runner) stop() error {
	r.printTitle("stop " + r.organisation)
	return r.deployment.Stop()
}

// printSummary prints the results of the searches under load.
func (r *runner) printSummary() {
	l := r.load
	fmt.Printf("%s: %d searches of %s/%s during a release note, a slow replica and a killed host\n",
		r.organisation, l.answered+len(l.failures), r.service, r.search)
	fmt.Printf("  answered %d, of these with coverage 1 %d; not answered %d; slowest %s\n",
		l.answered, l.fullCoverage, len(l.failures), l.slowest.Round(time.Millisecond))
	for _, failure := range l.failures {
		fmt.Println("  not answered: " + failure)
	}
	fmt.Printf("  under version 1 %d, under version 2 %d\n", l.versions[1], l.versions[2])
}

func (r *runner) printTitle(text string) { fmt.Printf("\n== %s\n", text) }
