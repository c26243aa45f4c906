package daemon

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"egretramp/internal/fakes"
	"egretramp/internal/program"
)

// releaseBound is the longest time that a session may hold engine memory after its program is gone, in
// any case of this test: the attempt's lease, the age of a report, two reports and a release.
var releaseBound = program.DefaultLimits().Lease + program.DefaultLimits().ReportAge +
	2*reportInterval + releaseInterval + 2*memoryRoundTimeout + program.TickEvery

func sessionsOn(t testing.TB, e *fakes.Fake) []string {
	t.Helper()
	list, err := fakes.NewClient(e.Addr()).Sessions(context.Background())
	require.NoError(t, err)
	var names []string
	for _, s := range list {
		names = append(names, s.Session)
	}
	slices.Sort(names)
	return names
}

func (f *testFleet) waitForSessions(what string, e *fakes.Fake, n int, limit time.Duration) {
	f.t.Helper()
	require.Eventually(f.t, func() bool { return len(sessionsOn(f.t, e)) == n }, limit, 50*time.Millisecond, what)
}

func (f *testFleet) turn(vm int, name, text string) reply {
	f.t.Helper()
	return f.send(vm, http.MethodPost, "/v1/chat/completions", keyAna, chatBody(f.t, []fakes.Message{user(text)}, false),
		headerProgram, name, headerTurn, "1")
}

// longBody requests an answer that takes more than a minute to generate. An engine has room for two of
// them at once.
func longBody(name string) string {
	return `{"model":"WIG/L","stream":true,"max_tokens":41000,"messages":[{"role":"user","content":"` + name + ` words:40000"}]}`
}

// TestFleet_EngineMemory ends, expires, cancels and orphans programs, and checks that the engine releases
// their sessions in time while a live program keeps its own.
func TestFleet_EngineMemory(t *testing.T) {
	f := newTestFleet(t)
	file := baseFile(1)
	file.ClientAccounts[0].ProgramTokens = 10_000_000
	f.apply(file)
	engine := f.engine("engine-0", "zone0")
	hung := f.engine("engine-1", "zone1")
	f.waitForReplicas(2)
	hung.SetFaults(fakes.Faults{Silence: true, StopAnnouncing: true})
	f.eventually("the second engine is still listed", func() bool { return len(f.daemons[1].dispatcher.Pools()) == 1 })

	t.Run("KeptWhileProgramLives", func(t *testing.T) {
		require.Equal(t, http.StatusOK, f.turn(0, "lives", "a wig").status)
		require.Len(t, sessionsOn(t, engine), 1)
	})
	t.Run("End", func(t *testing.T) {
		require.Equal(t, http.StatusOK, f.turn(0, "ends", "a wig").status)
		f.waitForSessions("the two programs do not hold one session each", engine, 2, waitTimeout)
		f.send(2, http.MethodPost, "/v1/programs/ends/end", keyAna, "")
		f.waitForSessions("the ended program's session is not released", engine, 1, releaseInterval+2*memoryRoundTimeout)
	})
	t.Run("Deadline", func(t *testing.T) {
		deadline := time.Now().Add(3 * time.Second).UnixMilli()
		r := f.send(1, http.MethodPost, "/v1/programs", keyAna, fmt.Sprintf(`{"name":"expires","deadline_ms":%d}`, deadline))
		require.Less(t, r.status, 300, r.body)
		require.Equal(t, http.StatusOK, f.turn(0, "expires", "a wig").status)
		f.waitForSessions("the expired program's session is not released", engine, 1, 3*time.Second+program.TickEvery+releaseInterval+2*memoryRoundTimeout)
	})
	t.Run("ByReport", func(t *testing.T) { testReleaseByReport(t, f, engine) })
	require.Len(t, sessionsOn(t, engine), 1, "the live program must keep its session")
}

// testReleaseByReport creates sessions that can only be found through the engine's session report: one
// without a record, one of a program that ended during its call, and one of a VM that was lost.
func testReleaseByReport(t *testing.T, f *testFleet, engine *fakes.Fake) {
	req, err := http.NewRequest(http.MethodPut, "http://"+engine.Addr()+"/v1/sessions/nobody.1/kv", strings.NewReader(`["a","b"]`))
	require.NoError(t, err)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	var wg conc.WaitGroup
	defer wg.Wait()
	for vm, name := range map[int]string{0: "cancelled", 2: "orphan"} {
		wg.Go(func() {
			_, _ = f.trySend(vm, http.MethodPost, "/v1/chat/completions", keyAna, longBody(name), headerProgram, name)
		})
	}
	f.waitForSessions("the calls are not running", engine, 4, waitTimeout)
	f.send(1, http.MethodPost, "/v1/programs/cancelled/end", keyAna, "")
	f.isolate(2)
	defer f.heal()
	f.waitForSessions("sessions without a record are not released", engine, 1, releaseBound)
}
