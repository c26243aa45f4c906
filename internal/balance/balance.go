// Package balance chooses the upstream for a request from the local state of one entry VM. Its
// functions are pure: the caller passes in the candidates with their load and a random number.
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
	// Inflight is the number of this VM's requests in flight to the upstream.
	Inflight int
	// Slowness is the ratio of the upstream's recent time for a request to that of its service;
	// 1 is average.
	Slowness float64
	// Failing is set for a while after requests to the upstream failed.
	Failing bool
	// Tried is set if this request was already sent to the upstream.
	Tried bool
	// Limited is set if the upstream states a rate limit while others have none: it may have no room for later
	// turns, and is nobody's home.
	Limited bool
	// Unconfirmed is set if no control VM currently confirms that the upstream exists.
	Unconfirmed bool
	// Zone is the upstream's availability zone.
	Zone string
	// Fleet is the load that all VMs cause, if it is known.
	Fleet FleetLoad
}

// Request holds the properties of a request that the choice depends on.
type Request struct {
	// Affinity is the key of the state that an upstream may still hold for the request; empty for
	// none.
	Affinity string
	// Home is the upstream that holds the state; empty if this VM has no record of it.
	Home string
	// AffinityGain is the time saved by an upstream that holds the state: that of this request and of the others
	// that run there and would wait meanwhile.
	AffinityGain time.Duration
	// OwnGain is the part of AffinityGain that this request saves.
	OwnGain time.Duration
	// New is set if no upstream holds any state yet; the affinity then only determines which
	// upstream other VMs will prefer later.
	New bool
	// Service is the usual duration of a request on an idle upstream.
	Service time.Duration
	// Draw is a random number, uniform in [0, 1), that breaks ties.
	Draw float64
	// Zone is the entry VM's zone. Origins are the zones with entry VMs, and LeaveZone the cost of an upstream in
	// another zone. They are used for candidates with a FleetLoad.
	Zone      string
	Origins   []Origin
	LeaveZone time.Duration
}

// PromptCostFactor is the cost of reading a prompt again, as a multiple of the time that it takes: all requests
// that run on the upstream wait meanwhile.
const PromptCostFactor = 12

const (
	// crossZoneCost is the cost of leaving the zone: two crossings for each later turn, and
	// billed traffic.
	crossZoneCost = 25 * time.Millisecond
	// newProgramGain is the time saved for a new program by the upstream that other VMs will prefer.
	newProgramGain = 12 * time.Millisecond
	// failingCost keeps requests off a failing upstream while any other one is usable.
	failingCost = 2 * time.Second
	// unconfirmedCost is above failingCost, since an unconfirmed upstream may no longer exist.
	unconfirmedCost = 5 * time.Second
	// maxTieBreak is the maximum cost that the random tie-break adds.
	maxTieBreak = 2 * time.Millisecond
)

// Pick returns the index of the candidate with the lowest expected cost, -1 if none is left. A
// request with an affinity has a home among the local upstreams, on which all VMs agree without
// communication (rendezvous hashing). It leaves the home when the queue there costs more than the
// home saves.
// If the load that all VMs cause is known, the decision is that of pickShared.
func Pick(candidates []Candidate, r Request) int {
	if hasFleetLoad(candidates) {
		return pickShared(candidates, r)
	}
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

// Cost returns the expected time of a request on a candidate, including penalties expressed as time
// that callers would lose. home says whether the candidate is the request's home.
func Cost(c Candidate, r Request, home bool) time.Duration {
	slots := max(c.Slots, 1)
	// Other VMs send to the upstream as well and are assumed to use its slots in equal parts.
	load := float64(c.Inflight) / float64(slots)
	cost := time.Duration(float64(r.Service) * max(c.Slowness, 0.1) * (1 + load))
	if c.Inflight >= slots {
		cost += time.Duration(float64(r.Service) * float64(c.Inflight-slots+1) / float64(slots))
	}
	if r.Affinity != "" && !home {
		if c.Limited {
			cost += r.OwnGain // few others run there
		} else {
			cost += r.AffinityGain
		}
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

// knownHome returns the index of the candidate with the given ID, -1 if there is none.
func knownHome(candidates []Candidate, id string) int {
	for i, c := range candidates {
		if id != "" && c.ID == id {
			return i
		}
	}
	return -1
}

// hashHome returns the index of the candidate with the highest rendezvous weight for an affinity:
// a local one if any candidate is local. It returns -1 if there is none.
func hashHome(candidates []Candidate, affinity string) int {
	if affinity == "" {
		return -1
	}
	best, bestWeight, anyLocal := -1, uint64(0), false
	for _, c := range candidates {
		anyLocal = anyLocal || c.Local && !c.Limited
	}
	for i, c := range candidates {
		if c.Unconfirmed || c.Limited || (anyLocal && !c.Local) {
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
	// FNV alone mixes the last bytes poorly into the high bits, so the MurmurHash3 finalizer follows.
	x := hash.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}

// jitter derives a number in [0, 1) for each candidate from a single random draw.
func jitter(draw float64, i int) float64 {
	x := draw + float64(i)*0.6180339887498949 // multiples of the golden ratio are evenly spread
	return x - float64(int(x))
}
