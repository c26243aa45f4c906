// Package admin serves the administration API on a separate port. The data comes from a Backend,
// which the daemon implements. The API has no authentication of its own: its listener belongs on
// the operators' network.
package admin

import (
	"context"

	"egretramp/internal/admin/api"
)

// Backend executes operators' requests. Errors meant for operators are *api.Error; all others are
// logged and reported to the client as internal errors without their text. Methods return at the
// latest when their context ends.
type Backend interface {
	// Apply proposes a configuration file that config.Parse has accepted.
	Apply(ctx context.Context, request ApplyRequest) (api.Applied, error)
	// WithdrawKeys permanently revokes the keys with these IDs.
	WithdrawKeys(ctx context.Context, keyIDs []string) (api.Withdrawn, error)
	// Status returns the state of this VM and its view of the fleet, with ConfigText set and Config
	// nil.
	Status(ctx context.Context) (api.Status, error)
	// Dump returns the state of this process as a value that encoding/json can encode, without
	// keys, prompts and secrets.
	Dump(ctx context.Context) (any, error)
	// Programs lists programs, including ended ones that are still retained.
	Programs(ctx context.Context, query ProgramsQuery) (api.Programs, error)
	// Upstreams lists the upstreams in this VM's directory.
	Upstreams(ctx context.Context) (api.Upstreams, error)
	// Placement queries the VM that orders each zone's engines for its plan and its orders.
	Placement(ctx context.Context) (api.Placement, error)
	// InForce queries all VMs for their configuration generation.
	InForce(ctx context.Context) (api.InForce, error)
}

// ApplyRequest is a request to put a configuration file in force.
type ApplyRequest struct {
	Text      []byte
	Operator  string
	RequestID string // may be empty
}

// ProgramsQuery selects the programs to list.
type ProgramsQuery struct {
	Account string // any name of a client account; empty selects all accounts
	Limit   int    // at least 1
}
