package turns

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func apply(t require.TestingT, m *Machine, c Command) Result {
	data, err := c.Encode()
	require.NoError(t, err)
	result := m.Finish(data, m.Apply(1, data))
	r, err := DecodeResult(result)
	require.NoError(t, err)
	return r
}

func TestMachine_RecordsTurnsAsTree(t *testing.T) {
	m := New()
	record := func(account, request, previous, input, output string) {
		apply(t, m, Command{Now: 1, End: &End{Account: account, Request: request, Program: "p", Previous: previous,
			Record: true, Input: []byte(input), Output: []byte(output), Retention: time.Minute}})
	}
	begin := func(account, previous string) Result {
		return apply(t, m, Command{Now: 2, Begin: &Begin{Account: account, Program: "p", Request: "r", Previous: previous}})
	}
	record("one", "t1", "", "in1", "out1")
	record("one", "t2", "t1", "in2", "out2")
	record("one", "t3", "t1", "in3", "out3")
	text := func(r Result) (s string) {
		for _, part := range r.Chain {
			s += string(part) + " "
		}
		return s
	}
	require.Equal(t, "in1 out1 in2 out2 ", text(begin("one", "t2")))
	require.Equal(t, "in1 out1 in3 out3 ", text(begin("one", "t3")))
	require.Equal(t, UnknownTurn, begin("two", "t2").Outcome, "turns of another account are not visible")
	require.Equal(t, UnknownTurn, begin("one", "t9").Outcome)
	record("one", "t2", "t1", "forged", "forged")
	require.Equal(t, "in1 out1 in2 out2 ", text(begin("one", "t2")), "a repeated End doesn't overwrite the turn")
}

func TestMachine_RetainsChainAsLongAsLastTurn(t *testing.T) {
	m := New()
	end := func(now int64, request, previous string) {
		apply(t, m, Command{Now: now, End: &End{Account: "a", Request: request, Previous: previous, Record: true,
			Input: []byte(request), Retention: time.Minute}})
	}
	end(1000, "t1", "")
	end(55_000, "t2", "t1")
	r := apply(t, m, Command{Now: 110_000, Begin: &Begin{Account: "a", Request: "r", Previous: "t2"}})
	require.Equal(t, Begun, r.Outcome)
	require.Len(t, r.Chain, 4)
	r = apply(t, m, Command{Now: 300_000, Begin: &Begin{Account: "a", Request: "r", Previous: "t2"}})
	require.Equal(t, UnknownTurn, r.Outcome)
	programs, turns := m.Size()
	require.Zero(t, turns)
	require.Zero(t, programs)
}

func TestMachine_EndReservesForNextTurn(t *testing.T) {
	m := New()
	b := func(request string) Result {
		return apply(t, m, Command{Begin: &Begin{Account: "a", Program: "p", Request: request, HasBudget: true, Budget: 1000, MaxTokens: 300}})
	}
	e := func(request, reservation string, tokens int64) Result {
		return apply(t, m, Command{End: &End{Account: "a", Program: "p", Request: request, Reservation: reservation, Tokens: tokens, NextMaxTokens: 300, Budget: 1000}})
	}
	require.Equal(t, Result{}, b("t1"))
	require.True(t, e("t1", "", 50).NextReserved)
	require.True(t, e("t1", "", 50).NextReserved, "a repeated End returns the same result")
	require.True(t, e("t2", NextReservation("t1"), 50).NextReserved)
	require.False(t, e("t3", NextReservation("t2"), 50).NextReserved, "fewer than nextHeadroom turns fit in the remaining budget")
	require.Equal(t, Begun, b("t4").Outcome)
	require.Equal(t, Begun, b("t5").Outcome)
	require.Equal(t, BudgetSpent, b("t6").Outcome, "150 tokens used and 600 reserved of 1000")
	require.Equal(t, Begun, b("t5").Outcome, "a repeated Begin doesn't reserve again")
	e("t4", "", 0)
	require.Equal(t, Begun, b("t6").Outcome)
}

func TestMachine_KnowsHomesOfLines(t *testing.T) {
	m := New()
	home := func(program, line string) string {
		request := fmt.Sprint("asks", program, line, m.clock)
		return apply(t, m, Command{Begin: &Begin{Account: "a", Program: program, Request: request, Line: line, HasBudget: true, Budget: 1 << 40}}).Home
	}
	end := func(request, program, line, home string) {
		apply(t, m, Command{Now: m.clock + 1, End: &End{Account: "a", Program: program, Request: request, Line: line, Home: home}})
	}
	require.Empty(t, home("p", "p"))
	end("t1", "p", "p", "u1")
	require.Equal(t, "u1", home("p", "p"))
	require.Equal(t, "u1", home("p", "sub"), "a line's first turn goes to the main line's home")
	require.Empty(t, home("q", "q"))
	end("t2", "p", "sub", "u2")
	end("t3", "p", "p", "")
	require.Equal(t, "u1", home("p", "p"), "a turn that changes nothing")
	require.Equal(t, "u2", home("p", "sub"))
	end("t4", "p", "p", "u3")
	end("t1", "p", "p", "u1")
	require.Equal(t, "u3", home("p", "p"), "a repeated End is older")

	for i := range 100 {
		end(fmt.Sprint("s", i), "p", fmt.Sprint("sub", i), "u4")
		require.Equal(t, "u3", home("p", "p"), "the main line's home is kept, however many others follow")
		require.Equal(t, "u4", home("p", fmt.Sprint("sub", i)))
	}
	end("t5", "p", "p", "u5")
	require.Equal(t, "u5", home("p", "p"))
	require.Equal(t, "u5", home("p", "sub0"), "dropped")
	require.Equal(t, "u4", home("p", "sub99"))
	require.Len(t, m.programs[programKey{"a", "p"}].Homes, maxHomes)
	data, err := m.Snapshot()
	require.NoError(t, err)
	restored := New()
	require.NoError(t, restored.Restore(data))
	m.names, restored.names, m.time, restored.time = nil, nil, groupTime{}, groupTime{} // not part of the state
	require.Equal(t, m, restored)
}

// TestMachine_ReleaseWithoutHomes guards against commands, results and snapshots that VMs of the release before homes
// were stored can't read, and the other way round.
func TestMachine_ReleaseWithoutHomes(t *testing.T) {
	type oldProgram struct {
		Used     int64            `cbor:"1,keyasint"`
		Reserved map[string]int64 `cbor:"2,keyasint"`
		Expires  int64            `cbor:"4,keyasint"`
	}
	type oldResult struct {
		Outcome      Outcome `cbor:"1,keyasint,omitempty"`
		Known        bool    `cbor:"5,keyasint,omitempty"`
		NextReserved bool    `cbor:"6,keyasint,omitempty"`
	}
	m := New()
	apply(t, m, Command{Begin: &Begin{Account: "a", Program: "p", Request: "r", HasBudget: true, Budget: 500, MaxTokens: 300, Line: "p"}})
	apply(t, m, Command{End: &End{Account: "a", Program: "p", Request: "r", Tokens: 7, Line: "p", Home: "u", NextMaxTokens: 100, Budget: 500}})
	p := m.programs[programKey{"a", "p"}]
	data, err := cbor.Marshal(p)
	require.NoError(t, err)
	var old oldProgram
	require.NoError(t, cbor.Unmarshal(data, &old))
	require.Equal(t, oldProgram{Used: 7, Reserved: p.Reserved, Expires: p.Expires}, old)
	var result oldResult
	require.NoError(t, cbor.Unmarshal(Result{Known: true, Home: "u", NextReserved: true}.Encode(), &result))
	require.Equal(t, oldResult{Known: true, NextReserved: true}, result)

	data, err = cbor.Marshal(old)
	require.NoError(t, err)
	var restored program
	require.NoError(t, cbor.Unmarshal(data, &restored))
	require.Empty(t, restored.home(&Begin{Program: "p", Line: "p"}))
	restored.setHome(&End{Program: "p", Line: "p"}, "u2")
	require.Equal(t, "u2", restored.home(&Begin{Program: "p", Line: "p"}))
}

// TestMachine_NeverExceedsBudget applies random Begin and End commands of independent VMs, some
// repeated and some missing because their VM failed. The tokens delivered plus those that open
// reservations allow must never exceed the budget.
func TestMachine_NeverExceedsBudget(t *testing.T) {
	const most = 100
	rapid.Check(t, func(t *rapid.T) {
		m := New()
		budget := int64(rapid.IntRange(0, 2000).Draw(t, "budget"))
		var delivered int64
		open := map[string]bool{} // reservations that a VM may still use, by name
		for i := range rapid.IntRange(1, 80).Draw(t, "steps") {
			names := make([]string, 0, len(open))
			for name := range open {
				names = append(names, name)
			}
			if len(names) == 0 || rapid.Bool().Draw(t, "begin") {
				request := fmt.Sprint("r", i)
				c := Command{Begin: &Begin{Account: "a", Program: "p", Request: request, HasBudget: true, Budget: budget, MaxTokens: most}}
				for range rapid.IntRange(1, 2).Draw(t, "repeats") {
					open[request] = apply(t, m, c).Outcome == Begun
				}
				if !open[request] {
					delete(open, request)
				}
				continue
			}
			name := rapid.SampledFrom(names).Draw(t, "which")
			delete(open, name)
			tokens := int64(rapid.IntRange(0, most).Draw(t, "tokens"))
			delivered += tokens
			if rapid.IntRange(0, 9).Draw(t, "lost") == 0 {
				continue // the VM failed before End
			}
			request := name
			if rapid.Bool().Draw(t, "continued") {
				request = fmt.Sprint("c", i)
			}
			c := Command{End: &End{Account: "a", Program: "p", Request: request, Reservation: name, Tokens: tokens, NextMaxTokens: most, Budget: budget}}
			if apply(t, m, c).NextReserved {
				open[NextReservation(request)] = true
			}
			apply(t, m, c)
		}
		require.LessOrEqual(t, delivered+int64(len(open))*most, max(budget, 0))
	})
}

func TestMachine_SnapshotRestoresWholeState(t *testing.T) {
	m := New()
	apply(t, m, Command{Now: 5, Begin: &Begin{Account: "a", Program: "p", Request: "r1", HasBudget: true, Budget: 500, MaxTokens: 300}})
	apply(t, m, Command{Now: 6, End: &End{Account: "a", Program: "q", Request: "r2", Tokens: 7, Record: true, Input: []byte("in"), Output: []byte("out")}})
	data, err := m.Snapshot()
	require.NoError(t, err)
	restored := New()
	require.NoError(t, restored.Restore(data))
	m.time, restored.time = groupTime{}, groupTime{} // not part of the state
	require.Equal(t, m, restored)
	require.Error(t, restored.Restore([]byte("?")))
}

func TestMachine_RejectsMalformedCommands(t *testing.T) {
	m := New()
	for _, data := range [][]byte{nil, []byte("short"), {0, 0, 0, 9, 0, 0, 0, 0, 1}, {0, 0, 0, 1, 0, 0, 0, 0, 0xff}} {
		r, err := DecodeResult(m.Apply(1, data))
		require.NoError(t, err)
		require.Equal(t, UnknownTurn, r.Outcome)
	}
}
