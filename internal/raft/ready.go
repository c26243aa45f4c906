package raft

import (
	"sort"

	"egretramp/internal/raft/raftpb"
)

// Ready is the work that the caller must do, in the order given in the package comment.
type Ready struct {
	// HardState is to be written; nil if unchanged.
	HardState *raftpb.HardState
	// Snapshot was received from the leader and replaces the whole log and state.
	Snapshot *raftpb.Snapshot
	// Entries are to be written, replacing persisted entries from the first index on.
	Entries []*raftpb.Entry
	// Messages are to be sent after the sync.
	Messages []*raftpb.Message
	// Committed entries are to be applied in order.
	Committed []*raftpb.Entry
	// Reads are the completed read index requests.
	Reads []Read
}

// NeedsSync reports whether there is anything to write.
func (rd *Ready) NeedsSync() bool {
	return rd.HardState != nil || rd.Snapshot != nil || len(rd.Entries) > 0
}

// Ready returns the pending work, or nil if there is none. The caller must call Advance before
// the next Ready; Step, Tick and proposals in between are allowed.
func (r *Raft) Ready() *Ready {
	if r.outstanding != nil {
		panic("raft: Ready called before Advance")
	}
	r.broadcast()
	r.sendReadHeartbeats(r.reads.sentSequence)
	r.reads.sentSequence = r.reads.sequence
	rd := &Ready{
		Snapshot:  r.pendingSnapshot,
		Entries:   r.log.after(r.stable),
		Messages:  r.messages,
		Committed: r.log.between(r.log.applied, r.log.commit),
		Reads:     r.reads.finished,
	}
	hard := &raftpb.HardState{Term: r.term, Vote: r.vote, Commit: r.log.commit}
	if r.savedHard.Term != hard.Term || r.savedHard.Vote != hard.Vote || r.shouldSaveCommit(rd, hard) {
		rd.HardState = hard
	}
	if !rd.NeedsSync() && len(rd.Messages) == 0 && len(rd.Committed) == 0 && len(rd.Reads) == 0 {
		return nil
	}
	r.messages = nil
	r.reads.finished = nil
	r.pendingSnapshot = nil
	r.outstanding = rd
	return rd
}

// shouldSaveCommit reports whether a changed commit index must be written. On its own it needs no
// sync, because the leader sends it again; it is written together with other data and must not
// fall behind a snapshot. With DurableCommit it is written before the entries are applied.
func (r *Raft) shouldSaveCommit(rd *Ready, hard *raftpb.HardState) bool {
	if hard.Commit == r.savedHard.Commit {
		return false
	}
	return r.options.DurableCommit || rd.Snapshot != nil || len(rd.Entries) > 0
}

// Advance marks the last Ready as fully handled.
func (r *Raft) Advance() {
	rd := r.outstanding
	r.outstanding = nil
	if rd.HardState != nil {
		r.savedHard = rd.HardState
	}
	if n := len(rd.Committed); n > 0 {
		r.log.applied = max(r.log.applied, rd.Committed[n-1].Index)
	}
	if n := len(rd.Entries); n > 0 {
		r.markStable(rd.Entries[n-1])
	}
	r.checkInvariants()
}

// markStable records that the entries up to last are durable, unless they were replaced in the
// meantime.
func (r *Raft) markStable(last *raftpb.Entry) {
	if term, ok := r.log.term(last.Index); !ok || term != last.Term || last.Index <= r.stable {
		return
	}
	r.stable = last.Index
	if r.role == Leader {
		r.progress[r.id].acknowledge(r.stable)
		r.advanceCommit()
	}
}

// Compaction is the data that a log compaction writes in one batch.
type Compaction struct {
	Snapshot  *raftpb.Snapshot
	HardState *raftpb.HardState
	// BaseIndex is the index up to which entries are removed.
	BaseIndex uint64
	BaseTerm  uint64
}

// Compact installs data as the snapshot of the state at an applied index and removes the entries
// up to index - keep, except those after a snapshot that a replica is just installing. It returns nil if there is nothing to do; otherwise the caller must write
// the result before the next Ready.
func (r *Raft) Compact(index uint64, data []byte, keep uint64) *Compaction {
	if index > r.log.applied || index <= r.log.snapshot.Index {
		return nil
	}
	term, _ := r.log.term(index)
	r.log.snapshot = &raftpb.Snapshot{Index: index, Term: term, Conf: r.confs.at(index), Data: data}
	r.confs.compact(index)
	if index > keep {
		r.log.compact(min(index-keep, r.oldestTransfer()))
	}
	// A hard state behind the snapshot would be rejected as damaged at the next start.
	r.savedHard = &raftpb.HardState{Term: r.savedHard.Term, Vote: r.savedHard.Vote, Commit: max(r.savedHard.Commit, index)}
	return &Compaction{Snapshot: r.log.snapshot, HardState: r.savedHard, BaseIndex: r.log.baseIndex, BaseTerm: r.log.baseTerm}
}

// majorityValue returns the highest value that at least quorum of the values reach or exceed.
func majorityValue(values []uint64, quorum int) uint64 {
	sort.Slice(values, func(i, j int) bool { return values[i] > values[j] })
	return values[quorum-1]
}
