package raft

import "egretramp/internal/raft/raftpb"

// campaign starts an election. Without transfer it begins with a pre-vote, which raises no term.
func (r *Raft) campaign(transfer bool) {
	if r.role == Leader {
		return
	}
	if !r.confs.isVoter(r.id) {
		// It may be a voter by entries that it lacks, so it must not go on taking the leader
		// for alive: its vote may be needed.
		r.leader = 0
		r.resetElectionTimer()
		return
	}
	if transfer {
		r.becomeCandidate()
		r.requestVotes(raftpb.MessageType_MESSAGE_TYPE_VOTE, r.term, true)
		return
	}
	r.becomePreCandidate()
	r.requestVotes(raftpb.MessageType_MESSAGE_TYPE_PRE_VOTE, r.term+1, false)
}

func (r *Raft) becomePreCandidate() {
	r.role = PreCandidate
	r.leader = 0
	r.votes = map[uint64]bool{}
	r.resetElectionTimer()
}

func (r *Raft) becomeCandidate() {
	r.role = Candidate
	r.leader = 0
	r.term++
	r.vote = r.id
	r.votes = map[uint64]bool{}
	r.resetElectionTimer()
}

func (r *Raft) resetElectionTimer() {
	r.electionElapsed = 0
	r.electionTimeout = r.options.ElectionTicks + r.random.Intn(r.options.ElectionTicks)
}

func (r *Raft) requestVotes(kind raftpb.MessageType, term uint64, transfer bool) {
	for _, m := range r.confs.current().Members {
		if m.Learner || m.Id == r.id {
			continue
		}
		r.send(&raftpb.Message{Type: kind, To: m.Id, Term: term, Index: r.log.lastIndex(), LogTerm: r.log.lastTerm(), Transfer: transfer})
	}
	r.recordVote(r.id, true)
}

// handleVoteRequest answers a candidate. A replica that is not a voter by its own log
// answers too: it may be behind the entry that made it one.
func (r *Raft) handleVoteRequest(m *raftpb.Message) {
	reply := raftpb.MessageType_MESSAGE_TYPE_VOTE_REPLY
	canVote := r.vote == m.From || (r.vote == 0 && r.leader == 0)
	if m.Type == raftpb.MessageType_MESSAGE_TYPE_PRE_VOTE {
		reply = raftpb.MessageType_MESSAGE_TYPE_PRE_VOTE_REPLY
		canVote = canVote || m.Term > r.term
	}
	if !canVote || !r.log.isUpToDate(m.Index, m.LogTerm) {
		r.send(&raftpb.Message{Type: reply, To: m.From, Reject: true})
		return
	}
	r.send(&raftpb.Message{Type: reply, To: m.From, Term: m.Term})
	if m.Type == raftpb.MessageType_MESSAGE_TYPE_VOTE {
		r.vote = m.From
		r.electionElapsed = 0
	}
}

func (r *Raft) handleVoteReply(m *raftpb.Message) {
	expectedRole := Candidate
	term := r.term
	if m.Type == raftpb.MessageType_MESSAGE_TYPE_PRE_VOTE_REPLY {
		expectedRole = PreCandidate
		term = r.term + 1
	}
	if r.role != expectedRole {
		return
	}
	// A pre-vote granted for an earlier term doesn't count for this one.
	if !m.Reject && m.Term != term {
		return
	}
	r.recordVote(m.From, !m.Reject)
}

// recordVote counts a vote and acts when a majority is reached either way.
func (r *Raft) recordVote(from uint64, granted bool) {
	if _, counted := r.votes[from]; counted || !r.confs.isVoter(from) {
		return
	}
	r.votes[from] = granted
	yes, no := 0, 0
	for _, g := range r.votes {
		if g {
			yes++
		} else {
			no++
		}
	}
	quorum := r.confs.quorum()
	switch {
	case yes >= quorum && r.role == PreCandidate:
		r.becomeCandidate()
		r.requestVotes(raftpb.MessageType_MESSAGE_TYPE_VOTE, r.term, false)
	case yes >= quorum:
		r.becomeLeader()
	case no >= quorum:
		r.becomeFollower(r.term, 0)
	}
}

func (r *Raft) becomeLeader() {
	r.role = Leader
	r.leader = r.id
	r.votes = nil
	r.electionElapsed = 0
	r.heartbeatElapsed = 0
	r.transferee = 0
	r.reads.reset()
	r.progress = map[uint64]*progress{}
	r.syncProgress()
	// Entries of earlier terms are committed only through one of this term; nothing else may
	// come for a while, so the leader appends an empty one.
	r.appendAsLeader(&raftpb.Entry{Type: raftpb.EntryType_ENTRY_TYPE_EMPTY})
}

// quorumActive tells whether a majority was heard since the last call, and begins a new count.
func (r *Raft) quorumActive() bool {
	active := 0
	for _, m := range r.confs.current().Members {
		p := r.progress[m.Id]
		if !m.Learner && (m.Id == r.id || p.active) {
			active++
		}
		p.active = false
	}
	return active >= r.confs.quorum()
}

// TransferLeadership asks the most advanced other voter to take over. It reports false if
// there is none to ask. Proposals are refused until the transfer succeeds or, after an
// election timeout, is given up.
func (r *Raft) TransferLeadership() bool {
	if r.role != Leader {
		return false
	}
	if r.transferee != 0 {
		return true
	}
	var best uint64
	for _, m := range r.confs.current().Members {
		p := r.progress[m.Id]
		if m.Learner || m.Id == r.id || !p.replied {
			continue
		}
		if best == 0 || p.match > r.progress[best].match {
			best = m.Id
		}
	}
	if best == 0 {
		return false
	}
	r.transferee = best
	r.transferElapsed = 0
	r.finishTransfer()
	return true
}

// finishTransfer tells the transferee to campaign once it holds the whole log.
func (r *Raft) finishTransfer() {
	p := r.progress[r.transferee]
	if p == nil || p.match < r.log.lastIndex() {
		return
	}
	r.send(&raftpb.Message{Type: raftpb.MessageType_MESSAGE_TYPE_TIMEOUT_NOW, To: r.transferee})
}
