package control

import (
	"cmp"
	"slices"
)

// Config is an accepted configuration file with its text.
type Config struct {
	Acceptance
	Text string `json:"text"`
}

// Members is the fleet's membership at an epoch, sorted by name.
type Members struct {
	Epoch uint64 `json:"epoch"`
	VMs   []VM   `json:"vms"`
}

// View is a copy of the state for readers.
type View struct {
	// Index is the index of the last applied log entry; 0 in a follower's view.
	Index  uint64 `json:"index"`
	Config Config `json:"config"`
	// Withdrawn is sorted by key ID.
	Withdrawn []WithdrawnKey `json:"withdrawn"`
	Members   Members        `json:"members"`
	Splits    Splits         `json:"splits"`
	// Fencing is sorted by resource; empty in a follower's view.
	Fencing []Fencing `json:"fencing"`
}

// Digest summarizes a state, so that VMs can compare theirs.
type Digest struct {
	Generation uint64 `json:"generation"`
	ConfigHash string `json:"config_hash"`
	// WithdrawnCount is the highest sequence number up to which no withdrawal is missing.
	WithdrawnCount uint64 `json:"withdrawn_count"`
	// WithdrawnHash is a hash of the withdrawals up to WithdrawnCount.
	WithdrawnHash string `json:"withdrawn_hash"`
	// PendingHash is a hash of the withdrawals that are not in the log yet; empty if there are none.
	PendingHash string `json:"pending_hash,omitempty"`
	Epoch       uint64 `json:"epoch"`
	Revision    uint64 `json:"revision"` // of the splits
}

// Ahead reports whether the state with this digest may contain anything that the state with the
// other digest lacks.
func (d Digest) Ahead(other Digest) bool {
	return d.Generation > other.Generation ||
		d.Epoch > other.Epoch ||
		d.Revision > other.Revision ||
		d.WithdrawnCount > other.WithdrawnCount ||
		d.WithdrawnCount == other.WithdrawnCount && d.WithdrawnHash != other.WithdrawnHash ||
		d.PendingHash != "" && d.PendingHash != other.PendingHash
}

// Consistent reports whether the configuration, membership and splits belong together. A view whose
// parts came from several VMs may be inconsistent until the next delta arrives.
func (v View) Consistent() bool {
	return v.Splits.Generation == v.Config.Generation && v.Splits.Epoch == v.Members.Epoch
}

// Delta is a part of a state, for replication between VMs.
type Delta struct {
	Config    *Config        `json:"config,omitempty"`
	Withdrawn []WithdrawnKey `json:"withdrawn,omitempty"`
	Members   *Members       `json:"members,omitempty"`
	Splits    *Splits        `json:"splits,omitempty"`
}

// Empty reports whether the delta contains nothing.
func (d Delta) Empty() bool {
	return d.Config == nil && len(d.Withdrawn) == 0 && d.Members == nil && d.Splits == nil
}

// Delta returns the parts of the view that followers keep.
func (v View) Delta() Delta {
	d := Delta{Withdrawn: slices.Clone(v.Withdrawn)}
	if v.Config.Generation > 0 {
		configuration := v.Config
		d.Config = &configuration
	}
	if v.Members.Epoch > 0 {
		d.Members = &Members{Epoch: v.Members.Epoch, VMs: slices.Clone(v.Members.VMs)}
	}
	if v.Splits.Revision > 0 {
		splits := v.Splits
		d.Splits = &splits
	}
	return d
}

// View returns a copy of the state.
func (m *Machine) View() View {
	v := View{
		Index:     m.index,
		Config:    m.config,
		Withdrawn: withdrawnByID(&m.withdrawn),
		Members:   m.members.copy(),
		Splits:    m.splits,
	}
	for _, resource := range sortedKeys(m.fencing.byResource) {
		v.Fencing = append(v.Fencing, m.fencing.byResource[resource])
	}
	return v
}

// Digest returns a digest of the state.
func (m *Machine) Digest() Digest {
	return digestOf(m.config, &m.withdrawn, m.members.epoch, m.splits)
}

// DeltaFor returns the parts of the state that a VM with the given digest lacks.
func (m *Machine) DeltaFor(d Digest) Delta {
	return deltaFor(d, m.config, &m.withdrawn, m.members.copy(), m.splits)
}

func digestOf(c Config, w *withdrawnKeys, epoch uint64, s Splits) Digest {
	return Digest{
		Generation:     c.Generation,
		ConfigHash:     c.Hash,
		WithdrawnCount: w.contiguous,
		WithdrawnHash:  w.digestHex(),
		PendingHash:    w.pendingHash(),
		Epoch:          epoch,
		Revision:       s.Revision,
	}
}

func deltaFor(d Digest, c Config, w *withdrawnKeys, m Members, s Splits) Delta {
	var delta Delta
	if c.Generation > d.Generation {
		delta.Config = &c
	}
	if m.Epoch > d.Epoch {
		delta.Members = &m
	}
	if s.Revision > d.Revision {
		delta.Splits = &s
	}
	switch {
	case d.WithdrawnCount == w.contiguous && d.WithdrawnHash != w.digestHex():
		delta.Withdrawn = w.after(0) // the histories differ, so sequence numbers are not comparable
	default:
		delta.Withdrawn = w.after(d.WithdrawnCount)
	}
	if pending := w.pendingHash(); pending != d.PendingHash {
		delta.Withdrawn = append(delta.Withdrawn, w.pendingKeys()...)
	}
	return delta
}

func (s *members) copy() Members {
	m := Members{Epoch: s.epoch}
	for _, name := range sortedKeys(s.vms) {
		m.VMs = append(m.VMs, s.vms[name])
	}
	return m
}

func withdrawnByID(w *withdrawnKeys) []WithdrawnKey {
	keys := make([]WithdrawnKey, 0, len(w.byID))
	for _, id := range sortedKeys(w.byID) {
		keys = append(keys, w.byID[id])
	}
	return keys
}

func compare[T cmp.Ordered](a, b T) int { return cmp.Compare(a, b) }

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

func sortedUnique(ids []string) []string {
	return slices.Compact(slices.Sorted(slices.Values(ids)))
}
