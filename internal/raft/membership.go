package raft

import (
	"egretramp/internal/raft/raftpb"
)

// confHistory holds the memberships of the snapshot and of all later entries, so that the
// previous membership is restored if another leader overwrites a membership entry.
type confHistory struct {
	records []confRecord
}

// confRecord is a membership and the log index at which it took effect.
type confRecord struct {
	index uint64
	conf  *raftpb.ConfState
}

// reset discards the history and starts with conf at index.
func (h *confHistory) reset(index uint64, conf *raftpb.ConfState) {
	h.records = []confRecord{{index: index, conf: conf}}
}

// addEntries records the memberships among entries that were appended.
func (h *confHistory) addEntries(entries []*raftpb.Entry) {
	for _, e := range entries {
		if e.Type == raftpb.EntryType_ENTRY_TYPE_MEMBERSHIP {
			h.records = append(h.records, confRecord{index: e.Index, conf: e.Conf})
		}
	}
}

// truncateAfter removes the memberships after index.
func (h *confHistory) truncateAfter(index uint64) {
	n := len(h.records)
	for n > 1 && h.records[n-1].index > index {
		n--
	}
	h.records = h.records[:n]
}

// at returns the membership that is active at index.
func (h *confHistory) at(index uint64) *raftpb.ConfState {
	for i := len(h.records) - 1; i > 0; i-- {
		if h.records[i].index <= index {
			return h.records[i].conf
		}
	}
	return h.records[0].conf
}

// compact removes the memberships that precede the one active at index.
func (h *confHistory) compact(index uint64) {
	conf := h.at(index)
	kept := []confRecord{{index: index, conf: conf}}
	for _, r := range h.records {
		if r.index > index {
			kept = append(kept, r)
		}
	}
	h.records = kept
}

func (h *confHistory) last() confRecord { return h.records[len(h.records)-1] }

func (h *confHistory) current() *raftpb.ConfState { return h.last().conf }

func (h *confHistory) member(id uint64) *raftpb.Member { return findMember(h.current(), id) }

func (h *confHistory) isVoter(id uint64) bool {
	m := h.member(id)
	return m != nil && !m.Learner
}

func (h *confHistory) quorum() int { return countVoters(h.current())/2 + 1 }

func findMember(conf *raftpb.ConfState, id uint64) *raftpb.Member {
	for _, m := range conf.Members {
		if m.Id == id {
			return m
		}
	}
	return nil
}

func countVoters(conf *raftpb.ConfState) int {
	n := 0
	for _, m := range conf.Members {
		if !m.Learner {
			n++
		}
	}
	return n
}

// ProposeMembership appends a new membership and returns its index. The change must be one
// of these single steps: any change of learners; adding one voter; removing one voter; or
// replacing one voter by a caught-up learner on the same VM.
//
// A replacement is a single entry. With three voters, adding first would require three of
// four votes with one voter dead, and removing first would require two of two, so in both
// cases the loss of one more VM in between would stop the group. With a single entry the
// quorum stays two of three, and all three are alive afterwards. This is safe only if the
// replaced voter has lost its disk and therefore never votes or acknowledges again: then
// every majority of the old membership consists of members of both memberships and
// intersects every majority of the new one. Earlier messages of the lost voter are harmless,
// because the learner was admitted by a committed entry of this term, which a majority
// without the lost voter holds.
func (r *Raft) ProposeMembership(conf *raftpb.ConfState) (index uint64, err error) {
	switch {
	case r.role != Leader:
		return 0, ErrNotLeader
	case r.transferee != 0:
		return 0, ErrTransferring
	// A leader must first commit an entry of its own term: otherwise its uncommitted change
	// and one left by an earlier leader could differ by two steps.
	case !r.committedInTerm() || r.confs.last().index > r.log.commit:
		return 0, ErrChangePending
	case !r.isSafeStep(conf):
		return 0, ErrUnsafeChange
	}
	return r.appendAsLeader(&raftpb.Entry{Type: raftpb.EntryType_ENTRY_TYPE_MEMBERSHIP, Conf: conf}), nil
}

// isSafeStep reports whether the active membership may change to next in a single step.
func (r *Raft) isSafeStep(next *raftpb.ConfState) bool {
	var added, removed []*raftpb.Member
	for _, m := range next.Members {
		if !m.Learner && !r.confs.isVoter(m.Id) {
			added = append(added, m)
		}
	}
	for _, m := range r.confs.current().Members {
		if n := findMember(next, m.Id); !m.Learner && (n == nil || n.Learner) {
			removed = append(removed, m)
		}
	}
	if hasRepeatedID(next) || countVoters(next) == 0 {
		return false
	}
	for _, m := range added {
		if !r.CaughtUp(m.Id) {
			return false
		}
	}
	for _, m := range removed {
		if m.Id == r.id {
			return false
		}
	}
	if len(added)+len(removed) <= 1 {
		return true
	}
	return len(added) == 1 && len(removed) == 1 && added[0].Vm == removed[0].Vm && findMember(next, removed[0].Id) == nil
}

func hasRepeatedID(conf *raftpb.ConfState) bool {
	seen := map[uint64]bool{}
	for _, m := range conf.Members {
		if m.Id == 0 || seen[m.Id] {
			return true
		}
		seen[m.Id] = true
	}
	return false
}

// CaughtUp reports whether this replica is the leader and knows that a member has all committed
// entries on disk.
func (r *Raft) CaughtUp(id uint64) bool {
	p := r.progress[id]
	return r.role == Leader && p != nil && r.committedInTerm() && p.match >= r.log.commit
}

// Match returns the index of the last entry that a member is known to have persisted, or 0 if this
// replica is not the leader.
func (r *Raft) Match(id uint64) uint64 {
	if p := r.progress[id]; p != nil {
		return p.match
	}
	return 0
}

// SnapshotProgress returns how many bytes of the snapshot that a member is just installing it has acknowledged, and the size
// of the snapshot; zeros if it installs none.
func (r *Raft) SnapshotProgress(id uint64) (acknowledged, size int) {
	p := r.progress[id]
	if p == nil || p.outgoing == nil {
		return 0, 0
	}
	return int(p.outgoing.acked), len(p.outgoing.snapshot.Data)
}

// TicksSinceReply returns the number of ticks since the leader last received a reply of a member, in
// multiples of the heartbeat interval.
func (r *Raft) TicksSinceReply(id uint64) int {
	if p := r.progress[id]; p != nil {
		return p.intervalsSinceReply * r.options.HeartbeatTicks
	}
	return 0
}

// ChangePending reports whether there is an uncommitted membership entry.
func (r *Raft) ChangePending() bool { return r.confs.last().index > r.log.commit }

// syncProgress adds and removes progress records so that they match the current members. It cancels
// a leadership transfer to a removed member.
func (r *Raft) syncProgress() {
	conf := r.confs.current()
	for _, m := range conf.Members {
		if r.progress[m.Id] == nil {
			r.progress[m.Id] = &progress{next: r.log.lastIndex() + 1, active: true}
		}
	}
	for id := range r.progress {
		if findMember(conf, id) == nil {
			delete(r.progress, id)
		}
	}
	if r.progress[r.transferee] == nil {
		r.transferee = 0
	}
}
