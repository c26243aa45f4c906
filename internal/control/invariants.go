package control

import "fmt"

// highWater holds the parts of a state that must never decrease.
type highWater struct {
	generation uint64
	hash       string
	withdrawn  int
	epoch      uint64
	fencing    uint64
	splits     Splits
}

// checkInvariants panics if the state regressed since the previous command or is inconsistent.
func (m *Machine) checkInvariants() {
	now := highWater{
		generation: m.config.Generation,
		hash:       m.config.Hash,
		withdrawn:  len(m.withdrawn.byID),
		epoch:      m.members.epoch,
		fencing:    m.fencing.last,
		splits:     m.splits,
	}
	if err := now.checkNotBelow(m.highWater); err != nil {
		panic("control: " + err.Error())
	}
	if err := m.consistent(now.hash != m.highWater.hash); err != nil {
		panic("control: " + err.Error())
	}
	m.highWater = now
}

// checkNotBelow returns an error if f is below an earlier state.
func (f highWater) checkNotBelow(earlier highWater) error {
	switch {
	case f.generation < earlier.generation:
		return fmt.Errorf("generation decreased from %d to %d", earlier.generation, f.generation)
	case f.generation == earlier.generation && f.hash != earlier.hash:
		return fmt.Errorf("text of generation %d changed", f.generation)
	case f.withdrawn < earlier.withdrawn:
		return fmt.Errorf("number of withdrawn keys decreased from %d to %d", earlier.withdrawn, f.withdrawn)
	case f.epoch < earlier.epoch:
		return fmt.Errorf("epoch decreased from %d to %d", earlier.epoch, f.epoch)
	case f.fencing < earlier.fencing:
		return fmt.Errorf("fencing number decreased from %d to %d", earlier.fencing, f.fencing)
	case f.splits.Split < earlier.splits.Split || f.splits.Agreed < earlier.splits.Agreed:
		return fmt.Errorf("splits decreased from %+v to %+v", earlier.splits, f.splits)
	case f.splits.Agreed > f.splits.Split:
		return fmt.Errorf("agreed split %d does not exist yet", f.splits.Agreed)
	}
	return nil
}

// consistent checks that the parts of the state agree with each other. newConfig is true if the
// configuration changed.
func (m *Machine) consistent(newConfig bool) error {
	if uint64(len(m.withdrawn.byID)) != m.withdrawn.contiguous {
		return fmt.Errorf("%d withdrawn keys, but sequences through %d", len(m.withdrawn.byID), m.withdrawn.contiguous)
	}
	for zone, right := range m.orderRights {
		if right.Zone != zone || right.Number > m.fencing.last {
			return fmt.Errorf("order right of zone %q has fencing number %d, but the last issued is %d", zone, right.Number, m.fencing.last)
		}
	}
	if n := len(m.history); n > 0 && m.history[n-1] != m.config.Acceptance {
		return fmt.Errorf("generation %d in force is not the last accepted file", m.config.Generation)
	}
	if !newConfig {
		return nil
	}
	if m.config.Text != "" && HashText(m.config.Text) != m.config.Hash {
		return fmt.Errorf("generation %d has another hash than its text", m.config.Generation)
	}
	for id, hash := range m.keys {
		if m.withdrawn.has(id, hash) {
			return fmt.Errorf("generation %d came into force with withdrawn key %q", m.config.Generation, id)
		}
	}
	return nil
}
