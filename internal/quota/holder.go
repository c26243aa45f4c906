package quota

import (
	"time"
)

const (
	// reserveTime is for how long the permits at hand should last at the recent use.
	reserveTime = 400 * time.Millisecond
	// useHalfLife is the time in which the memory of use halves.
	useHalfLife = time.Second
	// maxReserveShare bounds the permits at hand, as a share of the account's burst, so that idle
	// VMs don't keep what others need.
	maxReserveShare = 0.1
	// shareBurstTime is the burst of a VM that has lost the coordinator, as a time at its rate.
	shareBurstTime = time.Second
	// minNewLevel is how full an account's bucket must be for new work: what is left belongs to work
	// under way, which would be lost as a whole with one request. It is a part of the burst.
	minNewLevel = 0.3
	// maxLevelAge is the age at which a level is no longer believed.
	maxLevelAge = 600 * time.Millisecond
	// minWaitNew keeps new work from coming back before the next exchange with the coordinator.
	minWaitNew = 100 * time.Millisecond
	// defaultWait is when to come back if the coordinator didn't say.
	defaultWait = 250 * time.Millisecond
)

// Holder holds an entry VM's permits. It is not safe for concurrent use.
type Holder struct {
	accounts  map[string]*holding
	holders   int // entry VMs that share the limits, as last told
	contact   time.Duration
	connected bool
}

type holding struct {
	permits    float64
	recentUse  float64 // decaying count of requests that passed
	decayedAt  time.Duration
	retryAfter time.Duration // when to come back, as told last
	updatedAt  time.Duration
	level      float64 // of the coordinator's bucket, as told last
	hasLevel   bool    // level was told
	short      bool    // the coordinator gave less than was asked for
	share      bucket  // while the coordinator is lost
	usingShare bool
}

// NewHolder returns a holder without permits.
func NewHolder() *Holder { return &Holder{accounts: map[string]*holding{}} }

func (h *Holder) holding(account string, now time.Duration) *holding {
	a := h.accounts[account]
	if a == nil {
		a = &holding{decayedAt: now}
		h.accounts[account] = a
	}
	// A linear decay is near enough to a half-life for an estimate.
	gone := float64(now-a.decayedAt) / float64(2*useHalfLife)
	a.recentUse *= max(0, 1-gone)
	a.decayedAt = now
	return a
}

// Take takes a permit for one request of an account.
func (h *Holder) Take(now time.Duration, account string, limit Rate) bool {
	a := h.holding(account, now)
	if a.permits >= 1 {
		a.permits--
		a.recentUse++
		return true
	}
	if !h.Lost(now) {
		a.usingShare = false
		return false
	}
	a.short = false
	if h.holders == 0 {
		return false // never in contact: nothing says how many share the limit
	}
	rate := limit.PerSecond / float64(h.holders)
	if !a.usingShare {
		a.usingShare = true
		// The coordinator keeps the share of a VM free from when it was last heard on.
		a.share = bucket{refilledAt: max(h.contact, now-shareBurstTime)}
	}
	a.share.refill(now, Rate{PerSecond: rate, Burst: rate * shareBurstTime.Seconds()})
	if a.share.tokens < 1 {
		a.retryAfter, a.updatedAt = time.Duration(float64(time.Second)*(1-a.share.tokens)/max(rate, 0.01)), now
		return false
	}
	a.share.tokens--
	a.recentUse++
	return true
}

// AdmitsNew reports whether an account may begin new work that will need further permits.
func (h *Holder) AdmitsNew(now time.Duration, account string) bool {
	a := h.accounts[account]
	return a == nil || !a.hasLevel || now-a.updatedAt > maxLevelAge || a.level >= minNewLevel
}

// Lost reports whether the coordinator was not heard for too long.
func (h *Holder) Lost(now time.Duration) bool { return !h.connected || now-h.contact > ContactTimeout }

// Wait returns when an account without permits may have one.
func (h *Holder) Wait(now time.Duration, account string) time.Duration {
	a := h.accounts[account]
	if a == nil || a.retryAfter <= 0 || now-a.updatedAt > a.retryAfter {
		return defaultWait
	}
	return a.retryAfter - (now - a.updatedAt)
}

// WaitNew returns when an account's bucket will be full enough for new work.
func (h *Holder) WaitNew(now time.Duration, account string, limit Rate) time.Duration {
	a := h.accounts[account]
	if a == nil || limit.PerSecond <= 0 {
		return defaultWait
	}
	missing := (minNewLevel - a.level) * limit.Burst / limit.PerSecond
	return max(time.Duration(missing*float64(time.Second))-(now-a.updatedAt), minWaitNew)
}

// Short reports whether the coordinator's last grant was less than what was asked for.
func (h *Holder) Short(account string) bool {
	a := h.accounts[account]
	return a != nil && a.short
}

// Wants returns how many permits of each account to ask for, and how many to give back. waiting
// are the requests that wait for one; rate returns an account's limit.
func (h *Holder) Wants(now time.Duration, waiting map[string]int, rate func(account string) (Rate, bool)) (wants, returns map[string]float64) {
	wants, returns = map[string]float64{}, map[string]float64{}
	for account := range h.accounts {
		limit, ok := rate(account)
		if !ok {
			delete(h.accounts, account)
			continue
		}
		a := h.holding(account, now)
		reserve := min(a.recentUse/useHalfLife.Seconds()*reserveTime.Seconds(), limit.Burst*maxReserveShare)
		need := float64(waiting[account]) + reserve - a.permits
		switch {
		case waiting[account] > 0 || need > max(reserve/2, 1):
			wants[account] = max(need, float64(waiting[account]))
		case need < -max(reserve, 1):
			// Others may need what lies idle here.
			returns[account] = -need
			a.permits += need
		}
	}
	return wants, returns
}

// ApplyGrant takes the coordinator's answer.
func (h *Holder) ApplyGrant(now time.Duration, g Grant) {
	h.contact, h.connected, h.holders = now, true, g.Holders
	for account, permits := range g.Permits {
		a := h.holding(account, now)
		a.permits += permits
		a.usingShare = false
		_, a.short = g.Waits[account]
		a.level, a.hasLevel = g.Levels[account], true
		a.retryAfter, a.updatedAt = time.Duration(g.Waits[account])*time.Millisecond, now
	}
}
