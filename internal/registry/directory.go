package registry

import (
	"maps"
	"sort"
	"sync"
	"sync/atomic"
)

// View is an immutable list of the upstreams that may get work, by service, ordered by ID. They
// are Ready, or all Gone where a service has none that is ready: those may still be there.
type View struct {
	Services map[string][]Upstream
}

// Directory merges what several control VMs report. It is safe for concurrent use.
type Directory struct {
	mu      sync.Mutex
	entries map[string]*directoryEntry
	view    atomic.Pointer[View]
	// onRemoved is called for an upstream that stopped being ready, outside the lock.
	onRemoved func(Upstream)
}

type directoryEntry struct {
	upstream Upstream
	source   string // the control VM whose word stands
}

// NewDirectory returns an empty directory; removed may be nil.
func NewDirectory(removed func(Upstream)) *Directory {
	d := &Directory{entries: map[string]*directoryEntry{}, onRemoved: removed}
	d.view.Store(&View{Services: map[string][]Upstream{}})
	return d
}

// View returns the present list.
func (d *Directory) View() *View { return d.view.Load() }

// Merge takes what the control VM source reports as changed, and returns what came of it.
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
		d.entries[u.ID] = &directoryEntry{upstream: u, source: source}
		return nil, true
	}
	was := known.upstream
	switch {
	case u.State == Gone && u.Expired:
		// Another VM may hear the upstream by now; only the VM that vouched for it may expire it.
		if known.source != source || was.State == Gone || was.newer(&u) {
			return nil, false
		}
	case u.State == Gone:
		// A goodbye may come without the start of its sender.
		if u.Born != 0 && was.Born > u.Born || was.State == Gone && !was.Expired {
			return nil, false
		}
		u.Born, u.Sequence = was.Born, max(was.Sequence, u.Sequence)
	case was.State == Gone && !was.Expired && u.Born <= was.Born:
		return nil, false
	case u.Born < was.Born || (u.Born == was.Born && u.Sequence <= was.Sequence && !was.Expired):
		return nil, false
	}
	known.upstream, known.source = u, source
	return &was, true
}

// publish makes the list anew. Of two upstreams at one address only the one that started later
// can still be there. A service all of whose upstreams fell silent keeps them: they may only be
// cut off from the control VMs.
func (d *Directory) publish() {
	latest := map[string]*directoryEntry{}
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
