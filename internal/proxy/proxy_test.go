package proxy

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"egretramp/internal/httpwire"
	"egretramp/internal/loopback"
	"egretramp/internal/registry"
	"egretramp/internal/routing"
	"egretramp/internal/turns"
	"egretramp/internal/upconn"
)

// testProtocol uses its own headers, so that these tests are independent of any platform.
type testProtocol struct{}

func (testProtocol) ReadCall(r *httpwire.Request) (Call, error) {
	c := Call{
		RequestID: r.Header.Get("Id"), Key: r.Header.Get("Key"), Program: r.Header.Get("Program"), Line: r.Header.Get("Program"),
		Previous: r.Header.Get("Previous"), LastEventID: r.Header.Get("Last"), Resumes: r.Header.Get("Resumes"), Header: http.Header{"Id": r.Header["Id"]},
	}
	if c.Program != "" {
		c.HasBudget, c.Budget, c.MaxTokens = true, 1000, 100
	}
	if line := r.Header.Get("Line"); line != "" {
		c.Line = line
	}
	c.PromptTokens, _ = strconv.ParseInt(r.Header.Get("Prompt"), 10, 64) // 0 if it is missing
	if c.RequestID == "" {
		return c, errors.New("no ID")
	}
	return c, nil
}

func (testProtocol) UpstreamHeaders(c *Call, s SendInfo) http.Header {
	h := c.Header.Clone()
	h.Set("Account", s.Account)
	h.Set("Left", s.TimeLeft.String())
	h.Set("Last", cmp.Or(s.LastEventID, c.LastEventID))
	if s.FromStart {
		h.Del("Last")
	}
	return h
}

func (testProtocol) ReadReply(_ int, h http.Header) Reply {
	return Reply{RequestID: h.Get("Id"), Signed: h.Get("Signed") != "", NotRun: h.Get("Not-Run") != "", Leaving: h.Get("Leaving") != ""}
}

func (testProtocol) WriteRefusal(r Refusal) (int, http.Header, []byte) {
	status := 502
	switch {
	case r.Reason == Malformed:
		status = r.Status
	case r.Reason == NoRoute || r.Reason == UnknownTurn:
		status = 404
	case r.Reason == BadKey:
		status = 401
	case r.Reason == BudgetSpent:
		status = 402
	case r.Reason == OverRate:
		status = 429
	case r.Reason < Failed:
		status = 503
	case r.Reason == TimedOut:
		status = 504
	}
	return status, http.Header{"Reason": {r.Reason.String()}}, nil
}

// memoryLedger is an in-memory store group with one member.
type memoryLedger struct {
	mu      sync.Mutex
	machine *turns.Machine
	begins  int
	endErr  error // returned by End
	// lastBegin is the last Begin. If lost is set, no conversation is whole: Begin and End return LostChain.
	lastBegin turns.Begin
	lost      bool
	// recordErr is returned by RecordStream, after recordDelay.
	recordErr   error
	recordDelay time.Duration
}

func (l *memoryLedger) setRecordError(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordErr = err
}

func (l *memoryLedger) setRecordDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordDelay = d
}

func (l *memoryLedger) apply(c turns.Command) (turns.Result, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	data, err := c.Encode()
	if err != nil {
		return turns.Result{}, err
	}
	return turns.DecodeResult(l.machine.Finish(data, l.machine.Apply(1, data)))
}

func (l *memoryLedger) Begin(_ context.Context, b turns.Begin) (turns.Result, error) {
	l.begins++
	l.lastBegin = b
	if l.lost && b.Previous != "" {
		return turns.Result{Outcome: turns.LostChain}, nil
	}
	return l.apply(turns.Command{Now: 1, Begin: &b})
}

func (l *memoryLedger) End(_ context.Context, e turns.End) (turns.Result, error) {
	if l.endErr != nil {
		return turns.Result{}, l.endErr
	}
	if l.lost && e.Record {
		return turns.Result{Outcome: turns.LostChain}, nil
	}
	return l.apply(turns.Command{Now: 1, End: &e})
}

func (l *memoryLedger) RecordStream(_ context.Context, s turns.Stream) (bool, error) {
	l.mu.Lock()
	err, delay := l.recordErr, l.recordDelay
	l.mu.Unlock()
	time.Sleep(delay)
	if err != nil {
		return false, err
	}
	r, err := l.apply(turns.Command{Now: 1, Stream: &s})
	return r.Recorded, err
}

func (l *memoryLedger) EndLater(e turns.End, done func(turns.Result)) {
	r, err := l.End(context.Background(), e)
	if err == nil && done != nil {
		done(r)
	}
}

// fakeLimiter grants every request a permit, or none if refuse is set.
type fakeLimiter struct{ refuse bool }

func (l *fakeLimiter) Take(context.Context, *routing.Account, bool) (bool, time.Duration) {
	return !l.refuse, time.Second
}

// upstreamRequest is a request that an upstream received.
type upstreamRequest struct {
	upstream, id, target, account, last, body string
}

// fixture is an entry VM's server with upstreams on the loopback interface.
type fixture struct {
	t         *testing.T
	address   string
	ledger    *memoryLedger
	limiter   *fakeLimiter
	directory *registry.Directory
	server    *Server
	dial      upconn.DialFunc

	// beforeReset is called before an upstream resets a connection, unless it is nil.
	beforeReset func()

	mu       sync.Mutex
	requests []upstreamRequest
	poisons  int // requests of sendPoison
}

func newFixture(t *testing.T) *fixture { return newFixtureWithDial(t, nil) }

// newFixtureWithDial returns a fixture that opens connections to upstreams with dial; nil stands for the default.
func newFixtureWithDial(t *testing.T, dial upconn.DialFunc) *fixture {
	return newFixtureWithTimeouts(t, dial, time.Second)
}

// newFixtureWithTimeouts is newFixtureWithDial with the shortest timeout of the routes; that of most is twice as long.
func newFixtureWithTimeouts(t *testing.T, dial upconn.DialFunc, shortest time.Duration) *fixture {
	g := &fixture{t: t, dial: dial, ledger: &memoryLedger{machine: turns.New()}, limiter: &fakeLimiter{}, directory: registry.NewDirectory(nil)}
	target := []routing.Target{{Service: "s", Weight: 1}}
	table, err := routing.Compile(routing.Table{
		Version:  1,
		Services: []routing.Service{{Name: "s", Engine: &routing.Engine{TokensPerEvent: 10}}, {Name: "nobody"}},
		Routes: []routing.Route{
			{Name: "safe", Host: "h", PathPrefix: "/safe/", Kind: routing.Idempotent, Timeout: 2 * shortest, MaxAttempts: 2, Targets: target},
			{Name: "once", Host: "h", PathPrefix: "/once/", Kind: routing.NonIdempotent, Timeout: shortest, MaxAttempts: 1, Targets: target},
			{Name: "open", Host: "h", PathPrefix: "/open/", Kind: routing.Idempotent, Timeout: shortest, Targets: target, Anonymous: true},
			{Name: "stream", Host: "h", PathPrefix: "/stream/", Kind: routing.Streaming, Timeout: 2 * shortest, MaxAttempts: 1, Targets: target},
			{Name: "resumed", Host: "h", PathPrefix: "/resumed/", Kind: routing.Streaming, Timeout: 2 * shortest, MaxAttempts: 1, Resumable: true, Targets: target},
			{Name: "resumed twice", Host: "h", PathPrefix: "/resumed-twice/", Kind: routing.Streaming, Timeout: 2 * shortest, MaxAttempts: 2, Resumable: true, Targets: target},
			{Name: "kept", Host: "h", PathPrefix: "/kept/", Kind: routing.Streaming, Timeout: 2 * shortest, Stateful: true, Retention: time.Minute, Targets: target},
			{Name: "kept and resumed", Host: "h", PathPrefix: "/kept-resumed/", Kind: routing.Streaming, Timeout: 2 * shortest, MaxAttempts: 2, Stateful: true, Resumable: true, Retention: time.Minute, Targets: target},
			{Name: "none", Host: "h", PathPrefix: "/none/", Timeout: shortest, Targets: []routing.Target{{Service: "nobody", Weight: 1}}},
		},
		Accounts: []routing.Account{{Name: "acc", Keys: []string{"key"}, Rate: 5, Burst: 5}, {Name: "other", Keys: []string{"other"}}},
	})
	require.NoError(t, err)
	g.startVM("z", table)
	return g
}

// startVM starts an entry VM's server, which the calls that follow go to.
func (g *fixture) startVM(zone string, table *routing.Snapshot) {
	g.server = New(Options{
		Zone: zone, Protocol: testProtocol{}, Table: func() *routing.Snapshot { return table },
		Directory: g.directory, Dial: g.dial, Ledger: g.ledger, Limiter: g.limiter,
	})
	server := g.server
	g.address = listen(g.t, func(l net.Listener) {
		_ = httpwire.New(server, func() httpwire.Limits {
			return httpwire.Limits{MaxHeaderBytes: 4 << 10, MaxBodyBytes: 8 << 20, HeaderTimeout: time.Second, IdleTimeout: 5 * time.Second}
		}).Serve(l)
	})
}

func listen(t *testing.T, serve func(net.Listener)) string {
	address, err := loopback.Address()
	require.NoError(t, err)
	l, err := net.Listen("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go serve(l)
	return address
}

// upstream adds an upstream in the server's zone. answer writes the raw response to each request; if
// it returns false, the connection is reset.
func (g *fixture) upstream(id string, answer func(r *http.Request, c net.Conn) bool) {
	g.upstreamIn("z", id, answer)
}

func (g *fixture) upstreamIn(zone, id string, answer func(r *http.Request, c net.Conn) bool) {
	address := listen(g.t, func(l net.Listener) {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go g.serveUpstream(id, c, answer)
		}
	})
	g.directory.Merge("c", []registry.Upstream{{ID: id, Service: "s", Address: address, Zone: zone, Slots: 4, Born: 1, Sequence: 1, Build: "v1"}})
}

func (g *fixture) serveUpstream(id string, c net.Conn, answer func(r *http.Request, c net.Conn) bool) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		g.mu.Lock()
		g.requests = append(g.requests, upstreamRequest{id, r.Header.Get("Id"), r.RequestURI, r.Header.Get("Account"), r.Header.Get("Last"), string(body)})
		g.mu.Unlock()
		if !answer(r, c) {
			if g.beforeReset != nil {
				g.beforeReset()
			}
			_ = c.(*net.TCPConn).SetLinger(0)
			return
		}
	}
}

func (g *fixture) receivedRequests() []upstreamRequest {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]upstreamRequest(nil), g.requests...)
}

func signed(r *http.Request) string {
	return "HTTP/1.1 200 OK\r\nSigned: yes\r\nId: " + r.Header.Get("Id") + "\r\n"
}

func respondWith(body string) func(*http.Request, net.Conn) bool {
	return func(r *http.Request, c net.Conn) bool {
		_, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", signed(r), len(body), body)
		return err == nil
	}
}

func eventChunks(from, to int) string {
	s := ""
	for i := from; i <= to; i++ {
		event := fmt.Sprintf("id: %d\ndata: word%d\n\n", i, i)
		s += fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
	}
	return s
}

func streamEvents(to int) func(*http.Request, net.Conn) bool {
	return func(r *http.Request, c net.Conn) bool {
		_, err := io.WriteString(c, signed(r)+"Transfer-Encoding: chunked\r\n\r\n"+eventChunks(1, to)+"0\r\n\r\n")
		return err == nil
	}
}

type reply struct {
	status int
	reason string
	body   string
	err    error // from reading the response or its body
}

func (g *fixture) call(id, path string, headers ...string) reply {
	g.t.Helper()
	return g.callWithBody(id, path, "asked "+id, headers...)
}

func (g *fixture) callWithBody(id, path, body string, headers ...string) reply {
	g.t.Helper()
	c, err := net.Dial("tcp", g.address)
	require.NoError(g.t, err)
	defer func() { _ = c.Close() }()
	require.NoError(g.t, c.SetDeadline(time.Now().Add(5*time.Second)))
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nId: %s\r\nContent-Length: %d\r\n", path, id, len(body))
	key := "Key: key\r\n"
	for _, h := range headers {
		if strings.HasPrefix(h, "Key: ") {
			key = ""
		}
		head += h + "\r\n"
	}
	head += key
	_, err = io.WriteString(c, head+"\r\n"+body)
	require.NoError(g.t, err)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return reply{err: err}
	}
	answer, err := io.ReadAll(response.Body)
	return reply{response.StatusCode, response.Header.Get("Reason"), string(answer), err}
}

func TestServer_ForwardsResponses(t *testing.T) {
	g := newFixture(t)
	g.upstream("u", respondWith("answer"))
	require.Equal(t, reply{200, "", "answer", nil}, g.call("1", "/safe/a?b=%20"))
	require.Equal(t, []upstreamRequest{{"u", "1", "/safe/a?b=%20", "acc", "", "asked 1"}}, g.receivedRequests())
	require.Equal(t, 404, g.call("2", "/other/").status)
	require.Equal(t, 503, g.call("3", "/none/").status)
	g.limiter.refuse = true
	require.Equal(t, 429, g.call("4", "/safe/").status)
	require.Len(t, g.receivedRequests(), 1)
}

func TestServer_RefusesWithoutConfiguration(t *testing.T) {
	g := newFixture(t)
	g.server.opts.Table = func() *routing.Snapshot { return nil }
	require.Equal(t, reply{503, "no_configuration", "", nil}, g.call("1", "/other/"))
}

// TestServer_RetriesOnlyRepeatableRequests breaks the first response to each request: only routes
// that allow it may send the request again.
func TestServer_RetriesOnlyRepeatableRequests(t *testing.T) {
	for _, c := range []struct {
		path   string
		status int
		tries  int
	}{{"/safe/", 200, 2}, {"/once/", 502, 1}, {"/stream/", 502, 1}} {
		for name, broken := range map[string]string{
			"reset": "", "garbage": "\x00\x01 no answer\r\n\r\n", "cut body": "HTTP/1.1 200 OK\r\nSigned: yes\r\nId: 1\r\nContent-Length: 100\r\n\r\nshort",
			"unsigned": "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok", "cut chunk": "HTTP/1.1 200 OK\r\nSigned: yes\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nid",
		} {
			g := newFixture(t)
			first := true
			var mu sync.Mutex
			answer := func(r *http.Request, c net.Conn) bool {
				mu.Lock()
				defer mu.Unlock()
				if first {
					first = false
					_, _ = io.WriteString(c, broken)
					return false
				}
				return respondWith("answer")(r, c)
			}
			g.upstream("u", answer)
			g.upstream("v", answer)
			require.Equal(t, c.status, g.call("1", c.path).status, "%s %s", c.path, name)
			require.Len(t, g.receivedRequests(), c.tries, "%s %s", c.path, name)
		}
	}
}

// TestServer_RetriesAnywhereAfterNotRun checks that any request may be sent to another upstream after
// one stated that it did not run it, and that without another upstream the refusal promises so.
func TestServer_RetriesAnywhereAfterNotRun(t *testing.T) {
	full := func(r *http.Request, c net.Conn) bool {
		_, err := io.WriteString(c, "HTTP/1.1 503 Full\r\nNot-Run: yes\r\nId: "+r.Header.Get("Id")+"\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	g := newFixture(t)
	g.upstream("full", full)
	require.Equal(t, reply{503, "no_upstream", "", nil}, g.call("1", "/once/"))
	g.upstream("free", respondWith("answer"))
	for i := range 10 {
		require.Equal(t, 200, g.call(fmt.Sprint("n", i), "/once/").status)
	}
}

func TestServer_PreservesUpstreamErrorStatus(t *testing.T) {
	g := newFixture(t)
	g.upstream("u", func(r *http.Request, c net.Conn) bool {
		_, err := io.WriteString(c, "HTTP/1.1 500 Broken\r\nSigned: yes\r\nId: "+r.Header.Get("Id")+"\r\nContent-Length: 3\r\n\r\nbad")
		return err == nil
	})
	require.Equal(t, reply{500, "", "bad", nil}, g.call("1", "/once/"))
	require.Equal(t, reply{500, "", "bad", nil}, g.call("2", "/stream/"))
	require.Len(t, g.receivedRequests(), 2)
}

// TestServer_DiscardsStaleResponses guards against forwarding a surplus response: an upstream writes
// a second one to the idle connection, which belongs to no request.
func TestServer_DiscardsStaleResponses(t *testing.T) {
	g := newFixture(t)
	g.upstream("u", func(r *http.Request, c net.Conn) bool {
		id := r.Header.Get("Id")
		body := "answer " + id
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nSigned: yes\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
		go func() { // late, on the idle connection
			time.Sleep(5 * time.Millisecond)
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nSigned: yes\r\nId: %s\r\nContent-Length: 5\r\n\r\nextra", id)
		}()
		return err == nil
	})
	for i := range 20 {
		id := fmt.Sprint("r", i)
		require.Equal(t, reply{200, "", "answer " + id, nil}, g.call(id, "/safe/"))
		time.Sleep(time.Duration(i) * time.Millisecond)
	}
}

func TestServer_ForwardsOnlyCompleteEvents(t *testing.T) {
	g := newFixture(t)
	g.upstream("u", func(r *http.Request, c net.Conn) bool {
		_, _ = io.WriteString(c, signed(r)+"Transfer-Encoding: chunked\r\n\r\n"+eventChunks(1, 2)+"a\r\nid: 3\ndata\r\n")
		return false
	})
	r := g.call("1", "/stream/")
	require.Equal(t, 200, r.status)
	require.ErrorIs(t, r.err, io.ErrUnexpectedEOF, "a stream that was cut off must not look complete")
	require.Equal(t, "id: 1\ndata: word1\n\nid: 2\ndata: word2\n\n", r.body)
}

func TestServer_ResumesAfterLastCompleteEvent(t *testing.T) {
	g := newFixture(t)
	g.upstream("u", func(r *http.Request, c net.Conn) bool {
		if r.Header.Get("Last") == "" {
			_, _ = io.WriteString(c, signed(r)+"Transfer-Encoding: chunked\r\n\r\n"+eventChunks(1, 2)+"a\r\nid: 3\ndata\r\n")
			return false
		}
		_, err := io.WriteString(c, signed(r)+"Transfer-Encoding: chunked\r\n\r\n"+eventChunks(3, 4)+"0\r\n\r\n")
		return err == nil
	})
	r := g.call("1", "/resumed/")
	require.NoError(t, r.err)
	require.Equal(t, "id: 1\ndata: word1\n\nid: 2\ndata: word2\n\nid: 3\ndata: word3\n\nid: 4\ndata: word4\n\n", r.body)
	require.Equal(t, "2", g.receivedRequests()[1].last)
}

func TestServer_AnswersWhenRouteTimesOut(t *testing.T) {
	g := newFixture(t)
	g.upstream("u", func(*http.Request, net.Conn) bool {
		time.Sleep(3 * time.Second)
		return false
	})
	begin := time.Now()
	require.Equal(t, 504, g.call("1", "/once/").status)
	require.InDelta(t, 1, time.Since(begin).Seconds(), 0.3)
}

func TestServer_CancelsUpstreamRequestWhenCallerDisconnects(t *testing.T) {
	g := newFixture(t)
	gone := make(chan struct{})
	g.upstream("u", func(_ *http.Request, c net.Conn) bool {
		_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
		if _, err := c.Read(make([]byte, 1)); errors.Is(err, io.EOF) || strings.Contains(err.Error(), "reset") {
			close(gone)
		}
		return false
	})
	c, err := net.Dial("tcp", g.address)
	require.NoError(t, err)
	_, err = io.WriteString(c, "GET /once/ HTTP/1.1\r\nHost: h\r\nId: 1\r\nKey: key\r\n\r\n")
	require.NoError(t, err)
	for len(g.receivedRequests()) == 0 {
		time.Sleep(time.Millisecond)
	}
	require.NoError(t, c.Close())
	select {
	case <-gone:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the upstream request was not canceled within 500 ms")
	}
}

// TestServer_SendsStoredConversation checks that the upstream receives the inputs and outputs of all
// previous turns of the conversation.
func TestServer_SendsStoredConversation(t *testing.T) {
	g := newFixture(t)
	g.upstream("u", streamEvents(2))
	require.Equal(t, 200, g.call("t1", "/kept/", "Program: p").status)
	require.Equal(t, 200, g.call("t2", "/kept/", "Program: p", "Previous: t1").status)
	require.Equal(t, 200, g.call("t3", "/kept/", "Program: q", "Previous: t1").status)
	said := "word1\nword2\n"
	requests := g.receivedRequests()
	require.Equal(t, "asked t1", requests[0].body)
	require.Equal(t, "asked t1"+said+"asked t2", requests[1].body)
	require.Equal(t, "asked t1"+said+"asked t3", requests[2].body)
	require.Equal(t, 2, g.ledger.begins, "the second turn must begin from the cached line, without the store")
	require.Equal(t, reply{404, "unknown_turn", "", nil}, g.call("t4", "/kept/", "Program: p", "Previous: t9"))
}

// TestServer_TurnThroughOtherVMMissesCache guards against turns that go to another upstream than the one that holds
// their prompt in cache because they arrive at another VM.
func TestServer_TurnThroughOtherVMMissesCache(t *testing.T) {
	g := newFixture(t)
	for _, id := range []string{"z1", "z2", "z3"} {
		g.upstream(id, streamEvents(2))
	}
	for _, id := range []string{"y1", "y2", "y3"} {
		g.upstreamIn("y", id, streamEvents(2))
	}
	first, firstAddress := g.server, g.address
	g.startVM("y", first.opts.Table())
	second := g.address
	turn := func(address, id string, headers ...string) (upstream string) {
		g.address = address
		require.Equal(t, 200, g.call(id, "/stream/", append(headers, "Prompt: 2000")...).status)
		requests := g.receivedRequests()
		return requests[len(requests)-1].upstream
	}
	for i := range 10 {
		program := fmt.Sprint("Program: p", i)
		home := turn(firstAddress, fmt.Sprint("a", i), program)
		require.Equal(t, "z", home[:1], "a new program stays in its zone")
		require.Equal(t, home, turn(second, fmt.Sprint("b", i), program), "the next turn")
		require.Equal(t, home, turn(second, fmt.Sprint("c", i), program, "Line: sub-agent"), "a sub-agent, whose prompt begins with the program's")
		require.Equal(t, home, turn(firstAddress, fmt.Sprint("d", i), program, "Line: sub-agent"))
	}
}

func TestServer_AbortsStreamIfTurnIsNotRecorded(t *testing.T) {
	g := newFixture(t)
	g.upstream("u", streamEvents(2))
	g.ledger.endErr = errors.New("no majority")
	r := g.call("t1", "/kept/", "Program: p")
	require.Equal(t, 200, r.status)
	require.Error(t, r.err)
}

func TestServer_EnforcesProgramBudget(t *testing.T) {
	g := newFixture(t)
	g.upstream("u", streamEvents(9)) // 90 tokens
	served := 0
	for i := range 30 {
		r := g.call(fmt.Sprint("t", i), "/stream/", "Program: p")
		if r.status == 402 {
			continue
		}
		require.Equal(t, 200, r.status)
		served++
	}
	require.Equal(t, 11, served, "a twelfth turn could exceed the budget of 1,000 tokens")
	require.Len(t, g.receivedRequests(), served)
}

func TestServer_ChecksCallerKeys(t *testing.T) {
	g := newFixture(t)
	g.upstream("u", respondWith("answer"))
	c, err := net.Dial("tcp", g.address)
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for _, call := range []struct {
		path, key string
		status    int
	}{{"/safe/", "wrong", 401}, {"/safe/", "", 401}, {"/open/", "", 200}, {"/safe/", "key", 200}} {
		_, err = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\nId: 1\r\nKey: %s\r\n\r\n", call.path, call.key)
		require.NoError(t, err)
		response, err := http.ReadResponse(r, nil)
		require.NoError(t, err)
		require.Equal(t, call.status, response.StatusCode, call)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(t, err)
	}
	require.Len(t, g.receivedRequests(), 2)
}

// TestServer_EndsRequestsToUnreachableZone checks that requests waiting for an upstream end at once
// when its zone becomes unreachable, and are retried in another zone if their route allows it.
func TestServer_EndsRequestsToUnreachableZone(t *testing.T) {
	for _, c := range []struct {
		path   string
		status int
		body   string
	}{
		{"/safe/", 200, "near"},
		{"/resumed/", 200, "id: 1\ndata: word1\n\nid: 2\ndata: word2\n\n"},
		{"/once/", 502, ""},
		{"/stream/", 502, ""},
	} {
		g := newFixture(t)
		reached := make(chan struct{})
		hang := make(chan struct{})
		t.Cleanup(func() { close(hang) })
		g.upstreamIn("far", "f", func(r *http.Request, c net.Conn) bool {
			if r.RequestURI == "/resumed/" {
				_, _ = io.WriteString(c, signed(r)+"Transfer-Encoding: chunked\r\n\r\n"+eventChunks(1, 1))
			}
			close(reached)
			<-hang
			return false
		})
		replies := make(chan reply, 1)
		started := time.Now()
		go func() { replies <- g.call("1", c.path) }()
		<-reached
		if c.path == "/resumed/" {
			require.Eventually(t, func() bool { return g.server.ZoneTraffic()["far"].Received }, time.Second, time.Millisecond)
		}
		require.Equal(t, 1, g.server.ZoneTraffic()["far"].Waiting)
		g.upstream("n", func(r *http.Request, c net.Conn) bool {
			if r.URL.Path == "/resumed/" {
				_, err := io.WriteString(c, signed(r)+"Transfer-Encoding: chunked\r\n\r\n"+eventChunks(2, 2)+"0\r\n\r\n")
				return err == nil
			}
			return respondWith("near")(r, c)
		})
		g.server.SetZoneReachable("far", false)
		got := <-replies
		require.Equal(t, c.status, got.status, c.path)
		require.Equal(t, c.body, got.body, c.path)
		require.Less(t, time.Since(started), 500*time.Millisecond, "the request must not wait for the route's timeout")
		require.Zero(t, g.server.ZoneTraffic()["far"].Waiting)

		// New requests avoid the unreachable zone while another one has upstreams.
		require.Equal(t, 200, g.call("2", "/safe/").status)
		last := g.receivedRequests()[len(g.receivedRequests())-1]
		require.Equal(t, "n", last.upstream)
	}
}
