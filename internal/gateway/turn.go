package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"egretramp/internal/config"
	"egretramp/internal/dispatch"
	"egretramp/internal/program"
	"egretramp/internal/refusal"
)

// Ledger accesses the record of programs. *program.Shards implements it.
type Ledger interface {
	Create(ctx context.Context, c program.Create, placement program.Placement) (*program.View, error)
	Begin(ctx context.Context, call program.Call) (*program.Turn, error)
	Revoke(ctx context.Context, c program.Revoke) (mayHaveRun bool, err error)
	Complete(ctx context.Context, c program.Complete) (*program.SettledBudget, error)
	Fail(ctx context.Context, c program.Fail) error
	Renew(ctx context.Context, attempts []string) (renewed, lost []string)
	End(ctx context.Context, c program.End) (*program.View, error)
	Read(ctx context.Context, q program.ProgramQuery) (*program.View, error)
	List(ctx context.Context, q program.ListQuery) (*program.ListPage, error)
	// Outage returns for how long a home's group has not answered this VM; 0 while it answers.
	Outage(home program.Home) time.Duration
}

// Headers that assign a call to a program and a turn.
const (
	headerProgram = "Egretramp-Program"
	headerTurn    = "Egretramp-Turn"
	// headerRecorded is set to false in the answer to a call that should have been recorded and
	// was not.
	headerRecorded = "Egretramp-Recorded"
)

var (
	errAttemptLost = errors.New("the attempt's lease was lost")
	errDeadline    = errors.New("the program's deadline passed")
)

// recordKey identifies a call in the record. The zero value is a call without a record.
type recordKey struct {
	program     string
	turn        uint64
	idempotency string
}

const maxKeyBytes = 200

// readRecordKey reads a call's program, turn and idempotency key from its headers.
func readRecordKey(h http.Header) (recordKey, *refusal.Refusal) {
	k := recordKey{program: h.Get(headerProgram), idempotency: h.Get("Idempotency-Key")}
	if !program.NameFits(k.program, maxKeyBytes) || len(k.idempotency) > maxKeyBytes {
		return k, badRequest("bad_header", "the program's name and the idempotency key have at most 200 bytes")
	}
	if text := h.Get(headerTurn); text != "" {
		n, err := strconv.ParseUint(text, 10, 63)
		if err != nil || n == 0 || k.program == "" {
			return k, badRequest("bad_header", headerTurn+" must be a number from 1, beside "+headerProgram)
		}
		k.turn = n
	}
	return k, nil
}

// recorded reports whether the call is recorded.
func (k recordKey) recorded() bool { return k.program != "" || k.idempotency != "" }

// identified reports whether the key identifies one call, so that it may be a repetition of an earlier one.
func (k recordKey) identified() bool { return k.turn > 0 || k.idempotency != "" }

// call returns the account's call for the ledger. A program that does not exist yet is created with
// the account's ceiling as its budget; a call with only an idempotency key is a program of one call.
func (k recordKey) call(account *config.ClientAccount, kind program.Kind) program.Call {
	c := program.Call{
		Account:        account.ID,
		Program:        k.program,
		Turn:           k.turn,
		Kind:           kind,
		IdempotencyKey: k.idempotency,
		Implicit:       &program.Implicit{Ceiling: ceiling(account)},
	}
	if k.program == "" {
		c.Program = program.OneCallName(k.idempotency)
		c.Implicit.OneCall = true
	}
	return c
}

func ceiling(a *config.ClientAccount) program.Budget {
	return program.Budget{Tokens: a.ProgramTokens, Calls: a.ProgramCalls}
}

// turn is one recorded call under way. A nil turn represents a call without a record.
type turn struct {
	server  *Server
	account string
	program string
	started *program.Started
	model   string
	budget  *waitBudget
	// resident is the engine session of the last attempt.
	resident *program.Residency
}

// answer is a call's answer as it is recorded and sent.
type answer struct {
	status      int
	contentType string
	body        []byte
}

// begin begins a recorded call. It returns the new turn or, if the call was answered before, its
// recorded answer.
func (s *Server) begin(ctx context.Context, budget *waitBudget, call program.Call, model string) (*turn, *program.Turn, *refusal.Refusal) {
	proposedAt := s.opts.Clock()
	limited, done := budget.step(ctx, beginTimeout)
	defer done()
	begun, err := s.opts.Ledger.Begin(limited, call)
	if err != nil {
		return nil, nil, program.Refusal(err)
	}
	if begun.Answered != nil {
		return nil, begun, nil
	}
	s.attempts.add(begun.Started.Attempt, proposedAt)
	return &turn{
		server: s, account: call.Account, program: call.Program, started: begun.Started, model: model, budget: budget,
	}, begun, nil
}

// bind returns a context that is cancelled at the program's deadline and when the attempt's lease or
// its record is lost, but not when the caller disconnects. The returned function releases the context
// and removes the attempt.
func (t *turn) bind(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	t.server.attempts.bind(t.started.Attempt, t.budget.startedAt, cancel)
	stop := func() {
		t.server.attempts.remove(t.started.Attempt)
		cancel(nil)
	}
	if t.started.DeadlineMS == 0 {
		return ctx, stop
	}
	limited, release := context.WithDeadlineCause(ctx, time.UnixMilli(t.started.DeadlineMS), errDeadline)
	return limited, func() {
		release()
		stop()
	}
}

// markWaiting marks the turn's attempt as waiting for an upstream.
func (t *turn) markWaiting() {
	if t != nil {
		t.server.attempts.markWaiting(t.started.Attempt)
	}
}

// mayWrite reports whether bytes may be written to an upstream now. If so, it marks the turn as written.
func (t *turn) mayWrite() bool {
	return t == nil || t.server.attempts.mayWrite(t.started.Attempt, t.server.opts.Clock())
}

// residentEngine returns the engine that holds the program's prefix: its zone, name and incarnation.
// The zone and name are empty if there is none.
func (t *turn) residentEngine() (zone, engine string, incarnation int64) {
	if t == nil {
		return "", "", 0
	}
	for _, r := range t.started.Residencies {
		if r.Model == t.model {
			zone, engine = program.SplitEngineName(r.Engine)
			return zone, engine, r.EngineIncarnation
		}
	}
	return "", "", 0
}

// session returns the session ID for a call to the granted engine and sets t.resident, because the
// session holds memory there.
func (t *turn) session(g *dispatch.Grant) string {
	if t == nil {
		return ""
	}
	engine := program.EngineName(g.Pool.Zone, g.Upstream)
	session := t.started.NewSession
	for _, r := range t.started.Residencies {
		if r.Model == t.model && r.Engine == engine && r.EngineIncarnation == g.Incarnation {
			session = r.Session
		}
	}
	t.resident = &program.Residency{Model: t.model, Engine: engine, EngineIncarnation: g.Incarnation, Session: session}
	return session
}

// complete records the answer. The answer counts as complete only after complete has returned nil.
func (t *turn) complete(a answer, message []byte, usedTokens int64) error {
	if t == nil {
		return nil
	}
	ctx, done := t.budget.step(context.Background(), maxRecordWait)
	defer done()
	c := program.Complete{
		Account: t.account, Program: t.program, Attempt: t.started.Attempt,
		Answer: a.body, Status: a.status, ContentType: a.contentType,
		UsedTokens: usedTokens, Residency: t.resident,
	}
	if message != nil {
		c.Messages = [][]byte{message}
	}
	_, err := t.server.opts.Ledger.Complete(ctx, c)
	return err
}

// settleInBackground settles a turn that may have run while the caller does not wait: the caller's
// final answer does not depend on the record. If settling fails, the expiry of the lease settles
// the turn.
func (t *turn) settleInBackground() {
	if t != nil {
		t.server.background.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
			defer cancel()
			_ = t.fail(ctx)
		})
	}
}

// settle settles a turn that may have run, before another attempt begins.
func (t *turn) settle() error {
	ctx, done := t.budget.step(context.Background(), revokeTimeout)
	defer done()
	return t.fail(ctx)
}

// fail records that the turn may have run, and waits for the record's confirmation.
func (t *turn) fail(ctx context.Context) error {
	return t.server.opts.Ledger.Fail(ctx, program.Fail{
		Account: t.account, Program: t.program, Attempt: t.started.Attempt, Outcome: program.OutcomeUnknown,
		Residency: t.resident,
	})
}

// settleUnanswered settles a turn without an answer. notRun covers this VM's attempts; the result
// also covers earlier attempts through other VMs.
func (t *turn) settleUnanswered(notRun refusal.NotRun) refusal.NotRun {
	if t == nil {
		return notRun
	}
	if notRun != refusal.True {
		t.settleInBackground()
		return notRun
	}
	ctx, done := t.budget.step(context.Background(), revokeTimeout)
	defer done()
	// If the record does not answer, an earlier attempt through another VM may have run.
	mayHaveRun, err := t.server.opts.Ledger.Revoke(ctx, program.Revoke{
		Account: t.account, Program: t.program, Attempt: t.started.Attempt,
	})
	if mayHaveRun || err != nil {
		return refusal.Unknown
	}
	return refusal.True
}
