// Package harness runs daemons and stand-ins as separate processes on one machine: it writes
// their settings, starts them, waits until they are ready, kills, freezes and restarts them,
// and ends them all. Only the demo and soak programs use it; a daemon starts no process.
//
// Every process is ended by its own PID. A process that the harness started does not outlive
// the program that uses it, whichever way that ends.
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

// logTailBytes is how much of a log an error quotes. Bytes.
const logTailBytes = 2000

// ErrNotRunning says that a process was not started, or has ended.
var ErrNotRunning = errors.New("harness: process is not running")

// Process is one program with fixed arguments that is started once or more.
type Process struct {
	Name string
	path string
	args []string
	log  string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// NewProcess describes a process whose output is appended to a file in logs.
func NewProcess(name, logs, path string, args ...string) *Process {
	return &Process{Name: name, path: path, args: args, log: filepath.Join(logs, name+".log")}
}

// Start starts the process. It must not be running.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running() {
		return errors.Newf("harness: %s is running already", p.Name)
	}
	out, err := os.OpenFile(p.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "harness: cannot open the log")
	}
	defer out.Close()
	cmd := exec.Command(p.path, p.args...)
	cmd.Stdout, cmd.Stderr = out, out
	// A process group of its own keeps Ctrl-C from it: the harness ends it in order.
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

// Running reports whether the process was started and has not ended.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running()
}

// Exited is closed when the process ends. It is nil before the first start.
func (p *Process) Exited() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exited
}

// ExitCode returns the exit code of a process that ended, -1 if a signal ended it.
func (p *Process) ExitCode() (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.running() {
		return 0, errors.Newf("harness: %s has not ended", p.Name)
	}
	return p.cmd.ProcessState.ExitCode(), nil
}

// PID returns the process ID.
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
	// os.Process knows a process that was waited for, so that a reused PID is never hit.
	return p.cmd.Process.Signal(s)
}

// Kill ends the process at once and waits until it is gone.
func (p *Process) Kill() error {
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.Exited()
	return nil
}

// Freeze stops the process without ending it.
func (p *Process) Freeze() error {
	return p.signal(syscall.SIGSTOP)
}

// Thaw lets a frozen process go on.
func (p *Process) Thaw() error {
	return p.signal(syscall.SIGCONT)
}

// Terminate asks the process to end and kills it when ctx ends first. It reports whether the
// process ended by itself.
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

// Restart ends the process gracefully within limit, or kills it, and starts it again.
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

// LogTail returns the end of the process's output.
func (p *Process) LogTail() string {
	data, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-logTailBytes):])
}
