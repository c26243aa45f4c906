package peer

import (
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestTunnel_EndlessUpstreamsFillNoMemory guards against a VM that runs out of memory, and with it the requests of all its
// callers, since upstreams send bytes without end through tunnels and nobody reads them: the callers pause.
func TestTunnel_EndlessUpstreamsFillNoMemory(t *testing.T) {
	const (
		tunnels = 12
		// maxTaken is what may lie in the buffers of both VMs' connections and of the kernel, for each tunnel.
		maxTaken  = 12 << 20
		maxMemory = 32 << 20 // of both VMs, for all tunnels
	)
	f := newTunnelFixture(t)
	f.a.AddPeer(f.b, f.b)
	runtime.GC()
	var before runtime.MemStats
	runtime.ReadMemStats(&before)
	taken := make(chan int, tunnels)
	var near []*Tunnel
	for range tunnels {
		n, far := f.open(t)
		near = append(near, n)
		require.NoError(t, far.SetWriteDeadline(time.Now().Add(1500*time.Millisecond)))
		go func() {
			total, part := 0, make([]byte, 64<<10)
			for {
				n, err := far.Write(part)
				total += n
				if err != nil {
					break
				}
			}
			taken <- total
		}()
	}
	time.Sleep(time.Second)
	var during runtime.MemStats
	runtime.ReadMemStats(&during)
	require.Less(t, int64(during.HeapInuse)-int64(before.HeapInuse), int64(maxMemory))
	for range tunnels {
		require.Less(t, <-taken, maxTaken, "the tunnel goes on taking bytes that nobody reads")
	}
	// Others are served meanwhile, and a closed tunnel ends at the upstream.
	for _, n := range near {
		require.NoError(t, n.Close())
	}
	other, far := f.open(t)
	_, err := far.Write([]byte("answer"))
	require.NoError(t, err)
	buffer := make([]byte, 6)
	_, err = other.Read(buffer)
	require.NoError(t, err)
	require.Equal(t, "answer", string(buffer))
}
