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

// chatFailure turns a failed attempt into a refusal. A chat completion may be repeated.
func (s *Server) chatFailure(ctx context.Context, call *chatCall, grant *dispatch.Grant, err error) (_ *refusal.Refusal, retry again) {
	if errors.Is(err, upstream.ErrSendPermissionExpired) {
		return withNotRun(tooLate(), call.notRun), afterUnsent
	}
	call.avoid = append(call.avoid, grant.Upstream)
	s.opts.Events.Emit(events.AttemptFailed, zap.String("upstream", grant.Upstream), zap.Error(err))
	var status *upstream.StatusError
	if errors.As(err, &status) {
		return s.engineStatus(call, status)
	}
	var unsent *upstream.CallError
	if errors.As(err, &unsent) && !unsent.Written {
		return withNotRun(unavailable("upstream_unreachable", "the engine could not be reached", retryNoUpstream), call.notRun), afterUnsent
	}
	call.ranMaybe()
	if ctx.Err() != nil {
		return failed("ended", "the call ended before its answer was whole", refusal.Unknown), never
	}
	if errors.Is(err, upstream.ErrTooLarge) {
		return failed("answer_too_large", err.Error(), refusal.Unknown), never
	}
	return failed("upstream_failed", "the engine broke the answer off", refusal.Unknown), afterSent
}

// engineStatus passes an engine's refusal on. Engines refuse before they run a call.
func (s *Server) engineStatus(call *chatCall, status *upstream.StatusError) (_ *refusal.Refusal, retry again) {
	if status.Status == http.StatusTooManyRequests || status.Status >= http.StatusInternalServerError {
		if status.Status != http.StatusTooManyRequests && status.Status != http.StatusServiceUnavailable {
			call.ranMaybe()
		}
		return withNotRun(unavailable("upstream_refused", "the engine refused the call", retryNoUpstream), call.notRun), afterSent
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
	return &refusal.Refusal{Status: http.StatusBadRequest, Code: "rejected_by_engine", Message: message, NotRun: call.notRun}, never
}

func withNotRun(r *refusal.Refusal, n refusal.NotRun) *refusal.Refusal {
	r.NotRun = n
	return r
}

// asRefusal returns err as the refusal it is.
func asRefusal(err error) *refusal.Refusal {
	var r *refusal.Refusal
	if errors.As(err, &r) {
		return r
	}
	return unavailable("unavailable", "the request could not be admitted", time.Second)
}

// withEarlier says of a refusal that an earlier attempt may have run.
func withEarlier(r *refusal.Refusal, earlier refusal.NotRun) *refusal.Refusal {
	if earlier != refusal.True {
		r.NotRun = earlier
	}
	return r
}

// ranMaybe notes that the last attempt may have run.
func (c *chatCall) ranMaybe() {
	c.notRun = refusal.Unknown
	c.mayHaveRun = true
}

// settleRefused closes the turn and says why a call ended that its context cut short.
func (s *Server) settleRefused(ctx context.Context, t *turn, refused *refusal.Refusal, notRun refusal.NotRun) *refusal.Refusal {
	notRun = t.giveUp(notRun)
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errKeyWithdrawn):
		return keyWithdrawn(notRun)
	case errors.Is(cause, errDeadline):
		return &refusal.Refusal{Status: http.StatusGone, Code: string(program.CodeExpired), Message: errDeadline.Error(), NotRun: notRun}
	case errors.Is(cause, errRecordUnavailable):
		return withNotRun(program.Refusal(&program.UnavailableError{}), notRun)
	case errors.Is(cause, errAttemptLost):
		return withNotRun(unavailable(string(program.CodeSuperseded), errAttemptLost.Error(), retryControl), refusal.Unknown)
	}
	return withNotRun(refused, notRun)
}

// finishRefused ends a call without its answer: by a refusal, or within a stream under way by
// an error event.
func (s *Server) finishRefused(call *chatCall, refused *refusal.Refusal) {
	s.stats.Refused.Add(1)
	if call.notRun == refusal.True {
		s.opts.Limiter.GiveBack(call.id)
	}
	call.sink.fail(refused)
}
