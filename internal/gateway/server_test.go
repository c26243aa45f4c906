package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretramp/internal/config"
	"egretramp/internal/dispatch"
	"egretramp/internal/loopback"
	"egretramp/internal/program"
	"egretramp/internal/refusal"
	"egretramp/internal/schedule"
	"egretramp/internal/suspect"
	"egretramp/internal/upstream"
	"egretramp/internal/upstream/wire"
)

const testKey = "sk-test-0123456789abcdef"

// testAuthority provides a configuration with one client account.
type testAuthority struct {
	snapshot  *config.Snapshot
	withdrawn atomic.Bool
}

func newTestAuthority() *testAuthority {
	return &testAuthority{snapshot: config.Compile(&config.File{
		Generation:         1,
		CutoffLimitSeconds: 60,
		ClientAccounts: []config.ClientAccount{{
			Named: config.Named{ID: "ana"}, RatePerSecond: 1, Burst: 1, ProgramTokens: 1000, ProgramCalls: 10,
			Keys: []config.Key{{ID: "k", SHA256: config.HashKey(testKey)}},
		}},
		Models:   []config.Model{{Named: config.Named{ID: "m"}, MaxTokens: 16}},
		Services: []config.Service{{Named: config.Named{ID: "charge"}, TimeoutSeconds: 60}, {Named: config.Named{ID: "look"}, Repeatable: true, TimeoutSeconds: 2}, {Named: config.Named{ID: "search"}, Repeatable: true, TimeoutSeconds: 60}},
		Routes:   []config.Route{{ID: "r", Model: "*"}, {ID: "s", Service: "charge"}, {ID: "l", Service: "look"}, {ID: "se", Service: "search"}},
	})}
}

func (a *testAuthority) Snapshot() *config.Snapshot    { return a.snapshot }
func (a *testAuthority) Withdrawn(string, string) bool { return a.withdrawn.Load() }
func (a *testAuthority) Current(time.Duration) bool    { return true }

// testLimiter grants every permit and counts the calls.
type testLimiter struct{ drawn, givenBack atomic.Int64 }

func (l *testLimiter) Draw(context.Context, string, string) error { l.drawn.Add(1); return nil }
func (l *testLimiter) GiveBack(string)                            { l.givenBack.Add(1) }
func (l *testLimiter) Dispatch(context.Context, string, string) (time.Duration, error) {
	return math.MaxInt64, nil
}

// testDispatcher grants the first upstream that a request does not avoid.
type testDispatcher struct {
	mu        sync.Mutex
	addresses []string
	released  []schedule.Outcome
}

func (d *testDispatcher) Acquire(_ context.Context, kind config.UpstreamKind, name, _ string, r schedule.Request) (*dispatch.Grant, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, address := range d.addresses {
		upstreamName := fmt.Sprintf("u%d", i)
		if strings.Contains(strings.Join(r.Avoid, " "), upstreamName) {
			continue
		}
		return &dispatch.Grant{
			RequestID: r.ID, Pool: upstream.Pool{Zone: "z", Kind: kind, Name: name},
			Upstream: upstreamName, Incarnation: 1, Address: address,
		}, nil
	}
	return nil, &dispatch.Error{Code: dispatch.CodeNoUpstream}
}

func (d *testDispatcher) Release(_ *dispatch.Grant, o schedule.Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.released = append(d.released, o)
}

func (d *testDispatcher) Pools() []dispatch.PoolSummary { return nil }

// testLedger is a ledger on a real state machine without replication.
type testLedger struct {
	*program.Shards
	mu      sync.Mutex
	machine *program.Machine
	index   uint64
	// failContaining makes commands that contain it fail with an unknown outcome.
	failContaining string
}

func newTestLedger() *testLedger {
	l := &testLedger{machine: program.New(program.DefaultLimits())}
	l.machine.EnableChecks()
	l.Shards = program.NewShards(program.MajorityHome,
		program.NewLedger(program.LedgerOptions{Proposer: l, InSight: l.isReachable, Owner: program.Owner{VM: "vm", Incarnation: 1}}))
	return l
}

func (l *testLedger) isReachable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failContaining != `"begin":` && l.failContaining != `"query":`
}

func (l *testLedger) Propose(_ context.Context, data []byte) ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failContaining != "" && bytes.Contains(data, []byte(l.failContaining)) {
		return nil, io.ErrClosedPipe
	}
	l.index++
	return l.machine.Apply(l.index, data), nil
}

type testGateway struct {
	*httptest.Server
	authority  *testAuthority
	limiter    *testLimiter
	dispatcher *testDispatcher
	ledger     *testLedger
	server     *Server
}

func newTestGateway(t *testing.T, addresses ...string) *testGateway {
	return newTestGatewayWith(t, upstream.NewClient(), addresses...)
}

// newTestGatewayWith is newTestGateway with the client that calls upstreams.
func newTestGatewayWith(t *testing.T, client *upstream.Client, addresses ...string) *testGateway {
	g := &testGateway{
		authority: newTestAuthority(), limiter: &testLimiter{},
		dispatcher: &testDispatcher{addresses: addresses}, ledger: newTestLedger(),
	}
	g.server = New(Options{
		VM: "vm", Zone: "z", Authority: g.authority, Limiter: g.limiter, Dispatcher: g.dispatcher,
		Caller: client, Ledger: g.ledger, Suspects: newTestGuard(),
	})
	g.Server = httptest.NewServer(g.server)
	t.Cleanup(g.Close)
	return g
}

func (g *testGateway) post(t *testing.T, path, body string, headers ...string) (status int, text string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, g.URL+path, strings.NewReader(body))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+testKey)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	data, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data)
}

// closeAndWait closes the server and waits for the turns that are settled in the background, after
// their callers were answered.
func (g *testGateway) closeAndWait() {
	g.Close()
	g.server.Wait()
}

func (g *testGateway) program(t *testing.T, name string) *program.View {
	t.Helper()
	v, err := g.ledger.Read(context.Background(), program.ProgramQuery{Account: "ana", Program: name})
	require.NoError(t, err)
	return v
}

func errorOf(t *testing.T, text string) (code string, notRun refusal.NotRun) {
	t.Helper()
	var b struct {
		Error struct {
			Code   string         `json:"code"`
			NotRun refusal.NotRun `json:"not_run"`
		} `json:"error"`
	}
	require.NoError(t, json.Unmarshal([]byte(text), &b), text)
	return b.Error.Code, b.Error.NotRun
}

// startEngine starts an engine that serves chat completions with as many chunks as words. If broken
// is set, it then aborts the connection. It returns the engine's address.
func startEngine(t *testing.T, words int, broken bool, served *atomic.Int64) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/healthz" || r.Method == http.MethodDelete {
			return
		}
		served.Add(1)
		attempt := r.Header.Get(wire.HeaderAttempt)
		w.Header().Set(wire.HeaderAttempt, attempt)
		send := func(choices string) {
			_, _ = fmt.Fprintf(w, "data: {\"id\":\"chatcmpl-%s\",\"object\":\"chat.completion.chunk\",\"model\":\"m\",%s}\n\n", attempt, choices)
			_ = http.NewResponseController(w).Flush()
		}
		for range words {
			send(`"choices":[{"index":0,"delta":{"content":"word "},"finish_reason":null}]`)
		}
		if broken {
			panic(http.ErrAbortHandler)
		}
		send(`"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]`)
		send(`"choices":[],"usage":{"prompt_tokens":3,"completion_tokens":2,"total_tokens":5}`)
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

func unusedAddress(t *testing.T) string {
	address, err := loopback.Address()
	require.NoError(t, err)
	return address
}

const (
	wholeChat  = `{"model":"m","messages":[{"role":"user","content":"hello"}]}`
	streamChat = `{"model":"m","stream":true,"messages":[{"role":"user","content":"hello"}]}`
)

func TestServer_BrokenStreamEndsWithAnError(t *testing.T) {
	var served atomic.Int64
	g := newTestGateway(t, startEngine(t, 2, true, &served))
	status, text := g.post(t, "/v1/chat/completions", streamChat, headerProgram, "p")
	require.Equal(t, http.StatusOK, status)
	events := strings.Split(strings.TrimSpace(text), "\n\n")
	require.Len(t, events, 3)
	code, notRun := errorOf(t, strings.TrimPrefix(events[2], "data: "))
	require.Equal(t, "upstream_failed", code)
	require.Equal(t, refusal.Unknown, notRun)
	require.NotContains(t, text, "[DONE]", "a partial answer must not look complete")
	g.closeAndWait()
	view := g.program(t, "p")
	require.Equal(t, uint64(1), view.NextTurn, "the turn must be open again")
	require.Zero(t, view.RecordedMessages)
	require.Positive(t, view.Used.Tokens, "the tokens of the aborted run must be charged")
	require.Zero(t, g.limiter.givenBack.Load())
}

func TestServer_RetryUsesAnotherUpstreamAndNewReservation(t *testing.T) {
	var broken, whole atomic.Int64
	g := newTestGateway(t, startEngine(t, 2, true, &broken), startEngine(t, 2, false, &whole))
	status, text := g.post(t, "/v1/chat/completions", wholeChat, headerProgram, "p", headerTurn, "1")
	require.Equal(t, http.StatusOK, status, text)
	require.Contains(t, text, "word word ")
	require.Equal(t, int64(1), broken.Load())
	require.Equal(t, int64(1), whole.Load())
	view := g.program(t, "p")
	require.Equal(t, uint64(2), view.NextTurn)
	require.Greater(t, view.Used.Tokens, int64(5), "the aborted run must be charged in addition to the complete one")

	replayed, again := g.post(t, "/v1/chat/completions", wholeChat, headerProgram, "p", headerTurn, "1")
	require.Equal(t, http.StatusOK, replayed)
	require.Equal(t, text, again)
	require.Equal(t, int64(1), whole.Load(), "the repeated call must be answered from the record")
}

func TestServer_UnsentCallIsNotRun(t *testing.T) {
	g := newTestGateway(t, unusedAddress(t))
	status, text := g.post(t, "/v1/services/charge/x", "{}", "Idempotency-Key", "once")
	require.Equal(t, http.StatusServiceUnavailable, status)
	_, notRun := errorOf(t, text)
	require.Equal(t, refusal.True, notRun)
	require.Equal(t, int64(1), g.limiter.givenBack.Load(), "the permit must be given back once")
	_, err := g.ledger.Read(context.Background(), program.ProgramQuery{Account: "ana", Program: program.OneCallName("once")})
	require.ErrorContains(t, err, "no_program", "the revoked turn must leave no program")
}

func TestServer_CallWithUnknownOutcomeIsNotRetried(t *testing.T) {
	var runs atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		runs.Add(1)
		panic(http.ErrAbortHandler) // the call ran, and its answer is lost
	}))
	t.Cleanup(s.Close)
	address := s.Listener.Addr().String()
	g := newTestGateway(t, address, address)
	for range 3 {
		_, text := g.post(t, "/v1/services/charge/x", "{}", "Idempotency-Key", "once")
		_, notRun := errorOf(t, text)
		require.Equal(t, refusal.Unknown, notRun, text)
	}
	require.Equal(t, int64(1), runs.Load())
	require.Equal(t, int64(2), g.limiter.givenBack.Load(), "only the two calls answered from the record must give their permits back")

	runs.Store(0)
	_, text := g.post(t, "/v1/services/look/x", "{}")
	_, notRun := errorOf(t, text)
	require.Equal(t, refusal.Unknown, notRun)
	require.Equal(t, int64(2), runs.Load(), "a repeatable call must be tried on each upstream")
}

func TestServer_StreamCompletesOnlyAfterRecording(t *testing.T) {
	var served atomic.Int64
	g := newTestGateway(t, startEngine(t, 2, false, &served))
	g.ledger.mu.Lock()
	g.ledger.failContaining = `"complete":`
	g.ledger.mu.Unlock()
	_, text := g.post(t, "/v1/chat/completions", streamChat, headerProgram, "p")
	require.NotContains(t, text, "[DONE]")
	require.Contains(t, text, `"not_run":"unknown"`)
}

func TestServer_OnlyRepeatableCallsRunUnrecorded(t *testing.T) {
	var served atomic.Int64
	g := newTestGateway(t, startEngine(t, 2, false, &served))
	g.ledger.failContaining = `"begin":`
	status, text := g.post(t, "/v1/chat/completions", wholeChat, "Idempotency-Key", "quote")
	require.Equal(t, http.StatusOK, status, text)
	for path, headers := range map[string][]string{
		"/v1/chat/completions":   {headerProgram, "p"},
		"/v1/services/charge/x":  {"Idempotency-Key", "once"},
		"/v1/services/charge/x/": {headerProgram, "p"},
	} {
		status, text = g.post(t, path, wholeChat, headers...)
		require.Equal(t, http.StatusServiceUnavailable, status, path)
		require.Contains(t, text, "programs_unavailable")
	}
	require.Equal(t, int64(1), served.Load())
}

// TestServer_NumberedTurnWithFailedLookup: if the record of a numbered turn cannot be read, the turn
// may have run through another VM before.
func TestServer_NumberedTurnWithFailedLookup(t *testing.T) {
	g := newTestGateway(t)
	g.ledger.failContaining = `"query":`
	for turn, want := range map[string]refusal.NotRun{"1": refusal.Unknown, "": refusal.True} {
		_, text := g.post(t, "/v1/programs/p/turns", wholeChat, headerTurn, turn)
		code, notRun := errorOf(t, text)
		require.Equal(t, "programs_unavailable", code)
		require.Equal(t, want, notRun)
	}
}

func TestServer_BudgetStopsLoopingProgram(t *testing.T) {
	var served atomic.Int64
	g := newTestGateway(t, startEngine(t, 1, false, &served))
	for i := range 40 {
		status, text := g.post(t, "/v1/programs/p/turns", wholeChat)
		if status == http.StatusOK {
			continue
		}
		if i == 0 {
			status, text = g.post(t, "/v1/chat/completions", wholeChat, headerProgram, "p")
			require.Equal(t, http.StatusOK, status, text)
			continue
		}
		code, notRun := errorOf(t, text)
		require.Equal(t, "budget_exceeded", code)
		require.Equal(t, refusal.True, notRun)
		view := g.program(t, "p")
		require.LessOrEqual(t, view.Used.Tokens+view.Reserved.Tokens, view.Limit.Tokens)
		require.LessOrEqual(t, view.Used.Calls, view.Limit.Calls)
		return
	}
	t.Fatal("the budget did not stop the loop")
}

func TestServer_WithdrawnKeyEndsAStream(t *testing.T) {
	began := make(chan struct{})
	release := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			return
		}
		w.Header().Set(wire.HeaderAttempt, r.Header.Get(wire.HeaderAttempt))
		_ = http.NewResponseController(w).Flush()
		close(began)
		<-release
	}))
	t.Cleanup(s.Close)
	t.Cleanup(func() { close(release) })
	g := newTestGateway(t, s.Listener.Addr().String())
	answered := make(chan string, 1)
	go func() {
		_, text := g.post(t, "/v1/chat/completions", streamChat)
		answered <- text
	}()
	<-began
	g.authority.withdrawn.Store(true)
	g.server.KeysWithdrawn()
	code, _ := errorOf(t, <-answered)
	require.Equal(t, "key_withdrawn", code)
}

// localNetwork is the network of the only VM: it delivers messages to its own guard.
type localNetwork struct{ guard *suspect.Guard }

func (l *localNetwork) Send(_, kind string, payload []byte) {
	if kind == suspect.KindEnd {
		l.guard.HandleEnd("vm", payload)
	}
}

func (l *localNetwork) Call(ctx context.Context, _, method string, payload []byte) ([]byte, error) {
	if method == suspect.MethodAsk {
		return l.guard.HandleAsk(ctx, "vm", payload)
	}
	return l.guard.HandleLost(ctx, "vm", payload)
}

func newTestGuard() *suspect.Guard {
	network := &localNetwork{}
	network.guard = suspect.NewGuard(suspect.Options{
		VM: "vm", Network: network, Others: func() []string { return nil },
		Rank:    func(_ string, vms []string) []string { return vms },
		Members: func() []suspect.Member { return nil },
	})
	return network.guard
}

// cutOffGuard refuses each request with ErrCutOff.
type cutOffGuard struct{}

// Enter implements Suspects.
func (cutOffGuard) Enter(context.Context, suspect.Fingerprint, string) (*suspect.Permit, error) {
	return nil, suspect.ErrCutOff
}

func TestServer_RequestIsNotRunWhileZonesAreUnreachable(t *testing.T) {
	var served atomic.Int64
	g := newTestGateway(t, startEngine(t, 2, false, &served))
	g.server.opts.Suspects = cutOffGuard{}
	status, text := g.post(t, "/v1/chat/completions", wholeChat, headerProgram, "p")
	require.Equal(t, http.StatusServiceUnavailable, status)
	code, notRun := errorOf(t, text)
	require.Equal(t, "zones_out_of_reach", code)
	require.Equal(t, refusal.True, notRun)
	require.Contains(t, text, `"retry_after`)
	require.Zero(t, served.Load())
	require.Equal(t, uint64(1), g.program(t, "p").NextTurn, "the turn must be open again")
}
