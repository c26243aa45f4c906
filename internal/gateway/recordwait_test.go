package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretramp/internal/config"
	"egretramp/internal/dispatch"
	"egretramp/internal/program"
	"egretramp/internal/refusal"
	"egretramp/internal/schedule"
	"egretramp/internal/upstream/wire"
)

// recordLimit is the part of the 6 s until a caller is refused that may be spent waiting for the record.
const recordLimit = 3500 * time.Millisecond

// slowLedger is a ledger whose answers take virtual time and which leaves some operations unanswered.
type slowLedger struct {
	*testLedger
	mu         sync.Mutex
	latency    time.Duration // virtual time that each answer takes
	unanswered map[string]bool
	outage     time.Duration
	waited     time.Duration
	// runTime is the total virtual time for which upstreams ran calls.
	runTime time.Duration
	// unblockFail blocks Fail until it is closed, if it is not nil.
	unblockFail chan struct{}
}

func newSlowGateway(t *testing.T, l *slowLedger, addresses ...string) *testGateway {
	g := newTestGateway(t, addresses...)
	l.testLedger = g.ledger
	g.server.opts.Ledger = l
	g.server.opts.Clock = func() time.Duration {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.waited + l.runTime
	}
	return g
}

// wait advances the virtual time by the latency of an answer, or by the time until ctx's deadline if
// the operation gets no answer in time.
func (l *slowLedger) wait(ctx context.Context, operation string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	deadline, _ := ctx.Deadline()
	left := time.Until(deadline)
	if !l.unanswered[operation] && l.latency <= left {
		l.waited += l.latency
		return nil
	}
	l.waited += left
	l.outage += left
	return &program.UnavailableError{Applied: true, Identified: true}
}

func (l *slowLedger) Outage(program.Home) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.outage
}

func (l *slowLedger) Begin(ctx context.Context, c program.Call) (*program.Turn, error) {
	if err := l.wait(ctx, "begin"); err != nil {
		return nil, err
	}
	return l.testLedger.Begin(ctx, c)
}

func (l *slowLedger) Read(ctx context.Context, q program.ProgramQuery) (*program.View, error) {
	if err := l.wait(ctx, "read"); err != nil {
		return nil, err
	}
	return l.testLedger.Read(ctx, q)
}

func (l *slowLedger) Revoke(ctx context.Context, c program.Revoke) (bool, error) {
	if err := l.wait(ctx, "revoke"); err != nil {
		return true, err
	}
	return l.testLedger.Revoke(ctx, c)
}

func (l *slowLedger) Complete(ctx context.Context, c program.Complete) (*program.SettledBudget, error) {
	if err := l.wait(ctx, "complete"); err != nil {
		return nil, err
	}
	return l.testLedger.Complete(ctx, c)
}

func (l *slowLedger) Fail(ctx context.Context, c program.Fail) error {
	if l.unblockFail != nil {
		<-l.unblockFail
	}
	if err := l.wait(ctx, "fail"); err != nil {
		return err
	}
	return l.testLedger.Fail(ctx, c)
}

func TestServer_TotalRecordWaitStaysBelowLimit(t *testing.T) {
	var served atomic.Int64
	whole, broken := startEngine(t, 1, false, &served), startEngine(t, 1, true, &served)
	answers := func(operations ...string) map[string]bool {
		silent := map[string]bool{"begin": true, "read": true, "complete": true, "fail": true, "revoke": true}
		for _, o := range operations {
			delete(silent, o)
		}
		return silent
	}
	for name, c := range map[string]struct {
		path   string
		engine string
		ledger *slowLedger
	}{
		"answer not recorded":          {"/v1/chat/completions", whole, &slowLedger{latency: 2400 * time.Millisecond, unanswered: answers("begin"), unblockFail: make(chan struct{})}},
		"broken run not recorded":      {"/v1/chat/completions", broken, &slowLedger{latency: 2400 * time.Millisecond, unanswered: answers("begin")}},
		"unsent call not revoked":      {"/v1/chat/completions", unusedAddress(t), &slowLedger{latency: 2400 * time.Millisecond, unanswered: answers("begin")}},
		"history read, turn not begun": {"/v1/programs/p/turns", whole, &slowLedger{latency: 2400 * time.Millisecond, unanswered: answers("read")}},
		"all answers slow":             {"/v1/programs/p/turns", whole, &slowLedger{latency: 1900 * time.Millisecond, unanswered: answers("read", "begin")}},
	} {
		t.Run(name, func(t *testing.T) {
			g := newSlowGateway(t, c.ledger, c.engine)
			_, err := g.ledger.Create(context.Background(), program.Create{Account: "ana", Name: "p", Ceiling: program.Budget{Tokens: 10_000, Calls: 10}}, program.PlaceMajority)
			require.NoError(t, err)
			_, text := g.post(t, c.path, wholeChat, headerProgram, "p", headerTurn, "1")
			_, notRun := errorOf(t, text)
			require.Equal(t, refusal.Unknown, notRun, text)
			require.LessOrEqual(t, g.server.opts.Clock(), recordLimit)
			if c.ledger.unblockFail != nil {
				close(c.ledger.unblockFail)
			}
			g.server.Wait()
		})
	}
}

func TestServer_KnownOutageLimitsRecordWait(t *testing.T) {
	l := &slowLedger{outage: time.Minute, unanswered: map[string]bool{"begin": true}}
	g := newSlowGateway(t, l, unusedAddress(t))
	status, text := g.post(t, "/v1/chat/completions", wholeChat, headerProgram, "p")
	code, _ := errorOf(t, text)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Equal(t, "programs_unavailable", code)
	require.LessOrEqual(t, l.waited, 500*time.Millisecond)
}

// queueingDispatcher never grants an upstream. It closes queued when a request starts to wait.
type queueingDispatcher struct {
	testDispatcher
	queued chan struct{}
}

func (q *queueingDispatcher) Acquire(ctx context.Context, _ config.UpstreamKind, _, _ string, _ schedule.Request) (*dispatch.Grant, error) {
	close(q.queued)
	<-ctx.Done()
	return nil, &dispatch.Error{Code: dispatch.CodeTimeout}
}

func TestServer_QueuedCallIsRefusedDuringRecordOutage(t *testing.T) {
	for _, path := range []string{"/v1/chat/completions", "/v1/services/charge/x"} {
		l := &slowLedger{unanswered: map[string]bool{"revoke": true}}
		g := newSlowGateway(t, l)
		q := &queueingDispatcher{queued: make(chan struct{})}
		g.server.opts.Dispatcher = q
		answered := make(chan string, 1)
		go func() {
			_, text := g.post(t, path, wholeChat, headerProgram, "p", headerTurn, "1")
			answered <- text
		}()
		<-q.queued
		g.server.checkOutage()
		require.Empty(t, answered)
		l.mu.Lock()
		l.outage = time.Minute
		l.mu.Unlock()
		g.server.checkOutage()
		code, notRun := errorOf(t, <-answered)
		require.Equal(t, "programs_unavailable", code)
		require.Equal(t, refusal.Unknown, notRun, "an attempt through another VM may have run")
	}
}

// TestServer_LongQueuedCallIsRefusedSooner: a call that has waited long for an upstream does not also
// wait maxRecordWait for its record.
func TestServer_LongQueuedCallIsRefusedSooner(t *testing.T) {
	for waited, refused := range map[time.Duration]bool{shortCallAge - time.Second: false, shortCallAge: true} {
		l := &slowLedger{}
		g := newSlowGateway(t, l)
		q := &queueingDispatcher{queued: make(chan struct{})}
		g.server.opts.Dispatcher = q
		answered := make(chan string, 1)
		go func() {
			_, text := g.post(t, "/v1/chat/completions", wholeChat, headerProgram, "p", headerTurn, "1")
			answered <- text
		}()
		<-q.queued
		l.mu.Lock()
		l.runTime, l.outage = waited, minRecordWait
		l.mu.Unlock()
		g.server.checkOutage()
		select {
		case text := <-answered:
			code, _ := errorOf(t, text)
			require.True(t, refused, "after %s", waited)
			require.Equal(t, "programs_unavailable", code)
		case <-time.After(100 * time.Millisecond):
			require.False(t, refused, "after %s", waited)
			l.mu.Lock()
			l.outage = time.Minute
			l.mu.Unlock()
			g.server.checkOutage()
			<-answered
		}
	}
}

func TestServer_SentCallCompletesDespiteRecordOutage(t *testing.T) {
	began, release := make(chan struct{}), make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(began)
		<-release
		w.Header().Set(wire.HeaderAttempt, r.Header.Get(wire.HeaderAttempt))
	}))
	t.Cleanup(s.Close)
	l := &slowLedger{}
	g := newSlowGateway(t, l, s.Listener.Addr().String())
	answered := make(chan int, 1)
	go func() {
		status, _ := g.post(t, "/v1/services/charge/x", "{}", headerProgram, "p", headerTurn, "1")
		answered <- status
	}()
	<-began
	l.mu.Lock()
	l.outage = time.Minute
	l.mu.Unlock()
	g.server.checkOutage()
	close(release)
	require.Equal(t, http.StatusOK, <-answered)
}

func TestServer_RefusalDoesNotWaitForCancellation(t *testing.T) {
	answered := make(chan struct{})
	order := make(chan string, 1)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.Method {
		case http.MethodDelete:
			select {
			case <-answered:
				order <- "answered first"
			case <-r.Context().Done():
				order <- "cancellation timed out first"
			}
		case http.MethodPost:
			w.Header().Set(wire.HeaderAttempt, r.Header.Get(wire.HeaderAttempt))
			_, _ = io.WriteString(w, "data: not JSON\n\n")
		}
	}))
	t.Cleanup(s.Close)
	g := newTestGateway(t, s.Listener.Addr().String())
	g.server.retries = &retryBudget{tokens: -1}
	_, text := g.post(t, "/v1/chat/completions", wholeChat)
	close(answered)
	code, notRun := errorOf(t, text)
	require.Equal(t, "upstream_failed", code)
	require.Equal(t, refusal.Unknown, notRun)
	require.Equal(t, "answered first", <-order)
}

// slowService starts a service that takes the virtual time runs for each call, and returns its address.
func slowService(t *testing.T, l *slowLedger, runs time.Duration) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l.mu.Lock()
		l.runTime += runs
		l.mu.Unlock()
		w.Header().Set(wire.HeaderAttempt, r.Header.Get(wire.HeaderAttempt))
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

func TestServer_ShortCallIsRefusedWithinSixSeconds(t *testing.T) {
	for _, runs := range []time.Duration{2 * time.Second, 3500 * time.Millisecond, 4900 * time.Millisecond, 5400 * time.Millisecond} {
		l := &slowLedger{unanswered: map[string]bool{"complete": true}}
		g := newSlowGateway(t, l, slowService(t, l, runs))
		_, text := g.post(t, "/v1/services/charge/x", "{}", headerProgram, "p", headerTurn, "1")
		code, notRun := errorOf(t, text)
		require.Equal(t, "programs_unavailable", code)
		require.Equal(t, refusal.Unknown, notRun)
		require.LessOrEqual(t, g.server.opts.Clock(), 6*time.Second, "after a run of %s", runs)
	}
}

func TestServer_LongCallWaitsForANewLeader(t *testing.T) {
	l := &slowLedger{latency: 600 * time.Millisecond}
	g := newSlowGateway(t, l, slowService(t, l, time.Minute))
	status, text := g.post(t, "/v1/services/charge/x", "{}", "Idempotency-Key", "once")
	require.Equal(t, http.StatusOK, status, text)
}

// TestAttempts_OutageOfOneGroupStopsItsCallsOnly: if one of two homes is unavailable, only the waiting
// call of that home is stopped.
func TestAttempts_OutageOfOneGroupStopsItsCallsOnly(t *testing.T) {
	a := newAttempts()
	stopped := map[string]bool{}
	for _, id := range []string{"1f", "z1~2f"} {
		a.bind(id, 0, func(error) { stopped[id] = true })
	}
	a.stopUnwritten(func(home program.Home, _ time.Duration) bool { return home == program.MajorityHome })
	require.Equal(t, map[string]bool{"1f": true}, stopped)
}
