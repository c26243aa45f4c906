package raft

import "egretramp/internal/raft/raftpb"

// Propose appends a command and returns its index; only the leader accepts proposals. Index and
// term identify the proposal: it is committed if the entry applied at the index has that term.
func (r *Raft) Propose(data []byte) (index uint64, err error) {
	switch {
	case r.role != Leader:
		return 0, ErrNotLeader
	case r.transferee != 0:
		return 0, ErrTransferring
	}
	return r.appendAsLeader(&raftpb.Entry{Type: raftpb.EntryType_ENTRY_TYPE_COMMAND, Data: data}), nil
}

func (r *Raft) appendAsLeader(e *raftpb.Entry) uint64 {
	e.Term = r.term
	e.Index = r.log.lastIndex() + 1
	r.log.replaceAfter(e.Index-1, []*raftpb.Entry{e})
	if e.Type == raftpb.EntryType_ENTRY_TYPE_MEMBERSHIP {
		r.confs.addEntries([]*raftpb.Entry{e})
		r.syncProgress()
	}
	return e.Index
}

// broadcast sends pending entries to all members. Ready calls it, so that proposals made since
// the previous Ready share a message.
func (r *Raft) broadcast() {
	if r.role != Leader {
		return
	}
	for _, m := range r.confs.current().Members {
		if m.Id != r.id {
			r.sendPendingEntries(m.Id)
		}
	}
}

// sendPendingEntries sends entries to a member as far as flow control allows.
func (r *Raft) sendPendingEntries(to uint64) {
	p := r.progress[to]
	for p.next <= r.lastIndexFor(to) && !p.blocked(r.options.MaxInflight) {
		r.sendAppend(to, p)
	}
}

// lastIndexFor returns the index of the last entry that may be sent to a member. A learner gets no entry of this term before
// a majority of the voters holds one. If it did, and this leader were lost, it would refuse its vote to all voters that are left,
// and one of them may count it as a voter by an entry that was never committed: no other leader could be elected.
func (r *Raft) lastIndexFor(to uint64) uint64 {
	if !r.confs.isVoter(to) && !r.committedInTerm() {
		return r.log.commit
	}
	return r.log.lastIndex()
}

func (r *Raft) sendAppend(to uint64, p *progress) {
	prevTerm, ok := r.log.term(p.next - 1)
	if !ok || (p.mode == probing && p.replied && r.snapshotIsSooner(p.next)) {
		r.sendSnapshot(to, p)
		return
	}
	entries := r.log.batch(p.next-1, r.options.MaxMessageBytes)
	last := r.lastIndexFor(to)
	for len(entries) > 0 && entries[len(entries)-1].Index > last {
		entries = entries[:len(entries)-1]
	}
	r.send(&raftpb.Message{
		Type: raftpb.MessageType_MESSAGE_TYPE_APPEND, To: to,
		Index: p.next - 1, LogTerm: prevTerm, Entries: entries, Commit: r.log.commit,
	})
	if p.mode == probing {
		p.paused = true
		return
	}
	if len(entries) > 0 {
		p.next += uint64(len(entries))
		p.inflight = append(p.inflight, p.next-1)
	}
}

func (r *Raft) sendHeartbeats() {
	for _, m := range r.confs.current().Members {
		if m.Id == r.id {
			continue
		}
		p := r.progress[m.Id]
		p.intervalsSinceReply++
		p.overdue, p.sentBefore = p.sentBefore, p.next-1
		if p.mode == restoring {
			r.retryRestore(m.Id, p)
		}
		r.sendHeartbeat(m.Id)
	}
}

func (r *Raft) sendHeartbeat(to uint64) {
	p := r.progress[to]
	r.send(&raftpb.Message{
		Type: raftpb.MessageType_MESSAGE_TYPE_HEARTBEAT, To: to,
		// The follower may commit only entries that are known to match: its log may end with
		// entries of another leader.
		Commit: min(p.match, r.log.commit), ReadSequence: r.reads.sequence,
	})
}

// handleFollowerReply processes replies to appends, snapshots and heartbeats.
func (r *Raft) handleFollowerReply(m *raftpb.Message) {
	p := r.progress[m.From]
	if r.role != Leader || p == nil {
		return
	}
	p.active = true
	p.replied = true
	p.intervalsSinceReply = 0
	if m.Type == raftpb.MessageType_MESSAGE_TYPE_HEARTBEAT_REPLY {
		r.handleHeartbeatReply(m, p)
		return
	}
	if m.Type == raftpb.MessageType_MESSAGE_TYPE_SNAPSHOT_CHUNK_REPLY {
		r.handleChunkReply(m, p)
		return
	}
	if m.Reject {
		hint, _ := r.log.lastWithTermAtMost(m.RejectHint, m.LogTerm)
		if p.reject(m.Index, hint) {
			r.sendAppend(m.From, p)
		}
		return
	}
	if !p.acknowledge(m.Index) {
		return
	}
	r.advanceCommit()
	if m.From == r.transferee {
		r.finishTransfer()
	}
}

func (r *Raft) handleHeartbeatReply(m *raftpb.Message, p *progress) {
	if m.ReadSequence > p.readSequence {
		p.readSequence = m.ReadSequence
		r.reads.confirm(r.confirmedReadSequence())
	}
	p.paused = false
	mayLack := p.mode == probing || p.match < p.overdue
	if p.mode == streaming && len(p.inflight) >= r.options.MaxInflight {
		p.inflight = p.inflight[1:]
		mayLack = true
	}
	// If entries are unacknowledged for longer than a heartbeat interval, messages may have been lost. An append detects
	// this, because the follower rejects it if there is a gap.
	if mayLack && p.match < r.log.lastIndex() && p.mode != restoring {
		r.sendAppend(m.From, p)
	}
}

// advanceCommit commits the entries that a majority of the voters has persisted, provided that
// the last of them is of the current term: an older entry may still be overwritten by a leader
// that a majority elects.
func (r *Raft) advanceCommit() {
	if r.role != Leader {
		return
	}
	var matches []uint64
	for _, m := range r.confs.current().Members {
		if !m.Learner {
			matches = append(matches, r.progress[m.Id].match)
		}
	}
	index := majorityValue(matches, r.confs.quorum())
	if term, _ := r.log.term(index); index <= r.log.commit || term != r.term {
		return
	}
	r.log.commit = index
	r.reads.assignIndex(r.log.commit)
	r.reads.confirm(r.confirmedReadSequence())
	r.broadcastCommit()
}

// broadcastCommit sends the new commit index to the members that have been sent all entries, without
// waiting for the periodic heartbeat, unless CommitAtHeartbeat is set.
func (r *Raft) broadcastCommit() {
	if r.options.CommitAtHeartbeat {
		return
	}
	for _, m := range r.confs.current().Members {
		p := r.progress[m.Id]
		if m.Id == r.id || p.mode != streaming || p.next <= r.log.lastIndex() {
			continue
		}
		r.sendHeartbeat(m.Id)
	}
}

// committedInTerm reports whether an entry of the current term is committed.
func (r *Raft) committedInTerm() bool {
	term, _ := r.log.term(r.log.commit)
	return term == r.term
}
