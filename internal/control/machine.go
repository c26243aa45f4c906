package control

import "egretramp/internal/ratelimit"

// Machine is the state of one replica. The zero value is not usable; see New.
type Machine struct {
	// index is the index of the last applied log entry.
	index   uint64
	config  Config
	history []Acceptance // accepted files, oldest first; the last one is in force
	// keys maps the key IDs of the file in force to their hashes, including withdrawn ones.
	keys      map[string]string
	withdrawn withdrawnKeys
	members   members
	fencing   fencing
	// limits are the rate limits of the client accounts in the configuration in force.
	limits map[string]ratelimit.Limit
	splits Splits
	// orderRights are the rights to order engines, by zone.
	orderRights map[string]OrderRight
	loads       Loads
	// highWater is taken after each command; the next command must not go below it.
	highWater highWater
}

// New returns a machine with an empty log.
func New() *Machine {
	return &Machine{
		keys:        map[string]string{},
		withdrawn:   newWithdrawnKeys(),
		members:     newMembers(),
		fencing:     newFencing(),
		orderRights: map[string]OrderRight{},
	}
}

// Apply applies the log entry at index and returns its JSON-encoded Result. It panics if the
// command leaves the state violating an invariant: a replica must not continue with a wrong
// state.
func (m *Machine) Apply(index uint64, data []byte) []byte {
	if index <= m.index {
		return refuse(CodeAlreadyApplied, "the log index is not above the last one applied").encode()
	}
	m.index = index
	command, err := DecodeCommand(data)
	if err != nil {
		return refuse(CodeMalformed, err.Error()).encode()
	}
	zones, limits := m.members.zones(), m.limits
	result := m.apply(command)
	m.updateSplits(zones, limits)
	m.checkInvariants()
	return result.encode()
}

func (m *Machine) apply(c Command) Result {
	switch {
	case c.ApplyConfig != nil:
		return m.applyConfig(c.ApplyConfig)
	case c.WithdrawKeys != nil:
		return m.withdrawKeys(c.WithdrawKeys)
	case c.RegisterVM != nil:
		return m.members.register(c.RegisterVM)
	case c.RemoveVM != nil:
		return m.members.remove(c.RemoveVM)
	case c.RecordAgreedSplit != nil:
		return m.recordAgreedSplit(c.RecordAgreedSplit)
	case c.AcquireOrderRight != nil:
		return m.acquireOrderRight(c.AcquireOrderRight)
	case c.ReleaseOrderRight != nil:
		return m.releaseOrderRight(c.ReleaseOrderRight)
	case c.AcquireLoadPermit != nil:
		return m.acquireLoadPermit(c.AcquireLoadPermit)
	case c.ReleaseLoadPermit != nil:
		return m.releaseLoadPermit(c.ReleaseLoadPermit)
	default:
		return Result{Fencing: m.fencing.issue(c.IssueFencing)}
	}
}

func (m *Machine) withdrawKeys(w *WithdrawKeys) Result {
	result := &Withdrawn{}
	for _, id := range sortedUnique(w.IDs) {
		hash, known := m.keys[id]
		switch {
		case m.withdrawn.hasID(id):
			result.Already = append(result.Already, id)
		case known:
			m.withdrawn.append(id, hash)
			result.Now = append(result.Now, id)
		default:
			result.Unknown = append(result.Unknown, id)
		}
	}
	return Result{Withdrawn: result}
}
