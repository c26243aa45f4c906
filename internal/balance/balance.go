// Package balance chooses the upstream for a request from what one entry VM knows. Its functions
// are pure: the caller brings the candidates with their load and the random draw.
package balance

import (
	"hash/fnv"
	"time"
)

// Candidate is an upstream that could take a request.
type Candidate struct {
	ID    string
	Local bool // in the entry VM's zone
	Slots int
	// Inflight is the number of this VM's requests at the upstream.
	Inflight int
	// Slowness is the upstream's recent time for a request over that of its service, 1 for average.
	Slowness float64
	// Failing is set for a while after requests failed there.
	Failing bool
	// Tried is set if this request was sent there before.
	Tried bool
	// Unconfirmed upstreams are not vouched for by any control VM now.
	Unconfirmed bool
}

// Request is what the choice depends on.
type Request struct {
	// Affinity names what upstreams may still hold, empty for nothing.
	Affinity string
	// Home is the upstream that holds it, as far as this VM knows; empty if it doesn't.
	Home string
	// AffinityGain is the time that an upstream which holds it saves.
	AffinityGain time.Duration
	// New requests have left nothing at any upstream yet; their affinity only says where other
	// VMs will look first.
	New bool
	// Service is the usual time of a request at an idle upstream.
	Service time.Duration
	// Draw is uniform in [0, 1) and breaks ties.
	Draw float64
}

const (
	// crossZoneCost is what leaving the zone costs: two crossings for each turn that follows, and
	// bytes that are paid for.
	crossZoneCost = 25 * time.Millisecond
	// newProgramGain is what the upstream saves at which other VMs will look first, for new programs.
	newProgramGain = 12 * time.Millisecond
	// failingCost keeps requests away from a failing upstream while any other is usable.
	failingCost = 2 * time.Second
	// unconfirmedCost is above failingCost: it may be gone altogether.
	unconfirmedCost = 5 * time.Second
	// maxTieBreak is the most that the draw adds.
	maxTieBreak = 2 * time.Millisecond
)

// Pick returns the index of the candidate with the lowest expected cost, -1 if none is left.
// A request with an affinity has a home among the local upstreams, the same on every VM without
// any exchange (rendezvous hashing), which it leaves when the queue there costs more than it saves.
func Pick(candidates []Candidate, r Request) int {
	home := knownHome(candidates, r.Home)
	if home < 0 {
		home = hashHome(candidates, r.Affinity)
	}
	if r.New {
		r.AffinityGain = newProgramGain
	}
	best, bestCost := -1, time.Duration(0)
	for i, c := range candidates {
		if c.Tried {
			continue
		}
		cost := Cost(c, r, i == home) + time.Duration(jitter(r.Draw, i)*float64(maxTieBreak))
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// Cost is the expected time of a request at a candidate, in terms of its callers.
func Cost(c Candidate, r Request, home bool) time.Duration {
	slots := max(c.Slots, 1)
	// Others send to the upstream as well; its slots are taken as shared alike.
	load := float64(c.Inflight) / float64(slots)
	cost := time.Duration(float64(r.Service) * max(c.Slowness, 0.1) * (1 + load))
	if c.Inflight >= slots {
		cost += time.Duration(float64(r.Service) * float64(c.Inflight-slots+1) / float64(slots))
	}
	if r.Affinity != "" && !home {
		cost += r.AffinityGain
	}
	if !c.Local {
		cost += crossZoneCost
	}
	if c.Failing {
		cost += failingCost
	}
	if c.Unconfirmed {
		cost += unconfirmedCost
	}
	return cost
}

func knownHome(candidates []Candidate, id string) int {
	for i, c := range candidates {
		if id != "" && c.ID == id {
			return i
		}
	}
	return -1
}

func hashHome(candidates []Candidate, affinity string) int {
	if affinity == "" {
		return -1
	}
	best, bestWeight, anyLocal := -1, uint64(0), false
	for _, c := range candidates {
		anyLocal = anyLocal || c.Local
	}
	for i, c := range candidates {
		if c.Unconfirmed || (anyLocal && !c.Local) {
			continue
		}
		if weight := Weight(affinity, c.ID); best < 0 || weight > bestWeight {
			best, bestWeight = i, weight
		}
	}
	return best
}

// Weight is the rendezvous weight of an upstream for a key.
func Weight(key, id string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(key)) // never fails
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(id))
	// FNV alone spreads its last bytes badly over the high bits.
	x := hash.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}

// jitter makes one draw into one for each candidate.
func jitter(draw float64, i int) float64 {
	x := draw + float64(i)*0.6180339887498949 // the golden ratio spreads evenly
	return x - float64(int(x))
}
