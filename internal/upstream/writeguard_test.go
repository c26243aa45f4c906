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

func TestClient_RefusedPermissionSendsNothing(t *testing.T) {
	address, requests := rawServer(t, func(c net.Conn) {
		_, _ = c.Read(make([]byte, 4096))
		_ = c.Close()
	})
	permissionChecks := 0
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, endpoint(address, "/charge"), strings.NewReader("body"))
	require.NoError(t, err)
	_, err = NewClient().Do(req, func() bool { permissionChecks++; return false })
	require.ErrorIs(t, err, ErrSendPermissionExpired)
	requireWritten(t, err, false)
	require.Equal(t, 1, permissionChecks)
	require.Zero(t, requests.Load())
}

// TestWriteGuard_ReadErrorHidesRefusedPermission guards against an error that doesn't tell why nothing was sent, when
// the read on the closed connection reports first.
func TestWriteGuard_ReadErrorHidesRefusedPermission(t *testing.T) {
	g := writeGuard{permitted: func() bool { return false }}
	require.False(t, g.allowWrite())
	err := g.callError(net.ErrClosed)
	require.ErrorIs(t, err, ErrSendPermissionExpired)
	require.False(t, err.Written)
}

func TestWriteGuard_NoWriteAfterFailure(t *testing.T) {
	var f writeGuard
	require.False(t, f.callError(errors.New("the call was cancelled")).Written)
	require.False(t, f.allowWrite(), "the error reported that nothing was written")
	var g writeGuard
	require.True(t, g.allowWrite())
	require.True(t, g.callError(errors.New("reset")).Written)
}
