package turns

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestMachine_ReservationOfLostVMLastsAsLongAsItsProgram guards against budgets that are handed out twice: an entry VM
// is killed during a program's turn, so no End settles the reservation, and the program returns within its retention.
func TestMachine_ReservationOfLostVMLastsAsLongAsItsProgram(t *testing.T) {
	const timeout, retention = 3 * time.Second, time.Minute
	begin := func(request string) Command {
		return Command{Begin: &Begin{
			Account: "a", Program: "p", Request: request, HasBudget: true, Budget: 250, MaxTokens: 100, Timeout: timeout, ProgramRetention: retention,
		}}
	}
	m := New()
	require.Equal(t, Begun, applyAt(t, m, 0, begin("1")).Outcome)
	require.Equal(t, Begun, applyAt(t, m, 10, begin("2")).Outcome)
	last := (timeout + retention).Milliseconds()
	for now := int64(0); now < last; now += sweepInterval {
		applyAt(t, m, now, Command{}) // sweeps
	}
	data, err := m.Snapshot()
	require.NoError(t, err)
	require.NoError(t, m.Restore(data))
	require.Equal(t, 2, m.Reservations())
	require.Equal(t, BudgetSpent, applyAt(t, m, last, begin("3")).Outcome)
	// The refused attempt extends the retention: the program may return again.
	require.Equal(t, BudgetSpent, applyAt(t, m, 2*last, begin("4")).Outcome)
	applyAt(t, m, 4*last, Command{})
	require.Zero(t, m.Reservations())
	programs, _ := m.Size()
	require.Zero(t, programs)
}

// TestMachine_ReservationOfSenderWithoutRetention is the same for a release that states no retention.
func TestMachine_ReservationOfSenderWithoutRetention(t *testing.T) {
	m := New()
	begin := Command{Begin: &Begin{Account: "a", Program: "p", Request: "1", HasBudget: true, Budget: 100, MaxTokens: 100}}
	require.Equal(t, Begun, applyAt(t, m, 0, begin).Outcome)
	begin.Begin.Request = "2"
	require.Equal(t, BudgetSpent, applyAt(t, m, minProgramRetention.Milliseconds(), begin).Outcome)
}

// TestMachine_BeginKeepsChain guards against a turn whose record refers to a turn that expired while it ran.
func TestMachine_BeginKeepsChain(t *testing.T) {
	const timeout, retention = 20 * time.Second, time.Minute
	m := New()
	end := func(request, previous string) Command {
		return Command{End: &End{Account: "a", Request: request, Previous: previous, Record: true, Input: []byte(request), Retention: retention}}
	}
	applyAt(t, m, 0, end("1", ""))
	expired := (retention + retentionSlack).Milliseconds()
	begin := Command{Begin: &Begin{Account: "a", Request: "2", Previous: "1", Timeout: timeout}}
	require.Equal(t, Begun, applyAt(t, m, expired-1, begin).Outcome)
	ended := expired + timeout.Milliseconds()
	require.Equal(t, Begun, applyAt(t, m, ended, end("2", "1")).Outcome)
	begin.Begin.Request, begin.Begin.Previous = "3", "2"
	begin.Now = ended + retention.Milliseconds()
	require.Equal(t, [][]byte{[]byte("1"), {}, []byte("2"), {}}, apply(t, m, begin).Chain)
}

// TestMachine_BrokenChains guards against conversations with a gap, which states written by earlier releases may hold.
func TestMachine_BrokenChains(t *testing.T) {
	m := New()
	m.turns[turnKey{"a", "2"}] = &turn{Previous: "1", Input: []byte("2"), Expires: 1 << 40}
	m.turns[turnKey{"a", "3"}] = &turn{Previous: "4", Input: []byte("3"), Expires: 1 << 40}
	m.turns[turnKey{"a", "4"}] = &turn{Previous: "3", Input: []byte("4"), Expires: 1 << 40}
	for _, previous := range []string{"2", "3", "4"} {
		begin := Begin{Account: "a", Request: "r", Previous: previous, Timeout: time.Second}
		require.Equal(t, Result{Outcome: LostChain}, apply(t, m, Command{Begin: &begin}))
		begin.Timeout = 0
		require.Equal(t, Result{Outcome: UnknownTurn}, apply(t, m, Command{Begin: &begin}), "an earlier release doesn't know LostChain")
		end := End{Account: "a", Request: "r", Previous: previous, Record: true, Program: "p", Tokens: 5}
		require.Equal(t, LostChain, apply(t, m, Command{End: &end}).Outcome)
	}
	require.Equal(t, UnknownTurn, apply(t, m, Command{End: &End{Account: "a", Request: "r", Previous: "9", Record: true}}).Outcome)
	require.NotContains(t, m.turns, turnKey{"a", "r"})
	require.Empty(t, m.programs, "the turn is settled by another End, since its response isn't completed")
}

// TestMachine_ReservationsAreBounded guards against a store VM that runs out of memory because entry VMs are killed
// again and again while programs run on them.
func TestMachine_ReservationsAreBounded(t *testing.T) {
	m := New()
	begin := func(i int) Result {
		return m.begin(&Begin{
			Account: "a", Program: fmt.Sprint(i % 1000), Request: fmt.Sprint(i), HasBudget: true, Budget: 1 << 40, MaxTokens: 1, Timeout: 1,
		})
	}
	for i := range maxReservations {
		require.Equal(t, Begun, begin(i).Outcome)
	}
	require.Equal(t, Begun, begin(7).Outcome, "a repeated Begin reserves nothing")
	require.Equal(t, TooManyReserved, begin(maxReservations).Outcome)
	require.Equal(t, BudgetSpent, m.begin(&Begin{Account: "a", Program: "p", Request: "r", HasBudget: true, Budget: 9}).Outcome, "an earlier release")
	require.False(t, m.end(&End{Account: "b", Program: "p", Request: "r", NextMaxTokens: 1, Budget: 1 << 40}).NextReserved)
	m.end(&End{Account: "a", Program: "0", Request: "0"})
	require.Equal(t, maxReservations-1, m.Reservations())
	require.Equal(t, Begun, begin(maxReservations).Outcome)
}

// TestMachine_SnapshotOfManyTurns guards against snapshots that the default limits of the decoder refuse.
func TestMachine_SnapshotOfManyTurns(t *testing.T) {
	const many = 140_000 // the decoder's default is 131,072
	m := New()
	for i := range many {
		m.turns[turnKey{"a", fmt.Sprint(i)}] = &turn{}
	}
	data, err := m.Snapshot()
	require.NoError(t, err)
	require.NoError(t, New().Restore(data))
}

// TestMachine_SnapshotIsReadByEarlierReleases guards against a snapshot that isn't the encoding of the type snapshot,
// which releases before the encoder wrote and read with the default options.
func TestMachine_SnapshotIsReadByEarlierReleases(t *testing.T) {
	for _, records := range []int{0, 1, 23, 24, 300, 70_000} {
		m := New()
		m.clock, m.lastSweep = 5, -3
		for i := range records {
			id := fmt.Sprint(i)
			m.turns[turnKey{"a", id}] = &turn{Previous: "p", Input: []byte(id), Output: []byte("out"), Expires: int64(i)}
			if i < 1000 {
				p := m.program("a", id, time.Minute)
				m.reserve(p, id, 7)
				p.Settled["s"+id] = true
				p.Homes = []lineHome{{Line: uint32(i), Upstream: "u"}}
				m.recordStream(&Stream{Account: "a", Request: id, Origin: "o"})
			}
		}
		data, err := m.Snapshot()
		require.NoError(t, err)
		require.LessOrEqual(t, len(data), cap(data))
		require.LessOrEqual(t, len(data), m.encodedSize(), "the buffer never grows")
		var s snapshot
		require.NoError(t, cbor.Unmarshal(data, &s))
		require.Equal(t, []int{records, min(records, 1000), min(records, 1000)}, []int{len(s.Turns), len(s.Programs), len(s.Streams)})
		restored := New()
		require.NoError(t, restored.Restore(data))
		m.names, restored.names, m.time, restored.time = nil, nil, groupTime{}, groupTime{} // not part of the state
		require.Equal(t, m, restored)
		// A snapshot that an earlier release wrote.
		data, err = cbor.Marshal(s)
		require.NoError(t, err)
		restored = New()
		require.NoError(t, restored.Restore(data))
		restored.names, restored.time = nil, groupTime{}
		require.Equal(t, m, restored)
	}
}

// modelTurn is a turn that was recorded, as the callers know it.
type modelTurn struct {
	conversation string // up to the end of the turn
	endedAt      int64  // milliseconds
}

// running is a turn that has begun on a VM.
type running struct {
	previous    string
	before      string // the conversation that the store returned
	reservation string
	endsBy      int64 // milliseconds
}

// TestMachine_BudgetsAndConversationsUnderFaults plays programs whose VMs are killed, whose commands are repeated and
// whose senders' clocks differ, over expiry, sweeps and snapshots. A model of what the callers know stands beside the
// state machine: tokens handed out never exceed the budget while the program may return, and each turn that continues
// another gets its whole conversation, however late its predecessor expires.
func TestMachine_BudgetsAndConversationsUnderFaults(t *testing.T) {
	const (
		most      = 100
		timeout   = 3 * time.Second
		retention = 12 * time.Second
		skew      = 2000 // milliseconds by which clocks differ from true time
	)
	rapid.Check(t, func(t *rapid.T) {
		m := New()
		budget := int64(rapid.IntRange(most, 12*most).Draw(t, "budget"))
		now, lastActive := int64(1_000_000), int64(1_000_000)
		var handedOut int64
		returns := true // the program may still return; afterwards only turns without a budget come
		recorded := map[string]modelTurn{}
		open := map[string]running{}
		send := func(c Command) Result {
			c.Now = now + int64(rapid.IntRange(-skew, skew).Draw(t, "skew"))
			if rapid.IntRange(0, 4).Draw(t, "repeated") == 0 {
				apply(t, m, c)
			}
			return apply(t, m, c)
		}
		for i := range rapid.IntRange(1, 120).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"begin", "begin", "end", "end", "kill", "pause", "snapshot"}).Draw(t, "step") {
			case "begin":
				b := Begin{
					Account: "a", Program: "p", Request: fmt.Sprint("r", i), HasBudget: returns, Budget: budget, MaxTokens: most,
					Timeout: timeout, ProgramRetention: retention,
				}
				if names := slices.Sorted(maps.Keys(recorded)); len(names) > 0 && rapid.Bool().Draw(t, "continues") {
					b.Previous = rapid.SampledFrom(names).Draw(t, "previous")
				}
				r := send(Command{Begin: &b})
				known := recorded[b.Previous]
				if b.Previous != "" && now < known.endedAt+retention.Milliseconds() && r.Outcome != BudgetSpent {
					require.Equal(t, Begun, r.Outcome, "the turn is retained")
				}
				lastActive = now
				if r.Outcome != Begun {
					require.Contains(t, []Outcome{BudgetSpent, UnknownTurn}, r.Outcome)
					continue
				}
				var before strings.Builder
				for _, part := range r.Chain {
					before.Write(part)
				}
				require.Equal(t, known.conversation, before.String())
				open[b.Request] = running{b.Previous, before.String(), b.Request, now + timeout.Milliseconds()}
			case "end", "kill":
				names := slices.Sorted(maps.Keys(open))
				if len(names) == 0 {
					continue
				}
				request := rapid.SampledFrom(names).Draw(t, "which")
				turn := open[request]
				delete(open, request)
				tokens := int64(rapid.IntRange(0, most).Draw(t, "tokens"))
				handedOut += tokens
				lastActive = now
				e := End{
					Account: "a", Program: "p", Request: request, Tokens: tokens, Record: true, Previous: turn.previous,
					Input: []byte("in " + request), Output: []byte("out " + request), Retention: retention, Budget: budget, NextMaxTokens: most, Timeout: timeout,
				}
				if rapid.IntRange(0, 2).Draw(t, "lost") == 0 {
					continue // the VM ended first; the End may also be lost
				}
				r := send(Command{End: &e})
				require.Equal(t, Begun, r.Outcome, "the chain outlasts the turn")
				recorded[request] = modelTurn{turn.before + string(e.Input) + string(e.Output), now}
				if r.NextReserved {
					send(Command{End: &End{Account: "a", Program: "p", Request: NextReservation(request), Reservation: NextReservation(request)}})
				}
			case "pause":
				now += int64(rapid.SampledFrom([]int{200, 1500, 2900, 9000}).Draw(t, "milliseconds"))
				for request, turn := range open {
					if turn.endsBy <= now { // its VM was killed; the caller got any part of it
						delete(open, request)
						handedOut += most
						lastActive = max(lastActive, turn.endsBy)
					}
				}
				returns = returns && now-lastActive <= retention.Milliseconds()
			case "snapshot":
				data, err := m.Snapshot()
				require.NoError(t, err)
				restored := New()
				require.NoError(t, restored.Restore(data))
				require.Equal(t, m.Reservations(), restored.Reservations())
				m = restored
			}
			if returns {
				require.LessOrEqual(t, handedOut+int64(len(open))*most, budget)
			}
		}
	})
}

// TestMachine_RaisedRetentionKeepsBudgets guards against a budget that is handed out again because the operator raised the
// retention, or set the first one, while the program was stopped. Its VM was killed in a turn that began without a Begin.
func TestMachine_RaisedRetentionKeepsBudgets(t *testing.T) {
	for _, earlier := range []time.Duration{0, 5 * time.Second} {
		m := New()
		begin := Begin{
			Account: "a", Program: "p", Request: "1", HasBudget: true, Budget: 500, MaxTokens: 100, Timeout: 3 * time.Second, ProgramRetention: earlier,
		}
		require.Equal(t, Begun, applyAt(t, m, 0, Command{Begin: &begin}).Outcome)
		end := End{
			Account: "a", Program: "p", Request: "1", Tokens: 100, Retention: earlier, NextMaxTokens: 100, Budget: 500, Timeout: 4500 * time.Millisecond,
		}
		require.True(t, applyAt(t, m, 100_000, Command{End: &end}).NextReserved)
		begin.Request, begin.ProgramRetention, begin.MaxTokens = "2", time.Minute, 400
		for now := int64(100_000); now <= 160_000; now += sweepInterval {
			applyAt(t, m, now, Command{}) // sweeps
		}
		require.Equal(t, BudgetSpent, applyAt(t, m, 160_000, Command{Begin: &begin}).Outcome, "the retention was %v", earlier)
	}
}
