package dispatch

import (
	"time"

	"egretramp/internal/schedule"
)

// Costs that weigh one zone against another.
const (
	// wayCost is the time of the way to another zone and back.
	wayCost = 5 * time.Millisecond
	// leaveCost is added where a call leaves the zone of its prefix or, without one, the zone
	// where it arrived. It is far above the time of the way, so that zones don't swap calls on
	// summaries that are half a second old.
	leaveCost = 100 * time.Millisecond
	// prefixPatience is how many times the cost of computing a prefix again a call waits in the
	// zone that holds it: computing holds up the other calls of the batch.
	prefixPatience = 4
)

// ZoneCost estimates the time that a call loses in a zone with the given load: the wait, the way,
// and the prefix that has to be computed again. own is the zone where the call arrived, holds the
// one that holds its prefix.
func ZoneCost(l schedule.Load, own, holds bool, r *schedule.Request) time.Duration {
	cost := time.Duration(l.WaitMS) * time.Millisecond
	if !own {
		cost += wayCost
	}
	stays := own
	if r.Program != "" && r.Resident != "" {
		stays = holds
	}
	if !stays {
		cost += leaveCost
	}
	if !holds {
		cost += prefixPatience * time.Duration(prefix(r)*l.PrefillNS)
	}
	return cost
}

// prefix is the part of a prompt that some upstream may hold. Tokens.
func prefix(r *schedule.Request) int64 {
	switch {
	case r.Program == "" || r.Resident == "":
		return 0
	case r.PrefixTokens > 0:
		return r.PrefixTokens
	}
	return r.PromptTokens
}
