package httpwire

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"egretramp/internal/loopback"
)

// echo responds with the request's method, target and body, and records each request.
type echo struct {
	requests chan *Request
	serve    func(ctx context.Context, w *Response, r *Request)
}

func (e *echo) Serve(ctx context.Context, w *Response, r *Request) {
	e.requests <- r
	if e.serve != nil {
		e.serve(ctx, w, r)
		return
	}
	_ = w.Send(http.StatusOK, http.Header{"X-Made-By": {"echo"}, "Connection": {"close"}}, []byte(r.Method+" "+r.Target+" "+string(r.Body)))
}

func (e *echo) Malformed(w *Response, status int, reason string) {
	_ = w.Send(status, nil, []byte(reason))
}

func startServer(t *testing.T, serve func(ctx context.Context, w *Response, r *Request)) (*Server, *echo, string) {
	address, err := loopback.Address()
	require.NoError(t, err)
	listener, err := net.Listen("tcp", address)
	require.NoError(t, err)
	return startServerOn(t, listener, serve)
}

func startServerOn(t *testing.T, listener net.Listener, serve func(ctx context.Context, w *Response, r *Request)) (*Server, *echo, string) {
	address := listener.Addr().String()
	e := &echo{requests: make(chan *Request, 100), serve: serve}
	s := New(e, func() Limits {
		return Limits{MaxHeaderBytes: 2 << 10, MaxBodyBytes: 1 << 10, HeaderTimeout: 500 * time.Millisecond, IdleTimeout: time.Second}
	})
	serveOn(t, s, listener)
	return s, e, address
}

func serveOn(t *testing.T, s *Server, listener net.Listener) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(listener)
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		s.CloseIdle()
		<-done
	})
}

func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	require.NoError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
	t.Cleanup(func() { _ = c.Close() })
	return c, bufio.NewReader(c)
}

func readResponse(t *testing.T, r *bufio.Reader) (int, string) {
	response, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, string(body)
}

func TestServer_PassesRequestsUnchanged(t *testing.T) {
	_, _, address := startServer(t, nil)
	c, r := dial(t, address)
	for _, target := range []string{"/a%2Fb/../c", "/x?", "/x?a=%20&&b", "//double/", "/Case/%7e"} {
		_, err := io.WriteString(c, "POST "+target+" HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
		require.NoError(t, err)
		status, body := readResponse(t, r)
		require.Equal(t, 200, status)
		require.Equal(t, "POST "+target+" abcde", body)
	}
}

// TestServer_RefusesAmbiguousFraming guards against request smuggling: a request that another HTTP
// implementation could frame differently is rejected and its connection closed, so that no part of
// it is parsed as a separate request.
func TestServer_RefusesAmbiguousFraming(t *testing.T) {
	hidden := "GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n"
	for name, head := range map[string]string{
		"both lengths":       "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"two lengths":        "Content-Length: 0\r\nContent-Length: 5\r\n\r\n",
		"same length twice":  "Content-Length: 0\r\nContent-Length: 0\r\n\r\n",
		"two codings":        "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n",
		"unknown coding":     "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
		"list of codings":    "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
		"space before colon": "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
		"folded":             "X-A: 1\r\n Transfer-Encoding: chunked\r\n\r\n",
		"bare line feed":     "X-A: 1\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"bare return":        "X-A: 1\rContent-Length: 5\r\n\r\n",
		"signed length":      "Content-Length: +0\r\n\r\n",
		"bad chunk":          "Transfer-Encoding: chunked\r\n\r\n0x1\r\na\r\n0\r\n\r\n",
	} {
		_, e, address := startServer(t, nil)
		c, r := dial(t, address)
		_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\n"+head+hidden)
		require.NoError(t, err, name)
		status, _ := readResponse(t, r)
		require.Equal(t, http.StatusBadRequest, status, name)
		_, err = r.ReadByte()
		require.ErrorIs(t, err, io.EOF, name)
		require.Empty(t, e.requests, name)
	}
}

func TestServer_EnforcesRequestLimits(t *testing.T) {
	for name, c := range map[string]struct {
		sent   string
		status int
	}{
		"large head":         {"GET / HTTP/1.1\r\nHost: h\r\nX-A: " + strings.Repeat("a", 3<<10) + "\r\n\r\n", 431},
		"large body":         {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1025\r\n\r\n", 413},
		"large chunked body": {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n800\r\n" + strings.Repeat("a", 2048) + "\r\n0\r\n\r\n", 413},
		"no path":            {"GET http://h/ HTTP/1.1\r\nHost: h\r\n\r\n", 400},
	} {
		_, _, address := startServer(t, nil)
		conn, r := dial(t, address)
		_, err := io.WriteString(conn, c.sent)
		require.NoError(t, err, name)
		status, _ := readResponse(t, r)
		require.Equal(t, c.status, status, name)
	}
	_, _, address := startServer(t, nil)
	conn, r := dial(t, address)
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHos")
	require.NoError(t, err)
	_, err = r.ReadByte()
	require.ErrorIs(t, err, io.EOF, "an incomplete head must time out without a response")
}

// TestServer_TakesHeadsUpToTheLimit guards against heads that are refused although the operator's limit allows them.
func TestServer_TakesHeadsUpToTheLimit(t *testing.T) {
	e := &echo{requests: make(chan *Request, 100)}
	s := New(e, func() Limits {
		return Limits{MaxHeaderBytes: 100 << 10, MaxBodyBytes: 1 << 10, HeaderTimeout: 2 * time.Second, IdleTimeout: time.Second}
	})
	address := listenAndServe(t, s)
	conn, r := dial(t, address)
	for _, size := range []int{10, 16 << 10, 18 << 10, 40 << 10, 99 << 10, 10} {
		value := strings.Repeat("a", size)
		// The next request follows at once: bytes beyond the head stay in order.
		_, err := io.WriteString(conn, "POST /x HTTP/1.1\r\nHost: h\r\nX-A: "+value+"\r\nContent-Length: 4\r\n\r\nbodyGET /next HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
		status, body := readResponse(t, r)
		require.Equal(t, 200, status, "%d bytes", size)
		require.Equal(t, "POST /x body", body)
		require.Equal(t, value, (<-e.requests).Header.Get("X-A"))
		status, body = readResponse(t, r)
		require.Equal(t, 200, status)
		require.Equal(t, "GET /next ", body)
		<-e.requests
	}
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\nX-A: "+strings.Repeat("a", 101<<10)+"\r\n\r\n")
	require.NoError(t, err)
	status, _ := readResponse(t, r)
	require.Equal(t, 431, status)
}

// listenAndServe serves on a loopback address until the test ends.
func listenAndServe(t *testing.T, s *Server) string {
	address, err := loopback.Address()
	require.NoError(t, err)
	listener, err := net.Listen("tcp", address)
	require.NoError(t, err)
	serveOn(t, s, listener)
	return address
}

func TestServer_CancelsContextWhenCallerDisconnects(t *testing.T) {
	ended := make(chan error, 1)
	_, e, address := startServer(t, func(ctx context.Context, w *Response, _ *Request) {
		<-ctx.Done()
		ended <- context.Cause(ctx)
		w.Abort()
	})
	c, _ := dial(t, address)
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	<-e.requests // a request whose caller disconnected earlier would not be handled at all
	require.NoError(t, c.Close())
	require.ErrorIs(t, <-ended, ErrCallerGone)
}

func TestServer_AbortedResponsesAreIncomplete(t *testing.T) {
	_, _, address := startServer(t, func(_ context.Context, w *Response, _ *Request) {
		w.Begin(http.StatusOK, nil)
		_ = w.Chunk([]byte("data: 1\n\n"))
		w.Abort()
	})
	c, r := dial(t, address)
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	response, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	_, err = io.ReadAll(response.Body)
	require.True(t, errors.Is(err, io.ErrUnexpectedEOF), "%v", err)
}

func TestServer_PipelinedRequestsAreServedInOrder(t *testing.T) {
	_, _, address := startServer(t, nil)
	c, r := dial(t, address)
	_, err := io.WriteString(c, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	for _, want := range []string{"GET /1 ", "GET /2 "} {
		_, body := readResponse(t, r)
		require.Equal(t, want, body)
	}
}

func TestServer_DrainClosesConnectionsAfterResponse(t *testing.T) {
	s, _, address := startServer(t, nil)
	c, r := dial(t, address)
	_, err := io.WriteString(c, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	readResponse(t, r)
	s.Drain()
	_, err = io.WriteString(c, "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	response, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	require.True(t, response.Close)
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
	_, err = r.ReadByte()
	require.ErrorIs(t, err, io.EOF)
}

// TestServer_CloseWhile checks that connections close after a response only while the condition holds when the response
// begins: requests that were in progress before it are included, and those after it are not.
func TestServer_CloseWhile(t *testing.T) {
	address, err := loopback.Address()
	require.NoError(t, err)
	listener, err := net.Listen("tcp", address)
	require.NoError(t, err)
	var closes atomic.Bool
	e := &echo{requests: make(chan *Request, 100), serve: func(_ context.Context, w *Response, r *Request) {
		switch r.Path {
		case "/begins":
			closes.Store(true)
		case "/ends":
			closes.Store(false)
		}
		_ = w.Send(http.StatusOK, nil, nil)
	}}
	s := New(e, func() Limits {
		return Limits{MaxHeaderBytes: 2 << 10, MaxBodyBytes: 1 << 10, HeaderTimeout: 500 * time.Millisecond, IdleTimeout: time.Second}
	})
	s.CloseWhile(closes.Load)
	serveOn(t, s, listener)
	for _, connection := range []struct {
		paths  []string
		closed bool // after the last response
	}{{[]string{"/1", "/begins"}, true}, {[]string{"/2"}, true}, {[]string{"/ends", "/3"}, false}} {
		c, r := dial(t, address)
		for i, path := range connection.paths {
			_, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
			require.NoError(t, err)
			response, err := http.ReadResponse(r, nil)
			require.NoError(t, err)
			require.Equal(t, connection.closed && i == len(connection.paths)-1, response.Close, path)
		}
		if connection.closed {
			_, err = r.ReadByte()
			require.ErrorIs(t, err, io.EOF)
		}
	}
}

// TestServer_DropsRequestsOfCallersThatLeft checks that a request still waiting on a connection when
// the caller closes it is not handled later.
func TestServer_DropsRequestsOfCallersThatLeft(t *testing.T) {
	release := make(chan struct{})
	_, e, address := startServer(t, func(_ context.Context, w *Response, r *Request) {
		if r.Path == "/1" {
			<-release
		}
		_ = w.Send(http.StatusOK, nil, nil)
	})
	for range 20 {
		c, err := net.Dial("tcp", address)
		require.NoError(t, err)
		_, err = io.WriteString(c, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
		require.NoError(t, c.Close())
	}
	time.Sleep(50 * time.Millisecond)
	close(release)
	time.Sleep(100 * time.Millisecond)
	for range len(e.requests) {
		require.Equal(t, "/1", (<-e.requests).Path)
	}
}

// idleListener accepts connections whose last write deadline has passed, as after an idle time of writeTimeout.
type idleListener struct{ net.Listener }

func (l idleListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		err = c.SetWriteDeadline(time.Unix(1, 0))
	}
	return c, err
}

// TestServer_LongResponseAfterIdleTimeIsLost guards against responses longer than the write buffer that are cut off
// on connections that were idle for writeTimeout.
func TestServer_LongResponseAfterIdleTimeIsLost(t *testing.T) {
	long := strings.Repeat("x", 64<<10)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	_, _, address := startServerOn(t, idleListener{listener}, func(_ context.Context, w *Response, r *Request) {
		if r.Path == "/whole" {
			_ = w.Send(http.StatusOK, nil, []byte(long))
			return
		}
		w.Begin(http.StatusOK, nil)
		_ = w.Chunk([]byte(long))
		_ = w.Finish()
	})
	for _, path := range []string{"/whole", "/chunks"} {
		c, r := dial(t, address)
		_, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
		status, body := readResponse(t, r)
		require.Equal(t, http.StatusOK, status)
		require.Equal(t, long, body)
	}
}

// TestServer_CloseIdleDropsArrivedRequest guards against a shutdown that closes a connection whose request has
// arrived, but was not read yet.
func TestServer_CloseIdleDropsArrivedRequest(t *testing.T) {
	s, e, address := startServer(t, nil)
	for n := range 300 {
		c, reader := dial(t, address)
		_, err := io.WriteString(c, "GET /first HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
		for open := 0; open == 0; open, _ = s.ConnCounts() { // until the connection is accepted
			time.Sleep(20 * time.Microsecond)
		}
		if n%2 == 0 {
			readResponse(t, reader)
			<-e.requests
			_, err = io.WriteString(c, "GET /second HTTP/1.1\r\nHost: h\r\n\r\n")
			require.NoError(t, err)
		}
		s.CloseIdle()
		readResponse(t, reader)
		<-e.requests
		require.NoError(t, c.Close())
		require.Eventually(t, func() bool { open, _ := s.ConnCounts(); return open == 0 }, time.Second, 100*time.Microsecond)
	}
}
