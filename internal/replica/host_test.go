package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretramp/internal/raft/raftpb"
)

// TestReplica_CountsElectionTimeoutFromLastMessage guards against an election timeout that fires too
// early: a replica that wakes up rarely handles a message and the ticks since its last wake-up
// together, but the timeout must count only from the message on.
func TestReplica_CountsElectionTimeoutFromLastMessage(t *testing.T) {
	for seed := range int64(20) {
		var now time.Duration
		f := newTestCluster(t, "a", "b", "c")
		r, err := New(Options{
			Group: 1, VM: "a", Folder: f.folders["a"], InitialVMs: f.vms, Machine: &recorder{}, Transport: f,
			Seed: seed + 1, Clock: func() time.Duration { return now },
		})
		require.NoError(t, err)
		heartbeat := &raftpb.Message{
			Type: raftpb.MessageType_MESSAGE_TYPE_HEARTBEAT, Group: 1, Formation: 7, Term: 3,
			From: 99, FromVm: "b", To: r.store.Identity().Replica,
		}
		var last time.Duration
		pass := func(ticks time.Duration, message bool) {
			now += ticks * DefaultTickInterval
			if message {
				require.NoError(t, r.node.step(heartbeat))
			}
			last, err = r.tickElapsed(last)
			require.NoError(t, err)
		}
		pass(0, true)
		for range 5 {
			pass(DefaultElectionTicks-1, true)
			pass(DefaultElectionTicks-1, false)
			require.NotZero(t, r.node.raft.Leader(), "the time since the last heartbeat was below the minimum election timeout")
		}
		pass(DefaultElectionTicks, false)
		pass(DefaultElectionTicks, false)
		require.Zero(t, r.node.raft.Leader(), "the time since the last heartbeat was above the maximum election timeout")
		require.NoError(t, r.store.Close())
	}
}
