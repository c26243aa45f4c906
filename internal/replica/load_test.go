package replica

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestReplica_DropsProposalsOfCallersThatLeft replays a leader that stands still for a moment under load: its callers
// give up and ask again. Only the commands whose callers still wait may be appended afterwards; the others would keep
// the group behind.
func TestReplica_DropsProposalsOfCallersThatLeft(t *testing.T) {
	f := newTestCluster(t, "a")
	f.start("a")
	f.propose(1)
	r := f.running["a"]
	before := r.Status().LastIndex

	blocked, release := make(chan struct{}), make(chan struct{})
	go func() {
		_ = r.Query(t.Context(), func(StateMachine) {
			close(blocked)
			<-release
		})
	}()
	<-blocked
	const left, waiting = 200, 10
	gone, cancel := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	var unknown, served atomic.Int64
	for i := range left + waiting {
		ctx := t.Context()
		if i < left {
			ctx = gone
		}
		callers.Go(func() {
			switch _, err := r.Propose(ctx, []byte("command!")); err {
			case nil:
				served.Add(1)
			case ErrUnknownOutcome:
				unknown.Add(1)
			}
		})
	}
	require.Eventually(t, func() bool { return len(r.requests) == left+waiting }, waitTimeout, time.Millisecond)
	cancel()
	require.Eventually(t, func() bool { return unknown.Load() == left }, waitTimeout, time.Millisecond)
	close(release)
	callers.Wait()
	require.Equal(t, int64(waiting), served.Load())
	require.NoError(t, r.Query(t.Context(), func(StateMachine) {})) // the status is published after each step
	require.Equal(t, before+waiting, r.Status().LastIndex)
	f.stopAll()
}

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
