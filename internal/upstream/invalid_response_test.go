package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"egretramp/internal/responsecheck"
	"egretramp/internal/upstream/wire"
)

// invalidHeads are responses up to their framing: a status that is none, and names with a blank or a control byte at each place.
func invalidHeads() []string {
	heads := []string{"HTTP/1.1 000 Odd\r\n", "HTTP/1.1 101 Odd\r\n", "HTTP/1.1 +20 Odd\r\n", "HTTP/1.1 600 Odd\r\n"}
	for _, status := range []string{"200 OK", "404 Not Found", "409 Conflict", "500 Odd"} {
		for _, b := range []byte(" \t\r\n\x00\x7f") {
			for place := range len("Odd") + 1 {
				heads = append(heads, "HTTP/1.1 "+status+"\r\nSound: s\r\n"+"Odd"[:place]+string([]byte{b})+"Odd"[place:]+": v\r\n")
			}
		}
	}
	return heads
}

// serveRaw answers each request with what answer returns for it.
func serveRaw(t *testing.T, answer func(r *http.Request) string) string {
	address, _ := rawServer(t, func(c net.Conn) {
		defer func() { _ = c.Close() }()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, answer(r))
	})
	return address
}

// TestClient_InvalidResponseIsAnAnswer guards against broken answers to probes, orders and reports that are taken for a success, or
// for the statement that nothing was done.
func TestClient_InvalidResponseIsAnAnswer(t *testing.T) {
	ctx := context.Background()
	for _, head := range invalidHeads() {
		address := serveRaw(t, func(*http.Request) string {
			return head + wire.HeaderAttempt + ": " + attempt + "\r\nContent-Length: 15\r\n\r\n{\"sessions\":[]}"
		})
		c := NewClient()
		err := post(t, address)
		requireWritten(t, err, true)
		require.True(t, errors.Is(err, responsecheck.ErrInvalid), "%q: %v", head, err)
		err = c.Probe(ctx, address)
		require.True(t, errors.Is(err, responsecheck.ErrInvalid) && !errors.Is(err, ErrDied), "%q: %v", head, err)
		err = c.Order(ctx, address, wire.Order{ID: "o"})
		require.True(t, errors.Is(err, responsecheck.ErrInvalid) && !errors.IsAny(err, ErrOldFencing, ErrOrderFailed), "%q: %v", head, err)
		_, err = c.Sessions(ctx, address)
		require.True(t, errors.Is(err, responsecheck.ErrInvalid), "%q: %v", head, err)
		require.False(t, c.ReleaseSession(ctx, address, "s"), "%q", head)
		s := c.OpenStream(ctx, Target{Address: address, Attempt: attempt}, nil)
		require.False(t, s.Cancel(), "%q", head)
		s.Close()
	}
}

// TestStream_InvalidResponseOfAResumption guards against chunks of an engine that answers a resumption by a broken head, and
// against resumptions that end because such a head is taken for a refusal.
func TestStream_InvalidResponseOfAResumption(t *testing.T) {
	for _, head := range invalidHeads() {
		for _, after := range []int{0, 1} { // chunks before the broken head
			requests := 0
			address := serveRaw(t, func(r *http.Request) string {
				if r.URL.Path == "/healthz" {
					return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
				}
				requests++
				switch {
				case requests == 1 && after == 1:
					return "HTTP/1.1 200 OK\r\n" + wire.HeaderAttempt + ": " + attempt + "\r\n\r\ndata: " + chunkText(attempt, 0) + "\n\n"
				case requests == 1+after:
					return head + wire.HeaderAttempt + ": " + attempt + "\r\n\r\ndata: " + chunkText(attempt, 7) + "\n\ndata: [DONE]\n\n"
				}
				if r.Method != http.MethodGet || r.URL.Query().Get("from") != fmt.Sprint(after) {
					t.Errorf("%q: %s %s", head, r.Method, r.URL)
				}
				return "HTTP/1.1 200 OK\r\n" + wire.HeaderAttempt + ": " + attempt + "\r\n\r\ndata: " + chunkText(attempt, after) + "\n\ndata: [DONE]\n\n"
			})
			got, err := readStream(t, address, true)
			require.NoError(t, err, "%q", head)
			require.Equal(t, chunksUpTo(1+after), got, "%q", head)
			require.Equal(t, 2+after, requests, "%q", head)
		}
	}
}
