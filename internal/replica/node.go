package replica

import (
	"sort"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"egretramp/internal/events"
	"egretramp/internal/raft"
	"egretramp/internal/raft/raftpb"
	"egretramp/internal/raft/storage"
)

// formationIndex is the index of the empty snapshot that a new formation starts from.
const formationIndex = 1

// store is the subset of storage.Store that a node uses.
type store interface {
	Identity() *raftpb.Identity
	Save(storage.Batch) error
}

// nodeOptions configures a node. Options documents the fields.
type nodeOptions struct {
	group          uint64
	vm             string
	initialVMs     []string
	membership     OpenMembership
	machine        StateMachine
	electionTicks  int
	heartbeatTicks int
	snapshotEvery  uint64
	snapshotBytes  func() int64
	// maxMessageBytes is 0 for the default.
	maxMessageBytes int
	seed            int64
	durableCommit   bool
	// commitAtHeartbeat is Options.CommitAtHeartbeat.
	commitAtHeartbeat bool
	send              func(vm string, m *raftpb.Message)
	events            *events.Logger
}

// node implements a replica without goroutines, clocks or sockets: the Raft core, its
// storage, group formation, membership changes and the state machine. The caller must call
// flush after every call that may change state.
type node struct {
	options nodeOptions
	store   store
	raft    *raft.Raft
	applied uint64
	// appliedBytes is the total size of the entries applied since the last snapshot.
	appliedBytes int64
	checkedBytes int64 // appliedBytes when the limit was last read
	vms          map[uint64]string
	pending      proposals
	reads        pendingReads
	discovery    discovery
	joiners      joiners
	// learners holds the learners that lack committed entries; empty unless this replica leads.
	learners   map[uint64]learnerLag
	wasLeader  bool
	leaderTerm uint64
}

// newNode creates a node from its durable state, which is empty if it has no formation.
func newNode(options nodeOptions, s store, state raft.State) (*node, error) {
	options.initialVMs = append([]string(nil), options.initialVMs...)
	sort.Strings(options.initialVMs)
	n := &node{
		options: options, store: s, vms: map[uint64]string{},
		pending: proposals{}, joiners: joiners{}, learners: map[uint64]learnerLag{},
	}
	n.discovery.reset()
	if s.Identity().Formation == 0 {
		return n, nil
	}
	return n, n.start(state)
}

// start restores the state machine and creates the Raft core from the durable state.
func (n *node) start(state raft.State) error {
	if state.Snapshot.Index > formationIndex {
		if err := n.options.machine.Restore(state.Snapshot.Data); err != nil {
			return errors.Wrapf(err, "restore the snapshot at %d", state.Snapshot.Index)
		}
	}
	n.applied = state.Snapshot.Index
	core, err := raft.New(raft.Options{
		ID:             n.store.Identity().Replica,
		ElectionTicks:  n.options.electionTicks,
		HeartbeatTicks: n.options.heartbeatTicks, MaxMessageBytes: n.options.maxMessageBytes,
		// Mixing in the ID keeps replicas that share a seed from timing out simultaneously.
		Seed:          n.options.seed ^ int64(n.store.Identity().Replica),
		DurableCommit: n.options.durableCommit, CommitAtHeartbeat: n.options.commitAtHeartbeat,
		State: state,
	})
	n.raft = core
	return err
}

// hasFormation reports whether the replica belongs to a formation.
func (n *node) hasFormation() bool { return n.raft != nil }

// tick advances the node's time by one tick.
func (n *node) tick() error {
	if err := n.tickJoiners(); err != nil {
		return err
	}
	if n.hasFormation() {
		n.raft.Tick()
	}
	if err := n.tickDiscovery(); err != nil {
		return err
	}
	if !n.isLeader() {
		clear(n.learners)
		return nil
	}
	n.proposeMembershipChange()
	n.trackLearners()
	return nil
}

// tickJoiners advances only the joiners' time by one tick, without counting it towards the
// election timeout.
func (n *node) tickJoiners() error {
	n.joiners.tick()
	return nil
}

// receivedFromLeader reports whether a message of the leader, another replica, arrived since the
// last call.
func (n *node) receivedFromLeader() bool {
	return n.hasFormation() && n.raft.ReceivedFromLeader() && n.raft.Role() == raft.Follower
}

// step processes a received message. It returns an error only if the storage fails.
func (n *node) step(m *raftpb.Message) error {
	if raft.CheckMessage(m) != nil || m.Group != n.options.group {
		return nil
	}
	switch m.Type {
	case raftpb.MessageType_MESSAGE_TYPE_HELLO:
		n.handleHello(m)
		return nil
	case raftpb.MessageType_MESSAGE_TYPE_HELLO_REPLY:
		n.handleHelloReply(m)
		return nil
	case raftpb.MessageType_MESSAGE_TYPE_FORM:
		return n.handleForm(m)
	}
	if m.To != n.store.Identity().Replica {
		return nil
	}
	if !n.hasFormation() {
		if !provesFormationExists(m) {
			return nil
		}
		if err := n.joinFormation(m.Formation, nil); err != nil {
			return err
		}
	}
	// Replicas of another formation must not influence this one, even if they know its ID.
	if m.Formation != n.store.Identity().Formation {
		return nil
	}
	n.vms[m.From] = m.FromVm
	n.raft.Step(m)
	return nil
}

// provesFormationExists reports whether a message addressed to this replica's ID proves that its
// formation has, or had, a leader and therefore a majority. A vote request from a formation that
// never reached a majority must not make this replica join it.
func provesFormationExists(m *raftpb.Message) bool {
	switch m.Type {
	case raftpb.MessageType_MESSAGE_TYPE_APPEND, raftpb.MessageType_MESSAGE_TYPE_HEARTBEAT,
		raftpb.MessageType_MESSAGE_TYPE_SNAPSHOT, raftpb.MessageType_MESSAGE_TYPE_SNAPSHOT_CHUNK:
		return true
	case raftpb.MessageType_MESSAGE_TYPE_PRE_VOTE, raftpb.MessageType_MESSAGE_TYPE_VOTE:
		return m.Index > formationIndex
	}
	return false
}

// flush processes all outstanding work of the Raft core. After an error the node must not be
// used any more.
func (n *node) flush() error {
	for n.hasFormation() {
		rd := n.raft.Ready()
		if rd == nil {
			break
		}
		if err := n.processReady(rd); err != nil {
			return err
		}
		n.raft.Advance()
		if err := n.compact(); err != nil {
			return err
		}
	}
	n.trackLeadership()
	return nil
}

// processReady persists, sends and applies the contents of a Ready in the order that package raft
// requires.
func (n *node) processReady(rd *raft.Ready) error {
	if rd.NeedsSync() {
		if err := n.store.Save(batchOf(rd)); err != nil {
			return err
		}
	}
	for _, m := range rd.Messages {
		n.sendToReplica(m)
	}
	if rd.Snapshot != nil {
		if err := n.restore(rd.Snapshot); err != nil {
			return err
		}
	}
	for _, e := range rd.Committed {
		n.apply(e)
	}
	n.reads.finish(rd.Reads, n.applied)
	return nil
}

func batchOf(rd *raft.Ready) storage.Batch {
	b := storage.Batch{Hard: rd.HardState, Entries: rd.Entries}
	if rd.Snapshot != nil {
		b.Snapshot = rd.Snapshot
		b.ReplaceLog = true
		b.BaseIndex, b.BaseTerm = rd.Snapshot.Index, rd.Snapshot.Term
	}
	return b
}

func (n *node) restore(s *raftpb.Snapshot) error {
	n.applied = s.Index
	if s.Index <= formationIndex {
		return nil
	}
	if err := n.options.machine.Restore(s.Data); err != nil {
		return errors.Wrapf(err, "restore the snapshot at %d", s.Index)
	}
	n.emit(events.SnapshotInstalled, zap.Uint64("index", s.Index), zap.Int("bytes", len(s.Data)))
	return nil
}

func (n *node) apply(e *raftpb.Entry) {
	if e.Index != n.applied+1 {
		panic(errors.Newf("replica: entry %d applied after %d", e.Index, n.applied))
	}
	n.applied = e.Index
	n.appliedBytes += int64(len(e.Data))
	var result []byte
	if e.Type == raftpb.EntryType_ENTRY_TYPE_COMMAND {
		result = n.options.machine.Apply(e.Index, e.Data)
	}
	n.pending.complete(e.Index, e.Term, result)
}

// snapshotCheckBytes is the size of applied entries after which the limit on their size is read again.
const snapshotCheckBytes = 64 << 10

// largeLogEntriesKept is the number of entries kept in a log that is truncated because of its size.
const largeLogEntriesKept = 500

// compact takes a snapshot once enough entries were applied since the last one. It keeps half
// as many entries in the log for replicas that are slightly behind, or largeLogEntriesKept if
// the log exceeded its size limit.
func (n *node) compact() error {
	many := n.applied >= n.raft.SnapshotIndex()+n.snapshotInterval()
	large := n.exceedsSnapshotBytes()
	if !many && !large {
		return nil
	}
	data, err := n.options.machine.Snapshot()
	if err != nil {
		return errors.Wrapf(err, "take a snapshot at %d", n.applied)
	}
	keep := n.options.snapshotEvery / 2
	if large {
		keep = largeLogEntriesKept
	}
	n.appliedBytes, n.checkedBytes = 0, 0
	c := n.raft.Compact(n.applied, data, keep)
	if c == nil {
		return nil
	}
	return n.store.Save(storage.Batch{Hard: c.HardState, Snapshot: c.Snapshot, BaseIndex: c.BaseIndex, BaseTerm: c.BaseTerm})
}

// snapshotInterval returns the number of applied entries after which this replica takes a snapshot. It differs
// between the replicas of a group.
func (n *node) snapshotInterval() uint64 {
	spread := n.options.snapshotEvery/4 + 1
	return n.options.snapshotEvery + n.store.Identity().Replica%spread
}

// exceedsSnapshotBytes reports whether the entries applied since the last snapshot exceed their limit.
func (n *node) exceedsSnapshotBytes() bool {
	if n.options.snapshotBytes == nil || n.appliedBytes < n.checkedBytes+snapshotCheckBytes {
		return false
	}
	n.checkedBytes = n.appliedBytes
	limit := n.options.snapshotBytes()
	return limit > 0 && n.appliedBytes >= limit
}

// sendToReplica sends a message of the Raft core to the VM of the receiving replica.
func (n *node) sendToReplica(m *raftpb.Message) {
	vm := n.vms[m.To]
	for _, member := range n.raft.Conf().Members {
		if member.Id == m.To {
			vm = member.Vm
		}
	}
	if vm != "" {
		n.send(vm, m)
	}
}

func (n *node) send(vm string, m *raftpb.Message) {
	identity := n.store.Identity()
	m.Group = n.options.group
	m.Formation = identity.Formation
	m.From = identity.Replica
	m.FromVm = n.options.vm
	m.ToVm = vm
	n.options.send(vm, m)
}

// trackLeadership emits an event when this replica gains or loses leadership, and fails the open
// proposals when it loses it.
func (n *node) trackLeadership() {
	leads := n.hasFormation() && n.raft.Role() == raft.Leader
	if n.wasLeader && (!leads || n.raft.Term() != n.leaderTerm) {
		n.wasLeader = false
		n.pending.failAll(ErrUnknownOutcome)
		n.emit(events.LeaderLost, zap.Uint64("term", n.leaderTerm))
	}
	if leads && !n.wasLeader {
		n.wasLeader = true
		n.leaderTerm = n.raft.Term()
		n.emit(events.LeaderElected, zap.Uint64("term", n.leaderTerm))
	}
}

// leaderVM returns the leader's VM, empty if unknown.
func (n *node) leaderVM() string {
	if !n.hasFormation() || n.raft.Leader() == 0 {
		return ""
	}
	for _, m := range n.raft.Conf().Members {
		if m.Id == n.raft.Leader() {
			return m.Vm
		}
	}
	return n.vms[n.raft.Leader()]
}

func (n *node) emit(e events.Event, fields ...zap.Field) {
	n.options.events.Emit(e, append(fields, zap.Uint64("group", n.options.group))...)
}
