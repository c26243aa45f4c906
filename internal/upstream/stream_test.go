package upstream

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"egretramp/internal/upstream/wire"
)

const attempt = "a1"

// scriptedEngine is a fake engine; each of its connections runs one function given by the test.
type scriptedEngine struct {
	*httptest.Server
	opened atomic.Int32
	froms  []string
}

func newScriptedEngine(t *testing.T, conns ...func(w *engineConn)) *scriptedEngine {
	s := &scriptedEngine{}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/healthz" {
			return
		}
		n := int(s.opened.Add(1)) - 1
		s.froms = append(s.froms, r.URL.Query().Get("from"))
		_, _ = io.ReadAll(r.Body)
		if n >= len(conns) {
			http.Error(w, "unknown attempt", http.StatusNotFound)
			return
		}
		w.Header().Set(wire.HeaderAttempt, attempt)
		conns[n](&engineConn{ResponseWriter: w, request: r, server: s})
	}))
	t.Cleanup(s.Close)
	return s
}

type engineConn struct {
	http.ResponseWriter
	request *http.Request
	server  *scriptedEngine
}

func (c *engineConn) raw(text string) {
	_, _ = io.WriteString(c, text)
	_ = http.NewResponseController(c.ResponseWriter).Flush()
}

func chunkText(id string, n int) string {
	return fmt.Sprintf(`{"id":"chatcmpl-%s","choices":[],"n":%d}`, id, n)
}

func (c *engineConn) chunks(from, to int) {
	for n := from; n < to; n++ {
		c.raw("data: " + chunkText(attempt, n) + "\n\n")
	}
}

func (c *engineConn) done()  { c.raw("data: [DONE]\n\n") }
func (c *engineConn) reset() { panic(http.ErrAbortHandler) }
func (c *engineConn) hang()  { <-c.request.Context().Done() }

// resume sends the chunks from the requested index up to, but not including, to.
func (c *engineConn) resume(to int) {
	from, _ := strconv.Atoi(c.request.URL.Query().Get("from"))
	c.chunks(from, to)
}

func (s *scriptedEngine) address() string { return strings.TrimPrefix(s.URL, "http://") }

// readStream reads a stream to its end and returns its chunks.
func readStream(t *testing.T, address string, canResume bool) ([]string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	stream := NewClient().OpenStream(ctx, Target{Address: address, CanResume: canResume, Attempt: attempt}, []byte("{}"))
	defer stream.Close()
	var got []string
	for {
		data, err := stream.Next(ctx)
		if err == io.EOF {
			return got, nil
		}
		if err != nil {
			return got, err
		}
		got = append(got, string(data))
	}
}

func chunksUpTo(n int) []string {
	var all []string
	for i := range n {
		all = append(all, chunkText(attempt, i))
	}
	return all
}

func TestStream_IgnoresCommentsAndOtherFields(t *testing.T) {
	s := newScriptedEngine(t, func(c *engineConn) {
		c.raw(": keep-alive\r\n\r\nevent: message\nid: 7\ndata:" + chunkText(attempt, 0) + "\n\n")
		c.raw("data: {\"id\":\"chatcmpl-a1\",\ndata: \"choices\":[]}\n\n")
		c.done()
	})
	got, err := readStream(t, s.address(), true)
	require.NoError(t, err)
	require.Equal(t, []string{chunkText(attempt, 0), "{\"id\":\"chatcmpl-a1\",\n\"choices\":[]}"}, got)
}

func TestStream_ResumesWithoutGapOrDuplicate(t *testing.T) {
	s := newScriptedEngine(t,
		func(c *engineConn) {
			c.chunks(0, 3)
			c.raw("data: {\"id\":\"chatcmpl-a1\",\"cut") // an incomplete event
			c.reset()
		},
		func(c *engineConn) { c.resume(5); c.reset() },
		func(c *engineConn) { c.reset() },
		func(c *engineConn) { c.resume(8); c.done() },
	)
	got, err := readStream(t, s.address(), true)
	require.NoError(t, err)
	require.Equal(t, chunksUpTo(8), got)
	require.Equal(t, []string{"", "3", "5", "5"}, s.froms)
}

func TestStream_IdleConnectionIsReplaced(t *testing.T) {
	t.Parallel()
	s := newScriptedEngine(t,
		func(c *engineConn) { c.chunks(0, 2); c.hang() },
		func(c *engineConn) { c.resume(4); c.done() },
	)
	got, err := readStream(t, s.address(), true)
	require.NoError(t, err)
	require.Equal(t, chunksUpTo(4), got)
}

func TestStream_EndsWithAnError(t *testing.T) {
	for name, c := range map[string]struct {
		canResume bool
		conns     []func(*engineConn)
		want      error
		chunks    int
	}{
		"connection reset, cannot resume": {false, []func(*engineConn){func(c *engineConn) { c.chunks(0, 2); c.reset() }}, ErrBroken, 2},
		"ended without [DONE]":            {false, []func(*engineConn){func(c *engineConn) { c.chunks(0, 2) }}, ErrBroken, 2},
		"restarted":                       {true, []func(*engineConn){func(c *engineConn) { c.chunks(0, 2); c.reset() }}, ErrDied, 2},
		"restarted, also ErrLost":         {true, []func(*engineConn){func(c *engineConn) { c.chunks(0, 2); c.reset() }}, ErrLost, 2},
		"reset before the first chunk":    {true, []func(*engineConn){func(c *engineConn) { c.reset() }}, ErrBroken, 0},
		"chunk of another attempt":        {true, []func(*engineConn){func(c *engineConn) { c.chunks(0, 1); c.raw("data: " + chunkText("other", 1) + "\n\n") }}, ErrAttemptMismatch, 1},
		"response of another attempt": {true, []func(*engineConn){func(c *engineConn) {
			c.Header().Set(wire.HeaderAttempt, "other")
			c.chunks(0, 1)
		}}, ErrAttemptMismatch, 0},
		"resumption answered for another attempt": {true, []func(*engineConn){
			func(c *engineConn) { c.chunks(0, 1); c.reset() },
			func(c *engineConn) { c.Header().Set(wire.HeaderAttempt, "other"); c.chunks(1, 2) },
		}, ErrAttemptMismatch, 1},
		"error event": {true, []func(*engineConn){func(c *engineConn) {
			c.chunks(0, 1)
			c.raw("data: {\"error\":{\"message\":\"out of memory\"}}\n\n")
			c.done()
		}}, ErrBroken, 1},
		"not JSON": {true, []func(*engineConn){func(c *engineConn) { c.raw("data: hello\n\n"); c.done() }}, ErrBroken, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := newScriptedEngine(t, c.conns...)
			got, err := readStream(t, s.address(), c.canResume)
			require.True(t, errors.Is(err, c.want), "%v", err)
			require.Equal(t, chunksUpTo(c.chunks), append([]string(nil), got...))
			require.LessOrEqual(t, int(s.opened.Load()), 2, "resumed at most once")
		})
	}
}

// TestStream_OversizedEventIsNotRetried checks that a stream with an oversized event isn't resumed:
// every resumption would return the same event.
func TestStream_OversizedEventIsNotRetried(t *testing.T) {
	for name, send := range map[string]func(*engineConn){
		"oversized line": func(c *engineConn) { c.raw("data: " + strings.Repeat("x", maxEventBytes+1)) },
		"oversized event of many lines": func(c *engineConn) {
			line := "data: " + strings.Repeat("x", 1<<20) + "\n"
			for range 10 {
				c.raw(line)
			}
			c.hang()
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newScriptedEngine(t, send, send, send)
			_, err := readStream(t, s.address(), true)
			require.True(t, errors.Is(err, ErrBroken), "%v", err)
			require.Equal(t, int32(1), s.opened.Load())
		})
	}
}

// TestStream_EngineStopsBeforeProbe stops the engine between the first connection and the probe. The
// call was written, so the error must not report that it did not run.
func TestStream_EngineStopsBeforeProbe(t *testing.T) {
	var s *scriptedEngine
	s = newScriptedEngine(t, func(c *engineConn) { c.chunks(0, 1); _ = s.Listener.Close(); c.reset() })
	_, err := readStream(t, s.address(), true)
	require.True(t, errors.Is(err, ErrLost) && errors.Is(err, ErrDied), "%v", err)
}

// TestStream_ResumptionNotSent covers a resumption whose connection is refused after a successful
// probe: it is not terminal, unlike a first request that could not be sent.
func TestStream_ResumptionNotSent(t *testing.T) {
	stream := &Stream{conn: &streamConn{resumed: true}}
	require.False(t, stream.isTerminal(&CallError{Written: false, Cause: io.EOF}))
	stream.conn.resumed = false
	require.True(t, stream.isTerminal(&CallError{Written: false, Cause: io.EOF}))
}

func TestStream_EngineRejectsCall(t *testing.T) {
	s := newScriptedEngine(t)
	_, err := readStream(t, s.address(), true)
	var status *StatusError
	require.True(t, errors.As(err, &status))
	require.Equal(t, http.StatusNotFound, status.Status)
}

// TestStream_ProgressResetsResumeCount resumes a stream more than maxResumes times, with a new chunk
// each time.
func TestStream_ProgressResetsResumeCount(t *testing.T) {
	var conns []func(*engineConn)
	for i := range maxResumes + 4 {
		conns = append(conns, func(c *engineConn) { c.chunks(i, i+1); c.reset() })
	}
	conns = append(conns, func(c *engineConn) { c.done() })
	s := newScriptedEngine(t, conns...)
	got, err := readStream(t, s.address(), true)
	require.NoError(t, err)
	require.Equal(t, chunksUpTo(maxResumes+4), got)
}

func TestStream_IdleLimitGrowsAfterSecondResume(t *testing.T) {
	var waits []time.Duration
	for resumes := range 6 {
		s := Stream{resumes: resumes}
		waits = append(waits, s.idleLimit()/time.Second)
	}
	require.Equal(t, []time.Duration{2, 2, 4, 8, 16, 16}, waits)
}
