package proxy

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretramp/internal/httpwire"
	"egretramp/internal/registry"
	"egretramp/internal/routing"
	"egretramp/internal/suspect"
)

// sendPoison sends the same request n times, each time with another ID.
func (g *fixture) sendPoison(path string, n int) (last reply) {
	for range n {
		g.mu.Lock()
		g.poisons++
		id := fmt.Sprint("p", g.poisons)
		g.mu.Unlock()
		last = g.callWithBody(id, path, "poison")
	}
	return last
}

// crashingUpstream adds an upstream that resets its connections and refuses new ones once it gets a request.
func (g *fixture) crashingUpstream(id string) {
	var once sync.Once
	var listener net.Listener
	address := listen(g.t, func(l net.Listener) {
		listener = l
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go g.serveUpstream(id, c, func(*http.Request, net.Conn) bool {
				once.Do(func() { _ = listener.Close() })
				return false
			})
		}
	})
	g.directory.Merge("c", []registry.Upstream{{ID: id, Service: "s", Address: address, Zone: "z", Slots: 4, Born: 1, Sequence: 1}})
}

func TestServer_RejectsRequestAfterThreeCrashes(t *testing.T) {
	for _, path := range []string{"/safe/x", "/once/x", "/stream/x"} {
		g := newFixture(t)
		for i := range 5 {
			g.crashingUpstream(fmt.Sprint("u", i))
		}
		require.Eventually(t, func() bool {
			g.sendPoison(path, 1)
			return g.server.opts.Suspects.Rejects(g.poisonFingerprint(path))
		}, 5*time.Second, 20*time.Millisecond)
		require.LessOrEqual(t, len(g.receivedRequests()), 4, "a request with two attempts may run once more")
		g.limiter.refuse = true // the rejection must not take a permit
		before := len(g.receivedRequests())
		r := g.sendPoison(path, 3)
		require.Equal(t, 503, r.status)
		require.Equal(t, "quarantined", r.reason)
		require.Len(t, g.receivedRequests(), before)
		g.limiter.refuse = false
		for i := range 5 {
			g.directory.Merge("c", []registry.Upstream{{ID: fmt.Sprint("u", i), State: registry.Gone}})
		}
		g.upstream("sound", respondWith("fine"))
		require.Equal(t, 200, g.callWithBody("other", "/safe/x", "another body").status)
	}
}

// poisonFingerprint returns the fingerprint of the requests of sendPoison.
func (g *fixture) poisonFingerprint(path string) suspect.Fingerprint {
	x := &exchange{
		request: &httpwire.Request{Method: "POST", Host: "h", Target: path, Body: []byte("poison")},
		account: &routing.Account{Name: "acc"},
	}
	return x.requestFingerprint()
}

// TestServer_LostResponseCountedAsCrash guards against requests that are rejected because their responses
// were lost or spoiled, while the upstreams go on.
func TestServer_LostResponseCountedAsCrash(t *testing.T) {
	g := newFixture(t)
	for i := range 3 {
		g.upstream(fmt.Sprint("u", i), func(r *http.Request, c net.Conn) bool {
			_, _ = c.Write([]byte(signed(r) + "Content-Length: 10\r\n\r\nhalf")) // the reset is what is tested
			return false
		})
	}
	g.sendPoison("/once/x", 12)
	require.Len(t, g.receivedRequests(), 12)
	require.True(t, g.server.opts.Suspects.Empty())
}

// TestServer_SilentCrashIsFoundByReplacement covers upstreams that fall silent, as in a loss of power: they
// count as crashed once another process registers under their ID or at their address, whatever it serves.
func TestServer_SilentCrashIsFoundByReplacement(t *testing.T) {
	replacements := map[string]func(registry.Upstream) registry.Upstream{
		"later incarnation": func(u registry.Upstream) registry.Upstream { u.Born++; return u },
		"another service at its address": func(u registry.Upstream) registry.Upstream {
			u.ID, u.Service, u.Born = "other-"+u.ID, "t", u.Born+1
			return u
		},
	}
	for name, replace := range replacements {
		t.Run(name, func(t *testing.T) {
			g := newFixture(t)
			for i := range suspect.MaxCrashes {
				id := fmt.Sprint("u", i)
				g.upstream(id, func(*http.Request, net.Conn) bool {
					time.Sleep(2 * time.Second)
					return false
				})
				require.Equal(t, 504, g.sendPoison("/once/x", 1).status)
				require.False(t, g.server.opts.Suspects.Rejects(g.poisonFingerprint("/once/x")))
				u := g.directory.View().Services["s"][0]
				g.directory.Merge("c", []registry.Upstream{replace(u)})
				g.server.ReviewCrashes()
				g.directory.Merge("c", []registry.Upstream{{ID: u.ID, State: registry.Gone}})
			}
			// The upstream of the last attempt is probed in the background.
			require.Eventually(t, func() bool { return g.server.opts.Suspects.Rejects(g.poisonFingerprint("/once/x")) }, minSilence+time.Second, time.Millisecond)
			require.Equal(t, "quarantined", g.sendPoison("/once/x", 1).reason)
		})
	}
}

// TestServer_AnnouncedShutdownCountedAsCrash guards against strikes for requests that were cut off by an
// upstream that had announced its shutdown.
func TestServer_AnnouncedShutdownCountedAsCrash(t *testing.T) {
	g := newFixture(t)
	for i := range 4 {
		id := fmt.Sprint("u", i)
		g.crashingUpstream(id)
		u := g.directory.View().Services["s"][0]
		stop := make(chan struct{})
		g.beforeReset = func() {
			u.State, u.Sequence = registry.Draining, 2
			g.directory.Merge("c", []registry.Upstream{u})
			close(stop)
		}
		require.Equal(t, 502, g.sendPoison("/once/x", 1).status)
		<-stop
	}
	time.Sleep(2 * crashProbeWait)
	require.True(t, g.server.opts.Suspects.Empty())
}

func TestServer_ZonePartitionCountsNoStrike(t *testing.T) {
	g := newFixture(t)
	for i := range 4 {
		g.upstream(fmt.Sprint("u", i), func(*http.Request, net.Conn) bool {
			time.Sleep(300 * time.Millisecond)
			return false
		})
	}
	for range 4 {
		time.AfterFunc(50*time.Millisecond, func() { g.server.SetZoneReachable("z", false) })
		require.Equal(t, 502, g.sendPoison("/once/x", 1).status)
		g.server.SetZoneReachable("z", true)
	}
	require.True(t, g.server.opts.Suspects.Empty())
}

// TestServer_DisconnectedCallersCostConnections guards against a new connection to an upstream for each caller
// that disconnects, while the upstream goes on responding.
func TestServer_DisconnectedCallersCostConnections(t *testing.T) {
	g := newFixture(t)
	g.upstream("u", func(r *http.Request, c net.Conn) bool {
		if strings.HasPrefix(r.URL.Path, "/once/") {
			time.Sleep(2 * time.Second) // longer than the route's timeout
			return false
		}
		_, err := c.Write([]byte(signed(r) + "Content-Length: 4\r\n\r\nfine"))
		return err == nil
	})
	stop := make(chan struct{})
	var others sync.WaitGroup
	others.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
				g.callWithBody(fmt.Sprint("s", n), "/safe/x", "sound")
			}
		}
	})
	require.Equal(t, 504, g.sendPoison("/once/x", 1).status)
	opened := g.server.pool.Opened()
	time.Sleep(minSilence)
	close(stop)
	others.Wait()
	require.Equal(t, opened, g.server.pool.Opened())
	require.True(t, g.server.opts.Suspects.Empty())
}

// TestServer_CallerClosesAfterResponseCostsConnection guards against a new connection to an upstream after each
// caller that disconnects as soon as it has the response.
func TestServer_CallerClosesAfterResponseCostsConnection(t *testing.T) {
	g := newFixture(t)
	g.upstream("u", func(r *http.Request, c net.Conn) bool {
		_, err := c.Write([]byte(signed(r) + "Content-Length: 4\r\n\r\nfine"))
		return err == nil
	})
	for n := range 500 {
		require.Equal(t, 200, g.callWithBody(fmt.Sprint("s", n), "/safe/x", "sound").status)
	}
	require.EqualValues(t, 1, g.server.pool.Opened())
}
