package dispatch

import (
	"time"

	"egretramp/internal/schedule"
)

// Code is the kind of an Error.
type Code string

// The codes.
const (
	CodeNoUpstream Code = "no_upstream" // no upstream that this VM can reach serves it
	CodeRefused    Code = "refused"     // the dispatcher refused; see Reason
	CodeTimeout    Code = "timeout"     // the call's context ended while it waited
)

// Error reports why there was no grant. No byte was sent to an upstream.
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

// earlierRetry returns the error that allows the earlier retry. A refusal takes precedence over a
// zone that cannot be reached, since it carries more information.
func (e *Error) earlierRetry(other *Error) *Error {
	if e.Code == CodeNoUpstream {
		return other
	}
	if other.Code == CodeRefused && other.RetryAfter > 0 && (e.RetryAfter == 0 || other.RetryAfter < e.RetryAfter) {
		return other
	}
	return e
}
