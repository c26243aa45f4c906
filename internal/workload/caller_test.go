package workload

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretramp/internal/config"
	"egretramp/internal/fakes"
	"egretramp/internal/refusal"
	"egretramp/internal/upstream/wire"
)

// testVM is a minimal daemon: it refuses turns that are not due, answers repeated turns from its
// record and forwards the others. It refuses every third request.
type testVM struct {
	engine, service string
	mu              sync.Mutex
	requests        int
	records         map[string][]byte
	header          map[string]http.Header
	due             map[string]int
}

func (v *testVM) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.requests++
	if v.requests%3 == 0 {
		refuse(w, http.StatusServiceUnavailable, "busy", time.Millisecond)
		return
	}
	if strings.HasPrefix(r.URL.Path, "/v1/programs") {
		_, _ = w.Write([]byte(`{"id":"x"}`))
		return
	}
	program := r.Header.Get(headerProgram)
	turn, _ := strconv.Atoi(r.Header.Get(headerTurn))
	key := fmt.Sprint(program, turn)
	if turn > v.due[program]+1 {
		refuse(w, http.StatusConflict, "turn_ahead", 0)
		return
	}
	if v.records[key] == nil {
		v.forward(r, key)
		v.due[program] = turn
	}
	w.Header().Set("Content-Type", v.header[key].Get("Content-Type"))
	_, _ = w.Write(v.records[key])
}

func refuse(w http.ResponseWriter, status int, code string, retry time.Duration) {
	(&refusal.Refusal{Status: status, Code: code, NotRun: refusal.True, RetryAfter: retry}).Write(w)
}

func (v *testVM) forward(r *http.Request, key string) {
	body, _ := io.ReadAll(r.Body)
	url := "http://" + v.engine + "/v1/chat/completions"
	if below, found := strings.CutPrefix(r.URL.Path, "/v1/services/"); found {
		_, path, _ := strings.Cut(below, "/")
		url = "http://" + v.service + "/" + path
	}
	req, _ := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
	req.Header.Set(wire.HeaderAttempt, key)
	req.Header.Set(wire.HeaderSession, r.Header.Get(headerProgram))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		panic(err)
	}
	defer resp.Body.Close()
	v.records[key], _ = io.ReadAll(resp.Body)
	v.header[key] = resp.Header
}

func startFake(t *testing.T, o fakes.Options) *fakes.Fake {
	t.Helper()
	f, err := fakes.New(o)
	require.NoError(t, err)
	require.NoError(t, f.Start())
	t.Cleanup(f.Close)
	return f
}

func TestCaller_RunsProgramsToTheirEnd(t *testing.T) {
	d := Bajio()
	aliases := map[string]string{}
	for _, n := range AllNames(d.Model.Named) {
		aliases[n] = d.Model.ID
	}
	engine := startFake(t, fakes.Options{Kind: config.KindEngine, Aliases: aliases, Engine: fakes.EngineOptions{StepTime: 20 * time.Microsecond}})
	service := startFake(t, fakes.Options{Kind: config.KindService})
	vm := httptest.NewServer(&testVM{
		engine: engine.Addr(), service: service.Addr(),
		records: map[string][]byte{}, header: map[string]http.Header{}, due: map[string]int{},
	})
	defer vm.Close()
	var recorder Recorder
	c := NewCaller(CallerOptions{VMs: []string{vm.Listener.Addr().String()}, ProbePart: 0.5}, &recorder)
	defer c.Close()
	g := NewGenerator(5, d)
	g.PauseScale = 0.01
	for range 4 {
		o := c.Run(context.Background(), g.Next())
		require.True(t, o.Finished, o.Reason)
	}
	e := &Evidence{Calls: recorder.Calls(), Outcomes: recorder.Outcomes(), Runs: append(engine.Runs(), service.Runs()...)}
	e.Bounds = map[string]RateBound{}
	for _, a := range d.Accounts {
		e.Bounds[a.ID] = RateBound{1e6, 1e6}
	}
	// This test does not collect the following evidence.
	e.Searches = []KeySearch{{Control: true, ReceivedReply: fakes.ReceivedReply{Contains: true}}}
	e.Departures = []fakes.Departure{{}}
	e.Engines = []EngineMemory{{}}
	for _, r := range CheckAll(e) {
		require.Zero(t, r.Violated, "%s: %v", r.Name, r.Details)
		require.Positive(t, r.Tried, r.Name)
	}
	require.Zero(t, WastedCache(e).Wasted)
	require.Positive(t, WastedCache(e).CachedTokens)
}

func TestCaller_KeepsAttemptsOfFailedTurns(t *testing.T) {
	replies := []string{
		"data: {\"choices\":[{\"delta\":{\"content\":\"half\"}}]}\n\n", // the stream ends without the final event
		"data: {\"error\":{\"code\":\"lost\",\"not_run\":\"unknown\"}}\n\n",
	}
	n := 0
	vm := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/v1/programs") {
			return
		}
		_, _ = w.Write([]byte(replies[n]))
		n++
	}))
	defer vm.Close()
	var recorder Recorder
	c := NewCaller(CallerOptions{VMs: []string{vm.Listener.Addr().String()}}, &recorder)
	defer c.Close()
	o := c.Run(context.Background(), &Program{Name: "p", Steps: []Step{{Kind: Chat, Stream: true}}})
	require.False(t, o.Finished)
	require.Contains(t, o.Reason, "lost")
	require.Equal(t, Resource, recorder.Calls()[0].Kind)
	attempts := recorder.Calls()[1].Attempts
	require.Len(t, attempts, 2)
	require.Equal(t, io.ErrUnexpectedEOF.Error(), attempts[0].Err)
	require.Equal(t, refusal.Unknown, attempts[1].NotRun)
}

func TestRead_AnswerIsWholeOnlyWithFinishReason(t *testing.T) {
	const finished, cut = `{"choices":[{"finish_reason":"stop"}]}`, `{"choices":[{"finish_reason":null}]}`
	for body, whole := range map[string]bool{finished: true, cut: false} {
		var a, b Attempt
		require.NoError(t, readWhole(strings.NewReader(body), request{}, &a))
		require.NoError(t, readStream(strings.NewReader("data: "+body+"\n\ndata: [DONE]\n\n"), &b))
		require.Equal(t, []bool{whole, whole}, []bool{a.Whole, b.Whole})
	}
}
