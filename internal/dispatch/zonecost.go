package dispatch

import (
	"time"

	"egretramp/internal/schedule"
)

// Costs by which the zones are compared for a call.
const (
	// crossZoneRTT is the round trip time to another zone.
	crossZoneRTT = 5 * time.Millisecond
	// zoneChangePenalty is added if a call leaves the zone of its prefix or, without a prefix, the
	// zone where it arrived. It is far above the round trip time, so that zones don't exchange
	// calls because of summaries that are half a second old.
	zoneChangePenalty = 100 * time.Millisecond
	// recomputeWeight multiplies the time to recompute a call's prefix: a call waits up to so many
	// times as long in the zone that holds the prefix, since recomputing delays the other calls of
	// the batch.
	recomputeWeight = 4
)

// ZoneCost estimates the time that a call loses in a zone with the given load: the wait, the round
// trip, and the time to recompute its prefix. local reports whether the call arrived in the zone,
// holdsPrefix whether the zone holds the call's prefix.
func ZoneCost(l schedule.Load, local, holdsPrefix bool, r *schedule.Request) time.Duration {
	cost := time.Duration(l.WaitMS) * time.Millisecond
	if !local {
		cost += crossZoneRTT
	}
	preferred := local
	if r.Program != "" && r.Resident != "" {
		preferred = holdsPrefix
	}
	if !preferred {
		cost += zoneChangePenalty
	}
	if !holdsPrefix {
		cost += recomputeWeight * time.Duration(prefixTokens(r)*l.PrefillNS)
	}
	return cost
}

// prefixTokens returns the number of tokens of a prompt that an upstream may have cached.
func prefixTokens(r *schedule.Request) int64 {
	switch {
	case r.Program == "" || r.Resident == "":
		return 0
	case r.PrefixTokens > 0:
		return r.PrefixTokens
	}
	return r.PromptTokens
}
