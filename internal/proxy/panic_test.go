package proxy

import (
	"bytes"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap/zapcore"

	"egretramp/internal/events"
)

// panickingProtocol panics when it reads an upstream's reply.
type panickingProtocol struct{ testProtocol }

func (panickingProtocol) ReadReply(int, http.Header) Reply { panic("planted") }

// lockedBuffer is a bytes.Buffer for log lines of several goroutines.
type lockedBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

func (b *lockedBuffer) text() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.String()
}

// TestServer_PanicClosesConnectionSilently guards against a panic that ends a caller's connection without a
// response and without a log line.
func TestServer_PanicClosesConnectionSilently(t *testing.T) {
	g := newFixture(t)
	var logs lockedBuffer
	g.server.opts.Events = events.NewTo("vm", zapcore.InfoLevel, zapcore.AddSync(&logs))
	g.upstream("u", respondWith("fine"))
	g.server.opts.Protocol = panickingProtocol{}
	for range 2 {
		r := g.call("1", "/safe/x")
		require.NoError(t, r.err)
		require.Equal(t, 502, r.status, "it may have run")
	}
	require.Contains(t, logs.text(), `"event":2309`)
	require.Contains(t, logs.text(), "panic_test.go")
	require.Eventually(t, func() bool { return g.server.Active() == 0 }, time.Second, time.Millisecond)
	g.server.opts.Protocol = testProtocol{}
	require.Equal(t, 200, g.call("2", "/safe/x").status)
}
