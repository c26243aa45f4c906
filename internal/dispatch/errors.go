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

// earlierRetry returns the error that lets the caller come back earlier. A refusal outranks a zone that
// cannot be reached, since it says more.
func (e *Error) earlierRetry(other *Error) *Error {
	if e.Code == CodeNoUpstream {
		return other
	}
	if other.Code == CodeRefused && other.RetryAfter > 0 && (e.RetryAfter == 0 || other.RetryAfter < e.RetryAfter) {
		return other
	}
	return e
}
