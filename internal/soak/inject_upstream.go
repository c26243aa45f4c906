package soak

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"egretramp/internal/fakes"
	"egretramp/internal/harness"
)

// fakeCrashCode is the exit code of a stand-in that crashed on a marked request.
const fakeCrashCode = 3

// poisonRequest is a marked request and the number of upstreams that it crashed.
type poisonRequest struct {
	window
	name    string
	crashes int
}

// recordCrash records a stand-in that crashed on the newest marked request.
func (i *injector) recordCrash(name string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	p := &i.poisons[len(i.poisons)-1]
	p.crashes++
	p.to = time.Now()
	i.logf("%s crashed on %s", name, p.name)
}

// beginPoison registers a new marked request; later crashes are attributed to it.
func (i *injector) beginPoison(poison string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := time.Now()
	i.poisons = append(i.poisons, poisonRequest{window: window{now, now}, name: poison})
}

// restartCrashed restarts a stand-in whenever a marked request crashed it, until ctx ends.
func (i *injector) restartCrashed(ctx context.Context, u *harness.Upstream) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-u.Exited():
		}
		if code, err := u.ExitCode(); err == nil && code == fakeCrashCode && i.claim(u.Name) {
			i.recordCrash(u.Name)
			sleep(ctx, restartPause)
			if err := u.Start(); err != nil {
				i.problem("cannot start %s again: %v", u.Name, err)
			}
			i.release(u.Name)
			continue
		}
		sleep(ctx, repairPoll)
	}
}

func (i *injector) upstreamFault(ctx context.Context, f Fault) error {
	if !i.claim(f.Target) {
		return nil
	}
	defer i.release(f.Target)
	u := i.upstream(f.Target)
	i.count(f.Kind)
	i.logf("%s: %s for %s", f.Kind, f.Target, f.For)
	var faults fakes.Faults
	switch f.Kind {
	case Crash:
		if err := u.Kill(); err != nil && !errors.Is(err, harness.ErrNotRunning) {
			return err
		}
		sleep(ctx, f.For)
		return startUpstream(ctx, u)
	case Depart:
		return i.depart(ctx, u)
	case Silence:
		faults.Silence = true
	case Hang:
		faults.Hang = true
	case Truncate:
		faults.TruncateAfter = 2
	case Late:
		faults.LateMS = 700
	case Cross:
		faults.Crossed = true
	}
	return i.setFaultsFor(ctx, f, u, faults)
}

// ignoreIfCrashed drops err if a marked request crashed the stand-in in the meantime: it restarts
// without the faults. pid is the process ID before.
func ignoreIfCrashed(u *harness.Upstream, pid int, err error) error {
	if err == nil {
		return nil
	}
	// The exit of the process is noticed slightly later than the loss of its connections.
	time.Sleep(restartPause)
	if now, gone := u.PID(); gone != nil || now != pid {
		return nil
	}
	return err
}

// setFaultsFor sets a stand-in's faults for the fault's duration. The crash mark stays set.
func (i *injector) setFaultsFor(ctx context.Context, f Fault, u *harness.Upstream, faults fakes.Faults) error {
	faults.CrashMark = crashMark
	pid, _ := u.PID()
	if err := u.Control.SetFaults(ctx, faults); err != nil {
		return ignoreIfCrashed(u, pid, err)
	}
	sleep(ctx, f.For)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), readyLimit)
	defer cancel()
	return ignoreIfCrashed(u, pid, u.Control.SetFaults(ctx, fakes.Faults{CrashMark: crashMark}))
}

func (i *injector) depart(ctx context.Context, u *harness.Upstream) error {
	limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopLimit)
	defer cancel()
	if _, err := u.Terminate(limited); err != nil && !errors.Is(err, harness.ErrNotRunning) {
		return err
	}
	return startUpstream(ctx, u)
}

// startUpstream starts a stand-in and waits until it is ready.
func startUpstream(ctx context.Context, u *harness.Upstream) error {
	if err := u.Start(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), readyLimit)
	defer cancel()
	err := u.WaitReady(ctx)
	if code, running := u.ExitCode(); running == nil && code == fakeCrashCode {
		return nil // a marked request crashed it at once; restartCrashed starts it again
	}
	return err
}
