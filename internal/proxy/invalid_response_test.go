package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretramp/internal/upconn"
)

// framedBody is twoEvents as a response body, with the fields that frame it.
type framedBody struct{ fields, body string }

// framings holds each way in which HTTP delimits a body; one without fields ends with the connection.
var framings = map[string]framedBody{
	"length":  {"Content-Length: " + strconv.Itoa(len(twoEvents)) + "\r\n", twoEvents},
	"chunked": {"Transfer-Encoding: chunked\r\n", eventChunks(1, 2) + "0\r\n\r\n"},
	"close":   {"", twoEvents},
	"empty":   {"Content-Length: 0\r\n", ""},
}

// invalidBytes may not be part of a field name.
func invalidBytes() string {
	var b []byte
	for c := byte(0); c <= 0x20; c++ {
		b = append(b, c)
	}
	return string(append(b, 0x7f))
}

// insertions returns a name with one byte inserted, for each byte and place.
func insertions(name, bytes string) []string {
	var broken []string
	for _, b := range []byte(bytes) {
		for place := range len(name) + 1 {
			broken = append(broken, name[:place]+string([]byte{b})+name[place:])
		}
	}
	return broken
}

// responseScript sends an upstream's first response to each request as the test wrote it. Later ones are sound.
type responseScript struct {
	*fixture
	sound  bool // the responses are valid, so that their connections may carry further requests
	mu     sync.Mutex
	raw    map[string]string // by request ID
	closed map[net.Conn]bool // connections that must carry no further request
}

// newResponseScript returns a script with two upstreams, of which either gets a request first.
func newResponseScript(t *testing.T, dial upconn.DialFunc) *responseScript {
	s := &responseScript{fixture: newFixtureWithDial(t, dial), raw: map[string]string{}, closed: map[net.Conn]bool{}}
	s.upstream("u", s.answer)
	s.upstream("v", s.answer)
	return s
}

func (s *responseScript) answer(r *http.Request, c net.Conn) bool {
	id := r.Header.Get("Id")
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed[c] {
		s.t.Errorf("%s: the connection of an invalid response carried another request", id)
	}
	raw, ok := s.raw[id]
	if !ok {
		return streamEvents(2)(r, c)
	}
	delete(s.raw, id)
	s.closed[c] = !s.sound
	_, err := io.WriteString(c, raw)
	if !strings.Contains(raw, "\r\nContent-Length: ") && !strings.Contains(raw, "\r\nTransfer-Encoding: ") {
		_ = c.(*net.TCPConn).CloseWrite()
	}
	return err == nil
}

// bytesOf sends a request whose first response is raw, and returns all bytes that the caller gets. A turn is one of a program under
// way: on a slow machine admission refuses new ones.
func (s *responseScript) bytesOf(id, path, raw string) string {
	s.mu.Lock()
	s.raw[id] = raw
	s.mu.Unlock()
	c, err := net.Dial("tcp", s.address)
	require.NoError(s.t, err)
	defer func() { _ = c.Close() }()
	require.NoError(s.t, c.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nId: %s\r\nKey: key\r\nProgram: %s\r\nLine: sub-agent\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", path, id, id)
	require.NoError(s.t, err)
	got, err := io.ReadAll(c)
	require.NoError(s.t, err, "%s %q", path, raw)
	return string(got)
}

// runs returns how many attempts at a request reached an upstream.
func (s *responseScript) runs(id string) int {
	n := 0
	for _, r := range s.receivedRequests() {
		if r.id == id {
			n++
		}
	}
	return n
}

// requireFailed checks that an invalid response is no response: the caller gets the result of the only other attempt that the
// route allows, or a refusal that doesn't say that the request has not run.
func (s *responseScript) requireFailed(id, path, raw string) {
	s.t.Helper()
	got := s.bytesOf(id, path, raw)
	response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(got)), nil)
	require.NoError(s.t, err, "%s %q: %q", path, raw, got)
	body, err := io.ReadAll(response.Body)
	require.NoError(s.t, err, "%s %q: %q", path, raw, got)
	if path == "/safe/" || path == "/resumed-twice/" {
		require.Equal(s.t, 200, response.StatusCode, "%s %q: %q", path, raw, got)
		require.Equal(s.t, twoEvents, string(body), "%s %q", path, raw)
		require.Equal(s.t, 2, s.runs(id), "%s %q", path, raw)
	} else {
		require.Equal(s.t, 502, response.StatusCode, "%s %q: %q", path, raw, got)
		require.Equal(s.t, "failed", response.Header.Get("Reason"), "%s %q: %q", path, raw, got)
		require.Empty(s.t, body, "%s %q", path, raw)
		require.Equal(s.t, 1, s.runs(id), "%s %q", path, raw)
	}
	require.NotContains(s.t, got, ": v\r\n", "%s %q", path, raw)
}

var scriptedRoutes = []string{"/once/", "/safe/", "/stream/", "/resumed-twice/", "/kept/"}

// eachRoute runs a function for each kind of route and each framing.
func eachRoute(t *testing.T, run func(t *testing.T, path string, f framedBody)) {
	for _, path := range scriptedRoutes {
		for name, f := range framings {
			t.Run(strings.Trim(path, "/")+"/"+name, func(t *testing.T) {
				t.Parallel()
				run(t, path, f)
			})
		}
	}
}

// TestServer_InvalidStatusReachesCallers guards against answers whose status is none, such as 000.
func TestServer_InvalidStatusReachesCallers(t *testing.T) {
	eachRoute(t, func(t *testing.T, path string, f framedBody) {
		s := newResponseScript(t, nil)
		for i, status := range []string{"000", "00", "0", "0000", "001", "099", "600", "999", "+20", "-00", "-20", "2 0", "20x", "x00", "", "101"} {
			id := fmt.Sprint("r", i)
			s.requireFailed(id, path, "HTTP/1.1 "+status+" Odd\r\nSigned: yes\r\nId: "+id+"\r\n"+f.fields+"\r\n"+f.body)
		}
	})
}

// TestServer_InvalidFieldNameReachesCallers guards against answers with a blank or a control byte in a field name, which were
// passed on with that line, or with another body if the line frames it.
func TestServer_InvalidFieldNameReachesCallers(t *testing.T) {
	eachRoute(t, func(t *testing.T, path string, f framedBody) {
		s := newResponseScript(t, nil)
		bytes := " \t\r\n\x00"
		if path == "/once/" {
			bytes = invalidBytes()
		}
		for i, name := range append(insertions("Odd", bytes), "", "Ödd", "O(d)d", "O\"dd", "Odd,", "Odd;", "Od/d", "Od@d", "[Odd]") {
			for place, head := range []string{"%[2]sSigned: yes\r\nId: %[1]s\r\n%[3]s", "Signed: yes\r\nId: %[1]s\r\n%[2]s%[3]s", "Signed: yes\r\nId: %[1]s\r\n%[3]s%[2]s"} {
				id := fmt.Sprintf("r%d-%d", i, place)
				s.requireFailed(id, path, "HTTP/1.1 200 OK\r\n"+fmt.Sprintf(head, id, name+": v\r\n", f.fields)+"\r\n"+f.body)
			}
		}
		// The field that frames the body, as the first and the last one of the head.
		name, value, _ := strings.Cut(f.fields, ":")
		if name == "" {
			return
		}
		for i, broken := range insertions(name, bytes) {
			for place, head := range []string{"%[2]s:%[3]sSigned: yes\r\nId: %[1]s\r\n", "Signed: yes\r\nId: %[1]s\r\n%[2]s:%[3]s"} {
				id := fmt.Sprintf("f%d-%d", i, place)
				s.requireFailed(id, path, "HTTP/1.1 200 OK\r\n"+fmt.Sprintf(head, id, broken, value)+"\r\n"+f.body)
			}
		}
	})
}

// TestServer_ChunksOfHTTP10ReachCallers guards against HTTP/1.0 answers in chunks, which that version doesn't have: the sizes of the chunks
// were passed on as a part of the body.
func TestServer_ChunksOfHTTP10ReachCallers(t *testing.T) {
	for _, path := range scriptedRoutes {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			s := newResponseScript(t, nil)
			body := eventChunks(1, 2) + "0\r\n\r\n"
			for i, fields := range []string{
				"Transfer-Encoding: chunked\r\n", "transfer-encoding: CHUNKED\r\n", "Transfer-Encoding: identity\r\n", "Connection: close\r\nTransfer-Encoding: chunked\r\n",
				"Transfer-Encoding: chunked\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
			} {
				id := fmt.Sprint("r", i)
				s.requireFailed(id, path, "HTTP/1.0 200 OK\r\nSigned: yes\r\nId: "+id+"\r\n"+fields+"\r\n"+body)
			}
		})
	}
}

// TestServer_InvalidInterimHeadReachesCallers guards against broken heads before the final one.
func TestServer_InvalidInterimHeadReachesCallers(t *testing.T) {
	eachRoute(t, func(t *testing.T, path string, f framedBody) {
		s := newResponseScript(t, nil)
		for i, name := range insertions("Odd", " \t\r\n\x00") {
			for j, head := range []string{"HTTP/1.1 103 Early Hints\r\nLink: l\r\n%s: v\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n%s: v\r\n\r\n"} {
				id := fmt.Sprintf("r%d-%d", i, j)
				s.requireFailed(id, path, fmt.Sprintf(head, name)+"HTTP/1.1 200 OK\r\nSigned: yes\r\nId: "+id+"\r\n"+f.fields+"\r\n"+f.body)
			}
		}
	})
}

// TestServer_InvalidTrailerCompletesResponses guards against answers that look complete although their trailer is broken.
func TestServer_InvalidTrailerCompletesResponses(t *testing.T) {
	for _, path := range scriptedRoutes {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			s := newResponseScript(t, nil)
			for i, name := range insertions("Odd", " \t\r\n\x00") {
				for j, trailer := range []string{"%s: v\r\n", "Sound: v\r\n%s: v\r\n"} {
					id := fmt.Sprintf("r%d-%d", i, j)
					s.requireFailed(id, path, "HTTP/1.1 200 OK\r\nSigned: yes\r\nId: "+id+"\r\nTransfer-Encoding: chunked\r\n\r\n"+
						eventChunks(1, 2)+"0\r\n"+fmt.Sprintf(trailer, name)+"\r\n")
				}
			}
		})
	}
}

// TestServer_StreamWithInvalidTrailerLooksComplete sends the trailer after the events: the stream has begun, and only one that may
// be resumed goes on.
func TestServer_StreamWithInvalidTrailerLooksComplete(t *testing.T) {
	for _, path := range []string{"/stream/", "/kept/", "/resumed/"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			g := newFixture(t)
			g.upstream("u", func(r *http.Request, c net.Conn) bool {
				if r.Header.Get("Last") != "" {
					_, err := io.WriteString(c, signed(r)+"Transfer-Encoding: chunked\r\n\r\n"+eventChunks(3, 3)+"0\r\n\r\n")
					return err == nil
				}
				_, err := io.WriteString(c, signed(r)+"Transfer-Encoding: chunked\r\n\r\n"+eventChunks(1, 2))
				time.Sleep(20 * time.Millisecond)
				_, _ = io.WriteString(c, "0\r\nO dd: v\r\n\r\n")
				return err == nil
			})
			r := g.call("1", path, "Program: p")
			require.Equal(t, 200, r.status)
			if path == "/resumed/" {
				require.Equal(t, reply{200, "", twoEvents + "id: 3\ndata: word3\n\n", nil}, r)
				return
			}
			require.Equal(t, twoEvents, r.body)
			require.ErrorIs(t, r.err, io.ErrUnexpectedEOF)
			require.Len(t, g.receivedRequests(), 1)
		})
	}
}

// TestServer_ResumedStreamFromInvalidResponse guards against events of an upstream that answers the request to continue a stream by
// a broken head: the next attempt continues it.
func TestServer_ResumedStreamFromInvalidResponse(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 000 Odd\r\n%s", "HTTP/1.1 200 OK\r\n%sO dd: v\r\n", "HTTP/1.1 200 OK\r\n%sOdd\t: v\r\n", "HTTP/1.1 200 OK\r\n%s Odd: v\r\n",
		"HTTP/1.1 103 Early Hints\r\nOd d: v\r\n\r\nHTTP/1.1 200 OK\r\n%s",
	} {
		g := newFixture(t)
		var attempts atomic.Int32
		answer := func(r *http.Request, c net.Conn) bool {
			switch attempts.Add(1) {
			case 1:
				_, _ = io.WriteString(c, signed(r)+"Transfer-Encoding: chunked\r\n\r\n"+eventChunks(1, 1))
				return false
			case 2:
				fields := "Signed: yes\r\nId: " + r.Header.Get("Id") + "\r\nContent-Length: 19\r\n"
				_, err := fmt.Fprintf(c, head+"\r\nid: 2\ndata: wrong\n\n", fields)
				return err == nil
			}
			_, err := io.WriteString(c, signed(r)+"Transfer-Encoding: chunked\r\n\r\n"+eventChunks(2, 2)+"0\r\n\r\n")
			return err == nil
		}
		g.upstream("u", answer)
		g.upstream("v", answer)
		require.Equal(t, reply{200, "", twoEvents, nil}, g.call("1", "/resumed-twice/"), "%q", head)
		requests := g.receivedRequests()
		require.Len(t, requests, 3, "%q", head)
		require.Equal(t, "1", requests[2].last, "%q", head)
	}
}

// TestServer_InvalidResponseOfADecline guards against a request that is said not to have run by a broken answer.
func TestServer_InvalidResponseOfADecline(t *testing.T) {
	for i, raw := range []string{
		"HTTP/1.1 503 Full\r\nNot-Run: yes\r\nId: %s\r\nOd d: v\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 503 Full\r\nNot-Run: yes\r\nId: %s\r\nOdd\x01: v\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 000 Full\r\nNot-Run: yes\r\nId: %s\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 503 Full\r\nNot-Run: yes\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nOd d: v\r\n\r\n",
	} {
		s := newResponseScript(t, nil)
		id := fmt.Sprint("r", i)
		s.requireFailed(id, "/once/", fmt.Sprintf(raw, id))
	}
}

// throughVM is a connection to an upstream that leads through another VM.
type throughVM struct{ net.Conn }

func (throughVM) Idle() bool { return true }

// TestServer_InvalidResponseThroughAnotherVM guards against broken answers on connections that lead through another VM.
func TestServer_InvalidResponseThroughAnotherVM(t *testing.T) {
	for _, path := range scriptedRoutes {
		s := newResponseScript(t, func(ctx context.Context, address string) (net.Conn, error) {
			c, err := upconn.Dial(ctx, address)
			return throughVM{c}, err
		})
		for i, head := range []string{"000 Odd\r\n", "200 OK\r\nO dd: v\r\n", "200 OK\r\n\nOdd: v\r\n", "200 OK\r\nOdd\x1f: v\r\n"} {
			id := fmt.Sprint("r", i)
			s.requireFailed(id, path, "HTTP/1.1 "+head+"Signed: yes\r\nId: "+id+"\r\nContent-Length: 38\r\n\r\n"+twoEvents)
		}
	}
}

// TestServer_UnusualResponseIsChanged guards against well-formed answers that are refused or changed because they are unusual.
func TestServer_UnusualResponseIsChanged(t *testing.T) {
	for _, path := range []string{"/once/", "/safe/", "/stream/", "/kept/"} {
		for framing, f := range framings {
			if f.body == "" {
				continue // no stream
			}
			t.Run(path+framing, func(t *testing.T) {
				t.Parallel()
				s := newResponseScript(t, nil)
				s.sound = true
				for i, c := range []struct{ before, statusLine, field, passedOn string }{
					{"", "HTTP/1.1 200 ", "Odd: v\r\n", "Odd: v\r\n"},
					{"", "HTTP/1.1 200", "Odd:v\r\n", "Odd: v\r\n"},
					{"", "HTTP/1.0 200 OK", "Odd: v\r\n", "Odd: v\r\n"},
					{"", "HTTP/1.1 200 O\tK \xf6", "Odd:\t v w \t\r\n", "Odd: v w\r\n"},
					{"", "HTTP/1.1 200 OK", "odd: v\r\n", "Odd: v\r\n"},
					{"", "HTTP/1.1 200 OK", "!#$%&'*+-.^_`|~0: v\r\n", "!#$%&'*+-.^_`|~0: v\r\n"},
					{"", "HTTP/1.1 200 OK", "0: v\r\n", "0: v\r\n"},
					{"", "HTTP/1.1 200 OK", "Odd:\r\n", "Odd: \r\n"},
					{"", "HTTP/1.1 200 OK", "Odd: a: b, \"c d\";\te\r\n", "Odd: a: b, \"c d\";\te\r\n"},
					{"", "HTTP/1.1 200 OK", "Odd: \x80\xff\r\n", "Odd: \x80\xff\r\n"},
					{"", "HTTP/1.1 200 OK", "Odd: v\r\nOdd: w\r\n", "Odd: v\r\nOdd: w\r\n"},
					{"", "HTTP/1.1 200 OK", strings.Repeat("O", 6000) + ": " + strings.Repeat("v", 6000) + "\r\n", strings.Repeat("v", 6000) + "\r\n"},
					{"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 200 OK", "Odd: v\r\n", "Odd: v\r\n"},
					{"HTTP/1.1 102\r\nInterim: i\r\n\r\nHTTP/1.1 199 Odd\r\n\r\n", "HTTP/1.1 200 OK", "Odd: v\r\n", "Odd: v\r\n"},
				} {
					if strings.HasPrefix(c.statusLine, "HTTP/1.0") && framing == "chunked" {
						continue // HTTP/1.0 has no chunks
					}
					id := fmt.Sprint("r", i)
					got := s.bytesOf(id, path, c.before+c.statusLine+"\r\nSigned: yes\r\nId: "+id+"\r\n"+c.field+f.fields+"\r\n"+f.body)
					require.True(t, strings.HasPrefix(got, "HTTP/1.1 200 OK\r\n"), "%q: %q", c.statusLine+c.field, got)
					require.Contains(t, got, c.passedOn)
					require.NotContains(t, got, "Interim")
					response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(got)), nil)
					require.NoError(t, err)
					body, err := io.ReadAll(response.Body)
					require.NoError(t, err)
					require.Equal(t, twoEvents, string(body))
					require.Equal(t, 1, s.runs(id))
				}
			})
		}
	}
}

// TestServer_UnusualStatusIsChanged guards against statuses that are refused because no text belongs to them.
func TestServer_UnusualStatusIsChanged(t *testing.T) {
	s := newResponseScript(t, nil)
	s.sound = true
	for _, status := range []int{200, 201, 204, 226, 299, 302, 304, 399, 404, 418, 429, 499, 500, 503, 599} {
		fields, body := "Content-Length: 4\r\n", "body"
		if status == 204 || status == 304 {
			fields, body = "Content-Length: 0\r\n", ""
		}
		id := fmt.Sprint("r", status)
		got := s.bytesOf(id, "/once/", fmt.Sprintf("HTTP/1.1 %d Odd\r\nSigned: yes\r\nId: %s\r\nOdd: v\r\n%s\r\n%s", status, id, fields, body))
		require.True(t, strings.HasPrefix(got, fmt.Sprintf("HTTP/1.1 %d ", status)), "%q", got)
		require.Contains(t, got, "Odd: v\r\n")
		require.True(t, strings.HasSuffix(got, "\r\n\r\n"+body), "%q", got)
		require.Equal(t, 1, s.runs(id))
	}
}

// TestServer_SoundTrailerFailsResponses guards against chunked answers that fail for a trailer or for chunk extensions.
func TestServer_SoundTrailerFailsResponses(t *testing.T) {
	for _, path := range scriptedRoutes {
		s := newResponseScript(t, nil)
		s.sound = true
		for i, end := range []string{"0\r\n\r\n", "0\r\nOdd: v\r\n\r\n", "000;x=y\r\nOdd: v\r\nOdd:\r\n!#: w\r\n\r\n"} {
			id := fmt.Sprint("r", i)
			got := s.bytesOf(id, path, "HTTP/1.1 200 OK\r\nSigned: yes\r\nId: "+id+"\r\nTransfer-Encoding: Chunked\r\n\r\n13;a=\"b\"\r\nid: 1\ndata: word1\n\n\r\n0"+
				"13 \r\nid: 2\ndata: word2\n\n\r\n"+end)
			response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(got)), nil)
			require.NoError(t, err)
			body, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			require.Equal(t, 200, response.StatusCode, "%s %q: %q", path, end, got)
			require.Equal(t, twoEvents, string(body))
			require.Equal(t, 1, s.runs(id))
		}
	}
}

// TestServer_ManyInterimHeadsFailResponses guards against answers that count as none because several heads come before the final one.
func TestServer_ManyInterimHeadsFailResponses(t *testing.T) {
	for _, path := range scriptedRoutes {
		s := newResponseScript(t, nil)
		s.sound = true
		for i, count := range []int{1, 2, 3, 4, 100} {
			id := fmt.Sprint("r", i)
			got := s.bytesOf(id, path, strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", count)+"HTTP/1.1 200 OK\r\nSigned: yes\r\nId: "+id+"\r\nContent-Length: 38\r\n\r\n"+twoEvents)
			require.True(t, strings.HasPrefix(got, "HTTP/1.1 200 OK\r\n"), "%s after %d: %q", path, count, got)
			require.Equal(t, 1, s.runs(id))
		}
	}
}
