package node

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRestoreReleased_KeepsWhatWasAcknowledged guards against a replica that is opened again, after it was released by mistake,
// without the entries that it had acknowledged.
func TestRestoreReleased_KeepsWhatWasAcknowledged(t *testing.T) {
	path := filepath.Join(t.TempDir(), "group-2.wal")
	read := func() string {
		data, err := os.ReadFile(path)
		require.NoError(t, err)
		return string(data)
	}
	require.NoError(t, restoreReleased(path))
	require.NoFileExists(t, path, "it was never released")

	require.NoError(t, os.WriteFile(path+releasedSuffix, []byte("acknowledged"), 0o600))
	require.True(t, isReleased(path))
	require.NoError(t, restoreReleased(path))
	require.False(t, isReleased(path))
	require.Equal(t, "acknowledged", read())

	require.NoError(t, os.WriteFile(path+releasedSuffix, []byte("before a loss of power"), 0o600))
	require.NoError(t, restoreReleased(path))
	require.False(t, isReleased(path))
	require.Equal(t, "acknowledged", read(), "the file in use is the newer one")
}

func TestAssignments_Observe(t *testing.T) {
	a := assignments{}
	require.False(t, a.observe(10*time.Second, 0, true))
	require.False(t, a.observe(10*time.Second+assignmentDelay-1, 0, true))
	require.True(t, a.observe(10*time.Second+assignmentDelay, 0, true))
	require.False(t, a.observe(14*time.Second, 0, false), "a change starts anew")
	require.False(t, a.observe(15*time.Second, 0, true))
	require.False(t, a.observe(16*time.Second, 1, true), "groups are apart")
}
