package proxy

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// smallestMemory is the memory of the smallest entry VM that operators run.
	smallestMemory = 112 << 20
	// endlessBytes is the number of bytes after which an upstream of these tests gives up.
	endlessBytes = 256 << 20
)

// endlessResponses maps kinds of responses that never end to their beginning and the part that repeats.
var endlessResponses = map[string]struct {
	begin  func(r *http.Request) string
	repeat string
}{
	"no line end":      {func(*http.Request) string { return "" }, "x"},
	"no status":        {func(*http.Request) string { return "" }, "garbage\r\n"},
	"status line":      {func(*http.Request) string { return "HTTP/1.1 200 " }, "O"},
	"header":           {func(*http.Request) string { return "HTTP/1.1 200 OK\r\n" }, "A: b\r\n"},
	"header value":     {func(*http.Request) string { return "HTTP/1.1 200 OK\r\nA: " }, "b"},
	"informational":    {func(*http.Request) string { return "" }, "HTTP/1.1 100 Continue\r\n\r\n"},
	"body until close": {func(r *http.Request) string { return signed(r) + "\r\n" }, "x"},
	"long body":        {func(r *http.Request) string { return signed(r) + "Content-Length: 99999999999\r\n\r\n" }, "x"},
	"chunks":           {func(r *http.Request) string { return signed(r) + "Transfer-Encoding: chunked\r\n\r\n" }, "4\r\nxxxx\r\n"},
	"events":           {func(r *http.Request) string { return signed(r) + "Transfer-Encoding: chunked\r\n\r\n" }, "b\r\ndata: more\n\r\n"},
	"chunk extension":  {func(r *http.Request) string { return signed(r) + "Transfer-Encoding: chunked\r\n\r\n4;" }, "x"},
	"trailer":          {func(r *http.Request) string { return signed(r) + "Transfer-Encoding: chunked\r\n\r\n0\r\n" }, "A: b\r\n"},
	"another's body": {func(*http.Request) string {
		return "HTTP/1.1 200 OK\r\nSigned: yes\r\nId: another\r\nContent-Length: 99999999999\r\n\r\n"
	}, "x"},
	"declined": {func(r *http.Request) string {
		return "HTTP/1.1 503 Full\r\nNot-Run: yes\r\nId: " + r.Header.Get("Id") + "\r\n\r\n"
	}, "x"},
}

// endless answers with a response that never ends, and counts the bytes that were taken.
func endless(kind string, taken *atomic.Int64, closed *atomic.Int64) func(*http.Request, net.Conn) bool {
	response := endlessResponses[kind]
	part := []byte(strings.Repeat(response.repeat, 16<<10/len(response.repeat)))
	return func(r *http.Request, c net.Conn) bool {
		data := append([]byte(response.begin(r)), part...)
		for sent := 0; sent < endlessBytes; sent += len(data) {
			n, err := c.Write(data)
			taken.Add(int64(n))
			if err != nil {
				closed.Add(1)
				return false
			}
			data = part
		}
		_, _ = io.Copy(io.Discard, c) // wait until the connection is closed
		return false
	}
}

// TestServer_EndlessResponseFillsMemory guards against upstreams whose bytes never end, in a head or a body:
// memory and time are bounded, the connection is closed, and the caller gets a true answer.
func TestServer_EndlessResponseFillsMemory(t *testing.T) {
	const callers = 12
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(smallestMemory * 7 / 10))
	for kind := range endlessResponses {
		for _, path := range []string{"/safe/x", "/once/x", "/stream/x"} {
			t.Run(kind+path, func(t *testing.T) {
				g := newFixture(t)
				var taken, closed atomic.Int64
				for i := range 2 {
					g.upstream(fmt.Sprint("u", i), endless(kind, &taken, &closed))
				}
				stop := make(chan struct{})
				peak := watchHeap(stop)
				var wg sync.WaitGroup
				for i := range callers {
					wg.Go(func() {
						began := time.Now()
						r := g.call(fmt.Sprint("r", i), path)
						require.Less(t, time.Since(began), 2*time.Second+slackTime, "the route's timeout is 2 s at most")
						broken := r.err != nil && path == "/stream/x" // a stream that has begun can only be broken off
						notRun := r.status == 503 && kind == "declined"
						require.True(t, broken || notRun || r.status == 502 || r.status == 504, "%d %s %v", r.status, r.reason, r.err)
					})
				}
				wg.Wait()
				close(stop)
				most := <-peak
				t.Logf("the heap's peak is %d MiB", most>>20)
				require.Less(t, most, uint64(smallestMemory))
				sends := int64(len(g.receivedRequests()))
				require.Eventually(t, func() bool { return closed.Load() == sends }, 2*time.Second, 10*time.Millisecond, "the connections are closed")
			})
		}
	}
}

// slackTime is how much later than a route's timeout the answer may come.
const slackTime = 500 * time.Millisecond

// watchHeap sends the largest size of the heap until stop is closed.
func watchHeap(stop <-chan struct{}) <-chan uint64 {
	runtime.GC()
	result := make(chan uint64, 1)
	go func() {
		peak := uint64(0)
		for {
			var stats runtime.MemStats
			runtime.ReadMemStats(&stats)
			peak = max(peak, stats.HeapInuse)
			select {
			case <-stop:
				result <- peak
				return
			case <-time.After(2 * time.Millisecond):
			}
		}
	}()
	return result
}

// TestBufferLease_EndlessBodyAllocatesSeveralTimes guards against a buffer that is allocated again as it grows, which
// takes several times the memory of a body that never ends.
func TestBufferLease_EndlessBodyAllocatesSeveralTimes(t *testing.T) {
	lease := bufferLease{shared: &sharedBuffers{}}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err := lease.readAll(endlessReader{})
	runtime.ReadMemStats(&after)
	require.ErrorIs(t, err, errResponseTooLarge)
	require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(maxResponseBytes*5/4))
}

type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) { return len(p), nil }

// TestBufferLease_TruncatedBodyLooksComplete guards against a body that breaks off anywhere and is taken for whole.
func TestBufferLease_TruncatedBodyLooksComplete(t *testing.T) {
	for size := range 5 << 10 {
		lease := bufferLease{shared: &sharedBuffers{}}
		data := bytes.Repeat([]byte("x"), size)
		got, err := lease.readAll(bytes.NewReader(data))
		require.NoError(t, err)
		require.True(t, bytes.Equal(data, got), size)
		for _, broken := range []error{io.ErrUnexpectedEOF, net.ErrClosed} {
			_, err := lease.readAll(io.MultiReader(bytes.NewReader(data), iotest.ErrReader(broken)))
			require.ErrorIs(t, err, broken)
		}
	}
}

// TestServer_LargeResponsesAreForwarded checks that the bounds leave room for large responses.
func TestServer_LargeResponsesAreForwarded(t *testing.T) {
	g := newFixture(t)
	body := string(bytes.Repeat([]byte("0123456789abcdef"), 1<<16)) // 1 MiB
	g.upstream("u1", respondWith(body))
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Go(func() {
			r := g.call(fmt.Sprint("r", i), "/open/x")
			require.NoError(t, r.err)
			require.Equal(t, 200, r.status)
			require.Equal(t, body, r.body)
		})
	}
	wg.Wait()
}
