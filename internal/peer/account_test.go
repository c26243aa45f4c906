package peer

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// ledgerOfBytes records what an Accounting reports.
type ledgerOfBytes struct {
	mu             sync.Mutex
	sent, received map[string]int64 // by "zone purpose"
}

func (l *ledgerOfBytes) accounting(zone string, zones map[string]string) *Accounting {
	l.sent, l.received = map[string]int64{}, map[string]int64{}
	return &Accounting{
		Zone: zone, ZoneOf: func(vm string) string { return zones[vm] },
		Purpose: func(kind string, _, result []byte) string {
			switch {
			case kind == KindHeartbeat:
				return "heartbeat"
			case len(result) > 1000:
				return kind + " large"
			}
			return kind
		},
		Add: func(zone, purpose string, sent, received int64) {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.sent[zone+" "+purpose] += sent
			l.received[zone+" "+purpose] += received
		},
	}
}

func (l *ledgerOfBytes) get(key string) (sent, received int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sent[key], l.received[key]
}

func (l *ledgerOfBytes) total() (sent, received int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, n := range l.sent {
		sent += n
	}
	for _, n := range l.received {
		received += n
	}
	return sent, received
}

// pairOfNodes returns two connected nodes: a in zone "x" dials b in zone "y".
func pairOfNodes(t *testing.T, prepare func(a, b *Node)) (a, b *Node, ofA, ofB *ledgerOfBytes) {
	t.Helper()
	la, lb := listen(t), listen(t)
	ofA, ofB = &ledgerOfBytes{}, &ledgerOfBytes{}
	a = New(Options{VM: "a", Peers: map[string]string{"b": lb.Addr().String()}, Accounting: ofA.accounting("x", map[string]string{"b": "y"})})
	b = New(Options{VM: "b", Accounting: ofB.accounting("y", nil)})
	prepare(a, b)
	serveNode(t, a, la)
	serveNode(t, b, lb)
	require.Eventually(t, func() bool { return a.Connected("b") }, waitTimeout, 10*time.Millisecond)
	return a, b, ofA, ofB
}

// TestAccounting_Calls guards against bytes of calls that are missing, or that are attributed to another call on the same
// connection or to the wrong zone. The VM that is called doesn't know the caller's zone by itself.
func TestAccounting_Calls(t *testing.T) {
	const calls, small, large = 5, 200, 50_000
	a, _, ofA, ofB := pairOfNodes(t, func(_, b *Node) {
		b.HandleCalls("small", func(context.Context, string, []byte) ([]byte, error) { return make([]byte, small), nil })
		b.HandleCalls("large", func(context.Context, string, []byte) ([]byte, error) { return make([]byte, large), nil })
	})
	for range calls {
		for _, method := range []string{"small", "large"} {
			_, err := a.Call(context.Background(), "b", method, make([]byte, 1000))
			require.NoError(t, err)
		}
	}
	sent, received := ofA.get("y small")
	require.InDelta(t, calls*1000, sent, calls*100)
	require.InDelta(t, calls*small, received, calls*100)
	sent, received = ofA.get("y large large")
	require.InDelta(t, calls*1000, sent, calls*100)
	require.InDelta(t, calls*large, received, calls*500)

	// The called VM attributes the last response when the next call arrives.
	_, err := a.Call(context.Background(), "b", "small", nil)
	require.NoError(t, err)
	sent, received = ofB.get("x large large")
	require.InDelta(t, calls*1000, received, calls*100)
	require.InDelta(t, calls*large, sent, calls*500)
	sent, _ = ofB.get("x small")
	require.InDelta(t, calls*small, sent, calls*100)
}

// TestAccounting_Messages guards against messages whose bytes are counted as heartbeats, and against sums that differ
// from what was transferred.
func TestAccounting_Messages(t *testing.T) {
	const messages, size = 20, 5000
	arrived := make(chan struct{}, messages)
	a, b, ofA, ofB := pairOfNodes(t, func(_, b *Node) {
		b.HandleMessages("news", func(string, []byte) { arrived <- struct{}{} })
	})
	for range messages {
		a.Send("b", "news", make([]byte, size))
	}
	for range messages {
		<-arrived
	}
	// The sender attributes a message after it was sent, which may be after it has arrived.
	require.Eventually(t, func() bool {
		sent, _ := ofA.get("y news")
		return sent >= messages*size
	}, waitTimeout, 10*time.Millisecond)
	sent, _ := ofA.get("y news")
	require.InDelta(t, messages*size, sent, messages*100)
	_, received := ofB.get("x news")
	require.GreaterOrEqual(t, received, int64(messages*size)*9/10, "received together with a heartbeat or not")
	for _, side := range []struct {
		node   *Node
		ledger *ledgerOfBytes
	}{{a, ofA}, {b, ofB}} {
		require.Eventually(t, func() bool {
			sent, received := side.ledger.total()
			return sent == side.node.Stats().BytesSent.Load() && received == side.node.Stats().BytesReceived.Load()
		}, waitTimeout, 10*time.Millisecond)
	}
}

// TestAccounting_Tunnels guards against bytes of tunnels that are counted for another purpose or only when they end.
func TestAccounting_Tunnels(t *testing.T) {
	const size = 40_000
	a, _, ofA, ofB := pairOfNodes(t, func(_, b *Node) {
		b.HandleTunnels(func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() {
				buffer := make([]byte, size)
				for {
					n, err := far.Read(buffer)
					if err != nil {
						return
					}
					if _, err := far.Write(buffer[:n]); err != nil {
						return
					}
				}
			}()
			return near, nil
		})
	})
	tunnel, err := a.OpenTunnel(context.Background(), "b", "upstream")
	require.NoError(t, err)
	go func() { _, _ = tunnel.Write(make([]byte, size)) }()
	for got := 0; got < size; {
		n, err := tunnel.Read(make([]byte, size))
		require.NoError(t, err)
		got += n
	}
	for name, counted := range map[string]func() (int64, int64){
		"calling": func() (int64, int64) { return ofA.get("y " + KindTunnel) },
		"serving": func() (int64, int64) { return ofB.get("x " + KindTunnel) },
	} {
		require.Eventually(t, func() bool {
			sent, received := counted()
			return sent >= size && received >= size
		}, waitTimeout, 10*time.Millisecond, name)
	}
	require.NoError(t, tunnel.Close())
}

// TestAccounting_OtherRelease guards against connections that fail because one side doesn't count bytes by zone.
func TestAccounting_OtherRelease(t *testing.T) {
	for _, counts := range []string{"caller", "called"} {
		t.Run(fmt.Sprint("only the ", counts, " counts"), func(t *testing.T) {
			la, lb := listen(t), listen(t)
			a, b := Options{VM: "a", Peers: map[string]string{"b": lb.Addr().String()}}, Options{VM: "b"}
			ledger := &ledgerOfBytes{}
			if counts == "caller" {
				a.Accounting = ledger.accounting("x", map[string]string{"b": "y"})
			} else {
				b.Accounting = ledger.accounting("y", map[string]string{"a": "x"})
			}
			caller, called := New(a), New(b)
			called.HandleCalls("echo", func(_ context.Context, _ string, payload []byte) ([]byte, error) { return payload, nil })
			serveNode(t, caller, la)
			serveNode(t, called, lb)
			for range 3 {
				result, err := caller.Call(context.Background(), "b", "echo", []byte("abc"))
				require.NoError(t, err)
				require.Equal(t, "abc", string(result))
			}
			sent, received := ledger.total()
			require.Positive(t, sent)
			require.Positive(t, received)
		})
	}
}
