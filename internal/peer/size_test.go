package peer

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestNode_LargePayloads guards against connections that are closed, together with everything under way on them, since a
// message is larger than the receiver's buffer.
func TestNode_LargePayloads(t *testing.T) {
	la, lb := listen(t), listen(t)
	peers := map[string]string{"a": la.Addr().String(), "b": lb.Addr().String()}
	a, b := New(Options{VM: "a", Peers: peers}), New(Options{VM: "b", Peers: peers})
	received := make(chan int, 1)
	b.HandleMessages("data", func(_ string, payload []byte) { received <- len(payload) })
	b.HandleCalls("echo", func(_ context.Context, _ string, p []byte) ([]byte, error) { return p, nil })
	b.HandleCalls("double", func(_ context.Context, _ string, p []byte) ([]byte, error) { return append(p, p...), nil })
	serveNode(t, a, la)
	serveNode(t, b, lb)
	require.Eventually(t, func() bool { return a.Connected("b") && b.Connected("a") }, waitTimeout, 10*time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	for _, size := range []int{4 << 20, 6 << 20, MaxPayloadBytes} {
		payload := make([]byte, size)
		a.Send("b", "data", payload)
		select {
		case n := <-received:
			require.Equal(t, size, n)
		case <-ctx.Done():
			t.Fatalf("a message of %d bytes was lost", size)
		}
		result, err := a.Call(ctx, "b", "echo", payload)
		require.NoError(t, err, "a call with %d bytes", size)
		require.Len(t, result, size)
	}
	tooLarge := make([]byte, MaxPayloadBytes+1)
	_, err := a.Call(ctx, "b", "echo", tooLarge)
	var unreachable *UnreachableError
	require.ErrorAs(t, err, &unreachable, "certainly not delivered")
	_, err = a.Call(ctx, "b", "double", tooLarge[:MaxPayloadBytes])
	var remote *RemoteError
	require.ErrorAs(t, err, &remote)
	require.Equal(t, codeTooLarge, remote.Code)
	dropped := a.Stats().MessagesDropped.Load()
	a.Send("b", "data", tooLarge)
	require.Equal(t, dropped+1, a.Stats().MessagesDropped.Load())
	require.True(t, a.Connected("b"), "the connection is kept")
	a.Send("b", "data", []byte("small"))
	require.Equal(t, 5, <-received)
}
