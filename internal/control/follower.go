package control

import (
	"fmt"
	"slices"
)

// Follower is the control state kept by a VM outside the control group, merged from the deltas of
// other VMs so that it never regresses. Deltas may arrive in any order and more than once, from
// machines or from other followers. It performs no I/O and must be used by one goroutine.
//
// Withdrawals don't depend on the configuration: a key withdrawn here stays withdrawn in every
// configuration that arrives later.
type Follower struct {
	config    Config
	withdrawn withdrawnKeys
	members   Members
	splits    Splits
	highWater highWater
}

// Change describes what a merge changed.
type Change struct {
	// Config is true if a newer configuration came into force.
	Config bool
	// Withdrawn lists the keys that are newly withdrawn.
	Withdrawn []WithdrawnKey
	// Members is true if the membership was replaced by a newer one.
	Members bool
	// Splits is true if the splits were replaced by newer ones.
	Splits bool
	// Conflicts describes the parts that contradict the current state. They are not merged.
	Conflicts []string
}

// NewFollower returns a follower with an empty state.
func NewFollower() *Follower {
	return &Follower{withdrawn: newWithdrawnKeys()}
}

// Merge merges a delta from another VM. Withdrawals are merged first, so that a key withdrawn by
// the delta is never in force under the delta's configuration.
func (f *Follower) Merge(d Delta) Change {
	var change Change
	for _, k := range d.Withdrawn {
		if f.withdrawn.add(k) {
			change.Withdrawn = append(change.Withdrawn, k)
		}
	}
	if d.Config != nil {
		f.mergeConfig(*d.Config, &change)
	}
	if d.Members != nil {
		f.mergeMembers(*d.Members, &change)
	}
	if d.Splits != nil && d.Splits.Revision > f.splits.Revision {
		f.splits = *d.Splits
		change.Splits = true
	}
	f.checkInvariants()
	return change
}

func (f *Follower) mergeConfig(c Config, change *Change) {
	switch {
	case c.Generation < f.config.Generation:
	case HashText(c.Text) != c.Hash:
		change.addConflict("generation %d was offered with a text that has another hash", c.Generation)
	case c.Generation > f.config.Generation:
		f.config = c
		change.Config = true
	case c.Hash != f.config.Hash:
		change.addConflict("generation %d was offered with hash %.12s, known is %.12s", c.Generation, c.Hash, f.config.Hash)
	}
}

func (f *Follower) mergeMembers(m Members, change *Change) {
	switch {
	case m.Epoch > f.members.Epoch:
		f.members = Members{Epoch: m.Epoch, VMs: slices.Clone(m.VMs)}
		change.Members = true
	case m.Epoch == f.members.Epoch && !slices.Equal(m.VMs, f.members.VMs):
		change.addConflict("epoch %d was offered with other VMs than known", m.Epoch)
	}
}

func (c *Change) addConflict(format string, args ...any) {
	c.Conflicts = append(c.Conflicts, fmt.Sprintf(format, args...))
}

// KeyWithdrawn reports whether a key has been withdrawn, by its ID or its hash.
func (f *Follower) KeyWithdrawn(id, hash string) bool {
	return f.withdrawn.has(id, hash)
}

// Withdraw withdraws keys, given by ID and hash, before the withdrawal is in the log. It serves a
// VM that can't reach a majority: withdrawals need no consensus, because the set only grows. The
// withdrawal is pending, and is replicated to every reachable VM, until it is in the log.
func (f *Follower) Withdraw(keys []WithdrawnKey) Change {
	pending := slices.Clone(keys)
	for i := range pending {
		pending[i].Sequence = 0
	}
	return f.Merge(Delta{Withdrawn: pending})
}

// Pending returns the IDs of the withdrawals that are not in the log yet, sorted. A VM that can
// reach the control group proposes them with WithdrawKeys.
func (f *Follower) Pending() []string {
	return sortedKeys(f.withdrawn.pending)
}

// View returns a copy of the state.
func (f *Follower) View() View {
	return View{
		Config:    f.config,
		Withdrawn: withdrawnByID(&f.withdrawn),
		Members:   Members{Epoch: f.members.Epoch, VMs: slices.Clone(f.members.VMs)},
		Splits:    f.splits,
	}
}

// Digest returns a digest of the state.
func (f *Follower) Digest() Digest {
	return digestOf(f.config, &f.withdrawn, f.members.Epoch, f.splits)
}

// DeltaFor returns the parts of the state that a VM with the given digest lacks.
func (f *Follower) DeltaFor(d Digest) Delta {
	members := Members{Epoch: f.members.Epoch, VMs: slices.Clone(f.members.VMs)}
	return deltaFor(d, f.config, &f.withdrawn, members, f.splits)
}

// checkInvariants panics if the state regressed since the previous check.
func (f *Follower) checkInvariants() {
	now := highWater{
		generation: f.config.Generation,
		hash:       f.config.Hash,
		withdrawn:  len(f.withdrawn.hashes),
		epoch:      f.members.Epoch,
		splits:     f.splits,
	}
	if err := now.checkNotBelow(f.highWater); err != nil {
		panic("control: follower: " + err.Error())
	}
	f.highWater = now
}
