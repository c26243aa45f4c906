package httpwire

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretramp/internal/callermem"
	"egretramp/internal/loopback"
)

// startLimitedServer starts a server whose connections count toward a budget.
func startLimitedServer(t *testing.T, budget *callermem.Budget, conns int) (*echo, string) {
	address, err := loopback.Address()
	require.NoError(t, err)
	listener, err := net.Listen("tcp", address)
	require.NoError(t, err)
	e := &echo{requests: make(chan *Request, 100)}
	s := New(e, func() Limits {
		return Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	})
	s.LimitMemory(budget.Group(conns, false))
	serveOn(t, s, listener)
	return e, address
}

// deadlineRecorder counts the parts that are written without a new deadline.
type deadlineRecorder struct {
	net.Conn
	renewed        bool
	parts, expired int
}

func (c *deadlineRecorder) SetWriteDeadline(time.Time) error {
	c.renewed = true
	return nil
}

func (c *deadlineRecorder) Write(p []byte) (int, error) {
	c.parts++
	if !c.renewed {
		c.expired++
	}
	c.renewed = false
	return len(p), nil
}

// TestDeadlineWriter_RenewsItsDeadline guards against a caller that reads a large response slowly but steadily and is cut off
// after writeTimeout: the kernel's buffer holds only a part of the response.
func TestDeadlineWriter_RenewsItsDeadline(t *testing.T) {
	recorder := &deadlineRecorder{}
	n, err := deadlineWriter{&serverConn{raw: recorder, memory: &callermem.Conn{}}}.Write(make([]byte, 5*writePart-1))
	require.NoError(t, err)
	require.Equal(t, 5*writePart-1, n)
	require.Equal(t, 5, recorder.parts)
	require.Zero(t, recorder.expired)
}

// TestServer_RefusesBodiesWithoutMemory guards against unfinished bodies that take all the memory: those that find no room are
// refused with 503 and never passed on, a small request is served meanwhile, and a large one once the unfinished are gone.
func TestServer_RefusesBodiesWithoutMemory(t *testing.T) {
	budget := callermem.New(12 << 20)
	e, address := startLimitedServer(t, budget, 0)
	var unfinished []net.Conn
	for range 8 {
		c, _ := dial(t, address)
		unfinished = append(unfinished, c)
		go func() {
			_, _ = io.WriteString(c, "POST /left HTTP/1.1\r\nHost: h\r\nContent-Length: 2000000\r\n\r\n"+strings.Repeat("x", 1_900_000))
		}()
	}
	require.Eventually(t, func() bool { return budget.Stats().Refused > 0 }, 5*time.Second, time.Millisecond)
	require.LessOrEqual(t, budget.Stats().Used, int64(12<<20))
	c, r := dial(t, address)
	_, err := io.WriteString(c, "POST /small HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc")
	require.NoError(t, err)
	status, body := readResponse(t, r)
	require.Equal(t, "200 POST /small abc", fmt.Sprint(status, " ", body))
	for _, c := range unfinished {
		require.NoError(t, c.Close())
	}
	require.Eventually(t, func() bool { return budget.Stats().Conns == 1 }, 5*time.Second, time.Millisecond)
	large := strings.Repeat("y", 4<<20)
	_, err = io.WriteString(c, "POST /large HTTP/1.1\r\nHost: h\r\nContent-Length: 4194304\r\n\r\n"+large)
	require.NoError(t, err)
	status, body = readResponse(t, r)
	require.Equal(t, 200, status)
	require.Equal(t, "POST /large "+large, body)
	require.Len(t, e.requests, 2, "a refused or unfinished request was passed on")
	require.NoError(t, c.Close())
	require.Eventually(t, func() bool { return budget.Stats().Used == 0 }, 5*time.Second, time.Millisecond)
}

// TestServer_AnnouncedBodyReservesWhatHasArrived guards against callers that announce large bodies and send none of them.
func TestServer_AnnouncedBodyReservesWhatHasArrived(t *testing.T) {
	budget := callermem.New(8 << 20)
	_, address := startLimitedServer(t, budget, 0)
	for range 50 {
		c, _ := dial(t, address)
		_, err := io.WriteString(c, "POST /left HTTP/1.1\r\nHost: h\r\nContent-Length: 4194304\r\n\r\nx")
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool { return budget.Stats().Conns == 50 }, 5*time.Second, time.Millisecond)
	require.Less(t, budget.Stats().Used, int64(50*64<<10))
	require.Zero(t, budget.Stats().Refused)
}

// TestServer_ClosesUnusedConnectionsForOthers guards against connections that are opened and left, and take all descriptors: the
// oldest is closed for a new one, and connections that were used are kept.
func TestServer_ClosesUnusedConnectionsForOthers(t *testing.T) {
	budget := callermem.New(8 << 20)
	_, address := startLimitedServer(t, budget, 10)
	used, r := dial(t, address)
	request := func() {
		_, err := io.WriteString(used, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc")
		require.NoError(t, err)
		status, _ := readResponse(t, r)
		require.Equal(t, 200, status)
	}
	request()
	for range 30 {
		dial(t, address)
	}
	require.Eventually(t, func() bool { return budget.Stats().Closed == 21 }, 5*time.Second, time.Millisecond)
	request()
	require.LessOrEqual(t, budget.Stats().Conns, 10)
}

// TestServer_LargestBodyFitsInto6MB guards against buffers of one body that take more of the budget than OPERATIONS.md says: the
// largest body would be refused under normal load.
func TestServer_LargestBodyFitsInto6MB(t *testing.T) {
	budget := callermem.New(8<<20 + 256<<10) // three quarters are for large bodies
	_, address := startLimitedServer(t, budget, 0)
	body := strings.Repeat("x", 4<<20)
	for _, framed := range []string{"Content-Length: 4194304\r\n\r\n" + body, "Transfer-Encoding: chunked\r\n\r\n400000\r\n" + body + "\r\n0\r\n\r\n"} {
		c, r := dial(t, address)
		go func() { _, _ = io.WriteString(c, "POST /largest HTTP/1.1\r\nHost: h\r\n"+framed) }()
		status, _ := readResponse(t, r)
		require.Equal(t, 200, status)
		require.NoError(t, c.Close())
	}
}
