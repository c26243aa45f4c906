package proxy

import (
	"fmt"
	"io"
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

// TestServer_ResumedTurnIsRecordedWhole guards against conversations with a gap: a VM is lost while it forwards a turn, the
// caller resumes the stream at another one, and the next turn continues the one that was resumed.
func TestServer_ResumedTurnIsRecordedWhole(t *testing.T) {
	g := newFixture(t)
	g.upstream("u", func(r *http.Request, c net.Conn) bool {
		from := 1
		if last := r.Header.Get("Last"); last != "" {
			_, _ = fmt.Sscan(last, &from)
			from++
		}
		if r.Header.Get("Id") == "t1" {
			_, _ = io.WriteString(c, signed(r)+"Transfer-Encoding: chunked\r\n\r\n"+eventChunks(1, 2))
			return false
		}
		_, err := io.WriteString(c, signed(r)+"Transfer-Encoding: chunked\r\n\r\n"+eventChunks(from, 4)+"0\r\n\r\n")
		return err == nil
	})
	require.Error(t, g.callWithBody("t1", "/kept-resumed/", "asked", "Program: p").err)
	resumed := g.callWithBody("t2", "/kept-resumed/", "asked", "Program: p", "Resumes: t1", "Last: 2")
	require.NoError(t, resumed.err)
	require.Equal(t, "id: 3\ndata: word3\n\nid: 4\ndata: word4\n\n", resumed.body, "what the caller has isn't sent again")
	require.Equal(t, 200, g.callWithBody("t3", "/kept-resumed/", "next", "Program: p", "Line: elsewhere", "Previous: t2").status)
	received := g.receivedRequests()
	require.Equal(t, "askedword1\nword2\nword3\nword4\nnext", received[len(received)-1].body)
}

// TestServer_ResumedTurnWithoutItsEvent guards against a response that looks complete although the upstream never sent the
// event after which it was to continue.
func TestServer_ResumedTurnWithoutItsEvent(t *testing.T) {
	g := newFixture(t)
	g.upstream("u", streamEvents(2))
	require.Equal(t, 200, g.call("t1", "/kept-resumed/", "Program: p").status)
	lost := g.call("t2", "/kept-resumed/", "Program: p", "Resumes: t1", "Last: 7")
	require.Equal(t, 502, lost.status)
	require.Equal(t, 404, g.call("t3", "/kept-resumed/", "Program: p", "Line: elsewhere", "Previous: t2").status, "it isn't recorded")
}

// TestServer_FrozenVMUsesNoOldLine guards against a turn that begins from a VM's memory although the store has forgotten its
// program's budget and conversation: the VM was frozen meanwhile, and the request was waiting for it.
func TestServer_FrozenVMUsesNoOldLine(t *testing.T) {
	for age, begins := range map[time.Duration]int{lineTTL: 1, maxLineAge + time.Second: 2} {
		g := newFixture(t)
		g.upstream("u", streamEvents(2))
		require.Equal(t, 200, g.call("t1", "/kept/", "Program: p").status)
		g.server.lineCache.mu.Lock()
		for key, entry := range g.server.lineCache.entries {
			entry.storedAt = entry.storedAt.Add(-age)
			g.server.lineCache.entries[key] = entry
		}
		g.server.lineCache.mu.Unlock()
		require.Equal(t, 200, g.call("t2", "/kept/", "Program: p", "Previous: t1").status)
		require.Equal(t, begins, g.ledger.begins, "the line is %v old", age)
		require.Equal(t, "asked t1word1\nword2\nasked t2", g.receivedRequests()[1].body)
	}
}
