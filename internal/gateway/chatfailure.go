package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"egretramp/internal/dispatch"
	"egretramp/internal/events"
	"egretramp/internal/program"
	"egretramp/internal/refusal"
	"egretramp/internal/upstream"
)

// chatFailure converts a failed attempt's error to a refusal. Chat completions are repeatable.
func (s *Server) chatFailure(ctx context.Context, call *chatCall, grant *dispatch.Grant, err error) (_ *refusal.Refusal, retry retryClass) {
	if errors.Is(err, upstream.ErrSendPermissionExpired) {
		return withNotRun(tooLate(), call.notRun), retryUnsent
	}
	call.avoid = append(call.avoid, grant.Upstream)
	s.opts.Events.Emit(events.AttemptFailed, zap.String("upstream", grant.Upstream), zap.Error(err))
	var status *upstream.StatusError
	if errors.As(err, &status) {
		return s.engineRefusal(call, status)
	}
	var unsent *upstream.CallError
	if errors.As(err, &unsent) && !unsent.Written {
		return withNotRun(unavailable("upstream_unreachable", "the engine could not be reached", retryAfterNoUpstream), call.notRun), retryUnsent
	}
	call.markMayHaveRun()
	if ctx.Err() != nil {
		return failed("ended", "the call ended before its answer was whole", refusal.Unknown), noRetry
	}
	if errors.Is(err, upstream.ErrTooLarge) {
		return failed("answer_too_large", err.Error(), refusal.Unknown), noRetry
	}
	return failed("upstream_failed", "the engine broke the answer off", refusal.Unknown), retrySent
}

// engineRefusal converts an engine's error status to a refusal. Engines refuse a call before they
// run it; after a server error other than 503 the call may have run.
func (s *Server) engineRefusal(call *chatCall, status *upstream.StatusError) (_ *refusal.Refusal, retry retryClass) {
	if status.Status == http.StatusTooManyRequests || status.Status >= http.StatusInternalServerError {
		if status.Status != http.StatusTooManyRequests && status.Status != http.StatusServiceUnavailable {
			call.markMayHaveRun()
		}
		return withNotRun(unavailable("upstream_refused", "the engine refused the call", retryAfterNoUpstream), call.notRun), retrySent
	}
	message := "the engine refused the call"
	var body struct {
		Error struct {
			Message string `json:"message"`
		} `json:"error"`
	}
	if json.Unmarshal(status.Body, &body) == nil && body.Error.Message != "" {
		message += ": " + body.Error.Message
	}
	return &refusal.Refusal{Status: http.StatusBadRequest, Code: "rejected_by_engine", Message: message, NotRun: call.notRun}, noRetry
}

func withNotRun(r *refusal.Refusal, n refusal.NotRun) *refusal.Refusal {
	r.NotRun = n
	return r
}

// asRefusal returns the refusal that err wraps, or a general one if there is none.
func asRefusal(err error) *refusal.Refusal {
	var r *refusal.Refusal
	if errors.As(err, &r) {
		return r
	}
	return unavailable("unavailable", "the request could not be admitted", time.Second)
}

// withEarlierAttempts returns r, with its NotRun replaced by earlier if an earlier attempt may have run.
func withEarlierAttempts(r *refusal.Refusal, earlier refusal.NotRun) *refusal.Refusal {
	if earlier != refusal.True {
		r.NotRun = earlier
	}
	return r
}

// markMayHaveRun records that the last attempt may have run.
func (c *chatCall) markMayHaveRun() {
	c.notRun = refusal.Unknown
	c.mayHaveRun = true
}

// settleRefused settles the turn of a refused call. If the context was cancelled, the returned
// refusal gives the cause of the cancellation instead of refused.
func (s *Server) settleRefused(ctx context.Context, t *turn, refused *refusal.Refusal, notRun refusal.NotRun) *refusal.Refusal {
	notRun = t.settleUnanswered(notRun)
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errKeyWithdrawn):
		return keyWithdrawn(notRun)
	case errors.Is(cause, errDeadline):
		return &refusal.Refusal{Status: http.StatusGone, Code: string(program.CodeExpired), Message: errDeadline.Error(), NotRun: notRun}
	case errors.Is(cause, errRecordUnavailable):
		return withNotRun(program.Refusal(&program.UnavailableError{}), notRun)
	case errors.Is(cause, errAttemptLost):
		return withNotRun(unavailable(string(program.CodeSuperseded), errAttemptLost.Error(), retryAfterNoControl), refusal.Unknown)
	}
	return withNotRun(refused, notRun)
}

// finishRefused ends a call without a complete answer: with a refusal or, if the stream has
// started, with an error event.
func (s *Server) finishRefused(call *chatCall, refused *refusal.Refusal) {
	s.stats.Refused.Add(1)
	if call.notRun == refusal.True {
		s.opts.Limiter.GiveBack(call.id)
	}
	call.sink.fail(refused)
}
