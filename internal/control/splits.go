package control

import (
	"egretramp/internal/config"
	"egretramp/internal/ratelimit"
)

// Splits numbers the ways in which the client accounts' buckets were split over the zones. It
// belongs to one configuration and one membership together: a VM acts on them only as a whole.
type Splits struct {
	// Revision is the log index of the last change of configuration, membership or splits.
	Revision uint64 `json:"revision"`
	// Generation and Epoch are the configuration and membership at that revision.
	Generation uint64 `json:"generation"`
	Epoch      uint64 `json:"epoch"`
	// Split grows by one with each change that can give a zone a larger part of a bucket.
	Split uint64 `json:"split"`
	// Agreed is the last split that all VMs are known to have acted under at one moment.
	Agreed uint64 `json:"agreed"`
}

// RecordAgreedSplit records that all VMs acted under a split at one moment.
type RecordAgreedSplit struct {
	Split uint64 `json:"split"`
}

// limitsOf returns the limits of a file's client accounts.
func limitsOf(file *config.File) map[string]ratelimit.Limit {
	limits := make(map[string]ratelimit.Limit, len(file.ClientAccounts))
	for _, a := range file.ClientAccounts {
		limits[a.ID] = ratelimit.Limit{RatePerSecond: a.RatePerSecond, Burst: a.Burst}
	}
	return limits
}

// zones returns the zones that have a VM, sorted.
func (s *members) zones() []string {
	set := map[string]bool{}
	for _, vm := range s.vms {
		set[vm.Zone] = true
	}
	return sortedKeys(set)
}

// updateSplits compares the state after a command with the one before it.
func (m *Machine) updateSplits(oldZones []string, oldLimits map[string]ratelimit.Limit) {
	if m.splits.Generation == m.config.Generation && m.splits.Epoch == m.members.epoch {
		return
	}
	m.splits.Generation = m.config.Generation
	m.splits.Epoch = m.members.epoch
	m.splits.Revision = m.index
	if ratelimit.SplitChanged(oldZones, m.members.zones(), oldLimits, m.limits) {
		m.splits.Split++
	}
}

func (m *Machine) recordAgreedSplit(r *RecordAgreedSplit) Result {
	if r.Split > m.splits.Agreed && r.Split <= m.splits.Split {
		m.splits.Agreed = r.Split
		m.splits.Revision = m.index
	}
	splits := m.splits
	return Result{Splits: &splits}
}
