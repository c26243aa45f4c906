package gateway

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"egretramp/internal/dispatch"
	"egretramp/internal/refusal"
	"egretramp/internal/schedule"
)

func badRequest(code, message string) *refusal.Refusal {
	return &refusal.Refusal{Status: http.StatusBadRequest, Code: code, Message: message, NotRun: refusal.True}
}

func unauthorized(code, message string) *refusal.Refusal {
	return &refusal.Refusal{Status: http.StatusUnauthorized, Code: code, Message: message, NotRun: refusal.True}
}

func forbidden(code, message string) *refusal.Refusal {
	return &refusal.Refusal{Status: http.StatusForbidden, Code: code, Message: message, NotRun: refusal.True}
}

func notKnown(code, message string) *refusal.Refusal {
	return &refusal.Refusal{Status: http.StatusNotFound, Code: code, Message: message, NotRun: refusal.True}
}

func unavailable(code, message string, retryAfter time.Duration) *refusal.Refusal {
	return &refusal.Refusal{Status: http.StatusServiceUnavailable, Code: code, Message: message, NotRun: refusal.True, RetryAfter: retryAfter}
}

// tooLate refuses a call whose permission to be sent expired before its first byte was written.
func tooLate() *refusal.Refusal {
	return unavailable("unavailable", "the request could not be sent in time", retryAfterNoControl)
}

// failed refuses a call that may have run.
func failed(code, message string, notRun refusal.NotRun) *refusal.Refusal {
	return &refusal.Refusal{Status: http.StatusBadGateway, Code: code, Message: message, NotRun: notRun}
}

var errKeyWithdrawn = errors.New("the key was withdrawn while the request ran")

func keyWithdrawn(notRun refusal.NotRun) *refusal.Refusal {
	return &refusal.Refusal{Status: http.StatusUnauthorized, Code: "key_withdrawn", Message: errKeyWithdrawn.Error(), NotRun: notRun}
}

// Retry-After times of refusals for lack of a grant.
const (
	retryAfterNoUpstream = time.Second
	retryAfterQueueFull  = time.Second
)

// acquireRefusal converts a dispatcher's error to a refusal. notRun covers the earlier attempts.
func acquireRefusal(err error, notRun refusal.NotRun) *refusal.Refusal {
	var e *dispatch.Error
	r := unavailable("no_upstream", "no upstream serves this at the moment", retryAfterNoUpstream)
	if errors.As(err, &e) {
		switch {
		case e.Reason == schedule.ReasonTooLarge:
			r = &refusal.Refusal{
				Status: http.StatusRequestEntityTooLarge, Code: "too_large_for_upstream",
				Message: "no upstream has the memory that this call may need",
			}
		case e.Code == dispatch.CodeRefused:
			r = unavailable("overloaded", "too many requests wait for this upstream", max(e.RetryAfter, retryAfterQueueFull))
		case e.Code == dispatch.CodeTimeout:
			r = unavailable("queue_timeout", "the request waited too long for an upstream", retryAfterQueueFull)
		}
	}
	r.NotRun = notRun
	return r
}
