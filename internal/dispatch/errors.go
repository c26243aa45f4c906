package dispatch

import (
	"time"

	"egretramp/internal/schedule"
)

// Code says why there was no grant.
type Code string

// The codes.
const (
	CodeNoUpstream Code = "no_upstream" // nothing serves it, as far as this VM can reach
	CodeRefused    Code = "refused"     // the dispatcher refused; see Reason
	CodeTimeout    Code = "timeout"     // the caller's time ran out while waiting
)

// Error says why there was no grant. No byte went towards an upstream.
type Error struct {
	Code       Code
	Reason     schedule.Reason
	RetryAfter time.Duration
}

// Error returns the code and reason.
func (e *Error) Error() string {
	if e.Reason != "" {
		return string(e.Code) + ": " + string(e.Reason)
	}
	return string(e.Code)
}
