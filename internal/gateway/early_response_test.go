package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretramp/internal/connend/connendtest"
	"egretramp/internal/upstream"
	"egretramp/internal/upstream/wire"
)

// earlyResponse is a response without a length that an upstream sends before it has read the whole request.
type earlyResponse struct {
	version, fields string
	body            string // %s stands for the attempt
	upload          int    // bytes of the request's body
	chunked         bool   // the caller sends them in chunks
	read            int    // bytes of the body that the upstream reads before
	end             func(c *net.TCPConn)
}

// resetEarly ends a connection by a reset.
func resetEarly(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// startEarlyUpstream starts an upstream that sends an early response to each call. It is healthy.
func startEarlyUpstream(t *testing.T, response earlyResponse) (address string, runs *atomic.Int64) {
	l, err := net.Listen("tcp", unusedAddress(t))
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	runs = &atomic.Int64{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveEarly(t, c.(*net.TCPConn), response, runs)
		}
	}()
	return l.Addr().String(), runs
}

func serveEarly(t *testing.T, c *net.TCPConn, response earlyResponse, runs *atomic.Int64) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	r, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	if r.URL.Path == "/healthz" || r.Method == http.MethodDelete {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return
	}
	runs.Add(1)
	_, _ = io.CopyN(io.Discard, r.Body, int64(response.read))
	attempt := r.Header.Get(wire.HeaderAttempt)
	_, _ = io.WriteString(c, response.version+" 200 OK\r\n"+wire.HeaderAttempt+": "+attempt+"\r\n"+response.fields+"\r\n"+strings.ReplaceAll(response.body, "%s", attempt))
	response.end(c)
	if _, err := http.ReadRequest(reader); err == nil {
		t.Error("the connection of an early response carried another request")
	}
}

// startSoundUpstream starts an upstream that answers each call whole, with the body sound.
func startSoundUpstream(t *testing.T) string {
	sound := startRawUpstream(t)
	sound.raw.Store("HTTP/1.1 200 OK\r\n" + wire.HeaderAttempt + ": %s\r\nContent-Length: 5\r\n\r\nsound")
	return sound.address
}

// resetClient returns a client on whose first connection a write sees a reset before a read.
func resetClient() *upstream.Client { return clientOn(connendtest.NewConn) }

// clientOn returns a client whose first connection is what wrap makes of it.
func clientOn(wrap func(net.Conn) *connendtest.Conn) *upstream.Client {
	dial := connendtest.DialFirst(connendtest.Dial, wrap)
	return upstream.NewClientWithDial(func(ctx context.Context, _, address string) (net.Conn, error) { return dial(ctx, address) })
}

// upload returns all bytes that the caller of a service gets.
func (g *testGateway) upload(t *testing.T, path string, response earlyResponse) string {
	t.Helper()
	body := strings.Repeat("u", response.upload)
	if !response.chunked {
		return g.bytesOf(t, path, body, "Idempotency-Key: k\r\n")
	}
	c, err := net.Dial("tcp", g.Listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nConnection: close\r\nIdempotency-Key: k\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n",
		path, testKey, len(body), body)
	require.NoError(t, err)
	got, err := io.ReadAll(c)
	require.NoError(t, err)
	return string(got)
}

// requireFailedUpload checks that callers get nothing of a broken response: a call that may not be repeated runs once, and its outcome
// is unknown, also when it is asked for again. Another one gets the answer of the next upstream.
func requireFailedUpload(t *testing.T, response earlyResponse) {
	t.Helper()
	broken, runs := startEarlyUpstream(t, response)
	g := newTestGatewayWith(t, resetClient(), broken, startSoundUpstream(t))
	for try := range 2 {
		got := g.upload(t, "/v1/services/charge/x", response)
		require.Contains(t, got, `"not_run":"unknown"`, "try %d of %+v: %q", try, response, got)
		require.NotContains(t, got, "part")
		if try == 0 {
			require.True(t, strings.HasPrefix(got, "HTTP/1.1 502 "), "%+v: %q", response, got)
		}
		require.Equal(t, int64(1), runs.Load())
	}
	g = newTestGatewayWith(t, resetClient(), broken, startSoundUpstream(t))
	got := g.upload(t, "/v1/services/search/x", response)
	require.True(t, strings.HasPrefix(got, "HTTP/1.1 200 OK\r\n") && strings.HasSuffix(got, "\r\n\r\nsound"), "%+v: %q", response, got)
	require.Equal(t, int64(2), runs.Load())
}

// TestServer_ResetDuringAnUploadCompletesAResponse guards against a part of an answer that callers get as a whole one, because its
// upstream reset the connection while the request's body was being written.
func TestServer_ResetDuringAnUploadCompletesAResponse(t *testing.T) {
	for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
		for _, fields := range []string{"", "Connection: close\r\n", "Connection: keep-alive\r\n"} {
			for _, body := range []string{"", "part"} {
				requireFailedUpload(t, earlyResponse{version, fields, body, 64 << 10, false, 0, resetEarly})
			}
		}
	}
	for _, upload := range []int{1, 4 << 10, 1 << 20, 6 << 20} {
		for _, read := range []int{0, upload / 2, upload - 1} {
			for _, chunked := range []bool{false, true} {
				requireFailedUpload(t, earlyResponse{"HTTP/1.1", "", "part", upload, chunked, read, resetEarly})
			}
		}
	}
}

// longChat returns a chat completion whose prompt takes size bytes.
func longChat(size int, fields string) string {
	return `{"model":"m",` + fields + `"messages":[{"role":"user","content":"` + strings.Repeat("u", size) + `"}]}`
}

// TestServer_ResetDuringALongPromptCompletesAStream guards against the same with the streams of engines.
func TestServer_ResetDuringALongPromptCompletesAStream(t *testing.T) {
	event, _, _ := strings.Cut(wholeStream, "data: [DONE]")
	for _, body := range []string{"", event[:20], event} {
		for _, fields := range []string{"", `"stream":true,`} {
			for _, size := range []int{64 << 10, 1 << 20} {
				broken, runs := startEarlyUpstream(t, earlyResponse{"HTTP/1.1", "", body, 0, false, 0, resetEarly})
				g := newTestGatewayWith(t, resetClient(), broken)
				got := g.bytesOf(t, "/v1/chat/completions", longChat(size, fields), "")
				require.Contains(t, got, `"not_run":"unknown"`, "%q: %q", body, got)
				require.NotContains(t, got, "[DONE]")
				require.Equal(t, fields != "" && body == event, strings.HasPrefix(got, "HTTP/1.1 200 "), "%q: %q", body, got)
				require.Equal(t, int64(1), runs.Load())
			}
		}
	}
}

// TestServer_WholeResponseDuringAnUploadFails guards against whole answers that fail because their upstream doesn't take the rest of the
// request: those without a length that end in order, and those with one however their connection ends.
func TestServer_WholeResponseDuringAnUploadFails(t *testing.T) {
	whole := strings.Repeat("whole", 2000)
	length := fmt.Sprintf("Content-Length: %d\r\n", len(whole))
	readLast := func() *upstream.Client { return clientOn(connendtest.NewConnReadLast) }
	resetAfterEnd := func(c *net.TCPConn) {
		_ = c.CloseWrite()
		resetEarly(c)
	}
	for name, c := range map[string]struct {
		fields string
		client func() *upstream.Client
		end    func(c *net.TCPConn)
	}{
		"reads nothing more": {"", upstream.NewClient, func(c *net.TCPConn) { _ = c.CloseWrite() }},
		"reads on": {"", upstream.NewClient, func(c *net.TCPConn) {
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, c)
		}},
		"resets after its end":               {"", resetClient, resetAfterEnd},
		"resets after its end, read last":    {"", readLast, resetAfterEnd},
		"resets after its length":            {length, resetClient, resetEarly},
		"resets after its length, read last": {length, readLast, resetEarly},
	} {
		t.Run(name, func(t *testing.T) {
			for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
				for _, upload := range []int{64 << 10, 1 << 20, 6 << 20} {
					for _, read := range []int{0, upload / 2} {
						response := earlyResponse{version, c.fields, whole, upload, false, read, c.end}
						address, runs := startEarlyUpstream(t, response)
						g := newTestGatewayWith(t, c.client(), address)
						began := time.Now()
						got := g.upload(t, "/v1/services/charge/x", response)
						answer, err := http.ReadResponse(bufio.NewReader(strings.NewReader(got)), nil)
						require.NoError(t, err)
						body, err := io.ReadAll(answer.Body)
						require.NoError(t, err)
						require.Equal(t, http.StatusOK, answer.StatusCode, "%s, %d bytes: %.300q", version, upload, got)
						require.Equal(t, whole, string(body))
						require.Less(t, time.Since(began), 5*time.Second, "far below the timeout")
						require.Equal(t, int64(1), runs.Load())
					}
				}
			}
		})
	}
}
