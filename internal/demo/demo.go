// Package demo runs a complete small fleet on one machine, with daemons and simulated upstreams as
// processes and accounts and programs modeled on two deployments. Its report of measurements and
// checks uses only the records of callers and simulated upstreams.
package demo

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"

	"egretramp/internal/harness"
	"egretramp/internal/workload"
)

// Time limits of the whole demo, excluding its shutdown, and of its steps.
const (
	runLimit      = 45 * time.Second
	startLimit    = 10 * time.Second
	applyLimit    = 10 * time.Second
	warmUpLimit   = 8 * time.Second
	programsLimit = 18 * time.Second
	idleTime      = 3 * time.Second
	stopLimit     = 7 * time.Second
	releaseLimit  = 5 * time.Second
	releasePoll   = 100 * time.Millisecond
)

const (
	// concurrency is the number of programs that run at the same time.
	concurrency = 16
	// maxTurns limits the length of a program, in chat turns.
	maxTurns = 16
	// probeFraction is the fraction of turns that are followed by a repeated or premature turn.
	probeFraction = 0.1
	// rateJitter is the largest difference between the delays of two requests to an upstream.
	rateJitter = 100 * time.Millisecond
)

// Options configures the demo.
type Options struct {
	// Bin is the folder of the program binaries.
	Bin string
	// Dir is the folder of settings, data and logs. If empty, a temporary folder is used, which is
	// removed after a run without failures.
	Dir string
	// Programs is the number of programs of each deployment.
	Programs int
	// Seed seeds the generators of programs.
	Seed int64
	// Out receives progress messages and the report.
	Out io.Writer
}

// ErrFailed is returned if a program did not finish or a check was violated. The report names it.
var ErrFailed = errors.New("demo: failed")

// demo is the state of one run.
type demo struct {
	opts         Options
	dir          string
	fleet        *harness.Fleet
	warmUp       workload.Recorder
	main         workload.Recorder
	samples      []sample
	engineMemory []workload.EngineMemory
	report       report

	mu     sync.Mutex
	killed []string // departing upstreams that did not exit on SIGTERM
}

// Run runs the demo and stops all processes that it started, even if ctx ends first.
func Run(ctx context.Context, opts Options) (err error) {
	d := &demo{opts: opts, dir: opts.Dir}
	if d.dir == "" {
		d.dir, err = os.MkdirTemp("", "egretramp-demo-")
		if err != nil {
			return errors.Wrap(err, "demo: cannot create a folder")
		}
		defer d.removeDir(&err)
	}
	d.fleet, err = harness.New(harness.Options{Bin: opts.Bin, Dir: d.dir, Zones: zones, Protected: true})
	if err != nil {
		return err
	}
	if err := d.runAndStop(ctx); err != nil {
		return err
	}
	d.report.print(opts.Out)
	if d.report.failed() {
		return ErrFailed
	}
	return nil
}

// removeDir removes the temporary folder unless the run failed.
func (d *demo) removeDir(err *error) {
	if *err != nil {
		d.printf("settings, logs and records are kept in %s", d.dir)
		return
	}
	_ = os.RemoveAll(d.dir)
}

func (d *demo) printf(format string, args ...any) {
	fmt.Fprintf(d.opts.Out, format+"\n", args...)
}

func (d *demo) runAndStop(ctx context.Context) error {
	err := d.run(ctx)
	killed := append(d.fleet.Stop(stopLimit), d.killed...)
	all := len(d.fleet.VMs) + len(d.fleet.Upstreams)
	d.report.addStopCheck(all, killed)
	d.printf("ended %d processes, %d of them by force %v", all, len(killed), killed)
	return err
}

func (d *demo) run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, runLimit)
	defer cancel()
	steps := []struct {
		name  string
		limit time.Duration
		do    func(context.Context) error
	}{
		{"daemons and stand-ins started", startLimit, d.start},
		{"operators' file applied", applyLimit, d.apply},
		{"first calls answered through every VM", warmUpLimit, d.runWarmUp},
		{"programs ended", programsLimit, d.programs},
		{"idle for a while", 2 * idleTime, d.measureIdle},
		{"engine memory looked at", 2 * releaseLimit, d.awaitMemoryRelease},
		{"records collected", startLimit, d.collect},
	}
	for _, s := range steps {
		begin := time.Now()
		limited, cancel := context.WithTimeout(ctx, s.limit)
		err := s.do(limited)
		cancel()
		if err != nil {
			return err
		}
		d.printf("%s: %.1f s", s.name, time.Since(begin).Seconds())
	}
	return nil
}

func (d *demo) start(ctx context.Context) error {
	if err := addUpstreams(d.fleet); err != nil {
		return err
	}
	if err := d.fleet.StartVMs(ctx); err != nil {
		return err
	}
	var keys []string
	for _, k := range workload.Keys(deployments()...) {
		keys = append(keys, k)
	}
	return d.fleet.StartUpstreams(ctx, keys)
}

func (d *demo) apply(ctx context.Context) error {
	path := filepath.Join(d.dir, "operators.json")
	if err := harness.WriteJSON(path, workload.OperatorsFile(1, classes(), deployments()...)); err != nil {
		return err
	}
	out, err := d.fleet.Apply(ctx, d.fleet.VMs[0], path)
	if err != nil {
		return err
	}
	d.printf("%s", out)
	return nil
}

// runWarmUp runs a short program of each deployment through each VM alone, so that all VMs have
// discovered the upstreams before the measured programs start.
func (d *demo) runWarmUp(ctx context.Context) error {
	p := pool.New().WithErrors().WithFirstError()
	for i, vm := range d.fleet.CallerAddresses() {
		caller := d.caller(&d.warmUp, []string{vm})
		for _, deployment := range deployments() {
			g := workload.NewGenerator(d.opts.Seed+int64(i), deployment)
			g.MaxTurns = 1
			program := g.Next()
			program.Rename(fmt.Sprintf("warm-up-%d-%s", i, program.Name))
			p.Go(func() error {
				if o := caller.Run(ctx, program); !o.Finished {
					return errors.Newf("demo: %s through %s: %s", program.Name, vm, o.Reason)
				}
				return nil
			})
		}
	}
	return p.Wait()
}

func (d *demo) caller(r *workload.Recorder, vms []string) *workload.Caller {
	return workload.NewCaller(workload.CallerOptions{
		VMs:       vms,
		Keys:      workload.Keys(deployments()...),
		Seed:      d.opts.Seed,
		ProbePart: probeFraction,
	}, r)
}

// programs runs the measured programs.
func (d *demo) programs(ctx context.Context) error {
	d.sample(ctx)
	caller := d.caller(&d.main, d.fleet.CallerAddresses())
	defer caller.Close()
	var generators []*workload.Generator
	for _, deployment := range deployments() {
		g := workload.NewGenerator(d.opts.Seed, deployment)
		g.MaxTurns = maxTurns
		generators = append(generators, g)
	}
	var leaving conc.WaitGroup
	leaving.Go(func() { d.terminateDeparting(ctx) })
	defer leaving.Wait()
	p := pool.New().WithMaxGoroutines(concurrency)
	for _, program := range workload.Mix(d.opts.Seed, d.opts.Programs, generators...) {
		p.Go(func() { caller.Run(ctx, program) })
	}
	p.Wait()
	d.sample(ctx)
	for _, deployment := range deployments() {
		d.report.results = append(d.report.results, caller.ProbeAccess(ctx, deployment))
	}
	return nil
}

// terminateDeparting terminates the departing upstreams gracefully while programs run.
func (d *demo) terminateDeparting(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(departAfter):
	}
	var wg conc.WaitGroup
	for _, u := range d.fleet.Upstreams {
		if slices.Contains(departing, u.Name) {
			wg.Go(func() { d.terminateUpstream(ctx, u) })
		}
	}
	wg.Wait()
}

func (d *demo) terminateUpstream(ctx context.Context, u *harness.Upstream) {
	graceful, err := u.Terminate(ctx)
	if err != nil || !graceful {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.killed = append(d.killed, u.Name)
	}
}

// measureIdle samples the usage of the fleet over idleTime without callers.
func (d *demo) measureIdle(ctx context.Context) error {
	d.sample(ctx)
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(idleTime):
	}
	d.sample(ctx)
	return nil
}
