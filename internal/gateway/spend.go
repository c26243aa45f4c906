package gateway

import (
	"context"

	"egretramp/internal/program"
	"egretramp/internal/refusal"
)

// spendToken spends the rate limit token of a call that is about to be sent. mayWrite is called
// before the call's first byte is written and reports whether it may be sent: both the token and
// the turn's lease must still be valid then, even if this VM was frozen since they were checked.
// It is nil for a call without a client account.
func (s *Server) spendToken(ctx context.Context, c *caller, request string, t *turn) (mayWrite func() bool, refused *refusal.Refusal) {
	if c.account == nil {
		return nil, nil
	}
	writeBy, err := s.opts.Limiter.Dispatch(ctx, c.account.ID, request)
	if err != nil {
		return nil, asRefusal(err)
	}
	if !t.mayWrite() {
		return nil, unavailable(string(program.CodeSuperseded), errAttemptLost.Error(), retryAfterNoControl)
	}
	return func() bool { return s.opts.Clock() < writeBy && t.mayWrite() }, nil
}
