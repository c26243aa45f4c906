package peer

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

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

// TestTunnel_OrderlyEndDuringAnUploadLooksBroken guards against whole responses that are cut off because their upstream takes no more of
// the request: it ends in order and reads no further, or resets the connection after that.
func TestTunnel_OrderlyEndDuringAnUploadLooksBroken(t *testing.T) {
	whole := strings.Repeat("whole", 20000)
	f := newTunnelFixture(t)
	for name, end := range map[string]func(far *net.TCPConn){
		"reads nothing": func(far *net.TCPConn) { _ = far.CloseWrite() },
		"reads all":     func(far *net.TCPConn) { _ = far.CloseWrite(); go func() { _, _ = io.Copy(io.Discard, far) }() },
		"resets after": func(far *net.TCPConn) {
			_ = far.CloseWrite()
			time.Sleep(time.Millisecond) // a reset discards what isn't sent yet
			_ = far.SetLinger(0)
			_ = far.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			for i := range 100 {
				near, far := f.open(t)
				go func() {
					for {
						if _, err := near.Write(make([]byte, 64<<10)); err != nil {
							return
						}
					}
				}()
				go func() {
					_, _ = io.WriteString(far, whole)
					end(far)
				}()
				time.Sleep(time.Duration(i%5) * time.Millisecond)
				got, err := io.ReadAll(near)
				require.NoError(t, err, "after %d of %d bytes in run %d", len(got), len(whole), i)
				require.Equal(t, whole, string(got))
				require.NoError(t, near.Close())
			}
		})
	}
}
