// Package replica hosts one replica of one replicated group: the consensus core, its
// storage, formation and joining, and the state machine. One goroutine owns all of it; the
// methods of Replica may be called from any goroutine.
package replica

import (
	"time"

	"egretramp/internal/events"
	"egretramp/internal/raft"
	"egretramp/internal/raft/raftpb"
	"egretramp/internal/raft/storage"
)

// StateMachine is what the log drives. Only the replica's goroutine touches it. Apply must
// be deterministic; a repeated command is the machine's to recognise.
type StateMachine interface {
	// Apply runs one committed command and returns what its proposer is told.
	Apply(index uint64, data []byte) (result []byte)
	// Snapshot returns the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state by that of an earlier Snapshot.
	Restore(data []byte) error
}

// Store is the durable state of a replica.
type Store interface {
	Identity() *raftpb.Identity
	Save(storage.Batch) error
	// Path is the file, for messages.
	Path() string
	Close() error
}

// Transport sends messages to the replica of the same group on another VM. Send is best
// effort and must not block; messages may be lost, repeated, delayed and reordered.
type Transport interface {
	Send(vm string, m *raftpb.Message)
}

// Options configures New.
type Options struct {
	// Group is the ID of the group, 1 or more.
	Group uint64
	// VM is the name of this VM.
	VM string
	// Folder is the data folder; the group's file is made in it.
	Folder string
	// InitialVMs are the VMs that form the group, this one included.
	InitialVMs []string
	// OpenStore opens the replica's durable state. Default storage.Open.
	OpenStore func(folder string, fresh *raftpb.Identity) (Store, raft.State, error)
	// Open lets VMs join that are not among InitialVMs; the zero value keeps the group closed.
	Open OpenMembership
	// Machine is the state machine, in its empty state.
	Machine StateMachine
	// Transport sends to other VMs.
	Transport Transport
	// TickInterval is the unit of the following. Default DefaultTickInterval.
	TickInterval time.Duration
	// ElectionTicks is the least election timeout in ticks. Default DefaultElectionTicks.
	ElectionTicks int
	// HeartbeatTicks is the time between heartbeats in ticks. Default DefaultHeartbeatTicks.
	HeartbeatTicks int
	// SnapshotEvery is the number of entries after which the log is cut. Default DefaultSnapshotEvery.
	SnapshotEvery uint64
	// SnapshotBytes is the size of applied entries after which the log is cut, whatever their
	// number; 0 for no such bound.
	SnapshotBytes int64
	// DurableCommit makes a replica that starts again begin with all that it had applied, not
	// only with what it can be sure is committed. Others may have acted under that. It costs a
	// sync for each commit.
	DurableCommit bool
	// Seed seeds the election timeouts; 0 draws one.
	Seed int64
	// Events may be nil.
	Events *events.Logger
	// Clock is the time since boot. Default clock.Now.
	Clock func() time.Duration
}

// OpenMembership lets a group choose its voters among the VMs that greet it.
type OpenMembership struct {
	// Voters is the number of voters to keep; 0 closes the group to other VMs than the initial ones.
	Voters int
	// JoinOnly keeps this replica from proposing a formation: the group exists already.
	JoinOnly bool
	// Contacts returns VMs to greet besides InitialVMs; nil: none.
	Contacts func() []string
	// Zone returns a VM's zone, empty if it is not known; nil: all are alike.
	Zone func(vm string) string
	// Leaving reports whether a VM must give up its replica; nil: none does.
	Leaving func(vm string) bool
}

// Defaults of Options.
const (
	DefaultTickInterval          = 50 * time.Millisecond
	DefaultElectionTicks         = 10
	DefaultHeartbeatTicks        = 2
	DefaultSnapshotEvery  uint64 = 1000
)

// Status describes a replica, for the state dump.
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
	// Failure is why the replica stopped, empty while it runs.
	Failure string `json:"failure,omitempty"`
}

// MemberStatus is one member of the group. Match is known to the leader only.
type MemberStatus struct {
	Replica uint64 `json:"replica"`
	VM      string `json:"vm"`
	Learner bool   `json:"learner,omitempty"`
	Match   uint64 `json:"match,omitempty"`
}
