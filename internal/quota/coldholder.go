package quota

import (
	"hash/fnv"
	"math"
	"time"
)

// coldShare is a VM's own share of the limit of a cold upstream. The share of one VM of many is less than a request in the
// cold time, so tokens that add up would be spent by all VMs in the same moment. Instead the time is divided into slots of
// one request each, which begin at another moment on each VM, and a slot that isn't used soon is lost.
type coldShare struct {
	perSecond float64 // of this VM; 0 before the first use
	used      float64 // number of the last slot that was used
}

// SetName sets the name by which the moments of this VM's slots differ from those of other VMs.
func (h *Holder) SetName(vm string) { h.name = vm }

// UseColdShare sets whether the coordinator grants no permits for cold upstreams, as one of an earlier release, so that
// this VM uses its own share of their limits.
func (h *Holder) UseColdShare(use bool) { h.ownColdShare = use }

// UsesShare reports whether permits for a limit come from this VM's own share.
func (h *Holder) UsesShare(now time.Duration, limit Rate) bool {
	return h.Lost(now) || limit.Cold && h.ownColdShare
}

// setCold makes the permits of a holding those for a cold upstream, or ends that. Permits that were granted by another
// limit are dropped.
func (a *holding) setCold(cold bool) {
	if cold && !a.cold {
		a.permits = 0
	}
	a.cold = cold
}

// takeCold takes a permit for one request to a cold upstream.
func (h *Holder) takeCold(now time.Duration, key string, limit Rate) bool {
	a := h.holding(key, now)
	a.setCold(true)
	h.expire(now, a)
	if a.permits >= 1 {
		a.permits--
		a.recentUse++
		return true
	}
	if !h.UsesShare(now, limit) || h.holders == 0 {
		return false
	}
	a.short = false
	slot, free, wait := h.coldSlot(now, key, a, limit)
	if !free {
		a.retryAfter, a.updatedAt = wait, now
		return false
	}
	a.ownCold.used = slot
	a.recentUse++
	return true
}

// coldSlot returns the number of the current slot, whether it may be used, and the time until the next one otherwise.
func (h *Holder) coldSlot(now time.Duration, key string, a *holding, limit Rate) (slot float64, free bool, wait time.Duration) {
	rate := limit.PerSecond / float64(h.holders)
	slot, begun := math.Modf(phase(h.name, key) + rate*now.Seconds())
	switch own := &a.ownCold; {
	case own.perSecond == 0:
		*own = coldShare{perSecond: rate, used: slot - 1}
	case own.perSecond != rate:
		*own = coldShare{perSecond: rate, used: slot} // the numbers of slots have changed
	}
	age := time.Duration(begun / rate * float64(time.Second))
	free = slot != a.ownCold.used && age <= coldPermitLifetime
	return slot, free, time.Duration((1 - begun) / rate * float64(time.Second))
}

// phase returns a number in [0, 1) that differs between VMs and upstreams.
func phase(vm, key string) float64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(vm + "\x00" + key)) // never fails
	// FNV alone mixes the last bytes poorly into the high bits, so a multiplication and a shift follow.
	x := hash.Sum64()
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	return float64(x>>11) / (1 << 53)
}

// coldRoom returns what is left of the limit of a cold upstream. room holds what doesn't depend on the holding.
func (h *Holder) coldRoom(now time.Duration, key string, a *holding, limit Rate, room Room) Room {
	a.setCold(true)
	h.expire(now, a)
	switch {
	case a.permits >= 1:
	case h.UsesShare(now, limit):
		room.Free, room.Wait = false, defaultWait
		if h.holders > 0 {
			_, room.Free, room.Wait = h.coldSlot(now, key, a, limit)
		}
	case now-a.updatedAt < a.retryAfter:
		room.Free, room.Wait = false, a.retryAfter-(now-a.updatedAt)
	}
	// The small bucket fills within milliseconds, so an earlier level says nothing.
	if a.hasLevel && now-a.updatedAt <= room.FillTime {
		room.Level = a.level
	}
	return room
}
