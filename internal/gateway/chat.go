package gateway

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/julienschmidt/httprouter"
	"go.uber.org/zap"

	"egretramp/internal/config"
	"egretramp/internal/dispatch"
	"egretramp/internal/events"
	"egretramp/internal/program"
	"egretramp/internal/refusal"
	"egretramp/internal/schedule"
	"egretramp/internal/upstream"
)

const (
	// bytesPerToken estimates prompts for scheduling; budgets never rest on it.
	bytesPerToken = 4
	// reservedPerMessage covers what a chat template adds to a message. Tokens.
	reservedPerMessage = 16
)

// chatCall is one chat completion on its way through the server.
type chatCall struct {
	id      string
	caller  *caller
	model   *config.Model
	request *chatRequest
	key     recordKey
	// appended says that the request has the new messages of a program only.
	appended bool
	hash     string // names the request in the record
	sink     sink
	turn     *turn
	messages []json.RawMessage // the whole conversation
	// notRun is what can be said of all attempts so far.
	notRun refusal.NotRun
	avoid  []string
}

// chat serves POST /v1/chat/completions.
func (s *Server) chat(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	key, refused := readRecordKey(r.Header)
	if refused != nil {
		s.refuse(w, refused)
		return
	}
	s.serveChat(w, r, key, false)
}

func (s *Server) serveChat(w http.ResponseWriter, r *http.Request, key recordKey, appended bool) {
	call, refused := s.prepareChat(w, r, key, appended)
	if refused != nil {
		s.refuse(w, refused)
		return
	}
	ctx := r.Context()
	if key.recorded() {
		// A recorded call goes on without its caller, who finds the answer in the record.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, done := s.inflight.add(ctx, call.caller)
	defer done()
	ctx, cancel := context.WithTimeout(ctx, maxChatDuration)
	defer cancel()
	if refused := s.admitChat(ctx, w, call); refused != nil {
		s.finishRefused(call, refused)
	}
}

func (s *Server) prepareChat(w http.ResponseWriter, r *http.Request, key recordKey, appended bool) (*chatCall, *refusal.Refusal) {
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
	if key.recorded() && request.choices != 1 {
		return nil, badRequest("bad_field", "a recorded call has one choice")
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
		id:       newID(),
		caller:   c,
		model:    model,
		request:  request,
		key:      key,
		appended: appended,
		hash:     program.HashRequest([]byte(model.ID), request.canonical()),
		sink:     newSink(w, request),
		messages: request.messages,
		notRun:   refusal.True,
	}, nil
}

// admitChat holds the caller to its rate, begins the turn if there is a record, and runs the call.
func (s *Server) admitChat(ctx context.Context, w http.ResponseWriter, call *chatCall) *refusal.Refusal {
	if err := s.opts.Limiter.Draw(ctx, call.caller.account.ID, call.id); err != nil {
		return asRefusal(err)
	}
	if !call.key.recorded() {
		return s.runChat(ctx, call)
	}
	turn, begun, refused := s.begin(ctx, call.ledgerCall(), call.model.ID)
	if refused != nil {
		return refused
	}
	if begun.Answered != nil {
		s.opts.Limiter.GiveBack(call.id)
		s.replay(w, begun.Answered)
		return nil
	}
	call.turn = turn
	call.messages = rawMessages(begun.Messages)
	ctx, stop := turn.bind(ctx)
	defer stop()
	return s.runChat(ctx, call)
}

// replay sends a recorded answer, byte for byte.
func (s *Server) replay(w http.ResponseWriter, a *program.Answered) {
	_ = writeAnswer(w, answer{status: a.Status, contentType: a.ContentType, body: a.Answer})
}

func (c *chatCall) ledgerCall() program.Call {
	call := c.key.call(c.caller.account, program.KindChat)
	call.RequestHash = c.hash
	call.Repeatable = true
	call.ReserveTokens = c.reserve()
	messages := make([][]byte, len(c.request.messages))
	for i, m := range c.request.messages {
		messages[i] = m
	}
	if c.appended {
		call.NewMessages = messages
	} else {
		call.Conversation = messages
	}
	return call
}

func rawMessages(messages [][]byte) []json.RawMessage {
	raw := make([]json.RawMessage, len(messages))
	for i, m := range messages {
		raw[i] = m
	}
	return raw
}

// reserve returns the most tokens that the call can use: a token stands for at least a byte.
func (c *chatCall) reserve() int64 {
	size := int64(0)
	for _, raw := range c.request.fields {
		size += int64(len(raw))
	}
	return size + reservedPerMessage*int64(len(c.request.messages)) + c.maxTokens()
}

func (c *chatCall) maxTokens() int64 {
	if c.request.maxTokens > 0 {
		return c.request.maxTokens
	}
	return c.model.MaxTokens
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

// runChat makes attempts until one succeeds or no further one is allowed.
func (s *Server) runChat(ctx context.Context, call *chatCall) *refusal.Refusal {
	retries := s.newRetries()
	for {
		refused, retry := s.attemptChat(ctx, call)
		if refused == nil {
			return nil
		}
		if !call.sink.started() && ctx.Err() == nil && retries.allow(retry) {
			continue
		}
		return s.settleRefused(ctx, call.turn, refused, call.notRun)
	}
}

// settleRefused closes the turn and says why a call ended that its context cut short.
func (s *Server) settleRefused(ctx context.Context, t *turn, refused *refusal.Refusal, notRun refusal.NotRun) *refusal.Refusal {
	notRun = t.giveUp(notRun)
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errKeyWithdrawn):
		return keyWithdrawn(notRun)
	case errors.Is(cause, errDeadline):
		return &refusal.Refusal{Status: http.StatusGone, Code: string(program.CodeExpired), Message: errDeadline.Error(), NotRun: notRun}
	case errors.Is(cause, errAttemptLost):
		return withNotRun(unavailable(string(program.CodeSuperseded), errAttemptLost.Error(), retryControl), refusal.Unknown)
	}
	return withNotRun(refused, notRun)
}

// attemptChat makes one attempt. retry says that another upstream may do better.
func (s *Server) attemptChat(ctx context.Context, call *chatCall) (refused *refusal.Refusal, retry again) {
	leave, refused := s.enter(ctx, call.fingerprint(), call.subject(), call.notRun)
	if refused != nil {
		return refused, never
	}
	end := notSent
	defer func() { leave.End(end.outcome, end.upstream) }()
	zone, _ := call.turn.home()
	request := s.scheduleRequest(call)
	request.Alone = leave.Alone()
	grant, err := s.acquire(ctx, config.KindEngine, call.model.ID, zone, request)
	if err != nil {
		return noGrant(err, call.notRun), never
	}
	outcome := schedule.Outcome{}
	defer func() { s.opts.Dispatcher.Release(grant, outcome) }()
	if err := s.opts.Limiter.Dispatch(ctx, call.caller.account.ID, call.id); err != nil {
		return withNotRun(asRefusal(err), call.notRun), never
	}
	if !call.turn.mayWrite() {
		return withNotRun(unavailable(string(program.CodeSuperseded), errAttemptLost.Error(), retryControl), call.notRun), never
	}
	assembler := upstream.NewAssembler()
	begun := s.opts.Clock()
	err = s.relay(ctx, call, grant, assembler)
	end = s.judgeChat(ctx, grant, err)
	if err != nil {
		outcome = failedOutcome(ctx, err)
		return s.chatFailure(ctx, call, grant, err)
	}
	outcome = served(assembler)
	outcome.Took = s.opts.Clock() - begun
	return s.deliver(call, assembler), never
}

// deliver records the whole answer and then tells the caller that it is whole.
func (s *Server) deliver(call *chatCall, a *upstream.Assembler) *refusal.Refusal {
	whole, err := call.sink.answer(a)
	if err != nil {
		call.notRun = refusal.False
		return failed("bad_answer", "the engine's answer could not be read", refusal.False)
	}
	if call.turn != nil {
		message, err := a.Message()
		if err == nil {
			err = call.turn.complete(whole, message, usedTokens(a, call.reserve()))
		}
		if err != nil {
			call.notRun = refusal.Unknown
			return withNotRun(program.Refusal(err), refusal.Unknown)
		}
	}
	call.sink.finish(whole)
	return nil
}

// usedTokens returns the engine's count, or the reservation if it sent none.
func usedTokens(a *upstream.Assembler, reserved int64) int64 {
	usage, ok := a.Usage()
	if !ok {
		return reserved
	}
	return usage.TotalTokens
}

func (s *Server) acquire(ctx context.Context, kind config.UpstreamKind, name, zone string, r schedule.Request) (*dispatch.Grant, error) {
	ctx, cancel := context.WithTimeout(ctx, maxQueueWait)
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
		_, r.Resident = call.turn.home()
	}
	return r
}

// served counts what an engine did for a call.
func served(a *upstream.Assembler) schedule.Outcome {
	usage, _ := a.Usage()
	return schedule.Outcome{ServedTokens: usage.TotalTokens, CachedTokens: usage.PromptDetails.CachedTokens}
}

// relay sends the call to the granted engine and passes its answer on.
func (s *Server) relay(ctx context.Context, call *chatCall, grant *dispatch.Grant, a *upstream.Assembler) error {
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
	}, body)
	defer stream.Close()
	err = pass(ctx, stream, a, call)
	if err != nil && !isLost(err) {
		// The engine may still generate for this attempt, whose answer nobody will take.
		stream.Cancel()
	}
	return err
}

// servesAs returns the upstream's own name of what it was granted for.
func servesAs(g *dispatch.Grant, id string) string {
	if g.ServesAs != "" {
		return g.ServesAs
	}
	return id
}

// pass hands each chunk to the sink until the answer is whole.
func pass(ctx context.Context, stream *upstream.Stream, a *upstream.Assembler, call *chatCall) error {
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

func isLost(err error) bool {
	var call *upstream.CallError
	return errors.Is(err, upstream.ErrLost) || errors.As(err, &call) && !call.Written
}

// chatFailure turns a failed attempt into a refusal. A chat completion may be repeated.
func (s *Server) chatFailure(ctx context.Context, call *chatCall, grant *dispatch.Grant, err error) (_ *refusal.Refusal, retry again) {
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
	call.notRun = refusal.Unknown
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
			call.notRun = refusal.Unknown
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
