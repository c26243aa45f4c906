package dispatch

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"egretramp/internal/events"
	"egretramp/internal/message"
	"egretramp/internal/schedule"
)

// refreshNet connects one Client with the current Host, without their goroutines.
type refreshNet struct {
	t      *testing.T
	now    time.Duration
	client *Client
	host   *Host
	bytes  int             // of refreshes
	lost   map[string]bool // by kind
}

func newRefreshNet(t *testing.T) *refreshNet {
	n := &refreshNet{t: t, lost: map[string]bool{}}
	n.client = NewClient(ClientOptions{Zone: "z1", Network: n, Locator: zones{"z1"}, Clock: func() time.Duration { return n.now }})
	n.takeOver()
	return n
}

// takeOver replaces the dispatcher by one without state.
func (n *refreshNet) takeOver() {
	n.host = NewHost(HostOptions{
		VM: "vm1", Network: n, Locator: zones{"z1"}, Events: events.FromZap(zap.NewNop()),
		Clock: func() time.Duration { return n.now },
	})
	n.host.handleAnnouncement(announcement("e1", 1, 8, "m1"))
}

// Send implements Network for both.
func (n *refreshNet) Send(_, kind string, payload []byte) {
	switch {
	case n.lost[kind]:
	case kind == KindRefresh:
		n.bytes += len(payload)
		n.host.HandleRefresh("vm2", payload)
		(<-n.host.events)()
	case kind == KindLacking:
		n.client.HandleLacking("vm1", payload)
	}
}

// Call implements Network.
func (n *refreshNet) Call(context.Context, string, string, []byte) ([]byte, error) { return nil, nil }

func (n *refreshNet) hold(calls int) {
	for i := range calls {
		id := fmt.Sprintf("request-%d", i)
		n.client.addRunning(poolOf("m1"), schedule.Request{ID: id, Account: "ana", Weight: 1}, &Grant{RequestID: id, Pool: poolOf("m1"), Upstream: "e1"})
	}
}

func (n *refreshNet) running() int { return n.host.pool(poolOf("m1")).Load().Running }

func TestRefresh_NewDispatcherReceivesRunningCalls(t *testing.T) {
	n := newRefreshNet(t)
	n.hold(5)
	n.client.waiting["request-w"] = &waiter{enqueue: Enqueue{Pool: poolOf("m1"), Request: schedule.Request{ID: "request-w", Weight: 1}}}
	for range 2 {
		n.client.refresh()
		require.Equal(t, 5, n.running()-1, "the five running calls, besides the waiting one, which was granted")
		whole := n.bytes
		n.bytes = 0
		n.client.refresh()
		require.Less(t, n.bytes, whole/4, "requests with state at the dispatcher are not sent in full again")
		n.takeOver()
		n.bytes = 0
	}
}

func TestRefresh_DispatcherExpiresUnrefreshedRequests(t *testing.T) {
	n := newRefreshNet(t)
	n.hold(2)
	n.client.refresh()
	for range 10 {
		n.now += RefreshInterval
		n.host.handleAnnouncement(announcement("e1", uint64(2+n.now/RefreshInterval), 8, "m1"))
		n.client.refresh()
		n.host.tick()
		require.Equal(t, 2, n.running(), "a digest refreshes its request")
	}
	n.lost[KindRefresh] = true
	n.now += RequestExpiry + 1
	n.host.tick()
	require.Zero(t, len(n.host.pool(poolOf("m1")).byID))
}

func TestRefresh_NextRefreshRecoversLostLacking(t *testing.T) {
	n := newRefreshNet(t)
	n.hold(3)
	n.lost[KindLacking] = true
	n.client.refresh()
	require.Zero(t, n.running())
	n.lost[KindLacking] = false
	n.client.refresh()
	require.Equal(t, 3, n.running())
}

func TestRefresh_EndedCallIsNotResent(t *testing.T) {
	n := newRefreshNet(t)
	n.hold(1)
	lacking := Lacking{Pools: []PoolLacking{{Pool: poolOf("m1"), Requests: digests{}.with(digestOf("request-0"))}}}
	n.client.Release(&Grant{RequestID: "request-0", Pool: poolOf("m1")}, schedule.Outcome{})
	n.client.HandleLacking("vm1", message.Encode(lacking))
	require.Zero(t, n.bytes)
}

func TestRefresh_QueuedRequestBecomesRunningCall(t *testing.T) {
	n := newRefreshNet(t)
	n.host.handleAnnouncement(announcement("e1", 2, 1, "m1"))
	pool := poolOf("m1")
	for _, id := range []string{"other", "request-0"} {
		n.host.enqueue("vm2", Enqueue{Pool: pool, Request: schedule.Request{ID: id, Account: "ana", Weight: 1}})
	}
	require.Equal(t, StateQueued, n.host.pool(pool).byID["request-0"].reply.State)
	n.hold(1)
	n.client.refresh()
	require.Equal(t, StateGranted, n.host.pool(pool).byID["request-0"].reply.State)
}
