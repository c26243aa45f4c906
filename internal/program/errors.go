package program

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"egretramp/internal/refusal"
)

// ErrNotProposed marks the errors of a Proposer after which it is certain that the command is not
// applied.
var ErrNotProposed = errors.New("program: the command was not proposed")

// RefusedError is returned if the machine refused a command.
type RefusedError struct {
	Result Result
	// Repeated is set if copies of the command may still arrive and be applied.
	Repeated bool
}

// Error returns the code and its explanation.
func (e *RefusedError) Error() string {
	return "program: " + string(e.Result.Code) + ": " + e.Result.Detail
}

// UnavailableError is returned if the group did not answer in time.
type UnavailableError struct {
	// Applied is set if the command may have been applied or may still be applied.
	Applied bool
	// Identified is set for a Begin whose call has a turn number or an idempotency key: the call
	// may have been sent through another VM before and have run.
	Identified bool
	cause      error
}

// Error returns the cause and whether the command may have been applied.
func (e *UnavailableError) Error() string {
	if e.Applied {
		return "program: the outcome of the command is unknown: " + e.cause.Error()
	}
	return "program: the group is not available: " + e.cause.Error()
}

// Unwrap returns the proposer's last error.
func (e *UnavailableError) Unwrap() error {
	return e.cause
}

// CodeUnavailable is the code of refusals after the group did not answer.
const CodeUnavailable Code = "programs_unavailable"

const (
	// maxBusyRetry bounds the retry delay for a busy program, which usually is free again before
	// the lease of the turn under way expires.
	maxBusyRetry = 2 * time.Second
	// unavailableRetry is the retry delay after the group did not answer.
	unavailableRetry = 2 * time.Second
)

var httpStatus = map[Code]int{
	CodeBusy:            http.StatusConflict,
	CodeOutOfOrder:      http.StatusConflict,
	CodeTurnConflict:    http.StatusUnprocessableEntity,
	CodeBudgetExceeded:  http.StatusPaymentRequired,
	CodeHistoryMismatch: http.StatusConflict,
	CodeUnknownOutcome:  http.StatusConflict,
	CodeEnded:           http.StatusGone,
	CodeExpired:         http.StatusGone,
	CodeNoProgram:       http.StatusNotFound,
	CodeProgramConflict: http.StatusConflict,
	CodeTooMany:         http.StatusTooManyRequests,
	CodeTooLarge:        http.StatusRequestEntityTooLarge,
	CodeSuperseded:      http.StatusConflict,
	CodeOwnerFenced:     http.StatusServiceUnavailable,
	CodeStale:           http.StatusServiceUnavailable,
	CodeBadCommand:      http.StatusBadRequest,
	CodeNoZoneGroup:     http.StatusConflict,
}

// Refusal converts an error of a Ledger method into the answer to the caller. It assumes that this
// VM wrote no byte of the call, as after an error of Begin: NotRun is True unless another attempt
// of the same call may have run, according to the record or because the record is unavailable. A VM
// that did write sets NotRun itself.
func Refusal(err error) *refusal.Refusal {
	var refused *RefusedError
	if errors.As(err, &refused) {
		return refused.Result.refusal()
	}
	var unavailable *UnavailableError
	if errors.As(err, &unavailable) {
		return unavailable.refusal()
	}
	return &refusal.Refusal{
		Status:  http.StatusBadRequest,
		Code:    string(CodeBadCommand),
		Message: err.Error(),
		NotRun:  refusal.True,
	}
}

func (r *Result) refusal() *refusal.Refusal {
	out := &refusal.Refusal{
		Status:     httpStatus[r.Code],
		Code:       string(r.Code),
		Message:    r.Detail,
		NotRun:     refusal.True,
		RetryAfter: time.Duration(r.RetryAfterMS) * time.Millisecond,
	}
	if r.MayHaveRun {
		out.NotRun = refusal.Unknown
	}
	switch r.Code {
	case CodeBusy:
		out.RetryAfter = min(out.RetryAfter, maxBusyRetry)
	case CodeOwnerFenced, CodeStale, CodeSuperseded:
		out.RetryAfter = unavailableRetry
	}
	return out
}

func (e *UnavailableError) refusal() *refusal.Refusal {
	out := &refusal.Refusal{
		Status:     http.StatusServiceUnavailable,
		Code:       string(CodeUnavailable),
		Message:    "the record of programs can't be reached",
		NotRun:     refusal.True,
		RetryAfter: unavailableRetry,
	}
	if e.Identified {
		out.NotRun = refusal.Unknown
	}
	return out
}
