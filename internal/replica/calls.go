package replica

import (
	"context"
	"time"

	"egretramp/internal/raft/raftpb"
)

// transferPollInterval is how often Transfer checks whether another replica has taken over.
const transferPollInterval = 10 * time.Millisecond

// Step enqueues a message received from another VM. It doesn't block; if the queue is full, the
// message is dropped.
func (r *Replica) Step(m *raftpb.Message) {
	select {
	case r.inbox <- m:
	default:
	}
}

// Propose appends a command on the leader and returns the result of Apply. ErrUnknownOutcome, also
// returned when ctx ends while the proposal is open, means that the command may or may not be
// committed, now or later; any other error means that it was not executed. data must not be
// modified afterwards.
func (r *Replica) Propose(ctx context.Context, data []byte) ([]byte, error) {
	type outcome struct {
		result []byte
		err    error
	}
	answer := make(chan outcome, 1)
	err := r.submit(ctx, func(n *node) {
		if ctx.Err() != nil {
			return // the caller left while the command waited for its turn
		}
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

// ReadIndex returns once this replica, as leader, has applied every entry committed before the call.
// It waits for the next periodic heartbeat, so that sequential calls cause no extra heartbeat
// rounds.
func (r *Replica) ReadIndex(ctx context.Context) error {
	answer := make(chan error, 1)
	if err := r.submit(ctx, func(n *node) { n.readIndex(false, func(err error) { answer <- err }) }); err != nil {
		return err
	}
	return r.await(ctx, answer)
}

// Query runs read on the replica's goroutine, possibly on stale state. read must copy any state
// that it retains.
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

// LinearizableQuery runs read on the leader after it has applied every entry committed before the
// call.
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

// submit enqueues a request for the replica's goroutine.
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

// Leader returns the leader's VM; ok is false if it is unknown.
func (r *Replica) Leader() (vm string, ok bool) {
	vm = r.Status().Leader
	return vm, vm != ""
}

// Status returns the replica's state after its last completed step.
func (r *Replica) Status() Status { return *r.status.Load() }

// Transfer transfers leadership to another voter, for a graceful shutdown. It returns nil once this
// replica is not the leader, immediately if it isn't or if it is the only voter, and ctx's error if
// no other voter takes over in time.
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
