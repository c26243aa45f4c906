package registry

import (
	"maps"
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"time"
)

// View is an immutable list of the upstreams that may receive work, by service, ordered by ID. They
// are Ready, or all Gone if the service has no ready one: expired upstreams may still be running.
type View struct {
	Services map[string][]Upstream
}

// Directory merges the upstream lists that several control VMs report. It is safe for concurrent use.
type Directory struct {
	mu      sync.Mutex
	entries map[string]*directoryEntry
	latest  map[string]*directoryEntry // by address; of those that may be running, the one that started last
	view    atomic.Pointer[View]
	// notices are those that RecordLeaving added, the latest last.
	notices       []directoryNotice
	noticeVersion uint64
	// onRemoved is called for an upstream that stopped being ready, outside the lock.
	onRemoved func(Upstream)
	// observe is called with the accepted entries before View returns them; nil for none.
	observe func([]Upstream)
}

type directoryEntry struct {
	upstream Upstream
	source   string // the control VM that reported this entry
	// announced is set once the upstream's process has announced its shutdown, by its registration or in a response.
	announced bool
	// leavingSince is when it did, zero if unknown.
	leavingSince time.Time
	// leavingStated is set once a response of the process said that it leaves, which no registration revokes.
	leavingStated bool
	// registeredAt is when the process was first registered, departedAt when a process of the upstream last announced that
	// it leaves; zero if unknown.
	registeredAt, departedAt time.Time
}

// directoryNotice is a notice for the control VMs.
type directoryNotice struct {
	version uint64
	id      string
	born    int64
	at      time.Time
}

// maxDirectoryNotices bounds the notices that are kept for control VMs that have not received them.
const maxDirectoryNotices = 256

// NewDirectory returns an empty directory; onRemoved may be nil.
func NewDirectory(onRemoved func(Upstream)) *Directory {
	d := &Directory{entries: map[string]*directoryEntry{}, onRemoved: onRemoved}
	d.view.Store(&View{Services: map[string][]Upstream{}})
	return d
}

// Observe sets a function that Merge calls with the entries that it accepted, before View returns them. It must not call
// the directory, except for View.
func (d *Directory) Observe(observe func([]Upstream)) { d.observe = observe }

// Review calls a function with the entries that may be running, including those that are leaving, while Merge waits: each
// entry is either among them, or Observe's function gets it afterwards. It must not call the directory, except for View.
func (d *Directory) Review(review func([]Upstream)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	upstreams := make([]Upstream, 0, len(d.latest))
	for _, known := range d.latest {
		upstreams = append(upstreams, known.upstream)
	}
	review(upstreams)
}

// View returns the current list.
func (d *Directory) View() *View { return d.view.Load() }

// Replaced reports whether a later process is registered in the place of an upstream, under its ID or at
// its address, so that the upstream's process has ended.
func (d *Directory) Replaced(u Upstream) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if known := d.entries[u.ID]; known != nil && known.upstream.Born > u.Born {
		return true
	}
	latest := d.latest[u.Address]
	return latest != nil && latest.upstream.ID != u.ID && latest.upstream.Born > u.Born
}

// Knows reports whether an upstream that may be running is registered at the address.
func (d *Directory) Knows(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.latest[address] != nil
}

// ZoneAt returns the availability zone of the upstream that may be running at the address, empty if none is registered.
func (d *Directory) ZoneAt(address string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := d.latest[address]
	if known == nil {
		return ""
	}
	return known.upstream.Zone
}

// AddressesIn returns the addresses of the upstreams in some availability zones that may be running.
func (d *Directory) AddressesIn(zones []string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var addresses []string
	for address, known := range d.latest {
		if slices.Contains(zones, known.upstream.Zone) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// Leaving reports whether an upstream has announced its shutdown.
func (d *Directory) Leaving(u Upstream) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := d.entries[u.ID]
	return known != nil && known.upstream.Born == u.Born && known.announced
}

// LeavingFor returns the upstreams of a service that announced their shutdown less than limit ago and still serve.
func (d *Directory) LeavingFor(service string, limit time.Duration) []Upstream {
	d.mu.Lock()
	defer d.mu.Unlock()
	var leaving []Upstream
	for _, known := range d.latest {
		u := known.upstream
		if u.Service == service && u.State == Draining && known.servesFor(limit) {
			leaving = append(leaving, u)
		}
	}
	sort.Slice(leaving, func(i, j int) bool { return leaving[i].ID < leaving[j].ID })
	return leaving
}

// servesFor reports whether less than limit has passed since an upstream announced its shutdown.
func (e *directoryEntry) servesFor(limit time.Duration) bool {
	return !e.leavingSince.IsZero() && time.Since(e.leavingSince) < limit
}

// MayServe reports whether an upstream that may be sent requests is registered at the address: one that hasn't
// announced its shutdown, or less than limit ago.
func (d *Directory) MayServe(address string, limit time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := d.latest[address]
	return known != nil && (!known.announced || known.servesFor(limit))
}

// RecordLeaving records that a response of an upstream said that it leaves, and reports whether that is news.
func (d *Directory) RecordLeaving(u Upstream) bool {
	d.mu.Lock()
	known := d.entries[u.ID]
	if known == nil || known.upstream.Born != u.Born || known.leavingStated {
		d.mu.Unlock()
		return false
	}
	was := known.upstream
	now := time.Now()
	if !known.announced {
		d.noticeVersion++
		d.notices = append(d.notices, directoryNotice{d.noticeVersion, u.ID, u.Born, now})
		d.notices = d.notices[max(len(d.notices)-maxDirectoryNotices, 0):]
	}
	known.recordStatedLeaving(now)
	d.publish()
	d.mu.Unlock()
	if was.State == Ready && d.onRemoved != nil {
		d.onRemoved(was)
	}
	return true
}

// recordStatedLeaving records that a response of the process said at a given time that it leaves.
func (e *directoryEntry) recordStatedLeaving(at time.Time) {
	e.announced, e.leavingStated = true, true
	if e.leavingSince.IsZero() || at.Before(e.leavingSince) {
		e.leavingSince = at
	}
	if e.upstream.State == Ready {
		e.upstream.State = Draining
	}
}

// LeavingSince returns the notices of upstreams that leave, for control VMs, which were added after a version, and the
// current version.
func (d *Directory) LeavingSince(version uint64) ([]LeavingNotice, uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var added []LeavingNotice
	for _, n := range d.notices {
		if n.version > version && time.Since(n.at) < goneRetention {
			added = append(added, LeavingNotice{ID: n.id, Born: n.born, Age: time.Since(n.at)})
		}
	}
	return added, d.noticeVersion
}

// Merge applies the changes that the control VM source reports and returns those that it accepted.
func (d *Directory) Merge(source string, changes []Upstream) (accepted []Upstream) {
	if len(changes) == 0 {
		return nil
	}
	d.mu.Lock()
	var removed []Upstream
	for _, u := range changes {
		old, accepts := d.accept(source, u)
		if before := d.mergeStatedLeaving(&u); before != nil {
			accepts = true
			if old == nil {
				old = before
			}
		}
		if !accepts {
			continue
		}
		if known := d.entries[u.ID]; known != nil {
			u = known.upstream
		}
		accepted = append(accepted, u)
		if old != nil && old.State == Ready && (u.State != Ready || u.Address != old.Address || u.Born != old.Born) {
			removed = append(removed, *old)
		}
	}
	if d.observe != nil {
		d.observe(accepted)
	}
	d.publish()
	d.mu.Unlock()
	if d.onRemoved != nil {
		for _, u := range removed {
			d.onRemoved(u)
		}
	}
	return accepted
}

// mergeStatedLeaving applies what a control VM knows of the responses of an upstream's process. If that is news, it
// returns the entry before.
func (d *Directory) mergeStatedLeaving(u *Upstream) *Upstream {
	known := d.entries[u.ID]
	if u.LeavingStated <= 0 || known == nil || known.upstream.Born != u.Born || known.leavingStated {
		return nil
	}
	was := known.upstream
	known.recordStatedLeaving(time.Now().Add(-u.LeavingStated))
	return &was
}

func (d *Directory) accept(source string, u Upstream) (old *Upstream, accepts bool) {
	known := d.entries[u.ID]
	u.resolveCold()
	if known == nil {
		if u.State == Gone && u.Expired {
			return nil, false
		}
		d.entries[u.ID] = &directoryEntry{
			upstream: u, source: source, leavingSince: announcedAt(&u), announced: u.State != Ready,
			registeredAt: ago(u.Registered), departedAt: ago(u.Departed),
		}
		return nil, true
	}
	was := known.upstream
	departed := ago(u.Departed)
	if known.departedAt.After(departed) {
		departed = known.departedAt
	}
	switch {
	case u.State == Gone && u.Expired:
		// Another control VM may be receiving the upstream's registrations by now, so only the
		// VM that reported the entry may expire it.
		if known.source != source || was.State == Gone || was.newer(&u) {
			return nil, false
		}
	case u.State == Gone:
		// The announcement that an upstream leaves may lack the upstream's start time.
		timed := u.Departed > 0 && !known.registeredAt.IsZero()
		switch {
		case timed && !left(known.registeredAt, departed), !timed && u.Born != 0 && was.Born > u.Born:
			return nil, false // an earlier process
		case was.State == Gone && !was.Expired:
			known.departedAt = departed
			return nil, false
		}
		u.Born, u.Sequence = was.Born, max(was.Sequence, u.Sequence)
	case u.Born >= was.Born && left(ago(u.Registered), departed):
		// The process left, as another control VM or an earlier entry says.
		u.State, u.Expired = Gone, false
	case was.State == Gone && !was.Expired && u.Born <= was.Born:
		return nil, false
	case u.Born < was.Born || (u.Born == was.Born && u.Sequence <= was.Sequence && !was.Expired):
		return nil, false
	}
	if u.Born != was.Born {
		known.announced, known.leavingStated = false, false
		known.registeredAt = ago(u.Registered)
	}
	known.departedAt = departed
	switch {
	case u.State == Ready && known.leavingStated:
		u.State = Draining // the registration was sent before the response
	case u.State == Ready:
		known.announced = false
	case u.State == Draining && (!known.announced || was.Born != u.Born):
		known.announced, known.leavingSince = true, announcedAt(&u)
	case u.State == Gone && !u.Expired:
		known.announced = true
	}
	u.keepCold(&was)
	known.upstream, known.source = u, source
	return &was, true
}

// left reports whether a process that was first registered at a time is the one that left at another time, or an earlier
// one; false if either time is unknown.
func left(registeredAt, departedAt time.Time) bool {
	return !registeredAt.IsZero() && !departedAt.IsZero() && registeredAt.Before(departedAt.Add(minReturnTime))
}

// ago returns the time that was the given duration ago, zero for a duration of 0, which stands for an unknown one.
func ago(d time.Duration) time.Time {
	if d <= 0 {
		return time.Time{}
	}
	return time.Now().Add(-d)
}

// announcedAt returns when an upstream announced its shutdown, zero if it hasn't or if that isn't known.
func announcedAt(u *Upstream) time.Time {
	if u.State != Draining || u.Leaving <= 0 {
		return time.Time{}
	}
	return time.Now().Add(-u.Leaving)
}

// publish rebuilds the list. Of two upstreams with the same address only the one that started later
// can still be running. A service whose upstreams have all expired keeps those that had not announced their shutdown:
// they may only be unreachable from the control VMs.
func (d *Directory) publish() {
	latest := make(map[string]*directoryEntry, len(d.entries))
	d.latest = latest
	for _, known := range d.entries {
		if known.upstream.State == Gone && !known.upstream.Expired {
			continue
		}
		at := latest[known.upstream.Address]
		if at == nil || at.upstream.Born < known.upstream.Born {
			latest[known.upstream.Address] = known
		}
	}
	view := &View{Services: map[string][]Upstream{}}
	for _, known := range latest {
		if known.upstream.State == Ready {
			view.Services[known.upstream.Service] = append(view.Services[known.upstream.Service], known.upstream)
		}
	}
	expired := map[string][]Upstream{}
	for _, known := range latest {
		if u := known.upstream; u.State == Gone && !known.announced && len(view.Services[u.Service]) == 0 {
			expired[u.Service] = append(expired[u.Service], u)
		}
	}
	maps.Copy(view.Services, expired)
	for _, list := range view.Services {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
	d.view.Store(view)
}
