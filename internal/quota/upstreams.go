package quota

import (
	"math"
	"time"
)

const (
	// upstreamPermitLifetime is how long a permit for a request to an upstream may be used. It bounds the
	// requests that VMs can send beyond what the coordinator has granted recently.
	upstreamPermitLifetime = 500 * time.Millisecond
	// unknownLevel is the level of a bucket without a recent grant.
	unknownLevel = 0.5
	// minRecentUse is the decaying count of use from which an upstream's level is requested.
	minRecentUse = 0.1
)

// UpstreamRequest is the part of an entry VM's request that concerns rate limits of upstreams.
type UpstreamRequest struct {
	// Wants are permits by upstream; 0 requests the level of an upstream's bucket only.
	Wants map[string]float64 `cbor:"1,keyasint,omitempty"`
	// Limits are the statements that the coordinator may lack.
	Limits []Statement `cbor:"2,keyasint,omitempty"`
	// Epoch and Version describe the statements that the VM has received from a coordinator.
	Epoch   uint64 `cbor:"3,keyasint"`
	Version uint64 `cbor:"4,keyasint"`
	// Cold are the statements about cold upstreams that the coordinator may lack.
	Cold []ColdStatement `cbor:"5,keyasint,omitempty"`
}

// UpstreamGrant is the response to an UpstreamRequest.
type UpstreamGrant struct {
	Permits map[string]float64 `cbor:"1,keyasint,omitempty"`
	Waits   map[string]int64   `cbor:"2,keyasint,omitempty"`
	Levels  map[string]float64 `cbor:"3,keyasint,omitempty"`
	// Limits are the statements that changed since the request's version.
	Limits  []Statement `cbor:"4,keyasint,omitempty"`
	Epoch   uint64      `cbor:"5,keyasint"`
	Version uint64      `cbor:"6,keyasint"`
	// Cold are the statements about cold upstreams that changed since the request's version.
	Cold []ColdStatement `cbor:"7,keyasint,omitempty"`
	// GrantsCold is set by a coordinator that grants permits for cold upstreams. One of an earlier release doesn't.
	GrantsCold bool `cbor:"8,keyasint,omitempty"`
}

// UpstreamCoordinator grants permits for requests to upstreams that state a rate limit or are cold. VMs report the
// limits and receive those that others report. It is not safe for concurrent use.
type UpstreamCoordinator struct {
	epoch    uint64
	grants   *Coordinator
	limits   *LimitTable
	prunedAt time.Duration
}

// NewUpstreamCoordinator returns a coordinator that starts now. epoch differs from that of each other one.
func NewUpstreamCoordinator(now time.Duration, epoch uint64) *UpstreamCoordinator {
	grants := NewCoordinator(now)
	grants.wholePermits, grants.emptyStart = true, true
	return &UpstreamCoordinator{epoch: epoch, grants: grants, limits: NewLimitTable()}
}

// Grant handles a request of an entry VM; see Coordinator.Grant.
func (c *UpstreamCoordinator) Grant(now time.Duration, vm string, r UpstreamRequest, known int) UpstreamGrant {
	c.limits.Merge(now, r.Limits)
	c.limits.MergeCold(now, r.Cold)
	rate := c.limits.Rates(now - coldLinger)
	if now-c.prunedAt > limitRetention {
		c.prunedAt = now
		c.limits.Prune(now, nil)
		c.grants.forgetUnlimited(rate)
	}
	g := c.grants.Grant(now, Request{VM: vm, Wants: r.Wants}, known, rate)
	version := r.Version
	if r.Epoch != c.epoch {
		version = 0
	}
	limits, current := c.limits.Since(now, version)
	return UpstreamGrant{
		Permits: g.Permits, Waits: g.Waits, Levels: g.Levels, Limits: limits, Epoch: c.epoch, Version: current,
		Cold: stated(c.limits.ColdSince(now, version)), GrantsCold: true,
	}
}

// NewUpstreamHolder returns a Holder of permits for requests to upstreams. They are whole and expire.
func NewUpstreamHolder() *Holder {
	h := NewHolder()
	h.permitLifetime = upstreamPermitLifetime
	return h
}

// SetHolders sets the number of VMs that share the limits, without a grant.
func (h *Holder) SetHolders(holders int) { h.holders = holders }

// Return gives back the permit of a request that was not sent.
func (h *Holder) Return(now time.Duration, key string) {
	a := h.holding(key, now)
	if a.cold {
		return // it would outlive its lifetime
	}
	if h.Lost(now) && a.usingShare {
		a.share.tokens++
		return
	}
	a.permits++
}

// Room describes what is left of an upstream's rate limit, as far as an entry VM knows.
type Room struct {
	// Limited is false for an upstream without a limit.
	Limited bool
	// Free reports whether a request for a permit may succeed.
	Free bool
	// Level is the fill level of the coordinator's bucket, 0 to 1.
	Level float64
	// FillTime is the time in which an empty bucket fills.
	FillTime time.Duration
	// Wait is the time until there may be a permit, if Free is false.
	Wait time.Duration
	// Cold is set for an upstream that is limited because it is cold.
	Cold bool
}

// Unlimited is the Room of an upstream without a limit.
var Unlimited = Room{Free: true, Level: 1}

// Room returns what is left of a limit.
func (h *Holder) Room(now time.Duration, key string, limit Rate) Room {
	room := Room{
		Limited: true, Free: true, Level: unknownLevel, Cold: limit.Cold,
		FillTime: time.Duration(float64(time.Second) * limit.Burst / limit.PerSecond),
	}
	if limit.Cold {
		return h.coldRoom(now, key, h.holding(key, now), limit, room)
	}
	a := h.accounts[key]
	if a == nil {
		return room
	}
	a.setCold(false)
	h.expire(now, a)
	if h.Lost(now) {
		room.Free, room.Wait = h.roomInShare(now, a, limit)
		return room
	}
	if a.hasLevel && now-a.updatedAt <= maxLevelAge {
		room.Level = a.level
	}
	if a.permits < 1 && now-a.updatedAt < a.retryAfter {
		room.Free, room.Wait = false, a.retryAfter-(now-a.updatedAt)
	}
	return room
}

// roomInShare reports whether there is a permit while the coordinator is lost, or the time until then.
func (h *Holder) roomInShare(now time.Duration, a *holding, limit Rate) (room bool, wait time.Duration) {
	if a.permits >= 1 {
		return true, 0
	}
	if h.holders == 0 {
		return false, defaultWait
	}
	if !a.usingShare {
		return true, 0 // Take decides
	}
	rate := limit.PerSecond / float64(h.holders)
	tokens := a.share.tokens + rate*(now-a.share.refilledAt).Seconds()
	if tokens >= 1 {
		return true, 0
	}
	return false, time.Duration(float64(time.Second) * (1 - tokens) / rate)
}

// expire removes permits whose lifetime has ended.
func (h *Holder) expire(now time.Duration, a *holding) {
	if h.permitLifetime > 0 && now-a.grantedAt > h.permitLifetime || a.cold && now-a.requestedAt > coldPermitLifetime {
		a.permits = 0
	}
}

// UpstreamWants returns how many permits to request for each upstream with a limit that this VM uses: those that
// waiting requests lack, since a permit that isn't used expires. waiting is the number of requests that wait for
// a permit, by upstream.
func (h *Holder) UpstreamWants(now time.Duration, waiting map[string]int, rate func(upstream string) (Rate, bool)) map[string]float64 {
	wants := map[string]float64{}
	for upstream := range h.accounts {
		limit, limited := rate(upstream)
		if !limited {
			delete(h.accounts, upstream)
			continue
		}
		a := h.holding(upstream, now)
		a.setCold(limit.Cold)
		if limit.Cold && h.ownColdShare {
			continue
		}
		h.expire(now, a)
		missing := math.Ceil(float64(waiting[upstream]) - a.permits)
		if missing > 0 || a.recentUse > minRecentUse {
			wants[upstream] = max(missing, 0)
		}
	}
	return wants
}

// Held reports whether a permit is held.
func (h *Holder) Held(now time.Duration, key string) bool {
	a := h.accounts[key]
	if a == nil {
		return false
	}
	h.expire(now, a)
	return a.permits >= 1
}

// Postpone makes Room report none for at least d, unless a permit is held.
func (h *Holder) Postpone(now time.Duration, key string, d time.Duration) {
	a := h.holding(key, now)
	if a.retryAfter-(now-a.updatedAt) < d {
		a.retryAfter, a.updatedAt = d, now
	}
}
