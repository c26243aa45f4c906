package proxy

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretramp/internal/callermem"
	"egretramp/internal/httpwire"
)

// TestBufferLease_CountsTowardTheBudgetOfCallers guards against responses that take memory beside the bound for all that is held
// for callers.
func TestBufferLease_CountsTowardTheBudgetOfCallers(t *testing.T) {
	budget := callermem.New(1 << 20)
	shared := &sharedBuffers{memory: budget}
	lease, other := bufferLease{shared: shared}, bufferLease{shared: shared}
	_, err := lease.readAll(bytes.NewReader(make([]byte, 600<<10)))
	require.NoError(t, err)
	require.EqualValues(t, 600<<10-ownBytes, budget.Stats().Used)
	_, err = other.readAll(bytes.NewReader(make([]byte, 600<<10)))
	require.ErrorIs(t, err, errBuffersFull)
	other.release()
	_, err = other.readAll(bytes.NewReader(make([]byte, ownBytes)))
	require.NoError(t, err, "small responses depend on no others")
	lease.release()
	other.release()
	require.Zero(t, budget.Stats().Used)
	require.Zero(t, shared.used.Load())
}

// TestBufferLease_FindsRoomBesideLargeRequests guards against large bodies of clients that don't finish them, because of which the
// responses to requests that have run are lost.
func TestBufferLease_FindsRoomBesideLargeRequests(t *testing.T) {
	budget := callermem.New(1 << 20)
	require.True(t, budget.Take(700<<10))
	require.False(t, budget.Take(200<<10), "the part for large requests is used up")
	lease := bufferLease{shared: &sharedBuffers{memory: budget}}
	_, err := lease.readAll(bytes.NewReader(make([]byte, 200<<10)))
	require.NoError(t, err)
	lease.release()
	require.EqualValues(t, 700<<10, budget.Stats().Used)
}

// TestExchange_ConversationCountsTowardTheBudgetOfCallers guards against stored conversations that take memory beside the bound,
// and against bodies that are kept twice while they are sent on.
func TestExchange_ConversationCountsTowardTheBudgetOfCallers(t *testing.T) {
	budget := callermem.New(1 << 20)
	server := &Server{opts: Options{Memory: budget}}
	prepend := func(stored int) (*exchange, *Refusal) {
		x := &exchange{server: server, request: &httpwire.Request{Body: []byte("input")}}
		return x, x.prepend([][]byte{make([]byte, stored-1), []byte("x")})
	}
	x, refusal := prepend(500 << 10)
	require.Nil(t, refusal)
	require.Len(t, x.body, 500<<10+len("input"))
	require.Equal(t, "xinput", string(x.body[500<<10-1:]))
	require.Equal(t, "input", string(x.request.Body))
	require.Same(t, &x.body[500<<10], &x.request.Body[0], "the body is kept twice")
	require.EqualValues(t, x.chainReserved, budget.Stats().Used)
	_, refusal = prepend(500 << 10)
	require.Equal(t, MemoryFull, refusal.Reason)
	require.Positive(t, refusal.RetryAfter)
	_, refusal = prepend(1 << 10)
	require.Nil(t, refusal, "small conversations depend on no others")
}

// TestLineCache_CountsTowardTheBudgetOfCallers guards against callers that end many long turns and go on with none of them: their
// conversations are cached for some seconds.
func TestLineCache_CountsTowardTheBudgetOfCallers(t *testing.T) {
	budget := callermem.New(1 << 20)
	cache := newLineCache(budget)
	key := func(line string) lineKey { return lineKey{"account", "program", line} }
	long := lineEntry{conversation: make([]byte, 500<<10), storedAt: time.Now()}
	require.True(t, cache.put(key("a"), long))
	require.False(t, cache.put(key("b"), long), "no memory")
	require.True(t, cache.put(key("a"), lineEntry{conversation: make([]byte, 100)}), "replaced")
	require.EqualValues(t, 100, budget.Stats().Used)
	require.True(t, cache.put(key("b"), long))
	_, ok := cache.take(key("b"))
	require.True(t, ok)
	_, ok = cache.take(key("b"))
	require.False(t, ok)
	require.Len(t, cache.sweep(), 1, "the entry of an early time has expired")
	require.Zero(t, budget.Stats().Used)
}
