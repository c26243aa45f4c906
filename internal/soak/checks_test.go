package soak

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretramp/internal/admin/api"
	"egretramp/internal/control"
	"egretramp/internal/fakes"
	"egretramp/internal/harness"
	"egretramp/internal/refusal"
	"egretramp/internal/workload"
)

func newVMs(names ...string) []*harness.VM {
	var list []*harness.VM
	for _, n := range names {
		list = append(list, &harness.VM{Process: harness.NewProcess(n, "", "")})
	}
	return list
}

func second(s float64) time.Time { return time.Unix(1000, int64(s*1e9)) }

// healthyEvidence returns evidence without violations. It includes calls of an account whose key
// is withdrawn at second 10, observations of one VM, a shutdown, and a call during the shutdown.
func healthyEvidence() *evidence {
	e := &evidence{
		outages: newOutages(), vmByListener: map[string]string{"vm": "a"},
		accepted:    []accepted{{1, "h1", second(0)}, {2, "h2", second(10)}},
		withdrawals: []withdrawal{{"leaver", second(10)}},
		shutdowns:   []shutdown{{vm: "vm", name: "a", from: second(20), to: second(22), graceful: true}},
		poisons:     []poisonRequest{{window{second(5), second(6)}, "p", 2}, {window{second(30), second(31)}, "q", 2}},
		partitions:  []window{{second(20), second(27)}},
	}
	for _, o := range []struct {
		at float64
		g  uint64
	}{{1, 1}, {11, 1}, {13, 2}, {30, 2}} {
		hash := map[uint64]string{1: "h1", 2: "h2"}[o.g]
		e.observations = append(e.observations, observation{"a", second(o.at), second(o.at), o.g, hash, true})
	}
	e.Bounds = map[string]workload.RateBound{"leaver": {RatePerSecond: 1, Burst: 2}}
	e.call("leaver", "old", attempt(9, 9.5, 200))
	e.call("leaver", "late", attempt(12, 12.5, 200))
	e.call("leaver", "refused", refused(15, "invalid_api_key", refusal.True))
	e.call(intruderPrefix, "intruder", refused(15, "missing_api_key", refusal.True))
	e.call("leaver", "drained", refused(21, "draining", refusal.True))
	e.run("old", 9)
	e.run("late", 12)
	e.Outcomes = []workload.Outcome{
		{Program: &workload.Program{Name: loopPrefix + "1"}, Refused: &workload.Attempt{Code: "budget_exceeded", NotRun: refusal.True}},
		{Program: &workload.Program{Name: "p"}, Finished: true},
	}
	return e
}

func attempt(from, to float64, status int) workload.Attempt {
	return workload.Attempt{VM: "vm", Start: second(from), End: second(to), Status: status, Whole: status == 200}
}

func refused(at float64, code string, n refusal.NotRun) workload.Attempt {
	a := attempt(at, at, 401)
	a.Code, a.NotRun = code, n
	return a
}

func (e *evidence) call(account, body string, list ...workload.Attempt) {
	for i := range list {
		list[i].Raw = string(mustMarshal(fakes.ServiceReply{BodySHA256: body, Method: http.MethodPost}))
	}
	e.Calls = append(e.Calls, &workload.Call{
		Account: account, Program: body, Turn: 1, Kind: workload.Service, BodyHash: body, Attempts: list,
	})
}

func (e *evidence) run(body string, at float64) {
	e.Runs = append(e.Runs, fakes.Run{Upstream: "u", BodySHA256: body, StartedNS: second(at).UnixNano(), Outcome: fakes.Finished})
}

func TestChecks_PassOnHealthyEvidence(t *testing.T) {
	for _, r := range checkAll(healthyEvidence()) {
		require.Zero(t, r.Violated, "%s: %v", r.Name, r.Details)
	}
}

// TestChecks_MajorityLostWhileCallIsQueued guards against a false violation that occurred with
// seed 501: a call waited 12 s for an upstream that would run it alone, and was refused 1.2 s after
// the last recorded answer to another call through the same VM.
func TestChecks_MajorityLostWhileCallIsQueued(t *testing.T) {
	e := healthyEvidence()
	a := refused(1, codeNoMajority, refusal.Unknown)
	a.End = second(13.2)
	e.call("keeper", "x", a)
	e.call("keeper", "y", attempt(10, 12, 200))
	require.Zero(t, checkMajorityRefusals(e).Violated)
}

func TestChecks_DetectViolations(t *testing.T) {
	for name, c := range map[string]struct {
		line  string // part of the name of the check
		plant func(*evidence)
	}{
		"call answered after withdrawal":    {"withdrawn key", func(e *evidence) { e.call("leaver", "x", attempt(14.5, 14.6, 200)) }},
		"stream continues after withdrawal": {"withdrawn key", func(e *evidence) { e.call("leaver", "x", attempt(9, 14.6, 500)) }},
		"call runs after withdrawal":        {"withdrawn key", func(e *evidence) { e.call("leaver", "x", refused(15, "y", refusal.Unknown)); e.run("x", 15) }},
		"calls above the bound": {"rate and burst", func(e *evidence) {
			e.call("leaver", "x", attempt(12, 12, 200))
			e.run("x", 9)
			e.Bounds["leaver"] = workload.RateBound{RatePerSecond: 0.1, Burst: 1}
		}},
		"account without a rate":         {"rate and burst", func(e *evidence) { delete(e.Bounds, "leaver") }},
		"new generation late":            {"in force", func(e *evidence) { e.observations[2] = observation{"a", second(14.5), second(14.5), 1, "h1", true} }},
		"reverts to older generation":    {"in force", func(e *evidence) { e.observations[3] = observation{"a", second(30), second(30), 1, "h1", true} }},
		"reverts to none":                {"in force", func(e *evidence) { e.observations[3] = observation{"a", second(30), second(30), 0, "", true} }},
		"two files under one generation": {"in force", func(e *evidence) { e.observations[3].hash = "other" }},
		"request cut": {"graceful", func(e *evidence) {
			e.call("leaver", "x", workload.Attempt{VM: "vm", Start: second(21), End: second(21.5), Err: "EOF"})
		}},
		"killed after the shutdown limit":                  {"graceful", func(e *evidence) { e.shutdowns[0].graceful = false }},
		"exit code not zero":                               {"graceful", func(e *evidence) { e.shutdowns[0].code = 1 }},
		"unauthorized call answered":                       {"account of its key", func(e *evidence) { e.call(intruderPrefix, "x", attempt(1, 1, 200)) }},
		"unauthorized call ran":                            {"account of its key", func(e *evidence) { e.run("intruder", 15) }},
		"loop not ended by budget":                         {"budget", func(e *evidence) { e.Outcomes[0].Finished, e.Outcomes[0].Refused = true, nil }},
		"loop refusal may be retried":                      {"budget", func(e *evidence) { e.Outcomes[0].Refused.Retry = time.Second }},
		"program unfinished":                               {"programs finish", func(e *evidence) { e.Outcomes[1].Finished = false }},
		"three upstreams crashed":                          {"at most two upstreams", func(e *evidence) { e.poisons[0].crashes = 3 }},
		"three upstreams crashed after a recent partition": {"at most two upstreams", func(e *evidence) { e.poisons[1].crashes = 3 }},
		"three upstreams crashed long after a partition":   {"at most two upstreams", func(e *evidence) { e.partitions[0].to, e.poisons[1].crashes = second(25), 3 }},
		"slow refusal":                                     {"needs a majority", func(e *evidence) { e.refusals = []time.Duration{refusalLimit + 1} }},
		"slow turn": {"needs a majority", func(e *evidence) {
			a := refused(1, codeNoMajority, refusal.True)
			a.End = second(8)
			e.call("leaver", "x", a)
		}},
		"slow turn, group answered long before": {"needs a majority", func(e *evidence) {
			a := refused(1, codeNoMajority, refusal.True)
			a.End = second(9)
			e.call("keeper", "x", a)
			e.call("keeper", "y", attempt(1, 2.5, 200))
		}},
		"slow turn, another group answered": {"needs a majority", func(e *evidence) {
			a := refused(1, codeNoMajority, refusal.True)
			a.End = second(9)
			e.call("keeper", "zone:z:0123456789abcdef:x", a)
			e.call("keeper", "y", attempt(1, 8, 200))
		}},
		"early turn not refused as not run": {"in order", func(e *evidence) {
			a := refused(1, "busy", refusal.Unknown)
			a.Probe = workload.ProbeAhead
			e.call("leaver", "x", a)
		}},
		"both operators win":             {"race or resend", func(e *evidence) { e.races.record(false, "both won") }},
		"VM not recovered":               {"every fault", func(e *evidence) { e.problems = []string{"a did not come back"} }},
		"new program fails":              {"new programs", func(e *evidence) { e.alive.Violate("x") }},
		"older generation after the run": {"newest generation", func(e *evidence) { e.newest.Violate("x") }},
	} {
		t.Run(name, func(t *testing.T) {
			e := healthyEvidence()
			c.plant(e)
			for _, r := range checkAll(e) {
				if strings.Contains(r.Name, c.line) {
					require.Positive(t, r.Violated, r.Name)
					return
				}
			}
			require.Fail(t, "no check has this name", c.line)
		})
	}
}

// A starting VM may report an older generation, but must not serve under it.
func TestChecks_StartingVMMayReportOlderGeneration(t *testing.T) {
	e := healthyEvidence()
	e.outages.begin(second(28), "a")
	e.outages.end(second(29), "a")
	e.observations[3] = observation{"a", second(30), second(30), 1, "h1", false}
	require.Zero(t, checkInForce(e).Violated)
	e.observations[3].serving = true
	require.Positive(t, checkInForce(e).Violated)
}

// A VM that was unreachable has inForceLimit from the end of its outage to apply a file or stop a
// withdrawn key.
func TestChecks_AllowDelayAfterOutage(t *testing.T) {
	e := healthyEvidence()
	e.outages.begin(second(9), "a")
	e.outages.end(second(18), "a")
	e.observations = []observation{{"a", second(21), second(21), 1, "h1", true}}
	e.call("leaver", "x", attempt(20, 21, 200))
	require.Zero(t, checkInForce(e).Violated)
	require.Zero(t, checkWithdrawnKeys(e).Violated)
	e.observations[0].from = second(22.5)
	e.call("leaver", "y", attempt(22.5, 22.6, 200))
	require.Positive(t, checkInForce(e).Violated)
	require.Positive(t, checkWithdrawnKeys(e).Violated)
}

func TestExceeded_FollowsTheRateInForce(t *testing.T) {
	changes := []rateChange{{"a", workload.RateBound{RatePerSecond: 1, Burst: 1}, second(10), second(14)}}
	spans := rateSpans(workload.RateBound{RatePerSecond: 10, Burst: 10}, changes, func(_, to time.Time) time.Time { return to })
	every := func(from, to, pause float64) (list []time.Time) {
		for s := from; s < to; s += pause {
			list = append(list, second(s))
		}
		return list
	}
	require.Zero(t, countAboveBound(spans, every(0, 13, 0.1)))
	require.Positive(t, countAboveBound(spans, every(0, 9, 0.05)))
	require.Zero(t, countAboveBound(spans, every(15, 30, 1)))
	require.Positive(t, countAboveBound(spans, every(15, 30, 0.5)))
}

func TestReportsWinner(t *testing.T) {
	won := answer{Applied: api.Applied{Generation: 4, Hash: "h"}}
	told := func(g uint64, hash string) error {
		return &api.Error{Code: "generation_taken", Winner: &control.Acceptance{Generation: g, Hash: hash}}
	}
	require.True(t, reportsWinner(told(4, "h"), won))
	require.False(t, reportsWinner(told(4, "other"), won))
	require.False(t, reportsWinner(nil, won))
	require.False(t, reportsWinner(&api.Error{}, won))
}
