package registry

import (
	"maps"
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
	// onRemoved is called for an upstream that stopped being ready, outside the lock.
	onRemoved func(Upstream)
}

type directoryEntry struct {
	upstream Upstream
	source   string // the control VM that reported this entry
	// leavingSince is when a draining upstream announced its shutdown, zero if unknown.
	leavingSince time.Time
}

// NewDirectory returns an empty directory; onRemoved may be nil.
func NewDirectory(onRemoved func(Upstream)) *Directory {
	d := &Directory{entries: map[string]*directoryEntry{}, onRemoved: onRemoved}
	d.view.Store(&View{Services: map[string][]Upstream{}})
	return d
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

// Leaving reports whether an upstream has announced its shutdown.
func (d *Directory) Leaving(u Upstream) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := d.entries[u.ID]
	if known == nil || known.upstream.Born != u.Born {
		return false
	}
	return known.upstream.State == Draining || known.upstream.State == Gone && !known.upstream.Expired
}

// LeavingFor returns the upstreams of a service that announced their shutdown less than limit ago and still serve.
func (d *Directory) LeavingFor(service string, limit time.Duration) []Upstream {
	d.mu.Lock()
	defer d.mu.Unlock()
	var leaving []Upstream
	for _, known := range d.latest {
		u := known.upstream
		if u.Service == service && u.State == Draining && !known.leavingSince.IsZero() && time.Since(known.leavingSince) < limit {
			leaving = append(leaving, u)
		}
	}
	sort.Slice(leaving, func(i, j int) bool { return leaving[i].ID < leaving[j].ID })
	return leaving
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
		if !accepts {
			continue
		}
		accepted = append(accepted, u)
		if old != nil && old.State == Ready && (u.State != Ready || u.Address != old.Address || u.Born != old.Born) {
			removed = append(removed, *old)
		}
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

func (d *Directory) accept(source string, u Upstream) (old *Upstream, accepts bool) {
	known := d.entries[u.ID]
	if known == nil {
		if u.State == Gone && u.Expired {
			return nil, false
		}
		d.entries[u.ID] = &directoryEntry{upstream: u, source: source, leavingSince: announcedAt(&u)}
		return nil, true
	}
	was := known.upstream
	switch {
	case u.State == Gone && u.Expired:
		// Another control VM may be receiving the upstream's registrations by now, so only the
		// VM that reported the entry may expire it.
		if known.source != source || was.State == Gone || was.newer(&u) {
			return nil, false
		}
	case u.State == Gone:
		// The notice that an upstream leaves may lack the upstream's start time.
		if u.Born != 0 && was.Born > u.Born || was.State == Gone && !was.Expired {
			return nil, false
		}
		u.Born, u.Sequence = was.Born, max(was.Sequence, u.Sequence)
	case was.State == Gone && !was.Expired && u.Born <= was.Born:
		return nil, false
	case u.Born < was.Born || (u.Born == was.Born && u.Sequence <= was.Sequence && !was.Expired):
		return nil, false
	}
	if was.State != Draining || was.Born != u.Born {
		known.leavingSince = announcedAt(&u)
	}
	known.upstream, known.source = u, source
	return &was, true
}

// announcedAt returns when an upstream announced its shutdown, zero if it hasn't or if that isn't known.
func announcedAt(u *Upstream) time.Time {
	if u.State != Draining || u.Leaving <= 0 {
		return time.Time{}
	}
	return time.Now().Add(-u.Leaving)
}

// publish rebuilds the list. Of two upstreams with the same address only the one that started later
// can still be running. A service whose upstreams have all expired keeps them: they may only be
// unreachable from the control VMs.
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
		if u := known.upstream; u.State == Gone && len(view.Services[u.Service]) == 0 {
			expired[u.Service] = append(expired[u.Service], u)
		}
	}
	maps.Copy(view.Services, expired)
	for _, list := range view.Services {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
	d.view.Store(view)
}
