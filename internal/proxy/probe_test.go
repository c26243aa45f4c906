package proxy

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretramp/internal/registry"
)

// TestServer_ProbeZone checks that a probe tells a zone whose upstreams are silent from one that can't be reached, and
// that upstreams see no request.
func TestServer_ProbeZone(t *testing.T) {
	g := newFixture(t)
	release := make(chan struct{})
	g.upstreamIn("far", "u", func(r *http.Request, c net.Conn) bool {
		<-release
		return respondWith("done")(r, c)
	})
	g.server.ProbeZone("far")
	require.Zero(t, g.server.ZoneTraffic()["far"], "nothing waits, so nothing is probed")

	result := make(chan reply, 1)
	go func() { result <- g.call("1", "/safe/") }()
	require.Eventually(t, func() bool { return g.server.ZoneTraffic()["far"].Waiting == 1 }, time.Second, time.Millisecond)
	require.False(t, g.server.ZoneTraffic()["far"].Received)
	g.server.ProbeZone("far")
	require.Eventually(t, func() bool { return g.server.ZoneTraffic()["far"].Received }, time.Second, time.Millisecond)
	require.Zero(t, g.server.ZoneTraffic()["far"].FailedProbes)

	// The upstream of the waiting request loses power: its address drops all packets. Another one answers.
	lost := fullBacklog(t)
	g.server.zones.mu.Lock()
	for _, p := range g.server.zones.get("far").pending {
		p.upstream.Address = lost
	}
	g.server.zones.mu.Unlock()
	g.server.ProbeZone("far")
	require.Eventually(t, func() bool { return g.server.ZoneTraffic()["far"].Received }, time.Second, time.Millisecond)
	require.Zero(t, g.server.ZoneTraffic()["far"].FailedProbes, "one upstream that is lost is no lost zone")

	// All addresses of the zone drop packets.
	g.directory.Merge("c", []registry.Upstream{{ID: "u", Service: "s", Address: lost, Zone: "far", Slots: 4, Born: 1, Sequence: 2, Build: "v1"}})
	started := time.Now()
	g.server.ProbeZone("far")
	g.server.ProbeZone("far")
	require.Less(t, time.Since(started), 100*time.Millisecond, "a probe doesn't block")
	require.Eventually(t, func() bool { return g.server.ZoneTraffic()["far"].FailedProbes == 1 }, time.Second, time.Millisecond)
	close(release)
	require.Equal(t, 200, (<-result).status)
	require.Len(t, g.receivedRequests(), 1)
}

// fullBacklog returns the address of a listener that takes no further connections: attempts to connect get no answer.
func fullBacklog(t *testing.T) string {
	l := backlogListener(t)
	var open []net.Conn
	t.Cleanup(func() {
		for _, c := range open {
			_ = c.Close()
		}
	})
	for range 64 {
		c, err := net.DialTimeout("tcp", l, 100*time.Millisecond)
		if err != nil {
			return l
		}
		open = append(open, c)
	}
	t.Fatal("the listener takes all connections")
	return ""
}
