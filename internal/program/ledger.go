package program

import "context"

// Proposer brings a command into the group's log and returns the machine's answer.
type Proposer interface {
	// Propose returns an error wrapping ErrNotProposed if the command surely has not been and
	// will not be applied; after any other error its outcome is unknown.
	Propose(ctx context.Context, data []byte) ([]byte, error)
}

// Reader answers a Query (in JSON) from a state that includes all commands acknowledged before
// the call, without a log entry.
type Reader interface {
	Read(ctx context.Context, query []byte) ([]byte, error)
}
