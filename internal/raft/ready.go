package raft

import (
	"sort"

	"egretramp/internal/raft/raftpb"
)

// Ready is what the caller must do now, in the order that the package comment gives.
type Ready struct {
	// HardState to write, nil if unchanged.
	HardState *raftpb.HardState
	// Snapshot received from the leader; it replaces the whole log and state.
	Snapshot *raftpb.Snapshot
	// Entries to write after dropping what the disk holds from the first of them on.
	Entries []*raftpb.Entry
	// Messages to send after the sync.
	Messages []*raftpb.Message
	// Committed entries to apply in order.
	Committed []*raftpb.Entry
	// Reads that are finished.
	Reads []Read
}

// NeedsSync tells whether there is anything to write.
func (rd *Ready) NeedsSync() bool {
	return rd.HardState != nil || rd.Snapshot != nil || len(rd.Entries) > 0
}

// Ready returns the work that has come up, nil if there is none. The caller must call
// Advance before the next one; Step, Tick and proposals in between are allowed.
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

// shouldSaveCommit: the commit index alone needs no sync, because it can be learned again;
// it is written along with something else, and must not stay behind a snapshot. With
// DurableCommit it is written before anyone acts under the entries.
func (r *Raft) shouldSaveCommit(rd *Ready, hard *raftpb.HardState) bool {
	if hard.Commit == r.savedHard.Commit {
		return false
	}
	return r.options.DurableCommit || rd.Snapshot != nil || len(rd.Entries) > 0
}

// Advance tells that the last Ready was handled whole.
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

// markStable notes that entries up to last are synced, unless they were replaced meanwhile.
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

// Compaction is what a cut of the log writes, in one batch.
type Compaction struct {
	Snapshot  *raftpb.Snapshot
	HardState *raftpb.HardState
	// BaseIndex: entries up to it are dropped.
	BaseIndex uint64
	BaseTerm  uint64
}

// Compact takes a snapshot of the state at an applied index and drops the entries up to
// index - keep. It returns nil if there is nothing to do; else the caller writes the result
// before the next Ready.
func (r *Raft) Compact(index uint64, data []byte, keep uint64) *Compaction {
	if index > r.log.applied || index <= r.log.snapshot.Index {
		return nil
	}
	term, _ := r.log.term(index)
	r.log.snapshot = &raftpb.Snapshot{Index: index, Term: term, Conf: r.confs.at(index), Data: data}
	r.confs.compact(index)
	if index > keep {
		r.log.compact(index - keep)
	}
	// A hard state behind the snapshot is refused as damage at the next start.
	r.savedHard = &raftpb.HardState{Term: r.savedHard.Term, Vote: r.savedHard.Vote, Commit: max(r.savedHard.Commit, index)}
	return &Compaction{Snapshot: r.log.snapshot, HardState: r.savedHard, BaseIndex: r.log.baseIndex, BaseTerm: r.log.baseTerm}
}

// majorityValue returns the highest value that at least quorum of the values reach.
func majorityValue(values []uint64, quorum int) uint64 {
	sort.Slice(values, func(i, j int) bool { return values[i] > values[j] })
	return values[quorum-1]
}
