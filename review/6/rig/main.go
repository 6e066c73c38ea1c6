// Command rig runs the cases of the second review that are scripts: it starts the system's
// own processes beside stand-ins of the store, the replicas and the clients, and judges what
// these have seen.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// rig is one run of a case.
type rig struct {
	dir     string // of the case
	temp    string // for settings and logs
	program string
	trouble bool
	log     *record
	ip      string // first three parts of the loopback addresses
	store   *store
	hosts   []*host
}

// cases are the cases by name. Each returns an exit code.
var cases = map[string]func(*rig) int{
	"forgotten-request": forgottenRequest,
	"overwritten-entry": overwrittenEntry,
	"refused-page":      refusedPage,
	"pair":              pairOfRequests,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER PROGRAM")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

// run runs a case and ends all processes that it started.
func run(name, dir, program string) int {
	log, err := newRecord(dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	temp, err := os.MkdirTemp("", "rig-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	r := &rig{
		dir: dir, temp: temp, program: program, log: log, trouble: os.Getenv("TROUBLE") != "0",
		ip: fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250)),
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-stopped
		killAll(r.hosts)
		os.Exit(exitNotRun)
	}()
	defer func() {
		killAll(r.hosts)
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(temp)
		} else {
			fmt.Println("logs in", temp)
		}
	}()
	code := cases[name](r)
	verdict := map[int]string{exitHeld: "the rule held", exitBroken: "the rule was broken", exitNotRun: "the case could not run"}[code]
	log.printf("verdict: %s", verdict)
	fmt.Println(verdict)
	return code
}

// notRun reports why a case could not run.
func (r *rig) notRun(format string, args ...any) int {
	r.log.printf("not run: "+format, args...)
	fmt.Printf("not run: "+format+"\n", args...)
	return exitNotRun
}

// setUp starts the store and the hosts with a first configuration. prepare starts the
// replicas, before the hosts.
func (r *rig) setUp(config map[string]any, prepare func() error) error {
	var err error
	if r.store, err = newStore(r.ip + ".200"); err != nil {
		return err
	}
	r.store.put("op/config", config)
	if err := prepare(); err != nil {
		return err
	}
	r.hosts, err = newHosts(r.log, r.temp, r.program, r.ip, r.store.addr())
	if err != nil {
		return err
	}
	for _, h := range r.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	return nil
}
