package raft

import "egretramp/internal/raft/raftpb"

// restoreRetryHeartbeats is after how many heartbeats without progress a snapshot is sent again.
const restoreRetryHeartbeats = 20

// Propose appends a command as leader and returns its index. Together with the term this
// names the proposal: it is committed if the entry applied at the index has the term.
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

// broadcast sends what is new to all members. Ready calls it, so that proposals made in one
// turn of the caller share a message.
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

// sendPendingEntries sends entries as far as flow control allows.
func (r *Raft) sendPendingEntries(to uint64) {
	p := r.progress[to]
	for p.next <= r.log.lastIndex() && !p.blocked(r.options.MaxInflight) {
		r.sendAppend(to, p)
	}
}

func (r *Raft) sendAppend(to uint64, p *progress) {
	prevTerm, ok := r.log.term(p.next - 1)
	if !ok {
		r.sendSnapshot(to, p)
		return
	}
	entries := r.log.batch(p.next-1, r.options.MaxMessageBytes)
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

func (r *Raft) sendSnapshot(to uint64, p *progress) {
	r.send(&raftpb.Message{Type: raftpb.MessageType_MESSAGE_TYPE_SNAPSHOT, To: to, Snapshot: r.log.snapshot})
	p.restore(r.log.snapshot.Index)
}

func (r *Raft) sendHeartbeats() {
	for _, m := range r.confs.current().Members {
		if m.Id == r.id {
			continue
		}
		p := r.progress[m.Id]
		p.intervalsSinceReply++
		if p.mode == restoring {
			r.retryRestore(p)
		}
		r.sendHeartbeat(m.Id)
	}
}

func (r *Raft) retryRestore(p *progress) {
	p.restoreElapsed++
	if p.restoreElapsed >= restoreRetryHeartbeats {
		p.probe()
	}
}

func (r *Raft) sendHeartbeat(to uint64) {
	p := r.progress[to]
	r.send(&raftpb.Message{
		Type: raftpb.MessageType_MESSAGE_TYPE_HEARTBEAT, To: to,
		// Only what the replica surely holds may be committed there: its log may end in
		// entries of another leader.
		Commit: min(p.match, r.log.commit), ReadSequence: r.reads.sequence,
	})
}

// handleFollowerReply takes replies to appends, snapshots and heartbeats.
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
	if p.mode == streaming && len(p.inflight) >= r.options.MaxInflight {
		p.inflight = p.inflight[1:]
	}
	// A reply that shows nothing on the way was acknowledged may mean that messages were
	// lost: the append tells, because the replica refuses it across a gap.
	if p.match < r.log.lastIndex() && p.mode != restoring {
		r.sendAppend(m.From, p)
	}
}

// advanceCommit commits what a majority of the voters holds, if it is of this term: an
// older entry may still be replaced by a leader that a majority prefers.
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

// broadcastCommit tells the members of a new commit index without waiting for a heartbeat.
func (r *Raft) broadcastCommit() {
	for _, m := range r.confs.current().Members {
		p := r.progress[m.Id]
		if m.Id == r.id || p.mode != streaming || p.next <= r.log.lastIndex() {
			continue
		}
		r.sendHeartbeat(m.Id)
	}
}

func (r *Raft) committedInTerm() bool {
	term, _ := r.log.term(r.log.commit)
	return term == r.term
}
