package quota

import (
	"time"
)

// MaxPermitWait bounds how long a request of a running program waits for a permit that the limit yields
// within that time, since the rejection of one request can end the program.
const MaxPermitWait = 800 * time.Millisecond

const (
	// reserveTime is how long the held permits should last at the recent rate of use.
	reserveTime = 400 * time.Millisecond
	// useHalfLife is the half-life of the decaying count of use.
	useHalfLife = time.Second
	// maxReserveShare bounds the held permits, as a fraction of the account's burst, so that idle
	// VMs don't hold permits that others need.
	maxReserveShare = 0.1
	// shareBurstTime is the burst of a VM without contact to the coordinator, as a time at its rate.
	shareBurstTime = time.Second
	// minNewLevel is the bucket level, as a fraction of the burst, that new work requires. The rest
	// is reserved for work under way, which a single refused request would lose as a whole.
	minNewLevel = 0.3
	// maxLevelAge is the age from which a level is ignored.
	maxLevelAge = 600 * time.Millisecond
	// minWaitNew keeps new work from being retried before the next exchange with the coordinator.
	minWaitNew = 100 * time.Millisecond
	// defaultWait is the retry delay if the coordinator gave none.
	defaultWait = 250 * time.Millisecond
)

// Holder holds the permits of an entry VM. It is not safe for concurrent use.
type Holder struct {
	accounts  map[string]*holding
	holders   int           // entry VMs that share the limits, as of the last grant
	contact   time.Duration // time of the last grant
	connected bool          // a grant has been received
	// permitLifetime is how long permits may be used after the grant, 0 for no limit.
	permitLifetime time.Duration
	// name distinguishes this VM's slots from those of other VMs; see coldShare.
	name string
	// ownColdShare is set while the coordinator grants no permits for cold upstreams.
	ownColdShare bool
	pool         poolState
}

type holding struct {
	permits    float64
	grantedAt  time.Duration // time of the last grant of permits
	recentUse  float64       // decaying count of admitted requests
	decayedAt  time.Duration
	retryAfter time.Duration // from the last grant, or from the own share
	updatedAt  time.Duration
	level      float64 // of the coordinator's bucket, as of the last grant
	hasLevel   bool    // a grant has set level
	short      bool    // the last grant was less than requested
	share      bucket  // used while the coordinator is lost
	usingShare bool
	// cold is set while the upstream is cold, requestedAt is when its permits were requested.
	cold        bool
	requestedAt time.Duration
	ownCold     coldShare // used while the coordinator is lost and the upstream cold
}

// NewHolder returns a holder without permits.
func NewHolder() *Holder { return &Holder{accounts: map[string]*holding{}} }

func (h *Holder) holding(account string, now time.Duration) *holding {
	a := h.accounts[account]
	if a == nil {
		a = &holding{decayedAt: now}
		h.accounts[account] = a
	}
	// A linear decay approximates the half-life well enough for an estimate.
	gone := float64(now-a.decayedAt) / float64(2*useHalfLife)
	a.recentUse *= max(0, 1-gone)
	a.decayedAt = now
	return a
}

// Take consumes a permit for one request of an account and reports whether there was one.
func (h *Holder) Take(now time.Duration, account string, limit Rate) bool {
	if limit.Cold {
		return h.takeCold(now, account, limit)
	}
	a := h.holding(account, now)
	a.setCold(false)
	h.expire(now, a)
	if a.permits >= 1 {
		a.permits--
		a.recentUse++
		return true
	}
	if !h.Lost(now) || h.InPool(now) {
		a.usingShare = false
		return false
	}
	a.short = false
	if h.holders == 0 {
		return false // never in contact, so the number of VMs that share the limit is unknown
	}
	rate := limit.PerSecond / float64(h.holders)
	if !a.usingShare {
		a.usingShare = true
		// The coordinator reserves a VM's share from the time of the last contact on.
		a.share = bucket{refilledAt: max(h.lossStart(), h.pool.contributedAt, now-shareBurstTime)}
	}
	h.pool.usedAt = now
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

// Lost reports whether the coordinator is lost: no grant arrived within ContactTimeout.
func (h *Holder) Lost(now time.Duration) bool { return !h.connected || now-h.contact > ContactTimeout }

// Holders returns the number of entry VMs that share the limits, as of the last grant; 0 before the first one.
func (h *Holder) Holders() int { return h.holders }

// Wait returns the time until an account without permits may get one.
func (h *Holder) Wait(now time.Duration, account string) time.Duration {
	a := h.accounts[account]
	if a == nil || a.retryAfter <= 0 || now-a.updatedAt > a.retryAfter {
		return defaultWait
	}
	return a.retryAfter - (now - a.updatedAt)
}

// WaitNew returns the time until an account's bucket is full enough for new work.
func (h *Holder) WaitNew(now time.Duration, account string, limit Rate) time.Duration {
	a := h.accounts[account]
	if a == nil || limit.PerSecond <= 0 {
		return defaultWait
	}
	missing := (minNewLevel - a.level) * limit.Burst / limit.PerSecond
	return max(time.Duration(missing*float64(time.Second))-(now-a.updatedAt), minWaitNew)
}

// Short reports whether the coordinator's last grant was less than requested.
func (h *Holder) Short(account string) bool {
	a := h.accounts[account]
	return a != nil && a.short
}

// Wants returns how many permits of each account to request, and how many to return. waiting
// is the number of requests that wait for a permit, by account; rate returns an account's limit.
func (h *Holder) Wants(now time.Duration, waiting map[string]int, rate func(account string) (Rate, bool)) (wants, returns map[string]float64) {
	wants, returns = map[string]float64{}, map[string]float64{}
	for account := range h.accounts {
		limit, ok := rate(account)
		if !ok {
			delete(h.accounts, account)
			continue
		}
		a := h.holding(account, now)
		h.expire(now, a)
		reserve := min(a.recentUse/useHalfLife.Seconds()*reserveTime.Seconds(), limit.Burst*maxReserveShare)
		need := float64(waiting[account]) + reserve - a.permits
		switch {
		case waiting[account] > 0 || need > max(reserve/2, 1):
			wants[account] = max(need, float64(waiting[account]))
		case need < -max(reserve, 1):
			// Other VMs may need the permits that are idle here.
			returns[account] = -need
			a.permits += need
		}
	}
	return wants, returns
}

// ApplyGrant applies a grant from the coordinator.
func (h *Holder) ApplyGrant(now time.Duration, g Grant) { h.ApplyGrantTo(now, now, g) }

// ApplyGrantTo applies the grant that answers a request that was sent at requestedAt. Permits for cold upstreams
// expire that much earlier, since the coordinator may have granted them at that time.
func (h *Holder) ApplyGrantTo(now, requestedAt time.Duration, g Grant) {
	h.contact, h.connected, h.holders = now, true, g.Holders
	h.pool.lastUse = max(h.pool.contributedAt, h.pool.usedAt)
	h.applyPermits(now, requestedAt, g.Permits, g.Waits, g.Levels)
}

// applyPermits adds permits that were requested at requestedAt.
func (h *Holder) applyPermits(now, requestedAt time.Duration, permits map[string]float64, waits map[string]int64, levels map[string]float64) {
	for account, permits := range permits {
		a := h.holding(account, now)
		h.expire(now, a)
		if a.cold && permits > 0 {
			a.permits = 0 // those of an earlier grant, which would live as long as the new ones
		}
		a.permits += permits
		if permits > 0 {
			a.grantedAt, a.requestedAt = now, requestedAt
		}
		a.usingShare = false
		_, a.short = waits[account]
		a.level, a.hasLevel = levels[account], true
		a.retryAfter, a.updatedAt = time.Duration(waits[account])*time.Millisecond, now
	}
}
