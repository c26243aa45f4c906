package dispatch

import (
	"time"

	"egretramp/internal/schedule"
)

// Costs that weigh one zone against another.
const (
	// crossZoneRTT is the time of the way to another zone and back.
	crossZoneRTT = 5 * time.Millisecond
	// zoneChangePenalty is added where a call leaves the zone of its prefix or, without one, the zone
	// where it arrived. It is far above the time of the way, so that zones don't swap calls on
	// summaries that are half a second old.
	zoneChangePenalty = 100 * time.Millisecond
	// recomputeWeight is how many times the cost of computing a prefix again a call waits in the
	// zone that holds it: computing holds up the other calls of the batch.
	recomputeWeight = 4
)

// ZoneCost estimates the time that a call loses in a zone with the given load: the wait, the way,
// and the prefix that has to be computed again. own is the zone where the call arrived, holds the
// one that holds its prefix.
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

// prefixTokens is the part of a prompt that some upstream may hold. Tokens.
func prefixTokens(r *schedule.Request) int64 {
	switch {
	case r.Program == "" || r.Resident == "":
		return 0
	case r.PrefixTokens > 0:
		return r.PrefixTokens
	}
	return r.PromptTokens
}
