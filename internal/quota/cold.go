package quota

import (
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// coldPermitLifetime is how long a permit for a cold upstream may be used, counted from the request that it
	// answers: a VM that was suspended meanwhile holds no permit when it goes on. It exceeds the time for which a VM
	// with a fifth of a core may be without the processor.
	coldPermitLifetime = 200 * time.Millisecond
	// coldBurstTime is the burst of a cold upstream's bucket, as a time at its limit.
	coldBurstTime = 80 * time.Millisecond
	// coldLinger is how long the coordinator grants permits beyond the end of a cold time: VMs whose estimate of the
	// end is later still ask for them.
	coldLinger = 300 * time.Millisecond
	// assumedTolerance is by how much the end of an assumed cold time must be later to be another one: VMs compute it anew
	// at each review, and messages add their delay. coldLinger covers it at the coordinator.
	assumedTolerance = 50 * time.Millisecond
	// maxColdTime bounds the cold time that is accepted from other VMs.
	maxColdTime = time.Hour
)

// ColdState says until when a process of an upstream is cold, according to one of its registrations.
type ColdState struct {
	// PerSecond is the number of requests a second that the upstream takes from all VMs together while it is cold;
	// 0 means no limit.
	PerSecond float64
	// Until is the end of the cold time. One that has passed means that the process is not cold.
	Until time.Duration
	// Sequence is that of the registration. A registration of a lower sequence changes nothing.
	Sequence int64
	// StatedAt is when the registration was received, 0 if unknown.
	StatedAt time.Duration
}

// ColdStatement is a ColdState, or an assumption that a process is cold, as sent to another VM.
type ColdStatement struct {
	Upstream  string  `cbor:"1,keyasint"` // the upstream's process
	PerSecond float64 `cbor:"2,keyasint"`
	// RemainingMs is the rest of the cold time in milliseconds when the statement was sent.
	RemainingMs int64 `cbor:"3,keyasint"`
	Sequence    int64 `cbor:"4,keyasint"`
	// Assumed means that no registration says it. Assumptions are sent to the coordinator only, which needs the
	// limit to grant permits; other VMs decide by what they know.
	Assumed bool `cbor:"5,keyasint,omitempty"`
}

// coldEntry is what is known of a process that is or was cold.
type coldEntry struct {
	perSecond float64
	until     time.Duration // as stated
	sequence  int64         // -1 if nothing was stated
	// assumedAt and assumedUntil are the time of an assumption, and the end of the cold time by it.
	assumedAt, assumedUntil time.Duration
	version                 uint64
}

func (e *coldEntry) end() time.Duration { return max(e.until, e.assumedUntil) }

// coldRate returns the limit that is enforced for a cold upstream that takes perSecond requests a second. In any
// second it receives at most the burst and what is granted in a second and the lifetime of a permit, which together
// are perSecond. A limit of up to 2 a second can't be kept that way with whole permits; half of it is granted.
func coldRate(perSecond float64) Rate {
	burst := max(perSecond*coldBurstTime.Seconds(), 1)
	granted := max((perSecond-burst)/(1+coldPermitLifetime.Seconds()), perSecond/2, minUpstreamRate)
	return Rate{PerSecond: granted, Burst: burst, Cold: true}
}

// lower returns the limit that keeps both a and b.
func lower(a, b Rate) Rate {
	return Rate{PerSecond: min(a.PerSecond, b.PerSecond), Burst: min(a.Burst, b.Burst), Cold: a.Cold || b.Cold}
}

// coldLimit returns the limit of an upstream that is cold, false if it isn't.
func (t *LimitTable) coldLimit(now time.Duration, upstream string) (Rate, bool) {
	e := t.cold[upstream]
	if e == nil || e.perSecond <= 0 || e.end() <= now {
		return Rate{}, false
	}
	return coldRate(e.perSecond), true
}

// IsCold reports whether an upstream is limited because it is cold.
func (t *LimitTable) IsCold(now time.Duration, upstream string) bool {
	_, cold := t.coldLimit(now, upstream)
	return cold
}

// ColdCount returns the number of processes that are limited because they are cold.
func (t *LimitTable) ColdCount(now time.Duration) int {
	n := 0
	for upstream := range t.cold {
		if t.IsCold(now, upstream) {
			n++
		}
	}
	return n
}

// SetCold records what a registration says. It reports whether a limit began, ended or changed. Of several
// estimates of the end by the same registration the earliest counts, since each transfer adds its delay.
func (t *LimitTable) SetCold(now time.Duration, upstream string, s ColdState) bool {
	e := t.cold[upstream]
	if !(s.PerSecond > 0) || math.IsInf(s.PerSecond, 0) {
		s.PerSecond = 0
	}
	s.Until = min(s.Until, now+maxColdTime)
	if e == nil {
		if s.Until <= now || s.PerSecond == 0 {
			return false
		}
		e = &coldEntry{sequence: -1}
		t.cold[upstream] = e
	}
	if s.Sequence < e.sequence {
		return false
	}
	was, wasCold := t.coldLimit(now, upstream)
	if s.StatedAt > e.assumedAt {
		e.assumedUntil = 0
	}
	changed := s.Sequence > e.sequence || s.PerSecond != e.perSecond
	if s.Sequence == e.sequence {
		s.Until = min(s.Until, e.until)
	}
	extended := s.Until > e.until
	e.perSecond, e.until, e.sequence = s.PerSecond, s.Until, s.Sequence
	if changed {
		t.version++
		e.version = t.version
	}
	is, isCold := t.coldLimit(now, upstream)
	return changed && (wasCold != isCold || was != is || isCold && extended)
}

// AssumeCold records that a process counts as cold although no registration says so. SetCold with a registration
// that was received later ends it. It reports whether the assumption is new.
func (t *LimitTable) AssumeCold(now time.Duration, upstream string, perSecond float64, until time.Duration) bool {
	until = min(until, now+maxColdTime)
	if !(perSecond > 0) || math.IsInf(perSecond, 0) || until <= now {
		return false
	}
	e := t.cold[upstream]
	if e == nil {
		e = &coldEntry{sequence: -1}
		t.cold[upstream] = e
	}
	if until <= e.assumedUntil+assumedTolerance && perSecond == e.perSecond {
		return false
	}
	e.perSecond, e.assumedAt, e.assumedUntil = perSecond, now, max(until, e.assumedUntil)
	t.version++
	e.version = t.version
	return true
}

// MergeCold applies the statements of another VM.
func (t *LimitTable) MergeCold(now time.Duration, statements []ColdStatement) {
	for _, s := range statements {
		until := now + time.Duration(min(max(s.RemainingMs, 0), maxColdTime.Milliseconds()))*time.Millisecond
		if s.Assumed {
			t.AssumeCold(now, s.Upstream, s.PerSecond, until)
			continue
		}
		t.SetCold(now, s.Upstream, ColdState{PerSecond: s.PerSecond, Until: until, Sequence: s.Sequence})
	}
}

// ColdSince returns the statements about cold processes that changed after a version of the table; see Since.
func (t *LimitTable) ColdSince(now time.Duration, version uint64) []ColdStatement {
	if version >= t.version {
		return nil
	}
	var changed []ColdStatement
	for upstream, e := range t.cold {
		if e.version <= version {
			continue
		}
		s := ColdStatement{Upstream: upstream, PerSecond: e.perSecond, Sequence: e.sequence}
		if e.sequence >= 0 {
			s.RemainingMs = remainingMs(now, e.until)
			changed = append(changed, s)
		}
		if e.assumedUntil > now {
			s.RemainingMs, s.Assumed = remainingMs(now, e.assumedUntil), true
			changed = append(changed, s)
		}
	}
	slices.SortStableFunc(changed, func(a, b ColdStatement) int { return strings.Compare(a.Upstream, b.Upstream) })
	return changed
}

// remainingMs returns the milliseconds until a time, rounded up, 0 if it has passed.
func remainingMs(now, until time.Duration) int64 {
	return int64(max((until-now+time.Millisecond-1)/time.Millisecond, 0))
}

// stated returns the statements that are no assumptions.
func stated(statements []ColdStatement) []ColdStatement {
	return slices.DeleteFunc(statements, func(s ColdStatement) bool { return s.Assumed })
}

// pruneCold removes the processes whose cold time ended more than limitRetention ago.
func (t *LimitTable) pruneCold(now time.Duration) {
	for upstream, e := range t.cold {
		if now-e.end() > limitRetention {
			delete(t.cold, upstream)
		}
	}
}
