package peer

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRelay_HalfCut cuts the link between two VMs that both reach a third.
func TestRelay_HalfCut(t *testing.T) {
	la, lb, lc := listen(t), listen(t), listen(t)
	peers := map[string]string{"a": la.Addr().String(), "b": lb.Addr().String(), "c": lc.Addr().String()}
	nodes := map[string]*Node{}
	relays := map[string]*Relay{}
	var messages, calls atomic.Int64
	for name := range peers {
		n := New(Options{VM: name, Peers: peers})
		nodes[name], relays[name] = n, NewRelay(n)
		n.HandleMessages("count", func(from string, payload []byte) {
			if from == "a" && string(payload) == "m" && name == "b" {
				messages.Add(1)
			}
		})
		n.HandleCalls("echo", func(_ context.Context, from string, p []byte) ([]byte, error) {
			calls.Add(1)
			return []byte(name + " hears " + from + string(p)), nil
		})
		n.HandleCalls("refuse", func(context.Context, string, []byte) ([]byte, error) {
			return nil, &RemoteError{Code: "nope"}
		})
	}
	serveNode(t, nodes["a"], la)
	serveNode(t, nodes["b"], lb)
	serveNode(t, nodes["c"], lc)
	up := func(from, to string) bool { return nodes[from].Connected(to) }
	require.Eventually(t, func() bool { return up("a", "c") && up("c", "b") && up("a", "b") }, waitLimit, 10*time.Millisecond)
	nodes["a"].Cut([]string{"b"})
	nodes["b"].Cut([]string{"a"})
	require.Eventually(t, func() bool { return !up("a", "b") }, waitLimit, 10*time.Millisecond)

	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	result, err := relays["a"].Call(ctx, "b", "echo", []byte("!"))
	require.NoError(t, err)
	require.Equal(t, "b hears a!", string(result))
	require.Equal(t, int64(1), calls.Load(), "it ran once")
	_, err = relays["a"].Call(ctx, "b", "refuse", nil)
	var remote *RemoteError
	require.ErrorAs(t, err, &remote)
	require.Equal(t, "nope", remote.Code)
	relays["a"].Send("b", "count", []byte("m"))
	require.Eventually(t, func() bool { return messages.Load() == 1 }, waitLimit, 10*time.Millisecond)

	nodes["c"].Cut([]string{"b"})
	nodes["b"].Cut([]string{"a", "c"})
	require.Eventually(t, func() bool { return !up("c", "b") }, waitLimit, 10*time.Millisecond)
	_, err = relays["a"].Call(ctx, "b", "echo", nil)
	require.Error(t, err)
	require.True(t, surelyNotArrived(err), "%v", err)
	require.Equal(t, int64(1), calls.Load())
}
