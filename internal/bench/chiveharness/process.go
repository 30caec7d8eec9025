package chiveharness

import (
	"os"
	"os/exec"
	"syscall"
	"time"
)

// Process is a process of a fleet. Its output goes to a log file.
type Process struct {
	Name string

	cmd *exec.Cmd
	// exited is closed when the process has exited. exitErr is valid from then on.
	exited  chan struct{}
	exitErr error
}

// startProcess starts a program and appends its output to a log file.
func startProcess(name, program, logPath string, args ...string) (*Process, error) {
	logFile, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer func() { _ = logFile.Close() }()
	p := &Process{Name: name, cmd: exec.Command(program, args...), exited: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = logFile, logFile
	if err := p.cmd.Start(); err != nil {
		return nil, Error.Wrap(err)
	}
	go func() {
		p.exitErr = p.cmd.Wait()
		close(p.exited)
	}()
	return p, nil
}

// Signal sends a signal to the process. It does nothing if the process has exited.
func (p *Process) Signal(s syscall.Signal) {
	_ = p.cmd.Process.Signal(s)
}

// Suspend stops the process with SIGSTOP until Resume.
func (p *Process) Suspend() {
	p.Signal(syscall.SIGSTOP)
}

// Resume continues a suspended process.
func (p *Process) Resume() {
	p.Signal(syscall.SIGCONT)
}

// Kill kills the process and waits until it has exited.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.exited
}

// Running reports whether the process has not exited.
func (p *Process) Running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// PID returns the process ID.
func (p *Process) PID() int {
	return p.cmd.Process.Pid
}

// WaitExit waits until the process exits. It returns an error if that takes longer than
// the timeout or the exit status is not 0.
func (p *Process) WaitExit(timeout time.Duration) error {
	select {
	case <-p.exited:
	case <-time.After(timeout):
		return Error.New("process %s did not exit within %v", p.Name, timeout)
	}
	if p.exitErr != nil {
		return Error.New("process %s failed: %v", p.Name, p.exitErr)
	}
	return nil
}
