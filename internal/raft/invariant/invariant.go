// Package invariant checks the safety properties of Raft across all replicas of a group and
// reports the first violation. Randomised tests report their observations to it. Invariants
// local to one replica are checked in package raft.
package invariant

import (
	"hash/fnv"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"egretramp/internal/raft/raftpb"
)

// Checker records the observations of a run. Its methods return an error if a property is violated.
type Checker struct {
	leaders          map[uint64]uint64
	stored           map[entryID]fingerprint
	committed        map[uint64]uint64
	highestCommitted uint64
	acked            map[uint64]uint64
	highestAcked     uint64
}

type entryID struct{ index, term uint64 }

type fingerprint struct{ previousTerm, hash uint64 }

// New returns an empty checker.
func New() *Checker {
	return &Checker{
		leaders: map[uint64]uint64{}, stored: map[entryID]fingerprint{},
		committed: map[uint64]uint64{}, acked: map[uint64]uint64{},
	}
}

// TermAt returns the term of an entry in a replica's log, and false if the log doesn't contain it.
type TermAt func(index uint64) (term uint64, ok bool)

// Leader checks election safety (at most one leader per term) and leader completeness (the log
// of a new leader contains every committed entry).
func (c *Checker) Leader(term, replica, snapshotIndex, lastIndex uint64, termAt TermAt) error {
	if known, ok := c.leaders[term]; ok {
		if known != replica {
			return errors.Newf("election safety: replicas %x and %x both lead in term %d", known, replica, term)
		}
		return nil
	}
	c.leaders[term] = replica
	for index := snapshotIndex + 1; index <= c.highestCommitted; index++ {
		want, known := c.committed[index]
		got, held := termAt(index)
		// Leader completeness doesn't cover entries of this or a later term, which may be committed
		// by the time that the leader is observed.
		if known && want < term && (!held || got != want) {
			return errors.Newf("leader completeness: replica %x leads in term %d (log ends at %d) without committed entry %d of term %d",
				replica, term, lastIndex, index, want)
		}
	}
	return nil
}

// Stored checks log matching: the index and term of an entry determine its content and the term
// of the previous entry, hence by induction the whole log up to it.
func (c *Checker) Stored(previousTerm uint64, entries []*raftpb.Entry) error {
	for _, e := range entries {
		data, err := proto.MarshalOptions{Deterministic: true}.Marshal(e)
		if err != nil {
			return errors.Wrap(err, "log matching")
		}
		hash := fnv.New64a()
		hash.Write(data)
		fp := fingerprint{previousTerm: previousTerm, hash: hash.Sum64()}
		id := entryID{index: e.Index, term: e.Term}
		if known, ok := c.stored[id]; ok && known != fp {
			return errors.Newf("log matching: conflicting entries or histories at index %d, term %d", e.Index, e.Term)
		}
		c.stored[id] = fp
		previousTerm = e.Term
	}
	return nil
}

// Committed checks state machine safety: no two replicas commit different entries at the same index.
func (c *Checker) Committed(replica, index, term uint64) error {
	if known, ok := c.committed[index]; ok && known != term {
		return errors.Newf("state machine safety: replica %x commits entry %d of term %d, but an entry of term %d was committed at this index",
			replica, index, term, known)
	}
	c.committed[index] = term
	c.highestCommitted = max(c.highestCommitted, index)
	return nil
}

// Acknowledged records that the success of a command was reported to its proposer. A number identifies
// the command.
func (c *Checker) Acknowledged(command, index uint64) {
	c.acked[command] = index
	c.highestAcked = max(c.highestAcked, index)
}

// ReadFloor returns the highest index of an acknowledged command, which a read that starts now must
// reflect.
func (c *Checker) ReadFloor() uint64 { return c.highestAcked }

// Read checks that a read reflects all commands acknowledged before it started.
func (c *Checker) Read(replica, floor, seen uint64) error {
	if seen < floor {
		return errors.Newf("linearizable read: replica %x reads at index %d, but index %d was acknowledged before", replica, seen, floor)
	}
	return nil
}

// Retained checks that the state of a replica contains every acknowledged command at its index.
func (c *Checker) Retained(replica uint64, state map[uint64]uint64) error {
	for command, index := range c.acked {
		if state[command] != index {
			return errors.Newf("durability: replica %x lost command %d: acknowledged at index %d, found at %d", replica, command, index, state[command])
		}
	}
	return nil
}

// AckedCount returns the number of acknowledged commands.
func (c *Checker) AckedCount() int { return len(c.acked) }
