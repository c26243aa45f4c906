// Package soak runs a whole small fleet as real processes under a seeded plan of faults, with
// many programs under way, and checks every promise of the system from the callers' and the
// stand-ins' own records.
//
// The plan and the programs follow from the seed; how the processes interleave does not, so a
// seed repeats a run's faults but not its outcome.
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

// Limits of the parts of a run beside its faults.
const (
	startLimit  = 20 * time.Second
	settleLimit = 60 * time.Second // programs under way when the last fault is healed
	aliveLimit  = 20 * time.Second
	stopTimeout = 15 * time.Second
	memoryPoll  = 200 * time.Millisecond
)

// Options are the soak's own.
type Options struct {
	// Bin is the folder of the programs.
	Bin string
	// Dir is the folder of settings, data, logs and records; empty: a temporary one, which is
	// removed after a run without violations.
	Dir string
	// Seed feeds the faults and the programs.
	Seed int64
	// Duration is how long faults go on.
	Duration time.Duration
	// Verbose prints each fault as it begins.
	Verbose bool
	// Out gets the report.
	Out io.Writer
}

// ErrViolated says that a check was violated; the report names it.
var ErrViolated = errors.New("soak: violated")

// soak is one run.
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

// Run runs the soak and ends all that it started, also when ctx ends first.
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

// under runs the plan with the traffic, heals everything, and lets the programs finish.
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

// carryOut runs the plan's lanes side by side, each to its end.
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

// operate lets the operators of two lanes act one after the other.
func (s *soak) operate(ctx context.Context, f Fault) error {
	s.operators.actMu.Lock()
	defer s.operators.actMu.Unlock()
	return s.operators.do(ctx, f)
}

// everywhere runs one short program of each deployment through each VM alone.
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

// afterwards looks at the healed fleet.
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

// awaitRelease waits until no engine holds memory, or memoryLimit is over.
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

// keep writes records into the run's folder.
func (s *soak) writeRecords(name string, v any) {
	data, err := json.MarshalIndent(v, "", " ")
	if err == nil {
		err = os.WriteFile(filepath.Join(s.dir, name), data, 0o600)
	}
	if err != nil {
		fmt.Fprintf(s.opts.Out, "cannot keep %s: %v\n", name, err)
	}
}
