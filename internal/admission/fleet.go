package admission

// Fleet is the use of a service's upstreams by all entry VMs.
type Fleet struct {
	Slots    int // of the upstreams that requests may be sent to
	Inflight int // requests of all VMs
}

const (
	// maxUse is the share of the slots up to which programs of the most urgent rank begin while turns are slow. Programs
	// pause between their turns and upstreams are never filled evenly, so turns wait before all slots are in use.
	maxUse = 0.85
	// maxInTimeUse is that share while turns are in time: some requests may wait. It bounds what all VMs begin before one of
	// them sees slow turns.
	maxInTimeUse = 1.25
	// fleetRankFactor lowers these shares for each less urgent rank, overShareFactor for accounts above their share.
	fleetRankFactor = 0.95
	overShareFactor = 0.9
)

// Admits reports whether a new program may begin. rank is 0 for the most urgent programs. overShare is set for an
// account that has more than its share of the programs while others are refused. slow is set if the turns of this VM
// take too long, as its Controller finds: that alone is no reason to refuse, since some upstreams are slower than others,
// nor are slots in use while turns are in time.
func (f Fleet) Admits(rank int, overShare, slow bool) bool {
	limit := maxInTimeUse * float64(f.Slots)
	if slow {
		limit = maxUse * float64(f.Slots)
	}
	if overShare {
		limit *= overShareFactor
	}
	for range rank {
		limit *= fleetRankFactor
	}
	return float64(f.Inflight) < limit
}
