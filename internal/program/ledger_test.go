package program

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"egretramp/internal/refusal"
)

// fakeGroup is a Proposer and Reader with a single Machine. fail returns the fault to inject into
// the nth proposal.
type fakeGroup struct {
	mu       sync.Mutex
	m        *Machine
	index    uint64
	proposed int
	fail     func(n int) fault
	delayed  [][]byte // lost proposals that a test may apply later
}

type fault int

const (
	noFault fault = iota
	lostAnswer
	lostCommand
	notProposed
)

var errLost = errors.New("connection lost")

func (g *fakeGroup) Propose(_ context.Context, data []byte) ([]byte, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.proposed++
	f := noFault
	if g.fail != nil {
		f = g.fail(g.proposed)
	}
	switch f {
	case notProposed:
		return nil, errors.Mark(errors.New("no leader"), ErrNotProposed)
	case lostCommand:
		g.delayed = append(g.delayed, data)
		return nil, errLost
	}
	g.index++
	answer := g.m.Apply(g.index, data)
	if f == lostAnswer {
		return nil, errLost
	}
	return answer, nil
}

func (g *fakeGroup) Read(_ context.Context, query []byte) ([]byte, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.m.Query(query), nil
}

func newFakeGroup() (*fakeGroup, *Ledger) {
	g := &fakeGroup{m: New(DefaultLimits())}
	g.m.EnableChecks()
	return g, g.ledger("vm1")
}

func (g *fakeGroup) ledger(vm string) *Ledger {
	n := 0
	return NewLedger(LedgerOptions{
		Proposer:   g,
		Reader:     g,
		Owner:      Owner{VM: vm, Incarnation: 1},
		Now:        func() time.Time { return time.UnixMilli(1_000_000) },
		NewAttempt: func() string { n++; return fmt.Sprint(vm, "-", n) },
	})
}

func mustCreate(t *testing.T, l *Ledger) {
	_, err := l.Create(context.Background(), Create{Account: "a", Name: "p", Ceiling: Budget{Tokens: 1000, Calls: 20}})
	require.NoError(t, err)
}

func chatCall(turn uint64, conversation ...string) Call {
	call := Call{Account: "a", Program: "p", Turn: turn, Kind: KindChat, Repeatable: true, ReserveTokens: 10}
	for _, message := range conversation {
		call.Conversation = append(call.Conversation, []byte(message))
	}
	call.RequestHash = HashRequest(call.Conversation...)
	return call
}

const (
	user1 = `{"role":"user","content":"one"}`
	bot1  = `{"content":"1","role":"assistant"}`
	user2 = `{"role": "user", "content": "two"}`
)

func mustComplete(t *testing.T, l *Ledger, attempt string, message string) {
	_, err := l.Complete(context.Background(), Complete{
		Account: "a", Program: "p", Attempt: attempt, Answer: []byte(message), Status: 200, Messages: [][]byte{[]byte(message)},
	})
	require.NoError(t, err)
}

func TestLedger_ConversationContinuesOnAnyVM(t *testing.T) {
	ctx := context.Background()
	g, one := newFakeGroup()
	two := g.ledger("vm2")
	mustCreate(t, one)
	turn, err := one.Begin(ctx, chatCall(1, user1))
	require.NoError(t, err)
	mustComplete(t, one, turn.Started.Attempt, bot1)
	turn, err = two.Begin(ctx, chatCall(2, user1, `{"role":"assistant","refusal":null,"content":"1"}`, user2))
	require.NoError(t, err)
	require.Len(t, turn.Messages, 3)
	mustComplete(t, two, turn.Started.Attempt, bot1)
	// The last history length known to vm1 is 0. The refusal contains the current length.
	turn, err = one.Begin(ctx, chatCall(3, user1, bot1, user2, bot1, user1))
	require.NoError(t, err)
	require.Equal(t, 4, turn.Started.RecordedMessages)
	mustComplete(t, one, turn.Started.Attempt, bot1)
	_, err = two.Begin(ctx, chatCall(4, user1, bot1, user1, bot1, user1, bot1, user2))
	require.Equal(t, string(CodeHistoryMismatch), Refusal(err).Code)
	require.Equal(t, refusal.True, Refusal(err).NotRun)
	again, err := two.Begin(ctx, chatCall(3, user1, bot1, user2, bot1, user1))
	require.NoError(t, err)
	require.Equal(t, bot1, string(again.Answered.Answer))
}

func TestLedger_NewMessagesAreAppendedToHistory(t *testing.T) {
	g, l := newFakeGroup()
	mustCreate(t, l)
	call := Call{Account: "a", Program: "p", Kind: KindChat, RequestHash: "1", NewMessages: [][]byte{[]byte(user1)}}
	turn, err := l.Begin(context.Background(), call)
	require.NoError(t, err)
	mustComplete(t, l, turn.Started.Attempt, bot1)
	call.RequestHash = "2"
	turn, err = l.Begin(context.Background(), call)
	require.NoError(t, err)
	require.Len(t, turn.Messages, 3)
	require.Equal(t, bot1, string(turn.Messages[1]))
	require.Equal(t, 4, g.proposed, "reads add no log entries")
}

func TestLedger_RetriesProposalsUnchanged(t *testing.T) {
	g, l := newFakeGroup()
	g.fail = func(n int) fault { return fault(n % 4) } // lost answer, lost command, not proposed, none
	mustCreate(t, l)
	turn, err := l.Begin(context.Background(), chatCall(1, user1))
	require.NoError(t, err)
	require.Equal(t, "vm1-1", turn.Started.Attempt)
	mustComplete(t, l, "vm1-1", bot1)
	for _, data := range g.delayed {
		g.m.Apply(g.index+1, data)
	}
	view, err := l.Read(context.Background(), ProgramQuery{Account: "a", Program: "p", History: true})
	require.NoError(t, err)
	require.Len(t, view.Messages, 2)
	require.Equal(t, Budget{Calls: 1}, view.Used)
}

func TestLedger_AbandonedAttemptNeverStarts(t *testing.T) {
	g, l := newFakeGroup()
	mustCreate(t, l)
	g.fail = func(int) fault { return lostCommand }
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	call := chatCall(1, user1)
	call.Repeatable = false
	_, err := l.Begin(ctx, call)
	var unavailable *UnavailableError
	require.ErrorAs(t, err, &unavailable)
	require.True(t, unavailable.Applied)
	require.ErrorIs(t, err, errLost)
	require.Equal(t, refusal.Unknown, Refusal(err).NotRun, "the turn may have run through another VM")
	require.Error(t, l.Flush(ctx), "the revocation is kept for the next Flush")
	g.fail = nil
	require.NoError(t, l.Flush(context.Background()))
	var late Result
	require.NoError(t, json.Unmarshal(g.m.Apply(g.index+1, g.delayed[0]), &late))
	require.Equal(t, CodeSuperseded, late.Code)
	turn, err := l.Begin(context.Background(), call)
	require.NoError(t, err)
	require.NotNil(t, turn.Started)
}

func TestLedger_LateCopyOfRefusedBeginNeverStarts(t *testing.T) {
	g, l := newFakeGroup()
	g.fail = func(n int) fault { return map[int]fault{1: lostCommand}[n] }
	_, err := l.Begin(context.Background(), Call{Account: "a", Program: "p", Turn: 1, Kind: KindService, RequestHash: "h"})
	require.Equal(t, string(CodeNoProgram), Refusal(err).Code)
	mustCreate(t, l)
	require.NoError(t, l.Flush(context.Background()))
	var late Result
	require.NoError(t, json.Unmarshal(g.m.Apply(g.index+1, g.delayed[0]), &late))
	require.Equal(t, CodeSuperseded, late.Code)
}

func TestRefusal_OfUnavailableGroup(t *testing.T) {
	g, l := newFakeGroup()
	g.fail = func(int) fault { return notProposed }
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	call := Call{Account: "a", Program: "p", Kind: KindService, RequestHash: "h"}
	_, err := l.Begin(ctx, call)
	require.Equal(t, &refusal.Refusal{
		Status: http.StatusServiceUnavailable, Code: "programs_unavailable", Message: "the record of programs can't be reached",
		NotRun: refusal.True, RetryAfter: unavailableRetry,
	}, Refusal(err))
	require.Empty(t, l.abandoned)
}

func TestRefusal_EveryCodeHasAStatus(t *testing.T) {
	for _, code := range []Code{
		CodeBusy, CodeOutOfOrder, CodeTurnConflict, CodeBudgetExceeded, CodeHistoryMismatch, CodeUnknownOutcome, CodeEnded,
		CodeExpired, CodeNoProgram, CodeProgramConflict, CodeTooMany, CodeTooLarge, CodeSuperseded, CodeOwnerFenced,
		CodeStale, CodeBadCommand,
	} {
		for _, ran := range []bool{false, true} {
			r := Refusal(&RefusedError{Result: Result{Code: code, MayHaveRun: ran}})
			require.GreaterOrEqual(t, r.Status, 400, code)
			require.Equal(t, ran, r.NotRun == refusal.Unknown, code)
		}
	}
}

func TestAttempts_RenewsLeasesAndStopsLostAttempts(t *testing.T) {
	a := NewAttempts(15*time.Second, 5*time.Second)
	a.Add("x", 0)
	a.Add("y", time.Second)
	require.Empty(t, a.Due(4*time.Second))
	require.Equal(t, []string{"x", "y"}, a.Due(6*time.Second))
	require.Empty(t, a.Due(7*time.Second))
	require.Equal(t, []string{"y"}, a.Renewed([]string{"x", "y"}, 6*time.Second, []string{"y"}))
	require.True(t, a.MayWrite("x", 20*time.Second))
	require.False(t, a.MayWrite("x", 21*time.Second), "the lease counts from the sending of the renewal")
	require.False(t, a.MayWrite("y", 7*time.Second))
	require.Equal(t, 1, a.Len())
}

func TestAttempts_DeliversOnce(t *testing.T) {
	a := NewAttempts(15*time.Second, 5*time.Second)
	a.Add("x", 0)
	a.Add("y", 0)
	require.Equal(t, Crossed, a.Accept("x", "y"))
	require.Equal(t, Deliver, a.Accept("x", "x"))
	require.Equal(t, Doubled, a.Accept("x", "x"))
	a.Remove("x")
	require.Equal(t, Late, a.Accept("x", "x"))
	require.Equal(t, Deliver, a.Accept("y", "y"))
}
