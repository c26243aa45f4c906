package loopback

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestAddress_IsUnique(t *testing.T) {
	seen := map[string]bool{}
	for range 100 {
		address, err := Address()
		require.NoError(t, err)
		require.False(t, seen[address])
		seen[address] = true
	}
}

func TestAddress_IsNoOutgoingSourceAddress(t *testing.T) {
	address, err := Address()
	require.NoError(t, err)
	l, err := net.Listen("tcp", address)
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	listening := l.Addr().(*net.TCPAddr)
	local := c.LocalAddr().(*net.TCPAddr)
	require.False(t, local.IP.Equal(listening.IP), "an outgoing connection must not have a listener's IP address")
}

func TestIP_IsUniquePerPID(t *testing.T) {
	seen := map[string]bool{}
	for pid := 0; pid <= maxPID; pid += 4099 {
		ip := IP(pid)
		require.True(t, ip.IsLoopback())
		require.False(t, seen[ip.String()])
		seen[ip.String()] = true
	}
}
