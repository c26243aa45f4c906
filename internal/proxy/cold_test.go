package proxy

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretramp/internal/balance"
	"egretramp/internal/httpwire"
	"egretramp/internal/quota"
	"egretramp/internal/registry"
	"egretramp/internal/upconn"
)

// coldRoomAt returns the room of an upstream that is cold.
func coldRoomAt(level float64) quota.Room {
	room := roomAt(level)
	room.Cold = true
	return room
}

// TestExchange_ColdHome guards against lines of turns that leave their home because it is cold for some seconds while it
// has permits. Others go there only as to an upstream that states a limit, which moves no home.
func TestExchange_ColdHome(t *testing.T) {
	g := newFixture(t)
	candidate := func(room quota.Room, home string) balance.Candidate {
		table := g.server.opts.Table()
		x := &exchange{
			server: g.server, w: &httpwire.Response{}, table: table, route: &table.Routes[0], service: &table.Services[0],
			programActive: true, size: 1, call: Call{ExpectedTokens: 1, Program: "p", Line: "l"}, storedHome: home,
		}
		upstreams, candidates := []registry.Upstream{{ID: "cold"}, {ID: "warm"}}, []balance.Candidate{{}, {}}
		g.limitUpstreams(map[string]quota.Room{"cold": room})
		x.applyLimits(upstreams, candidates)
		require.False(t, candidates[1].Tried)
		return candidates[0]
	}
	require.Equal(t, balance.Candidate{Limited: true}, candidate(coldRoomAt(0.1), "cold"), "a permit is enough at the home")
	require.True(t, candidate(coldRoomAt(0.1), "warm").Tried)
	require.True(t, candidate(roomAt(0.1), "cold").Tried, "a stated limit")
	empty := coldRoomAt(1)
	empty.Free, empty.Wait = false, time.Second
	require.True(t, candidate(empty, "cold").Tried, "no permit")
}

// TestServer_ColdUpstreamsPermitExpires guards against requests that wait together for connections to a cold upstream, as
// while its zone is cut off, and are all sent in the moment in which it can be reached again.
func TestServer_ColdUpstreamsPermitExpires(t *testing.T) {
	g := newFixture(t)
	g.upstream("u", respondWith("ok"))
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		time.Sleep(2 * maxColdDialTime)
		return upconn.Dial(ctx, address)
	}
	g.server.pool = upconn.NewPool(dial, func(string) bool { return false })
	l := g.limitUpstreams(map[string]quota.Room{"u": coldRoomAt(1)})
	r := g.call("1", "/safe/x")
	require.Equal(t, 503, r.status, "no other upstream")
	require.Empty(t, g.receivedRequests())
	require.Equal(t, 1, l.returned["u"])
	require.False(t, g.server.health.candidate(registry.Upstream{ID: "u"}).Failing, "its connection was opened")
	require.Equal(t, 200, g.call("2", "/safe/x").status, "the connection is kept for the next request")

	g.server.pool = upconn.NewPool(dial, func(string) bool { return false })
	g.limitUpstreams(map[string]quota.Room{"u": roomAt(1)})
	g.server.health = newHealth()
	require.Equal(t, 200, g.call("3", "/safe/x").status, "a stated limit allows for it")
}
