package replica

import (
	"github.com/cockroachdb/errors"

	"egretramp/internal/raft"
)

// proposals are the commands appended by this replica whose outcome is open, by index.
type proposals map[uint64]proposal

type proposal struct {
	term uint64
	done func(result []byte, err error)
}

// complete answers the proposal at an index. An entry of another term there means that the
// proposal was replaced and will never be committed, but that is not worth an answer of its own.
func (p proposals) complete(index, term uint64, result []byte) {
	found, ok := p[index]
	if !ok {
		return
	}
	delete(p, index)
	if found.term != term {
		found.done(nil, ErrUnknownOutcome)
		return
	}
	found.done(result, nil)
}

func (p proposals) failAll(err error) {
	for index, open := range p {
		delete(p, index)
		open.done(nil, err)
	}
}

// pendingReads are the read requests that wait for a majority or for an entry to be applied.
type pendingReads struct {
	lastID      uint64
	unconfirmed map[uint64]func(error)
	// confirmed wait until the index is applied.
	confirmed []confirmedRead
}

type confirmedRead struct {
	index uint64
	done  func(error)
}

func (p *pendingReads) add(done func(error)) uint64 {
	if p.unconfirmed == nil {
		p.unconfirmed = map[uint64]func(error){}
	}
	p.lastID++
	p.unconfirmed[p.lastID] = done
	return p.lastID
}

// finish takes what the core answered and answers all reads whose index is applied.
func (p *pendingReads) finish(reads []raft.Read, applied uint64) {
	for _, read := range reads {
		done := p.unconfirmed[read.ID]
		delete(p.unconfirmed, read.ID)
		if !read.OK {
			done(&NotLeaderError{})
			continue
		}
		p.confirmed = append(p.confirmed, confirmedRead{index: read.Index, done: done})
	}
	waiting := p.confirmed[:0]
	for _, c := range p.confirmed {
		if c.index <= applied {
			c.done(nil)
			continue
		}
		waiting = append(waiting, c)
	}
	p.confirmed = waiting
}

func (p *pendingReads) failAll(err error) {
	for id, done := range p.unconfirmed {
		delete(p.unconfirmed, id)
		done(err)
	}
	for _, c := range p.confirmed {
		c.done(err)
	}
	p.confirmed = nil
}

// propose appends a command; done is called once, perhaps before propose returns.
func (n *node) propose(data []byte, done func(result []byte, err error)) {
	if !n.hasFormation() {
		done(nil, ErrNotFormed)
		return
	}
	index, err := n.raft.Propose(data)
	if err != nil {
		done(nil, n.notLeaderError(err))
		return
	}
	n.pending[index] = proposal{term: n.raft.Term(), done: done}
}

// readIndex calls done once all that was committed before the call is applied. One that is not
// urgent waits for the next periodic heartbeat.
func (n *node) readIndex(urgent bool, done func(error)) {
	if !n.hasFormation() {
		done(ErrNotFormed)
		return
	}
	id := n.reads.add(done)
	read := n.raft.ReadIndexAtHeartbeat
	if urgent {
		read = n.raft.ReadIndex
	}
	if err := read(id); err != nil {
		delete(n.reads.unconfirmed, id)
		done(n.notLeaderError(err))
	}
}

// notLeaderError turns the core's error into one of this package; nothing was run.
func (n *node) notLeaderError(err error) error {
	if errors.Is(err, raft.ErrNotLeader) {
		return &NotLeaderError{LeaderVM: n.leaderVM()}
	}
	return &NotLeaderError{}
}

// failAll answers everything that is open, when the replica stops.
func (n *node) failAll() {
	n.pending.failAll(ErrUnknownOutcome)
	n.reads.failAll(ErrStopped)
}
