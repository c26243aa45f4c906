package control

import (
	"egretramp/internal/config"
	"egretramp/internal/ratelimit"
)

// Splits identifies how the client accounts' token buckets are split over the zones. It belongs to
// one configuration and one membership: a VM uses the three only together.
type Splits struct {
	// Revision is the log index of the last change of the configuration, membership or splits.
	Revision uint64 `json:"revision"`
	// Generation and Epoch are those of the configuration and membership at Revision.
	Generation uint64 `json:"generation"`
	Epoch      uint64 `json:"epoch"`
	// Split increases by one with each change that can give a zone a larger part of a bucket.
	Split uint64 `json:"split"`
	// Agreed is the last split that all VMs are known to have used at the same time.
	Agreed uint64 `json:"agreed"`
}

// RecordAgreedSplit records that all VMs used a split at the same time.
type RecordAgreedSplit struct {
	Split uint64 `json:"split"`
}

// limitsOf returns the rate limits of a file's client accounts, by account ID.
func limitsOf(file *config.File) map[string]ratelimit.Limit {
	limits := make(map[string]ratelimit.Limit, len(file.ClientAccounts))
	for _, a := range file.ClientAccounts {
		limits[a.ID] = ratelimit.Limit{RatePerSecond: a.RatePerSecond, Burst: a.Burst}
	}
	return limits
}

// zones returns the zones that have at least one member, sorted.
func (s *members) zones() []string {
	set := map[string]bool{}
	for _, vm := range s.vms {
		set[vm.Zone] = true
	}
	return sortedKeys(set)
}

// updateSplits updates the splits after a command changed the configuration or membership. The
// arguments are the zones and limits before the command.
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
