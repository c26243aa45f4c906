package gateway

import (
	"context"

	"egretramp/internal/program"
	"egretramp/internal/refusal"
)

// spend spends the token of a call that leaves for its upstream. mayWrite decides at the call's
// first byte whether it is sent: both the token and the turn's lease must hold then, also if
// this VM was frozen since they were checked. It is nil for a call without a client account.
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
