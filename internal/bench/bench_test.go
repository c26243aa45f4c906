package bench

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRun_ComparesPolicies(t *testing.T) {
	o := Options{
		Seed: 1, Load: 0.9, Duration: 5 * time.Minute, Workload: WorkloadBajio,
		Only: []string{"least-outstanding", "egretramp", "without affinity"},
	}
	results, err := Run(o)
	require.NoError(t, err)
	require.Len(t, results, 3)
	baseline, ours, scattered := results[0], results[1], results[2]
	require.LessOrEqual(t, ours.P95MS, 0.5*baseline.P95MS)
	require.Less(t, ours.WastedPart, 0.05)
	require.Greater(t, scattered.WastedPart, 2*ours.WastedPart)
	require.Greater(t, ours.WorstShare, baseline.WorstShare)
	require.Zero(t, ours.WrongRefusals)
	for _, r := range results {
		require.Zero(t, r.Unfinished, r.Policy)
		require.GreaterOrEqual(t, r.Decisions, r.Requests, r.Policy)
	}

	o.Only = []string{"egretramp"}
	again, err := Run(o)
	require.NoError(t, err)
	ours.DecisionsPerSec, ours.OperationP99US = again[0].DecisionsPerSec, again[0].OperationP99US
	require.Equal(t, ours, again[0], "the same seed gives the same result")
}

func TestRun_RefusesBadOptions(t *testing.T) {
	good := Options{Load: 1, Duration: time.Minute, Workload: WorkloadBajio}
	for _, change := range []func(*Options){
		func(o *Options) { o.Load = 0 },
		func(o *Options) { o.Duration = time.Second },
		func(o *Options) { o.Workload = "other" },
		func(o *Options) { o.Only = []string{"other"} },
	} {
		o := good
		change(&o)
		_, err := Run(o)
		require.ErrorIs(t, err, ErrOptions)
	}
}

func TestEngine_BatchesAndCaches(t *testing.T) {
	s := &sim{}
	m := EngineModel{Slots: 2, KVTokens: 1000, StepTime: 10 * time.Millisecond, StepPerCall: time.Millisecond, PrefillPerToken: time.Millisecond}
	e := newEngine(s, m, "e", "z")
	ended := map[string]time.Duration{}
	submit := func(session string, prompt, answer int64) *job {
		j := &job{session: session, prompt: prompt, answer: answer, done: func(j *job, failed bool) {
			require.False(t, failed)
			ended[j.session] = s.now
		}}
		e.submit(j)
		return j
	}
	submit("a", 100, 2)
	submit("b", 10, 1)
	submit("c", 10, 1)
	s.runUntil(time.Second)
	require.Equal(t, 133*time.Millisecond, ended["a"], "a step of 111 ms alone, then one of 22 ms with b")
	require.Equal(t, 133*time.Millisecond, ended["b"])
	require.Equal(t, 154*time.Millisecond, ended["c"], "c waits for a slot")
	again := submit("a", 150, 1)
	s.runUntil(2 * time.Second)
	require.Equal(t, int64(102), again.cached)
	big := submit("d", 990, 5)
	s.runUntil(4 * time.Second)
	require.Zero(t, big.cached)
	require.Equal(t, int64(995), e.idleTokens, "the older prefixes are evicted")
}

func TestMaxMin_DividesByWeight(t *testing.T) {
	demand := map[string]float64{"small": 1, "large": 100, "heavy": 100}
	weights := map[string]float64{"small": 1, "large": 1, "heavy": 2}
	require.Equal(t, map[string]float64{"small": 1, "large": 3, "heavy": 6}, maxMin(demand, weights, 10))
}
