// Package suspect keeps a request that crashes each upstream that runs it from taking down more
// than MaxLost of them.
//
// Requests are known by a Fingerprint. Each fingerprint has an owner among the live VMs, chosen
// by rendezvous hashing, that lets one unproven run of it go at a time over the whole fleet. A run
// that succeeds proves the fingerprint, and a proven one runs freely. A run during which its
// upstream was lost is a strike; the next run asks for an upstream to itself and needs the
// consent of all zones, and after MaxLost strikes the fingerprint is quarantined on all VMs.
//
// Registry has the fingerprints, Arbiter decides; both are state machines without I/O. Guard
// connects the arbiters of the VMs.
package suspect

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// MaxLost is how many upstreams may be lost to a request before it is quarantined.
const MaxLost = 2

// Times and bounds of a registry.
const (
	// StrikeRetention is how long strikes and quarantines last after the last loss or the last request
	// that was turned away.
	StrikeRetention = time.Hour
	// ProvenFor is how long a fingerprint runs freely after a success.
	ProvenFor = 10 * time.Minute
	// RunTimeout is how long a run is believed in that its VM no longer repeats.
	RunTimeout = 5 * time.Second
	// maxProven bounds the proven fingerprints, maxStruck those with strikes.
	maxProven = 65_536
	maxStruck = 4_096
	// sweepInterval is how often what has passed is dropped.
	sweepInterval = 10 * time.Second
)

// Fingerprint names what is the same request but for spacing and letter case.
type Fingerprint string

// State says what a request may do.
type State string

// The states.
const (
	Go          State = "go"
	Wait        State = "wait" // an unproven run of the same fingerprint is under way
	Quarantined State = "quarantined"
	// CutOff: zones that may have lost an upstream to it are out of reach.
	CutOff State = "cut off"
)

// RunRequest asks for leave to run. Sent again with the same run it gets the same answer.
type RunRequest struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Run         string      `json:"run"`
	VM          string      `json:"vm"`
	Start       string      `json:"start"` // of the VM's process
	// Known is what the asking VM has of the fingerprint, if it has strikes.
	Known *Record `json:"known,omitempty"`
}

// Verdict answers an Ask.
type Verdict struct {
	State State `json:"state"`
	// Alone says that the run should have an upstream to itself.
	Alone bool `json:"alone,omitempty"`
	// Strikes is how many strikes the registry counted; it is repeated in the run's End.
	Strikes int `json:"strikes,omitempty"`
	// Proven says that other runs may go beside it.
	Proven bool `json:"proven,omitempty"`
}

// Outcome says how a run ended.
type Outcome string

// The outcomes.
const (
	Succeeded Outcome = "succeeded"
	// Unproven: the run ended without a whole answer, and its upstream lives.
	Unproven Outcome = "unproven"
	// Lost: the upstream was lost during the run.
	Lost Outcome = "lost"
)

// End reports the end of a run.
type End struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Run         string      `json:"run"`
	Outcome     Outcome     `json:"outcome"`
	// Upstream is the process that ran it: a loss that two runs report counts once.
	Upstream string `json:"upstream,omitempty"`
	// Subject tells operators what the request was.
	Subject string `json:"subject,omitempty"`
	Strikes int    `json:"strikes,omitempty"`
}

// Strike is an upstream that was lost during a run, or a run whose end is unknown because its VM
// was lost.
type Strike struct {
	Run      string `json:"run"`
	Upstream string `json:"upstream,omitempty"` // empty: unknown
}

// displayName is how events show a strike.
func (s Strike) displayName() string {
	if s.Upstream == "" {
		return "unknown: the VM of run " + s.Run + " was lost"
	}
	return s.Upstream
}

// Record is what VMs tell each other of a fingerprint with strikes.
type Record struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	// Version grows when a success clears the strikes.
	Version uint64   `json:"version"`
	Struck  []Strike `json:"struck,omitempty"`
	Subject string   `json:"subject,omitempty"`
	// Remaining is how long the record still lasts.
	Remaining time.Duration `json:"remaining_ns"`
}

// Quarantined reports whether the request is turned away.
func (r Record) Quarantined() bool { return len(r.Struck) >= MaxLost }

type entry struct {
	version   uint64
	struck    []Strike
	subject   string
	expiresAt time.Duration // of strikes and version
	provenAt  time.Duration // 0: not proven
	runs      []*run        // unproven ones under way; more than one where sides of a cut met
}

func (e *entry) quarantined() bool { return len(e.struck) >= MaxLost }

// Registry is one VM's part. Its methods return what the Guard has to pass on.
type Registry struct {
	entries   map[Fingerprint]*entry
	running   map[Fingerprint]*entry
	proven    int
	lastSweep time.Duration
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{entries: map[Fingerprint]*entry{}, running: map[Fingerprint]*entry{}}
}

func (r *Registry) entry(f Fingerprint) *entry {
	e, ok := r.entries[f]
	if !ok {
		e = &entry{}
		r.entries[f] = e
	}
	return e
}

// Admit decides whether a run may go.
func (r *Registry) Admit(now time.Duration, a RunRequest) Verdict {
	if r.Rejects(now, a.Fingerprint) {
		return Verdict{State: Quarantined, Strikes: MaxLost}
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

// Rejects reports whether a fingerprint is quarantined; asking prolongs the quarantine.
func (r *Registry) Rejects(now time.Duration, f Fingerprint) bool {
	e, ok := r.entries[f]
	if !ok || !e.quarantined() || now > e.expiresAt {
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

// Record returns what there is of a fingerprint.
func (r *Registry) Record(now time.Duration, f Fingerprint) Record {
	if e, ok := r.entries[f]; ok {
		return record(now, f, e)
	}
	return Record{Fingerprint: f}
}

// End takes the end of a run. It returns the fingerprint's record if that changed.
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

// succeed proves a fingerprint. A run that began before the newest strike proves nothing.
func (r *Registry) succeed(now time.Duration, e *entry, strikes int) (changed bool) {
	if e.quarantined() || strikes != len(e.struck) {
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

// strike counts a lost upstream once.
func (r *Registry) strike(now time.Duration, e *entry, s Strike, subject string) (changed bool) {
	r.unprove(e)
	e.expiresAt = now + StrikeRetention
	if len(e.struck) == 0 {
		r.evictStruck()
	}
	if subject != "" {
		e.subject = subject
	}
	return e.add(s)
}

// exceedsMaxLost reports whether the end of a run is one strike more than MaxLost.
func (r *Registry) exceedsMaxLost(end End) bool {
	e, ok := r.entries[end.Fingerprint]
	return ok && e.quarantined() && !slices.ContainsFunc(e.struck, func(s Strike) bool {
		return s.Run == end.Run || s.Upstream == end.Upstream
	})
}

// add adds a strike, unless the run or the upstream has one already or there are enough.
func (e *entry) add(s Strike) (changed bool) {
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
	if e.quarantined() {
		return false
	}
	e.struck = append(e.struck, s)
	return true
}

func (r *Registry) unprove(e *entry) {
	if e.provenAt > 0 {
		r.proven--
	}
	e.provenAt = 0
}

// Merge takes another VM's record.
func (r *Registry) Merge(now time.Duration, rec Record) {
	if rec.Version == 0 && len(rec.Struck) == 0 {
		return
	}
	e := r.entry(rec.Fingerprint)
	if rec.Version < e.version || e.quarantined() && rec.Version != e.version {
		return
	}
	if rec.Version > e.version {
		e.version = rec.Version
		e.struck = nil
	}
	for _, s := range rec.Struck {
		e.add(s)
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

// Records returns the records that last, in the order of their fingerprints.
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

// Tick lets runs lapse that nobody repeats, and drops what has passed. judge says what becomes
// of a run. It returns the records that changed.
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

// evictProven drops a proven fingerprint if there are too many: it has to prove itself again.
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

// evictStruck drops the strike that ends first if there are too many, quarantines last.
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
	if struck >= maxStruck {
		r.entries[oldest].struck = nil
	}
}

// checkInvariants panics if what the registry has of a fingerprint contradicts itself.
func (r *Registry) checkInvariants(f Fingerprint) {
	e := r.entries[f]
	listed := r.running[f]
	switch {
	case (len(e.runs) > 0) != (listed == e):
		panic(errors.AssertionFailedf("suspect: the runs of %s are not listed, or listed and over", f))
	case len(e.struck) > MaxLost:
		panic(errors.AssertionFailedf("suspect: %s has %d strikes", f, len(e.struck)))
	case len(e.struck) > 0 && e.provenAt > 0:
		panic(errors.AssertionFailedf("suspect: %s is proven with strikes", f))
	case r.proven < 0 || r.proven > maxProven:
		panic(errors.AssertionFailedf("suspect: %d proven fingerprints", r.proven))
	}
}
