package replica

import (
	"context"

	"egretramp/internal/raft/raftpb"
)

// Replica runs one replica of a group.
type Replica struct{ options Options }

// New opens or makes the group's file in the folder. It fails if the file is damaged.
func New(options Options) (*Replica, error) { return &Replica{options: options}, nil }

// Run drives the replica until ctx ends or its storage fails.
func (r *Replica) Run(ctx context.Context) error { <-ctx.Done(); return nil }

// Step hands over a message from another VM. It doesn't block; under overload it drops.
func (r *Replica) Step(m *raftpb.Message) {}

// Propose appends a command and returns what Apply returned for it.
func (r *Replica) Propose(ctx context.Context, data []byte) ([]byte, error) {
	return nil, ErrNotFormed
}

// ReadIndex returns once this replica, as leader, has applied all that was committed before the call.
func (r *Replica) ReadIndex(ctx context.Context) error { return ErrNotFormed }

// Query runs read on the replica's goroutine; what it sees may be old.
func (r *Replica) Query(ctx context.Context, read func(StateMachine)) error { return ErrStopped }

// LinearizableQuery runs read on the leader after ReadIndex.
func (r *Replica) LinearizableQuery(ctx context.Context, read func(StateMachine)) error {
	return ErrNotFormed
}

// Leader returns the VM of the leader as far as it is known.
func (r *Replica) Leader() (vm string, ok bool) { return "", false }

// Status describes the replica as of its last step.
func (r *Replica) Status() Status { return Status{} }

// Transfer hands leadership to another voter, for a graceful shutdown.
func (r *Replica) Transfer(ctx context.Context) error { return nil }
