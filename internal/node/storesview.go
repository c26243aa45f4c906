package node

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"egretramp/internal/shard"
)

// storesView is the union of the control VMs' reports about the store. It is shared and must not be modified.
type storesView struct {
	running  []vmInfo
	silent   []vmInfo
	shards   [][]string // the initial members of each group
	emptying []string
	zones    map[string]string // of the running and the silent VMs

	mu       sync.Mutex
	assigned [][]string // by group; nil if it must be computed
}

// assignedVMs returns the VMs that should hold a group of the store, counted from 0, including spares
// besides the voters. The caller always gives the same number of VMs and doesn't modify the result.
func (v *storesView) assignedVMs(group, wanted int) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.assigned == nil {
		var available []shard.VM
		for _, vm := range v.running {
			if !slices.Contains(v.emptying, vm.VM) {
				available = append(available, shard.VM{Name: vm.VM, Zone: vm.Zone})
			}
		}
		v.assigned = shard.Assign(v.shards, available, wanted)
	}
	return v.assigned[group]
}

// scarce reports whether each VM is needed: no more run than a group should have, and those that run are most of those known. If
// few of the known ones run, they are cut off or have just started, and the others will return.
func (v *storesView) scarce(wanted int) bool {
	return len(v.running) <= wanted && len(v.running) > len(v.silent)
}

// stores returns the merged reports of all control VMs that have ever responded. A store VM counts as
// running if a control VM that responds reports it as running. VMs in this VM's zone come first.
// The reports are merged once after each change: the replicas of a store VM call this many times a second.
func (w *watcher) stores() *storesView {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.merged == nil {
		w.merged = w.mergeStores()
	}
	return w.merged
}

// mergeStores computes the result of stores. w.mu must be held.
func (w *watcher) mergeStores() *storesView {
	view := &storesView{zones: map[string]string{}}
	running := map[string]bool{}
	known := map[string]vmInfo{}
	for _, vm := range slices.Sorted(maps.Keys(w.contacts)) {
		c := w.contacts[vm]
		if c.lastAnswered == 0 {
			continue
		}
		for _, s := range c.fleet.Stores {
			known[s.VM] = s
			running[s.VM] = running[s.VM] || !s.Silent && !c.lost
		}
		if len(c.fleet.Shards) > 0 {
			view.shards = c.fleet.Shards
		}
		if len(c.fleet.Emptying) > len(view.emptying) {
			view.emptying = c.fleet.Emptying
		}
	}
	for vm, info := range known {
		view.zones[vm] = info.Zone
		if running[vm] {
			view.running = append(view.running, info)
		} else {
			view.silent = append(view.silent, info)
		}
	}
	byZone := func(a, b vmInfo) int {
		return cmp.Or(boolToInt(a.Zone != w.self.Zone)-boolToInt(b.Zone != w.self.Zone), cmp.Compare(a.VM, b.VM))
	}
	slices.SortFunc(view.running, byZone)
	slices.SortFunc(view.silent, byZone)
	return view
}
