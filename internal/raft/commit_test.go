package raft

import (
	"testing"

	"github.com/stretchr/testify/require"

	"egretramp/internal/raft/raftpb"
)

// TestRaft_DurableCommitIsSavedWithCommittedEntries checks that with DurableCommit the state after a
// restart covers all entries returned for applying, also if only the commit index has changed.
func TestRaft_DurableCommitIsSavedWithCommittedEntries(t *testing.T) {
	r := newReplica(t, 1)
	r.options.DurableCommit = true
	r.Step(&raftpb.Message{
		Type: raftpb.MessageType_MESSAGE_TYPE_APPEND, From: 2, To: 1, Term: 2, Index: 1, LogTerm: 1, Commit: 1,
		Entries: []*raftpb.Entry{{Index: 2, Term: 2, Type: raftpb.EntryType_ENTRY_TYPE_COMMAND}},
	})
	flush(r)
	r.Step(&raftpb.Message{
		Type: raftpb.MessageType_MESSAGE_TYPE_APPEND, From: 2, To: 1, Term: 2, Index: 2, LogTerm: 2, Commit: 2,
	})
	rd := r.Ready()
	require.Len(t, rd.Committed, 1)
	require.NotNil(t, rd.HardState, "the commit index was not written")
	require.Equal(t, uint64(2), rd.HardState.Commit)
}
