package gateway

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"

	"egretramp/internal/config"
	"egretramp/internal/dispatch"
	"egretramp/internal/program"
	"egretramp/internal/refusal"
	"egretramp/internal/schedule"
	"egretramp/internal/upstream"
)

// attemptChat makes one attempt. retry says whether another attempt may follow a refused one.
func (s *Server) attemptChat(ctx context.Context, call *chatCall) (refused *refusal.Refusal, retry retryClass) {
	call.turn.markWaiting()
	permit, refused := s.waitForPermit(ctx, call.fingerprint(), call.subject(), call.notRun)
	if refused != nil {
		return refused, noRetry
	}
	end := notSent
	defer func() { permit.End(end.outcome, end.upstream) }()
	zone, _, _ := call.turn.residentEngine()
	request := s.scheduleRequest(call)
	request.Alone = permit.Alone()
	grant, err := s.acquire(ctx, config.KindEngine, call.model.ID, zone, request)
	if err != nil {
		return acquireRefusal(err, call.notRun), noRetry
	}
	outcome := schedule.Outcome{}
	defer func() { s.opts.Dispatcher.Release(grant, outcome) }()
	mayWrite, refused := s.spendToken(ctx, call.caller, call.id, call.turn)
	if refused != nil {
		return withNotRun(refused, call.notRun), noRetry
	}
	if !permit.Valid() {
		return stalePermit(call.notRun), retryUnsent
	}
	assembler := upstream.NewAssembler()
	startedAt := s.opts.Clock()
	err = s.relay(ctx, call, grant, mayWrite, assembler)
	end = s.classifyChat(ctx, grant, err)
	if err != nil {
		outcome = failedOutcome(ctx, err)
		return s.chatFailure(ctx, call, grant, err)
	}
	outcome = servedOutcome(assembler)
	outcome.Took = s.opts.Clock() - startedAt
	return s.deliver(call, assembler), noRetry
}

// deliver records the complete answer and only then sends the end of it to the caller.
func (s *Server) deliver(call *chatCall, a *upstream.Assembler) *refusal.Refusal {
	whole, err := call.sink.answer(a)
	if err != nil {
		call.notRun = refusal.False
		return failed("bad_answer", "the engine's answer could not be read", refusal.False)
	}
	if call.turn != nil {
		message, err := a.Message()
		if err == nil {
			err = call.turn.complete(whole, message, usedTokens(a, call.tokenReservation()))
		}
		if err != nil {
			call.notRun = refusal.Unknown
			return withNotRun(program.Refusal(err), refusal.Unknown)
		}
	}
	call.sink.finish(whole)
	return nil
}

// usedTokens returns the total that the engine reported, or the reservation if it reported none.
func usedTokens(a *upstream.Assembler, reserved int64) int64 {
	usage, ok := a.Usage()
	if !ok {
		return reserved
	}
	return usage.TotalTokens
}

func (s *Server) acquire(ctx context.Context, kind config.UpstreamKind, name, zone string, r schedule.Request) (*dispatch.Grant, error) {
	ctx, cancel := s.withQueueTimeout(ctx)
	defer cancel()
	return s.opts.Dispatcher.Acquire(ctx, kind, name, zone, r)
}

func (s *Server) scheduleRequest(call *chatCall) schedule.Request {
	size := int64(0)
	for _, m := range call.messages {
		size += int64(len(m))
	}
	r := schedule.Request{
		ID:           newID(),
		Account:      call.caller.account.ID,
		Weight:       call.caller.account.Weight,
		PromptTokens: size / bytesPerToken,
		MaxTokens:    call.maxTokens(),
		Avoid:        call.avoid,
	}
	if call.turn != nil {
		r.Program = call.caller.account.ID + "/" + call.turn.program
		_, r.Resident, r.ResidentIncarnation = call.turn.residentEngine()
	}
	return r
}

// servedOutcome returns the token counts that the engine reported for a completed call.
func servedOutcome(a *upstream.Assembler) schedule.Outcome {
	usage, _ := a.Usage()
	return schedule.Outcome{
		ServedTokens:     usage.TotalTokens,
		CachedTokens:     usage.PromptDetails.CachedTokens,
		CompletionTokens: usage.CompletionTokens,
	}
}

// relay sends the call to the granted engine and forwards its answer to the sink.
func (s *Server) relay(ctx context.Context, call *chatCall, grant *dispatch.Grant, mayWrite func() bool, a *upstream.Assembler) error {
	body, err := call.request.engineBody(servesAs(grant, call.model.ID), call.model.MaxTokens, call.messages)
	if err != nil {
		return err
	}
	stream := s.opts.Caller.OpenStream(ctx, upstream.Target{
		Upstream:    grant.Upstream,
		Incarnation: grant.Incarnation,
		Address:     grant.Address,
		CanResume:   grant.CanResume,
		Attempt:     newID(),
		Session:     call.turn.session(grant),
		Idempotency: call.id,
		MayWrite:    mayWrite,
	}, body)
	defer stream.Close()
	err = forwardChunks(ctx, stream, a, call)
	if err != nil && !isLostOrUnsent(err) {
		// The engine may still be generating an answer that nobody will read. The cancellation runs in
		// the background because a hung engine does not acknowledge it, and the caller must not wait.
		s.background.Go(func() { stream.Cancel() })
	}
	return err
}

// servesAs returns the name under which the granted upstream serves the model.
func servesAs(g *dispatch.Grant, id string) string {
	if g.ServesAs != "" {
		return g.ServesAs
	}
	return id
}

// forwardChunks forwards each chunk to the sink until the answer is complete.
func forwardChunks(ctx context.Context, stream *upstream.Stream, a *upstream.Assembler, call *chatCall) error {
	for {
		data, err := stream.Next(ctx)
		if err == io.EOF {
			break
		}
		if err != nil {
			return err
		}
		if err := a.Add(data); err != nil {
			return err
		}
		call.sink.chunk(data)
	}
	if !a.Finished(call.request.choices) {
		return upstream.ErrBroken
	}
	return nil
}

func isLostOrUnsent(err error) bool {
	var call *upstream.CallError
	return errors.Is(err, upstream.ErrLost) || errors.As(err, &call) && !call.Written
}
