package replica

import (
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestReplica_SnapshotLimitMayChange: the limit on the log's size holds for the groups that share the VM now, not for
// those that were known when the replica was opened.
func TestReplica_SnapshotLimitMayChange(t *testing.T) {
	f := newTestCluster(t, "a")
	f.snapshotEvery = 1 << 20
	var limit atomic.Int64
	limit.Store(1 << 30)
	f.snapshotBytes = limit.Load
	f.start("a")
	r := f.running["a"]
	f.propose(1)
	first := r.Status().Snapshot
	write := func(n int) {
		for range n {
			_, err := r.Propose(t.Context(), make([]byte, 32<<10))
			require.NoError(t, err)
		}
	}
	write(32)
	require.NoError(t, r.Query(t.Context(), func(StateMachine) {}))
	require.Equal(t, first, r.Status().Snapshot)
	limit.Store(512 << 10)
	write(4)
	require.NoError(t, r.Query(t.Context(), func(StateMachine) {}))
	require.Greater(t, r.Status().Snapshot, first)
	f.stopAll()
}
