package peer

import (
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// tunnelFixture is a VM "a" that opens tunnels through a VM "b" to an upstream.
type tunnelFixture struct {
	a        *Node
	b        string // its address, which is its name too
	nodeB    *Node
	stopB    context.CancelFunc
	upstream net.Listener
	draining atomic.Bool // what upstream connections say
}

// drainingTestConn is an upstream connection whose tunnel may have to be drained.
type drainingTestConn struct {
	net.Conn
	draining *atomic.Bool
}

func (c drainingTestConn) Draining() bool { return c.draining.Load() }

func newTunnelFixture(t *testing.T) *tunnelFixture {
	listenerB := listen(t)
	f := &tunnelFixture{a: New(Options{VM: "a"}), b: listenerB.Addr().String(), upstream: listen(t)}
	t.Cleanup(func() { _ = f.upstream.Close() })
	b := New(Options{VM: f.b})
	f.nodeB = b
	b.HandleTunnels(func(ctx context.Context, from, address string) (net.Conn, error) {
		if from != "a" {
			return nil, errors.New("the wrong VM")
		}
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, &RemoteError{Code: "nobody_there", Message: err.Error()}
		}
		return drainingTestConn{conn, &f.draining}, nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan struct{})
	go func() {
		_ = b.Serve(ctx, listenerB)
		close(served)
	}()
	f.stopB = func() {
		cancel()
		<-served
	}
	t.Cleanup(f.stopB)
	return f
}

// open opens a tunnel and returns both ends.
func (f *tunnelFixture) open(t *testing.T) (near *Tunnel, far *net.TCPConn) {
	accepted := make(chan net.Conn, 1)
	go func() {
		if c, err := f.upstream.Accept(); err == nil {
			accepted <- c
		}
	}()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	near, err := f.a.OpenTunnel(ctx, f.b, f.upstream.Addr().String())
	cancel() // bounds the opening only
	require.NoError(t, err)
	c := <-accepted
	t.Cleanup(func() { _, _ = near.Close(), c.Close() })
	require.NoError(t, near.SetDeadline(time.Now().Add(waitTimeout)))
	require.NoError(t, c.SetDeadline(time.Now().Add(waitTimeout)))
	return near, c.(*net.TCPConn)
}

func TestTunnel_CarriesBytesBothWays(t *testing.T) {
	near, far := newTunnelFixture(t).open(t)
	require.True(t, near.Idle())
	question, answer := strings.Repeat("question ", 10000), strings.Repeat("answer ", 10000)
	go func() { _, _ = io.WriteString(near, question) }()
	read := make([]byte, len(question))
	_, err := io.ReadFull(far, read)
	require.NoError(t, err)
	require.Equal(t, question, string(read))
	go func() { _, _ = io.WriteString(far, answer) }()
	require.Eventually(t, func() bool { return !near.Idle() }, waitTimeout, time.Millisecond, "bytes that wait to be read")
	read = make([]byte, len(answer))
	_, err = io.ReadFull(near, read)
	require.NoError(t, err)
	require.Equal(t, answer, string(read))
	require.Eventually(t, near.Idle, waitTimeout, time.Millisecond)
}

// TestTunnel_OnlyAnOrderlyEndLooksComplete guards against responses without a length that are cut off: their end is
// that of the connection.
func TestTunnel_OnlyAnOrderlyEndLooksComplete(t *testing.T) {
	ends := map[string]func(f *tunnelFixture, far *net.TCPConn){
		"closed in order": func(_ *tunnelFixture, far *net.TCPConn) { _ = far.Close() },
		"reset": func(_ *tunnelFixture, far *net.TCPConn) {
			time.Sleep(20 * time.Millisecond) // a reset discards what isn't read yet
			_ = far.SetLinger(0)
			_ = far.Close()
		},
		"the other VM stops": func(f *tunnelFixture, _ *net.TCPConn) {
			time.Sleep(20 * time.Millisecond)
			f.stopB()
		},
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			f := newTunnelFixture(t)
			near, far := f.open(t)
			go func() {
				_, _ = io.WriteString(far, "part")
				end(f, far)
			}()
			read, err := io.ReadAll(near)
			require.Equal(t, "part", string(read))
			require.Equal(t, name == "closed in order", err == nil, "%v", err)
			require.False(t, near.Idle())
		})
	}
}

// TestTunnel_CloseReachesTheUpstream checks that a cancelled request ends at the upstream.
func TestTunnel_CloseReachesTheUpstream(t *testing.T) {
	near, far := newTunnelFixture(t).open(t)
	require.NoError(t, near.Close())
	started := time.Now()
	_, err := far.Read(make([]byte, 1))
	require.Error(t, err)
	require.Less(t, time.Since(started), time.Second)
}

func TestTunnel_Errors(t *testing.T) {
	f := newTunnelFixture(t)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	closed := listen(t)
	require.NoError(t, closed.Close())
	_, err := f.a.OpenTunnel(ctx, f.b, closed.Addr().String())
	var remote *RemoteError
	require.ErrorAs(t, err, &remote)
	require.Equal(t, "nobody_there", remote.Code)
	var unreachable *UnreachableError
	_, err = f.a.OpenTunnel(ctx, closed.Addr().String(), f.upstream.Addr().String())
	require.ErrorAs(t, err, &unreachable)

	plain := listen(t)
	serveNode(t, New(Options{VM: plain.Addr().String()}), plain)
	_, err = f.a.OpenTunnel(ctx, plain.Addr().String(), f.upstream.Addr().String())
	require.ErrorAs(t, err, &remote)
	require.Equal(t, codeTunnelUnsupported, remote.Code)
}

// TestTunnel_DrainingEndsInOrder checks that a VM that stops lets the request in a tunnel end, while the tunnel takes no
// further one.
func TestTunnel_DrainingEndsInOrder(t *testing.T) {
	f := newTunnelFixture(t)
	near, far := f.open(t)
	require.Eventually(t, func() bool { return f.nodeB.Stats().TunnelsServed.Load() == 1 }, waitTimeout, time.Millisecond)
	go func() {
		_, _ = io.WriteString(far, "first half, ")
		f.nodeB.DrainTunnels()
		_, _ = io.WriteString(far, "second half")
		_ = far.Close()
	}()
	read, err := io.ReadAll(near)
	require.NoError(t, err)
	require.Equal(t, "first half, second half", string(read))
	near, _ = f.open(t)
	require.Eventually(t, func() bool { return !near.Idle() }, waitTimeout, time.Millisecond, "a tunnel that is opened later is told as well")
}

// TestTunnel_DrainingFromItsBeginning guards against a tunnel that DrainTunnelsTo doesn't find, because it is being opened,
// and that carries requests from then on.
func TestTunnel_DrainingFromItsBeginning(t *testing.T) {
	f := newTunnelFixture(t)
	f.draining.Store(true)
	near, far := f.open(t)
	require.Eventually(t, func() bool { return !near.Idle() }, waitTimeout, time.Millisecond)
	go func() {
		_, _ = io.WriteString(far, "an answer")
		_ = far.Close()
	}()
	read, err := io.ReadAll(near)
	require.NoError(t, err)
	require.Equal(t, "an answer", string(read), "the request under way")
}

// TestTunnel_DrainingOneUpstream checks that only the tunnels that lead to the upstream take no further requests.
func TestTunnel_DrainingOneUpstream(t *testing.T) {
	f := newTunnelFixture(t)
	near, _ := f.open(t)
	require.Eventually(t, func() bool { return f.nodeB.Stats().TunnelsServed.Load() == 1 }, waitTimeout, time.Millisecond)
	for range 5 {
		f.nodeB.DrainTunnelsTo("another upstream")
		time.Sleep(2 * time.Millisecond)
	}
	require.True(t, near.Idle())
	require.Eventually(t, func() bool {
		f.nodeB.DrainTunnelsTo(f.upstream.Addr().String())
		return !near.Idle()
	}, waitTimeout, 10*time.Millisecond)
}
