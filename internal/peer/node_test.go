package peer

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"
)

const waitLimit = 20 * time.Second

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return l
}

func serveNode(t *testing.T, n *Node, l net.Listener) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { _ = n.Serve(ctx, l) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
}

// silentProxy forwards connections until silenced; those open at that moment then pass
// nothing more, without being closed, while new ones work.
type silentProxy struct {
	target   string
	listener net.Listener
	mu       sync.Mutex
	epoch    atomic.Int64
	conns    []net.Conn
}

func newSilentProxy(t *testing.T, target string) *silentProxy {
	p := &silentProxy{target: target, listener: listen(t)}
	go p.accept()
	t.Cleanup(func() {
		_ = p.listener.Close()
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, c := range p.conns {
			_ = c.Close()
		}
	})
	return p
}

func (p *silentProxy) silence() { p.epoch.Add(1) }

func (p *silentProxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		p.mu.Lock()
		p.conns = append(p.conns, in, out)
		p.mu.Unlock()
		born := p.epoch.Load()
		go p.copy(in, out, born)
		go p.copy(out, in, born)
	}
}

func (p *silentProxy) copy(dst, src net.Conn, born int64) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		if err != nil {
			if err == io.EOF && p.epoch.Load() == born {
				_ = dst.Close()
			}
			return
		}
		if p.epoch.Load() != born {
			continue
		}
		_, _ = dst.Write(buf[:n])
	}
}

func TestNode_MessagesAndCalls(t *testing.T) {
	la, lb := listen(t), listen(t)
	peers := map[string]string{"a": la.Addr().String(), "b": lb.Addr().String()}
	a, b := New(Options{VM: "a", Peers: peers}), New(Options{VM: "b", Peers: peers})
	var got []string
	done := make(chan struct{})
	b.HandleMessages("count", func(from string, payload []byte) {
		got = append(got, from+string(payload))
		if len(got) == 100 {
			close(done)
		}
	})
	b.HandleCalls("echo", func(_ context.Context, from string, payload []byte) ([]byte, error) {
		return append([]byte(from), payload...), nil
	})
	b.HandleCalls("refuse", func(context.Context, string, []byte) ([]byte, error) {
		return nil, &RemoteError{Code: "nope", Message: "refused"}
	})
	serveNode(t, a, la)
	serveNode(t, b, lb)

	for i := range 100 {
		a.Send("b", "count", fmt.Appendf(nil, "%d", i))
	}
	select {
	case <-done:
	case <-time.After(waitLimit):
		t.Fatal("messages did not arrive")
	}
	for i, m := range got {
		require.Equal(t, fmt.Sprintf("a%d", i), m)
	}

	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	result, err := a.Call(ctx, "b", "echo", []byte("hello"))
	require.NoError(t, err)
	require.Equal(t, "ahello", string(result))

	_, err = a.Call(ctx, "b", "refuse", nil)
	var remote *RemoteError
	require.ErrorAs(t, err, &remote)
	require.Equal(t, "nope", remote.Code)

	_, err = a.Call(ctx, "nowhere", "echo", nil)
	var unreachable *UnreachableError
	require.ErrorAs(t, err, &unreachable)
}

func TestNode_SilentConnectionIsReplaced(t *testing.T) {
	la, lb := listen(t), listen(t)
	proxy := newSilentProxy(t, lb.Addr().String())
	a := New(Options{VM: "a", Peers: map[string]string{"b": proxy.listener.Addr().String()}})
	b := New(Options{VM: "b"})
	var received atomic.Int64
	b.HandleMessages("count", func(string, []byte) { received.Add(1) })
	b.HandleCalls("echo", func(_ context.Context, _ string, p []byte) ([]byte, error) { return p, nil })
	serveNode(t, a, la)
	serveNode(t, b, lb)
	require.Eventually(t, func() bool { return a.Connected("b") }, waitLimit, 10*time.Millisecond)

	proxy.silence()
	require.Eventually(t, func() bool { return !a.Connected("b") }, waitLimit, 10*time.Millisecond,
		"the silence was not noticed")
	require.Eventually(t, func() bool { return a.Connected("b") }, waitLimit, 10*time.Millisecond,
		"no new connection was opened")
	before := received.Load()
	a.Send("b", "count", nil)
	require.Eventually(t, func() bool { return received.Load() > before }, waitLimit, 10*time.Millisecond)

	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	_, err := a.Call(ctx, "b", "echo", nil)
	require.NoError(t, err)
}

func TestNode_CutDropsBothWays(t *testing.T) {
	la, lb := listen(t), listen(t)
	peers := map[string]string{"a": la.Addr().String(), "b": lb.Addr().String()}
	a, b := New(Options{VM: "a", Peers: peers}), New(Options{VM: "b", Peers: peers})
	for _, n := range []*Node{a, b} {
		n.HandleCalls("echo", func(_ context.Context, _ string, p []byte) ([]byte, error) { return p, nil })
	}
	serveNode(t, a, la)
	serveNode(t, b, lb)
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	a.Cut([]string{"b"})
	_, err := a.Call(ctx, "b", "echo", nil)
	require.Error(t, err)
	_, err = b.Call(ctx, "a", "echo", nil)
	require.Error(t, err)
	a.Cut(nil)
	_, err = b.Call(ctx, "a", "echo", nil)
	require.NoError(t, err)
}
