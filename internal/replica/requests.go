package replica

import (
	"github.com/cockroachdb/errors"

	"egretramp/internal/raft"
)

// proposals holds the commands that this replica appended and whose outcome is open, by log index.
type proposals map[uint64]proposal

type proposal struct {
	term uint64
	done func(result []byte, err error)
}

// complete answers the proposal at a log index. An entry of another term at that index means that
// the proposal was overwritten and will never be committed; this case has no error of its own and
// also returns ErrUnknownOutcome.
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

// pendingReads holds the read requests that wait for confirmation by a majority or for an entry to
// be applied.
type pendingReads struct {
	lastID      uint64
	unconfirmed map[uint64]func(error)
	// confirmed are the reads that wait until their index is applied.
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

// finish records the reads that the Raft core confirmed or rejected, and answers every read whose
// index is applied.
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

// propose appends a command. done is called exactly once, possibly before propose returns.
func (n *node) propose(data []byte, done func(result []byte, err error)) {
	if !n.hasFormation() {
		done(nil, ErrNotFormed)
		return
	}
	if s, ok := n.options.machine.(Stamper); ok && n.raft.Role() == raft.Leader {
		s.Stamp(data)
	}
	index, err := n.raft.Propose(data)
	if err != nil {
		done(nil, n.notLeaderError(err))
		return
	}
	n.pending[index] = proposal{term: n.raft.Term(), done: done}
}

// readIndex calls done once every entry committed before the call is applied. A read that is not
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

// notLeaderError converts an error of the Raft core to a NotLeaderError; nothing was executed.
func (n *node) notLeaderError(err error) error {
	if errors.Is(err, raft.ErrNotLeader) {
		return &NotLeaderError{LeaderVM: n.leaderVM()}
	}
	return &NotLeaderError{}
}

// failAll fails all open proposals and reads when the replica stops.
func (n *node) failAll() {
	n.pending.failAll(ErrUnknownOutcome)
	n.reads.failAll(ErrStopped)
}
