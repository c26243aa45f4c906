package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"egretramp/internal/upstream/wire"
)

// brokenBodies are the ends of responses that break off, with the fields that frame them. The sessions in them are whole.
var brokenBodies = map[string]struct {
	response string
	reset    bool
}{
	"no body":      {"Content-Length: 16\r\n\r\n", false},
	"length":       {"Content-Length: 16\r\n\r\n{\"sessions\":[]}", false},
	"chunks":       {"Transfer-Encoding: chunked\r\n\r\nf\r\n{\"sessions\":[]}\r\n", false},
	"reset":        {"\r\n{\"sessions\":[]}", true},
	"reset length": {"Content-Length: 16\r\n\r\n{\"sessions\":[]}", true},
}

// serveBroken answers each request but probes with a head and one of brokenBodies.
func serveBroken(t *testing.T, status, body string, probes bool) (address string) {
	broken := brokenBodies[body]
	address, _ = rawServer(t, func(c net.Conn) {
		defer func() { _ = c.Close() }()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if r.URL.Path == "/healthz" && !probes {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 "+status+"\r\n"+wire.HeaderAttempt+": "+attempt+"\r\n"+broken.response)
		if broken.reset {
			c.(*countingConn).reset()
		}
	})
	return address
}

// TestClient_ResponseThatBreaksOffIsAnAnswer guards against answers to probes, orders and reports that break off after their head and are
// taken for a success, or for the statement that nothing was done.
func TestClient_ResponseThatBreaksOffIsAnAnswer(t *testing.T) {
	ctx := context.Background()
	for _, status := range []string{"200 OK", "404 Not Found", "409 Conflict", "503 Full"} {
		for body := range brokenBodies {
			about := status + " " + body
			address := serveBroken(t, status, body, true)
			c := NewClient()
			require.Error(t, c.Probe(ctx, address), about)
			err := c.Order(ctx, address, wire.Order{ID: "o"})
			require.Error(t, err, about)
			require.False(t, errors.IsAny(err, ErrOldFencing, ErrOrderFailed), "%s: %v", about, err)
			_, err = c.Sessions(ctx, address)
			require.Error(t, err, about)
			require.False(t, c.ReleaseSession(ctx, address, "s"), about)
			s := c.OpenStream(ctx, Target{Address: address, Attempt: attempt}, nil)
			require.False(t, s.Cancel(), about)
			s.Close()
		}
	}
}

// TestStream_StatusThatBreaksOffIsARefusal guards against an engine's answer that breaks off after its head and is taken for a refusal,
// and the call for one that has not run.
func TestStream_StatusThatBreaksOffIsARefusal(t *testing.T) {
	for _, status := range []string{"400 Bad Request", "404 Not Found", "429 Too Many Requests", "503 Full"} {
		for body := range brokenBodies {
			_, err := readStream(t, serveBroken(t, status, body, false), false)
			require.ErrorIs(t, err, ErrBroken, "%s %s", status, body)
			require.False(t, isStatus(err), "%s %s", status, body)
		}
	}
}

// TestClient_LongResponseFails guards against whole answers that fail for their size, where only the status matters.
func TestClient_LongResponseFails(t *testing.T) {
	ctx := context.Background()
	for _, size := range []int{0, 1, maxStatusBody, maxStatusBody + 1, 1 << 20} {
		response := fmt.Sprintf("%s: %s\r\nContent-Length: %d\r\n\r\n", wire.HeaderAttempt, attempt, size) + strings.Repeat("x", size)
		address := serveRaw(t, func(*http.Request) string { return "HTTP/1.1 200 OK\r\n" + response })
		c := NewClient()
		require.NoError(t, c.Probe(ctx, address), size)
		require.NoError(t, c.Order(ctx, address, wire.Order{ID: "o"}), size)
		require.True(t, c.ReleaseSession(ctx, address, "s"), size)
		refusing := serveRaw(t, func(*http.Request) string { return "HTTP/1.1 400 Bad\r\n" + response })
		_, err := readStream(t, refusing, false)
		require.True(t, isStatus(err), "%d: %v", size, err)
	}
}
