package raft

import (
	"testing"

	"github.com/stretchr/testify/require"

	"egretramp/internal/raft/raftpb"
)

// TestRaft_CommitAtHeartbeat guards against a heartbeat, its reply and an empty append for each commit and member, which
// were half of the messages between replicas, and against members that never learn of a commit.
func TestRaft_CommitAtHeartbeat(t *testing.T) {
	r := newReplica(t, 1)
	r.options.CommitAtHeartbeat = true
	elect(r)
	acknowledge(r, 2, 2)
	acknowledge(r, 3, 2)
	count := map[raftpb.MessageType]int{}
	handle := func(messages []*raftpb.Message) {
		for _, m := range messages {
			count[m.Type]++
			if m.Type == raftpb.MessageType_MESSAGE_TYPE_HEARTBEAT {
				r.Step(&raftpb.Message{Type: raftpb.MessageType_MESSAGE_TYPE_HEARTBEAT_REPLY, From: m.To, To: 1, Term: r.Term()})
			}
		}
	}
	const proposals = 10
	for range proposals {
		index, err := r.Propose([]byte("x"))
		require.NoError(t, err)
		handle(flush(r))
		for _, member := range []uint64{2, 3} {
			r.Step(&raftpb.Message{Type: raftpb.MessageType_MESSAGE_TYPE_APPEND_REPLY, From: member, To: 1, Term: r.Term(), Index: index})
			handle(flush(r))
		}
		require.Equal(t, index, r.Commit(), "the leader commits at once")
	}
	require.Equal(t, map[raftpb.MessageType]int{raftpb.MessageType_MESSAGE_TYPE_APPEND: 2 * proposals}, count)

	var heartbeats []*raftpb.Message
	for len(heartbeats) == 0 {
		r.Tick()
		heartbeats = flush(r)
	}
	for _, m := range heartbeats {
		require.Equal(t, r.Commit(), m.Commit, "the next periodic heartbeat carries the commit index")
	}
}

// TestRaft_HeartbeatRepliesProbeOverdueEntriesOnly guards against an empty append and its reply for each heartbeat of a busy
// group, and against a lost append that is never sent again.
func TestRaft_HeartbeatRepliesProbeOverdueEntriesOnly(t *testing.T) {
	r := newReplica(t, 1)
	elect(r)
	acknowledge(r, 2, 2)
	acknowledge(r, 3, 2)
	// beat returns the appends to replica 2 that follow its reply to the next periodic heartbeat.
	beat := func() (appends []*raftpb.Message) {
		for range r.options.HeartbeatTicks {
			r.Tick()
		}
		for _, m := range flush(r) {
			require.NotEqual(t, raftpb.MessageType_MESSAGE_TYPE_APPEND, m.Type)
		}
		r.Step(&raftpb.Message{Type: raftpb.MessageType_MESSAGE_TYPE_HEARTBEAT_REPLY, From: 2, To: 1, Term: r.Term()})
		for _, m := range flush(r) {
			if m.To == 2 {
				appends = append(appends, m)
			}
		}
		return appends
	}
	propose := func() uint64 {
		index, err := r.Propose([]byte("x"))
		require.NoError(t, err)
		flush(r)
		return index
	}
	for range 5 {
		index := propose()
		require.Empty(t, beat(), "the entry is younger than the heartbeat interval")
		acknowledge(r, 2, index)
	}
	propose()
	require.Empty(t, beat())
	require.Len(t, beat(), 1, "the replica shows by a rejection what it lacks")
}
