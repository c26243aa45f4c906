package wal

import (
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"egretramp/internal/raft"
	"egretramp/internal/raft/raftpb"
	"egretramp/internal/raft/storage"
)

var identity = &raftpb.Identity{Group: 2, Vm: "a", Replica: 7}

func conf() *raftpb.ConfState {
	return &raftpb.ConfState{Members: []*raftpb.Member{{Id: 7, Vm: "a"}}}
}

func entries(from, to, term uint64) []*raftpb.Entry {
	var out []*raftpb.Entry
	for i := from; i <= to; i++ {
		out = append(out, &raftpb.Entry{Index: i, Term: term, Data: fmt.Appendf(nil, "entry %d of term %d", i, term)})
	}
	return out
}

// openFormed creates a file and binds it to a formation.
func openFormed(t require.TestingT, folder string) *Store {
	s, state, err := Open(folder, identity)
	require.NoError(t, err)
	require.Nil(t, state.Hard)
	require.NoError(t, s.Save(storage.Batch{
		Formation: 5, Hard: &raftpb.HardState{Term: 1, Commit: 1}, Snapshot: &raftpb.Snapshot{Index: 1, Term: 1, Conf: conf()},
		ReplaceLog: true, BaseIndex: 1, BaseTerm: 1,
	}))
	return s
}

func reopen(t require.TestingT, folder string) (*Store, raft.State) {
	s, state, err := Open(folder, &raftpb.Identity{Group: 2, Vm: "a", Replica: 99})
	require.NoError(t, err)
	require.Equal(t, uint64(7), s.Identity().Replica, "the identity in the file takes precedence")
	return s, state
}

func TestStore_ReopensSavedState(t *testing.T) {
	folder := t.TempDir()
	s := openFormed(t, folder)
	require.NoError(t, s.Save(storage.Batch{Hard: &raftpb.HardState{Term: 2, Vote: 7, Commit: 1}, Entries: entries(2, 6, 2)}))
	require.NoError(t, s.Save(storage.Batch{Hard: &raftpb.HardState{Term: 3, Commit: 3}, Entries: entries(4, 5, 3)}))
	require.NoError(t, s.Close())

	s, state := reopen(t, folder)
	require.Equal(t, uint64(5), s.Identity().Formation)
	require.True(t, proto.Equal(&raftpb.HardState{Term: 3, Commit: 3}, state.Hard))
	want := append(entries(2, 3, 2), entries(4, 5, 3)...)
	requireEntries(t, want, state.Entries)

	snapshot := &raftpb.Snapshot{Index: 4, Term: 3, Conf: conf(), Data: make([]byte, 3*flushBytes)}
	require.NoError(t, s.Save(storage.Batch{Hard: &raftpb.HardState{Term: 3, Commit: 4}, Snapshot: snapshot, BaseIndex: 3, BaseTerm: 2}))
	require.NoError(t, s.Save(storage.Batch{Entries: entries(6, 7, 3)}))
	require.NoError(t, s.Close())
	_, state = reopen(t, folder)
	require.True(t, proto.Equal(snapshot, state.Snapshot))
	require.Equal(t, uint64(3), state.Bounds.BaseIndex)
	requireEntries(t, entries(4, 7, 3), state.Entries)
}

func requireEntries(t require.TestingT, want, got []*raftpb.Entry) {
	require.Len(t, got, len(want))
	for i := range want {
		require.True(t, proto.Equal(want[i], got[i]), "entry %d: %v", i, got[i])
	}
}

// TestStore_DropsOnlyTruncatedBatch truncates the file at each offset: all earlier batches must be
// recovered, and nothing of the truncated one.
func TestStore_DropsOnlyTruncatedBatch(t *testing.T) {
	folder := t.TempDir()
	s := openFormed(t, folder)
	var ends []int64
	for i := uint64(2); i < 12; i += 2 {
		require.NoError(t, s.Save(storage.Batch{Hard: &raftpb.HardState{Term: 1, Commit: i - 1}, Entries: entries(i, i+1, 1)}))
		ends = append(ends, s.size)
	}
	require.NoError(t, s.Close())
	whole, err := os.ReadFile(Path(folder, 2))
	require.NoError(t, err)
	for cut := ends[0]; cut <= int64(len(whole)); cut++ {
		require.NoError(t, os.WriteFile(Path(folder, 2), whole[:cut], 0o600))
		s, state := reopen(t, folder)
		complete := 0
		for _, end := range ends {
			if end <= cut {
				complete++
			}
		}
		requireEntries(t, entries(2, uint64(2*complete+1), 1), state.Entries)
		next := uint64(2*complete + 2)
		require.NoError(t, s.Save(storage.Batch{Entries: entries(next, next, 1)}), "save after truncation")
		require.NoError(t, s.Close())
		_, state = reopen(t, folder)
		require.Len(t, state.Entries, 2*complete+1)
	}
}

// TestStore_RejectsCorruption changes a byte before the last batch: synced data must never be
// dropped silently.
func TestStore_RejectsCorruption(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		folder, err := os.MkdirTemp(t.TempDir(), "")
		require.NoError(rt, err)
		s := openFormed(rt, folder)
		last := int64(0)
		for i := uint64(2); i < 8; i++ {
			last = s.size
			require.NoError(rt, s.Save(storage.Batch{Hard: &raftpb.HardState{Term: 1, Commit: i - 1}, Entries: entries(i, i, 1)}))
		}
		require.NoError(rt, s.Close())
		data, err := os.ReadFile(s.Path())
		require.NoError(rt, err)
		at := rapid.Int64Range(0, last-1).Draw(rt, "at")
		data[at] ^= byte(rapid.IntRange(1, 255).Draw(rt, "flip"))
		require.NoError(rt, os.WriteFile(s.Path(), data, 0o600))
		_, _, err = Open(folder, identity)
		var damaged *storage.DamagedError
		require.ErrorAs(rt, err, &damaged, "byte %d of %d changed", at, last)
	})
}

func TestStore_RejectsFileOfAnotherVM(t *testing.T) {
	folder := t.TempDir()
	require.NoError(t, openFormed(t, folder).Close())
	_, _, err := Open(folder, &raftpb.Identity{Group: 2, Vm: "b", Replica: 1})
	require.ErrorContains(t, err, `belongs to group 2 of VM "a"`)
}
