package raft

import "egretramp/internal/raft/raftpb"

// handleLeaderMessage processes an append, heartbeat or snapshot of the leader of this term.
func (r *Raft) handleLeaderMessage(m *raftpb.Message) {
	if r.role != Follower || r.leader != m.From {
		r.becomeFollower(r.term, m.From)
	}
	r.electionElapsed = 0
	r.receivedFromLeader = true
	switch m.Type {
	case raftpb.MessageType_MESSAGE_TYPE_APPEND:
		r.handleAppend(m)
	case raftpb.MessageType_MESSAGE_TYPE_HEARTBEAT:
		r.commitTo(min(m.Commit, r.log.lastIndex()))
		r.send(&raftpb.Message{Type: raftpb.MessageType_MESSAGE_TYPE_HEARTBEAT_REPLY, To: m.From, ReadSequence: m.ReadSequence})
	case raftpb.MessageType_MESSAGE_TYPE_SNAPSHOT:
		r.handleSnapshot(m.From, m.Snapshot)
	case raftpb.MessageType_MESSAGE_TYPE_SNAPSHOT_CHUNK:
		r.handleSnapshotChunk(m)
	}
}

func (r *Raft) handleAppend(m *raftpb.Message) {
	if m.Index < r.log.commit {
		r.acknowledge(m.From, r.log.commit)
		return
	}
	term, ok := r.log.term(m.Index)
	if !ok || term != m.LogTerm {
		hint, hintTerm := r.log.lastWithTermAtMost(m.Index, m.LogTerm)
		r.send(&raftpb.Message{
			Type: raftpb.MessageType_MESSAGE_TYPE_APPEND_REPLY, To: m.From, Reject: true,
			Index: m.Index, RejectHint: hint, LogTerm: hintTerm,
		})
		return
	}
	r.appendEntries(m.Entries)
	last := m.Index + uint64(len(m.Entries))
	r.commitTo(min(m.Commit, last))
	r.acknowledge(m.From, last)
}

// appendEntries keeps the entries that the log already contains and replaces the log from the
// first mismatch on. A delayed message must not truncate entries that a newer one appended.
func (r *Raft) appendEntries(entries []*raftpb.Entry) {
	for i, e := range entries {
		if term, ok := r.log.term(e.Index); ok && term == e.Term {
			continue
		}
		previous := e.Index - 1
		if previous < r.log.commit {
			panic("raft: the leader attempted to overwrite a committed entry")
		}
		r.log.replaceAfter(previous, entries[i:])
		r.stable = min(r.stable, previous)
		r.confs.truncateAfter(previous)
		r.confs.addEntries(entries[i:])
		return
	}
}

func (r *Raft) acknowledge(to, index uint64) {
	r.send(&raftpb.Message{Type: raftpb.MessageType_MESSAGE_TYPE_APPEND_REPLY, To: to, Index: index})
}

func (r *Raft) commitTo(index uint64) {
	r.log.commit = max(r.log.commit, index)
}

// handleSnapshot installs a complete snapshot of the leader.
func (r *Raft) handleSnapshot(from uint64, s *raftpb.Snapshot) {
	if s == nil || s.Conf == nil || r.holdsSnapshot(from, s) {
		return
	}
	r.incoming = nil
	r.log.restore(s)
	r.stable = s.Index
	r.pendingSnapshot = s
	r.confs.reset(s.Index, s.Conf)
	r.acknowledge(from, s.Index)
}

// holdsSnapshot reports whether the log already contains the state of a snapshot, and acknowledges it if so.
func (r *Raft) holdsSnapshot(from uint64, s *raftpb.Snapshot) bool {
	if s.Index <= r.log.commit {
		r.acknowledge(from, r.log.commit)
		return true
	}
	if term, ok := r.log.term(s.Index); ok && term == s.Term {
		r.commitTo(s.Index)
		r.acknowledge(from, s.Index)
		return true
	}
	return false
}
