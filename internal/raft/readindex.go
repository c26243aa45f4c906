package raft

// Read is a completed read index request. If OK is true, the read may be served once Index
// is applied. Otherwise this replica lost leadership and the read must be requested again.
type Read struct {
	ID    uint64
	Index uint64
	OK    bool
}

// readQueue holds reads until a majority confirms that this replica was the leader after the
// read arrived. Heartbeats carry a sequence number that the replies echo; a read completes
// when a majority has echoed its sequence number or a later one.
type readQueue struct {
	sequence uint64
	pending  []pendingRead
	finished []Read
	// urgentSequence is the sequence number of the last read that doesn't wait for a periodic heartbeat.
	urgentSequence uint64
	// sentSequence is the highest sequence number sent in heartbeats.
	sentSequence uint64
}

// pendingRead is a read that waits for confirmation.
type pendingRead struct {
	id       uint64
	sequence uint64
	// index is 0 until the leader has committed an entry of its term: before that it may not
	// know about all entries that earlier leaders committed.
	index uint64
}

func (q *readQueue) add(id, index uint64) {
	q.sequence++
	q.pending = append(q.pending, pendingRead{id: id, sequence: q.sequence, index: index})
}

// assignIndex sets the commit index of the reads that arrived before the leader's first commit.
func (q *readQueue) assignIndex(commit uint64) {
	for i := range q.pending {
		if q.pending[i].index == 0 {
			q.pending[i].index = commit
		}
	}
}

// confirm completes the reads up to a confirmed sequence number, as far as their index is known.
func (q *readQueue) confirm(sequence uint64) {
	for len(q.pending) > 0 {
		first := q.pending[0]
		if first.sequence > sequence || first.index == 0 {
			return
		}
		q.finished = append(q.finished, Read{ID: first.id, Index: first.index, OK: true})
		q.pending = q.pending[1:]
	}
}

// failAll completes all pending reads as failed.
func (q *readQueue) failAll() {
	for _, w := range q.pending {
		q.finished = append(q.finished, Read{ID: w.id})
	}
	q.pending = nil
}

// reset clears the queue at the start of a term as leader. The sequence number is not reset, so that
// a delayed reply doesn't confirm a new read.
func (q *readQueue) reset() { q.pending = nil }

// ReadIndex requests the index that a linearizable read must wait for, and has a heartbeat round
// sent for it. Ready returns the result with the given ID.
func (r *Raft) ReadIndex(id uint64) error {
	if err := r.ReadIndexAtHeartbeat(id); err != nil {
		return err
	}
	r.reads.urgentSequence = r.reads.sequence
	return nil
}

// ReadIndexAtHeartbeat is like ReadIndex but sends no heartbeats: the next periodic heartbeats
// confirm the read.
func (r *Raft) ReadIndexAtHeartbeat(id uint64) error {
	if r.role != Leader {
		return ErrNotLeader
	}
	index := uint64(0)
	if r.committedInTerm() {
		index = r.log.commit
	}
	r.reads.add(id, index)
	if r.confs.quorum() == 1 {
		r.reads.urgentSequence = r.reads.sequence // there are no other voters to reply
	}
	return nil
}

// sendReadHeartbeats sends one heartbeat round if urgent reads arrived after sentSequence.
func (r *Raft) sendReadHeartbeats(sentSequence uint64) {
	if r.role != Leader || r.reads.urgentSequence <= sentSequence {
		return
	}
	for _, m := range r.confs.current().Members {
		if m.Id != r.id {
			r.sendHeartbeat(m.Id)
		}
	}
	r.reads.confirm(r.confirmedReadSequence())
}

// confirmedReadSequence returns the highest sequence number that a majority has echoed.
func (r *Raft) confirmedReadSequence() uint64 {
	var sequences []uint64
	for _, m := range r.confs.current().Members {
		if m.Learner {
			continue
		}
		if m.Id == r.id {
			sequences = append(sequences, r.reads.sequence)
			continue
		}
		sequences = append(sequences, r.progress[m.Id].readSequence)
	}
	return majorityValue(sequences, r.confs.quorum())
}
