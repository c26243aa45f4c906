// Package raft implements the Raft consensus algorithm for one replica, without I/O. It
// consumes messages and ticks; Ready returns what the caller must persist, send and apply.
// It is not safe for concurrent use: a single goroutine makes all calls.
//
// The caller handles a Ready in this order: write Snapshot, Entries and HardState in one
// synced batch, then send Messages, then apply Committed, then call Advance. Messages must
// not be sent before the sync: losing a vote or an acknowledgement in a crash may lead to
// two leaders in a term or to the loss of a committed entry.
//
// A membership takes effect as soon as its entry is appended, and at most one membership
// entry is uncommitted at a time.
package raft

import (
	"math/rand"

	"github.com/cockroachdb/errors"

	"egretramp/internal/raft/raftpb"
)

// Errors returned by proposals. Nothing is appended when one is returned.
var (
	ErrNotLeader     = errors.New("raft: not the leader")
	ErrTransferring  = errors.New("raft: leadership is being transferred")
	ErrChangePending = errors.New("raft: a membership change is not committed yet")
	ErrUnsafeChange  = errors.New("raft: the membership change is not a safe single step")
)

// Role is the role of a replica in its group.
type Role int

// Roles of a replica.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the name of the role.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Flow control limits for one follower.
const (
	// DefaultMaxInflight is the default of Options.MaxInflight, in messages.
	DefaultMaxInflight = 64
	// DefaultMaxMessageBytes is the default of Options.MaxMessageBytes.
	DefaultMaxMessageBytes = 256 << 10
	// maxChunksInflight is the maximum number of unacknowledged chunks of a snapshot, each of up to
	// Options.MaxMessageBytes.
	maxChunksInflight = 4
)

// State is the durable state from which a replica starts.
type State struct {
	Hard *raftpb.HardState
	// Snapshot is never nil: a formation begins with a snapshot without data.
	Snapshot *raftpb.Snapshot
	Bounds   *raftpb.LogBounds
	// Entries holds all entries after Bounds.BaseIndex, without gaps.
	Entries []*raftpb.Entry
}

// Options configures New.
type Options struct {
	// ID is the random replica ID.
	ID uint64
	// ElectionTicks is the minimum election timeout in ticks. The timeout is random, at most
	// 2*ElectionTicks-1.
	ElectionTicks int
	// HeartbeatTicks is the time between heartbeats in ticks.
	HeartbeatTicks int
	// MaxInflight is the maximum number of unacknowledged append messages to one follower.
	// Default DefaultMaxInflight.
	MaxInflight int
	// MaxMessageBytes limits the total size in bytes of the entries in a message, except that a
	// single larger entry is sent on its own. A larger snapshot is sent in chunks of this size.
	// Default DefaultMaxMessageBytes.
	MaxMessageBytes int
	// Seed seeds the random election timeouts.
	Seed int64
	// DurableCommit persists the commit index before the entries up to it are applied, so that
	// right after a restart a replica has every entry that it had applied. It costs a sync.
	DurableCommit bool
	// CommitAtHeartbeat makes the leader send a new commit index with the next append or periodic heartbeat only, and not
	// in messages of its own. It saves a heartbeat and its reply for each member and commit, but members apply entries later,
	// by up to a heartbeat interval.
	CommitAtHeartbeat bool
	// State is the durable state to start from.
	State State
}

// Raft is the consensus state of one replica.
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
	receivedFromLeader bool // since the last call of ReceivedFromLeader
	heartbeatElapsed   int
	electionTimeout    int

	transferee      uint64
	transferElapsed int

	reads readQueue

	messages []*raftpb.Message
	// State of Ready: the last persisted hard state, the snapshot still to be returned, the index
	// of the last durable entry, and the Ready that awaits Advance.
	savedHard       *raftpb.HardState
	pendingSnapshot *raftpb.Snapshot
	stable          uint64
	outstanding     *Ready
	// incoming is the part received so far of a snapshot that the leader sends in chunks; nil if there is none.
	incoming *incomingSnapshot
}

// New returns a replica that starts as a follower from the durable state in options.
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
	// From here on the log owns the state.
	r.options.State = State{}
	r.becomeFollower(r.term, 0)
	r.checkInvariants()
	return r, nil
}

// Tick advances the logical clock by one tick.
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

// Step processes a message of this group and formation. A message addressed to another
// replica ID is dropped: after a VM has lost its disk, peers may still address its former
// replica.
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
		raftpb.MessageType_MESSAGE_TYPE_SNAPSHOT, raftpb.MessageType_MESSAGE_TYPE_SNAPSHOT_CHUNK:
		r.handleLeaderMessage(m)
	case raftpb.MessageType_MESSAGE_TYPE_APPEND_REPLY, raftpb.MessageType_MESSAGE_TYPE_HEARTBEAT_REPLY,
		raftpb.MessageType_MESSAGE_TYPE_SNAPSHOT_CHUNK_REPLY:
		r.handleFollowerReply(m)
	case raftpb.MessageType_MESSAGE_TYPE_TIMEOUT_NOW:
		r.campaign(true)
	}
}

// acceptHigherTerm handles a message of a higher term and adopts the term where Raft requires
// it. It returns false if the message must be dropped.
func (r *Raft) acceptHigherTerm(m *raftpb.Message) bool {
	switch m.Type {
	case raftpb.MessageType_MESSAGE_TYPE_PRE_VOTE, raftpb.MessageType_MESSAGE_TYPE_VOTE:
		// Candidates are ignored while the leader is active, so that a replica that was
		// partitioned and reconnects, or was removed, doesn't disrupt the group.
		leaderActive := r.leader != 0 && r.electionElapsed < r.options.ElectionTicks
		if leaderActive && !m.Transfer {
			return false
		}
		if m.Type == raftpb.MessageType_MESSAGE_TYPE_VOTE {
			r.becomeFollower(m.Term, 0)
		}
	case raftpb.MessageType_MESSAGE_TYPE_PRE_VOTE_REPLY:
		// A granted pre-vote carries the requested term, which is higher than the local one.
		if m.Reject {
			r.becomeFollower(m.Term, 0)
		}
	case raftpb.MessageType_MESSAGE_TYPE_APPEND, raftpb.MessageType_MESSAGE_TYPE_HEARTBEAT,
		raftpb.MessageType_MESSAGE_TYPE_SNAPSHOT, raftpb.MessageType_MESSAGE_TYPE_SNAPSHOT_CHUNK:
		r.becomeFollower(m.Term, m.From)
	default:
		r.becomeFollower(m.Term, 0)
	}
	return true
}

// replyToLowerTerm sends the current term to a leader or candidate of an older term. Without
// the reply, a replica whose term advanced during a partition could not rejoin, because
// pre-vote prevents it from raising the term of the others.
func (r *Raft) replyToLowerTerm(m *raftpb.Message) {
	switch m.Type {
	case raftpb.MessageType_MESSAGE_TYPE_APPEND, raftpb.MessageType_MESSAGE_TYPE_HEARTBEAT,
		raftpb.MessageType_MESSAGE_TYPE_SNAPSHOT, raftpb.MessageType_MESSAGE_TYPE_SNAPSHOT_CHUNK:
		r.send(&raftpb.Message{Type: raftpb.MessageType_MESSAGE_TYPE_APPEND_REPLY, To: m.From, Reject: true})
	case raftpb.MessageType_MESSAGE_TYPE_PRE_VOTE:
		r.send(&raftpb.Message{Type: raftpb.MessageType_MESSAGE_TYPE_PRE_VOTE_REPLY, To: m.From, Reject: true})
	}
}

// send queues a message. It sets the current term unless the message has a term already.
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

// Role returns the current role.
func (r *Raft) Role() Role { return r.role }

// Term returns the current term.
func (r *Raft) Term() uint64 { return r.term }

// Leader returns the replica ID of the leader, or 0 if it is unknown.
func (r *Raft) Leader() uint64 { return r.leader }

// ReceivedFromLeader reports whether a message of the leader was received since the last call. If
// so, the election timeout restarted at that message, and the time before it need not be passed
// by Tick.
func (r *Raft) ReceivedFromLeader() bool {
	heard := r.receivedFromLeader
	r.receivedFromLeader = false
	return heard
}

// Commit returns the index of the last entry that is known to be committed.
func (r *Raft) Commit() uint64 { return r.log.commit }

// LastIndex returns the index of the last entry in the log.
func (r *Raft) LastIndex() uint64 { return r.log.lastIndex() }

// SnapshotIndex returns the index of the latest snapshot.
func (r *Raft) SnapshotIndex() uint64 { return r.log.snapshot.Index }

// Conf returns the active membership. The caller must not modify it.
func (r *Raft) Conf() *raftpb.ConfState { return r.confs.current() }

// TermAt returns the term of the entry at index, and false if the log doesn't contain it.
func (r *Raft) TermAt(index uint64) (uint64, bool) { return r.log.term(index) }
