package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"egretramp/internal/registry"
)

// setBuild registers an upstream again, with a build and a state.
func (g *fixture) setBuild(id, build string, state registry.State) {
	for _, u := range g.directory.View().Services["s"] {
		if u.ID == id {
			u.Build, u.State, u.Sequence = build, state, u.Sequence+1
			g.directory.Merge("c", []registry.Upstream{u})
			return
		}
	}
	require.Fail(g.t, "no such upstream", id)
}

// streamFrom writes the events after the one that the request resumes from, and breaks the connection off after
// the event with the number brokenAfter, unless it is 0.
func streamFrom(build string, brokenAfter int) func(*http.Request, net.Conn) bool {
	return func(r *http.Request, c net.Conn) bool {
		after := 0
		_, _ = fmt.Sscan(r.Header.Get("Last"), &after) // stays 0 for a stream that begins
		out := signed(r) + "Transfer-Encoding: chunked\r\n\r\n"
		for i := after + 1; i <= 4; i++ {
			event := fmt.Sprintf("id: %d\ndata: %s-%d\n\n", i, build, i)
			out += fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
			if i == brokenAfter {
				_, _ = io.WriteString(c, out)
				time.Sleep(20 * time.Millisecond) // a reset discards what isn't read yet
				return false
			}
		}
		_, err := io.WriteString(c, out+"0\r\n\r\n")
		return err == nil
	}
}

// words returns the data of the events in a response.
func words(body string) []string {
	var all []string
	for line := range strings.Lines(body) {
		if data, ok := strings.CutPrefix(line, "data: "); ok {
			all = append(all, strings.TrimSpace(data))
		}
	}
	return all
}

// TestServer_StreamIsNotResumedAtAnotherBuild breaks a stream off after two events: the VM goes on at an upstream
// of the same build, or not at all.
func TestServer_StreamIsNotResumedAtAnotherBuild(t *testing.T) {
	for _, second := range []string{"v1", "v2", ""} {
		t.Run("the other upstream is of build "+second, func(t *testing.T) {
			g := newFixture(t)
			g.upstream("a", func(r *http.Request, c net.Conn) bool {
				return r.Header.Get("Last") == "" && streamFrom("v1", 2)(r, c)
			})
			g.setBuild("a", "v1", registry.Ready)
			g.server.health.recordFailure("b", maybeRun, io.ErrUnexpectedEOF) // the stream begins at a
			g.upstream("b", streamFrom(second, 0))
			g.setBuild("b", second, registry.Ready)
			r := g.call("1", "/resumed-twice/", "Program: p")
			if second == "v1" {
				require.NoError(t, r.err)
				require.Equal(t, []string{"v1-1", "v1-2", "v1-3", "v1-4"}, words(r.body))
				return
			}
			require.Error(t, r.err, "the response must not look complete")
			require.Equal(t, []string{"v1-1", "v1-2"}, words(r.body))
			for _, received := range g.receivedRequests() {
				require.NotEqual(t, "b", received.upstream)
			}
		})
	}
}

// TestServer_CallerResumesOnlyAtTheSameBuild begins a stream on one entry VM and resumes it on another, which
// knows of it only what the store holds.
func TestServer_CallerResumesOnlyAtTheSameBuild(t *testing.T) {
	g := newFixture(t)
	g.upstream("a", func(r *http.Request, c net.Conn) bool {
		return r.Header.Get("Last") == "" && streamFrom("v1", 2)(r, c)
	})
	g.setBuild("a", "v1", registry.Ready)
	require.Equal(t, []string{"v1-1", "v1-2"}, words(g.call("1", "/resumed/", "Program: p").body))
	g.directory.Merge("c", []registry.Upstream{{ID: "a", State: registry.Gone}})
	for i := range 4 {
		g.upstream(fmt.Sprint("new", i), streamFrom("v2", 0))
		g.setBuild(fmt.Sprint("new", i), "v2", registry.Ready)
	}
	g.startVM("z", g.server.opts.Table())
	started := time.Now()
	for i, headers := range [][]string{
		{"Resumes: 1", "Last: 2"},                // its build has left
		{"Resumes: 1", "Last: 2", "Key: other"},  // another account's
		{"Resumes: unheard-of", "Last: 2"},       // nobody's
		{"Resumes: 1", "Last: 2", "Program: p2"}, // the program doesn't matter
	} {
		r := g.call(fmt.Sprint("refused", i), "/resumed/", headers...)
		require.Equal(t, 503, r.status, headers)
		require.Empty(t, words(r.body))
	}
	require.Less(t, time.Since(started), time.Second, "what can't be resumed is refused at once")
	require.Len(t, g.receivedRequests(), 2, "the first attempt, and its resumption at the same upstream")

	for i := range 2 {
		g.upstream(fmt.Sprint("old", i), streamFrom("v1", 3))
		g.setBuild(fmt.Sprint("old", i), "v1", registry.Ready)
	}
	require.Equal(t, 503, g.call("foreign", "/resumed/", "Resumes: 1", "Last: 2", "Key: other").status, "it is another account's")
	r := g.call("2", "/resumed/", "Resumes: 1", "Last: 2")
	require.NoError(t, r.err)
	require.Equal(t, []string{"v1-3", "v1-4"}, words(r.body))
	for _, first := range []string{"1", "2"} { // take-ups name the first attempt; a later one is understood as well
		r = g.call("3 of "+first, "/resumed/", "Resumes: "+first, "Last: 3")
		require.Equal(t, []string{"v1-4"}, words(r.body))
	}
}

// TestServer_ReplacedUpstreamEndsTheStream replaces the process of an upstream while it writes: from then on the
// build of its events isn't certain.
func TestServer_ReplacedUpstreamEndsTheStream(t *testing.T) {
	g := newFixture(t)
	replace := make(chan struct{})
	g.upstream("a", func(r *http.Request, c net.Conn) bool {
		_, _ = io.WriteString(c, signed(r)+"Transfer-Encoding: chunked\r\n\r\n"+eventChunks(1, 2))
		<-replace
		time.Sleep(30 * time.Millisecond)
		_, _ = io.WriteString(c, eventChunks(3, 4)+"0\r\n\r\n")
		return true
	})
	go func() {
		time.Sleep(50 * time.Millisecond)
		for _, u := range g.directory.View().Services["s"] {
			u.Born, u.Sequence, u.Build = u.Born+1, 1, "v2"
			g.directory.Merge("c", []registry.Upstream{u})
		}
		close(replace)
	}()
	r := g.call("1", "/resumed/", "Program: p")
	require.Error(t, r.err)
	require.Equal(t, []string{"word1", "word2"}, words(r.body))
	g.upstream("b", streamFrom("v1", 0))
	require.Eventually(t, func() bool {
		return g.call(fmt.Sprint("after ", time.Now().UnixNano()), "/resumed/", "Resumes: 1", "Last: 2").status == 503
	}, time.Second, 10*time.Millisecond, "neither build may go on")
}

// TestServer_FirstEventWaitsForItsOrigin delays the store: the origin is recorded while the upstream reads the prompt,
// and the first event waits for a slow store for a bounded time.
func TestServer_FirstEventWaitsForItsOrigin(t *testing.T) {
	g := newFixture(t)
	const prefill = 300 * time.Millisecond
	g.upstream("a", func(r *http.Request, c net.Conn) bool {
		time.Sleep(prefill)
		return streamFrom("v1", 0)(r, c)
	})
	for _, c := range []struct{ store, atLeast, atMost time.Duration }{
		{prefill / 2, prefill, prefill + prefill/2},
		{prefill + maxRecordWait/2, prefill + maxRecordWait/2, 2 * prefill},
		{5 * prefill, prefill + maxRecordWait, 5 * prefill},
	} {
		g.ledger.setRecordDelay(c.store)
		started := time.Now()
		r := g.call(fmt.Sprint(c.store), "/resumed/")
		took := time.Since(started)
		require.Equal(t, 200, r.status)
		require.GreaterOrEqual(t, took, c.atLeast)
		require.Less(t, took, c.atMost, "the store takes %s", c.store)
	}
}

// TestServer_UnrecordedOriginOfAnotherBuild lets an attempt fail before its first event. The next one may be of
// another build only if that replaces the record of the first.
func TestServer_UnrecordedOriginOfAnotherBuild(t *testing.T) {
	for _, failing := range []bool{false, true} {
		g := newFixture(t)
		g.upstream("a", func(*http.Request, net.Conn) bool {
			if failing {
				g.ledger.setRecordError(errors.New("no store"))
			}
			return false
		})
		g.server.health.recordFailure("b", maybeRun, io.ErrUnexpectedEOF)
		g.upstream("b", streamFrom("v2", 0))
		g.setBuild("b", "v2", registry.Ready)
		r := g.call("1", "/resumed-twice/")
		if failing {
			require.NotEqual(t, 200, r.status)
			require.Empty(t, words(r.body))
			continue
		}
		require.Equal(t, []string{"v2-1", "v2-2", "v2-3", "v2-4"}, words(r.body))
		require.Equal(t, []string{"v2-3", "v2-4"}, words(g.call("2", "/resumed/", "Resumes: 1", "Last: 2").body))
	}
}

// TestServer_LeavingUpstreamFinishesStreams checks that an upstream that has announced its shutdown still goes on
// with streams of its build that no other can resume, for a part of the time that it serves on.
func TestServer_LeavingUpstreamFinishesStreams(t *testing.T) {
	g := newFixture(t)
	g.server.opts.Drain = 800 * time.Millisecond
	g.upstream("a", streamFrom("v1", 0))
	require.Len(t, words(g.call("1", "/resumed/").body), 4)
	g.upstream("b", streamFrom("v2", 0))
	g.setBuild("b", "v2", registry.Ready)
	for _, u := range g.directory.View().Services["s"] {
		if u.ID == "a" {
			u.State, u.Sequence, u.Leaving = registry.Draining, 2, time.Millisecond
			g.directory.Merge("c", []registry.Upstream{u})
		}
	}
	require.Equal(t, []string{"v1-3", "v1-4"}, words(g.call("2", "/resumed/", "Resumes: 1", "Last: 2").body))
	require.Equal(t, []string{"v2-1", "v2-2", "v2-3", "v2-4"}, words(g.call("3", "/resumed/").body), "new streams begin elsewhere")
	time.Sleep(400 * time.Millisecond)
	require.Equal(t, 503, g.call("4", "/resumed/", "Resumes: 1", "Last: 2").status)
}

// TestServer_SlowStoreIsNoSlowUpstream guards against the admission of programs that takes the wait for the record of an
// origin for the time that the upstream took.
func TestServer_SlowStoreIsNoSlowUpstream(t *testing.T) {
	const storeDelay = 80 * time.Millisecond
	g := newFixture(t)
	g.upstream("a", streamFrom("v1", 0))
	g.ledger.setRecordDelay(storeDelay)
	for i := range 4 {
		started := time.Now()
		require.Equal(t, 200, g.call(fmt.Sprint(i), "/resumed/").status)
		require.GreaterOrEqual(t, time.Since(started), storeDelay)
	}
	g.server.health.mu.Lock()
	defer g.server.health.mu.Unlock()
	require.Less(t, g.server.health.upstreams["a"].latency, storeDelay/2)
}

// TestServer_UnnamedStreamIsResumedAtTheOnlyBuild resumes streams whose callers don't say which attempt began them. They go
// on only if all streams of the account were written by one build, whichever builds serve now.
func TestServer_UnnamedStreamIsResumedAtTheOnlyBuild(t *testing.T) {
	g := newFixture(t)
	g.upstream("a", streamFrom("v1", 0))
	require.Equal(t, 503, g.call("1", "/resumed/", "Last: 2").status, "no stream of the account is known")
	require.Len(t, words(g.call("2", "/resumed/").body), 4)
	g.startVM("z", g.server.opts.Table())
	require.Equal(t, []string{"v1-3", "v1-4"}, words(g.call("3", "/resumed/", "Last: 2").body))
	require.Equal(t, 503, g.call("4", "/resumed/", "Last: 2", "Key: other").status, "another account has no stream")

	g.upstream("b", streamFrom("v2", 0))
	g.setBuild("b", "v2", registry.Ready)
	require.Equal(t, []string{"v1-3", "v1-4"}, words(g.call("5", "/resumed/", "Last: 2").body), "no stream was written by the new build")
	g.directory.Merge("c", []registry.Upstream{{ID: "a", State: registry.Gone}})
	require.Equal(t, 503, g.call("6", "/resumed/", "Last: 2").status, "the new build is the only one in sight, but wrote none of the streams")
	require.Equal(t, "v2-1", words(g.call("7", "/resumed/").body)[0])
	require.Equal(t, 503, g.call("8", "/resumed/", "Last: 2").status, "two builds wrote streams of the account")
	require.Equal(t, []string{"v2-3", "v2-4"}, words(g.call("9", "/resumed/", "Last: 2", "Resumes: 7").body))
}
