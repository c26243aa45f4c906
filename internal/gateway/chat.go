package gateway

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/julienschmidt/httprouter"

	"egretramp/internal/config"
	"egretramp/internal/program"
	"egretramp/internal/refusal"
)

const (
	// bytesPerToken estimates prompt sizes for scheduling. Budgets do not use it.
	bytesPerToken = 4
	// reservedPerMessage covers the tokens that a chat template adds to a message.
	reservedPerMessage = 16
)

// chatCall is one chat completion request and the state of its processing.
type chatCall struct {
	id      string
	caller  *caller
	model   *config.Model
	request *chatRequest
	key     recordKey
	// newMessagesOnly means that the request contains only the new messages of a program's
	// conversation.
	newMessagesOnly bool
	hash            string // identifies the request in the record
	sink            sink
	turn            *turn
	budget          *waitBudget
	messages        []json.RawMessage // the whole conversation
	// notRun tells whether the call has not run, considering all attempts so far.
	notRun refusal.NotRun
	// mayHaveRun reports whether the last attempt may have run.
	mayHaveRun bool
	// history is the size in bytes of the recorded conversation, if the request does not contain
	// it, plus reservedPerMessage for each of its messages.
	history int64
	avoid   []string
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

func (s *Server) serveChat(w http.ResponseWriter, r *http.Request, key recordKey, newMessagesOnly bool) {
	call, refused := s.prepareChat(w, r, key, newMessagesOnly)
	if refused != nil {
		s.refuse(w, refused)
		return
	}
	ctx := r.Context()
	if key.recorded() {
		// A recorded call continues after its caller disconnects: a retry gets the recorded answer.
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

func (s *Server) prepareChat(w http.ResponseWriter, r *http.Request, key recordKey, newMessagesOnly bool) (*chatCall, *refusal.Refusal) {
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
	if refused := checkKeyNotForwarded(c, r, body, request.decoded()); refused != nil {
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
		id:              newID(),
		caller:          c,
		model:           model,
		request:         request,
		key:             key,
		newMessagesOnly: newMessagesOnly,
		hash:            program.HashRequest([]byte(model.ID), request.canonical()),
		sink:            newSink(w, request),
		budget:          s.newWaitBudget(program.HomeOf(key.program)),
		messages:        request.messages,
		notRun:          refusal.True,
	}, nil
}

// admitChat enforces the caller's rate limit, begins a turn if the call is recorded, and runs the call.
func (s *Server) admitChat(ctx context.Context, w http.ResponseWriter, call *chatCall) *refusal.Refusal {
	if err := s.opts.Limiter.Draw(ctx, call.caller.account.ID, call.id); err != nil {
		return asRefusal(err)
	}
	retries := s.newRetries()
	if !call.key.recorded() {
		refused, _ := s.runChat(ctx, call, retries)
		return refused
	}
	if refused := s.measureHistory(ctx, call); refused != nil {
		return refused
	}
	for {
		refused, beginAgain := s.runTurn(ctx, w, call, retries)
		if !beginAgain {
			return refused
		}
	}
}

// measureHistory sets call.history, which the token reservation includes, for a call that sends
// only new messages.
func (s *Server) measureHistory(ctx context.Context, call *chatCall) *refusal.Refusal {
	if !call.newMessagesOnly {
		return nil
	}
	limited, done := call.budget.step(ctx, beginTimeout)
	defer done()
	view, err := s.opts.Ledger.Read(limited, program.ProgramQuery{Account: call.caller.account.ID, Program: call.key.program})
	if err != nil {
		var unavailable *program.UnavailableError
		if errors.As(err, &unavailable) {
			unavailable.Identified = call.key.identified()
		}
		return program.Refusal(err)
	}
	call.history = view.Bytes + reservedPerMessage*int64(view.RecordedMessages)
	return nil
}

// runTurn begins the turn and runs the call in it. If beginAgain is true, the turn must begin again
// for the next attempt: an engine may have run part of the call, whose tokens stay reserved, so
// the next attempt needs its own reservation.
func (s *Server) runTurn(ctx context.Context, w http.ResponseWriter, call *chatCall, retries *retries) (_ *refusal.Refusal, beginAgain bool) {
	turn, begun, refused := s.begin(ctx, call.budget, call.ledgerCall(), call.model.ID)
	if refused != nil && call.canRunUnrecorded(refused) {
		w.Header().Set(headerRecorded, "false")
		return s.runChat(ctx, call, retries)
	}
	if refused != nil {
		return withEarlierAttempts(refused, call.notRun), false
	}
	if begun.Answered != nil {
		s.opts.Limiter.GiveBack(call.id)
		s.replay(w, begun.Answered)
		return nil, false
	}
	call.turn = turn
	call.messages = rawMessages(begun.Messages)
	ctx, stop := turn.bind(ctx)
	defer stop()
	return s.runChat(ctx, call, retries)
}

// canRunUnrecorded reports whether a call whose begin was refused runs without a record: the record
// is unavailable, and it would serve only to repeat the answer.
func (c *chatCall) canRunUnrecorded(refused *refusal.Refusal) bool {
	return refused.Code == string(program.CodeUnavailable) && c.key.program == "" && c.turn == nil
}

// replay sends a recorded answer byte for byte.
func (s *Server) replay(w http.ResponseWriter, a *program.Answered) {
	_ = writeAnswer(w, answer{status: a.Status, contentType: a.ContentType, body: a.Answer})
}

func (c *chatCall) ledgerCall() program.Call {
	call := c.key.call(c.caller.account, program.KindChat)
	call.RequestHash = c.hash
	call.Repeatable = true
	call.ReserveTokens = c.tokenReservation()
	messages := make([][]byte, len(c.request.messages))
	for i, m := range c.request.messages {
		messages[i] = m
	}
	if c.newMessagesOnly {
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

// tokenReservation returns an upper bound of the tokens that the call can use. A token represents
// at least one byte.
func (c *chatCall) tokenReservation() int64 {
	size := c.history
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

// runChat makes attempts until one succeeds, no further attempt is allowed, or a recorded attempt
// may have run, so that the turn must begin again before the next one.
func (s *Server) runChat(ctx context.Context, call *chatCall, retries *retries) (_ *refusal.Refusal, beginAgain bool) {
	for {
		call.mayHaveRun = false
		refused, retry := s.attemptChat(ctx, call)
		if refused == nil {
			return nil, false
		}
		if call.sink.started() || ctx.Err() != nil || !retries.allow(retry) {
			return s.settleRefused(ctx, call.turn, refused, call.notRun), false
		}
		if call.turn != nil && call.mayHaveRun {
			// The next begin would otherwise fail because the turn is busy.
			if err := call.turn.settle(); err != nil {
				return withNotRun(program.Refusal(err), refusal.Unknown), false
			}
			return nil, true
		}
	}
}
