package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// breakOff begins a stream of four events and resets the connection after two. Continued streams are answered by continued.
func breakOff(continued func(r *http.Request, c net.Conn) bool) func(*http.Request, net.Conn) bool {
	return func(r *http.Request, c net.Conn) bool {
		if r.Header.Get("Last") != "" {
			return continued(r, c)
		}
		_, _ = io.WriteString(c, signed(r)+"Transfer-Encoding: chunked\r\n\r\n"+eventChunks(1, 2)) // then it breaks off
		return false
	}
}

func failWith500(r *http.Request, c net.Conn) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 500 Internal Server Error\r\nSigned: yes\r\nId: %s\r\nContent-Length: 6\r\n\r\nfailed", r.Header.Get("Id"))
	return err == nil
}

const twoEvents = "id: 1\ndata: word1\n\nid: 2\ndata: word2\n\n"

// TestServer_FailureDoesNotFollowBegunStream guards against the head of a second response in the middle of a stream: its
// connection is reset, and the upstream answers the repeated request by a failure.
func TestServer_FailureDoesNotFollowBegunStream(t *testing.T) {
	g := newFixture(t)
	g.upstream("u1", breakOff(failWith500))
	g.upstream("u2", breakOff(failWith500))
	cut := g.call("1", "/resumed-twice/")
	require.Equal(t, 200, cut.status)
	require.ErrorIs(t, cut.err, io.ErrUnexpectedEOF, "the stream is cut off, not ended by other bytes")
	require.Equal(t, twoEvents, cut.body)
}

// TestServer_StreamContinuesAfterFailureOfOneUpstream checks that such a failure counts as a failed attempt.
func TestServer_StreamContinuesAfterFailureOfOneUpstream(t *testing.T) {
	whole := 0
	for i := range 10 {
		g := newFixture(t)
		failed := false
		rest := func(r *http.Request, c net.Conn) bool {
			if !failed {
				failed = true
				return failWith500(r, c)
			}
			_, err := io.WriteString(c, signed(r)+"Transfer-Encoding: chunked\r\n\r\n"+eventChunks(3, 4)+"0\r\n\r\n")
			return err == nil
		}
		g.upstream("u1", breakOff(rest))
		g.upstream("u2", breakOff(rest))
		r := g.call(fmt.Sprint(i), "/resumed-twice/")
		require.NotContains(t, r.body, "HTTP/1.1")
		if r.err == nil {
			require.Equal(t, twoEvents+"id: 3\ndata: word3\n\nid: 4\ndata: word4\n\n", r.body)
			whole++
		}
	}
	require.Equal(t, 10, whole)
}
