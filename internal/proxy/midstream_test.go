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

// response writes a response with some lines of a head, a length and a body.
func response(status, fields, body string) func(*http.Request, net.Conn) bool {
	return func(r *http.Request, c net.Conn) bool {
		_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\nId: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, r.Header.Get("Id"), fields, len(body), body)
		return err == nil
	}
}

// TestServer_OnlyEventsThatFollowContinueAStream guards against an error's text or head in the middle of a stream, and against
// streams that end as if they were complete: a stream breaks off after two events, and all upstreams answer the request to
// continue it by something else.
func TestServer_OnlyEventsThatFollowContinueAStream(t *testing.T) {
	const (
		ok     = "200 OK"
		sign   = "Signed: yes\r\n"
		events = sign + "Content-Type: text/event-stream\r\n"
	)
	for name, answer := range map[string]func(*http.Request, net.Conn) bool{
		"an error":                           response("500 Internal Server Error", sign, "failed"),
		"an error of an intermediary":        response("502 Bad Gateway", "", "failed\n\n"),
		"an error of its own deadline":       response("504 Gateway Timeout", sign, ""),
		"a refusal":                          response("503 Service Unavailable", "Not-Run: yes\r\n", "full\n\n"),
		"an unavailable service":             response("503 Service Unavailable", "", "<html></html>\n\n"),
		"no content":                         response("204 No Content", sign, ""),
		"partial content":                    response("206 Partial Content", sign, "id: 3\ndata: word3\n\n"),
		"an empty success without signature": response(ok, "", ""),
		"an error's text as a success":       response(ok, sign, "internal error"),
		"an error's text that looks whole":   response(ok, sign, "internal error\r\n\r\n"),
		"an error as an event without ID":    response(ok, events, "data: {\"error\":\"internal\"}\n\n"),
		"an error of another media type":     response(ok, sign+"Content-Type: application/json\r\n", "id: 3\ndata: {}\n\n"),
		"an error's type and nothing else":   response(ok, sign+"Content-Type: text/plain; charset=utf-8\r\n", ""),
		"the stream from its start":          response(ok, events, twoEvents+"id: 3\ndata: word3\n\n"),
		"the last event again":               response(ok, events, "id: 2\ndata: word2\n\nid: 3\ndata: word3\n\n"),
		"part of an event":                   response(ok, events, "id: 3\ndata: wo"),
		"a head alone": func(r *http.Request, c net.Conn) bool {
			_, _ = io.WriteString(c, signed(r)+"\r\n")
			_ = c.Close()
			return true
		},
		"bytes that are no response": func(_ *http.Request, c net.Conn) bool {
			_, _ = io.WriteString(c, "internal error\r\n\r\n")
			return false
		},
		"a status that is none": func(r *http.Request, c net.Conn) bool {
			_, err := fmt.Fprintf(c, "HTTP/1.1 099 Odd\r\nSigned: yes\r\nId: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Id"))
			return err == nil
		},
	} {
		for _, path := range []string{"/resumed-twice/", "/kept-resumed/"} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				g := newFixture(t)
				begin := func(r *http.Request, c net.Conn) bool {
					if r.Header.Get("Last") != "" {
						return answer(r, c)
					}
					_, _ = io.WriteString(c, signed(r)+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"+eventChunks(1, 2))
					return false
				}
				g.upstream("u1", begin)
				g.upstream("u2", begin)
				cut := g.call("1", path, "Program: p")
				require.Equal(t, 200, cut.status)
				require.ErrorIs(t, cut.err, io.ErrUnexpectedEOF, "the stream is cut off")
				require.Equal(t, twoEvents, cut.body)
				_, turns := g.ledger.machine.Size()
				require.Zero(t, turns, "a turn is recorded only if it is complete")
				require.GreaterOrEqual(t, len(g.receivedRequests()), 2)
			})
		}
	}
}

// TestServer_CommentsAndUnnumberedEvents checks streams whose events don't all have an ID: comments are passed on, and a
// stream isn't continued after an event that no upstream could name.
func TestServer_CommentsAndUnnumberedEvents(t *testing.T) {
	const comment = ": alive\n\n"
	g := newFixture(t)
	g.upstream("u", func(r *http.Request, c net.Conn) bool {
		if r.Header.Get("Last") == "2" {
			return response("200 OK", "Signed: yes\r\n", comment+"id: 3\ndata: word3\n\n")(r, c)
		}
		_, _ = io.WriteString(c, signed(r)+"Transfer-Encoding: chunked\r\n\r\n"+chunks([]string{twoEvents + comment}))
		return false
	})
	require.Equal(t, reply{200, "", twoEvents + comment + comment + "id: 3\ndata: word3\n\n", nil}, g.call("1", "/resumed-twice/"))

	g = newFixture(t)
	g.upstream("u", func(r *http.Request, c net.Conn) bool {
		_, _ = io.WriteString(c, signed(r)+"Transfer-Encoding: chunked\r\n\r\n"+chunks([]string{twoEvents + "data: unnumbered\n\n"}))
		return false
	})
	cut := g.call("1", "/resumed-twice/")
	require.Error(t, cut.err)
	require.Equal(t, twoEvents+"data: unnumbered\n\n", cut.body)
	require.Len(t, g.receivedRequests(), 1)
}

// TestServer_StatusesThatAreNone guards against callers that get a status line that is no HTTP.
func TestServer_StatusesThatAreNone(t *testing.T) {
	for _, status := range []string{"000 Zero", "099 Odd", "600 More", "999 Most"} {
		g := newFixture(t)
		g.upstream("u", response(status, "Signed: yes\r\n", "body"))
		require.Equal(t, 502, g.call("1", "/once/").status, status)
		require.Equal(t, 502, g.call("2", "/stream/").status, status)
	}
}
