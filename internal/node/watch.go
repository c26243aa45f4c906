package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"egretramp/internal/events"
	"egretramp/internal/shard"
)

const (
	// watchTimeoutMargin is what a watch may take beyond its wait before it counts as lost.
	watchTimeoutMargin = 700 * time.Millisecond
	// watchRetryDelay is the pause after a watch that failed.
	watchRetryDelay = 200 * time.Millisecond
	// contactRetention is for how long a control VM that nobody reports and that doesn't answer
	// is still asked.
	contactRetention = 15 * time.Second
)

// peerCaller makes calls to other VMs.
type peerCaller interface {
	Call(ctx context.Context, vm, method string, payload []byte) ([]byte, error)
}

// watcher keeps watches at all control VMs and merges what they report. It is safe for
// concurrent use.
type watcher struct {
	self   vmInfo
	calls  peerCaller
	clock  func() time.Duration
	events *events.Logger
	// handleUpdate takes an answer; documentVersion returns the version of the document that this VM has.
	handleUpdate    func(from string, r watchResponse)
	documentVersion func() uint64
	// setPeers is told the VMs to stay connected to.
	setPeers    func(vms []string)
	failOnPanic func(func()) func()

	mu       sync.Mutex
	contacts map[string]*contact
	seeds    []string
	wg       *conc.WaitGroup
	ctx      context.Context
}

// contact is a control VM.
type contact struct {
	vm               string
	epoch            uint64
	upstreamsVersion uint64
	fleetVersion     uint64
	fleet            fleetState
	lastAnswered     time.Duration // 0 if never
	lastNamed        time.Duration // last time that another control VM or the seeds named it
	lost             bool
	stop             context.CancelFunc
}

// run watches until ctx ends.
func (w *watcher) run(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	w.mu.Lock()
	w.wg, w.ctx = &wg, ctx
	w.mu.Unlock()
	w.setSeeds(w.seeds)
	<-ctx.Done()
	w.mu.Lock()
	w.wg = nil
	w.mu.Unlock()
}

// setSeeds names control VMs that may be new.
func (w *watcher) setSeeds(seeds []string) {
	w.mu.Lock()
	w.seeds = seeds
	for _, vm := range seeds {
		w.ensureContact(vm)
	}
	w.mu.Unlock()
	w.publishPeers()
}

// ensureContact notes that a control VM was named. The mutex is held.
func (w *watcher) ensureContact(vm string) {
	if vm == w.self.VM || w.wg == nil {
		return
	}
	c := w.contacts[vm]
	if c == nil {
		ctx, stop := context.WithCancel(w.ctx)
		c = &contact{vm: vm, stop: stop}
		w.contacts[vm] = c
		w.wg.Go(w.failOnPanic(func() { w.watch(ctx, c) }))
	}
	c.lastNamed = w.clock()
}

func (w *watcher) watch(ctx context.Context, c *contact) {
	for ctx.Err() == nil {
		if !w.watchOnce(ctx, c) {
			select {
			case <-ctx.Done():
			case <-time.After(watchRetryDelay):
			}
		}
	}
}

// watchOnce makes one watch and reports whether it was answered.
func (w *watcher) watchOnce(ctx context.Context, c *contact) bool {
	w.mu.Lock()
	request := watchRequest{
		From: w.self, Epoch: c.epoch, Upstreams: c.upstreamsVersion, Fleet: c.fleetVersion,
		Document: w.documentVersion(), WaitMs: watchWait.Milliseconds(),
	}
	w.mu.Unlock()
	limited, cancel := context.WithTimeout(ctx, watchWait+watchTimeoutMargin)
	answer, err := w.calls.Call(limited, c.vm, methodWatch, encode(request))
	cancel()
	var response watchResponse
	if err == nil {
		response, err = decode[watchResponse](answer)
	}
	if err != nil {
		w.recordResult(c, err)
		return false
	}
	w.recordResult(c, nil)
	w.mu.Lock()
	c.epoch, c.fleetVersion = response.Epoch, response.FleetVersion
	if w.self.Role == Entry {
		c.upstreamsVersion = response.UpstreamsVersion
	}
	if response.Fleet != nil {
		c.fleet = *response.Fleet
		for _, vm := range c.fleet.Control {
			if !vm.Silent {
				w.ensureContact(vm.VM)
			}
		}
	}
	w.mu.Unlock()
	w.handleUpdate(c.vm, response)
	if response.Fleet != nil {
		w.publishPeers()
	}
	return true
}

// recordResult records whether a control VM answers, and logs when that changes.
func (w *watcher) recordResult(c *contact, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err == nil {
		if c.lost || c.lastAnswered == 0 {
			w.events.Emit(events.NodeControlHeard, zap.String("control", c.vm))
		}
		c.lastAnswered, c.lost = w.clock(), false
		return
	}
	if !c.lost && w.ctx.Err() == nil {
		w.events.Emit(events.NodeControlLost, zap.String("control", c.vm), zap.Error(err))
	}
	c.lost = true
}

// removeStaleContacts forgets control VMs that are gone.
func (w *watcher) removeStaleContacts() {
	w.mu.Lock()
	now := w.clock()
	removed := false
	for vm, c := range w.contacts {
		if slices.Contains(w.seeds, vm) || now-c.lastNamed < contactRetention || now-c.lastAnswered < contactRetention {
			continue
		}
		c.stop()
		delete(w.contacts, vm)
		removed = true
	}
	w.mu.Unlock()
	if removed {
		w.publishPeers()
	}
}

// controlVMs returns the control VMs, those that answer first.
func (w *watcher) controlVMs() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var answering, others []string
	for vm, c := range w.contacts {
		if c.lastAnswered > 0 && !c.lost {
			answering = append(answering, vm)
		} else {
			others = append(others, vm)
		}
	}
	slices.Sort(answering)
	slices.Sort(others)
	return append(answering, others...)
}

// storesView is the union of what the control VMs report about store VMs.
type storesView struct {
	running  []vmInfo
	silent   []vmInfo
	shards   [][]string // the VMs that form each group
	emptying []string
}

// replicaVMs returns the VMs that are to keep a group of the store, counted from 0, with spares
// beside the voters.
func (v *storesView) replicaVMs(group, wanted int) []string {
	var available []shard.VM
	for _, vm := range v.running {
		if !slices.Contains(v.emptying, vm.VM) {
			available = append(available, shard.VM{Name: vm.VM, Zone: vm.Zone})
		}
	}
	return shard.Replicas(group, v.shards[group], available, wanted)
}

// stores returns the store VMs, as far as any control VM that answers knows them.
func (w *watcher) stores() storesView {
	w.mu.Lock()
	defer w.mu.Unlock()
	var view storesView
	running := map[string]bool{}
	known := map[string]vmInfo{}
	for _, c := range w.contacts {
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
		if running[vm] {
			view.running = append(view.running, info)
		} else {
			view.silent = append(view.silent, info)
		}
	}
	byZone := func(a, b vmInfo) int {
		if near := boolToInt(a.Zone != w.self.Zone) - boolToInt(b.Zone != w.self.Zone); near != 0 {
			return near
		}
		if a.VM < b.VM {
			return -1
		}
		return 1
	}
	slices.SortFunc(view.running, byZone)
	slices.SortFunc(view.silent, byZone)
	return view
}

// zones returns the availability zones of the control and store VMs, as far as they are known. A
// VM that is silent counts on: its zone may be cut off.
func (w *watcher) zones() map[string]string {
	w.mu.Lock()
	defer w.mu.Unlock()
	zones := map[string]string{}
	for _, c := range w.contacts {
		for _, vms := range [][]vmInfo{c.fleet.Control, c.fleet.Stores} {
			for _, vm := range vms {
				if vm.Zone != "" && vm.VM != w.self.VM {
					zones[vm.VM] = vm.Zone
				}
			}
		}
	}
	return zones
}

func boolToInt(last bool) int {
	if last {
		return 1
	}
	return 0
}

// publishPeers passes on which VMs to stay connected to.
func (w *watcher) publishPeers() {
	if w.setPeers == nil {
		return
	}
	var vms []string
	w.mu.Lock()
	for vm := range w.contacts {
		vms = append(vms, vm)
	}
	w.mu.Unlock()
	// Store VMs elect their leader among themselves; entry VMs connect to the one that leads.
	if w.self.Role == Store {
		for _, s := range w.stores().running {
			vms = append(vms, s.VM)
		}
	}
	w.setPeers(vms)
}
