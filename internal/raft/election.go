package raft

import "egretramp/internal/raft/raftpb"

// campaign starts an election. Unless leadership was transferred, it begins with a pre-vote, which
// doesn't increase the term.
func (r *Raft) campaign(transfer bool) {
	if r.role == Leader {
		return
	}
	if !r.confs.isVoter(r.id) {
		// Entries that this replica lacks may have made it a voter whose vote is needed, so it
		// must stop treating the leader as active.
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

// handleVoteRequest replies to a candidate. A replica that is not a voter according to its own
// log replies too: it may lack the entry that made it a voter.
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
	// A pre-vote granted for an earlier term is not counted.
	if !m.Reject && m.Term != term {
		return
	}
	r.recordVote(m.From, !m.Reject)
}

// recordVote counts a vote and changes the role once a majority has granted or rejected.
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
	// Entries of earlier terms are committed only together with an entry of this term. The
	// leader appends an empty one, because no proposal may arrive for a while.
	r.appendAsLeader(&raftpb.Entry{Type: raftpb.EntryType_ENTRY_TYPE_EMPTY})
}

// quorumActive reports whether a majority of the voters was active since the last call, and resets
// the activity flags.
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

// TransferLeadership starts a transfer of leadership to the other voter with the longest matching
// log among those that replied in this term. It returns false if there is none. Proposals are
// rejected until the transfer succeeds or is aborted after an election timeout.
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
	return r.TransferLeadershipTo(best)
}

// TransferLeadershipTo starts a transfer of leadership to a given voter. It returns false if this replica isn't the leader, the
// other one is no voter, or a transfer is under way.
func (r *Raft) TransferLeadershipTo(id uint64) bool {
	if r.role != Leader || r.transferee != 0 || id == r.id || !r.confs.isVoter(id) {
		return false
	}
	r.transferee, r.transferElapsed = id, 0
	r.finishTransfer()
	return true
}

// finishTransfer sends the transferee the request to campaign if it has the whole log.
func (r *Raft) finishTransfer() {
	p := r.progress[r.transferee]
	if p == nil || p.match < r.log.lastIndex() {
		return
	}
	r.send(&raftpb.Message{Type: raftpb.MessageType_MESSAGE_TYPE_TIMEOUT_NOW, To: r.transferee})
}
