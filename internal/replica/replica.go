// Package replica runs one replica of one Raft group: the consensus core, its storage,
// group formation and joining, and the state machine. A single goroutine owns all of this
// state; the methods of Replica are safe for concurrent use.
package replica

import (
	"time"

	"egretramp/internal/events"
	"egretramp/internal/raft"
	"egretramp/internal/raft/raftpb"
	"egretramp/internal/raft/storage"
)

// StateMachine is the replicated state that committed commands are applied to. Only the
// replica's goroutine calls it. Apply must be deterministic and must itself detect commands
// that were proposed more than once.
type StateMachine interface {
	// Apply runs one committed command and returns the result for its proposer.
	Apply(index uint64, data []byte) (result []byte)
	// Snapshot returns the complete state in encoded form.
	Snapshot() ([]byte, error)
	// Restore replaces the complete state with the result of an earlier Snapshot.
	Restore(data []byte) error
}

// Stamper is implemented by state machines that measure time. Stamp sets the time of a command in place. The leader calls it
// right before it proposes the command.
type Stamper interface {
	Stamp(command []byte)
}

// Store persists a replica's identity, log, hard state and snapshot.
type Store interface {
	Identity() *raftpb.Identity
	Save(storage.Batch) error
	// Path returns the path of the file, for use in messages.
	Path() string
	Close() error
}

// Transport sends messages to the replica of the same group on another VM. Send is best
// effort and must not block; messages may be lost, duplicated, delayed and reordered.
type Transport interface {
	Send(vm string, m *raftpb.Message)
}

// Options configures a Replica.
type Options struct {
	// Group is the ID of the group, at least 1.
	Group uint64
	// VM is the name of this VM.
	VM string
	// Folder is the data folder, in which the group's file is created.
	Folder string
	// InitialVMs are the VMs that form the group, including this one.
	InitialVMs []string
	// OpenStore opens the replica's durable state. Default storage.Open.
	OpenStore func(folder string, fresh *raftpb.Identity) (Store, raft.State, error)
	// Open allows VMs that are not among InitialVMs to join; the zero value keeps the group closed.
	Open OpenMembership
	// Machine is the state machine in its initial, empty state.
	Machine StateMachine
	// Transport sends messages to the group's replicas on other VMs.
	Transport Transport
	// TickInterval is the length of a tick. Default DefaultTickInterval.
	TickInterval time.Duration
	// ElectionTicks is the minimum election timeout in ticks. Default DefaultElectionTicks.
	ElectionTicks int
	// HeartbeatTicks is the heartbeat interval in ticks. Default DefaultHeartbeatTicks.
	HeartbeatTicks int
	// SnapshotEvery is the number of applied entries after which a snapshot is taken and the log
	// truncated, or up to a quarter more: the replicas of a group don't all write at the same time.
	// Default DefaultSnapshotEvery.
	SnapshotEvery uint64
	// SnapshotBytes returns the total size of applied entries after which a snapshot is taken and the
	// log truncated, regardless of their number; 0 disables this limit. It is called on the replica's
	// goroutine, since the limit may depend on the groups that share the VM. nil: no limit.
	SnapshotBytes func() int64
	// MaxMessageBytes limits the size in bytes of a message to another replica, except that a single larger
	// entry is sent on its own. Default raft.DefaultMaxMessageBytes.
	MaxMessageBytes int
	// DurableCommit persists the commit index, so that after a restart the replica has at once
	// every entry it had applied before, because others may already have acted on that state.
	// Otherwise it starts with only the entries it can prove to be committed. Costs one sync
	// per commit.
	DurableCommit bool
	// CommitAtHeartbeat lets the other replicas apply a command up to a heartbeat interval after the leader, which saves
	// messages. It is for groups whose state is only read at the leader.
	CommitAtHeartbeat bool
	// Seed seeds the random election timeouts; 0 selects a random seed.
	Seed int64
	// Events receives the replica's events; may be nil.
	Events *events.Logger
	// Clock returns the time since boot. Default clock.Now.
	Clock func() time.Duration
}

// OpenMembership lets a group select its voters from all VMs that send it a hello message.
type OpenMembership struct {
	// Voters is the target number of voters; 0 closes the group to all but the initial VMs.
	Voters int
	// Replicas is the number of VMs that should hold the group: voters, and spares as learners. Lost VMs are not counted. 0: no
	// limit.
	Replicas int
	// Assigned reports whether a VM is one of those that should hold the group; nil: any. It has no effect without Replicas.
	Assigned func(vm string) bool
	// JoinOnly prevents this replica from proposing a formation, because the group already exists.
	JoinOnly bool
	// Contacts returns VMs to send hello messages to in addition to InitialVMs; nil: none.
	Contacts func() []string
	// Zone returns a VM's zone, empty if unknown; nil: zones are not considered.
	Zone func(vm string) string
	// Leaving reports whether a VM's replica must be removed from the group; nil: none.
	Leaving func(vm string) bool
}

// Default values of Options.
const (
	DefaultTickInterval          = 50 * time.Millisecond
	DefaultElectionTicks         = 10
	DefaultHeartbeatTicks        = 2
	DefaultSnapshotEvery  uint64 = 1000
)

// Status is the state of a replica as shown in the state dump.
type Status struct {
	Group     uint64         `json:"group"`
	Replica   uint64         `json:"replica"`
	VM        string         `json:"vm"`
	Formation uint64         `json:"formation"`
	Role      string         `json:"role"`
	Term      uint64         `json:"term"`
	Commit    uint64         `json:"commit"`
	Applied   uint64         `json:"applied"`
	Snapshot  uint64         `json:"snapshot"`
	LastIndex uint64         `json:"last_index"`
	Leader    string         `json:"leader,omitempty"`
	Members   []MemberStatus `json:"members"`
	// Failure is the error that stopped the replica, empty while it runs.
	Failure string `json:"failure,omitempty"`
}

// MemberStatus describes one member of the group. Match is set on the leader only.
type MemberStatus struct {
	Replica uint64 `json:"replica"`
	VM      string `json:"vm"`
	Learner bool   `json:"learner,omitempty"`
	Match   uint64 `json:"match,omitempty"`
	// Behind is set on the leader for a learner that has lacked a committed entry for a second. SnapshotSent of SnapshotBytes bytes have
	// reached it if it is installing a snapshot.
	Behind        bool `json:"behind,omitempty"`
	SnapshotSent  int  `json:"snapshot_sent,omitempty"`
	SnapshotBytes int  `json:"snapshot_bytes,omitempty"`
}
