package node

import (
	"context"
	"slices"
	"sort"
	"sync"
	"time"

	"egretramp/internal/catalog"
	"egretramp/internal/registry"
)

const (
	// memberSilence is the silence after which a VM counts as not running. Watches are renewed
	// each watchWait.
	memberSilence = 3 * time.Second
	// memberRetention is for how long a silent VM is still reported.
	memberRetention = 60 * time.Second
	// watchWait is how long a watch waits for a change.
	watchWait = time.Second
)

// hub is what a control VM tells the others. It is safe for concurrent use.
type hub struct {
	epoch     uint64
	self      vmInfo
	clock     func() time.Duration
	registrar *registry.Registrar
	voters    func() []string // VMs of the control group

	mu      sync.Mutex
	state   catalog.State
	members map[string]*member
	fleet   fleetState
	version uint64 // of fleet
	changed chan struct{}
}

type member struct {
	info  vmInfo
	heard time.Duration
	// watching is the number of its watches under way.
	watching int
}

func newHub(epoch uint64, self vmInfo, clock func() time.Duration, registrar *registry.Registrar, voters func() []string) *hub {
	h := &hub{
		epoch: epoch, self: self, clock: clock, registrar: registrar, voters: voters,
		members: map[string]*member{}, changed: make(chan struct{}), version: 1,
	}
	h.fleet = h.view()
	return h
}

// setState takes a new state of the control group. It is called from the replica's goroutine.
func (h *hub) setState(s catalog.State) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state = s
	h.refresh()
	h.wake()
}

func (h *hub) wake() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// refresh makes the fleet's view anew and reports whether it changed.
func (h *hub) refresh() bool {
	view := h.view()
	if equalFleet(view, h.fleet) {
		return false
	}
	h.fleet = view
	h.version++
	return true
}

// tend drops silent VMs and passes on what changed in the control group's membership.
func (h *hub) tend() {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock()
	for vm, m := range h.members {
		if m.watching == 0 && now-m.heard > memberRetention {
			delete(h.members, vm)
		}
	}
	if h.refresh() {
		h.wake()
	}
}

func (h *hub) view() fleetState {
	now := h.clock()
	view := fleetState{Shards: h.state.StoreGroups, Emptying: h.state.Emptying}
	voters := h.voters()
	known := map[string]bool{}
	add := func(info vmInfo) {
		if !known[info.VM] {
			known[info.VM] = true
			view.Control = append(view.Control, info)
		}
	}
	add(h.self)
	for _, m := range h.members {
		info := m.info
		info.Silent = m.watching == 0 && now-m.heard > memberSilence
		switch info.Role {
		case Control:
			if !info.Silent || slices.Contains(voters, info.VM) {
				add(info)
			}
		case Store:
			view.Stores = append(view.Stores, info)
		case Entry:
			if !info.Silent {
				view.Entries++
			}
		}
	}
	for _, vm := range voters {
		add(vmInfo{VM: vm, Role: Control, Silent: true})
	}
	byVM := func(list []vmInfo) func(i, j int) bool {
		return func(i, j int) bool { return list[i].VM < list[j].VM }
	}
	sort.Slice(view.Control, byVM(view.Control))
	sort.Slice(view.Stores, byVM(view.Stores))
	return view
}

func equalFleet(a, b fleetState) bool {
	return slices.Equal(a.Control, b.Control) && slices.Equal(a.Stores, b.Stores) &&
		slices.EqualFunc(a.Shards, b.Shards, slices.Equal[[]string]) && slices.Equal(a.Emptying, b.Emptying) && a.Entries == b.Entries
}

// entries returns the number of entry VMs that are running.
func (h *hub) entries() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.fleet.Entries
}

// stores returns the store VMs that are running, and the state of the control group.
func (h *hub) stores() ([]vmInfo, catalog.State) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var running []vmInfo
	for _, s := range h.fleet.Stores {
		if !s.Silent {
			running = append(running, s)
		}
	}
	return running, h.state
}

// zone returns a VM's zone, empty if it isn't known.
func (h *hub) zone(vm string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if vm == h.self.VM {
		return h.self.Zone
	}
	if m := h.members[vm]; m != nil {
		return m.info.Zone
	}
	return ""
}

// vmByName returns the store VM with an operators' name.
func (h *hub) vmByName(name string) (string, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	found, heard := "", time.Duration(-1)
	for vm, m := range h.members {
		if m.info.Role == Store && m.info.Name == name && m.heard > heard {
			found, heard = vm, m.heard
		}
	}
	return found, found != ""
}

// handleWatch serves methodWatch: it answers as soon as there is something new.
func (h *hub) handleWatch(ctx context.Context, _ string, payload []byte) ([]byte, error) {
	r, err := decode[watchRequest](payload)
	if err != nil {
		return nil, err
	}
	h.note(r.From, 1)
	defer h.note(r.From, -1)
	if r.Epoch != h.epoch {
		r.Upstreams, r.Fleet = 0, 0
	}
	timer := time.NewTimer(time.Duration(r.WaitMs) * time.Millisecond)
	defer timer.Stop()
	for {
		response, upstreams, fleet, news := h.collect(r)
		if news {
			return encode(response), nil
		}
		select {
		case <-upstreams:
		case <-fleet:
		case <-timer.C:
			return encode(response), nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (h *hub) note(info vmInfo, watching int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	m := h.members[info.VM]
	if m == nil {
		m = &member{}
		h.members[info.VM] = m
	}
	m.info = info
	m.heard = h.clock()
	m.watching += watching
	if h.refresh() {
		h.wake()
	}
}

func (h *hub) collect(r watchRequest) (response watchResponse, upstreams, fleet <-chan struct{}, news bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	response = watchResponse{Epoch: h.epoch, FleetVersion: h.version}
	fleet = h.changed
	if r.From.Role == Entry {
		response.Upstreams, response.UpstreamsVersion, upstreams = h.registrar.Since(r.Upstreams)
	}
	if r.Fleet != h.version {
		view := h.fleet
		response.Fleet = &view
		news = true
	}
	if r.From.Role == Entry && h.state.Document.Version > r.Document {
		document := h.state.Document
		response.Document = &document
		news = true
	}
	return response, upstreams, fleet, news || len(response.Upstreams) > 0 || r.Epoch != h.epoch
}
