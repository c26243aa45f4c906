package raft

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"egretramp/internal/raft/raftpb"
)

// raftLog holds in memory the entries after a base index; the caller persists them. The
// snapshot covers at least the base. Entries that the snapshot covers too are retained so that
// a replica that lags slightly can catch up without a snapshot.
type raftLog struct {
	baseIndex uint64
	baseTerm  uint64
	entries   []*raftpb.Entry
	snapshot  *raftpb.Snapshot
	commit    uint64
	applied   uint64
}

func newLog(state State) (*raftLog, error) {
	l := &raftLog{
		baseIndex: state.Bounds.BaseIndex,
		baseTerm:  state.Bounds.BaseTerm,
		entries:   state.Entries,
		snapshot:  state.Snapshot,
		commit:    state.Hard.Commit,
		applied:   state.Snapshot.Index,
	}
	return l, CheckState(state)
}

// CheckState returns an error if the parts of a durable state are inconsistent.
func CheckState(state State) error {
	next := state.Bounds.BaseIndex + 1
	lastTerm := state.Bounds.BaseTerm
	for _, e := range state.Entries {
		if e.Index != next {
			return errors.Newf("the log has a gap: entry %d is missing, %d follows", next, e.Index)
		}
		if e.Term < lastTerm {
			return errors.Newf("the log is damaged: term falls from %d to %d at entry %d", lastTerm, e.Term, e.Index)
		}
		lastTerm = e.Term
		next++
	}
	last := next - 1
	switch {
	case state.Bounds.LastIndex != last:
		return errors.Newf("the log is cut short: it ends at entry %d and should end at %d", last, state.Bounds.LastIndex)
	case state.Snapshot.Index < state.Bounds.BaseIndex || state.Snapshot.Index > last:
		return errors.Newf("the log (%d to %d) has a gap to the snapshot at %d", state.Bounds.BaseIndex, last, state.Snapshot.Index)
	case state.Hard.Commit < state.Snapshot.Index:
		return errors.Newf("the hard state (commit %d) is behind the snapshot at %d", state.Hard.Commit, state.Snapshot.Index)
	case state.Hard.Commit > last:
		return errors.Newf("the log ends at %d before the commit index %d", last, state.Hard.Commit)
	case state.Hard.Term < lastTerm:
		return errors.Newf("the hard state (term %d) is behind the log (term %d)", state.Hard.Term, lastTerm)
	}
	return nil
}

func (l *raftLog) lastIndex() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *raftLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at index, and false if the log doesn't contain it.
func (l *raftLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.baseIndex:
		return l.baseTerm, true
	case index < l.baseIndex || index > l.lastIndex():
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].Term, true
}

// after returns the entries after index.
func (l *raftLog) after(index uint64) []*raftpb.Entry {
	if index < l.baseIndex || index >= l.lastIndex() {
		return nil
	}
	return l.entries[index-l.baseIndex:]
}

// between returns the entries in the range (low, high].
func (l *raftLog) between(low, high uint64) []*raftpb.Entry {
	if high <= low {
		return nil
	}
	return l.entries[low-l.baseIndex : high-l.baseIndex]
}

// batch returns entries after index with a total size of at most maxBytes, but at least one entry
// if there is any.
func (l *raftLog) batch(index uint64, maxBytes int) []*raftpb.Entry {
	entries := l.after(index)
	size := 0
	for i, e := range entries {
		size += proto.Size(e)
		if i > 0 && size > maxBytes {
			return entries[:i]
		}
	}
	return entries
}

// replaceAfter removes the entries after index and appends new ones. It doesn't overwrite the
// old array, because slices returned earlier may still be in use.
func (l *raftLog) replaceAfter(index uint64, entries []*raftpb.Entry) {
	kept := l.entries[:index-l.baseIndex]
	if index < l.lastIndex() {
		kept = append([]*raftpb.Entry(nil), kept...)
	}
	l.entries = append(kept, entries...)
}

// isUpToDate reports whether a log that ends at index and term is at least as up to date as this
// one.
func (l *raftLog) isUpToDate(index, term uint64) bool {
	ownTerm := l.lastTerm()
	return term > ownTerm || (term == ownTerm && index >= l.lastIndex())
}

// lastWithTermAtMost returns the index and term of the last entry that is not after limit and whose
// term is not above term.
func (l *raftLog) lastWithTermAtMost(limit, term uint64) (uint64, uint64) {
	index := min(limit, l.lastIndex())
	for index > l.baseIndex {
		t, _ := l.term(index)
		if t <= term {
			return index, t
		}
		index--
	}
	return l.baseIndex, l.baseTerm
}

// compact removes the entries up to and including index, which the snapshot must cover.
func (l *raftLog) compact(index uint64) {
	if index <= l.baseIndex {
		return
	}
	term, _ := l.term(index)
	l.entries = append([]*raftpb.Entry(nil), l.after(index)...)
	l.baseIndex, l.baseTerm = index, term
}

// restore replaces the whole log by a snapshot.
func (l *raftLog) restore(s *raftpb.Snapshot) {
	l.baseIndex, l.baseTerm = s.Index, s.Term
	l.entries = nil
	l.snapshot = s
	l.commit = s.Index
	l.applied = s.Index
}
