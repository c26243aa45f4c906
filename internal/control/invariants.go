package control

import "fmt"

// highWater is what a state may not fall below.
type highWater struct {
	generation uint64
	hash       string
	withdrawn  int
	epoch      uint64
	fencing    uint64
	splits     Splits
}

// checkInvariants panics if the state fell below the last one or contradicts itself.
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

// checkNotBelow returns an error if the state fell below an earlier one.
func (f highWater) checkNotBelow(earlier highWater) error {
	switch {
	case f.generation < earlier.generation:
		return fmt.Errorf("generation fell from %d to %d", earlier.generation, f.generation)
	case f.generation == earlier.generation && f.hash != earlier.hash:
		return fmt.Errorf("generation %d changed its text", f.generation)
	case f.withdrawn < earlier.withdrawn:
		return fmt.Errorf("withdrawn keys shrank from %d to %d", earlier.withdrawn, f.withdrawn)
	case f.epoch < earlier.epoch:
		return fmt.Errorf("epoch fell from %d to %d", earlier.epoch, f.epoch)
	case f.fencing < earlier.fencing:
		return fmt.Errorf("fencing number fell from %d to %d", earlier.fencing, f.fencing)
	case f.splits.Split < earlier.splits.Split || f.splits.Agreed < earlier.splits.Agreed:
		return fmt.Errorf("splits fell from %+v to %+v", earlier.splits, f.splits)
	case f.splits.Agreed > f.splits.Split:
		return fmt.Errorf("split %d is agreed before it was made", f.splits.Agreed)
	}
	return nil
}

// consistent checks the parts against each other; newConfig says that the configuration is new.
func (m *Machine) consistent(newConfig bool) error {
	if uint64(len(m.withdrawn.byID)) != m.withdrawn.contiguous {
		return fmt.Errorf("%d withdrawn keys, but sequences through %d", len(m.withdrawn.byID), m.withdrawn.contiguous)
	}
	for zone, right := range m.orderRights {
		if right.Zone != zone || right.Number > m.fencing.last {
			return fmt.Errorf("the right to order zone %q has number %d, the last issued is %d", zone, right.Number, m.fencing.last)
		}
	}
	if n := len(m.history); n > 0 && m.history[n-1] != m.config.Acceptance {
		return fmt.Errorf("generation %d in force is not the last accepted", m.config.Generation)
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
