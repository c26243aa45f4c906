package node

import (
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"egretramp/internal/events"
)

// TestCallerMemory_ReportsRefusals guards against a line for each refused request, and against refusals that nobody sees.
func TestCallerMemory_ReportsRefusals(t *testing.T) {
	core, logs := observer.New(zapcore.InfoLevel)
	r := prometheus.NewRegistry()
	m := newCallerMemory(&Settings{Role: Entry, MemoryBytes: 88 << 20, MaxDescriptors: 3075}, r, events.FromZap(zap.New(core)))
	require.EqualValues(t, 22<<20, m.budget.Stats().Limit)
	m.maintain()
	require.Zero(t, logs.Len())
	for range 1000 {
		require.False(t, m.budget.Take(20<<20))
		m.maintain()
	}
	require.Equal(t, 1, logs.Len())
	require.EqualValues(t, 2447, logs.All()[0].ContextMap()["event"])
	families, err := r.Gather()
	require.NoError(t, err)
	require.Len(t, families, 5)
	m = newCallerMemory(&Settings{Role: Entry, MemoryBytes: 88 << 20, CallerMemoryBytes: 30 << 20}, prometheus.NewRegistry(), nil)
	require.EqualValues(t, 30<<20, m.budget.Stats().Limit)
}
