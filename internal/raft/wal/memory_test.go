package wal

import (
	"bytes"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"egretramp/internal/raft/raftpb"
	"egretramp/internal/raft/storage"
)

// heapAlloc returns the live heap in bytes.
func heapAlloc() uint64 {
	runtime.GC()
	runtime.GC() // frees what finalizers of the first one released
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// TestStore_OpenKeepsOneCopyOfTheLog guards against a store VM whose memory doubles when it restarts: the state that
// Open returns kept the whole file alive besides its entries, so the garbage collector ran without pause at the memory
// limit and the VM's groups lost their leaders, for as long as the load lasted.
func TestStore_OpenKeepsOneCopyOfTheLog(t *testing.T) {
	const (
		count = 1000
		size  = 8 << 10
	)
	folder := t.TempDir()
	s := openFormed(t, folder)
	for from := uint64(2); from < 2+count; from += 100 {
		var batch []*raftpb.Entry
		for i := from; i < from+100; i++ {
			batch = append(batch, &raftpb.Entry{Index: i, Term: 1, Data: bytes.Repeat([]byte{byte(i)}, size)})
		}
		require.NoError(t, s.Save(storage.Batch{Hard: &raftpb.HardState{Term: 1, Commit: 1}, Entries: batch}))
	}
	require.NoError(t, s.Close())
	s = nil

	before := heapAlloc()
	reopened, state := reopen(t, folder)
	grown := int64(heapAlloc()) - int64(before)
	require.Len(t, state.Entries, count)
	require.NoError(t, reopened.Close())
	require.Less(t, grown, int64(count*size*3/2))
	runtime.KeepAlive(state)
}
