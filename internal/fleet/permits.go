package fleet

import (
	"context"
	"net/http"
	"time"

	"egretramp/internal/message"
	"egretramp/internal/ratelimit"
	"egretramp/internal/refusal"
)

// applyEffects sends the limiter's messages and delivers its decisions to the waiting requests.
func (f *Fleet) applyEffects(e ratelimit.Effects) {
	for _, s := range e.Sends {
		f.opts.Network.Send(s.To, KindLimit, message.Encode(s.Message))
	}
	for _, d := range e.Decisions {
		if waiting, ok := f.pendingDraws[d.Request]; ok {
			delete(f.pendingDraws, d.Request)
			waiting <- d
		}
	}
}

// Draw obtains a permit for one request of a client account. Its errors are *refusal.Refusal.
func (f *Fleet) Draw(ctx context.Context, account, request string) error {
	d, err := f.awaitDecision(ctx, request, func(now time.Duration) ratelimit.Effects {
		return f.limiter.Draw(now, account, request, f.cutoffLimit(account))
	})
	if err != nil {
		return err
	}
	return refusalOf(d)
}

// Dispatch spends the permit of a request that is about to be sent to its upstream. A permit that was
// held too long is no longer valid: Dispatch then draws another one, and blocks until there is a token
// or ctx ends. The request's first byte must be written before writeBy, a time since boot.
func (f *Fleet) Dispatch(ctx context.Context, account, request string) (writeBy time.Duration, err error) {
	s, err := await(ctx, f, func() dispatchResult { return f.tryDispatch(account, request) })
	if err != nil {
		return 0, unavailable()
	}
	for !s.fresh {
		d, err := f.awaitDecision(ctx, request, func(now time.Duration) ratelimit.Effects {
			return f.limiter.Redraw(now, account, request, f.cutoffLimit(account))
		})
		if err != nil {
			return 0, err
		}
		if !d.Granted {
			return 0, refusalOf(d)
		}
		s, err = await(ctx, f, func() dispatchResult { return f.tryDispatch(account, request) })
		if err != nil {
			return 0, unavailable()
		}
	}
	return s.at + ratelimit.WriteGrace, nil
}

// dispatchResult is the result of spending a permit. If fresh is false, the permit is no longer valid
// and another one must be drawn.
type dispatchResult struct {
	fresh bool
	at    time.Duration
}

// tryDispatch spends a request's permit if that is still valid. It runs on the fleet goroutine.
func (f *Fleet) tryDispatch(account, request string) dispatchResult {
	now := f.opts.Clock()
	fresh, effects := f.limiter.Dispatch(now, request, f.cutoffLimit(account))
	f.applyEffects(effects)
	return dispatchResult{fresh: fresh, at: now}
}

// cutoffLimit returns the cutoff limit of an account, or 0 if the account is unknown.
func (f *Fleet) cutoffLimit(account string) time.Duration {
	snapshot := f.Snapshot()
	if snapshot == nil {
		return 0
	}
	a, ok := snapshot.Account(account)
	if !ok {
		return 0
	}
	if a.CutoffLimitSeconds > 0 {
		return seconds(a.CutoffLimitSeconds)
	}
	return seconds(snapshot.CutoffLimitSeconds())
}

// GiveBack gives back the permit of a request that did not run.
func (f *Fleet) GiveBack(request string) {
	f.post(func() { f.applyEffects(f.limiter.GiveBack(f.opts.Clock(), request)) })
}

// awaitDecision starts a draw and waits for its decision. If ctx ends or the fleet stops first, it gives
// the permit back.
func (f *Fleet) awaitDecision(ctx context.Context, request string, start func(now time.Duration) ratelimit.Effects) (ratelimit.Decision, error) {
	decided := make(chan ratelimit.Decision, 1)
	f.post(func() {
		f.pendingDraws[request] = decided
		f.applyEffects(start(f.opts.Clock()))
	})
	select {
	case d := <-decided:
		return d, nil
	case <-ctx.Done():
	case <-f.done:
	}
	f.post(func() {
		delete(f.pendingDraws, request)
		f.applyEffects(f.limiter.GiveBack(f.opts.Clock(), request))
	})
	return ratelimit.Decision{}, unavailable()
}

// unavailableRetryAfter is the retry delay for callers of a VM that can't decide on a request.
const unavailableRetryAfter = time.Second

func unavailable() *refusal.Refusal {
	return &refusal.Refusal{
		Status: http.StatusServiceUnavailable, Code: "unavailable", NotRun: refusal.True,
		Message: "the VM could not decide on the request in time", RetryAfter: unavailableRetryAfter,
	}
}

// refusalOf converts a decision to a refusal, or nil if the permit was granted.
func refusalOf(d ratelimit.Decision) error {
	if d.Granted {
		return nil
	}
	r := &refusal.Refusal{
		Status: http.StatusTooManyRequests, Code: string(d.Reason), NotRun: refusal.True,
		Message: "the client account's rate and burst are used up", RetryAfter: d.RetryAfter,
	}
	if d.Reason != ratelimit.ReasonRate {
		r.Status = http.StatusServiceUnavailable
		r.Message = "the VM may not admit requests of the client account now"
		r.RetryAfter = max(d.RetryAfter, unavailableRetryAfter)
	}
	return r
}
