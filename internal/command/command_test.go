package command

import (
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

func TestMain_ExitCodes(t *testing.T) {
	failure := errors.New("failed")
	for _, c := range []struct {
		args []string
		err  error
		runs bool
		code int
	}{
		{[]string{"--seed", "3"}, nil, true, ExitOK},
		{[]string{"--seed", "3"}, failure, true, ExitFailed},
		{[]string{"--seed", "x"}, nil, false, ExitUsage},
		{[]string{"--seed", "3", "more"}, nil, false, ExitUsage},
		{[]string{"--help"}, nil, false, ExitOK},
	} {
		var o struct {
			Seed int64 `long:"seed"`
		}
		ran := false
		code := Main(c.args, &o, func(ctx context.Context) error {
			ran = true
			require.NoError(t, ctx.Err())
			require.Equal(t, int64(3), o.Seed)
			return c.err
		})
		require.Equal(t, c.code, code, c.args)
		require.Equal(t, c.runs, ran, c.args)
	}
}

func TestFolder(t *testing.T) {
	given, err := Folder("/given")
	require.NoError(t, err)
	require.Equal(t, "/given", given)
	own, err := Folder("")
	require.NoError(t, err)
	require.Equal(t, filepath.Dir(os.Args[0]), own)
}
