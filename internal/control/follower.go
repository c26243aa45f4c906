package control

import (
	"fmt"
	"slices"
)

// Follower is the state of a VM outside the control group: what it heard from other VMs,
// merged so that it only ever moves forward. Offers may come in any order, repeated, from
// machines or other followers. It is a pure value driven by one goroutine.
//
// Withdrawals don't wait for the configuration: a key that is withdrawn here stays withdrawn
// in every configuration that arrives later.
type Follower struct {
	config    Config
	withdrawn withdrawnKeys
	members   Members
	splits    Splits
	highWater highWater
}

// Change says what an offer changed.
type Change struct {
	// Config says that a newer configuration is in force.
	Config bool
	// Withdrawn are the keys that were not known to be withdrawn.
	Withdrawn []WithdrawnKey
	// Members says that the membership is newer.
	Members bool
	// Splits says that the splits are newer.
	Splits bool
	// Conflicts describe parts that contradict what is known; they are left out.
	Conflicts []string
}

// NewFollower returns a follower that knows nothing.
func NewFollower() *Follower {
	return &Follower{withdrawn: newWithdrawnKeys()}
}

// Merge merges what another VM knows. The withdrawals come first, so that no key is in force
// between them and a configuration of the same offer.
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

// KeyWithdrawn reports whether a key may no longer be used, by its ID or its hash.
func (f *Follower) KeyWithdrawn(id, hash string) bool {
	return f.withdrawn.has(id, hash)
}

// Withdraw withdraws keys before the log has them, for a VM that reaches no majority: what
// stops a key needs no agreement, because the set only grows. The withdrawal is pending, and
// spreads to every VM that can be reached, until the log has it. The keys are given by ID and
// hash.
func (f *Follower) Withdraw(keys []WithdrawnKey) Change {
	pending := slices.Clone(keys)
	for i := range pending {
		pending[i].Sequence = 0
	}
	return f.Merge(Delta{Withdrawn: pending})
}

// Pending returns the IDs of the withdrawals that are not in the log yet, sorted. A VM that
// reaches the control group proposes them with WithdrawKeys.
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

// Digest sums the state up.
func (f *Follower) Digest() Digest {
	return digestOf(f.config, &f.withdrawn, f.members.Epoch, f.splits)
}

// DeltaFor returns what a VM with the given digest lacks.
func (f *Follower) DeltaFor(d Digest) Delta {
	members := Members{Epoch: f.members.Epoch, VMs: slices.Clone(f.members.VMs)}
	return deltaFor(d, f.config, &f.withdrawn, members, f.splits)
}

// checkInvariants panics if the state fell below the last one.
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
