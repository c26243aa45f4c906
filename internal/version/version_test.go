package version

import (
	"runtime/debug"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestDescribe(t *testing.T) {
	require.Equal(t, Number, describe(nil))
	require.Equal(t, Number+" (0123456789ab+changes)", describe([]debug.BuildSetting{
		{Key: "vcs.revision", Value: "0123456789abcdef"}, {Key: "vcs.modified", Value: "true"},
	}))
}
