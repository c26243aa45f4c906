package soak

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"egretramp/internal/config"
	"egretramp/internal/fakes"
	"egretramp/internal/harness"
)

// Limits and pauses of the injector.
const (
	readyLimit = 20 * time.Second // for a started VM to answer and reach the control group
	stopLimit  = shutdownLimit + 5*time.Second
	// repairLimit bounds how long the replicas of a lost disk take to be replaced.
	repairLimit = 20 * time.Second
	repairPoll  = 100 * time.Millisecond
	// restartPause is how long a crashed stand-in stays down.
	restartPause = 500 * time.Millisecond
)

// shutdown records one SIGTERM of a VM.
type shutdown struct {
	vm       string // address of its listener for callers
	name     string
	from, to time.Time
	graceful bool
	// code is the exit code of a VM that exited by itself.
	code int
}

// injector injects faults and records what the checks need about them.
type injector struct {
	fleet   *harness.Fleet
	links   *links
	outages *outages
	logf    func(format string, args ...any)

	mu         sync.Mutex
	busy       map[string]bool // VMs and upstreams with an active fault
	done       map[Kind]int
	shutdowns  []shutdown
	problems   []string
	poisons    []poisonRequest
	partitions []window // periods in which some VMs were cut off from all others
	repairs    []time.Duration
}

func newInjector(f *harness.Fleet, logf func(string, ...any)) *injector {
	return &injector{
		fleet: f, links: newLinks(f.VMs), outages: newOutages(), logf: logf,
		busy: map[string]bool{}, done: map[Kind]int{},
	}
}

// claim reserves targets for a fault. It returns false if one of them has another active fault.
func (i *injector) claim(names ...string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, n := range names {
		if i.busy[n] {
			return false
		}
	}
	for _, n := range names {
		i.busy[n] = true
	}
	return true
}

func (i *injector) release(names ...string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, n := range names {
		delete(i.busy, n)
	}
}

func (i *injector) count(k Kind) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.done[k]++
}

func (i *injector) problem(format string, args ...any) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.problems = append(i.problems, fmt.Sprintf(format, args...))
}

func (i *injector) vm(name string) *harness.VM {
	for _, vm := range i.fleet.VMs {
		if vm.Name == name {
			return vm
		}
	}
	return nil
}

func (i *injector) upstream(name string) *harness.Upstream {
	for _, u := range i.fleet.Upstreams {
		if u.Name == name {
			return u
		}
	}
	return nil
}

// do injects one fault of a VM, a link or an upstream and returns when it is over.
func (i *injector) do(ctx context.Context, f Fault) {
	var err error
	switch f.Kind {
	case KillVM, FreezeVM, RestartVM, IsolateVM, LoseDisk, LoseMajority:
		err = i.vmFault(ctx, f)
	case CutZone, CutPair, CutOneWay:
		i.cutLinks(ctx, f)
	default:
		err = i.upstreamFault(ctx, f)
	}
	if err != nil && ctx.Err() == nil {
		i.problem("%s of %s: %v", f.Kind, f.Target, err)
	}
}

func (i *injector) cutLinks(ctx context.Context, f Fault) {
	list := []linkCut{{f.Target, f.Other}}
	var unreachable []string
	switch f.Kind {
	case CutPair:
		list = between([]string{f.Target}, []string{f.Other})
	case CutZone:
		var others []string
		for _, vm := range i.fleet.VMs {
			if vm.Settings.Zone == f.Target {
				unreachable = append(unreachable, vm.Name)
				continue
			}
			others = append(others, vm.Name)
		}
		list = between(unreachable, others)
	}
	i.logf("%s: %s %s for %s", f.Kind, f.Target, f.Other, f.For)
	i.cutFor(ctx, f, list, unreachable)
}

// cutFor cuts links for the fault's duration. The VMs count as unreachable until they and their
// peers have applied the healed links, or for 2 s after the healing at most.
func (i *injector) cutFor(ctx context.Context, f Fault, list []linkCut, unreachable []string) {
	i.count(f.Kind)
	partition := window{from: time.Now()}
	i.outages.begin(partition.from, unreachable...)
	i.links.cut(list)
	sleep(ctx, f.For)
	i.links.heal(list)
	limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), 2*time.Second)
	i.links.awaitApplied(limited)
	cancel()
	partition.to = time.Now()
	i.outages.end(partition.to, unreachable...)
	if len(unreachable) > 0 {
		i.mu.Lock()
		defer i.mu.Unlock()
		i.partitions = append(i.partitions, partition)
	}
}

func (i *injector) vmFault(ctx context.Context, f Fault) error {
	names := []string{f.Target}
	if f.Kind == LoseDisk || f.Kind == LoseMajority {
		names = append(names, f.Other)
	}
	if !i.claim(names...) {
		return nil
	}
	defer i.release(names...)
	vm := i.vm(f.Target)
	i.logf("%s: %v for %s", f.Kind, names, f.For)
	switch f.Kind {
	case KillVM:
		return i.kill(ctx, f, vm)
	case FreezeVM:
		return i.freeze(ctx, f, vm)
	case RestartVM:
		return i.restart(ctx, f, vm)
	case IsolateVM:
		i.isolate(ctx, f)
		return nil
	case LoseDisk:
		return i.loseDisk(ctx, f, vm, i.vm(f.Other))
	default:
		return i.kill(ctx, f, vm, i.vm(f.Other))
	}
}

// kill sends SIGKILL to VMs and starts them again after the fault's duration.
func (i *injector) kill(ctx context.Context, f Fault, vms ...*harness.VM) error {
	i.count(f.Kind)
	for _, vm := range vms {
		i.outages.begin(time.Now(), vm.Name)
		if err := vm.Kill(); err != nil {
			return err
		}
	}
	sleep(ctx, f.For)
	for _, vm := range vms {
		if err := vm.Start(); err != nil {
			return err
		}
	}
	for _, vm := range vms {
		if err := i.awaitReady(ctx, vm); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady waits until a started VM answers and reaches the control group, and ends its outage.
func (i *injector) awaitReady(ctx context.Context, vm *harness.VM) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), readyLimit)
	defer cancel()
	err := vm.WaitReady(ctx)
	i.outages.end(time.Now(), vm.Name)
	return err
}

func (i *injector) freeze(ctx context.Context, f Fault, vm *harness.VM) error {
	i.count(f.Kind)
	i.outages.begin(time.Now(), vm.Name)
	if err := vm.Freeze(); err != nil {
		return err
	}
	// At least 4 s, which is longer than every lease.
	sleep(ctx, max(f.For, 4*time.Second))
	err := vm.Thaw()
	i.outages.end(time.Now(), vm.Name)
	return err
}

func (i *injector) restart(ctx context.Context, f Fault, vm *harness.VM) error {
	i.count(f.Kind)
	s := shutdown{vm: vm.Settings.Listen.Callers, name: vm.Name, from: time.Now()}
	i.outages.begin(s.from, vm.Name)
	limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopLimit)
	defer cancel()
	graceful, err := vm.Terminate(limited)
	if err != nil {
		return err
	}
	s.to, s.graceful = time.Now(), graceful
	s.code, _ = vm.ExitCode()
	i.mu.Lock()
	i.shutdowns = append(i.shutdowns, s)
	i.mu.Unlock()
	if err := vm.Start(); err != nil {
		return err
	}
	return i.awaitReady(ctx, vm)
}

func (i *injector) isolate(ctx context.Context, f Fault) {
	var others []string
	for _, vm := range i.fleet.VMs {
		others = append(others, vm.Name)
	}
	i.cutFor(ctx, f, between([]string{f.Target}, others), []string{f.Target})
}

// loseDisk kills a control VM, erases its data and starts it again, waits until its replicas are
// replaced, and then kills a second control VM.
func (i *injector) loseDisk(ctx context.Context, f Fault, vm, second *harness.VM) error {
	i.count(f.Kind)
	i.outages.begin(time.Now(), vm.Name)
	if err := vm.Kill(); err != nil {
		return err
	}
	if err := vm.EraseData(); err != nil {
		return err
	}
	if err := vm.Start(); err != nil {
		return err
	}
	begin := time.Now()
	limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), repairLimit)
	defer cancel()
	err := awaitRepair(limited, vm)
	i.mu.Lock()
	i.repairs = append(i.repairs, time.Since(begin))
	i.mu.Unlock()
	if err := errors.CombineErrors(err, i.awaitReady(ctx, vm)); err != nil {
		return err
	}
	return i.kill(ctx, Fault{Kind: KillVM, For: f.For}, second)
}

// heal clears all remaining faults and starts the processes that have ended.
func (i *injector) heal(ctx context.Context) {
	for _, vm := range i.fleet.VMs {
		_ = vm.Thaw()
		if !vm.Running() {
			_ = vm.Start()
		}
	}
	for _, u := range i.fleet.Upstreams {
		if !u.Running() {
			_ = u.Start()
		}
		if u.Spec.Kind != config.KindWeightStore && u.WaitReady(ctx) == nil {
			_ = u.Control.SetFaults(ctx, fakes.Faults{CrashMark: crashMark})
		}
	}
	i.links.awaitApplied(ctx)
}
