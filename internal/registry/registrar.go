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
	// leavingStatedAt is when a response of the upstream's process first said that it leaves, nil if none did.
	leavingStatedAt *time.Duration
	// registeredAt is when the process was first registered here, departedAt when a process of the upstream last
	// announced here that it leaves; nil if none did.
	registeredAt, departedAt *time.Duration
	// missedAt is when a registration last showed that others before it may have reached another control VM, nil if none did.
	missedAt *time.Duration
	cold     coldState
	version  uint64 // of the last change that matters to callers
}

// missed reports whether another control VM may have received the latest registrations before this one, so that it will
// expire the upstream. A gap in the sequence shows that. After a gap in time, this VM may have been frozen: registrations that
// waited for it arrive without a gap in the sequence, although they were sent to another VM as well, and can't
// replace those at that VM. So for the time until the other VM's entry has expired, all registrations count.
func (r *registration) missed(u *Upstream, now, lifetime time.Duration) bool {
	if now-r.lastSeen > time.Duration(lateShare*float64(lifetime)) {
		r.missedAt = &now
	}
	return u.Sequence > r.upstream.Sequence+1 || r.missedAt != nil && now-*r.missedAt <= lifetime
}

// isNotice reports whether the upstream is known from a LeavingNotice only.
func (r *registration) isNotice() bool { return r.leavingStatedAt != nil && r.upstream.Address == "" }

// NewRegistrar returns an empty registrar. An upstream that has not registered for lifetime counts as
// gone.
func NewRegistrar(lifetime time.Duration, clock func() time.Duration) *Registrar {
	return &Registrar{lifetime: lifetime, clock: clock, entries: map[string]*registration{}, changed: make(chan struct{})}
}

// Zones returns the availability zones of the upstreams that have registered lately. A zone may occur several times.
func (r *Registrar) Zones() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var zones []string
	for _, known := range r.entries {
		zones = append(zones, known.upstream.Zone)
	}
	return zones
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
		if known.upstream.Born == 0 && known.departedAt != nil && now-*known.departedAt < minReturnTime {
			// A late registration of the process that left, the first to arrive here.
			known.upstream.Born, known.upstream.Sequence = u.Born, u.Sequence
			return false
		}
		// Entry VMs must be notified that the upstream registers here, or the other VM's expiry would count.
		if missed := known.missed(&u, now, r.lifetime); u.sameForCallers(&known.upstream) && !missed && !known.cold.changes(&u, now) {
			known.upstream.Sequence = u.Sequence
			known.lastSeen = now
			known.cold.confirm(&u, now)
			return false
		}
	}
	known.leavingSince = leavingSince(known, &u, now)
	if u.Born != known.upstream.Born {
		known.leavingStatedAt = nil
		known.cold = coldState{}
	}
	known.cold.record(&u, now)
	if u.Born != known.upstream.Born || known.registeredAt == nil {
		known.registeredAt = &now
	}
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

// RecordLeaving records what responses of upstreams said at entry VMs. Unknown upstreams are recorded too, up to
// maxNotices, since their registrations may arrive at another VM.
func (r *Registrar) RecordLeaving(notices []LeavingNotice) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	for _, notice := range notices {
		known := r.entries[notice.ID]
		switch {
		case known == nil:
			if r.noticeCount() >= maxNotices {
				continue
			}
			known = &registration{upstream: Upstream{ID: notice.ID, Born: notice.Born, State: Draining}}
			r.entries[notice.ID] = known
		case known.isNotice() && known.upstream.Born < notice.Born:
			known.upstream.Born = notice.Born
		case known.upstream.Born != notice.Born || known.leavingStatedAt != nil:
			continue
		}
		saidAt := now - max(notice.Age, 0)
		known.leavingStatedAt = &saidAt
		known.lastSeen = now
		r.markChanged(known)
	}
}

// noticeCount returns the number of upstreams that are known from a LeavingNotice only. r.mu must be held.
func (r *Registrar) noticeCount() int {
	n := 0
	for _, known := range r.entries {
		if known.isNotice() {
			n++
		}
	}
	return n
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
	now := r.clock()
	left := known.upstream.State == Gone && !known.upstream.Expired
	if left && known.departedAt != nil && now-*known.departedAt < minReturnTime {
		return // sent again
	}
	// Even if a process has left already, a later one may have sent its registrations to another VM.
	known.upstream.State = Gone
	known.upstream.Expired = false
	known.lastSeen, known.departedAt = now, &now
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
		case known.isNotice():
			if age > goneRetention {
				delete(r.entries, id)
			}
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
			if known.leavingStatedAt != nil {
				u.LeavingStated = max(r.clock()-*known.leavingStatedAt, 1)
			}
			if known.departedAt != nil {
				u.Departed = max(r.clock()-*known.departedAt, 1)
			}
			if known.registeredAt != nil {
				u.Registered = max(r.clock()-*known.registeredAt, 1)
			}
			known.cold.describe(&u, r.clock())
			changes = append(changes, u)
		}
	}
	return changes, r.version, r.changed
}
