package ratelimit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLimiter_BusyWhileTickIsNeeded(t *testing.T) {
	w := newSimulation(1, 1, 1, map[string]Limit{"a": {RatePerSecond: 20, Burst: 1}})
	w.tickControl()
	w.run(10 * time.Second)
	vm := w.vms[w.names[0]]
	require.False(t, vm.limiter.Busy(), "nothing is pending")
	now := vm.clock(w.now)
	require.True(t, vm.limiter.Draw(now, "a", "r1", simCutoff).Decisions[0].Granted)
	require.True(t, vm.limiter.Busy(), "a permit may expire")
	vm.limiter.Dispatch(now, "r1", simCutoff)
	require.Empty(t, vm.limiter.Draw(now, "a", "r2", simCutoff).Decisions)
	require.True(t, vm.limiter.Busy(), "a draw waits for a token")
	w.run(30 * time.Second)
	require.False(t, vm.limiter.Busy(), "nothing is pending any more")
}
