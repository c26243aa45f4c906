package daemon

import (
	"os"
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestOperatingPage_ListsCounters checks that the operations page lists every counter. It reads the names
// from the source, so that a new counter can't be missed.
func TestOperatingPage_ListsCounters(t *testing.T) {
	source, err := os.ReadFile("vars.go")
	require.NoError(t, err)
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	require.NoError(t, err)
	names := regexp.MustCompile(`"([a-z]+_[a-z_]+)":`).FindAllSubmatch(source, -1)
	require.NotEmpty(t, names)
	for _, name := range names {
		require.Contains(t, string(page), "`"+string(name[1])+"`")
	}
}
