package program

import (
	"slices"
	"time"
)

// Attempts tracks the attempts that an entry VM owns and their leases. It reads no clock: callers
// pass in the time since boot. It is not safe for concurrent use.
type Attempts struct {
	lease         time.Duration
	renewInterval time.Duration
	byID          map[string]*ownedAttempt
}

type ownedAttempt struct {
	leaseUntil time.Duration
	renewAt    time.Duration
	answered   bool
}

// NewAttempts returns an empty list. lease is the machine's Limits.Lease; renewInterval is the time
// between two renewals of an attempt.
func NewAttempts(lease, renewInterval time.Duration) *Attempts {
	return &Attempts{lease: lease, renewInterval: renewInterval, byID: map[string]*ownedAttempt{}}
}

// Add adds an attempt that Begin started. proposedAt is when Begin was called: the group counts the
// lease from then or later, as far as the VMs' wall clocks agree.
func (a *Attempts) Add(id string, proposedAt time.Duration) {
	a.byID[id] = &ownedAttempt{leaseUntil: proposedAt + a.lease, renewAt: proposedAt + a.renewInterval}
}

// MayWrite reports whether the first byte of an attempt may be written now: the attempt is owned,
// not answered, and its lease has not expired.
func (a *Attempts) MayWrite(id string, now time.Duration) bool {
	own := a.byID[id]
	return own != nil && !own.answered && now < own.leaseUntil
}

// Due returns the attempts whose leases are to be renewed now, sorted by ID. They are due again
// after another interval, even if the renewal is not acknowledged.
func (a *Attempts) Due(now time.Duration) []string {
	var due []string
	for id, own := range a.byID {
		if now >= own.renewAt {
			own.renewAt = now + a.renewInterval
			due = append(due, id)
		}
	}
	slices.Sort(due)
	return due
}

// Renewed processes an acknowledged renewal that was proposed at sentAt. It extends the leases and
// removes the lost attempts from the list; the calls of the returned attempts are to be stopped.
func (a *Attempts) Renewed(ids []string, sentAt time.Duration, lost []string) (stop []string) {
	for _, id := range ids {
		own := a.byID[id]
		if own == nil {
			continue
		}
		if slices.Contains(lost, id) {
			delete(a.byID, id)
			stop = append(stop, id)
			continue
		}
		own.leaseUntil = max(own.leaseUntil, sentAt+a.lease)
	}
	return stop
}

// Lapsed removes and returns the attempts whose leases expired without a renewal, sorted by ID. The
// group fences them, so their answers can no longer be recorded and their calls are to be stopped.
func (a *Attempts) Lapsed(now time.Duration) []string {
	var lapsed []string
	for id, own := range a.byID {
		if now >= own.leaseUntil {
			delete(a.byID, id)
			lapsed = append(lapsed, id)
		}
	}
	slices.Sort(lapsed)
	return lapsed
}

// Verdict is how Accept classifies an answer.
type Verdict string

// The verdicts. Only an answer with the verdict Deliver is sent to a caller.
const (
	Deliver Verdict = "deliver"
	Crossed Verdict = "crossed" // the answer belongs to another attempt
	Late    Verdict = "late"    // the attempt has ended or is not owned by this VM
	Doubled Verdict = "doubled" // the attempt was already answered
)

// Accept classifies an answer that was received on the call of attempt expected and carries the ID
// of attempt got. It returns Deliver once for each attempt.
func (a *Attempts) Accept(expected, got string) Verdict {
	if got != expected {
		return Crossed
	}
	own := a.byID[expected]
	if own == nil {
		return Late
	}
	if own.answered {
		return Doubled
	}
	own.answered = true
	return Deliver
}

// Remove removes a settled attempt from the list.
func (a *Attempts) Remove(id string) {
	delete(a.byID, id)
}

// Len returns the number of attempts under way.
func (a *Attempts) Len() int {
	return len(a.byID)
}
