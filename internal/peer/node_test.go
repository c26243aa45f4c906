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

const waitTimeout = 20 * time.Second

// cutCallTimeout is the timeout of a call over a cut link.
const cutCallTimeout = 300 * time.Millisecond

func listen(t testing.TB) net.Listener {
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

// blackholeProxy forwards connections. blackhole drops all further traffic of the connections open
// at that time without closing them; connections opened later work.
type blackholeProxy struct {
	target   string
	listener net.Listener
	mu       sync.Mutex
	epoch    atomic.Int64
	conns    []net.Conn
}

func newBlackholeProxy(t *testing.T, target string) *blackholeProxy {
	p := &blackholeProxy{target: target, listener: listen(t)}
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

func (p *blackholeProxy) blackhole() { p.epoch.Add(1) }

func (p *blackholeProxy) accept() {
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
		openedEpoch := p.epoch.Load()
		go p.copy(in, out, openedEpoch)
		go p.copy(out, in, openedEpoch)
	}
}

func (p *blackholeProxy) copy(dst, src net.Conn, openedEpoch int64) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		if err != nil {
			if err == io.EOF && p.epoch.Load() == openedEpoch {
				_ = dst.Close()
			}
			return
		}
		if p.epoch.Load() != openedEpoch {
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
	case <-time.After(waitTimeout):
		t.Fatal("messages did not arrive")
	}
	for i, m := range got {
		require.Equal(t, fmt.Sprintf("a%d", i), m)
	}

	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
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

func TestNode_ReplacesUnresponsiveConnection(t *testing.T) {
	la, lb := listen(t), listen(t)
	proxy := newBlackholeProxy(t, lb.Addr().String())
	a := New(Options{VM: "a", Peers: map[string]string{"b": proxy.listener.Addr().String()}})
	b := New(Options{VM: "b"})
	var received atomic.Int64
	b.HandleMessages("count", func(string, []byte) { received.Add(1) })
	b.HandleCalls("echo", func(_ context.Context, _ string, p []byte) ([]byte, error) { return p, nil })
	serveNode(t, a, la)
	serveNode(t, b, lb)
	require.Eventually(t, func() bool { return a.Connected("b") }, waitTimeout, 10*time.Millisecond)

	proxy.blackhole()
	require.Eventually(t, func() bool { return !a.Connected("b") }, waitTimeout, 10*time.Millisecond,
		"the heartbeat timeout was not detected")
	require.Eventually(t, func() bool { return a.Connected("b") }, waitTimeout, 10*time.Millisecond,
		"no new connection was opened")
	before := received.Load()
	a.Send("b", "count", nil)
	require.Eventually(t, func() bool { return received.Load() > before }, waitTimeout, 10*time.Millisecond)

	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	_, err := a.Call(ctx, "b", "echo", nil)
	require.NoError(t, err)
}

func TestNode_CutDropsBothDirections(t *testing.T) {
	la, lb := listen(t), listen(t)
	peers := map[string]string{"a": la.Addr().String(), "b": lb.Addr().String()}
	a, b := New(Options{VM: "a", Peers: peers}), New(Options{VM: "b", Peers: peers})
	for _, n := range []*Node{a, b} {
		n.HandleCalls("echo", func(_ context.Context, _ string, p []byte) ([]byte, error) { return p, nil })
	}
	serveNode(t, a, la)
	serveNode(t, b, lb)
	call := func(from *Node, to string, limit time.Duration) error {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		_, err := from.Call(ctx, to, "echo", nil)
		return err
	}
	connected := func(n *Node, to string, want bool) {
		require.Eventually(t, func() bool { return n.Connected(to) == want }, waitTimeout, 10*time.Millisecond)
	}
	connected(a, "b", true)
	connected(b, "a", true)

	a.Cut([]string{"b"})
	require.Error(t, call(a, "b", cutCallTimeout))
	require.Error(t, call(b, "a", cutCallTimeout))
	connected(a, "b", false)
	connected(b, "a", false)
	a.Cut(nil)
	require.NoError(t, call(b, "a", waitTimeout))
	connected(b, "a", true)
}

func TestNode_OneWayCut(t *testing.T) {
	la, lb := listen(t), listen(t)
	peers := map[string]string{"a": la.Addr().String(), "b": lb.Addr().String()}
	a, b := New(Options{VM: "a", Peers: peers}), New(Options{VM: "b", Peers: peers})
	var atA, atB atomic.Int64
	a.HandleMessages("count", func(string, []byte) { atA.Add(1) })
	b.HandleMessages("count", func(string, []byte) { atB.Add(1) })
	serveNode(t, a, la)
	serveNode(t, b, lb)
	require.Eventually(t, func() bool { return a.Connected("b") && b.Connected("a") }, waitTimeout, 10*time.Millisecond)

	a.CutLinks(nil, []string{"b"})
	a.Send("b", "count", nil)
	b.Send("a", "count", nil)
	require.Eventually(t, func() bool { return atA.Load() == 1 }, waitTimeout, 10*time.Millisecond)
	require.Eventually(t, func() bool { return !b.Connected("a") }, waitTimeout, 10*time.Millisecond)
	require.Zero(t, atB.Load())
}

func TestNode_RelaysAroundCutLink(t *testing.T) {
	listeners := map[string]net.Listener{"a": listen(t), "b": listen(t), "c": listen(t)}
	peers := map[string]string{}
	for vm, l := range listeners {
		peers[vm] = l.Addr().String()
	}
	nodes := map[string]*Node{}
	received := make(chan string, 1024)
	var calls atomic.Int64
	for vm, l := range listeners {
		n := New(Options{VM: vm, Peers: peers})
		n.HandleMessages("note", func(from string, payload []byte) { received <- vm + from + string(payload) })
		n.HandleCalls("echo", func(_ context.Context, from string, p []byte) ([]byte, error) {
			calls.Add(1)
			return append([]byte(from), p...), nil
		})
		n.HandleCalls("refuse", func(context.Context, string, []byte) ([]byte, error) {
			return nil, &RemoteError{Code: "nope", Message: "refused"}
		})
		nodes[vm] = n
		serveNode(t, n, l)
	}
	connected := func(a, b string) func() bool { return func() bool { return nodes[a].Connected(b) } }
	for _, pair := range [][2]string{{"a", "b"}, {"b", "a"}, {"a", "c"}, {"c", "a"}, {"b", "c"}, {"c", "b"}} {
		require.Eventually(t, connected(pair[0], pair[1]), waitTimeout, 10*time.Millisecond)
	}
	nodes["a"].Cut([]string{"b"})
	nodes["b"].Cut([]string{"a"})
	require.Eventually(t, func() bool { return !nodes["a"].Connected("b") }, waitTimeout, 10*time.Millisecond)

	nodes["a"].Send("b", "note", []byte("x"))
	select {
	case got := <-received:
		require.Equal(t, "bax", got, "delivered once, with the original sender's name")
	case <-time.After(waitTimeout):
		t.Fatal("the message was not relayed")
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	result, err := nodes["a"].Call(ctx, "b", "echo", []byte("x"))
	require.NoError(t, err)
	require.Equal(t, "ax", string(result))
	require.Equal(t, int64(1), calls.Load())
	_, err = nodes["a"].Call(ctx, "b", "refuse", nil)
	var remote *RemoteError
	require.ErrorAs(t, err, &remote)
	require.Equal(t, "nope", remote.Code)

	nodes["c"].Cut([]string{"b"})
	require.Eventually(t, func() bool { return !nodes["c"].Connected("b") }, waitTimeout, 10*time.Millisecond)
	_, err = nodes["a"].Call(ctx, "b", "echo", nil)
	var unreachable *UnreachableError
	require.ErrorAs(t, err, &unreachable, "no VM is connected to the isolated VM")
	require.Empty(t, received)
}

// TestNode_FirstMessageToNewPeer guards against losing the first message to a peer that was just
// added: its link is not connected yet, and the relay may not have a link to it. A Raft candidate's
// first vote request is such a message.
func TestNode_FirstMessageToNewPeer(t *testing.T) {
	received := make(chan string, 16)
	start := func(vm string) (*Node, string) {
		l := listen(t)
		n := New(Options{VM: vm})
		n.HandleMessages("note", func(from string, payload []byte) { received <- vm + from + string(payload) })
		serveNode(t, n, l)
		return n, l.Addr().String()
	}
	a, _ := start("a")
	_, addressB := start("b")
	_, addressC := start("c")
	a.AddPeer("c", addressC)
	require.Eventually(t, func() bool { return a.Connected("c") }, waitTimeout, time.Millisecond)
	a.AddPeer("b", addressB)
	a.Send("b", "note", []byte("x"))
	select {
	case got := <-received:
		require.Equal(t, "bax", got)
	case <-time.After(waitTimeout):
		t.Fatal("the message was lost")
	}
}

// TestNode_RelayRemovedDuringCall guards against a failure when the second relay of a call is removed
// while the first one, which cannot reach the destination, has not answered yet.
func TestNode_RelayRemovedDuringCall(t *testing.T) {
	a := New(Options{VM: "a"})
	serveNode(t, a, listen(t))
	relayCalled, answer := make(chan string, 2), make(chan struct{})
	for _, vm := range []string{"c", "d"} {
		l := listen(t)
		n := New(Options{VM: vm})
		n.calls[methodRelay] = func(context.Context, string, []byte) ([]byte, error) {
			relayCalled <- vm
			<-answer
			return nil, &RemoteError{Code: codeRelayUnreachable, Message: "not connected"}
		}
		serveNode(t, n, l)
		a.AddPeer(vm, l.Addr().String())
	}
	for _, vm := range []string{"c", "d"} {
		require.Eventually(t, func() bool { return a.Connected(vm) }, waitTimeout, time.Millisecond)
	}
	a.AddPeer("b", "127.0.0.1:1") // no listener
	failed := make(chan error, 1)
	go func() {
		_, err := a.Call(context.Background(), "b", "echo", nil)
		failed <- err
	}()
	other := map[string]string{"c": "d", "d": "c"}
	a.RemovePeer(other[<-relayCalled])
	close(answer)
	var unreachable *UnreachableError
	require.ErrorAs(t, <-failed, &unreachable)
}
