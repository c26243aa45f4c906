package turns

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// storeGroup plays the replicas of a group, each with a monotonic clock of its own, on which one of them leads.
type storeGroup struct {
	t        *testing.T
	now      time.Duration // true time since the start
	replicas []*Machine
	leader   int
}

func newStoreGroup(t *testing.T) *storeGroup {
	g := &storeGroup{t: t}
	for i := range 3 {
		boot := time.Duration(i) * 1000 * time.Hour // monotonic clocks of VMs have nothing in common
		g.replicas = append(g.replicas, newMachine(func() time.Duration { return boot + g.now }))
	}
	return g
}

// propose applies a command whose sender's wall clock is ahead of the true time. The command takes some milliseconds.
func (g *storeGroup) propose(ahead time.Duration, c Command) Result {
	g.t.Helper()
	c.Now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).Add(g.now + ahead).UnixMilli()
	data, err := c.Encode()
	require.NoError(g.t, err)
	g.replicas[g.leader].Stamp(data)
	g.now += 5 * time.Millisecond
	var result []byte
	for i, m := range g.replicas {
		answer := m.Apply(1, data)
		if i == g.leader {
			result = m.Finish(data, answer)
		}
	}
	r, err := DecodeResult(result)
	require.NoError(g.t, err)
	return r
}

// TestMachine_SteppedClocksExpireNothing guards against conversations and budgets that are lost because the wall clock of
// one VM that sends commands was set forward.
func TestMachine_SteppedClocksExpireNothing(t *testing.T) {
	const retention = time.Minute
	g := newStoreGroup(t)
	begin := func(request, previous string) Command {
		return Command{Begin: &Begin{
			Account: "a", Program: "p", Request: request, Previous: previous, HasBudget: true, Budget: 300, MaxTokens: 100,
			Timeout: time.Second, ProgramRetention: retention,
		}}
	}
	require.Equal(t, Begun, g.propose(0, begin("lost", "")).Outcome, "its VM is killed")
	require.Equal(t, Begun, g.propose(0, begin("1", "")).Outcome)
	g.propose(0, Command{End: &End{Account: "a", Program: "p", Request: "1", Tokens: 100, Record: true, Input: []byte("in"), Retention: retention}})
	for i, ahead := range []time.Duration{3 * time.Second, 10 * time.Second, time.Hour, -time.Hour} {
		g.leader = i % 3
		g.propose(ahead, Command{End: &End{Account: "b", Program: "q", Request: "r"}})
		g.now += 10 * time.Second
	}
	g.now += 15 * time.Second
	r := g.propose(time.Hour, begin("2", "1"))
	require.Equal(t, Begun, r.Outcome, "55 s after the turn's end")
	require.Len(t, r.Chain, 2)
	require.Equal(t, BudgetSpent, g.propose(0, begin("3", "1")).Outcome)
	// Retention ends in the group's time, whatever the clocks say.
	g.now += 3 * retention
	g.propose(-time.Hour, Command{})
	require.Equal(t, UnknownTurn, g.propose(-time.Hour, begin("4", "1")).Outcome)
}

// TestMachine_GroupTimeFollowsTrueTime checks that the time neither gains nor loses over changes of the leader, snapshots and
// commands that overlap.
func TestMachine_GroupTimeFollowsTrueTime(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	g := newStoreGroup(t)
	g.propose(0, Command{})
	started, first := g.now, g.replicas[0].clock
	for range 20_000 {
		g.now += time.Duration(random.IntN(20)) * time.Millisecond
		if random.IntN(50) == 0 {
			g.leader = random.IntN(3)
		}
		if random.IntN(500) == 0 {
			data, err := g.replicas[g.leader].Snapshot()
			require.NoError(t, err)
			require.NoError(t, g.replicas[random.IntN(3)].Restore(data))
		}
		g.propose(time.Duration(random.IntN(7200)-3600)*time.Second, Command{})
		passed := (g.now - started).Milliseconds()
		for _, m := range g.replicas {
			require.InDelta(t, passed, m.clock-first, 1500, "each of %d changes of the leader may lose the delay of a command", 400)
			require.LessOrEqual(t, m.clock-first, passed+1)
		}
	}
}

// TestMachine_StampsOnlyCommandsThatStateATime checks entries that Stamp must leave as they are.
func TestMachine_StampsOnlyCommandsThatStateATime(t *testing.T) {
	m := New()
	stamped, err := Command{Now: 1 << 40, Begin: &Begin{Account: "a"}}.Encode()
	require.NoError(t, err)
	before := string(stamped)
	m.Stamp(stamped)
	require.Equal(t, before, string(stamped), "the group's time hasn't started")
	m.Apply(1, stamped)
	small, err := Command{Now: 7}.Encode()
	require.NoError(t, err)
	for _, entry := range [][]byte{nil, {0, 0, 0, 1}, make([]byte, headerSize+11), small} {
		before := string(entry)
		m.Stamp(entry)
		require.Equal(t, before, string(entry))
	}
	later, err := Command{Now: 1 << 41, End: &End{Account: "a", Input: []byte("in"), Output: []byte("out")}}.Encode()
	require.NoError(t, err)
	m.Stamp(later)
	c, err := decodeCommand(later)
	require.NoError(t, err)
	require.InDelta(t, 1<<40, c.Now, 1000)
	require.Equal(t, "in", string(c.End.Input))
	require.Equal(t, "out", string(c.End.Output))
}
