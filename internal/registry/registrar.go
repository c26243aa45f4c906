package registry

import (
	"sync"
	"time"
)

// Registrar holds the registrations that one control VM received. It is safe for concurrent use.
type Registrar struct {
	lifetime time.Duration
	clock    func() time.Duration

	mu      sync.Mutex
	entries map[string]*registration
	version uint64
	changed chan struct{} // closed and replaced on each change
}

type registration struct {
	upstream Upstream
	lastSeen time.Duration
	// leavingSince is when the upstream announced its shutdown here, 0 if it may have done so elsewhere before.
	leavingSince time.Duration
	version      uint64 // of the last change that matters to callers
}

// NewRegistrar returns an empty registrar. An upstream that has not registered for lifetime counts as
// gone.
func NewRegistrar(lifetime time.Duration, clock func() time.Duration) *Registrar {
	return &Registrar{lifetime: lifetime, clock: clock, entries: map[string]*registration{}, changed: make(chan struct{})}
}

// Register records a registration and reports whether it changed anything that matters to callers.
func (r *Registrar) Register(u Upstream) (changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	known := r.entries[u.ID]
	if known == nil {
		known = &registration{}
		r.entries[u.ID] = known
	} else {
		if !u.newer(&known.upstream) {
			return false
		}
		if known.upstream.State == Gone && !known.upstream.Expired && u.Born == known.upstream.Born {
			return false // an incarnation that left doesn't return
		}
		// A gap in the sequence means that another control VM received the registrations in between.
		// That VM will expire the upstream, so entry VMs must be notified that it registers here.
		missed := u.Sequence > known.upstream.Sequence+1
		if u.sameForCallers(&known.upstream) && !missed {
			known.upstream.Sequence = u.Sequence
			known.lastSeen = now
			return false
		}
	}
	known.leavingSince = leavingSince(known, &u, now)
	known.upstream = u
	known.lastSeen = now
	r.markChanged(known)
	return true
}

// leavingSince returns when an upstream that registers announced its shutdown, 0 if it hasn't or if an earlier
// registration may have reached another control VM.
func leavingSince(known *registration, u *Upstream, now time.Duration) time.Duration {
	switch {
	case u.State != Draining || u.Born != known.upstream.Born:
		return 0
	case known.upstream.State == Draining:
		return known.leavingSince
	case known.upstream.State == Ready && u.Sequence == known.upstream.Sequence+1:
		return now
	}
	return 0
}

// Leave records that an upstream has announced its shutdown. Unknown IDs are recorded too, since the
// announcement may arrive at another VM than the registrations.
func (r *Registrar) Leave(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.entries[id]
	if known == nil {
		known = &registration{upstream: Upstream{ID: id}}
		r.entries[id] = known
	}
	if known.upstream.State == Gone && !known.upstream.Expired {
		return
	}
	known.upstream.State = Gone
	known.upstream.Expired = false
	known.lastSeen = r.clock()
	r.markChanged(known)
}

// Expire marks the upstreams whose registrations stopped and removes those that have been gone for
// goneRetention. It returns the IDs of the newly expired ones.
func (r *Registrar) Expire() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	var expired []string
	for id, known := range r.entries {
		age := now - known.lastSeen
		switch {
		case known.upstream.State == Gone && age > goneRetention:
			delete(r.entries, id)
		case known.upstream.State != Gone && age > r.lifetime:
			known.upstream.State = Gone
			known.upstream.Expired = true
			expired = append(expired, id)
			r.markChanged(known)
		}
	}
	return expired
}

func (r *Registrar) markChanged(known *registration) {
	r.version++
	known.version = r.version
	close(r.changed)
	r.changed = make(chan struct{})
}

// Since returns the entries that changed after a version, the current version, and a channel that is
// closed on the next change.
func (r *Registrar) Since(version uint64) ([]Upstream, uint64, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var changes []Upstream
	for _, known := range r.entries {
		if known.version > version {
			u := known.upstream
			if known.leavingSince > 0 {
				u.Leaving = max(r.clock()-known.leavingSince, 1)
			}
			changes = append(changes, u)
		}
	}
	return changes, r.version, r.changed
}
