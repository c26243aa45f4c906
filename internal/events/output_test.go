package events

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// blockedWriter blocks writes until release is closed, like a pipe without a reader.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(p)
}

func (w *blockedWriter) lines() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return strings.Count(w.written.String(), "\n")
}

func TestOutput_NeverBlocks(t *testing.T) {
	w := &blockedWriter{release: make(chan struct{})}
	o := NewOutput(w)
	log := NewTo("vm", zapcore.InfoLevel, o)
	const lines = 20_000
	begin := time.Now()
	for range lines {
		log.Emit(ProxyRefused, zap.String("request", "0123456789abcdef"), zap.String("reason", "over_rate"))
	}
	require.Less(t, time.Since(begin), 2*time.Second, "writing log lines must not wait for the reader")
	require.Positive(t, o.Dropped())
	log.Sync()
	require.Less(t, time.Since(begin), 3*time.Second, "Sync must not wait for the reader")

	close(w.release)
	kept := lines - int(o.Dropped())
	require.Eventually(t, func() bool { return w.lines() >= kept }, 5*time.Second, 10*time.Millisecond)
	require.Equal(t, kept, w.lines(), "each line that is not dropped must be written exactly once")
}

func TestOutput_FlushesWithinSync(t *testing.T) {
	w := &blockedWriter{release: make(chan struct{})}
	close(w.release)
	log := NewTo("vm", zapcore.InfoLevel, NewOutput(w))
	log.Emit(NodeStarted)
	log.Emit(NodeStopped)
	log.Sync()
	require.Equal(t, 2, w.lines())
	require.Contains(t, w.written.String(), `"vm":"vm","event":2400`)
}
