package replica

import "github.com/cockroachdb/errors"

var (
	// ErrNotFormed says that the replica belongs to no group yet. Nothing was run.
	ErrNotFormed = errors.New("the group is not formed, or this VM has not joined it yet")
	// ErrStopped says that the replica has stopped. A proposal that was accepted before is
	// answered ErrUnknownOutcome instead.
	ErrStopped = errors.New("the replica has stopped")
	// ErrUnknownOutcome says that the proposal may or may not be committed, now or later.
	ErrUnknownOutcome = errors.New("the outcome of the proposal is unknown")
)

// NotLeaderError says that nothing was run because another replica leads.
type NotLeaderError struct {
	// LeaderVM is the leader's VM, empty if it is not known.
	LeaderVM string
}

func (e *NotLeaderError) Error() string {
	if e.LeaderVM == "" {
		return "this replica does not lead and knows no leader"
	}
	return "this replica does not lead; the leader is on VM " + e.LeaderVM
}
