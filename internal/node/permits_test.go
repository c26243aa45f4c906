package node

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap/zapcore"

	"egretramp/internal/events"
	"egretramp/internal/groups"
	"egretramp/internal/quota"
	"egretramp/internal/routing"
)

// coordinatorNetwork is a coordinator that grants all permits, and counts the calls.
type coordinatorNetwork struct{ calls atomic.Int64 }

func (*coordinatorNetwork) Send(string, string, []byte) {}

func (n *coordinatorNetwork) Call(_ context.Context, _, _ string, payload []byte) ([]byte, error) {
	n.calls.Add(1)
	r, err := decode[quota.Request](payload)
	return encode(quota.Grant{Permits: r.Wants, Holders: 259}), err
}

func newTestLimiter(t *testing.T, n groups.Network, now func() time.Duration, accounts []routing.Account) *permitLimiter {
	table, err := routing.Compile(routing.Table{Version: 1, Accounts: accounts})
	require.NoError(t, err)
	return &permitLimiter{
		self: "entry", table: func() *routing.Snapshot { return table }, clock: now, events: events.NewTo("entry", zapcore.ErrorLevel, &discard{}),
		groups: groups.NewDynamicClient(n, func(uint64) []string { return []string{"c"} }, time.Second),
		holder: quota.NewHolder(), waiting: map[string]int{}, upstreams: newUpstreamLimits("entry"),
	}
}

type discard struct{}

func (*discard) Write(p []byte) (int, error) { return len(p), nil }
func (*discard) Sync() error                 { return nil }

// TestPermitLimiter_ContactsOfAVMInALargeFleet replays an entry VM of a fleet of 259: a few requests a second, of accounts
// whose permits it doesn't hold. Their requests for permits are contact enough: regular ones on top of them were half of
// what the coordinator had to serve. The VM still never goes without contact for much more than half of ContactTimeout.
func TestPermitLimiter_ContactsOfAVMInALargeFleet(t *testing.T) {
	network := &coordinatorNetwork{}
	now := time.Hour
	var accounts []routing.Account
	for i := range 190 {
		accounts = append(accounts, routing.Account{Name: fmt.Sprint("account ", i), Keys: []string{fmt.Sprint("key ", i)}, Rate: 20, Burst: 20})
	}
	p := newTestLimiter(t, network, func() time.Duration { return now }, accounts)
	settle := func() {
		require.Eventually(t, func() bool {
			p.mu.Lock()
			defer p.mu.Unlock()
			return p.round == nil
		}, 5*time.Second, 50*time.Microsecond)
	}
	run := func(seconds, requestsPerSecond int) (callsPerSecond float64) {
		before, longest := network.calls.Load(), time.Duration(0)
		last, lastAt := network.calls.Load(), now
		for tick := range seconds * 100 { // 10 ms each
			now += 10 * time.Millisecond
			if requestsPerSecond > 0 && tick%(100/requestsPerSecond) == 0 {
				ok, _ := p.Take(t.Context(), &accounts[tick*7%len(accounts)], false)
				require.True(t, ok)
			}
			if time.Duration(tick)*10*time.Millisecond%permitCheckInterval == 0 {
				p.renew()
			}
			settle()
			if calls := network.calls.Load(); calls != last {
				last, lastAt = calls, now
			}
			longest = max(longest, now-lastAt)
		}
		require.Less(t, longest, quota.ContactTimeout/2+20*time.Millisecond)
		return float64(network.calls.Load()-before) / float64(seconds)
	}
	require.Less(t, run(20, 5), 6.5, "calls a second with 5 requests a second")
	require.Less(t, run(20, 0), 5.5, "at rest")
}
