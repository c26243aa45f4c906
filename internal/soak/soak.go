// Package soak runs a complete small fleet as real processes under a seeded plan of faults, with
// many concurrent programs, and checks every guarantee of the system against the records of the
// callers and the stand-ins.
//
// The seed determines the plan and the programs but not how the processes interleave, so a seed
// reproduces a run's faults but not its outcome.
package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"egretramp/internal/config"
	"egretramp/internal/harness"
	"egretramp/internal/workload"
)

// Time limits of the phases of a run around its faults.
const (
	startLimit  = 20 * time.Second
	settleLimit = 60 * time.Second // for programs still running at the end of the faults
	aliveLimit  = 20 * time.Second
	stopTimeout = 15 * time.Second
	memoryPoll  = 200 * time.Millisecond
)

// Options configures a soak run.
type Options struct {
	// Bin is the folder of the executables.
	Bin string
	// Dir is the folder of settings, data, logs and records. If it is empty, a temporary folder
	// is used, which is removed after a run without violations.
	Dir string
	// Seed determines the faults and the programs.
	Seed int64
	// Duration is how long faults are injected.
	Duration time.Duration
	// Verbose prints each fault as it begins.
	Verbose bool
	// Out receives the report.
	Out io.Writer
}

// ErrViolated reports that at least one check was violated; the report names it.
var ErrViolated = errors.New("soak: violated")

// soak holds the state of one run.
type soak struct {
	opts         Options
	dir          string
	startedAt    time.Time
	participants *participants
	fleet        *harness.Fleet
	inject       *injector
	operators    *operators
	traffic      *traffic
	poller       poller
	warmUp       workload.Recorder

	logMu sync.Mutex

	memory      []workload.EngineMemory
	releaseTime time.Duration
	alive       workload.Result
	newest      workload.Result
	access      []workload.Result
}

// Run runs the soak and stops all processes that it started, also when ctx ends first.
func Run(ctx context.Context, opts Options) (err error) {
	s := &soak{opts: opts, dir: opts.Dir, startedAt: time.Now(), participants: newParticipants()}
	if s.dir == "" {
		s.dir, err = os.MkdirTemp("", "egretramp-soak-")
		if err != nil {
			return errors.Wrap(err, "soak: cannot make a folder")
		}
	}
	s.fleet, err = harness.New(harness.Options{
		Bin: opts.Bin, Dir: s.dir, Zones: zones, FaultInjection: true, Protected: true,
		ShutdownLimitSeconds: shutdownLimit.Seconds(),
	})
	if err != nil {
		return err
	}
	s.inject = newInjector(s.fleet, s.logf)
	s.operators = newOperators(s.participants, s.fleet, opts.Seed, s.logf)
	s.traffic = newTraffic(s.participants, s.fleet, opts.Seed)
	defer s.traffic.caller.Close()
	err = s.runAndStop(ctx)
	if err != nil {
		fmt.Fprintf(opts.Out, "seed %d: settings, logs and records are kept in %s\n", opts.Seed, s.dir)
		return err
	}
	if opts.Dir == "" {
		_ = os.RemoveAll(s.dir)
	}
	return nil
}

func (s *soak) logf(format string, args ...any) {
	if !s.opts.Verbose {
		return
	}
	s.logMu.Lock()
	defer s.logMu.Unlock()
	fmt.Fprintf(s.opts.Out, "%7.3f s  %s\n", time.Since(s.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

func (s *soak) runAndStop(ctx context.Context) error {
	defer s.fleet.Stop(stopTimeout)
	if err := s.start(ctx); err != nil {
		return err
	}
	s.runUnderFaults(ctx)
	if err := ctx.Err(); err != nil {
		return err
	}
	e, err := s.collectEvidence(ctx)
	if err != nil {
		return err
	}
	return s.report(e)
}

// start starts all processes and puts the first file in force.
func (s *soak) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	if err := s.participants.addUpstreams(s.fleet); err != nil {
		return err
	}
	if err := s.fleet.StartVMs(ctx); err != nil {
		return err
	}
	if err := s.operators.change(ctx); err != nil {
		return err
	}
	if err := s.fleet.StartUpstreams(ctx, nil); err != nil {
		return err
	}
	warm := s.runThroughEveryVM(ctx, &s.warmUp, "warm-up")
	if warm.Violated > 0 {
		return errors.Newf("soak: the fleet does not work before any fault: %v", warm.Details)
	}
	return nil
}

// runUnderFaults runs the plan along with the traffic, heals all faults, waits for the programs
// to finish, and checks the healed fleet.
func (s *soak) runUnderFaults(ctx context.Context) {
	running, stop := context.WithCancel(ctx)
	defer stop()
	var background conc.WaitGroup
	for _, vm := range s.fleet.VMs {
		background.Go(func() { s.poller.run(running, vm) })
		background.Go(func() { s.inject.links.keepApplied(running, vm) })
	}
	for _, u := range s.fleet.Upstreams {
		background.Go(func() { s.inject.restartCrashed(running, u) })
	}
	faults, end := context.WithTimeout(ctx, s.opts.Duration)
	defer end()
	awaitApplied, unsettled := context.WithTimeout(ctx, s.opts.Duration+settleLimit)
	defer unsettled()
	var programs, callers conc.WaitGroup
	programs.Go(func() { s.traffic.runPrograms(awaitApplied, faults) })
	for _, each := range []func(context.Context){s.traffic.sendFloods, s.traffic.useWithdrawnKeys, s.traffic.sendUnauthorized} {
		callers.Go(func() { each(faults) })
	}
	s.runPlan(ctx)
	healing, cancel := context.WithTimeout(ctx, startLimit)
	s.inject.heal(healing)
	cancel()
	s.logf("healed")
	callers.Wait()
	programs.Wait()
	s.logf("programs ended")
	s.checkHealedFleet(ctx)
	stop()
	background.Wait()
}

// runPlan runs the plan's lanes in parallel until all are done.
func (s *soak) runPlan(ctx context.Context) {
	plan := NewPlan(s.opts.Seed, s.opts.Duration, s.participants.shape(s.fleet))
	begin := time.Now()
	var wg conc.WaitGroup
	for _, lane := range plan.Lanes {
		wg.Go(func() {
			for n, f := range lane {
				sleep(ctx, f.At-time.Since(begin))
				if ctx.Err() != nil {
					return
				}
				s.do(ctx, f, n)
			}
		})
	}
	wg.Wait()
}

func (s *soak) do(ctx context.Context, f Fault, n int) {
	switch f.Kind {
	case ChangeRate, Race, Resend, WithdrawKey:
		s.inject.count(f.Kind)
		if err := s.operate(ctx, f); err != nil && ctx.Err() == nil {
			s.inject.problem("operators: %s: %v", f.Kind, err)
		}
	case Poison:
		s.inject.count(f.Kind)
		name := fmt.Sprintf("poison-%d", n+1)
		s.inject.beginPoison(name)
		s.traffic.poison(ctx, name)
	default:
		s.inject.do(ctx, f)
	}
}

// operate serializes the operator actions of different lanes.
func (s *soak) operate(ctx context.Context, f Fault) error {
	s.operators.actMu.Lock()
	defer s.operators.actMu.Unlock()
	return s.operators.do(ctx, f)
}

// runThroughEveryVM runs, for each VM, one short program of each deployment through that VM only.
func (s *soak) runThroughEveryVM(ctx context.Context, r *workload.Recorder, prefix string) workload.Result {
	result := workload.Result{Name: prefix}
	var mu sync.Mutex
	var wg conc.WaitGroup
	for i, vm := range s.fleet.VMs {
		caller := workload.NewCaller(workload.CallerOptions{
			VMs: []string{vm.Settings.Listen.Callers}, Keys: s.participants.keys(), Seed: s.opts.Seed, Persistent: true,
		}, r)
		for _, d := range s.participants.deployments {
			g := workload.NewGenerator(s.opts.Seed+int64(i), d)
			g.MaxTurns = 1
			program := g.Next()
			program.Rename(fmt.Sprintf("%s-%d", prefix, i))
			wg.Go(func() {
				o := caller.Run(ctx, program)
				mu.Lock()
				defer mu.Unlock()
				result.Tried++
				if !o.Finished {
					result.Violate("%s/%s through %s: %s", program.Account, program.Name, vm.Name, o.Reason)
				}
			})
		}
	}
	wg.Wait()
	return result
}

// checkHealedFleet collects the evidence that the fleet recovered after all faults were healed.
func (s *soak) checkHealedFleet(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, aliveLimit)
	s.alive = s.runThroughEveryVM(limited, &s.traffic.recorder, "afterwards")
	cancel()
	s.logf("new programs ended")
	s.newest = s.generations(ctx)
	for _, d := range s.participants.deployments {
		s.access = append(s.access, s.traffic.caller.ProbeAccess(ctx, d))
	}
	s.awaitRelease(ctx)
	s.logf("engine memory looked at")
}

func (s *soak) generations(ctx context.Context) workload.Result {
	r := workload.Result{Name: "generations"}
	for _, vm := range s.fleet.VMs {
		r.Tried++
		status, err := vm.Status(ctx)
		if err != nil || status.Generation != s.operators.generation {
			r.Violate("%s has generation %d in place of %d (%v)", vm.Name, status.Generation, s.operators.generation, err)
		}
	}
	return r
}

// awaitRelease waits until no engine holds memory, or memoryLimit has passed.
func (s *soak) awaitRelease(ctx context.Context) {
	begin := time.Now()
	for {
		held := s.readMemory(ctx)
		s.releaseTime = time.Since(begin)
		if !held || ctx.Err() != nil || s.releaseTime > memoryLimit {
			return
		}
		sleep(ctx, memoryPoll)
	}
}

func (s *soak) readMemory(ctx context.Context) (held bool) {
	s.memory = nil
	for _, u := range s.fleet.Upstreams {
		if u.Spec.Kind != config.KindEngine {
			continue
		}
		sessions, err := u.Control.Sessions(ctx)
		if err != nil {
			s.inject.problem("%s does not tell its sessions: %v", u.Name, err)
		}
		held = held || len(sessions) > 0
		s.memory = append(s.memory, workload.EngineMemory{Upstream: u.Name, Sessions: sessions})
	}
	return held
}

// writeRecords writes records as JSON into the run's folder.
func (s *soak) writeRecords(name string, v any) {
	data, err := json.MarshalIndent(v, "", " ")
	if err == nil {
		err = os.WriteFile(filepath.Join(s.dir, name), data, 0o600)
	}
	if err != nil {
		fmt.Fprintf(s.opts.Out, "cannot keep %s: %v\n", name, err)
	}
}
