package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const second = time.Second

// fixture drives a pool step by step.
type fixture struct {
	t    *testing.T
	pool *Pool
	now  time.Duration
	last Plan
}

func newFixture(t *testing.T, opts Options, replicas ...Replica) *fixture {
	f := &fixture{t: t, pool: New(opts)}
	for _, r := range replicas {
		f.pool.SetReplica(0, r)
	}
	return f
}

func upstream(name string, slots int) Replica {
	return Replica{Name: name, Incarnation: 1, Slots: slots, KVTokens: 100_000}
}

// enqueue adds requests and returns the upstreams of those granted in the next plan, by request.
func (f *fixture) enqueue(requests ...Request) map[string]string {
	for _, r := range requests {
		f.pool.Enqueue(f.now, r)
	}
	return f.plan()
}

func (f *fixture) plan() map[string]string {
	f.last = f.pool.Plan(f.now)
	require.NoError(f.t, f.pool.CheckInvariants())
	granted := map[string]string{}
	for _, g := range f.last.Grants {
		granted[g.Request.ID] = g.Replica
	}
	return granted
}

// finish ends a call that took a second and computed its whole prompt.
func (f *fixture) finish(id string, prompt, answer int64) map[string]string {
	f.now += second
	f.pool.Finish(f.now, id, Outcome{ServedTokens: prompt + answer, CompletionTokens: answer})
	return f.plan()
}

func (f *fixture) refusalReason(id string) Reason {
	for _, r := range f.last.Refused {
		if r.Request.ID == id {
			return r.Reason
		}
	}
	return ""
}

func TestPool_SharesByWeight(t *testing.T) {
	f := newFixture(t, Options{MaxWait: time.Hour}, upstream("a", 1))
	served := map[string]int{}
	for i := range 400 {
		for _, account := range []string{"heavy", "light"} {
			r := Request{ID: fmt.Sprintf("%s%d", account, i), Account: account, Weight: 1, PromptTokens: 100, MaxTokens: 10}
			if account == "heavy" {
				r.Weight = 3
			}
			f.pool.Enqueue(0, r)
		}
	}
	granted := f.plan()
	for range 200 {
		require.Len(t, granted, 1)
		for id := range granted {
			served[id[:5]]++
			granted = f.finish(id, 100, 10)
		}
	}
	require.InDelta(t, 150, served["heavy"], 2)
}

func TestPool_IdleAccountAccruesNoCredit(t *testing.T) {
	f := newFixture(t, Options{MaxWait: time.Hour}, upstream("a", 1), upstream("b", 1))
	f.enqueue(Request{ID: "late-long", Account: "late"}) // occupies an upstream and keeps the account in the pool
	for i := range 100 {
		f.pool.Enqueue(0, Request{ID: fmt.Sprintf("busy%d", i), Account: "busy", PromptTokens: 1000})
	}
	granted := f.plan()
	turns := []string{}
	for i := range 60 {
		if i == 40 {
			for k := range 20 {
				f.pool.Enqueue(f.now, Request{ID: fmt.Sprintf("late%d", k), Account: "late", PromptTokens: 1000})
			}
		}
		for id := range granted {
			turns = append(turns, id[:4])
			granted = f.finish(id, 1000, 0)
		}
	}
	late := 0
	for _, account := range turns[40:] {
		if account == "late" {
			late++
		}
	}
	require.InDelta(t, 10, late, 1, "the account that was idle gets half of the calls after its return, not more")
}

func TestPool_CreditsUnusedService(t *testing.T) {
	f := newFixture(t, Options{}, upstream("a", 1))
	for _, id := range []string{"1", "2"} {
		f.pool.Enqueue(0, Request{ID: id, Account: "x", Program: "p", PromptTokens: 1000, MaxTokens: 100})
	}
	f.plan()
	counter := func() float64 { return f.pool.accounts["x"].counter }
	require.Equal(t, 1.0+1000+4*100, counter())
	f.now = second
	f.pool.Finish(f.now, "1", Outcome{ServedTokens: 1010, CompletionTokens: 10})
	f.plan()
	require.Equal(t, 1401.0, counter(), "the second call adds nothing to the prompt, and the first answer was shorter: the charge of 41 came out of the credit")

	f.enqueue(Request{ID: "3", Account: "x", PromptTokens: 1000, MaxTokens: 100})
	f.now += second / 2
	f.pool.Finish(f.now, "2", Outcome{})
	f.plan()
	require.Equal(t, 1401.0+1041-(360-41)-41/2.0, counter(), "a call that was aborted half way is charged half")
}

func TestPool_FirstCallPrecedesLongPrograms(t *testing.T) {
	f := newFixture(t, Options{MaxWait: time.Hour}, upstream("a", 1))
	f.enqueue(Request{ID: "running", Account: "x"})
	f.pool.Enqueue(f.now, Request{ID: "long", Account: "x", Program: "fitting", Attained: 1000})
	f.now += 10 * second
	f.pool.Enqueue(f.now, Request{ID: "quote", Account: "x", Program: "quote"})
	require.Contains(t, f.finish("running", 0, 0), "quote")

	f.now += maxHeadStart
	f.pool.Enqueue(f.now, Request{ID: "quote2", Account: "x", Program: "quote2"})
	require.Contains(t, f.finish("quote", 0, 0), "long", "no call is overtaken by one that arrived maxHeadStart later")
}

func TestPool_PrefersUpstreamWithPrefix(t *testing.T) {
	f := newFixture(t, Options{}, upstream("a", 2), upstream("b", 2))
	first := f.enqueue(Request{ID: "1", Account: "x", Program: "p", PromptTokens: 5000})["1"]
	f.finish("1", 5000, 100)
	for i := range 5 {
		id := fmt.Sprintf("n%d", i)
		require.Equal(t, first, f.enqueue(Request{ID: id, Account: "x", Program: "p", PromptTokens: 5100})[id])
		f.finish(id, 5100, 0)
	}
	sub := Request{ID: "sub", Account: "x", Program: "p/sub", Root: "p", PromptTokens: 10}
	require.Equal(t, first, f.enqueue(sub)["sub"], "a sub-agent runs on the upstream of its ancestor")

	require.Equal(t, first, f.enqueue(Request{ID: "big", Account: "x", Program: "q", Resident: first, PromptTokens: 90_000})["big"])
	f.finish("big", 96_000, 0)
	holder, _ := f.pool.prefix(&Request{Program: "p", PromptTokens: 5100})
	require.Nil(t, holder, "the upstream has no KV memory for both prefixes")

	f.pool.SetReplica(f.now, Replica{Name: first, Incarnation: 2, Slots: 2, KVTokens: 100_000})
	holder, _ = f.pool.prefix(&Request{Program: "q", Resident: first, PromptTokens: 96_000})
	require.Nil(t, holder, "a new incarnation holds no prefix")
}

func TestPool_RecomputesPrefixOnIdleUpstream(t *testing.T) {
	for _, without := range []bool{false, true} {
		f := newFixture(t, Options{Without: Parts{GiveUp: without}}, upstream("a", 1))
		f.enqueue(Request{ID: "1", Account: "x", Program: "p", PromptTokens: 50, MaxTokens: 10})
		f.finish("1", 50, 10)
		f.enqueue(Request{ID: "stuck", Account: "x", PromptTokens: 1, MaxTokens: 10})
		f.pool.SetReplica(f.now, upstream("b", 1))
		granted := f.enqueue(Request{ID: "2", Account: "x", Program: "p", PromptTokens: 60, MaxTokens: 10})
		if without {
			require.Empty(t, granted)
			continue
		}
		require.Equal(t, "b", granted["2"], "the idle upstream computes 60 tokens before the other one ends its call")

		f.finish("2", 60_000, 10)
		f.pool.SetReplica(f.now, upstream("c", 1))
		f.enqueue(Request{ID: "stuck2", Account: "x", Resident: "b", Program: "q", PromptTokens: 1, MaxTokens: 10})
		require.Empty(t, f.enqueue(Request{ID: "3", Account: "x", Program: "p", PromptTokens: 60_010}),
			"a long prefix justifies the wait")
	}
}

func TestPool_LeavesHungUpstream(t *testing.T) {
	for without, expected := range map[bool]int{false: 20, true: 0} {
		f := newFixture(t, Options{Without: Parts{GiveUp: without}}, upstream("hung", 4))
		for i := range 20 {
			id := fmt.Sprint(i)
			f.enqueue(Request{ID: id, Account: "x", Program: id, PromptTokens: 50, MaxTokens: 10})
			f.finish(id, 50, 10)
		}
		for i := range 4 {
			f.enqueue(Request{ID: fmt.Sprintf("stuck%d", i), Account: "x", PromptTokens: 50, MaxTokens: 10})
		}
		f.pool.SetReplica(f.now, upstream("idle", 32))
		for i := range 20 {
			id := fmt.Sprint(i)
			f.pool.Enqueue(f.now, Request{ID: "again" + id, Account: "x", Program: id, PromptTokens: 70, MaxTokens: 10})
		}
		require.Len(t, f.plan(), expected)
		f.now += DefaultMaxWait
		f.plan()
		require.Len(t, f.last.Refused, 20-expected)
	}
}

func TestPool_RespectsSlotsAndKVMemory(t *testing.T) {
	f := newFixture(t, Options{}, upstream("a", 2), upstream("b", 2))
	granted := f.enqueue(
		Request{ID: "1", Account: "x", PromptTokens: 60_000, MaxTokens: 1000},
		Request{ID: "2", Account: "x", PromptTokens: 60_000, MaxTokens: 1000},
		Request{ID: "3", Account: "x", PromptTokens: 60_000, MaxTokens: 1000},
		Request{ID: "4", Account: "x", PromptTokens: 100},
		Request{ID: "5", Account: "x", PromptTokens: 100_001},
	)
	require.Len(t, granted, 3)
	require.Contains(t, granted, "4", "a small call runs beside a large one, on the upstream that is not reserved")
	require.Equal(t, ReasonTooLarge, f.refusalReason("5"))
	kept := granted["2"]
	if granted["4"] == kept {
		kept = granted["1"]
	}
	require.Equal(t, kept, f.finish(map[string]string{granted["1"]: "1", granted["2"]: "2"}[kept], 60_000, 0)["3"])
}

func TestPool_LargeMaxTokensDoNotReserveAllMemory(t *testing.T) {
	f := newFixture(t, Options{}, upstream("a", 4))
	long := func(id string) Request { return Request{ID: id, Account: "x", PromptTokens: 10, MaxTokens: 1_000_000} }
	require.Len(t, f.enqueue(long("1"), long("2"), long("3")), 3, "MaxTokens is not reserved in full")
	f.finish("1", 10, 60_000)
	require.Empty(t, f.enqueue(long("4")), "the mean answer is that long now")
}

func TestPool_EstimatesForeignCallsFromReports(t *testing.T) {
	f := newFixture(t, Options{}, upstream("a", 4))
	f.enqueue(Request{ID: "1", Account: "x"}, Request{ID: "2", Account: "x"})
	f.finish("1", 0, 0)
	report := upstream("a", 4)
	report.Running = 2
	f.pool.SetReplica(f.now, report)
	require.Len(t, f.enqueue(Request{ID: "3", Account: "x"}, Request{ID: "4", Account: "x"}, Request{ID: "5", Account: "x"}), 3,
		"the report of two calls may predate the end of one")

	f.now += 2 * reportLag
	report.Running = 6
	f.pool.SetReplica(f.now, report)
	require.Empty(t, f.finish("2", 0, 0), "two foreign calls fill the slots")
	require.Empty(t, f.enqueue(Request{ID: "6", Account: "x"}))
	require.Empty(t, f.finish("3", 0, 0), "two of this pool's calls and two foreign calls are under way")
	require.Contains(t, f.finish("4", 0, 0), "6")
}

func TestPool_RefusesOnEnqueue(t *testing.T) {
	f := newFixture(t, Options{MaxWaiting: 8}, upstream("a", 1))
	f.enqueue(Request{ID: "avoids", Account: "x", Avoid: []string{"a"}})
	require.Equal(t, ReasonAllAvoided, f.refusalReason("avoids"))
	f.enqueue(Request{ID: "first", Account: "x"})
	for i := range 5 {
		f.enqueue(Request{ID: fmt.Sprintf("x%d", i), Account: "x"})
	}
	require.Equal(t, ReasonQueueFull, f.refusalReason("x4"), "one account may fill half of the queue")
	require.NotZero(t, f.last.Refused[0].RetryAfter)
	f.enqueue(Request{ID: "y", Account: "y"})
	require.Empty(t, f.last.Refused, "another account still finds a place")

	f = newFixture(t, Options{MaxWait: 3 * second}, upstream("a", 1))
	f.enqueue(Request{ID: "0", Account: "x"})
	for i := range 4 {
		f.enqueue(Request{ID: fmt.Sprintf("x%d", i), Account: "x"})
	}
	f.finish("0", 0, 0)
	f.enqueue(Request{ID: "ok", Account: "x"})
	require.Empty(t, f.last.Refused, "three calls of a second are ahead")
	f.enqueue(Request{ID: "long", Account: "x"})
	require.Equal(t, ReasonWaitTooLong, f.refusalReason("long"), "four calls of a second are ahead")

	f.pool.RemoveReplica(f.now, "a")
	f.plan()
	require.Equal(t, ReasonNoReplica, f.refusalReason("ok"), "requests do not wait without an upstream")
}

func TestPool_RunsAlone(t *testing.T) {
	f := newFixture(t, Options{}, upstream("a", 2), upstream("b", 2))
	f.enqueue(Request{ID: "1", Account: "x"}, Request{ID: "2", Account: "x"}, Request{ID: "3", Account: "x"})
	require.Empty(t, f.enqueue(Request{ID: "alone", Account: "x", Alone: true, Avoid: []string{"a"}}))
	f.finish("1", 0, 0)
	granted := f.finish("2", 0, 0)
	for id, on := range f.finish("3", 0, 0) {
		granted[id] = on
	}
	require.Equal(t, "b", granted["alone"])
	others := f.enqueue(Request{ID: "4", Account: "x"}, Request{ID: "5", Account: "x"}, Request{ID: "6", Account: "x"})
	require.Equal(t, map[string]string{"4": "a", "5": "a"}, others, "no other call runs beside it")
	require.Equal(t, "b", f.finish("alone", 0, 0)["6"])
}

func TestPool_AdoptsCalls(t *testing.T) {
	f := newFixture(t, Options{}, upstream("a", 1))
	f.pool.Enqueue(f.now, Request{ID: "1", Account: "x"})
	f.pool.Adopt(f.now, Request{ID: "1", Account: "x"}, "a")
	require.Empty(t, f.enqueue(Request{ID: "2", Account: "x"}), "the adopted call takes the slot and has left the queue")
	require.Contains(t, f.finish("1", 0, 0), "2")
}
