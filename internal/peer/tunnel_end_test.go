package peer

import (
	"context"
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"egretramp/internal/connend/connendtest"
)

// TestTunnel_ResetThatAWriteTookLooksOrderly guards against a part of a response that looks whole because the other VM's write, which
// failed, took the upstream's reset.
func TestTunnel_ResetThatAWriteTookLooksOrderly(t *testing.T) {
	for _, part := range []string{"", "part"} {
		f := newTunnelFixture(t)
		f.nodeB.HandleTunnels(func(ctx context.Context, _, address string) (net.Conn, error) {
			c, err := connendtest.Dial(ctx, address)
			if err != nil {
				return nil, err
			}
			return connendtest.NewConn(c), nil
		})
		near, far := f.open(t)
		go func() {
			_, _ = io.WriteString(far, part)
			_ = far.SetLinger(0)
			_ = far.Close()
		}()
		go func() { _, _ = io.WriteString(near, "POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\nbody") }()
		got, err := io.ReadAll(near)
		require.Equal(t, part, string(got))
		var remote *RemoteError
		require.ErrorAs(t, err, &remote)
		require.Equal(t, codeTunnelReset, remote.Code)
	}
}
