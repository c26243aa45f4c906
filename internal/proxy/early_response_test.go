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

	"egretramp/internal/connend/connendtest"
	"egretramp/internal/registry"
	"egretramp/internal/upconn"
)

// earlyResponse is a response without a length that an upstream sends before it has read the whole request.
type earlyResponse struct {
	path, version, fields string
	body                  string
	upload                int  // bytes of the request's body
	chunked               bool // the caller sends them in chunks
	read                  int  // bytes of the body that the upstream reads before
	// end ends the connection after the response.
	end func(c *net.TCPConn)
}

const (
	// earlyTimeout is the shortest timeout of the routes: a slow machine takes a while for long uploads.
	earlyTimeout = 10 * time.Second
	// promptly is how soon a whole response is passed on at most, far below the timeouts.
	promptly = 5 * time.Second
)

// resetEarly ends a connection by a reset.
func resetEarly(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// earlyUpstreams send an early response to the first attempt at a request, and a whole one to the others.
type earlyUpstreams struct {
	*fixture
	response earlyResponse
	mu       sync.Mutex
	runs     int
}

func newEarlyUpstreams(t *testing.T, response earlyResponse, dial upconn.DialFunc) *earlyUpstreams {
	u := &earlyUpstreams{fixture: newFixtureWithTimeouts(t, dial, earlyTimeout), response: response}
	for _, id := range []string{"u", "v"} {
		u.earlyUpstream(id, u.answer)
	}
	return u
}

// earlyUpstream adds an upstream that calls answer for each request before its body is read. After an answer that returns false the
// connection must carry no further request.
func (g *fixture) earlyUpstream(id string, answer func(c *net.TCPConn, r *http.Request) bool) {
	address := listen(g.t, func(l net.Listener) {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			g.t.Cleanup(func() { _ = c.Close() }) // else idle connections keep the fixture's memory
			go g.serveEarly(c.(*net.TCPConn), answer)
		}
	})
	g.directory.Merge("c", []registry.Upstream{{ID: id, Service: "s", Address: address, Zone: "z", Slots: 4, Born: 1, Sequence: 1, Build: "v1"}})
}

func (g *fixture) serveEarly(c *net.TCPConn, answer func(c *net.TCPConn, r *http.Request) bool) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if !answer(c, r) {
			if _, err := http.ReadRequest(reader); err == nil {
				g.t.Error("the connection of an early response carried another request")
			}
			return
		}
	}
}

func (u *earlyUpstreams) answer(c *net.TCPConn, r *http.Request) bool {
	u.mu.Lock()
	u.runs++
	first := u.runs == 1
	u.mu.Unlock()
	if first {
		_, _ = io.CopyN(io.Discard, r.Body, int64(u.response.read))
		_, _ = io.WriteString(c, u.response.version+" 200 OK\r\nSigned: yes\r\nId: "+r.Header.Get("Id")+"\r\n"+u.response.fields+"\r\n"+u.response.body)
		u.response.end(c)
		return false
	}
	_, _ = io.Copy(io.Discard, r.Body)
	last, _ := strconv.Atoi(r.Header.Get("Last")) // 0 if it is missing
	_, err := io.WriteString(c, signed(r)+"Transfer-Encoding: chunked\r\n\r\n"+eventChunks(last+1, 2)+"0\r\n\r\n")
	return err == nil
}

// call returns all bytes that the caller gets, and the response that they are with the error of its end.
func (u *earlyUpstreams) call() (got string, r reply) {
	t := u.t
	c, err := net.Dial("tcp", u.address)
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	require.NoError(t, c.SetDeadline(time.Now().Add(3*earlyTimeout)))
	body, framing := strings.Repeat("u", u.response.upload), fmt.Sprintf("Content-Length: %d\r\n", u.response.upload)
	if u.response.chunked {
		body, framing = chunks([]string{body[:len(body)/2], body[len(body)/2:]})+"0\r\n\r\n", "Transfer-Encoding: chunked\r\n"
	}
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nId: 1\r\nKey: key\r\nProgram: p\r\nLine: sub-agent\r\nConnection: close\r\n%s\r\n%s", u.response.path, framing, body)
	require.NoError(t, err)
	all, err := io.ReadAll(c)
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(string(all))), nil)
	require.NoError(t, err, "%q", all)
	answer, err := io.ReadAll(response.Body)
	return string(all), reply{response.StatusCode, response.Header.Get("Reason"), string(answer), err}
}

const firstEvent = "id: 1\ndata: word1\n\n"

// requireFailed checks that the caller gets nothing of a broken response but whole events of a stream, that these look broken off
// unless another attempt may continue them, and that only a route that allows it makes one.
func (u *earlyUpstreams) requireFailed() {
	u.t.Helper()
	got, r := u.call()
	about := fmt.Sprintf("%+v: %q", u.response, got)
	u.mu.Lock()
	defer u.mu.Unlock()
	begun := ""
	if strings.HasPrefix(u.response.body, firstEvent) {
		begun = u.response.body
	}
	switch path := u.response.path; {
	case path == "/safe/" || strings.Contains(path, "resumed"):
		require.Equal(u.t, reply{200, "", twoEvents, nil}, r, about)
		require.Equal(u.t, 2, u.runs, about)
		return
	case path == "/once/" || begun == "":
		require.Equal(u.t, reply{502, "failed", "", nil}, r, about)
	default:
		require.Equal(u.t, reply{200, "", begun, io.ErrUnexpectedEOF}, r, about)
	}
	require.Equal(u.t, 1, u.runs, about)
	_, turns := u.ledger.machine.Size()
	require.Zero(u.t, turns, "a turn is recorded only if it is complete")
}

// earlyRoutes are of each kind of route.
var earlyRoutes = []string{"/once/", "/safe/", "/stream/", "/resumed-twice/", "/kept/", "/kept-resumed/"}

// eachWay runs a function for connections that lead to the upstream directly and through another VM, opened by dial.
func eachWay(t *testing.T, dial func() upconn.DialFunc, run func(t *testing.T, newDial func(t *testing.T) upconn.DialFunc)) {
	t.Run("direct", func(t *testing.T) {
		t.Parallel()
		run(t, func(*testing.T) upconn.DialFunc { return dial() })
	})
	t.Run("through another VM", func(t *testing.T) {
		t.Parallel()
		run(t, func(t *testing.T) upconn.DialFunc { return tunnelDialWith(t, dial()) })
	})
}

// dialReset opens connections of which the first one's reset is seen by a write before a read.
func dialReset() upconn.DialFunc { return connendtest.DialFirst(upconn.Dial, connendtest.NewConn) }

// TestServer_ResetDuringAnUploadCompletesAResponse guards against a part of an answer that callers get as a whole one, because its
// upstream reset the connection while the request's body was being written.
func TestServer_ResetDuringAnUploadCompletesAResponse(t *testing.T) {
	eachWay(t, dialReset, func(t *testing.T, newDial func(t *testing.T) upconn.DialFunc) {
		for _, path := range earlyRoutes {
			t.Run(path, func(t *testing.T) {
				t.Parallel()
				for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
					for _, fields := range []string{"", "Connection: close\r\n", "Connection: keep-alive\r\nKeep-Alive: timeout=5\r\n"} {
						for _, body := range []string{"", firstEvent[:10], firstEvent, twoEvents} {
							newEarlyUpstreams(t, earlyResponse{path, version, fields, body, 64 << 10, false, 0, resetEarly}, newDial(t)).requireFailed()
						}
					}
				}
			})
		}
	})
}

// TestServer_ResetAtEachMomentOfAnUpload guards against the same with uploads of other sizes and framings and resets at other moments.
func TestServer_ResetAtEachMomentOfAnUpload(t *testing.T) {
	eachWay(t, dialReset, func(t *testing.T, newDial func(t *testing.T) upconn.DialFunc) {
		for _, path := range earlyRoutes {
			t.Run(path, func(t *testing.T) {
				t.Parallel()
				for _, upload := range []int{maxInlineBodyBytes + 1, 1 << 20, 6 << 20} {
					for _, read := range []int{0, 1, upload / 2, upload - 1} {
						for _, chunked := range []bool{false, true} {
							newEarlyUpstreams(t, earlyResponse{path, "HTTP/1.1", "", firstEvent, upload, chunked, read, resetEarly}, newDial(t)).requireFailed()
						}
					}
				}
			})
		}
	})
}

// TestServer_ResetDuringASmallUpload guards against the same where the request is written before the response is read, whole or in
// part.
func TestServer_ResetDuringASmallUpload(t *testing.T) {
	eachWay(t, func() upconn.DialFunc { return upconn.Dial }, func(t *testing.T, newDial func(t *testing.T) upconn.DialFunc) {
		for _, path := range earlyRoutes {
			for _, upload := range []int{0, 1, maxInlineBodyBytes, 64 << 10} {
				for _, body := range []string{"", firstEvent, twoEvents} {
					end := func(c *net.TCPConn) {
						time.Sleep(5 * time.Millisecond) // the request is written
						resetEarly(c)
					}
					newEarlyUpstreams(t, earlyResponse{path, "HTTP/1.1", "", body, upload, false, upload, end}, newDial(t)).requireFailed()
				}
			}
		}
	})
}

// earlyEnds end a connection in order without reading the rest of the request.
var earlyEnds = map[string]func(c *net.TCPConn){
	"reads nothing more": func(c *net.TCPConn) { _ = c.CloseWrite() },
	"reads on": func(c *net.TCPConn) {
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c)
	},
	"resets after its end": func(c *net.TCPConn) {
		_ = c.CloseWrite()
		resetEarly(c)
	},
}

// TestServer_OrderlyEndDuringAnUploadFailsAResponse guards against whole answers that fail because their upstream doesn't take the rest
// of the request.
func TestServer_OrderlyEndDuringAnUploadFailsAResponse(t *testing.T) {
	for name, end := range earlyEnds {
		dial := func() upconn.DialFunc { return upconn.Dial }
		if name == "resets after its end" {
			dial = dialReset
		}
		t.Run(name, func(t *testing.T) {
			eachWay(t, dial, func(t *testing.T, newDial func(t *testing.T) upconn.DialFunc) {
				for _, path := range earlyRoutes {
					for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
						for _, upload := range []int{64 << 10, 1 << 20, 6 << 20} {
							for _, read := range []int{0, upload / 2} {
								u := newEarlyUpstreams(t, earlyResponse{path, version, "", twoEvents, upload, false, read, end}, newDial(t))
								began := time.Now()
								got, r := u.call()
								require.Equal(t, reply{200, "", twoEvents, nil}, r, "%+v: %q", u.response, got)
								require.Less(t, time.Since(began), promptly)
								u.mu.Lock()
								require.Equal(t, 1, u.runs)
								u.mu.Unlock()
							}
						}
					}
				}
			})
		})
	}
}

// TestServer_ResetDuringAResumptionCompletesAStream guards against a stream that looks complete after a part, because the attempt that
// continued it was reset while the request's body was being written.
func TestServer_ResetDuringAResumptionCompletesAStream(t *testing.T) {
	for _, path := range []string{"/resumed-twice/", "/kept-resumed/"} {
		var attempts atomic.Int32
		second := connendtest.DialFirst(upconn.Dial, connendtest.NewConn)
		g := newFixtureWithTimeouts(t, func(ctx context.Context, address string) (net.Conn, error) {
			if _, isAttempt := ctx.Deadline(); attempts.Load() == 0 || !isAttempt { // else it is the probe after a failure
				return upconn.Dial(ctx, address)
			}
			return second(ctx, address)
		}, earlyTimeout)
		for _, id := range []string{"u", "v"} {
			g.earlyUpstream(id, func(c *net.TCPConn, r *http.Request) bool {
				response := signed(r) + "Transfer-Encoding: chunked\r\n\r\n"
				switch attempts.Add(1) {
				case 1:
					_, _ = io.Copy(io.Discard, r.Body)
					_, _ = io.WriteString(c, response+eventChunks(1, 1))
					time.Sleep(5 * time.Millisecond) // the event is passed on
					resetEarly(c)
				case 2:
					_, _ = io.WriteString(c, signed(r)+"\r\nid: 2\ndata: word2\n\n")
					resetEarly(c)
				default:
					_, _ = io.Copy(io.Discard, r.Body)
					_, err := io.WriteString(c, response+eventChunks(3, 3)+"0\r\n\r\n")
					return err == nil
				}
				return false
			})
		}
		r := g.callWithBody("1", path, strings.Repeat("u", 64<<10), "Program: p", "Line: sub-agent")
		require.Equal(t, reply{200, "", twoEvents + "id: 3\ndata: word3\n\n", nil}, r, path)
		require.Equal(t, int32(3), attempts.Load(), path)
	}
}
