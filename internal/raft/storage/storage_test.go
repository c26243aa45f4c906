package storage

import (
	"errors"
	"flag"
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"egretramp/internal/raft"
	"egretramp/internal/raft/raftpb"
)

var corruptCopies = flag.Int("storage.flips", 600, "number of damaged copies that the corruption test tries")

func testIdentity(id uint64) *raftpb.Identity {
	return &raftpb.Identity{Group: 1, Replica: id, Vm: "a"}
}

func entries(term, first, last uint64) []*raftpb.Entry {
	var out []*raftpb.Entry
	for i := first; i <= last; i++ {
		out = append(out, &raftpb.Entry{Term: term, Index: i, Data: fmt.Appendf(nil, "command %d of term %d", i, term)})
	}
	return out
}

// fillStore saves a formation, 300 entries, a replacement of the entries from 290 on, and a snapshot
// that deletes the entries up to 150.
func fillStore(t *testing.T, s *Store) {
	conf := &raftpb.ConfState{Members: []*raftpb.Member{{Id: 7, Vm: "a"}}}
	require.NoError(t, s.Save(Batch{
		Formation: 9, Hard: &raftpb.HardState{Term: 1, Commit: 1}, ReplaceLog: true,
		Snapshot: &raftpb.Snapshot{Index: 1, Term: 1, Conf: conf}, BaseIndex: 1, BaseTerm: 1,
	}))
	for i := uint64(2); i <= 300; i += 10 {
		require.NoError(t, s.Save(Batch{Entries: entries(1, i, min(i+9, 300))}))
	}
	require.NoError(t, s.Save(Batch{Hard: &raftpb.HardState{Term: 2, Vote: 7, Commit: 250}, Entries: entries(2, 290, 310)}))
	snapshot := &raftpb.Snapshot{Index: 200, Term: 1, Conf: conf, Data: make([]byte, 9000)}
	require.NoError(t, s.Save(Batch{Snapshot: snapshot, BaseIndex: 150, BaseTerm: 1}))
}

func describe(state raft.State) string {
	text := fmt.Sprint(state.Hard, state.Bounds, state.Snapshot)
	for _, e := range state.Entries {
		text += fmt.Sprint(e)
	}
	return text
}

func TestStore_KeepsStateAcrossRestarts(t *testing.T) {
	folder := t.TempDir()
	s, state, err := Open(folder, testIdentity(7))
	require.NoError(t, err)
	require.Nil(t, state.Hard)
	fillStore(t, s)
	_, _, err = Open(folder, testIdentity(8))
	require.ErrorContains(t, err, "in use by another process")
	require.NoError(t, s.Close())

	for range 3 {
		s, state, err = Open(folder, testIdentity(8))
		require.NoError(t, err)
		require.Equal(t, uint64(7), s.Identity().Replica)
		require.Equal(t, uint64(9), s.Identity().Formation)
		require.True(t, proto.Equal(&raftpb.HardState{Term: 2, Vote: 7, Commit: 250}, state.Hard))
		require.Len(t, state.Entries, 160)
		require.Equal(t, uint64(1), state.Entries[138].Term)
		require.Equal(t, uint64(2), state.Entries[139].Term)
		require.Equal(t, uint64(200), state.Snapshot.Index)
		require.Error(t, (&Store{db: s.db, identity: s.identity, bounds: s.bounds}).Save(Batch{Formation: 10}), "binding to a second formation")
		require.NoError(t, s.Close())
	}
	_, _, err = Open(folder, &raftpb.Identity{Group: 1, Vm: "b", Replica: 3})
	require.ErrorContains(t, err, `belongs to group 1 of VM "a"`)
}

func TestStore_RejectsGap(t *testing.T) {
	s, _, err := Open(t.TempDir(), testIdentity(7))
	require.NoError(t, err)
	fillStore(t, s)
	require.ErrorContains(t, s.Save(Batch{Entries: entries(2, 312, 312)}), "doesn't follow the log")
	require.Error(t, s.Save(Batch{Entries: entries(2, 311, 311)}), "Save must keep failing after an error")
	require.NoError(t, s.Close())
}

// TestStore_DetectsCorruption damages copies of a file in one place each: loading a copy must return
// the identical state or an error that names the file.
func TestStore_DetectsCorruption(t *testing.T) {
	folder := t.TempDir()
	s, _, err := Open(folder, testIdentity(7))
	require.NoError(t, err)
	fillStore(t, s)
	require.NoError(t, s.Close())
	path := Path(folder, 1)
	_, state, err := load(path)
	require.NoError(t, err)
	want := describe(state)
	original, err := os.ReadFile(path)
	require.NoError(t, err)

	random := rand.New(rand.NewSource(1))
	rejected := 0
	for i := range *corruptCopies {
		damaged := append([]byte(nil), original...)
		switch at := random.Intn(len(original)); {
		case i%10 == 0:
			damaged = damaged[:at]
		case i%10 == 1:
			clear(damaged[at:min(at+4096, len(damaged))])
		case i%10 < 6:
			damaged[random.Intn(4096*2)] ^= 1 << random.Intn(8)
		default:
			damaged[at] ^= 1 << random.Intn(8)
		}
		copyPath := filepath.Join(folder, "copy.db")
		require.NoError(t, os.WriteFile(copyPath, damaged, 0o600))
		identity, state, err := load(copyPath)
		if err != nil {
			var damage *DamagedError
			require.True(t, errors.As(err, &damage), "%v", err)
			require.ErrorContains(t, err, "copy.db")
			rejected++
			continue
		}
		require.Equal(t, uint64(7), identity.Replica)
		require.Equal(t, want, describe(state), "copy %d", i)
	}
	t.Logf("%d of %d damaged copies rejected, the others contain the whole state", rejected, *corruptCopies)
	require.NotZero(t, rejected)
}

func TestCheckState_RejectsInconsistentState(t *testing.T) {
	valid := func() raft.State {
		return raft.State{
			Hard: &raftpb.HardState{Term: 2, Commit: 5}, Snapshot: &raftpb.Snapshot{Index: 4, Term: 1},
			Bounds: &raftpb.LogBounds{BaseIndex: 3, BaseTerm: 1, LastIndex: 8}, Entries: entries(2, 4, 8),
		}
	}
	require.NoError(t, raft.CheckState(valid()))
	for want, damage := range map[string]func(*raft.State){
		"has a gap":            func(s *raft.State) { s.Entries = append(s.Entries[:1:1], s.Entries[2:]...) },
		"cut short":            func(s *raft.State) { s.Entries = s.Entries[:3] },
		"behind the snapshot":  func(s *raft.State) { s.Hard.Commit = 3 },
		"before the commit":    func(s *raft.State) { s.Hard.Commit = 9 },
		"behind the log":       func(s *raft.State) { s.Hard.Term = 1 },
		"gap to the snapshot":  func(s *raft.State) { s.Snapshot.Index = 2 },
		"term falls from 2 to": func(s *raft.State) { s.Entries[2].Term = 1 },
	} {
		state := valid()
		damage(&state)
		require.ErrorContains(t, raft.CheckState(state), want)
	}
}

func FuzzDecodeRecord(f *testing.F) {
	good, err := encodeRecord(indexKey(3), &raftpb.Entry{Term: 1, Index: 3, Data: []byte("x")})
	require.NoError(f, err)
	f.Add(good)
	f.Add([]byte{1, 2, 3})
	f.Fuzz(func(t *testing.T, record []byte) {
		e := &raftpb.Entry{}
		if decodeRecord(indexKey(3), record, e) != nil {
			return
		}
		require.Error(t, decodeRecord(indexKey(4), record, &raftpb.Entry{}), "the record of another key")
	})
}

// TestStore_BatchDoesNotRewriteSnapshot limits what a small batch writes while a large snapshot is
// stored: the snapshot must not be rewritten with every batch.
func TestStore_BatchDoesNotRewriteSnapshot(t *testing.T) {
	s, _, err := Open(t.TempDir(), testIdentity(7))
	require.NoError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	fillStore(t, s)
	large := &raftpb.Snapshot{Index: 300, Term: 2, Conf: &raftpb.ConfState{Members: []*raftpb.Member{{Id: 7, Vm: "a"}}}, Data: make([]byte, 4<<20)}
	require.NoError(t, s.Save(Batch{Snapshot: large, BaseIndex: 250, BaseTerm: 1}))
	written := func() int64 {
		stats := s.db.Stats().TxStats
		return stats.GetPageAlloc()
	}
	before := written()
	require.NoError(t, s.Save(Batch{Hard: &raftpb.HardState{Term: 2, Vote: 7, Commit: 310}, Entries: entries(2, 311, 311)}))
	require.Less(t, written()-before, int64(256<<10), "bytes written by a batch of one entry")
}
