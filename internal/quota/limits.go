package quota

import (
	"slices"
	"strings"
	"time"
)

const (
	// refreshInterval is how often a limit that an upstream keeps stating is passed on to the other side.
	refreshInterval = 5 * time.Second
	// limitRetention is how long a limit is kept after it was last stated, and the end of a limit after it was
	// noticed.
	limitRetention = 30 * time.Second
	// minUpstreamRate is the lowest rate that is used, in requests a second, so that the end of a limit is
	// noticed.
	minUpstreamRate = 0.2
)

// Statement is the rate limit that an upstream states in its responses, as sent to another VM.
type Statement struct {
	Upstream string `cbor:"1,keyasint"` // the upstream's process
	// PerSecond is the number of requests a second that the upstream takes from all VMs together.
	PerSecond float64 `cbor:"2,keyasint"`
	// Ended means that the upstream no longer states a limit.
	Ended bool `cbor:"3,keyasint,omitempty"`
	// AgeMs is the time since the statement in milliseconds.
	AgeMs int64 `cbor:"4,keyasint"`
}

// LimitTable holds the rate limits that upstreams state. Responses arrive out of order: a lower limit is in
// force at once, a higher one or the end of a limit only if its request was sent after the limit in force was
// last stated. It is not safe for concurrent use.
//
// It also holds until when upstreams are cold, by their registrations (SetCold) or by assumption (AssumeCold). A cold
// upstream has a limit, and of two limits the lower one is in force.
type LimitTable struct {
	entries map[string]*limitEntry
	cold    map[string]*coldEntry
	version uint64 // of the last change
}

type limitEntry struct {
	perSecond float64
	ended     bool
	statedAt  time.Duration // the last time
	version   uint64
	changedAt time.Duration // time of the change that version counts
}

// NewLimitTable returns an empty table.
func NewLimitTable() *LimitTable {
	return &LimitTable{entries: map[string]*limitEntry{}, cold: map[string]*coldEntry{}}
}

// Len returns the number of stated limits, those that have ended included.
func (t *LimitTable) Len() int { return len(t.entries) }

// IsEmpty reports whether the table holds nothing, so that no upstream can have a limit.
func (t *LimitTable) IsEmpty() bool { return len(t.entries) == 0 && len(t.cold) == 0 }

// Rate returns the limit of an upstream, false if it has none.
func (t *LimitTable) Rate(now time.Duration, upstream string) (Rate, bool) {
	limit, limited := t.statedRate(upstream)
	cold, isCold := t.coldLimit(now, upstream)
	switch {
	case limited && isCold:
		return lower(limit, cold), true
	case isCold:
		return cold, true
	}
	return limit, limited
}

// Rates returns a function that returns the limits at a time.
func (t *LimitTable) Rates(now time.Duration) func(upstream string) (Rate, bool) {
	return func(upstream string) (Rate, bool) { return t.Rate(now, upstream) }
}

// statedRate returns the limit that an upstream states. The burst is what the limit yields in a second.
func (t *LimitTable) statedRate(upstream string) (Rate, bool) {
	e := t.entries[upstream]
	if e == nil || e.ended {
		return Rate{}, false
	}
	perSecond := max(e.perSecond, minUpstreamRate)
	return Rate{PerSecond: perSecond, Burst: max(perSecond, 1)}, true
}

// State records a limit that a response stated whose request was sent at sentAt. It reports whether the
// limit changed.
func (t *LimitTable) State(now time.Duration, upstream string, perSecond float64, sentAt time.Duration) bool {
	e := t.entries[upstream]
	switch {
	case e == nil:
		e = &limitEntry{}
		t.entries[upstream] = e
	case e.ended:
		if now <= e.statedAt {
			return false
		}
	case perSecond == e.perSecond:
		e.statedAt = max(e.statedAt, now)
		if now-e.changedAt >= refreshInterval {
			t.bump(e, now)
		}
		return false
	case perSecond > e.perSecond && sentAt <= e.statedAt, now <= e.statedAt:
		return false
	}
	e.perSecond, e.ended, e.statedAt = perSecond, false, now
	t.bump(e, now)
	return true
}

// End records a response that states no limit, whose request was sent at sentAt. It reports whether a limit
// ended.
func (t *LimitTable) End(now time.Duration, upstream string, sentAt time.Duration) bool {
	e := t.entries[upstream]
	if e == nil || e.ended || sentAt <= e.statedAt {
		return false
	}
	e.ended, e.statedAt = true, now
	t.bump(e, now)
	return true
}

func (t *LimitTable) bump(e *limitEntry, now time.Duration) {
	t.version++
	e.version, e.changedAt = t.version, now
}

// Merge applies the statements of another VM.
func (t *LimitTable) Merge(now time.Duration, statements []Statement) {
	for _, s := range statements {
		at := now - time.Duration(max(s.AgeMs, 0))*time.Millisecond
		if s.Ended {
			t.End(at, s.Upstream, at)
		} else {
			t.State(at, s.Upstream, s.PerSecond, at)
		}
	}
}

// Since returns the statements that changed after a version, and the current version.
func (t *LimitTable) Since(now time.Duration, version uint64) ([]Statement, uint64) {
	if version >= t.version {
		return nil, t.version
	}
	var changed []Statement
	for upstream, e := range t.entries {
		if e.version > version {
			changed = append(changed, Statement{Upstream: upstream, PerSecond: e.perSecond, Ended: e.ended, AgeMs: (now - e.statedAt).Milliseconds()})
		}
	}
	slices.SortFunc(changed, func(a, b Statement) int { return strings.Compare(a.Upstream, b.Upstream) })
	return changed, t.version
}

// Prune removes the entries that were not stated for limitRetention, except for limits of upstreams that keep
// reports as running; nil means that none is.
func (t *LimitTable) Prune(now time.Duration, keep func(upstream string) bool) {
	for upstream, e := range t.entries {
		if now-e.statedAt > limitRetention && (e.ended || keep == nil || !keep(upstream)) {
			delete(t.entries, upstream)
		}
	}
	t.pruneCold(now)
}
