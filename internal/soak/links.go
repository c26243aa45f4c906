package soak

import (
	"context"
	"slices"
	"sync"
	"time"

	"egretramp/internal/admin/api"
	"egretramp/internal/harness"
)

// linkPoll is the interval at which the links of each VM are checked and retried.
const linkPoll = 200 * time.Millisecond

// linkCut drops all traffic from one VM to another.
type linkCut struct {
	from, to string
}

// links tracks which links are cut and applies the cuts to the VMs. A VM loses its cuts when it
// restarts and receives none while it is frozen, so they are sent again until they are applied.
// It is safe for concurrent use.
type links struct {
	vms []*harness.VM

	mu      sync.Mutex
	cuts    map[linkCut]int // number of active faults that cut the link
	applied map[string]appliedLinks
}

// appliedLinks is the setting that a VM process last accepted.
type appliedLinks struct {
	pid   int
	links api.Links
}

func newLinks(vms []*harness.VM) *links {
	return &links{vms: vms, cuts: map[linkCut]int{}, applied: map[string]appliedLinks{}}
}

// between returns the cuts of all links between two sets of VMs.
func between(a, b []string) []linkCut {
	var list []linkCut
	for _, x := range a {
		for _, y := range b {
			if x != y {
				list = append(list, linkCut{x, y}, linkCut{y, x})
			}
		}
	}
	return list
}

func (l *links) cut(list []linkCut)  { l.change(list, 1) }
func (l *links) heal(list []linkCut) { l.change(list, -1) }

func (l *links) change(list []linkCut, by int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range list {
		l.cuts[c] += by
	}
}

// wanted returns the cuts that a VM must apply. A cut is applied at the sender, and also at the
// receiver if both directions are cut.
func (l *links) wanted(vm string) api.Links {
	l.mu.Lock()
	defer l.mu.Unlock()
	links := api.Links{Cut: []string{}}
	for _, other := range l.vms {
		to, from := l.cuts[linkCut{vm, other.Name}] > 0, l.cuts[linkCut{other.Name, vm}] > 0
		switch {
		case to && from:
			links.Cut = append(links.Cut, other.Name)
		case to:
			links.CutTo = append(links.CutTo, other.Name)
		}
	}
	return links
}

// apply sends a VM its cuts unless it already has them. It reports whether the VM has them.
func (l *links) apply(ctx context.Context, vm *harness.VM) bool {
	pid, err := vm.PID()
	if err != nil {
		return false
	}
	want := l.wanted(vm.Name)
	l.mu.Lock()
	known := l.applied[vm.Name]
	l.mu.Unlock()
	same := slices.Equal(known.links.Cut, want.Cut) && slices.Equal(known.links.CutTo, want.CutTo)
	if known.pid == pid && same {
		return true
	}
	if known.pid != pid && len(want.Cut)+len(want.CutTo) == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if vm.CutLinks(ctx, want) != nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applied[vm.Name] = appliedLinks{pid, want}
	return true
}

// keepApplied reapplies a VM's cuts until ctx ends.
func (l *links) keepApplied(ctx context.Context, vm *harness.VM) {
	for ctx.Err() == nil {
		l.apply(ctx, vm)
		sleep(ctx, linkPoll)
	}
}

// awaitApplied waits until all running VMs have applied their cuts, or ctx ends.
func (l *links) awaitApplied(ctx context.Context) {
	for _, vm := range l.vms {
		for ctx.Err() == nil && vm.Running() && !l.apply(ctx, vm) {
			sleep(ctx, linkPoll)
		}
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
