package node

import (
	"cmp"
	"context"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"egretramp/internal/events"
	"egretramp/internal/registry"
)

const (
	// watchTimeoutMargin is the time beyond watchWait after which a watch request fails.
	watchTimeoutMargin = 700 * time.Millisecond
	// watchRetryDelay is the delay after a failed watch request.
	watchRetryDelay = 200 * time.Millisecond
	// contactRetention is how long watch requests are still sent to a control VM that no other
	// control VM reports and that doesn't respond.
	contactRetention = 15 * time.Second
)

// peerCaller calls methods of other VMs.
type peerCaller interface {
	Call(ctx context.Context, vm, method string, payload []byte) ([]byte, error)
}

// watcher sends watch requests to all control VMs and merges their reports. It is safe for concurrent
// use.
type watcher struct {
	self   vmInfo
	calls  peerCaller
	clock  func() time.Duration
	events *events.Logger
	// handleUpdate processes a response. documentVersion returns the version of this VM's document.
	handleUpdate    func(from string, r watchResponse)
	documentVersion func() uint64
	// setPeers sets the VMs to stay connected to.
	setPeers    func(vms []string)
	failOnPanic func(func()) func()
	// cutOff reports whether this VM reaches no upstream itself; nil means never.
	cutOff func() bool
	// documentAnnounced is called with the version of a control VM's document; nil if this VM fetches none.
	documentAnnounced func(version uint64)
	// leavingSince returns the notices of upstreams that leave, which were added after a version; nil means none.
	leavingSince func(version uint64) ([]registry.LeavingNotice, uint64)
	// evacuationVersion returns this VM's version of the zones that are out of service; nil means 0.
	evacuationVersion func() uint64

	mu       sync.Mutex
	contacts map[string]*contact
	// merged is the result of stores, nil after a change of what it is computed from.
	merged *storesView
	seeds  []string
	wg     *conc.WaitGroup
	ctx    context.Context
}

// contact is a control VM that the watcher sends watch requests to, with the versions of its last
// response.
type contact struct {
	vm               string
	epoch            uint64
	upstreamsVersion uint64
	fleetVersion     uint64
	suspectsVersion  uint64
	leavingVersion   uint64 // of the notices that the control VM has received
	documentVersion  uint64 // that the control VM has announced
	fleet            fleetState
	lastAnswered     time.Duration // time of the last response, 0 if none
	lastNamed        time.Duration // when a control VM's report or the seeds last included it
	lost             bool
	stop             context.CancelFunc
}

// run watches all contacts until ctx ends.
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

// setSeeds sets the seeds and starts to watch those that are new.
func (w *watcher) setSeeds(seeds []string) {
	w.mu.Lock()
	w.seeds = seeds
	for _, vm := range seeds {
		w.ensureContact(vm)
	}
	w.mu.Unlock()
	w.publishPeers()
}

// ensureContact starts to watch a control VM unless it is watched already, and records that it was
// reported. w.mu must be held.
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

// watchOnce sends one watch request, processes the response and reports whether there was one.
func (w *watcher) watchOnce(ctx context.Context, c *contact) bool {
	w.mu.Lock()
	request := watchRequest{
		From: w.self, Epoch: c.epoch, Upstreams: c.upstreamsVersion, Fleet: c.fleetVersion,
		Document: w.documentVersion(), WaitMs: watchWait.Milliseconds(), Suspects: c.suspectsVersion,
		FetchesDocument: w.documentAnnounced != nil, Announced: c.documentVersion,
	}
	leavingVersion := c.leavingVersion
	w.mu.Unlock()
	if w.leavingSince != nil {
		request.Leaving, leavingVersion = w.leavingSince(leavingVersion)
	}
	if w.evacuationVersion != nil {
		request.Evacuation = w.evacuationVersion()
	}
	request.From.CutOff = w.cutOff != nil && w.cutOff()
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
	c.leavingVersion = leavingVersion
	if c.epoch != response.Epoch {
		c.leavingVersion = 0 // another process, which may not have the earlier notices
	}
	c.epoch, c.fleetVersion, c.documentVersion = response.Epoch, response.FleetVersion, response.DocumentVersion
	if w.self.Role == Entry {
		c.upstreamsVersion = response.UpstreamsVersion
	}
	if w.self.Role != Store {
		c.suspectsVersion = response.SuspectsVersion
	}
	if response.Fleet != nil {
		c.fleet = *response.Fleet
		w.merged = nil
		for _, vm := range c.fleet.Control {
			if !vm.Silent {
				w.ensureContact(vm.VM)
			}
		}
	}
	w.mu.Unlock()
	w.handleUpdate(c.vm, response)
	if w.documentAnnounced != nil {
		w.documentAnnounced(response.DocumentVersion)
	}
	if response.Fleet != nil {
		w.publishPeers()
	}
	return true
}

// recordResult records whether a control VM responded, and logs when that changes.
func (w *watcher) recordResult(c *contact, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err == nil {
		if c.lost || c.lastAnswered == 0 {
			w.merged = nil
			w.events.Emit(events.NodeControlReachable, zap.String("control", c.vm))
		}
		c.lastAnswered, c.lost = w.clock(), false
		return
	}
	if !c.lost {
		w.merged = nil
		if w.ctx.Err() == nil {
			w.events.Emit(events.NodeControlUnreachable, zap.String("control", c.vm), zap.Error(err))
		}
	}
	c.lost = true
}

// removeStaleContacts removes control VMs, other than the seeds, that were neither reported nor
// responded for contactRetention.
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
		w.merged = nil
		removed = true
	}
	w.mu.Unlock()
	if removed {
		w.publishPeers()
	}
}

// controlVMs returns the control VMs, beginning with those that respond.
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

// documentSources returns the control VMs that have announced a version of the document or a later one: those that respond
// first, and among them those of this VM's zone. VMs of equal rank are ordered differently at each VM. awaitsNear is true if
// none that responds is in this VM's zone, but a control VM there responds.
func (w *watcher) documentSources(version uint64) (vms []string, awaitsNear bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	zones := map[string]string{}
	for _, c := range w.contacts {
		for i := range c.fleet.Control {
			zones[c.fleet.Control[i].VM] = c.fleet.Control[i].Zone
		}
	}
	hasNear := false
	for vm, c := range w.contacts {
		near := zones[vm] == w.self.Zone && !c.lost && c.lastAnswered > 0
		switch {
		case c.documentVersion >= version:
			vms = append(vms, vm)
			hasNear = hasNear || near
		case near:
			awaitsNear = true
		}
	}
	rank := func(vm string) int { return 2*boolToInt(w.contacts[vm].lost) + boolToInt(zones[vm] != w.self.Zone) }
	slices.SortFunc(vms, func(a, b string) int {
		return cmp.Or(rank(a)-rank(b), cmp.Compare(spread(w.self.VM, a), spread(w.self.VM, b)), cmp.Compare(a, b))
	})
	return vms, awaitsNear && !hasNear
}

// newestDocument returns the highest version of the document that a control VM which responds has announced, 0 for none.
func (w *watcher) newestDocument() (version uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.contacts {
		if c.lastAnswered > 0 && !c.lost {
			version = max(version, c.documentVersion)
		}
	}
	return version
}

// poolVMs returns the control VMs in the order in which this VM asks them to pool its share of the accounts' rates: those
// that respond first, and among them those of its zone. All VMs of a zone have the same order of VMs of equal rank, so they
// meet at the same one.
func (w *watcher) poolVMs() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	zones := map[string]string{}
	for _, c := range w.contacts {
		for i := range c.fleet.Control {
			if zone := c.fleet.Control[i].Zone; zone != "" {
				zones[c.fleet.Control[i].VM] = zone
			}
		}
	}
	var vms []string
	for vm := range w.contacts {
		vms = append(vms, vm)
	}
	rank := func(vm string) int {
		c := w.contacts[vm]
		return 2*boolToInt(c.lost || c.lastAnswered == 0) + boolToInt(zones[vm] != w.self.Zone)
	}
	slices.SortFunc(vms, func(a, b string) int {
		return cmp.Or(rank(a)-rank(b), cmp.Compare(spread(w.self.Zone, a), spread(w.self.Zone, b)), cmp.Compare(a, b))
	})
	return vms
}

// spread returns a number by which a VM, or all VMs of a zone, order control VMs of equal rank.
func spread(self, vm string) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(vm + "\x00" + self))
	return hash.Sum64()
}

// controlEpochs returns the epochs of the control VMs that respond.
func (w *watcher) controlEpochs() map[string]uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	epochs := map[string]uint64{}
	for vm, c := range w.contacts {
		if c.lastAnswered > 0 && !c.lost {
			epochs[vm] = c.epoch
		}
	}
	return epochs
}

// zones returns the known availability zones of the control and store VMs, by VM. Silent VMs are
// included, since their zone may be partitioned.
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

// zoneOf returns the zone of a control or store VM, empty if it isn't known.
func (w *watcher) zoneOf(vm string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.contacts {
		for _, vms := range [][]vmInfo{c.fleet.Control, c.fleet.Stores} {
			for i := range vms {
				if vms[i].VM == vm && vms[i].Zone != "" {
					return vms[i].Zone
				}
			}
		}
	}
	return ""
}

func boolToInt(last bool) int {
	if last {
		return 1
	}
	return 0
}

// publishPeers calls setPeers with the VMs to stay connected to.
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
	// Store VMs need connections among each other to elect their leaders; entry VMs connect to the
	// leaders on use.
	if w.self.Role == Store {
		for _, s := range w.stores().running {
			vms = append(vms, s.VM)
		}
	}
	w.setPeers(vms)
}
