package raft

import (
	"egretramp/internal/raft/raftpb"
)

// confHistory holds the memberships of the snapshot and of every later entry, so that a
// membership whose entry is replaced by another leader goes out of force again.
type confHistory struct {
	records []confRecord
}

type confRecord struct {
	index uint64
	conf  *raftpb.ConfState
}

func (h *confHistory) reset(index uint64, conf *raftpb.ConfState) {
	h.records = []confRecord{{index: index, conf: conf}}
}

func (h *confHistory) addEntries(entries []*raftpb.Entry) {
	for _, e := range entries {
		if e.Type == raftpb.EntryType_ENTRY_TYPE_MEMBERSHIP {
			h.records = append(h.records, confRecord{index: e.Index, conf: e.Conf})
		}
	}
}

// truncateAfter forgets the memberships after index.
func (h *confHistory) truncateAfter(index uint64) {
	n := len(h.records)
	for n > 1 && h.records[n-1].index > index {
		n--
	}
	h.records = h.records[:n]
}

// at returns the membership in force at index.
func (h *confHistory) at(index uint64) *raftpb.ConfState {
	for i := len(h.records) - 1; i > 0; i-- {
		if h.records[i].index <= index {
			return h.records[i].conf
		}
	}
	return h.records[0].conf
}

// compact forgets the memberships that the one in force at index replaced.
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

// ProposeMembership appends a new membership. It must be one of these single steps:
// any change of learners; one voter more; one voter fewer; or the replacement of one voter
// by a caught-up learner on the same VM.
//
// The replacement is one entry, not two: with three voters, adding first makes a majority
// of three out of four of which one is dead, and removing first a majority of two out of
// two, so either way the loss of one more VM in between would stop the group. In one entry
// the majority stays two of three with all three alive afterwards. It is safe only if the
// replaced voter has lost its disk, thus never votes or acknowledges again: then every
// majority of the old membership lies within the members that both have, and meets every
// majority of the new one. What the lost voter sent before is harmless because the learner
// was admitted by a committed entry of this term, which a majority without it holds.
func (r *Raft) ProposeMembership(conf *raftpb.ConfState) (index uint64, err error) {
	switch {
	case r.role != Leader:
		return 0, ErrNotLeader
	case r.transferee != 0:
		return 0, ErrTransferring
	// A leader must have committed in its own term first: else its own uncommitted change
	// and one left from an earlier leader could be two steps apart.
	case !r.committedInTerm() || r.confs.last().index > r.log.commit:
		return 0, ErrChangePending
	case !r.isSafeStep(conf):
		return 0, ErrUnsafeChange
	}
	return r.appendAsLeader(&raftpb.Entry{Type: raftpb.EntryType_ENTRY_TYPE_MEMBERSHIP, Conf: conf}), nil
}

// isSafeStep checks a proposed membership against the one in force.
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

// CaughtUp tells whether a member holds durably all that is committed, as this leader knows.
func (r *Raft) CaughtUp(id uint64) bool {
	p := r.progress[id]
	return r.role == Leader && p != nil && r.committedInTerm() && p.match >= r.log.commit
}

// Match returns the last entry that a member is known to hold, 0 if this replica doesn't lead.
func (r *Raft) Match(id uint64) uint64 {
	if p := r.progress[id]; p != nil {
		return p.match
	}
	return 0
}

// TicksSinceReply returns for how many ticks, to a heartbeat interval, the leader has not heard a member.
func (r *Raft) TicksSinceReply(id uint64) int {
	if p := r.progress[id]; p != nil {
		return p.intervalsSinceReply * r.options.HeartbeatTicks
	}
	return 0
}

// ChangePending tells whether a membership entry is not committed yet.
func (r *Raft) ChangePending() bool { return r.confs.last().index > r.log.commit }

// syncProgress adds and drops the leader's records of the members.
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
