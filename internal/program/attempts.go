package program

import (
	"slices"
	"time"
)

// Attempts is an entry VM's list of the attempts that it owns. It is pure: times are passed
// in, as time since boot. It is not safe for concurrent use.
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

// NewAttempts returns an empty list for attempts with the lease of the machine's limits.
func NewAttempts(lease, renewInterval time.Duration) *Attempts {
	return &Attempts{lease: lease, renewInterval: renewInterval, byID: map[string]*ownedAttempt{}}
}

// Add notes an attempt that Begin started. proposedAt is when Begin was called: the lease
// lasts at least from then, as far as the VMs' wall clocks agree.
func (a *Attempts) Add(id string, proposedAt time.Duration) {
	a.byID[id] = &ownedAttempt{leaseUntil: proposedAt + a.lease, renewAt: proposedAt + a.renewInterval}
}

// MayWrite reports whether the first byte of an attempt may be written now: the attempt is
// owned, not answered, and its lease has not run out.
func (a *Attempts) MayWrite(id string, now time.Duration) bool {
	own := a.byID[id]
	return own != nil && !own.answered && now < own.leaseUntil
}

// Due returns the attempts whose leases are to be renewed now, in the order of their IDs. They
// are due again after another interval, also if the renewal gets no answer.
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

// Renewed notes an acknowledged renewal. sentAt is when it was proposed. Lost attempts leave
// the list; the calls of those returned are to be stopped.
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

// Lapsed returns the attempts whose leases ran out without a renewal, in the order of their IDs,
// and forgets them. The group fences them, so their answers can't be recorded any more and their
// calls are to be stopped.
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

// Verdict says what to do with an answer.
type Verdict string

// The verdicts. Only an answer with Deliver goes to a caller.
const (
	Deliver Verdict = "deliver"
	Crossed Verdict = "crossed" // it belongs to another attempt
	Late    Verdict = "late"    // its attempt is over or not of this VM
	Doubled Verdict = "doubled" // its attempt was answered before
)

// Accept judges an answer that came on the call of attempt expected and says that it is the
// answer of attempt got. Deliver is returned once for each attempt.
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

// Remove forgets an attempt that was settled.
func (a *Attempts) Remove(id string) {
	delete(a.byID, id)
}

// Len returns how many attempts are under way.
func (a *Attempts) Len() int {
	return len(a.byID)
}
