package replica

import (
	"context"
	"time"

	"egretramp/internal/raft/raftpb"
)

// transferPollInterval is the time between two looks at the progress of a transfer.
const transferPollInterval = 10 * time.Millisecond

// Step hands over a message from another VM. It doesn't block; under overload it drops.
func (r *Replica) Step(m *raftpb.Message) {
	select {
	case r.inbox <- m:
	default:
	}
}

// Propose appends a command on the leader and returns what Apply returned for it. After
// ErrUnknownOutcome, which is also the answer when ctx ends first, the command may be committed or not, now or
// later; any other error says that it was not run. data must not be changed afterwards.
func (r *Replica) Propose(ctx context.Context, data []byte) ([]byte, error) {
	type outcome struct {
		result []byte
		err    error
	}
	answer := make(chan outcome, 1)
	err := r.submit(ctx, func(n *node) {
		n.propose(data, func(result []byte, err error) { answer <- outcome{result, err} })
	})
	if err != nil {
		return nil, err
	}
	select {
	case o := <-answer:
		return o.result, o.err
	case <-ctx.Done():
		return nil, ErrUnknownOutcome
	case <-r.stopped:
	}
	select {
	case o := <-answer:
		return o.result, o.err
	default:
		return nil, ErrUnknownOutcome
	}
}

// ReadIndex returns once this replica, as leader, has applied all that was committed before the call.
// It waits for a periodic heartbeat, so that calls that come one by one cost no rounds of their own.
func (r *Replica) ReadIndex(ctx context.Context) error {
	answer := make(chan error, 1)
	if err := r.submit(ctx, func(n *node) { n.readIndex(false, func(err error) { answer <- err }) }); err != nil {
		return err
	}
	return r.await(ctx, answer)
}

// Query runs read on the replica's goroutine; what it sees may be old. read must copy what it keeps.
func (r *Replica) Query(ctx context.Context, read func(StateMachine)) error {
	answer := make(chan error, 1)
	err := r.submit(ctx, func(n *node) {
		read(n.options.machine)
		answer <- nil
	})
	if err != nil {
		return err
	}
	return r.await(ctx, answer)
}

// LinearizableQuery runs read on the leader, which sees all that was committed before the call.
func (r *Replica) LinearizableQuery(ctx context.Context, read func(StateMachine)) error {
	answer := make(chan error, 1)
	err := r.submit(ctx, func(n *node) {
		n.readIndex(true, func(err error) {
			if err == nil {
				read(n.options.machine)
			}
			answer <- err
		})
	})
	if err != nil {
		return err
	}
	return r.await(ctx, answer)
}

// submit hands a call to the replica's goroutine.
func (r *Replica) submit(ctx context.Context, request func(*node)) error {
	select {
	case <-r.stopped:
		return ErrStopped
	default:
	}
	select {
	case r.requests <- request:
		return nil
	case <-r.stopped:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (r *Replica) await(ctx context.Context, answer <-chan error) error {
	select {
	case err := <-answer:
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-r.stopped:
		return ErrStopped
	}
}

// Leader returns the VM of the leader as far as it is known.
func (r *Replica) Leader() (vm string, ok bool) {
	vm = r.Status().Leader
	return vm, vm != ""
}

// Status describes the replica as of its last step.
func (r *Replica) Status() Status { return *r.status.Load() }

// Transfer hands leadership to another voter, for a graceful shutdown. It returns nil at
// once if this replica doesn't lead or is the only voter, and ctx's error if nobody takes over in time.
func (r *Replica) Transfer(ctx context.Context) error {
	for {
		leading := make(chan bool, 1)
		err := r.submit(ctx, func(n *node) {
			leading <- n.isLeader() && !n.isOnlyVoter()
			if n.isLeader() {
				n.raft.TransferLeadership()
			}
		})
		if err != nil {
			return err
		}
		select {
		case leads := <-leading:
			if !leads {
				return nil
			}
		case <-r.stopped:
			return ErrStopped
		case <-ctx.Done():
			return ctx.Err()
		}
		select {
		case <-time.After(transferPollInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
