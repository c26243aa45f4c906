package admission

// Fleet is the use of a service's upstreams by all entry VMs.
type Fleet struct {
	Slots    int // of the upstreams that requests may be sent to
	Inflight int // requests of all VMs
}

const (
	// maxUse is the share of the slots up to which programs of the most urgent rank begin. Programs pause between their
	// turns and upstreams are never filled evenly, so turns wait before all slots are in use. In the trial of
	// docs/scheduling.md 0.8 kept most programs in time in bursts, 0.9 refused fewer at the mean load.
	maxUse = 0.85
	// fleetRankFactor lowers that share for each less urgent rank, and for accounts above their share.
	fleetRankFactor = 0.9
)

// Admits reports whether a new program may begin. rank is 0 for the most urgent programs. overShare is set for an
// account that has more than its share of the programs while others are refused.
func (f Fleet) Admits(rank int, overShare bool) bool {
	limit := maxUse * float64(f.Slots)
	if overShare {
		rank++
	}
	for range rank {
		limit *= fleetRankFactor
	}
	return float64(f.Inflight) < limit
}
