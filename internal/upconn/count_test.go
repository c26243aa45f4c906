package upconn

import (
	"context"
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"egretramp/internal/responsecheck"
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

// TestConn_CountsBytesOfAnInvalidResponse guards against received bytes that are not counted because they are no response.
func TestConn_CountsBytesOfAnInvalidResponse(t *testing.T) {
	near, far := net.Pipe()
	p := NewPool(func(context.Context, string) (net.Conn, error) { return near, nil }, func(string) bool { return false })
	c, err := p.Get(context.Background(), "a")
	require.NoError(t, err)
	var received int64
	c.CountBytes(func(_, r int64) { received += r })
	require.NoError(t, c.ExpectResponse())
	go func() { _, _ = far.Write([]byte("HTTP/1.1 000 Odd\r\n\r\nbody")) }()
	_, err = c.Reader.ReadByte()
	require.ErrorIs(t, err, responsecheck.ErrInvalid)
	require.ErrorIs(t, c.InvalidResponse(), responsecheck.ErrInvalid)
	require.Equal(t, int64(24), received)
}
