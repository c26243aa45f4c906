// Package harness runs daemons and simulated upstreams as separate processes on one machine. It
// writes their settings, starts them, waits until they are ready, kills, freezes, restarts and
// finally stops them. Only the demo, benchmark and soak programs use it; a daemon starts no process.
//
// Every process is signaled by its own PID. A process that the harness started doesn't outlive the
// program that uses the harness, no matter how that program ends.
package harness

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// logTailBytes is the number of bytes at the end of a log that an error includes.
const logTailBytes = 2000

// ErrNotRunning is returned for a process that was not started or has exited.
var ErrNotRunning = errors.New("harness: process is not running")

// Process is a program with fixed arguments that can be started repeatedly.
type Process struct {
	Name string
	path string
	args []string
	log  string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// NewProcess returns a process that is not started yet. Its output is appended to a file in logs.
func NewProcess(name, logs, path string, args ...string) *Process {
	return &Process{Name: name, path: path, args: args, log: filepath.Join(logs, name+".log")}
}

// Start starts the process. It fails if the process is running.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running() {
		return errors.Newf("harness: %s is already running", p.Name)
	}
	out, err := os.OpenFile(p.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "harness: cannot open the log")
	}
	defer out.Close()
	cmd := exec.Command(p.path, p.args...)
	cmd.Stdout, cmd.Stderr = out, out
	// A separate process group keeps Ctrl-C in the terminal from reaching the process, so that the
	// harness can stop all processes in order.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return errors.Wrapf(err, "harness: cannot start %s", p.Name)
	}
	exited := make(chan struct{})
	p.cmd, p.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

func (p *Process) running() bool {
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Running reports whether the process was started and hasn't exited.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running()
}

// Exited returns a channel that is closed when the process exits. It is nil before the first start.
func (p *Process) Exited() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exited
}

// ExitCode returns the exit code of a process that has exited, or -1 if a signal terminated it.
func (p *Process) ExitCode() (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.running() {
		return 0, errors.Newf("harness: %s has not exited", p.Name)
	}
	return p.cmd.ProcessState.ExitCode(), nil
}

// PID returns the ID of the running process.
func (p *Process) PID() (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.running() {
		return 0, errors.Wrap(ErrNotRunning, p.Name)
	}
	return p.cmd.Process.Pid, nil
}

func (p *Process) signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.running() {
		return errors.Wrap(ErrNotRunning, p.Name)
	}
	// os.Process sends no signal to a process that was waited for, so a reused PID is never signaled.
	return p.cmd.Process.Signal(s)
}

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() error {
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.Exited()
	return nil
}

// Freeze suspends the process with SIGSTOP.
func (p *Process) Freeze() error {
	return p.signal(syscall.SIGSTOP)
}

// Thaw resumes a frozen process with SIGCONT.
func (p *Process) Thaw() error {
	return p.signal(syscall.SIGCONT)
}

// Terminate sends SIGTERM, resumes the process if it is frozen, and kills it if ctx ends before it
// exits. It reports whether the process exited without being killed.
func (p *Process) Terminate(ctx context.Context) (graceful bool, err error) {
	if err := p.signal(syscall.SIGTERM); err != nil {
		return false, err
	}
	_ = p.Thaw()
	select {
	case <-p.Exited():
		return true, nil
	case <-ctx.Done():
		return false, p.Kill()
	}
}

// Restart terminates the process, kills it if it doesn't exit within limit, and starts it again.
func (p *Process) Restart(limit time.Duration) error {
	if p.Running() {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		if _, err := p.Terminate(ctx); err != nil && !errors.Is(err, ErrNotRunning) {
			return err
		}
	}
	return p.Start()
}

// LogTail returns the end of the process's output, for error messages.
func (p *Process) LogTail() string {
	data, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-logTailBytes):])
}
