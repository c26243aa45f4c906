package upconn

import (
	"context"
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestConn_CountsBytes guards against bytes of an attempt that are not counted, or that are counted for an earlier attempt
// on the same connection.
func TestConn_CountsBytes(t *testing.T) {
	near, far := net.Pipe()
	p := NewPool(func(context.Context, string) (net.Conn, error) { return near, nil }, func(string) bool { return false })
	c, err := p.Get(context.Background(), "a")
	require.NoError(t, err)
	for range 2 {
		var sent, received int64
		c.CountBytes(func(s, r int64) { sent, received = sent+s, received+r })
		go func() { _, _ = io.ReadFull(far, make([]byte, 3)); _, _ = far.Write([]byte("answer")) }()
		_, err = c.Write([]byte("abc"))
		require.NoError(t, err)
		_, err = io.ReadFull(c.Reader, make([]byte, 6))
		require.NoError(t, err)
		require.Equal(t, []int64{3, 6}, []int64{sent, received})
	}
}
