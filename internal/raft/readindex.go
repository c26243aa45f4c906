package raft

// Read is a finished read index request. With OK, the reader may read once Index is
// applied; without, this replica ceased to lead and the reader must ask again.
type Read struct {
	ID    uint64
	Index uint64
	OK    bool
}

// readQueue holds reads until a majority has confirmed, after they came, that this replica
// leads. Heartbeats carry a sequence number that the replies return; reads wait for theirs.
type readQueue struct {
	sequence uint64
	pending  []pendingRead
	finished []Read
	// urgentSequence is the sequence of the last read that does not wait for a periodic heartbeat.
	urgentSequence uint64
	// sentSequence is the highest sequence that heartbeats have carried.
	sentSequence uint64
}

type pendingRead struct {
	id       uint64
	sequence uint64
	// index is 0 until the leader has committed in its term: before that it may not know
	// all that earlier leaders committed.
	index uint64
}

func (q *readQueue) add(id, index uint64) {
	q.sequence++
	q.pending = append(q.pending, pendingRead{id: id, sequence: q.sequence, index: index})
}

// assignIndex gives the commit index to the reads that came before the leader's first commit.
func (q *readQueue) assignIndex(commit uint64) {
	for i := range q.pending {
		if q.pending[i].index == 0 {
			q.pending[i].index = commit
		}
	}
}

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

func (q *readQueue) failAll() {
	for _, w := range q.pending {
		q.finished = append(q.finished, Read{ID: w.id})
	}
	q.pending = nil
}

// reset begins a term as leader. The sequence goes on, so that a late reply confirms nothing new.
func (q *readQueue) reset() { q.pending = nil }

// ReadIndex asks for the index that a linearizable read must wait for. Ready returns it
// under the given ID.
func (r *Raft) ReadIndex(id uint64) error {
	if err := r.ReadIndexAtHeartbeat(id); err != nil {
		return err
	}
	r.reads.urgentSequence = r.reads.sequence
	return nil
}

// ReadIndexAtHeartbeat is ReadIndex without a round of heartbeats of its own: the next periodic
// ones confirm it.
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
		r.reads.urgentSequence = r.reads.sequence // nobody's reply may come
	}
	return nil
}

// sendReadHeartbeats sends one heartbeat round for the urgent reads that came since the last one.
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

// confirmedReadSequence returns the highest sequence that a majority has returned.
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
