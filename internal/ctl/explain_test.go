package ctl

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestExplain_ReadsLogFiles(t *testing.T) {
	log := filepath.Join(t.TempDir(), "vm.log")
	line := `{"ts":"2026-09-23T03:21:22.100Z","msg":"a request was answered by this VM","vm":"edge-1","event":2301,"request":"r1","age":12,"reason":"over_rate"}`
	require.NoError(t, os.WriteFile(log, []byte(line+"\n"), 0o600))
	for _, c := range []struct {
		args     []string
		code     int
		out, err string
	}{
		{[]string{"explain", "r1", log}, ExitOK, "reason=over_rate", ""},
		{[]string{"explain", "r2", log}, ExitFailed, "no line about request r2", ""},
		{[]string{"explain", "r1", log + "x"}, ExitUsage, "", "no such file"},
		{[]string{"explain"}, ExitUsage, "", "REQUEST-ID"},
	} {
		var out, errOut bytes.Buffer
		code := Run(context.Background(), c.args, Streams{Out: &out, Err: &errOut})
		require.Equal(t, c.code, code, c.args)
		require.Contains(t, out.String(), c.out)
		require.Contains(t, errOut.String(), c.err)
	}
}
