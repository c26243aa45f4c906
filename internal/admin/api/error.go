package api

import (
	"net/http"
	"time"

	"egretramp/internal/control"
	"egretramp/internal/jsonfile"
)

// Error codes of the API, in addition to those of package control.
const (
	CodeBadRequest  = "bad_request"
	CodeNotFound    = "not_found"
	CodeWrongMethod = "method_not_allowed"
	CodeTooLarge    = "too_large"
	CodeNoMajority  = "no_majority" // the control group is unreachable; try another VM
	CodeTimeout     = "timeout"     // the outcome is unknown; resending is safe
	CodeInternal    = "internal"
)

// Error is an error response of the API.
type Error struct {
	Status  int    `json:"-"` // HTTP status
	Code    string `json:"code"`
	Message string `json:"message"`
	// Problems are the faults found in a file.
	Problems jsonfile.Problems `json:"problems,omitempty"`
	// Winner identifies the file in force if a file was refused because of its generation.
	Winner *control.Acceptance `json:"winner,omitempty"`
	// KeyIDs are the keys because of which a file was refused.
	KeyIDs []string `json:"key_ids,omitempty"`
	// RetryAfter is the delay after which a retry may succeed; 0 if a retry is pointless.
	RetryAfter time.Duration `json:"-"`
}

// ErrorBody is the JSON body of an error response.
type ErrorBody struct {
	Error *Error `json:"error"`
}

// Error implements error.
func (e *Error) Error() string {
	return e.Code + ": " + e.Message
}

// RefusalError converts a refusal of the control group to an error of the API.
func RefusalError(r *control.Refusal) *Error {
	status := http.StatusConflict
	switch r.Code {
	case control.CodeBadFile:
		status = http.StatusUnprocessableEntity
	case control.CodeMalformed:
		status = http.StatusBadRequest
	case control.CodeAlreadyApplied:
		status = http.StatusInternalServerError
	}
	return &Error{
		Status:   status,
		Code:     string(r.Code),
		Message:  r.Message,
		Problems: r.Problems,
		Winner:   r.InForce,
		KeyIDs:   r.KeyIDs,
	}
}

// FileError converts the problems found by config.Parse to an error of the API.
func FileError(problems jsonfile.Problems) *Error {
	return &Error{
		Status:   http.StatusUnprocessableEntity,
		Code:     string(control.CodeBadFile),
		Message:  "the file has problems; nothing was changed",
		Problems: problems,
	}
}

// NoMajority returns the error of a VM that can't reach the control group, or whose control group
// has no majority.
func NoMajority(retryAfter time.Duration) *Error {
	return &Error{
		Status:     http.StatusServiceUnavailable,
		Code:       CodeNoMajority,
		Message:    "this side of the fleet has no majority of the control VMs; use a VM in another zone or try again later",
		RetryAfter: retryAfter,
	}
}
