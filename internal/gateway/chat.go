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
	// newMessagesOnly says that the request has the new messages of a program only.
	newMessagesOnly bool
	hash            string // names the request in the record
	sink            sink
	turn            *turn
	budget          *waitBudget
	messages        []json.RawMessage // the whole conversation
	// notRun is what can be said of all attempts so far.
	notRun refusal.NotRun
	// mayHaveRun is what can be said of the last attempt.
	mayHaveRun bool
	// history is the size of the recorded conversation that the request does not carry. Bytes.
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

// admitChat holds the caller to its rate, begins the turn if there is a record, and runs the call.
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

// measureHistory notes the size of the history that a call with only new messages extends, as
// far as its reservation goes.
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

// runTurn begins the turn and runs the call under it. anew asks for another begin: an engine
// may have run a part of the call, whose tokens stay reserved, and the next attempt needs a
// reservation of its own.
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

// goesOnUnrecorded reports whether a call whose begin was refused is run without a record: the
// record can't be reached, and nothing but the repeated answer hangs on it.
func (c *chatCall) canRunUnrecorded(refused *refusal.Refusal) bool {
	return refused.Code == string(program.CodeUnavailable) && c.key.program == "" && c.turn == nil
}

// replay sends a recorded answer, byte for byte.
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

// tokenReservation returns the most tokens that the call can use: a token stands for at least a byte.
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

// runChat makes attempts until one succeeds, no further one is allowed, or a recorded one may
// have run and the next needs a turn begun anew.
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
			// Before the next begin, which finds the turn busy otherwise.
			if err := call.turn.settle(); err != nil {
				return withNotRun(program.Refusal(err), refusal.Unknown), false
			}
			return nil, true
		}
	}
}
