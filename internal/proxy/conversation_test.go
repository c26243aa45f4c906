package proxy

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretramp/internal/turns"
)

// TestServer_RefusesTurnWithoutItsConversation guards against turns that run with their new input alone.
func TestServer_RefusesTurnWithoutItsConversation(t *testing.T) {
	g := newFixture(t)
	g.upstream("u", streamEvents(2))
	require.Equal(t, 200, g.call("t1", "/kept/", "Program: p").status)
	require.Equal(t, 2*time.Second, g.ledger.lastBegin.Timeout)
	require.Equal(t, time.Minute, g.ledger.lastBegin.ProgramRetention)
	g.ledger.lost = true
	refused := g.call("t2", "/kept/", "Program: p", "Line: other", "Previous: t1")
	require.Equal(t, 503, refused.status)
	require.Equal(t, "lost_conversation", refused.reason)
	require.Len(t, g.receivedRequests(), 1)
}

// TestServer_TurnThatCannotBeRecordedDoesNotLookComplete guards against a turn that the caller may continue and whose
// conversation isn't stored.
func TestServer_TurnThatCannotBeRecordedDoesNotLookComplete(t *testing.T) {
	g := newFixture(t)
	g.upstream("u", func(r *http.Request, c net.Conn) bool {
		g.ledger.mu.Lock()
		g.ledger.lost = true // the predecessor expires while the turn runs
		g.ledger.mu.Unlock()
		return streamEvents(3)(r, c)
	})
	cut := g.call("t1", "/kept/", "Program: p")
	require.Equal(t, 200, cut.status)
	require.Error(t, cut.err)
	// The tokens of its events stay charged: 30 of 1000, so 9 turns of 100 fit.
	g.ledger.lost = false
	require.Zero(t, g.ledger.machine.Reservations())
	for range 9 {
		r, err := g.ledger.apply(turns.Command{Now: 1, Begin: &turns.Begin{
			Account: "acc", Program: "p", Request: time.Now().String(), HasBudget: true, Budget: 1000, MaxTokens: 100,
		}})
		require.NoError(t, err)
		require.Equal(t, turns.Begun, r.Outcome)
	}
	r, err := g.ledger.apply(turns.Command{Now: 1, Begin: &turns.Begin{
		Account: "acc", Program: "p", Request: "last", HasBudget: true, Budget: 1000, MaxTokens: 100,
	}})
	require.NoError(t, err)
	require.Equal(t, turns.Result{Outcome: turns.BudgetSpent, Used: 30, Reserved: 900}, r)
}
