package node

import (
	"context"
	"slices"
	"sort"
	"sync"
	"time"

	"egretramp/internal/catalog"
	"egretramp/internal/quota"
	"egretramp/internal/registry"
	"egretramp/internal/suspect"
)

const (
	// memberTimeout is the time without a watch request after which a VM counts as not running.
	// Watches are renewed each watchWait.
	memberTimeout = 3 * time.Second
	// memberRetention is how long a VM that sends no watch requests is still reported, as silent.
	memberRetention = 60 * time.Second
	// watchWait is how long a control VM holds a watch request while nothing changes.
	watchWait = time.Second
)

// hub serves the watches of other VMs at a control VM: it tracks which VMs are running and sends
// changes of the upstreams, the fleet and the document. It is safe for concurrent use.
type hub struct {
	epoch     uint64
	self      vmInfo
	clock     func() time.Duration
	registrar *registry.Registrar
	suspects  *suspect.Tracker
	voters    func() []string // VMs of the control group

	mu           sync.Mutex
	state        catalog.State
	packed       *packedDocument // of state; nil if there is no document
	members      map[string]*member
	fleet        fleetState
	fleetVersion uint64 // of fleet
	// recentEntries is the number of entry VMs that have been seen within quota.HolderRetention.
	recentEntries int
	changed       chan struct{}
}

// member is a VM that has sent a watch request.
type member struct {
	info     vmInfo
	lastSeen time.Duration
	// watching is the number of its watch requests in progress.
	watching int
}

func newHub(epoch uint64, self vmInfo, clock func() time.Duration, registrar *registry.Registrar, suspects *suspect.Tracker, voters func() []string) *hub {
	h := &hub{
		epoch: epoch, self: self, clock: clock, registrar: registrar, suspects: suspects, voters: voters,
		members: map[string]*member{}, changed: make(chan struct{}), fleetVersion: 1,
	}
	h.fleet = h.currentFleet()
	return h
}

// setState sets the state of the control group. It is called on the replica's goroutine.
func (h *hub) setState(s catalog.State) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.Document.Version != h.state.Document.Version {
		h.packed = &packedDocument{document: s.Document}
	}
	restored := restoredZones(h.state.Evacuated, s.Evacuated)
	h.state = s
	h.refresh()
	h.notifyWatches()
	for _, zone := range restored {
		h.registrar.AnnounceCold(zone)
	}
}

// restoredZones returns the zones of before that are not in now.
func restoredZones(before, now []string) []string {
	return slices.DeleteFunc(slices.Clone(before), func(zone string) bool { return slices.Contains(now, zone) })
}

// notifyWatches makes all pending watches check for changes. h.mu must be held.
func (h *hub) notifyWatches() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// refresh recomputes the fleet's state and reports whether watching VMs must receive it. The number of entry VMs is only
// used here: each of them that starts or ends would cause the whole state to be sent to all VMs. h.mu must be held.
func (h *hub) refresh() bool {
	view := h.currentFleet()
	if equalFleet(view, h.fleet) {
		h.fleet.Entries = view.Entries
		return false
	}
	h.fleet = view
	h.fleetVersion++
	return true
}

// expireMembers removes VMs that have been silent for memberRetention, and notifies watches if the
// fleet's state changed, which includes the control group's membership.
func (h *hub) expireMembers() {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock()
	for vm, m := range h.members {
		if m.watching == 0 && now-m.lastSeen > memberRetention {
			delete(h.members, vm)
		}
	}
	if h.refresh() {
		h.notifyWatches()
	}
}

// currentFleet computes recentEntries and the fleet's state from the members, the voters and the control group's state.
// Control VMs that are silent are included only if they are voters.
func (h *hub) currentFleet() fleetState {
	now := h.clock()
	h.recentEntries = 0
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
		info.Silent = m.isSilent(now)
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
			if m.watching > 0 || now-m.lastSeen <= quota.HolderRetention {
				h.recentEntries++
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

// equalFleet reports whether two states are equal, except for the number of entry VMs.
func equalFleet(a, b fleetState) bool {
	return slices.Equal(a.Control, b.Control) && slices.Equal(a.Stores, b.Stores) &&
		slices.EqualFunc(a.Shards, b.Shards, slices.Equal[[]string]) && slices.Equal(a.Emptying, b.Emptying)
}

// entryCount returns the number of entry VMs that are running.
func (h *hub) entryCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.fleet.Entries
}

// recentEntryCount returns the number of entry VMs that run or ran within quota.HolderRetention. A VM in a zone that is cut
// off uses its share of the limits; a coordinator that was elected after the cut would grant that share to others if it
// counted only the VMs that it hears from.
func (h *hub) recentEntryCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.recentEntries
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

// vmByName returns the address of the store VM with a name that operators use. If several had the
// name, it is the one that was seen last.
func (h *hub) vmByName(name string) (string, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	found, heard := "", time.Duration(-1)
	for vm, m := range h.members {
		if m.info.Role == Store && m.info.Name == name && m.lastSeen > heard {
			found, heard = vm, m.lastSeen
		}
	}
	return found, found != ""
}

// handleWatch serves methodWatch. It responds as soon as something has changed since the versions in
// the request, or after the requested wait.
func (h *hub) handleWatch(ctx context.Context, _ string, payload []byte) ([]byte, error) {
	r, err := decode[watchRequest](payload)
	if err != nil {
		return nil, err
	}
	if len(r.Leaving) > 0 {
		h.registrar.RecordLeaving(r.Leaving)
	}
	h.recordWatch(r.From, 1)
	defer h.recordWatch(r.From, -1)
	if r.Epoch != h.epoch {
		r.Upstreams, r.Fleet, r.Suspects, r.Announced = 0, 0, 0, 0
	}
	timer := time.NewTimer(time.Duration(r.WaitMs) * time.Millisecond)
	defer timer.Stop()
	for {
		response, changed := h.changesSince(r)
		if changed.already {
			return encode(response), nil
		}
		select {
		case <-changed.upstreams:
		case <-changed.suspects:
		case <-changed.fleet:
		case <-timer.C:
			return encode(response), nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// recordWatch updates a VM's member entry and adds watching to its number of watch requests in
// progress.
func (h *hub) recordWatch(info vmInfo, watching int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	m := h.members[info.VM]
	now := h.clock()
	unchanged := m != nil && m.info == info && !m.isSilent(now)
	if m == nil {
		m = &member{}
		h.members[info.VM] = m
	}
	m.info = info
	m.lastSeen = now
	m.watching += watching
	// Recomputing the fleet's state takes time for each member, and each VM sends a request a second.
	// expireMembers notices the members that fall silent.
	if !unchanged && h.refresh() {
		h.notifyWatches()
	}
}

// isSilent reports whether a member has sent no watch request for memberTimeout.
func (m *member) isSilent(now time.Duration) bool {
	return m.watching == 0 && now-m.lastSeen > memberTimeout
}

// watchChanges reports whether there are changes since the versions in a watch request. The channels are
// closed on the next change; those that don't concern the sender are nil.
type watchChanges struct {
	already                    bool
	upstreams, suspects, fleet <-chan struct{}
}

// changesSince returns the changes since the versions in a request.
func (h *hub) changesSince(r watchRequest) (watchResponse, watchChanges) {
	h.mu.Lock()
	defer h.mu.Unlock()
	response := watchResponse{Epoch: h.epoch, FleetVersion: h.fleetVersion}
	changes := watchChanges{already: r.Epoch != h.epoch, fleet: h.changed}
	if r.From.Role == Entry {
		response.Evacuation = h.evacuatedSince(r.Evacuation)
		response.Upstreams, response.UpstreamsVersion, changes.upstreams = h.registrar.Since(r.Upstreams)
	}
	if r.From.Role == Entry || r.From.Role == Control {
		response.Suspects, response.SuspectsVersion, changes.suspects = h.suspects.Since(r.Suspects)
	}
	if r.Fleet != h.fleetVersion {
		view := h.fleet
		response.Fleet = &view
	}
	changes.already = h.addDocument(&response, &r) || changes.already || len(response.Upstreams) > 0 || len(response.Suspects) > 0 ||
		response.Fleet != nil || response.Evacuation != nil
	return response, changes
}

// addDocument adds the document's version to a response for an entry VM that fetches it, or the document itself for one of
// the previous release. It reports whether the response must be sent now. h.mu must be held.
func (h *hub) addDocument(response *watchResponse, r *watchRequest) (now bool) {
	document := h.state.Document
	if r.From.Role != Entry {
		return false
	}
	if r.FetchesDocument {
		response.DocumentVersion = document.Version
		return document.Version > max(r.Document, r.Announced)
	}
	if document.Version > r.Document {
		response.Document = &document
	}
	return response.Document != nil
}
