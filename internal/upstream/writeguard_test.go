package upstream

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

func TestCaller_FirstByteNeedsLeave(t *testing.T) {
	address, begun := rawServer(t, func(c net.Conn) {
		_, _ = c.Read(make([]byte, 4096))
		_ = c.Close()
	})
	asked := 0
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, endpoint(address, "/charge"), strings.NewReader("body"))
	require.NoError(t, err)
	_, err = NewCaller().Do(req, func() bool { asked++; return false })
	require.ErrorIs(t, err, ErrTooLate)
	requireWritten(t, err, false)
	require.Equal(t, 1, asked)
	require.Zero(t, begun.Load())
}

func TestFirstWrite_NothingGoesAfterAFailure(t *testing.T) {
	var f firstWrite
	require.False(t, f.failed(errors.New("the call was cancelled")).Written)
	require.False(t, f.allow(), "the caller was told that nothing was written")
	var g firstWrite
	require.True(t, g.allow())
	require.True(t, g.failed(errors.New("reset")).Written)
}
