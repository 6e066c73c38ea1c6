// Package procs starts and stops the real programs as local processes, for the
// demo and for tests that need processes and signals. The programs do not start
// processes themselves.
package procs

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Process is a program that was started as a child process.
type Process struct {
	Name    string
	cmd     *exec.Cmd
	logFile *os.File
	exited  chan struct{}
	err     error // result of cmd.Wait; set before exited is closed
}

// ExitError reports a process that was asked to stop and exited with a status
// other than 0 or by a signal.
type ExitError struct {
	Name string
	Err  error
}

// Error implements error.
func (e *ExitError) Error() string { return "process " + e.Name + " exited: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ExitError) Unwrap() error { return e.Err }

// TimeoutError reports an operation that was not complete within a limit.
type TimeoutError struct {
	Operation string // the operation, such as "stop of badin-1"
	Limit     time.Duration
}

// Error implements error.
func (e *TimeoutError) Error() string { return e.Operation + " timed out after " + e.Limit.String() }

// PortError reports an address of a deployment that can't be listened on, usually
// because another program does.
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

// StartProcess starts a program and returns without waiting for its readiness.
// Standard output and standard error are appended to the file NAME.log in dir.
func StartProcess(name, dir, program string, args ...string) (*Process, error) {
	file, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	p := &Process{Name: name, cmd: exec.Command(program, args...), logFile: file, exited: make(chan struct{})}
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
	_ = p.logFile.Close()
	close(p.exited)
}

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Running reports whether the process has not exited yet.
func (p *Process) Running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Signal sends a signal to the process, but not to its process group.
func (p *Process) Signal(signal syscall.Signal) error {
	return errors.Wrap(p.cmd.Process.Signal(signal), p.Name)
}

// Kill ends the process with SIGKILL and waits until it has exited.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// Stop ends the process with SIGTERM and waits until it has exited. It sends
// SIGCONT first, because a process paused with SIGSTOP does not handle SIGTERM.
// It returns *ExitError when the exit status is not 0, and *TimeoutError when the
// process did not exit within the timeout and was killed.
func (p *Process) Stop(timeout time.Duration) error {
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-p.exited:
	case <-timer.C:
		p.Kill()
		return &TimeoutError{Operation: "stop of " + p.Name, Limit: timeout}
	}
	if p.err != nil {
		return &ExitError{Name: p.Name, Err: p.err}
	}
	return nil
}
