package proxy

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretramp/internal/registry"
	"egretramp/internal/upconn"
)

// zoneOrders are the zones that a test has taken out of service.
type zoneOrders struct {
	mu    sync.Mutex
	zones map[string]bool
}

func (o *zoneOrders) set(zone string, evacuated bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.zones[zone] = evacuated
}

func (o *zoneOrders) contains(zone string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.zones[zone]
}

func newEvacuationFixture(t *testing.T, dial upconn.DialFunc) (*fixture, *zoneOrders) {
	g := newFixtureWithDial(t, dial)
	orders := &zoneOrders{zones: map[string]bool{}}
	g.server.opts.Evacuated = orders.contains
	return g, orders
}

// receivedBy returns the IDs of the requests that an upstream got.
func (g *fixture) receivedBy(upstream string) []string {
	var ids []string
	for _, r := range g.receivedRequests() {
		if r.upstream == upstream {
			ids = append(ids, r.id)
		}
	}
	return ids
}

// TestServer_EvacuatedZoneGetsNoRequests guards against first attempts, attempts at a program's home and retries at an
// upstream of a zone that is out of service, which is the entry VM's own.
func TestServer_EvacuatedZoneGetsNoRequests(t *testing.T) {
	g, orders := newEvacuationFixture(t, nil)
	g.upstream("near", streamEvents(2))
	var attempts atomic.Int64
	for i := range 2 {
		g.upstreamIn("y", fmt.Sprint("far", i), func(r *http.Request, c net.Conn) bool {
			if r.RequestURI == "/safe/" {
				return attempts.Add(1)%2 == 0 && respondWith("ok")(r, c)
			}
			return streamEvents(2)(r, c)
		})
	}
	require.Equal(t, 200, g.call("before", "/stream/", "Program: p").status)
	require.Equal(t, []string{"before"}, g.receivedBy("near"), "the home is in the VM's zone")
	orders.set("z", true)
	for i := range 6 {
		require.Equal(t, 200, g.call(fmt.Sprint("turn", i), "/stream/", "Program: p").status)
		require.Equal(t, 200, g.call(fmt.Sprint("call", i), "/safe/").status)
	}
	require.Equal(t, []string{"before"}, g.receivedBy("near"))
	orders.set("z", false)
	for i := range 20 {
		g.call(fmt.Sprint("after", i), "/stream/", fmt.Sprint("Program: other", i))
	}
	require.Greater(t, len(g.receivedBy("near")), 10, "the order was withdrawn")
}

// TestServer_HomesMoveOnce guards against programs that change their upstream again and again, or all move to the same
// one, once the zone of their home is out of service.
func TestServer_HomesMoveOnce(t *testing.T) {
	g, orders := newEvacuationFixture(t, nil)
	g.upstream("near", streamEvents(1))
	for i := range 4 {
		g.upstreamIn("y", fmt.Sprint("far", i), streamEvents(1))
	}
	const programs = 24
	turn := func(turn, program int) {
		r := g.call(fmt.Sprintf("p%d-%d", program, turn), "/stream/", fmt.Sprint("Program: p", program), "Prompt: 4000")
		require.Equal(t, 200, r.status)
	}
	for p := range programs {
		turn(0, p)
	}
	orders.set("z", true)
	for i := range 3 {
		for p := range programs {
			turn(i+1, p)
		}
	}
	homes, used := map[string]string{}, map[string]int{}
	for _, r := range g.receivedRequests() {
		var program, number int
		_, err := fmt.Sscanf(r.id, "p%d-%d", &program, &number)
		require.NoError(t, err)
		if number == 0 {
			continue
		}
		key := fmt.Sprint(program)
		if homes[key] == "" {
			used[r.upstream]++
			homes[key] = r.upstream
		}
		require.Equal(t, homes[key], r.upstream, "program %s moved again", key)
	}
	require.Len(t, used, 4, "upstreams with homes: %v", used)
}

// TestServer_StreamIsNotContinuedInAnEvacuatedZone guards against the resumption of a response at the upstream that began
// it, which repeats it at once, or at another one of its zone.
func TestServer_StreamIsNotContinuedInAnEvacuatedZone(t *testing.T) {
	g, orders := newEvacuationFixture(t, nil)
	g.upstream("near", streamFrom("v1", 2))
	g.beforeReset = func() { orders.set("z", true) }
	g.upstream("also near", streamFrom("v1", 0))
	g.server.health.recordFailure("also near", maybeRun, io.ErrUnexpectedEOF) // the stream begins at near
	g.upstreamIn("y", "far", streamFrom("v1", 0))
	r := g.call("1", "/resumed-twice/", "Program: p")
	require.NoError(t, r.err)
	require.Equal(t, []string{"v1-1", "v1-2", "v1-3", "v1-4"}, words(r.body))
	require.Len(t, g.receivedBy("near"), 1)
	require.Empty(t, g.receivedBy("also near"))
	require.Len(t, g.receivedBy("far"), 1)
}

// TestServer_AllZonesEvacuated guards against requests that wait, or reach an upstream that leaves, while all upstreams
// of the service are in zones that are out of service. Before it is refused, a request takes no permit.
func TestServer_AllZonesEvacuated(t *testing.T) {
	g, orders := newEvacuationFixture(t, nil)
	g.server.opts.Drain = 20 * time.Second
	answer := func(r *http.Request, c net.Conn) bool {
		if strings.HasPrefix(r.RequestURI, "/resumed/") {
			return r.Header.Get("Last") == "" && streamFrom("v1", 2)(r, c)
		}
		return respondWith("ok")(r, c)
	}
	g.upstream("near", answer)
	g.upstreamIn("y", "far", answer)
	g.upstreamIn("y", "leaving", answer)
	g.setBuild("leaving", "v1", registry.Draining)
	require.Equal(t, []string{"v1-1", "v1-2"}, words(g.call("begun", "/resumed/", "Program: p").body))
	orders.set("z", true)
	orders.set("y", true)
	before, begins := len(g.receivedRequests()), g.ledger.begins
	g.limiter.refuse = true
	started := time.Now()
	for _, path := range []string{"/safe/", "/once/", "/stream/", "/kept/"} {
		require.Equal(t, reply{503, "zones_evacuated", "", nil}, g.call("refused"+path, path, "Program: p2"), path)
	}
	g.limiter.refuse = false
	r := g.call("resumed", "/resumed/", "Resumes: begun", "Last: 2")
	require.Equal(t, reply{503, "zones_evacuated", "", nil}, r, "upstreams of the build are left, but not in service")
	require.Equal(t, begins+1, g.ledger.begins, "only to look up the stream")
	require.Less(t, time.Since(started), time.Second)
	require.Len(t, g.receivedRequests(), before)
	require.Equal(t, "no_upstream", g.call("none", "/none/").reason, "a service without upstreams")
	orders.set("y", false)
	require.Equal(t, 200, g.call("served", "/safe/").status)
}

// TestServer_ZoneIsEvacuatedWhileARequestDials guards against a request whose connection is open only after the order
// came into force: it must go elsewhere, and the upstream doesn't count as failing.
func TestServer_ZoneIsEvacuatedWhileARequestDials(t *testing.T) {
	dialing, proceed := make(chan struct{}), make(chan struct{})
	var once sync.Once
	g, orders := newEvacuationFixture(t, func(ctx context.Context, address string) (net.Conn, error) {
		once.Do(func() {
			close(dialing)
			<-proceed
		})
		return upconn.Dial(ctx, address)
	})
	g.upstream("near", respondWith("ok"))
	g.upstreamIn("y", "far", respondWith("ok"))
	g.server.health.recordFailure("far", maybeRun, io.ErrUnexpectedEOF) // the request is sent to near first
	done := make(chan reply)
	go func() { done <- g.call("1", "/once/") }()
	<-dialing
	orders.set("z", true)
	close(proceed)
	require.Equal(t, 200, (<-done).status)
	require.Empty(t, g.receivedBy("near"))
	require.False(t, g.server.health.candidate(g.directory.View().Services["s"][1]).Failing)
}

// TestServer_RequestInProgressCompletes guards against an order that breaks off what runs in the zone.
func TestServer_RequestInProgressCompletes(t *testing.T) {
	g, orders := newEvacuationFixture(t, nil)
	begun := make(chan struct{})
	g.upstream("near", func(r *http.Request, c net.Conn) bool {
		_, _ = io.WriteString(c, signed(r)+"Transfer-Encoding: chunked\r\n\r\n"+eventChunks(1, 2))
		close(begun)
		time.Sleep(100 * time.Millisecond)
		_, err := io.WriteString(c, eventChunks(3, 4)+"0\r\n\r\n")
		return err == nil
	})
	done := make(chan reply)
	go func() { done <- g.call("1", "/stream/", "Program: p") }()
	<-begun
	orders.set("z", true)
	r := <-done
	require.NoError(t, r.err)
	require.Equal(t, 200, r.status)
	require.Len(t, words(r.body), 4)
}
