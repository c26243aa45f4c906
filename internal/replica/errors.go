package replica

import "github.com/cockroachdb/errors"

var (
	// ErrNotFormed means that the replica has not formed or joined a group yet. Nothing was executed.
	ErrNotFormed = errors.New("the group is not formed, or this VM has not joined it yet")
	// ErrStopped means that the replica has stopped. A proposal that was accepted before that
	// returns ErrUnknownOutcome instead.
	ErrStopped = errors.New("the replica has stopped")
	// ErrUnknownOutcome means that the proposal may or may not be committed, now or later.
	ErrUnknownOutcome = errors.New("the outcome of the proposal is unknown")
)

// NotLeaderError means that nothing was executed because this replica is not the leader or is
// transferring leadership.
type NotLeaderError struct {
	// LeaderVM is the leader's VM, empty if unknown.
	LeaderVM string
}

func (e *NotLeaderError) Error() string {
	if e.LeaderVM == "" {
		return "this replica does not lead and knows no leader"
	}
	return "this replica does not lead; the leader is on VM " + e.LeaderVM
}
