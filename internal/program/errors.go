package program

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"egretramp/internal/refusal"
)

// ErrNotProposed marks a Proposer's error after which the command surely is not applied.
var ErrNotProposed = errors.New("program: the command was not proposed")

// RefusedError is the machine's refusal of a command.
type RefusedError struct {
	Result Result
	// Repeated says that copies of the command may still arrive and be applied.
	Repeated bool
}

// Error tells the code and its explanation.
func (e *RefusedError) Error() string {
	return "program: " + string(e.Result.Code) + ": " + e.Result.Detail
}

// UnavailableError says that no answer of the group came in time.
type UnavailableError struct {
	// Applied says that the command may have been applied, or may still be.
	Applied bool
	// Identified says, for a Begin, that the call has a turn number or an idempotency key: it
	// may be one that was sent through another VM before and ran.
	Identified bool
	cause      error
}

// Error tells whether the command may have been applied.
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

// CodeUnavailable is the code of refusals for lack of an answer of the group.
const CodeUnavailable Code = "programs_unavailable"

const (
	// maxBusyRetry bounds the time to come back for a busy program, which mostly is free again
	// before the lease of the turn under way runs out.
	maxBusyRetry = 2 * time.Second
	// unavailableRetry is when to come back after the group gave no answer.
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

// Refusal turns an error of a Ledger method into the answer to the caller. It speaks of calls
// of which this VM wrote no byte, as after an error of Begin: NotRun is true unless the record,
// or what is not known of it, says that another attempt of the same call may have run. A VM
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
