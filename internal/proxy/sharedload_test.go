package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap/zapcore"

	"egretramp/internal/balance"
	"egretramp/internal/clock"
	"egretramp/internal/events"
	"egretramp/internal/quota"
	"egretramp/internal/registry"
	"egretramp/internal/sharedload"
)

// TestServer_LoadOfOtherVMs: other VMs have filled one of two upstreams, of which this VM's own requests say nothing.
func TestServer_LoadOfOtherVMs(t *testing.T) {
	g := newFixture(t)
	g.upstream("busy", respondWith("busy"))
	g.upstream("free", respondWith("free"))
	var known atomic.Bool
	known.Store(true)
	g.server.opts.Load = func(u registry.Upstream) (sharedload.Upstream, bool) {
		if u.ID == "busy" {
			return sharedload.Upstream{Others: 500, Age: 100 * time.Millisecond}, known.Load()
		}
		return sharedload.Upstream{Age: 100 * time.Millisecond}, known.Load()
	}
	g.server.opts.LoadOrigins = func() []sharedload.Origin { return []sharedload.Origin{{Zone: "z", PerSecond: 100}} }
	answers := func() map[string]int {
		counts := map[string]int{}
		for i := range 30 {
			counts[g.call(fmt.Sprint(known.Load(), i), "/safe/x").body]++
		}
		return counts
	}
	require.Equal(t, map[string]int{"free": 30}, answers())
	known.Store(false)
	require.Len(t, answers(), 2, "without a fresh view the VM's own load decides")
}

// TestServer_LoadSamples: what other VMs need is reported by process, and ends a second after the last attempt.
func TestServer_LoadSamples(t *testing.T) {
	g := newFixture(t)
	g.upstream("a", respondWith("a"))
	g.upstream("reset", func(*http.Request, net.Conn) bool { return false })
	require.Empty(t, g.server.LoadSamples())
	g.call("1", "/safe/x")
	require.Eventually(t, func() bool { // a request ends shortly after its caller has the answer
		return g.server.health.inflight("a")+g.server.health.inflight("reset") == 0
	}, 5*time.Second, time.Millisecond)
	samples := g.server.LoadSamples()
	require.NotEmpty(t, samples)
	for _, s := range samples {
		require.Positive(t, s.Attempts)
		require.Zero(t, s.Inflight)
		require.Contains(t, []string{"a@1", "reset@1"}, s.Process)
	}
	require.Empty(t, g.server.health.samples(clock.Now()+2*time.Second, g.server.opts.Directory.View()))
}

// TestServer_OwnNetworkIsNoFailureOfUpstreams guards against VMs that leave the upstreams of their own zone because VMs of
// another zone, partitioned from it, report failures.
func TestServer_OwnNetworkIsNoFailureOfUpstreams(t *testing.T) {
	g := newFixture(t)
	g.upstream("u", respondWith("u"))
	for _, err := range []error{errZoneUnreachable, errPathLost} {
		g.server.health.requestStarted("u")
		g.server.health.requestEnded("u")
		g.server.health.recordFailure("u", maybeRun, err)
	}
	g.server.health.recordFailure("u", notSent, net.ErrClosed)
	require.Equal(t, []sharedload.Sample{{Process: "u@1", Attempts: 2}}, g.server.LoadSamples())
	g.server.health.recordFailure("u", maybeRun, io.ErrUnexpectedEOF)
	require.Equal(t, []sharedload.Sample{{Process: "u@1", Attempts: 2, Failed: 1}}, g.server.LoadSamples())
}

func TestLoadCounts_LastSecond(t *testing.T) {
	var l loadCounts
	for i := range 40 { // 10 a second
		l.now(time.Hour+time.Duration(i)*100*time.Millisecond).attempts++
	}
	require.InDelta(t, 10, l.sum(time.Hour+4*time.Second).attempts, 5)
	require.Zero(t, l.sum(time.Hour+6*time.Second).attempts)
}

// TestExchange_CostOfOtherZone: the cost grows with the bytes of the conversation, and with the turns that will follow.
func TestExchange_CostOfOtherZone(t *testing.T) {
	g := newFixture(t)
	g.server = New(Options{Zone: "z", Directory: g.directory})
	g.server.opts.Load = func(registry.Upstream) (sharedload.Upstream, bool) { return sharedload.Upstream{}, true }
	cost := func(program string, bytes int) time.Duration {
		x := &exchange{server: g.server, body: make([]byte, bytes), call: Call{Program: program}}
		r := balance.Request{}
		x.addFleetLoad([]registry.Upstream{{ID: "a", Zone: "far"}}, make([]balance.Candidate, 1), &r)
		return r.LeaveZone
	}
	require.Less(t, cost("", 100), 2*time.Millisecond)
	require.Greater(t, cost("p", 100), 4*cost("", 100))
	require.Greater(t, cost("p", 100_000), 150*time.Millisecond)
	g.server.opts.ZoneMegabyteCost = -1
	require.Equal(t, 5*zoneRoundTrip, cost("p", 100_000), "the settings say that bytes are worth nothing")
}

// TestServer_AdmitsByUseOfAllVMs guards against programs that begin although other VMs have filled the upstreams, of which the
// few turns of this VM say nothing, and against accounts that take the share of others.
func TestServer_AdmitsByUseOfAllVMs(t *testing.T) {
	g := newFixture(t)
	g.upstream("u", streamEvents(2))
	const slots = 100
	u := g.directory.View().Services["s"][0]
	u.Slots, u.Sequence = slots, 2
	g.directory.Merge("c", []registry.Upstream{u})
	var log lockedBuffer
	var others atomic.Int64
	var over atomic.Pointer[string]
	set := func(inflight int64, account string) {
		others.Store(inflight)
		over.Store(&account)
	}
	g.server.opts.Events = events.NewTo("vm", zapcore.InfoLevel, zapcore.AddSync(&log))
	g.server.opts.Load = func(registry.Upstream) (sharedload.Upstream, bool) {
		return sharedload.Upstream{Others: int(others.Load()), Age: 100 * time.Millisecond}, true
	}
	g.server.opts.OverShare = func(account string) bool { return account == *over.Load() }
	set(slots*12/10, "")
	require.Equal(t, 200, g.call("1", "/stream/x", "Key: other", "Program: p").status)
	set(slots*12/10, "other")
	require.Equal(t, "overloaded", g.call("2", "/stream/x", "Key: other", "Program: q").reason, "the account has more than its share")
	require.Equal(t, 200, g.call("3", "/stream/x", "Program: r").status, "another account")
	set(slots*13/10, "")
	require.Equal(t, "overloaded", g.call("4", "/stream/x", "Program: s").reason)
	require.Contains(t, log.text(), "requests of all VMs at 100 slots, 100ms ago; the account has more than its share: false")
	require.Equal(t, 200, g.call("5", "/stream/x", "Program: r", "Previous: 3").status, "programs under way go on")
	require.Eventually(t, func() bool { return strings.Contains(log.text(), `"load_age":`) }, 5*time.Second, time.Millisecond)
	require.ElementsMatch(t, []sharedload.Account{{Name: "acc", Active: 1, Refused: 1}, {Name: "other", Active: 1, Refused: 1}}, g.server.AccountLoads())
}

// TestServer_AdmitsByUsableSlotsOnly guards against programs that begin because of free slots which requests must not or can't
// use: of upstreams in zones that are out of service, and of cold upstreams or others at their rate limit.
func TestServer_AdmitsByUsableSlotsOnly(t *testing.T) {
	g, orders := newEvacuationFixture(t, nil)
	g.upstream("full", streamEvents(2))
	g.upstream("idle", streamEvents(2))
	for _, u := range g.directory.View().Services["s"] {
		u.Slots, u.Sequence = 100, 2
		if u.ID == "idle" {
			u.Zone = "other"
		}
		g.directory.Merge("c", []registry.Upstream{u})
	}
	l := g.limitUpstreams(map[string]quota.Room{})
	g.server.opts.Load = func(u registry.Upstream) (sharedload.Upstream, bool) {
		if u.ID == "full" {
			return sharedload.Upstream{Others: 130}, true
		}
		return sharedload.Upstream{}, true
	}
	limit := func(room quota.Room) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.rooms["idle"] = room
	}
	require.Equal(t, 200, g.call("1", "/stream/x", "Program: p").status)
	orders.set("other", true)
	require.Equal(t, "overloaded", g.call("2", "/stream/x", "Program: q").reason, "its zone is out of service")
	orders.set("other", false)
	limit(noRoom(time.Second))
	require.Equal(t, "overloaded", g.call("3", "/stream/x", "Program: r").reason, "it is at its rate limit")
	limit(roomAt(minNewLevel / 2))
	require.Equal(t, "overloaded", g.call("4", "/stream/x", "Program: s").reason, "its permits are left to programs under way")
	limit(roomAt(1))
	require.Equal(t, 200, g.call("5", "/stream/x", "Program: t").status)
}
