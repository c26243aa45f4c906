package suspect

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// MaxCrashes is the number of upstreams that a request may crash on VMs that use a Tracker before it
// is quarantined. It is higher than MaxLost because a request shares its upstreams with others there,
// whose crashes it gets strikes for as well.
const MaxCrashes = 3

const (
	// maxTracked limits the number of fingerprints with strikes in a Tracker.
	maxTracked = 1024
	// successRetention is how long after a success losses don't count.
	successRetention = 10 * time.Second
	// clearedRetention is how long a record without strikes is kept, so that all VMs receive it.
	clearedRetention = time.Minute
	// refreshInterval is the extension of a quarantine that is reported to other VMs.
	refreshInterval = StrikeRetention / 8
)

// Tracker counts the upstreams that requests crash, on VMs that start runs without asking another VM.
// Lost reports a crash, and once MaxCrashes upstream processes have ended during runs of a fingerprint,
// Rejects reports true on every VM that has received the record. VMs exchange records through Since and
// Merge.
//
// A success shows that a request does not crash its upstreams: it clears the strikes, and losses within
// successRetention after it don't count. Otherwise several upstreams that are lost at once, as in a power
// loss, would quarantine a request that is sent often.
//
// Silent reports an upstream whose host fell silent, which may have crashed. Such a strike counts until it
// expires, so that the request doesn't go on meanwhile.
//
// Tracker is safe for concurrent use.
type Tracker struct {
	clock func() time.Duration
	// tracked is the number of fingerprints with changes, for Empty.
	tracked atomic.Int64

	mu        sync.Mutex
	registry  *Registry
	successes recentSuccesses
	// unconfirmed holds the strikes of Silent, subjects the description of their requests.
	unconfirmed map[Fingerprint][]unconfirmed
	subjects    map[Fingerprint]string
	changes     map[Fingerprint]change
	version     uint64
	changed     chan struct{} // closed and replaced on each change
}

// change holds the versions of a record's last changes, 0 for none.
type change struct {
	version    uint64 // of any change
	ownVersion uint64 // of a change that this VM caused
}

// NewTracker returns an empty tracker.
func NewTracker(clock func() time.Duration) *Tracker {
	return &Tracker{
		clock:    clock,
		registry: newRegistry(policy{maxLost: MaxCrashes, maxStruck: maxTracked, clearsQuarantine: true}),
		changes:  map[Fingerprint]change{}, changed: make(chan struct{}),
		unconfirmed: map[Fingerprint][]unconfirmed{}, subjects: map[Fingerprint]string{},
	}
}

// Empty reports whether no fingerprint has strikes, so that Rejects is false for all of them.
func (t *Tracker) Empty() bool { return t.tracked.Load() == 0 }

// Rejects reports whether a fingerprint is quarantined; each call extends the quarantine.
func (t *Tracker) Rejects(f Fingerprint) bool {
	_, rejected := t.Rejection(f)
	return rejected
}

// Rejection is Rejects, and returns after which time the request may be sent again.
func (t *Tracker) Rejection(f Fingerprint) (retryAfter time.Duration, rejected bool) {
	if t.Empty() {
		return 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock()
	before := t.registry.Record(now, f).Remaining
	if !t.registry.Rejects(now, f) {
		suspended := t.suspendedFor(now, f)
		return suspended, suspended > 0
	}
	if StrikeRetention-before > refreshInterval {
		t.markChanged(f, true)
	}
	return StrikeRetention, true
}

// Lost records that an upstream process ended during a run. subject describes the request to operators.
// It returns the fingerprint's record and whether the strike was counted.
func (t *Tracker) Lost(f Fingerprint, s Strike, subject string) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock()
	if t.successes.contains(now, f) {
		return t.record(now, f), false
	}
	counted := t.registry.strike(now, t.registry.entry(f), s, subject)
	if counted {
		t.markChanged(f, true)
	}
	return t.record(now, f), counted
}

// Succeeded records that a run ended with a complete response. It reports whether that cleared strikes.
func (t *Tracker) Succeeded(f Fingerprint) (cleared bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock()
	t.successes.add(now, f)
	return t.clear(now, f)
}

// clear removes the strikes of a fingerprint, if it has some. t.mu must be held.
func (t *Tracker) clear(now time.Duration, f Fingerprint) bool {
	if !t.registry.hasStrikes(f) && len(t.unconfirmed[f]) == 0 {
		return false
	}
	t.forgetUnconfirmed(f)
	t.registry.clear(now, f, clearedRetention)
	t.markChanged(f, true)
	return true
}

// Merge merges the records of another VM and returns those that changed.
func (t *Tracker) Merge(records []Record) (changed []Record) {
	if len(records) == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock()
	for _, rec := range records {
		f := rec.Fingerprint
		before := t.registry.Record(now, f)
		t.registry.Merge(now, rec)
		if rec.Version > before.Version {
			t.forgetUnconfirmed(f)
		}
		added := rec.Version >= before.Version && t.addUnconfirmed(now, f, rec.Unconfirmed)
		if added {
			t.subjects[f] = rec.Subject
		}
		if !added && !t.registry.Record(now, f).differs(before) {
			continue
		}
		t.markChanged(f, false)
		if t.successes.contains(now, f) {
			t.clear(now, f)
		}
		changed = append(changed, t.record(now, f))
	}
	return changed
}

// differs reports whether a record has to be sent to VMs that have an older one.
func (r Record) differs(old Record) bool {
	return r.Version != old.Version || !slices.Equal(r.Struck, old.Struck) || r.Remaining-old.Remaining > refreshInterval
}

// markChanged assigns the next version to a record. own is set for changes that this VM caused. t.mu must
// be held.
func (t *Tracker) markChanged(f Fingerprint, own bool) {
	t.version++
	c := t.changes[f]
	c.version = t.version
	if own {
		c.ownVersion = t.version
	}
	t.changes[f] = c
	t.tracked.Store(int64(len(t.changes)))
	close(t.changed)
	t.changed = make(chan struct{})
}

// Version returns the current version, 0 before the first change, and a channel that is closed on the next
// change.
func (t *Tracker) Version() (uint64, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version, t.changed
}

// Since returns the records that changed after a version, and the results of Version.
func (t *Tracker) Since(version uint64) ([]Record, uint64, <-chan struct{}) {
	return t.recordsSince(version, func(c change) uint64 { return c.version })
}

// OwnSince is Since for the changes that this VM caused.
func (t *Tracker) OwnSince(version uint64) ([]Record, uint64, <-chan struct{}) {
	return t.recordsSince(version, func(c change) uint64 { return c.ownVersion })
}

func (t *Tracker) recordsSince(version uint64, versionOf func(change) uint64) ([]Record, uint64, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.version <= version {
		return nil, t.version, t.changed
	}
	now := t.clock()
	var records []Record
	for f, c := range t.changes {
		if versionOf(c) > version {
			records = append(records, t.record(now, f))
		}
	}
	slices.SortFunc(records, func(a, b Record) int { return strings.Compare(string(a.Fingerprint), string(b.Fingerprint)) })
	return records, t.version, t.changed
}

// Sweep removes expired records. It is called periodically.
func (t *Tracker) Sweep() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock()
	t.registry.sweep(now)
	for f := range t.unconfirmed {
		t.dropUnconfirmed(now, f)
	}
	for f := range t.changes {
		if e := t.registry.entries[f]; (e == nil || len(e.struck) == 0 && e.version == 0) && len(t.unconfirmed[f]) == 0 {
			delete(t.changes, f)
		}
	}
	t.tracked.Store(int64(len(t.changes)))
}

// recentSuccesses holds the fingerprints that succeeded within the last successRetention, or up to twice
// that long ago.
type recentSuccesses struct {
	current, previous map[Fingerprint]struct{}
	rotatedAt         time.Duration
}

// maxRecentSuccesses bounds each of the two sets of a recentSuccesses.
const maxRecentSuccesses = 8192

func (r *recentSuccesses) add(now time.Duration, f Fingerprint) {
	r.rotate(now)
	r.current[f] = struct{}{}
}

func (r *recentSuccesses) contains(now time.Duration, f Fingerprint) bool {
	r.rotate(now)
	_, current := r.current[f]
	_, previous := r.previous[f]
	return current || previous
}

func (r *recentSuccesses) rotate(now time.Duration) {
	age := now - r.rotatedAt
	if r.current != nil && age < successRetention && len(r.current) < maxRecentSuccesses {
		return
	}
	r.previous = r.current
	if age >= 2*successRetention {
		r.previous = nil
	}
	r.current = map[Fingerprint]struct{}{}
	r.rotatedAt = now
}
