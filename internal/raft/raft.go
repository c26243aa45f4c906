// Package raft is the consensus core of one replica of a replicated log, without I/O: it
// takes messages and ticks and returns, by Ready, what must be made durable, sent and
// applied. One goroutine calls it.
//
// The caller handles a Ready in this order: write Snapshot, Entries and HardState in one
// synced batch, then send Messages, then apply Committed, then call Advance. A message must
// not leave before the sync: a vote or an acknowledgement that a crash could undo may lead
// to two leaders in a term or to the loss of a committed entry.
//
// A membership is in force from the moment its entry is appended, and at most one
// membership entry is uncommitted at a time.
package raft

import (
	"math/rand"

	"github.com/cockroachdb/errors"

	"egretramp/internal/raft/raftpb"
)

// Errors of proposals. Nothing was appended when one is returned.
var (
	ErrNotLeader     = errors.New("raft: not the leader")
	ErrTransferring  = errors.New("raft: leadership is being transferred")
	ErrChangePending = errors.New("raft: a membership change is not committed yet")
	ErrUnsafeChange  = errors.New("raft: the membership change is not a safe single step")
)

// Role of a replica in its group.
type Role int

// Roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role's name.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Limits of what is sent to one replica before it acknowledges.
const (
	// DefaultMaxInflight is in messages.
	DefaultMaxInflight = 64
	// DefaultMaxMessageBytes bounds the entries of a message, but for a single larger one.
	DefaultMaxMessageBytes = 256 << 10
)

// State is what a replica had made durable.
type State struct {
	Hard *raftpb.HardState
	// Snapshot is never nil: a formation begins with one that has no data.
	Snapshot *raftpb.Snapshot
	// Bounds and Entries: all entries after Bounds.BaseIndex, without a gap.
	Bounds  *raftpb.LogBounds
	Entries []*raftpb.Entry
}

// Options configures New.
type Options struct {
	// ID is the random replica ID.
	ID uint64
	// ElectionTicks is the least election timeout in ticks; the most is twice that, less one.
	ElectionTicks int
	// HeartbeatTicks is the time between heartbeats in ticks.
	HeartbeatTicks int
	// MaxInflight in messages. Default DefaultMaxInflight.
	MaxInflight int
	// MaxMessageBytes in bytes. Default DefaultMaxMessageBytes.
	MaxMessageBytes int
	// Seed of the election timeouts.
	Seed int64
	// DurableCommit writes the commit index before the entries up to it are applied, so that a
	// replica that starts again at once has all that it ever applied. It costs a sync.
	DurableCommit bool
	// State to start from.
	State State
}

// Raft is one replica.
type Raft struct {
	options Options
	id      uint64
	random  *rand.Rand

	term     uint64
	vote     uint64
	role     Role
	leader   uint64
	log      *raftLog
	confs    confHistory
	progress map[uint64]*progress
	votes    map[uint64]bool

	electionElapsed    int
	receivedFromLeader bool // since LeaderHeard was called last
	heartbeatElapsed   int
	electionTimeout    int

	transferee      uint64
	transferElapsed int

	reads readQueue

	messages []*raftpb.Message
	// What Ready handed out last or has still to hand out.
	savedHard       *raftpb.HardState
	pendingSnapshot *raftpb.Snapshot
	stable          uint64
	outstanding     *Ready
}

// New returns a follower that starts from the durable state.
func New(options Options) (*Raft, error) {
	if options.ID == 0 || options.State.Snapshot == nil || options.State.Hard == nil || options.State.Bounds == nil {
		return nil, errors.New("raft: a replica needs an ID and a state to start from")
	}
	if options.HeartbeatTicks <= 0 || options.ElectionTicks <= options.HeartbeatTicks {
		return nil, errors.Newf("raft: election timeout (%d ticks) must exceed the heartbeat interval (%d ticks), which must be positive",
			options.ElectionTicks, options.HeartbeatTicks)
	}
	if options.MaxInflight <= 0 {
		options.MaxInflight = DefaultMaxInflight
	}
	if options.MaxMessageBytes <= 0 {
		options.MaxMessageBytes = DefaultMaxMessageBytes
	}
	state := options.State
	log, err := newLog(state)
	if err != nil {
		return nil, err
	}
	r := &Raft{
		options:   options,
		id:        options.ID,
		random:    rand.New(rand.NewSource(options.Seed)),
		term:      state.Hard.Term,
		vote:      state.Hard.Vote,
		log:       log,
		savedHard: &raftpb.HardState{Term: state.Hard.Term, Vote: state.Hard.Vote, Commit: state.Hard.Commit},
		stable:    log.lastIndex(),
	}
	r.confs.reset(state.Snapshot.Index, state.Snapshot.Conf)
	r.confs.addEntries(log.after(state.Snapshot.Index))
	// The state belongs to the log from here on.
	r.options.State = State{}
	r.becomeFollower(r.term, 0)
	r.checkInvariants()
	return r, nil
}

// Tick passes one unit of time.
func (r *Raft) Tick() {
	r.electionElapsed++
	if r.role == Leader {
		r.tickLeader()
		return
	}
	if r.electionElapsed >= r.electionTimeout {
		r.electionElapsed = 0
		r.campaign(false)
	}
}

func (r *Raft) tickLeader() {
	if r.electionElapsed >= r.options.ElectionTicks {
		r.electionElapsed = 0
		if !r.quorumActive() {
			r.becomeFollower(r.term, 0)
			return
		}
	}
	if r.transferee != 0 {
		r.transferElapsed++
		if r.transferElapsed >= r.options.ElectionTicks {
			r.transferee = 0
		}
	}
	r.heartbeatElapsed++
	if r.heartbeatElapsed >= r.options.HeartbeatTicks {
		r.heartbeatElapsed = 0
		r.sendHeartbeats()
	}
}

// Step takes a message of this group and formation. One for another replica ID is dropped:
// after the loss of a disk the VM's messages may still be addressed to its former replica.
func (r *Raft) Step(m *raftpb.Message) {
	if m.To != r.id {
		return
	}
	if m.Term > r.term && !r.acceptHigherTerm(m) {
		return
	}
	if m.Term < r.term {
		r.replyToLowerTerm(m)
		return
	}
	switch m.Type {
	case raftpb.MessageType_MESSAGE_TYPE_PRE_VOTE, raftpb.MessageType_MESSAGE_TYPE_VOTE:
		r.handleVoteRequest(m)
	case raftpb.MessageType_MESSAGE_TYPE_PRE_VOTE_REPLY, raftpb.MessageType_MESSAGE_TYPE_VOTE_REPLY:
		r.handleVoteReply(m)
	case raftpb.MessageType_MESSAGE_TYPE_APPEND, raftpb.MessageType_MESSAGE_TYPE_HEARTBEAT,
		raftpb.MessageType_MESSAGE_TYPE_SNAPSHOT:
		r.handleLeaderMessage(m)
	case raftpb.MessageType_MESSAGE_TYPE_APPEND_REPLY, raftpb.MessageType_MESSAGE_TYPE_HEARTBEAT_REPLY:
		r.handleFollowerReply(m)
	case raftpb.MessageType_MESSAGE_TYPE_TIMEOUT_NOW:
		r.campaign(true)
	}
}

// acceptHigherTerm moves to the message's term where that is due. It returns false if the
// message must be dropped.
func (r *Raft) acceptHigherTerm(m *raftpb.Message) bool {
	switch m.Type {
	case raftpb.MessageType_MESSAGE_TYPE_PRE_VOTE, raftpb.MessageType_MESSAGE_TYPE_VOTE:
		// A replica that hears a leader ignores candidates, so one that was cut off and comes
		// back, or was removed, doesn't interrupt the group.
		leaderActive := r.leader != 0 && r.electionElapsed < r.options.ElectionTicks
		if leaderActive && !m.Transfer {
			return false
		}
		if m.Type == raftpb.MessageType_MESSAGE_TYPE_VOTE {
			r.becomeFollower(m.Term, 0)
		}
	case raftpb.MessageType_MESSAGE_TYPE_PRE_VOTE_REPLY:
		// A granted pre-vote carries the term asked for, which is ahead of this replica's.
		if m.Reject {
			r.becomeFollower(m.Term, 0)
		}
	case raftpb.MessageType_MESSAGE_TYPE_APPEND, raftpb.MessageType_MESSAGE_TYPE_HEARTBEAT,
		raftpb.MessageType_MESSAGE_TYPE_SNAPSHOT:
		r.becomeFollower(m.Term, m.From)
	default:
		r.becomeFollower(m.Term, 0)
	}
	return true
}

// replyToLowerTerm tells a leader or candidate of an older term about the newer one. Without
// it, a replica that moved ahead during a partition could not be brought back, because
// pre-vote keeps it from raising the others' term.
func (r *Raft) replyToLowerTerm(m *raftpb.Message) {
	switch m.Type {
	case raftpb.MessageType_MESSAGE_TYPE_APPEND, raftpb.MessageType_MESSAGE_TYPE_HEARTBEAT,
		raftpb.MessageType_MESSAGE_TYPE_SNAPSHOT:
		r.send(&raftpb.Message{Type: raftpb.MessageType_MESSAGE_TYPE_APPEND_REPLY, To: m.From, Reject: true})
	case raftpb.MessageType_MESSAGE_TYPE_PRE_VOTE:
		r.send(&raftpb.Message{Type: raftpb.MessageType_MESSAGE_TYPE_PRE_VOTE_REPLY, To: m.From, Reject: true})
	}
}

// send queues a message of the current term, unless it has one already.
func (r *Raft) send(m *raftpb.Message) {
	m.From = r.id
	if m.Term == 0 {
		m.Term = r.term
	}
	r.messages = append(r.messages, m)
}

func (r *Raft) becomeFollower(term, leader uint64) {
	if term > r.term {
		r.term = term
		r.vote = 0
	}
	if r.role == Leader {
		r.reads.failAll()
	}
	r.role = Follower
	r.leader = leader
	r.progress = nil
	r.votes = nil
	r.transferee = 0
	r.electionElapsed = 0
	r.electionTimeout = r.options.ElectionTicks + r.random.Intn(r.options.ElectionTicks)
}

// ID returns the replica ID.
func (r *Raft) ID() uint64 { return r.id }

// Role returns the present role.
func (r *Raft) Role() Role { return r.role }

// Term returns the present term.
func (r *Raft) Term() uint64 { return r.term }

// Leader returns the leader's replica ID, 0 if it is not known.
func (r *Raft) Leader() uint64 { return r.leader }

// ReceivedFromLeader reports whether a message of the leader came since the last call. The time until
// then is no part of the leader's silence, so it need not be passed by Tick.
func (r *Raft) ReceivedFromLeader() bool {
	heard := r.receivedFromLeader
	r.receivedFromLeader = false
	return heard
}

// Commit returns the index of the last entry known to be committed.
func (r *Raft) Commit() uint64 { return r.log.commit }

// LastIndex returns the index of the last entry.
func (r *Raft) LastIndex() uint64 { return r.log.lastIndex() }

// SnapshotIndex returns the index of the last snapshot.
func (r *Raft) SnapshotIndex() uint64 { return r.log.snapshot.Index }

// Conf returns the membership in force. It must not be changed.
func (r *Raft) Conf() *raftpb.ConfState { return r.confs.current() }

// TermAt returns the term of an entry; false if the log doesn't hold it.
func (r *Raft) TermAt(index uint64) (uint64, bool) { return r.log.term(index) }
