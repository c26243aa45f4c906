package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"egretramp/internal/loopback"
	"egretramp/internal/refusal"
	"egretramp/internal/upstream/wire"
)

// framed returns a body with the fields that frame it, for each way in which HTTP delimits a body. In the body %s stands for the
// attempt.
func framed(body string) [][2]string {
	size, chunks := len(strings.ReplaceAll(body, "%s", newID())), "0\r\n\r\n"
	if size > 0 {
		chunks = fmt.Sprintf("%x\r\n", size) + body + "\r\n" + chunks
	}
	return [][2]string{{fmt.Sprintf("Content-Length: %d\r\n", size), body}, {"Transfer-Encoding: chunked\r\n", chunks}, {"", body}}
}

// wholeStream is an engine's complete answer.
const wholeStream = `data: {"id":"chatcmpl-%s","object":"chat.completion.chunk","model":"m","choices":[{"index":0,"delta":{"content":"whole"},"finish_reason":"stop"}]}` +
	"\n\ndata: [DONE]\n\n"

// rawUpstream is an upstream that answers each call with the bytes in raw, in which %s stands for the attempt. It is healthy.
type rawUpstream struct {
	address string
	raw     atomic.Value // string
	runs    atomic.Int64
}

func startRawUpstream(t *testing.T) *rawUpstream {
	address, err := loopback.Address()
	require.NoError(t, err)
	l, err := net.Listen("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	u := &rawUpstream{address: address}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go u.serve(t, c)
		}
	}()
	return u
}

func (u *rawUpstream) serve(t *testing.T, c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	r, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	if r.URL.Path == "/healthz" || r.Method == http.MethodDelete {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return
	}
	u.runs.Add(1)
	_, _ = io.WriteString(c, strings.ReplaceAll(u.raw.Load().(string), "%s", r.Header.Get(wire.HeaderAttempt)))
	_ = c.(*net.TCPConn).CloseWrite()
	if _, err := http.ReadRequest(reader); err == nil {
		t.Error("the connection carried another request")
	}
}

// bytesOf returns all bytes that the caller of a POST request gets.
func (g *testGateway) bytesOf(t *testing.T, path, body, headers string) string {
	t.Helper()
	c, err := net.Dial("tcp", g.Listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nConnection: close\r\n%sContent-Length: %d\r\n\r\n%s", path, testKey, headers, len(body), body)
	require.NoError(t, err)
	got, err := io.ReadAll(c)
	require.NoError(t, err)
	return string(got)
}

// refillRetries fills the budget of retries, which is not tested here.
func (g *testGateway) refillRetries() {
	for range int(2 * retryReserve / retryRatio) {
		g.server.retries.refill()
	}
}

// invalidResponses returns answers with an invalid status, or with an invalid byte at each place of a field's name, in the
// final head, one before it, or the trailer, and HTTP/1.0 answers with chunks, which that version doesn't have.
func invalidResponses(body string) []string {
	var raw []string
	const fields = wire.HeaderAttempt + ": %s\r\nContent-Type: text/event-stream\r\n"
	for _, f := range framed(body) {
		for _, status := range []string{"000", "00", "099", "101", "600", "999", "+20", "-00"} {
			raw = append(raw, "HTTP/1.1 "+status+" Odd\r\n"+fields+f[0]+"\r\n"+f[1])
		}
		framing, value, _ := strings.Cut(f[0], ":")
		if framing == "Transfer-Encoding" {
			raw = append(raw, "HTTP/1.0 200 OK\r\n"+fields+f[0]+"\r\n"+f[1], "HTTP/1.0 200 OK\r\n"+f[0]+"Content-Length: 4\r\n"+fields+"\r\n"+f[1])
		}
		for _, b := range []byte(" \t\r\n\x00\x7f") {
			for place := range len("Odd") + 1 {
				line := "Odd"[:place] + string([]byte{b}) + "Odd"[place:] + ": v\r\n"
				raw = append(raw,
					"HTTP/1.1 200 OK\r\n"+line+fields+f[0]+"\r\n"+f[1],
					"HTTP/1.1 200 OK\r\n"+fields+f[0]+line+"\r\n"+f[1],
					"HTTP/1.1 103 Early Hints\r\nLink: l\r\n"+line+"\r\nHTTP/1.1 200 OK\r\n"+fields+f[0]+"\r\n"+f[1],
				)
				if framing == "Transfer-Encoding" {
					raw = append(raw, "HTTP/1.1 200 OK\r\n"+fields+f[0]+"\r\n"+strings.TrimSuffix(f[1], "\r\n")+"Sound: s\r\n"+line+"\r\n")
				}
			}
			for place := range len(framing) + 1 {
				if framing != "" {
					raw = append(raw, "HTTP/1.1 200 OK\r\n"+fields+framing[:place]+string([]byte{b})+framing[place:]+":"+value+"\r\n"+f[1])
				}
			}
		}
	}
	return raw
}

// TestServer_InvalidResponseOfAServiceReachesCallers guards against broken answers that are passed on or recorded, and against
// statuses for which the caller's connection is closed without an answer.
func TestServer_InvalidResponseOfAServiceReachesCallers(t *testing.T) {
	broken, sound := startRawUpstream(t), startRawUpstream(t)
	sound.raw.Store("HTTP/1.1 200 OK\r\n" + wire.HeaderAttempt + ": %s\r\nContent-Length: 5\r\n\r\nsound")
	g := newTestGateway(t, broken.address, sound.address)
	responses := append(invalidResponses("whole"), invalidResponses("")...)
	for i, raw := range responses {
		broken.raw.Store(raw)
		g.refillRetries()
		before := broken.runs.Load()
		for try := range 2 {
			got := g.bytesOf(t, "/v1/services/charge/x", fmt.Sprint(i), fmt.Sprintf("Idempotency-Key: k%d\r\n", i))
			require.True(t, strings.HasPrefix(got, "HTTP/1.1 ") && strings.Contains(got, `"not_run":"unknown"`), "try %d, %q: %q", try, raw, got)
			require.NotContains(t, got, "whole", "%q", raw)
			require.NotContains(t, got, ": v\r\n", "%q", raw)
			if try == 0 {
				require.True(t, strings.HasPrefix(got, "HTTP/1.1 502 "), "%q: %q", raw, got)
			}
		}
		require.Equal(t, before+1, broken.runs.Load(), "%q: a call that may not be repeated ran again", raw)

		got := g.bytesOf(t, "/v1/services/look/x", fmt.Sprint("look", i), "")
		require.True(t, strings.HasPrefix(got, "HTTP/1.1 200 OK\r\n") && strings.HasSuffix(got, "\r\n\r\nsound"), "%q: %q", raw, got)
		require.NotContains(t, got, ": v\r\n", "%q", raw)
		require.Equal(t, before+2, broken.runs.Load())
	}
	require.Equal(t, int64(len(responses)), sound.runs.Load(), "only repeatable calls may run there")
}

// TestServer_InvalidResponseOfAnEngineReachesCallers guards against broken answers that are passed on or taken for an engine's
// refusal, and against callers that are told that the call has not run.
func TestServer_InvalidResponseOfAnEngineReachesCallers(t *testing.T) {
	var served atomic.Int64
	broken := startRawUpstream(t)
	g := newTestGateway(t, broken.address, startEngine(t, 1, false, &served))
	alone := newTestGateway(t, broken.address)
	responses := invalidResponses(wholeStream)
	for i, raw := range responses {
		broken.raw.Store(raw)
		g.refillRetries()
		for _, body := range []string{wholeChat, streamChat} {
			got := g.bytesOf(t, "/v1/chat/completions", body, "")
			require.True(t, strings.HasPrefix(got, "HTTP/1.1 200 OK\r\n") && strings.Contains(got, "word ") && !strings.Contains(got, "whole"), "%q: %q", raw, got)
			got = alone.bytesOf(t, "/v1/chat/completions", strings.Replace(body, "hello", fmt.Sprint(i), 1), "")
			_, text, _ := strings.Cut(got, "\r\n\r\n")
			_, notRun := errorOf(t, text)
			require.Equal(t, refusal.Unknown, notRun, "%q: %q", raw, got)
		}
	}
	require.Equal(t, int64(2*len(responses)), served.Load())

	for _, f := range framed(wholeStream) {
		broken.raw.Store("HTTP/1.1 103 Early Hints\r\nLink: l\r\n\r\nHTTP/1.1 200\r\n" + wire.HeaderAttempt + ": %s\r\n!#:\r\n" + f[0] + "\r\n" + f[1])
		require.Contains(t, alone.bytesOf(t, "/v1/chat/completions", wholeChat, ""), "whole", "a valid response")
	}
}

// TestServer_UnusualResponseOfAServiceIsChanged guards against well-formed answers that are refused or changed because they are
// unusual.
func TestServer_UnusualResponseOfAServiceIsChanged(t *testing.T) {
	u := startRawUpstream(t)
	g := newTestGateway(t, u.address)
	const attempt = wire.HeaderAttempt + ": %s\r\n"
	for _, f := range framed("whole") {
		for _, c := range []struct{ before, statusLine, field, passedOn string }{
			{"", "HTTP/1.1 200", "odd:v\r\n", "Odd: v\r\n"},
			{"", "HTTP/1.1 299 ", "Odd: \t v w \t\r\n", "Odd: v w\r\n"},
			{"", "HTTP/1.1 599 O\tK \xf6", "!#$%&'*+-.^_`|~0: v\r\n", "!#$%&'*+-.^_`|~0: v\r\n"},
			{"", "HTTP/1.1 418 Odd", "Odd: v\r\nOdd:\r\nOdd: a: b, \"c\";\td\r\n", "Odd: v\r\nOdd: \r\nOdd: a: b, \"c\";\td\r\n"},
			{"HTTP/1.1 102\r\nInterim: i\r\n\r\nHTTP/1.1 199 Odd\r\n\r\n", "HTTP/1.1 200 OK", "Odd: \x80\xff\r\n", "Odd: \x80\xff\r\n"},
		} {
			u.raw.Store(c.before + c.statusLine + "\r\n" + attempt + c.field + f[0] + "\r\n" + f[1])
			before := u.runs.Load()
			got := g.bytesOf(t, "/v1/services/look/x", "", "")
			require.True(t, strings.HasPrefix(got, c.statusLine[:len("HTTP/1.1 200")]+" "), "%q: %q", c.statusLine, got)
			require.Contains(t, got, c.passedOn)
			require.NotContains(t, got, "Interim")
			require.True(t, strings.HasSuffix(got, "\r\n\r\nwhole"), "%q", got)
			require.Equal(t, before+1, u.runs.Load())
		}
	}
	u.raw.Store("HTTP/1.1 200 OK\r\n" + attempt + "Transfer-Encoding: chunked\r\n\r\n5;a=b\r\nwhole\r\n00\r\nOdd: v\r\n!#:\r\n\r\n")
	require.True(t, strings.HasSuffix(g.bytesOf(t, "/v1/services/look/x", "", ""), "\r\n\r\nwhole"))
}
