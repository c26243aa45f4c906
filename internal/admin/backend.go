// Package admin serves the administration API on a port of its own. What the answers are made
// of comes from a Backend, which the daemon implements. The API has no authentication: its
// listener belongs on the operators' network.
package admin

import (
	"context"

	"egretramp/internal/admin/api"
)

// Backend does what operators ask for. Errors that operators should see are *api.Error; all
// others are logged and answered as internal errors without their text. Methods return when
// their context ends, at the latest.
type Backend interface {
	// Apply proposes a file that config.Parse accepted.
	Apply(ctx context.Context, request ApplyRequest) (api.Applied, error)
	// WithdrawKeys withdraws keys by their IDs.
	WithdrawKeys(ctx context.Context, keyIDs []string) (api.Withdrawn, error)
	// Status returns what this VM knows, with ConfigText and without Config.
	Status(ctx context.Context) (api.Status, error)
	// Dump returns the state of this process as a value that encoding/json can write, without
	// keys, prompts and secrets.
	Dump(ctx context.Context) (any, error)
	// Programs lists programs, ended ones included until they are forgotten.
	Programs(ctx context.Context, query ProgramsQuery) (api.Programs, error)
	// Upstreams lists the upstreams that this VM knows of.
	Upstreams(ctx context.Context) (api.Upstreams, error)
	// Placement asks the VMs that order the zones' engines what they do.
	Placement(ctx context.Context) (api.Placement, error)
	// InForce asks all VMs for their generation.
	InForce(ctx context.Context) (api.InForce, error)
}

// ApplyRequest is a file to be put in force.
type ApplyRequest struct {
	Text      []byte
	Operator  string
	RequestID string // may be empty
}

// ProgramsQuery selects programs.
type ProgramsQuery struct {
	Account string // any name of it; empty: all
	Limit   int    // at least 1
}
