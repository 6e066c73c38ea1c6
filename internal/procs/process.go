// Package procs starts and stops the real programs on one machine, for the
// demo and for tests that need processes and signals. The programs themselves
// start no other process.
package procs

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Process is one running program.
type Process struct {
	Name   string
	cmd    *exec.Cmd
	log    *os.File
	exited chan struct{}
	err    error // set before exited is closed
}

// ExitError reports a program that ended in another way than asked for.
type ExitError struct {
	Name string
	Err  error
}

// Error implements error.
func (e *ExitError) Error() string { return "process " + e.Name + " ended: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ExitError) Unwrap() error { return e.Err }

// TimeoutError reports a wait that took too long.
type TimeoutError struct {
	What  string
	Limit time.Duration
}

// Error implements error.
func (e *TimeoutError) Error() string { return e.What + ": not within " + e.Limit.String() }

// PortError reports an address of a deployment that can't be listened on.
type PortError struct {
	Addr string
	Err  error
}

// Error implements error.
func (e *PortError) Error() string {
	return "address " + e.Addr + " is not free, another deployment may be running: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *PortError) Unwrap() error { return e.Err }

// StartProcess runs a program with its output in a log file of dir.
func StartProcess(name, dir, program string, args ...string) (*Process, error) {
	file, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	p := &Process{Name: name, cmd: exec.Command(program, args...), log: file, exited: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = file, file
	if err := p.cmd.Start(); err != nil {
		_ = file.Close()
		return nil, errors.Wrap(err, name)
	}
	go p.wait()
	return p, nil
}

func (p *Process) wait() {
	p.err = p.cmd.Wait()
	_ = p.log.Close()
	close(p.exited)
}

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Signal sends a signal to this process only.
func (p *Process) Signal(signal syscall.Signal) error {
	return errors.Wrap(p.cmd.Process.Signal(signal), p.Name)
}

// Kill ends the process without notice and waits for it.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// Stop asks the process to end and waits. *ExitError reports another exit code
// than 0, *TimeoutError a process that had to be killed.
func (p *Process) Stop(limit time.Duration) error {
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-p.exited:
	case <-timer.C:
		p.Kill()
		return &TimeoutError{What: "stop of " + p.Name, Limit: limit}
	}
	if p.err != nil {
		return &ExitError{Name: p.Name, Err: p.err}
	}
	return nil
}
