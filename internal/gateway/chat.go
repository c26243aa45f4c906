package gateway

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/julienschmidt/httprouter"

	"egretramp/internal/config"
	"egretramp/internal/dispatch"
	"egretramp/internal/refusal"
	"egretramp/internal/schedule"
	"egretramp/internal/upstream"
)

// bytesPerToken estimates prompts for scheduling; budgets never rest on it.
const bytesPerToken = 4

// chatCall is one chat completion on its way through the server.
type chatCall struct {
	id      string
	caller  *caller
	model   *config.Model
	request *chatRequest
	sink    sink
	// notRun is what can be said of all attempts so far.
	notRun refusal.NotRun
	avoid  []string
}

// chat serves POST /v1/chat/completions.
func (s *Server) chat(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	call, refused := s.prepareChat(w, r)
	if refused != nil {
		s.refuse(w, refused)
		return
	}
	ctx, done := s.inflight.add(r.Context(), call.caller)
	defer done()
	ctx, cancel := context.WithTimeout(ctx, maxChatDuration)
	defer cancel()
	if err := s.opts.Limiter.Draw(ctx, call.caller.account.ID, call.id); err != nil {
		s.refuse(w, asRefusal(err))
		return
	}
	if refused := s.runChat(ctx, call); refused != nil {
		s.finishRefused(call, refused)
	}
}

func (s *Server) prepareChat(w http.ResponseWriter, r *http.Request) (*chatCall, *refusal.Refusal) {
	c, refused := s.authenticate(r)
	if refused != nil {
		return nil, refused
	}
	body, refused := readBody(w, r)
	if refused != nil {
		return nil, refused
	}
	request, refused := parseChat(body)
	if refused != nil {
		return nil, refused
	}
	if refused := checkNoKey(c, r, body, request.decoded()); refused != nil {
		return nil, refused
	}
	model, ok := c.snapshot.Model(request.model)
	if !ok {
		return nil, notKnown("unknown_model", "no model has this name")
	}
	if _, ok := c.snapshot.ModelRoute(c.account, model.ID); !ok {
		return nil, forbidden("no_route", "no route leads this client account to the model")
	}
	return &chatCall{
		id:      newID(),
		caller:  c,
		model:   model,
		request: request,
		sink:    newSink(w, request),
		notRun:  refusal.True,
	}, nil
}

// finishRefused ends a call without its answer: by a refusal, or within a stream under way by
// an error event.
func (s *Server) finishRefused(call *chatCall, refused *refusal.Refusal) {
	s.stats.Refused.Add(1)
	if refused.NotRun == refusal.True {
		s.opts.Limiter.GiveBack(call.id)
	}
	call.sink.fail(refused)
}

// runChat makes attempts until one succeeds or no further one is allowed.
func (s *Server) runChat(ctx context.Context, call *chatCall) *refusal.Refusal {
	s.retries.earn()
	for attempt := 1; ; attempt++ {
		refused, retry := s.attemptChat(ctx, call)
		if refused == nil {
			return nil
		}
		if cause := context.Cause(ctx); errors.Is(cause, errKeyWithdrawn) {
			return keyWithdrawn(call.notRun)
		}
		if !retry || call.sink.started() || attempt == maxAttempts || ctx.Err() != nil || !s.retries.take() {
			return refused
		}
		s.stats.Retries.Add(1)
	}
}

// attemptChat makes one attempt. retry says that another upstream may do better.
func (s *Server) attemptChat(ctx context.Context, call *chatCall) (refused *refusal.Refusal, retry bool) {
	grant, err := s.acquire(ctx, config.KindEngine, call.model.ID, s.scheduleRequest(call))
	if err != nil {
		return noGrant(err, call.notRun), false
	}
	outcome := schedule.Outcome{Failed: true}
	defer func() { s.opts.Dispatcher.Release(grant, outcome) }()
	if err := s.opts.Limiter.Dispatch(ctx, call.caller.account.ID, call.id); err != nil {
		outcome.Failed = false
		refused := asRefusal(err)
		refused.NotRun = call.notRun
		return refused, false
	}
	assembler := upstream.NewAssembler()
	err = s.relay(ctx, call, grant, assembler)
	if err == nil {
		outcome = served(assembler)
		return nil, false
	}
	return s.chatFailure(call, grant, err)
}

func (s *Server) acquire(ctx context.Context, kind config.UpstreamKind, name string, r schedule.Request) (*dispatch.Grant, error) {
	ctx, cancel := context.WithTimeout(ctx, maxQueueWait)
	defer cancel()
	return s.opts.Dispatcher.Acquire(ctx, kind, name, "", r)
}

func (s *Server) scheduleRequest(call *chatCall) schedule.Request {
	size := int64(0)
	for _, m := range call.request.messages {
		size += int64(len(m))
	}
	maxTokens := call.request.maxTokens
	if maxTokens == 0 {
		maxTokens = call.model.MaxTokens
	}
	return schedule.Request{
		ID:           newID(),
		Account:      call.caller.account.ID,
		Weight:       call.caller.account.Weight,
		PromptTokens: size / bytesPerToken,
		MaxTokens:    maxTokens,
		Avoid:        call.avoid,
	}
}

// served counts what an engine did for a call.
func served(a *upstream.Assembler) schedule.Outcome {
	usage, _ := a.Usage()
	return schedule.Outcome{ServedTokens: usage.TotalTokens, CachedTokens: usage.PromptDetails.CachedTokens}
}

// relay sends the call to the granted engine and passes its answer on.
func (s *Server) relay(ctx context.Context, call *chatCall, grant *dispatch.Grant, a *upstream.Assembler) error {
	body, err := call.request.engineBody(call.model.ID, call.model.MaxTokens, call.request.messages)
	if err != nil {
		return err
	}
	stream := s.opts.Caller.OpenStream(ctx, upstream.Target{
		Upstream:    grant.Upstream,
		Incarnation: grant.Incarnation,
		Address:     grant.Address,
		CanResume:   grant.CanResume,
		Attempt:     newID(),
		Idempotency: call.id,
	}, body)
	defer stream.Close()
	err = pass(ctx, stream, a, call.sink)
	if err != nil && !isLost(err) {
		// The engine may still generate for this attempt, whose answer nobody will take.
		stream.Cancel()
	}
	return err
}

// pass hands each chunk to the sink and ends the sink once the answer is whole.
func pass(ctx context.Context, stream *upstream.Stream, a *upstream.Assembler, out sink) error {
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
		if err := out.chunk(data); err != nil {
			return err
		}
	}
	if !a.Finished() {
		return upstream.ErrBroken
	}
	return out.finish(a)
}

func isLost(err error) bool {
	var call *upstream.CallError
	return errors.Is(err, upstream.ErrLost) || errors.As(err, &call) && !call.Written
}

// chatFailure turns a failed attempt into a refusal. A chat completion may be repeated.
func (s *Server) chatFailure(call *chatCall, grant *dispatch.Grant, err error) (_ *refusal.Refusal, retry bool) {
	call.avoid = append(call.avoid, grant.Upstream)
	var status *upstream.StatusError
	if errors.As(err, &status) {
		return s.engineStatus(call, status)
	}
	var unsent *upstream.CallError
	if errors.As(err, &unsent) && !unsent.Written {
		return withNotRun(unavailable("upstream_unreachable", "the engine could not be reached", retryNoUpstream), call.notRun), true
	}
	call.notRun = refusal.Unknown
	var gone *sinkError
	if errors.As(err, &gone) {
		return failed("caller_gone", "the caller closed the connection", refusal.Unknown), false
	}
	return failed("upstream_failed", "the engine broke the answer off", refusal.Unknown), true
}

// engineStatus passes an engine's refusal on. Engines refuse before they run a call.
func (s *Server) engineStatus(call *chatCall, status *upstream.StatusError) (_ *refusal.Refusal, retry bool) {
	if status.Status == http.StatusTooManyRequests || status.Status >= http.StatusInternalServerError {
		if status.Status != http.StatusTooManyRequests && status.Status != http.StatusServiceUnavailable {
			call.notRun = refusal.Unknown
		}
		return withNotRun(unavailable("upstream_refused", "the engine refused the call", retryNoUpstream), call.notRun), true
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
	return &refusal.Refusal{Status: http.StatusBadRequest, Code: "rejected_by_engine", Message: message, NotRun: call.notRun}, false
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
