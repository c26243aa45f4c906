package gateway

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretramp/internal/config"
	"egretramp/internal/dispatch"
	"egretramp/internal/program"
	"egretramp/internal/refusal"
	"egretramp/internal/schedule"
)

// busyDispatcher never grants an upstream: requests wait until their context ends.
type busyDispatcher struct {
	*testDispatcher
	waiting chan struct{}
}

func (d *busyDispatcher) Acquire(ctx context.Context, _ config.UpstreamKind, _, _ string, _ schedule.Request) (*dispatch.Grant, error) {
	d.waiting <- struct{}{}
	<-ctx.Done()
	return nil, &dispatch.Error{Code: dispatch.CodeTimeout}
}

// TestServer_DrainRefusesQueuedCalls: a call that waits for an upstream while its VM shuts down is
// refused as not run before the process ends. Regression test for seed 503 of the soak, in which it
// was not.
func TestServer_DrainRefusesQueuedCalls(t *testing.T) {
	for _, before := range []bool{true, false} { // whether the call arrives before the drain
		g := newTestGateway(t, "")
		busy := &busyDispatcher{g.dispatcher, make(chan struct{}, 1)}
		g.server.opts.Dispatcher = busy
		_, err := g.ledger.Create(context.Background(), program.Create{Account: "ana", Name: "p", Ceiling: program.Budget{Tokens: 10_000, Calls: 10}}, program.PlaceMajority)
		require.NoError(t, err)
		const left = 300 * time.Millisecond
		drain := func() { g.server.Drain(drainMargin + left) }
		if !before {
			drain()
		}
		started := time.Now()
		texts := make(chan string, 1)
		go func() {
			_, text := g.post(t, "/v1/chat/completions", wholeChat, headerProgram, "p", headerTurn, "1")
			texts <- text
		}()
		<-busy.waiting
		if before {
			drain()
		}
		select {
		case text := <-texts:
			_, notRun := errorOf(t, text)
			require.Equal(t, refusal.True, notRun, text)
		case <-time.After(left + drainMargin):
			t.Fatal("the call still waits for an upstream when the process ends")
		}
		require.GreaterOrEqual(t, time.Since(started), left/2)
	}
}

// TestServer_DrainServesCallsWithFreeUpstream: until its process ends, a draining VM serves calls
// whose upstream is free.
func TestServer_DrainServesCallsWithFreeUpstream(t *testing.T) {
	var served atomic.Int64
	g := newTestGateway(t, startEngine(t, 1, false, &served))
	g.server.Drain(0)
	require.Eventually(t, func() bool { return g.server.queueContext.Err() != nil }, time.Second, time.Millisecond)
	status, text := g.post(t, "/v1/chat/completions", wholeChat)
	require.Equal(t, 200, status, text)
}
