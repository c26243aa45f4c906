// Package suspect prevents a request that crashes every upstream it runs on from taking down more
// than MaxLost of them.
//
// Requests are identified by a Fingerprint. Each fingerprint has an owner among the live VMs, chosen
// by rendezvous hashing, that admits one unproven run of it at a time in the whole fleet. A run that
// succeeds proves the fingerprint, and a proven one runs without restriction. A run during which its
// upstream was lost counts as a strike; the next run requests exclusive use of an upstream and needs
// the consent of all zones. After MaxLost strikes the fingerprint is quarantined on all VMs.
//
// Registry stores the state of fingerprints and Arbiter makes the decisions; both are state machines
// without I/O. Guard connects the arbiters of the VMs.
//
// Where a first run must not wait for another VM, a Tracker takes the place of Arbiter and Guard: it
// counts strikes in a Registry as they do, but lets runs start until the fingerprint is quarantined.
package suspect

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// MaxLost is the number of upstreams that a request may crash before it is quarantined.
const MaxLost = 2

// Durations and limits of a registry.
const (
	// StrikeRetention is how long strikes and quarantines last after the last loss or the last rejected
	// request.
	StrikeRetention = time.Hour
	// ProvenFor is how long a fingerprint runs without restriction after a success.
	ProvenFor = 10 * time.Minute
	// RunTimeout is how long a run counts as in progress after its VM last repeated it.
	RunTimeout = 5 * time.Second
	// maxProven limits the number of proven fingerprints, maxStruck the number of those with strikes.
	maxProven = 65_536
	maxStruck = 4_096
	// sweepInterval is how often expired entries are removed.
	sweepInterval = 10 * time.Second
)

// Fingerprint identifies requests that are equal except for spacing and letter case.
type Fingerprint string

// State is the decision about a request.
type State string

// The states of a Verdict.
const (
	Go          State = "go"
	Wait        State = "wait" // an unproven run of the same fingerprint is in progress
	Quarantined State = "quarantined"
	// CutOff means that zones in which the request may have crashed an upstream are unreachable.
	CutOff State = "cut off"
)

// RunRequest requests permission to run. Sending it again with the same run ID is idempotent.
type RunRequest struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Run         string      `json:"run"`
	VM          string      `json:"vm"`
	Start       string      `json:"start"` // identifies the VM's process
	// Known is the requesting VM's record of the fingerprint, if it has one.
	Known *Record `json:"known,omitempty"`
}

// Verdict is the response to a RunRequest.
type Verdict struct {
	State State `json:"state"`
	// Alone reports that the run should have exclusive use of an upstream.
	Alone bool `json:"alone,omitempty"`
	// Strikes is the number of strikes at the time of the decision; the run's End repeats it.
	Strikes int `json:"strikes,omitempty"`
	// Proven reports that other runs may be in progress concurrently.
	Proven bool `json:"proven,omitempty"`
}

// Outcome is the way a run ended.
type Outcome string

// The outcomes of a run.
const (
	Succeeded Outcome = "succeeded"
	// Unproven means that the run ended without a complete response, and its upstream is alive.
	Unproven Outcome = "unproven"
	// Lost means that the upstream was lost during the run.
	Lost Outcome = "lost"
)

// End reports the end of a run.
type End struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Run         string      `json:"run"`
	Outcome     Outcome     `json:"outcome"`
	// Upstream identifies the upstream process of the run, so that a loss reported by two runs
	// counts once.
	Upstream string `json:"upstream,omitempty"`
	// Subject describes the request to operators.
	Subject string `json:"subject,omitempty"`
	Strikes int    `json:"strikes,omitempty"`
}

// Strike is an upstream that was lost during a run, or a run whose end is unknown because its VM
// was lost.
type Strike struct {
	Run      string `json:"run"`
	Upstream string `json:"upstream,omitempty"` // empty: unknown
}

// displayName returns the text that identifies a strike in events.
func (s Strike) displayName() string {
	if s.Upstream == "" {
		return "unknown: the VM of run " + s.Run + " was lost"
	}
	return s.Upstream
}

// Record is the state of a fingerprint with strikes that VMs replicate to each other.
type Record struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	// Version increases when a success clears the strikes.
	Version uint64   `json:"version"`
	Struck  []Strike `json:"struck,omitempty"`
	Subject string   `json:"subject,omitempty"`
	// Remaining is the time until the record expires.
	Remaining time.Duration `json:"remaining_ns"`
	// Unconfirmed are the strikes of a Tracker that aren't confirmed. They expire by themselves.
	Unconfirmed []UnconfirmedStrike `json:"unconfirmed,omitempty"`
}

// Quarantined reports whether the record has enough strikes for the request to be rejected.
func (r Record) Quarantined() bool { return len(r.Struck) >= MaxLost }

// policy holds the parameters of a Registry.
type policy struct {
	maxLost   int // strikes that quarantine a fingerprint
	maxStruck int // number of fingerprints with strikes
	// clearsQuarantine lets a success on another VM end a quarantine. It is set where runs of a
	// fingerprint are not serialised, so that one may succeed after the last strike.
	clearsQuarantine bool
}

type entry struct {
	version   uint64
	struck    []Strike
	subject   string
	expiresAt time.Duration // of strikes and version
	provenAt  time.Duration // 0: not proven
	runs      []*run        // unproven runs in progress; several if partitions that each admitted one were merged
}

// Registry holds the strikes, proofs and runs of fingerprints on one VM. Its methods return what the
// Guard has to send to other VMs.
type Registry struct {
	policy    policy
	entries   map[Fingerprint]*entry
	running   map[Fingerprint]*entry
	proven    int
	lastSweep time.Duration
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return newRegistry(policy{maxLost: MaxLost, maxStruck: maxStruck}) }

func newRegistry(p policy) *Registry {
	return &Registry{policy: p, entries: map[Fingerprint]*entry{}, running: map[Fingerprint]*entry{}}
}

func (r *Registry) quarantined(e *entry) bool { return len(e.struck) >= r.policy.maxLost }

func (r *Registry) entry(f Fingerprint) *entry {
	e, ok := r.entries[f]
	if !ok {
		e = &entry{}
		r.entries[f] = e
	}
	return e
}

// Admit decides whether a run may start.
func (r *Registry) Admit(now time.Duration, a RunRequest) Verdict {
	if r.Rejects(now, a.Fingerprint) {
		return Verdict{State: Quarantined, Strikes: r.policy.maxLost}
	}
	e := r.entry(a.Fingerprint)
	strikes := len(e.struck)
	if strikes == 0 && e.isProven(now) {
		return Verdict{State: Go, Proven: true}
	}
	if own := e.find(a.Run); e.hasOther(a.Run) || own != nil && own.polling {
		return Verdict{State: Wait, Strikes: strikes}
	}
	r.startOrRefresh(e, a, now)
	r.checkInvariants(a.Fingerprint)
	return Verdict{State: Go, Alone: strikes > 0, Strikes: strikes}
}

// Rejects reports whether a fingerprint is quarantined; each call extends the quarantine.
func (r *Registry) Rejects(now time.Duration, f Fingerprint) bool {
	e, ok := r.entries[f]
	if !ok || !r.quarantined(e) || now > e.expiresAt {
		return false
	}
	e.expiresAt = now + StrikeRetention
	return true
}

func (e *entry) isProven(now time.Duration) bool {
	return e.provenAt > 0 && now-e.provenAt <= ProvenFor
}

func (r *Registry) strikes(f Fingerprint) int {
	if e, ok := r.entries[f]; ok {
		return len(e.struck)
	}
	return 0
}

func (r *Registry) hasStrikes(f Fingerprint) bool { return r.strikes(f) > 0 }

// Record returns the record of a fingerprint, without strikes if there is none.
func (r *Registry) Record(now time.Duration, f Fingerprint) Record {
	if e, ok := r.entries[f]; ok {
		return record(now, f, e)
	}
	return Record{Fingerprint: f}
}

// End records the end of a run. It returns the fingerprint's record and whether that changed.
func (r *Registry) End(now time.Duration, end End) (Record, bool) {
	r.Release(end.Fingerprint, end.Run)
	e := r.entry(end.Fingerprint)
	changed := false
	switch end.Outcome {
	case Succeeded:
		changed = r.succeed(now, e, end.Strikes)
	case Lost:
		changed = r.strike(now, e, Strike{Run: end.Run, Upstream: end.Upstream}, end.Subject)
	}
	r.checkInvariants(end.Fingerprint)
	return record(now, end.Fingerprint, e), changed
}

// succeed marks a fingerprint as proven. A run that started before the latest strike proves nothing.
func (r *Registry) succeed(now time.Duration, e *entry, strikes int) (changed bool) {
	if r.quarantined(e) || strikes != len(e.struck) {
		return false
	}
	if len(e.struck) > 0 {
		e.version++
		e.struck = nil
		e.expiresAt = now + StrikeRetention
		changed = true
	}
	if e.provenAt == 0 {
		r.evictProven()
		r.proven++
	}
	e.provenAt = max(now, 1)
	return changed
}

// strike records a lost upstream, once for each upstream process and run.
func (r *Registry) strike(now time.Duration, e *entry, s Strike, subject string) (changed bool) {
	r.unprove(e)
	e.expiresAt = now + StrikeRetention
	if len(e.struck) == 0 {
		r.evictStruck()
	}
	if subject != "" {
		e.subject = subject
	}
	return r.add(e, s)
}

// exceedsMaxLost reports whether the end of a run is a further strike of a quarantined fingerprint.
func (r *Registry) exceedsMaxLost(end End) bool {
	e, ok := r.entries[end.Fingerprint]
	return ok && r.quarantined(e) && !slices.ContainsFunc(e.struck, func(s Strike) bool {
		return s.Run == end.Run || s.Upstream == end.Upstream
	})
}

// add adds a strike, unless the run or the upstream already has one or the fingerprint is quarantined. A
// known run gets its upstream if that was unknown.
func (r *Registry) add(e *entry, s Strike) (changed bool) {
	for i, known := range e.struck {
		switch {
		case s.Run == known.Run:
			changed = known.Upstream == "" && s.Upstream != ""
			if changed {
				e.struck[i] = s
			}
			return changed
		case s.Upstream != "" && s.Upstream == known.Upstream:
			return false
		}
	}
	if r.quarantined(e) {
		return false
	}
	e.struck = append(e.struck, s)
	return true
}

// clear removes the strikes of a fingerprint after a success, on all VMs that merge its record.
func (r *Registry) clear(now time.Duration, f Fingerprint, retention time.Duration) {
	e := r.entry(f)
	e.version++
	e.struck = nil
	e.expiresAt = now + retention
}

func (r *Registry) unprove(e *entry) {
	if e.provenAt > 0 {
		r.proven--
	}
	e.provenAt = 0
}

// Merge merges another VM's record into the registry.
func (r *Registry) Merge(now time.Duration, rec Record) {
	if rec.Version == 0 && len(rec.Struck) == 0 {
		return
	}
	e := r.entry(rec.Fingerprint)
	if rec.Version < e.version || r.quarantined(e) && rec.Version != e.version && !r.policy.clearsQuarantine {
		return
	}
	if rec.Version > e.version {
		e.version = rec.Version
		e.struck = nil
		e.expiresAt = 0
	}
	if len(e.struck) == 0 && len(rec.Struck) > 0 {
		r.evictStruck()
	}
	for _, s := range rec.Struck {
		r.add(e, s)
		r.Release(rec.Fingerprint, s.Run)
	}
	if len(e.struck) > 0 {
		r.unprove(e)
		e.subject = rec.Subject
	}
	e.expiresAt = max(e.expiresAt, now+min(rec.Remaining, StrikeRetention))
	r.checkInvariants(rec.Fingerprint)
}

func record(now time.Duration, f Fingerprint, e *entry) Record {
	return Record{Fingerprint: f, Version: e.version, Struck: slices.Clone(e.struck), Subject: e.subject, Remaining: e.expiresAt - now}
}

// Records returns the records that have not expired, ordered by fingerprint.
func (r *Registry) Records(now time.Duration) []Record {
	var all []Record
	for f, e := range r.entries {
		if (len(e.struck) > 0 || e.version > 0) && e.expiresAt >= now {
			all = append(all, record(now, f, e))
		}
	}
	slices.SortFunc(all, func(a, b Record) int {
		if a.Fingerprint < b.Fingerprint {
			return -1
		}
		return 1
	})
	return all
}

// Tick expires runs that are no longer repeated, as classify decides for each, and removes expired
// entries at intervals. It returns the records that changed.
func (r *Registry) Tick(now time.Duration, classify func(f Fingerprint, r *run) expiry) (changed []Record) {
	for f, e := range r.running {
		for _, run := range slices.Clone(e.runs) {
			if now-run.lastSeen > RunTimeout && r.expire(now, f, run, classify(f, run)) {
				changed = append(changed, record(now, f, e))
			}
		}
	}
	if now-r.lastSweep >= sweepInterval {
		r.lastSweep = now
		r.sweep(now)
	}
	return changed
}

func (r *Registry) sweep(now time.Duration) {
	for f, e := range r.entries {
		if e.provenAt > 0 && !e.isProven(now) {
			r.unprove(e)
		}
		if now > e.expiresAt {
			e.struck, e.version = nil, 0
		}
		if len(e.runs) == 0 && e.provenAt == 0 && now > e.expiresAt {
			delete(r.entries, f)
		}
	}
}

// evictProven removes a proven fingerprint if there are too many. It has to be proven again.
func (r *Registry) evictProven() {
	if r.proven < maxProven {
		return
	}
	for f, e := range r.entries {
		if e.provenAt > 0 && len(e.runs) == 0 && e.version == 0 {
			r.unprove(e)
			delete(r.entries, f)
			return
		}
	}
}

// evictStruck removes the strikes of a fingerprint if too many have some: the one with the fewest
// strikes, so quarantines last, and among these the one that expires first.
func (r *Registry) evictStruck() {
	var oldest Fingerprint
	struck := 0
	for f, e := range r.entries {
		if len(e.struck) == 0 {
			continue
		}
		struck++
		if o := r.entries[oldest]; o == nil || len(e.struck) < len(o.struck) || len(e.struck) == len(o.struck) && e.expiresAt < o.expiresAt {
			oldest = f
		}
	}
	if struck < r.policy.maxStruck {
		return
	}
	e := r.entries[oldest]
	e.struck = nil
	if e.version == 0 && e.provenAt == 0 && len(e.runs) == 0 {
		delete(r.entries, oldest)
	}
}

// checkInvariants panics if the registry's state of a fingerprint is inconsistent.
func (r *Registry) checkInvariants(f Fingerprint) {
	e := r.entries[f]
	listed := r.running[f]
	switch {
	case (len(e.runs) > 0) != (listed == e):
		panic(errors.AssertionFailedf("suspect: the index of running fingerprints is wrong for %s", f))
	case len(e.struck) > r.policy.maxLost:
		panic(errors.AssertionFailedf("suspect: %s has %d strikes", f, len(e.struck)))
	case len(e.struck) > 0 && e.provenAt > 0:
		panic(errors.AssertionFailedf("suspect: %s is proven although it has strikes", f))
	case r.proven < 0 || r.proven > maxProven:
		panic(errors.AssertionFailedf("suspect: %d proven fingerprints", r.proven))
	}
}
