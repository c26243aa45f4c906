package proxy

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretramp/internal/registry"
)

// leavingAnswer answers with a head that says that the upstream leaves.
func leavingAnswer(status string, rest string) func(*http.Request, net.Conn) bool {
	return func(r *http.Request, c net.Conn) bool {
		_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\nId: %s\r\nLeaving: 1\r\n%s", status, r.Header.Get("Id"), rest)
		return err == nil
	}
}

// TestServer_UpstreamSaysThatItLeaves: after any response that says so, whatever its status, no request goes to the
// upstream while another one serves. No control VM reports the shutdown.
func TestServer_UpstreamSaysThatItLeaves(t *testing.T) {
	for name, answer := range map[string]func(*http.Request, net.Conn) bool{
		"a success":       leavingAnswer("200 OK", "Signed: 1\r\nContent-Length: 2\r\n\r\nok"),
		"its own failure": leavingAnswer("500 Oops", "Signed: 1\r\nContent-Length: 0\r\n\r\n"),
		"a decline":       leavingAnswer("503 Full", "Not-Run: 1\r\nContent-Length: 0\r\n\r\n"),
		"a stream":        leavingAnswer("200 OK", "Signed: 1\r\nContent-Length: 18\r\n\r\nid: 1\ndata: one\n\n "),
	} {
		t.Run(name, func(t *testing.T) {
			g := newFixture(t)
			g.upstream("a", answer)
			path := "/safe/"
			if name == "a stream" {
				path = "/stream/"
			}
			g.call("1", path)
			g.upstream("b", respondWith("ok"))
			before := len(g.receivedRequests())
			for i := range 20 {
				r := g.call(fmt.Sprint("later", i), "/safe/")
				require.Equal(t, 200, r.status)
			}
			for _, received := range g.receivedRequests()[before:] {
				require.Equal(t, "b", received.upstream)
			}
		})
	}
}

// TestServer_AllUpstreamsLeave: the last upstream of a service that leaves serves on for part of the drain time; then
// requests are refused at once.
func TestServer_AllUpstreamsLeave(t *testing.T) {
	g := newFixture(t)
	g.server.opts.Drain = 600 * time.Millisecond
	g.upstream("a", leavingAnswer("200 OK", "Signed: 1\r\nContent-Length: 2\r\n\r\nok"))
	require.Equal(t, 200, g.call("1", "/safe/").status)
	heard := time.Now()
	require.Equal(t, 200, g.call("2", "/safe/").status, "within the drain time")
	time.Sleep(time.Until(heard.Add(700 * time.Millisecond)))
	before := len(g.receivedRequests())
	started := time.Now()
	r := g.call("3", "/safe/")
	require.Equal(t, 503, r.status)
	require.Equal(t, NoUpstream.String(), r.reason)
	require.Less(t, time.Since(started), 200*time.Millisecond)
	require.Len(t, g.receivedRequests(), before)

	next := registry.Upstream{ID: "a", Service: "s", Address: g.directory.LeavingFor("s", time.Hour)[0].Address, Zone: "z", Slots: 4, Born: 2, Sequence: 1, Build: "v1"}
	g.directory.Merge("c", []registry.Upstream{next})
	require.Equal(t, 200, g.call("4", "/safe/").status, "a new process under its ID")
}

// TestServer_DrainingUpstreamIsALastResort: a service whose upstreams have all announced their shutdown serves on for
// part of the drain time.
func TestServer_DrainingUpstreamIsALastResort(t *testing.T) {
	g := newFixture(t)
	g.server.opts.Drain = 10 * time.Second
	g.upstream("a", respondWith("ok"))
	u := g.directory.View().Services["s"][0]
	u.State, u.Sequence, u.Leaving = registry.Draining, 2, time.Second
	g.directory.Merge("c", []registry.Upstream{u})
	require.Equal(t, 200, g.call("1", "/safe/").status)
	u.Sequence, u.Born, u.Leaving = 3, 2, 6*time.Second
	g.directory.Merge("c", []registry.Upstream{u})
	require.Equal(t, 503, g.call("2", "/safe/").status)
}
