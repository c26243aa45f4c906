package daemon

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"egretramp/internal/fakes"
	"egretramp/internal/suspect"
)

const crashMark = "crash-mark"

// crashingEngines starts engines that crash on a request that contains crashMark.
func crashingEngines(f *testFleet, n int) []*fakes.Fake {
	var all []*fakes.Fake
	for i := range n {
		e := f.engine(fmt.Sprintf("engine-%d", i), fmt.Sprintf("zone%d", i%3))
		e.SetFaults(fakes.Faults{CrashMark: crashMark})
		all = append(all, e)
	}
	return all
}

func countCrashed(all []*fakes.Fake) int {
	n := 0
	for _, e := range all {
		if e.Crashed() {
			n++
		}
	}
	return n
}

// TestFleet_CrashingRequest repeatedly sends a request that crashes engines through all VMs at once, with
// varying whitespace and letter case, next to harmless requests. At most suspect.MaxLost engines may be
// lost, and the harmless requests must succeed.
func TestFleet_CrashingRequest(t *testing.T) {
	f := newTestFleet(t)
	f.apply(baseFile(1))
	engines := crashingEngines(f, 6)
	f.waitForReplicas(6)

	var wg conc.WaitGroup
	innocent := make([]reply, 24)
	for i := range innocent {
		wg.Go(func() {
			body := chatBody(t, []fakes.Message{user(fmt.Sprintf("innocent request %d words:40", i))}, false)
			innocent[i], _ = f.trySend(i%3, http.MethodPost, "/v1/chat/completions", keyBob, body)
		})
	}
	bad := make([]reply, 30)
	for i := range bad {
		wg.Go(func() {
			text := strings.Repeat(" ", i%4) + "please " + strings.Repeat("\n", i%3) + crashMark + " now"
			if i%2 == 0 {
				text = strings.Replace(text, "please", "PLEASE", 1)
			}
			body := chatBody(t, []fakes.Message{user(text)}, i%5 == 0)
			var headers []string
			if i%3 == 0 {
				headers = []string{headerProgram, fmt.Sprintf("bad-%d", i), headerTurn, "1"}
			}
			bad[i], _ = f.trySend(i%3, http.MethodPost, "/v1/chat/completions", keyAna, body, headers...)
		})
	}
	wg.Wait()
	require.LessOrEqual(t, countCrashed(engines), suspect.MaxLost)
	require.Positive(t, countCrashed(engines), "no engine ran the crashing request")
	for i, r := range innocent {
		require.Equal(t, http.StatusOK, r.status, "innocent %d: %s", i, r.body)
	}
	neverRan := 0
	for i, r := range bad {
		require.NotEqual(t, http.StatusOK, r.status, "bad %d: %s", i, r.body)
		code, notRun := r.refusal(t)
		require.Equal(t, "quarantined", code, "bad %d", i)
		if notRun == "true" {
			neverRan++
		}
	}
	require.GreaterOrEqual(t, neverRan, len(bad)-suspect.MaxLost, "a request that did not run must be answered with not_run true")

	for vm := range f.daemons {
		again := f.send(vm, http.MethodPost, "/v1/chat/completions", keyAna, chatBody(t, []fakes.Message{user("please " + crashMark + "\tNOW")}, false))
		code, notRun := again.refusal(t)
		require.Equal(t, "quarantined", code)
		require.Equal(t, "true", notRun)
		require.Empty(t, again.header.Get("Retry-After"), "a quarantined request must not be retried")
	}
	require.LessOrEqual(t, countCrashed(engines), suspect.MaxLost)
}

// TestFleet_HangingTool fills all slots of one service with calls that hang. Calls to other services and
// models must still succeed, and no hanging call may run twice.
func TestFleet_HangingTool(t *testing.T) {
	f := newTestFleet(t)
	file := baseFile(1)
	file.Services[0].Concurrency = 2
	file.Services[0].TimeoutSeconds = 2
	f.apply(file)
	f.engine("engine-0", "zone0")
	deposit := f.service("deposit-1", "zone0", "deposit")
	f.service("catalog-2", "zone0", "catalog")
	f.waitForReplicas(3)
	deposit.SetFaults(fakes.Faults{Hang: true})

	var wg conc.WaitGroup
	hung := make([]reply, 12)
	for i := range hung {
		wg.Go(func() {
			hung[i], _ = f.trySend(i%3, http.MethodPost, fmt.Sprintf("/v1/services/deposit/charge/%d", i), keyAna, `{}`)
		})
	}
	f.eventually("the service's slots are not full", func() bool { return len(deposit.Runs()) == 2 })
	ok := 0
	for i := range 20 {
		r := f.send(i%3, http.MethodGet, fmt.Sprintf("/v1/services/catalog/wigs/%d", i), keyAna, "")
		require.Equal(t, http.StatusOK, r.status, r.body)
		r = f.send(i%3, http.MethodPost, "/v1/chat/completions", keyAna, chatBody(t, []fakes.Message{user(fmt.Sprint("quote ", i))}, false))
		require.Equal(t, http.StatusOK, r.status, r.body)
		ok++
	}
	require.Equal(t, 20, ok)
	wg.Wait()
	ran := map[string]bool{}
	for _, run := range deposit.Runs() {
		require.False(t, ran[run.Path], "%s ran twice", run.Path)
		ran[run.Path] = true
	}
	for i, r := range hung {
		_, notRun := r.refusal(t)
		require.GreaterOrEqual(t, r.status, http.StatusInternalServerError)
		if notRun == "true" {
			require.False(t, ran[fmt.Sprintf("/charge/%d", i)], "hung call %d ran but was answered with not_run true", i)
		}
	}
}

// TestFleet_CrashingToolCall sends a call that crashes the replicas of a service whose calls must not be
// repeated. The system itself never retries such a call; here its caller does.
func TestFleet_CrashingToolCall(t *testing.T) {
	f := newTestFleet(t)
	f.apply(baseFile(1))
	var services []*fakes.Fake
	for i := range 4 {
		s := f.service(fmt.Sprintf("deposit-%d", i), fmt.Sprintf("zone%d", i%3), "deposit")
		s.SetFaults(fakes.Faults{CrashMark: crashMark})
		services = append(services, s)
	}
	f.waitForReplicas(4)
	var wg conc.WaitGroup
	replies := make([]reply, 18)
	for i := range replies {
		wg.Go(func() {
			body := fmt.Sprintf(`{%s"note": "%s"}`, strings.Repeat(" ", i), crashMark)
			replies[i], _ = f.trySend(i%3, http.MethodPost, "/v1/services/deposit/charge", keyAna, body, "Idempotency-Key", fmt.Sprintf("charge-%d", i))
		})
	}
	wg.Wait()
	crashed := countCrashed(services)
	require.LessOrEqual(t, crashed, suspect.MaxLost)
	ran := 0
	for i, r := range replies {
		code, notRun := r.refusal(t)
		if notRun != "true" {
			ran++
			continue
		}
		require.Equal(t, "quarantined", code, "call %d", i)
	}
	require.Equal(t, crashed, ran, "each crash must belong to one call that is not answered with not_run true")
	r := f.send(0, http.MethodPost, "/v1/services/deposit/charge", keyBob, `{"note":"fine"}`)
	require.Equal(t, http.StatusOK, r.status, r.body)
}
