package ratelimit

import (
	"maps"
	"slices"
	"time"
)

// View is one state of the control log: the membership epoch and the configuration after one entry
// of the log.
type View struct {
	Fleet  Fleet
	Limits map[string]Limit // by canonical account ID
	// Split is the number of the current split of the buckets over the zones. The control state
	// machine increments it whenever SplitChanged is true of an entry.
	Split uint64
	// AgreedSplit is the last split that the log records as agreed by all VMs.
	AgreedSplit uint64
}

// Settled is what all VMs are known to have confirmed, from membership.Holder.Settled.
type Settled struct {
	ZoneEpoch   uint64
	AgreedSplit uint64
}

// SplitChanged reports whether a change of the zones or the limits can give a zone a larger part of
// some account's bucket while another zone that has not received the change still uses its old
// part: the zones differ, an account's bucket is split over another number of zones, or an account
// is removed (it may be added again).
func SplitChanged(oldZones, newZones []string, oldLimits, newLimits map[string]Limit) bool {
	if len(oldZones) != len(newZones) {
		return true
	}
	for i := range oldZones {
		if oldZones[i] != newZones[i] {
			return true
		}
	}
	for account, before := range oldLimits {
		after, kept := newLimits[account]
		if !kept || zoneCount(before.Burst, len(newZones)) != zoneCount(after.Burst, len(newZones)) {
			return true
		}
	}
	return false
}

// account is a limiter's state of a client account.
type account struct {
	id      string
	limit   Limit
	zones   []string // that hold a part under the view, the own zone first if it is one
	part    part     // of the own zone, in force
	target  part     // of the own zone, under the view
	growAt  time.Duration
	deleted bool // kept until all VMs have agreed to the split without it

	holder      bool          // this VM holds the own zone's share under the view
	holderSince uint64        // the epoch since which it is the holder
	startAt     time.Duration // of the share; 0: the former holder may still use it
	share       *Share        // nil until started

	borrow *borrowState // nil when idle
	inBusy bool         // in Limiter.busy
}

// SetView applies a newer state of the control log. Shares and parts that it takes from this VM end
// at once; those that it adds start only after other VMs have certainly stopped using them.
func (l *Limiter) SetView(now time.Duration, v View) {
	if l.view.Fleet != nil && (v.Split < l.view.Split || v.Fleet.EpochNumber() < l.view.Fleet.EpochNumber()) {
		return
	}
	first := l.view.Fleet == nil
	if !first && v.Fleet.EpochNumber() > l.view.Fleet.EpochNumber()+1 {
		l.dropHoldings()
	}
	zones := v.Fleet.Zones()
	sameZones := slices.Equal(zones, l.zones)
	sameEpoch := !first && v.Fleet.EpochNumber() == l.view.Fleet.EpochNumber()
	l.view = v
	l.zones = zones
	l.settled.AgreedSplit = max(l.settled.AgreedSplit, v.AgreedSplit)
	for _, id := range sortedKeys(v.Limits) {
		limit := v.Limits[id]
		a := l.accounts[id]
		if a != nil && !a.deleted && sameZones && sameEpoch && a.limit == limit {
			continue
		}
		if a == nil {
			a = &account{id: id}
			l.accounts[id] = a
			l.updatePart(a, limit)
			if !first || l.splitAgreed() {
				// No VM of another zone has a part of the bucket under an earlier split.
				a.part = a.target
			}
		}
		a.deleted = false
		l.updatePart(a, limit)
		l.updateHolder(now, a)
	}
	for _, id := range sortedKeys(l.accounts) {
		if _, kept := v.Limits[id]; !kept {
			l.remove(now, l.accounts[id])
		}
	}
	l.schedulePending(now)
	l.checkInvariants()
}

// dropHoldings gives up all shares and parts of this VM after it skipped an epoch: it may have been
// removed in one, and others may have taken over and given back without its confirmation.
func (l *Limiter) dropHoldings() {
	for _, a := range l.accounts {
		a.holder = false
		a.share = nil
		a.part = part{}
		a.target = part{}
		a.growAt = 0
	}
}

// sortedKeys returns the keys in order, which makes the order of the effects deterministic.
func sortedKeys[T any](m map[string]T) []string {
	return slices.Sorted(maps.Keys(m))
}

// updatePart determines the account's zones and the own zone's part under the view. A smaller part
// takes effect at once, a larger one later.
func (l *Limiter) updatePart(a *account, limit Limit) {
	a.limit = limit
	a.zones = splitZones(a.id, limit.Burst, l.zones)
	target := part{}
	for i, z := range a.zones {
		if z == l.opts.Zone {
			target = part{Count: len(a.zones), Index: i}
			copy(a.zones[1:i+1], a.zones[:i])
			a.zones[0] = z
		}
	}
	if target != a.target {
		a.target = target
		a.growAt = 0
	}
	if !a.target.largerThan(a.part) {
		a.part = a.target
	}
}

// updateHolder starts or stops holding the own zone's share.
func (l *Limiter) updateHolder(now time.Duration, a *account) {
	holder := l.view.Fleet.Holder(a.id, l.opts.Zone) == l.opts.VM
	switch {
	case holder && !a.holder:
		a.holder = true
		a.holderSince = l.view.Fleet.EpochNumber()
		a.startAt = 0
	case !holder:
		a.holder = false
		a.share = nil
	}
	l.applyLimit(now, a)
}

func (l *Limiter) applyLimit(now time.Duration, a *account) {
	if a.share != nil {
		rate, burst := a.part.rateAndBurst(a.limit)
		a.share.SetLimit(now, rate, burst)
	}
}

// remove ends an account that is no longer in the configuration.
func (l *Limiter) remove(now time.Duration, a *account) {
	a.deleted = true
	a.holder = false
	a.share = nil
	a.part = part{}
	a.target = part{}
	l.refuseWaiting(now, a, ReasonUnknownAccount)
	if l.splitAgreed() && a.borrow == nil {
		delete(l.accounts, a.id)
	}
}

// SetSettled applies what all VMs are known to have confirmed.
func (l *Limiter) SetSettled(now time.Duration, s Settled) {
	if s.ZoneEpoch <= l.settled.ZoneEpoch && s.AgreedSplit <= l.settled.AgreedSplit {
		return
	}
	l.settled.ZoneEpoch = max(l.settled.ZoneEpoch, s.ZoneEpoch)
	l.settled.AgreedSplit = max(l.settled.AgreedSplit, s.AgreedSplit)
	l.schedulePending(now)
}

// splitAgreed reports whether at some moment all VMs used exactly the split of this VM's view.
func (l *Limiter) splitAgreed() bool {
	return l.settled.AgreedSplit == l.view.Split
}

// schedulePending schedules the start of shares whose former holders have stopped and the growth of
// parts that all VMs have agreed to. Both wait LoanHold, until earlier loans of others have expired.
func (l *Limiter) schedulePending(now time.Duration) {
	for id, a := range l.accounts {
		if a.deleted && a.borrow == nil && l.splitAgreed() {
			delete(l.accounts, id)
			continue
		}
		if a.holder && a.share == nil && a.startAt == 0 && l.settled.ZoneEpoch >= a.holderSince {
			a.startAt = now + LoanHold
			l.pending[id] = a
		}
		if a.part != a.target && a.growAt == 0 && l.splitAgreed() {
			a.growAt = now + LoanHold
			l.pending[id] = a
		}
	}
}

// startPending starts the shares and grows the parts that are due.
func (l *Limiter) startPending(now time.Duration) {
	for id, a := range l.pending {
		if a.growAt != 0 && now >= a.growAt {
			a.part = a.target
			a.growAt = 0
			l.applyLimit(now, a)
		}
		if a.holder && a.share == nil && a.startAt != 0 && now >= a.startAt {
			rate, burst := a.part.rateAndBurst(a.limit)
			// The share starts empty: the former holder may have spent all of it just before it
			// stopped.
			a.share = NewShare(now, l.opts.Incarnation, rate, burst)
		}
		if a.growAt == 0 && (a.share != nil || !a.holder) {
			delete(l.pending, id)
		}
	}
}
