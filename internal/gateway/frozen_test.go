package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretramp/internal/refusal"
)

// frozenLimiter simulates a VM that is frozen right after it spends a token, by advancing the clock.
type frozenLimiter struct {
	testLimiter
	now     *atomic.Int64   // time since boot, ns
	freezes []time.Duration // length of the freeze after each spent token
	mu      sync.Mutex
	writeBy time.Duration // of the last token
	spent   int
}

func (l *frozenLimiter) Dispatch(context.Context, string, string) (time.Duration, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.writeBy = time.Duration(l.now.Load()) + 200*time.Millisecond
	if l.spent < len(l.freezes) {
		l.now.Add(int64(l.freezes[l.spent]))
	}
	l.spent++
	return l.writeBy, nil
}

// newFrozenGateway returns a gateway with an upstream that proxies to the address serve and fails the
// test if a call arrives after its token has expired.
func newFrozenGateway(t *testing.T, serve string, freezes ...time.Duration) (*testGateway, *frozenLimiter) {
	l := &frozenLimiter{now: &atomic.Int64{}, freezes: freezes}
	proxy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l.mu.Lock()
		late := time.Duration(l.now.Load()) >= l.writeBy
		l.mu.Unlock()
		if r.Method == http.MethodPost && late {
			t.Error("a call arrived after its token had expired")
		}
		(&httputil.ReverseProxy{Rewrite: func(p *httputil.ProxyRequest) { p.SetURL(&url.URL{Scheme: "http", Host: serve}) }}).ServeHTTP(w, r)
	}))
	t.Cleanup(proxy.Close)
	g := newTestGateway(t, proxy.Listener.Addr().String())
	g.server.opts.Limiter = l
	g.server.opts.Clock = func() time.Duration { return time.Duration(l.now.Load()) }
	return g, l
}

func TestServer_FrozenVMSendsNothingAfterTokenExpiry(t *testing.T) {
	for _, path := range []string{"/v1/chat/completions", "/v1/services/charge/x"} {
		var served atomic.Int64
		g, l := newFrozenGateway(t, startEngine(t, 1, false, &served), 5*time.Second, 201*time.Millisecond, 199*time.Millisecond)
		status, text := g.post(t, path, wholeChat)
		require.Equal(t, http.StatusOK, status, text)
		require.Equal(t, int64(1), served.Load())
		require.Equal(t, 3, l.spent, "each late attempt must spend a token, and the last must be in time")
		for _, o := range g.dispatcher.released {
			require.False(t, o.Failed || o.Unreachable, "a late attempt must not count as an upstream's failure")
		}
	}
}

func TestServer_CallWithExpiredTokensIsNotRun(t *testing.T) {
	var served atomic.Int64
	freezes := make([]time.Duration, maxUnsent)
	for i := range freezes {
		freezes[i] = time.Second
	}
	g, _ := newFrozenGateway(t, startEngine(t, 1, false, &served), freezes...)
	status, text := g.post(t, "/v1/services/charge/x", "{}")
	require.Equal(t, http.StatusServiceUnavailable, status)
	code, notRun := errorOf(t, text)
	require.Equal(t, "unavailable", code)
	require.Equal(t, refusal.True, notRun)
	require.Zero(t, served.Load())
}
