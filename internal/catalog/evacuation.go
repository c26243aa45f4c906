package catalog

import "slices"

// SetEvacuation takes an availability zone out of service, or returns it to service.
type SetEvacuation struct {
	Zone      string `cbor:"1,keyasint"`
	Evacuated bool   `cbor:"2,keyasint"`
	// After is State.EvacuationOrders as the sender confirmed it before it sent the command. If another order was
	// applied meanwhile, the command changes nothing: it may be late, and must not undo that order.
	After uint64 `cbor:"3,keyasint"`
}

// setEvacuation returns Superseded if another order was applied since the sender read the state.
func (m *Machine) setEvacuation(s *SetEvacuation) Outcome {
	if s.After != m.evacuationOrders {
		return Superseded
	}
	// Orders that change nothing count as well: they were acknowledged, so earlier ones that are still under way
	// must not be applied any more.
	m.evacuationOrders++
	i, evacuated := slices.BinarySearch(m.evacuated, s.Zone)
	if evacuated != s.Evacuated {
		zones := slices.Clone(m.evacuated) // published states share the former slice
		if s.Evacuated {
			m.evacuated = slices.Insert(zones, i, s.Zone)
		} else {
			m.evacuated = slices.Delete(zones, i, i+1)
		}
		m.evacuationVersion++
	}
	m.publish()
	return InForce
}
