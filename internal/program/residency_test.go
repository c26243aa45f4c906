package program

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// chatTurn begins and completes a turn on an engine and returns the name of its session.
func (b *fixture) chatTurn(program, attempt, engine string, incarnation int64) string {
	started := b.begin(program, 0, attempt, func(c *Begin) { c.Kind, c.Repeatable = KindChat, true }).Started
	require.NotNil(b.t, started)
	used := Residency{Model: "m", Engine: engine, EngineIncarnation: incarnation, Session: started.NewSession}
	for _, held := range started.Residencies {
		if held.Engine == engine {
			used = held
		}
	}
	b.apply(Envelope{Complete: &Complete{Account: "a", Program: program, Attempt: attempt, Residency: &used}})
	return used.Session
}

func (b *fixture) releases() []string {
	var list []string
	for _, r := range b.apply(Envelope{Query: &Query{Releases: &ReleasesQuery{}}}).Releases {
		list = append(list, fmt.Sprint(r.Engine, "@", r.EngineIncarnation, " ", r.Session))
	}
	return list
}

func TestMachine_SessionStaysWithProgram(t *testing.T) {
	b := newFixture(t, DefaultLimits())
	b.create("p", "", Budget{})
	first := b.chatTurn("p", "x", "e1", 1)
	require.Equal(t, first, b.chatTurn("p", "y", "e1", 1), "the program reuses its session")
	moved := b.chatTurn("p", "z", "e2", 1)
	require.NotEqual(t, first, moved)
	require.Equal(t, []string{"e1@1 " + first}, b.releases())
	listed := b.apply(Envelope{Query: &Query{List: &ListQuery{Account: "a"}}}).List.Programs
	require.Equal(t, []string{"e2"}, listed[0].Engines)
	b.apply(Envelope{ReleaseDone: &ReleaseDone{Engine: "e1", EngineIncarnation: 1, Session: first}})
	require.NotEqual(t, first, b.chatTurn("p", "w", "e1", 1), "the name of a released session is not reused")
	require.Equal(t, []string{"e2@1 " + moved}, b.releases())
}

func TestMachine_IdleProgramReleasesSessions(t *testing.T) {
	b := newFixture(t, DefaultLimits())
	b.create("p", "", Budget{})
	session := b.chatTurn("p", "x", "e", 1)
	b.nowMS += 600_000
	b.apply(Envelope{Tick: &Tick{}})
	require.Equal(t, []string{"e@1 " + session}, b.releases())
	require.NotNil(t, b.begin("p", 0, "y", nil).Started, "the program has not expired")
}

func TestMachine_NewEngineIncarnationDropsSessions(t *testing.T) {
	b := newFixture(t, DefaultLimits())
	b.create("p", "", Budget{})
	b.chatTurn("p", "x", "e", 1)
	b.chatTurn("p", "y", "other", 1)
	require.Len(t, b.releases(), 1)
	b.apply(Envelope{Report: &Report{Engine: "e", EngineIncarnation: 2}})
	require.Empty(t, b.releases())
	b.apply(Envelope{EngineGone: &EngineGone{Engine: "other", EngineIncarnation: 1}})
	require.Empty(t, b.begin("p", 0, "z", nil).Started.Residencies)
}

func TestMachine_ReportReleasesOnlyUnusedSessions(t *testing.T) {
	b := newFixture(t, DefaultLimits())
	b.create("p", "", Budget{})
	held := b.chatTurn("p", "x", "e", 1)
	running := b.begin("p", 0, "y", func(c *Begin) { c.Repeatable = true }).Started.NewSession
	report := func() *Result {
		return b.apply(Envelope{Report: &Report{Engine: "e", EngineIncarnation: 1, Sessions: []string{held, running, "stray"}}})
	}
	require.Equal(t, []string{"stray"}, report().Report.Orphans)
	b.nowMS += 14_000
	report()
	require.Empty(t, b.releases(), "a session without a record is kept for ReportAge, because it may be new")
	b.nowMS += 1_000
	report()
	require.Equal(t, []string{"e@1 stray"}, b.releases())
	b.apply(Envelope{End: &End{Account: "a", Program: "p"}})
	require.Equal(t, []string{"e@1 " + held, "e@1 stray"}, b.releases())
	report()
	b.nowMS += 15_000
	report()
	require.Len(t, b.releases(), 3, "the session of the ended call is not in use any more")
}

func TestMachine_ReplacedRequestMayHaveRun(t *testing.T) {
	b := newFixture(t, DefaultLimits())
	b.create("p", "", Budget{Calls: 2})
	keyed := func(key string) func(*Begin) {
		return func(c *Begin) { c.IdempotencyKey, c.RequestHash, c.Repeatable = key, key, true }
	}
	b.begin("p", 0, "x", keyed("one"))
	b.apply(Envelope{Fail: &Fail{Account: "a", Program: "p", Attempt: "x", Outcome: OutcomeFailed}})
	b.begin("p", 0, "y", keyed("two"))
	b.complete("p", "y", 1)
	refused := b.begin("p", 0, "z", keyed("one"))
	require.Equal(t, CodeBudgetExceeded, refused.Code)
	require.True(t, refused.MayHaveRun)
}
