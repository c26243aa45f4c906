package api

import (
	"net/http"
	"time"

	"egretramp/internal/control"
	"egretramp/internal/jsonfile"
)

// Codes of errors beside those of package control.
const (
	CodeBadRequest  = "bad_request"
	CodeNotFound    = "not_found"
	CodeWrongMethod = "method_not_allowed"
	CodeTooLarge    = "too_large"
	CodeNoMajority  = "no_majority" // the control group can't be reached; try another VM
	CodeTimeout     = "timeout"     // the outcome is unknown; sending it again is safe
	CodeInternal    = "internal"
)

// Error is an error of the API.
type Error struct {
	Status  int    `json:"-"` // HTTP status
	Code    string `json:"code"`
	Message string `json:"message"`
	// Problems are what is wrong with a file.
	Problems jsonfile.Problems `json:"problems,omitempty"`
	// Winner is the file in force, where a generation was refused.
	Winner *control.Acceptance `json:"winner,omitempty"`
	// KeyIDs are the keys for which a file was refused.
	KeyIDs []string `json:"key_ids,omitempty"`
	// RetryAfter is when trying again can help; 0: it does not help.
	RetryAfter time.Duration `json:"-"`
}

// ErrorBody is the JSON of an Error.
type ErrorBody struct {
	Error *Error `json:"error"`
}

// Error makes an Error an error.
func (e *Error) Error() string {
	return e.Code + ": " + e.Message
}

// RefusalError turns a refusal of the control group into an error of the API.
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

// FileError turns what config.Parse returned into an error of the API.
func FileError(problems jsonfile.Problems) *Error {
	return &Error{
		Status:   http.StatusUnprocessableEntity,
		Code:     string(control.CodeBadFile),
		Message:  "the file has problems; nothing was changed",
		Problems: problems,
	}
}

// NoMajority is the error of a VM that can't reach the control group, or of a group without a
// majority.
func NoMajority(retryAfter time.Duration) *Error {
	return &Error{
		Status:     http.StatusServiceUnavailable,
		Code:       CodeNoMajority,
		Message:    "this side of the fleet has no majority of the control VMs; use a VM in another zone or try again later",
		RetryAfter: retryAfter,
	}
}
