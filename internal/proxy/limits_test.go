package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretramp/internal/balance"
	"egretramp/internal/httpwire"
	"egretramp/internal/quota"
	"egretramp/internal/registry"
	"egretramp/internal/routing"
)

// fakeUpstreamLimiter reports preset rooms and counts permits.
type fakeUpstreamLimiter struct {
	mu       sync.Mutex
	rooms    map[string]quota.Room // by upstream ID; others have no limit
	empty    map[string]bool       // upstreams that have no permit although there was room
	taken    map[string]int
	returned map[string]int
	observed []RateLimit
}

func (g *fixture) limitUpstreams(rooms map[string]quota.Room) *fakeUpstreamLimiter {
	l := &fakeUpstreamLimiter{rooms: rooms, empty: map[string]bool{}, taken: map[string]int{}, returned: map[string]int{}}
	g.server.opts.Upstreams = l
	return l
}

func (l *fakeUpstreamLimiter) ObserveLimit(_ registry.Upstream, stated RateLimit, _ time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observed = append(l.observed, stated)
}

func (l *fakeUpstreamLimiter) UpstreamRoom(u registry.Upstream) quota.Room {
	l.mu.Lock()
	defer l.mu.Unlock()
	if room, ok := l.rooms[u.ID]; ok {
		return room
	}
	return quota.Room{Free: true, Level: 1}
}

func (l *fakeUpstreamLimiter) TakeUpstream(_ context.Context, u registry.Upstream) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.empty[u.ID] {
		l.rooms[u.ID] = noRoom(time.Second)
		return false
	}
	l.taken[u.ID]++
	return true
}

func (l *fakeUpstreamLimiter) ReturnUpstream(u registry.Upstream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.returned[u.ID]++
}

func noRoom(wait time.Duration) quota.Room {
	return quota.Room{Limited: true, FillTime: time.Second, Wait: wait}
}

func roomAt(level float64) quota.Room {
	return quota.Room{Limited: true, Free: true, Level: level, FillTime: time.Second}
}

// TestServer_LimitedUpstreamsKeepCallersWaiting guards against requests that wait although no upstream can take
// them in time, and against new programs that take the permits of those under way.
func TestServer_LimitedUpstreamsKeepCallersWaiting(t *testing.T) {
	g := newFixture(t)
	g.upstream("u", streamEvents(2))
	l := g.limitUpstreams(map[string]quota.Room{"u": noRoom(2 * time.Second)})
	g.limiter.refuse = true // rejected before it takes the account's permit
	began := time.Now()
	r := g.call("1", "/stream/x", "Program: p")
	require.Equal(t, "upstreams_limited", r.reason)
	g.limiter.refuse = false
	require.Equal(t, "upstreams_limited", g.call("2", "/once/x").reason, "of a program under way, but too long")
	require.Less(t, time.Since(began), 500*time.Millisecond)
	require.Empty(t, g.receivedRequests())

	time.AfterFunc(200*time.Millisecond, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.rooms["u"] = roomAt(0.1)
	})
	l.mu.Lock()
	l.rooms["u"] = noRoom(100 * time.Millisecond)
	l.mu.Unlock()
	require.Equal(t, 200, g.call("3", "/stream/x", "Program: p", "Previous: 2").status, "a program under way waits for its permit")
	require.Equal(t, "upstreams_limited", g.call("4", "/stream/x", "Program: q").reason, "the last permits are left to programs under way")
	l.mu.Lock()
	l.rooms["u"] = roomAt(0.9)
	l.mu.Unlock()
	require.Equal(t, 200, g.call("5", "/stream/x", "Program: q").status)
}

// TestServer_RetriesExceedLimit guards against attempts without a permit: retries, resumed streams, and the
// choice of another upstream.
func TestServer_RetriesExceedLimit(t *testing.T) {
	for _, path := range []string{"/safe/x", "/resumed/x"} {
		g := newFixture(t)
		reset := func(*http.Request, net.Conn) bool { return false }
		g.upstream("a", reset)
		g.upstream("b", reset)
		l := g.limitUpstreams(map[string]quota.Room{"a": roomAt(1), "b": roomAt(1)})
		g.call("1", path)
		require.Equal(t, len(g.receivedRequests()), l.taken["a"]+l.taken["b"], path)
		require.Greater(t, len(g.receivedRequests()), 1)
	}

	g := newFixture(t)
	g.upstream("full", respondWith("no"))
	g.upstream("free", respondWith("yes"))
	l := g.limitUpstreams(map[string]quota.Room{"full": roomAt(1)})
	l.empty["full"] = true
	for range 10 {
		require.Equal(t, "yes", g.call("1", "/safe/x").body)
	}
	require.Zero(t, l.taken["full"])

	g.directory.Merge("c", []registry.Upstream{{ID: "down", Service: "s", Address: "127.0.0.1:1", Zone: "z", Slots: 100, Born: 1, Sequence: 1}})
	for range 10 {
		require.Equal(t, 200, g.call("2", "/safe/x").status)
	}
	require.Equal(t, l.taken["down"], l.returned["down"], "not sent")
}

// TestServer_StreamResumesWithinLimit: a stream that breaks off goes on at an upstream that has room.
func TestServer_StreamResumesWithinLimit(t *testing.T) {
	g := newFixture(t)
	l := g.limitUpstreams(map[string]quota.Room{"b": roomAt(0.1)})
	g.upstream("a", func(r *http.Request, c net.Conn) bool {
		_, _ = io.WriteString(c, signed(r)+"Transfer-Encoding: chunked\r\n\r\n"+eventChunks(1, 2)) // the reset is what is tested
		return false
	})
	r := g.call("1", "/resumed/x", "Program: p")
	require.Error(t, r.err, "no other upstream")
	g.upstream("b", func(r *http.Request, c net.Conn) bool {
		_, err := io.WriteString(c, signed(r)+"Transfer-Encoding: chunked\r\n\r\n"+eventChunks(3, 3)+"0\r\n\r\n")
		return err == nil
	})
	r = g.call("2", "/resumed/x", "Program: p", "Previous: 1")
	require.Contains(t, r.body, "word3")
	require.Equal(t, 1, l.taken["b"])
}

// TestExchange_LimitsExcludeLessUrgentFirst: as a limit is used up, small requests go elsewhere, then less urgent
// new programs are rejected, then urgent ones, and those under way last.
func TestExchange_LimitsExcludeLessUrgentFirst(t *testing.T) {
	g := newFixture(t)
	target := []routing.Target{{Service: "s", Weight: 1}}
	table, err := routing.Compile(routing.Table{
		Version: 2, Services: []routing.Service{{Name: "s"}},
		Routes: []routing.Route{
			{Name: "urgent", Host: "h", PathPrefix: "/a/", Kind: routing.Streaming, Timeout: time.Second, Priority: 0, Targets: target},
			{Name: "other", Host: "h", PathPrefix: "/b/", Kind: routing.Streaming, Timeout: time.Second, Priority: 1, Targets: target},
		},
	})
	require.NoError(t, err)
	fits := func(route int, underWay bool, size, level float64, withUnlimited bool) bool {
		x := &exchange{
			server: g.server, w: &httpwire.Response{}, table: table, route: &table.Routes[route], service: &table.Services[0],
			programActive: underWay, size: size, call: Call{ExpectedTokens: 1},
		}
		upstreams, candidates := []registry.Upstream{{ID: "limited"}}, []balance.Candidate{{}}
		if withUnlimited {
			upstreams, candidates = append(upstreams, registry.Upstream{ID: "unlimited"}), append(candidates, balance.Candidate{})
		}
		g.limitUpstreams(map[string]quota.Room{"limited": roomAt(level)})
		wait := x.applyLimits(upstreams, candidates)
		require.Equal(t, candidates[0].Tried, wait > 0)
		return !candidates[0].Tried
	}
	for _, c := range []struct {
		level                   float64
		underWay, urgent, other bool
	}{{0.6, true, true, true}, {0.4, true, true, false}, {0.1, true, false, false}} {
		require.Equal(t, c.underWay, fits(1, true, 1, c.level, false), c.level)
		require.Equal(t, c.urgent, fits(0, false, 1, c.level, false), c.level)
		require.Equal(t, c.other, fits(1, false, 1, c.level, false), c.level)
	}
	require.False(t, fits(1, true, 0.5, 0.1, true), "a small request, while there are upstreams without a limit")
	require.True(t, fits(1, true, 2, 0.1, true), "a large request")
}

// TestServer_ObservesLimits: what responses say of the limit reaches the limiter, whatever their status.
func TestServer_ObservesLimits(t *testing.T) {
	g := newFixture(t)
	g.upstream("u", respondWith("ok"))
	l := g.limitUpstreams(nil)
	require.Equal(t, 200, g.call("1", "/safe/x").status)
	require.Len(t, l.observed, 1)
}
