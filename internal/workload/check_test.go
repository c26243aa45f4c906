package workload

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretramp/internal/fakes"
	"egretramp/internal/refusal"
	"egretramp/internal/upstream/wire"
)

// validEvidence returns the evidence of two short programs, which violates no rule. In each
// program, calls 0 and 2 are chats and call 1 is a service call.
func validEvidence() *Evidence {
	e := &Evidence{
		Bounds:   map[string]RateBound{"a": {RatePerSecond: 1, Burst: 100}},
		Searches: []KeySearch{{"u", fakes.ReceivedReply{Complete: true}, false}, {"u", fakes.ReceivedReply{Contains: true}, true}},
	}
	e.Engines = []EngineMemory{{Upstream: "u"}}
	e.Departures = []fakes.Departure{{Upstream: "u", AtNS: time.Unix(2000, 0).UnixNano()}}
	at := time.Unix(1000, 0)
	for _, name := range []string{"p", "q"} {
		conv := []fakes.Message{{Role: "system", Content: name}}
		for turn := 1; turn <= 3; turn++ {
			at = at.Add(time.Second)
			e.Calls = append(e.Calls, e.turn(name, turn, &conv, at))
		}
		p := &Program{Account: "a", Name: name, Tokens: 1000, Calls: 3}
		e.Outcomes = append(e.Outcomes, Outcome{Program: p, Start: at, End: at.Add(time.Second), Finished: true})
	}
	return e
}

func (e *Evidence) turn(name string, turn int, conv *[]fakes.Message, at time.Time) *Call {
	c := &Call{Account: "a", Program: name, Turn: turn, Kind: Chat, Model: "m"}
	run := fakes.Run{Upstream: "u", StartedNS: at.UnixNano() + 1, EndedNS: at.UnixNano() + 2, Outcome: fakes.Finished}
	answer := Attempt{Start: at, End: at.Add(time.Millisecond), Status: 200, Whole: true}
	if turn == 2 {
		c.Kind, c.BodyHash = Service, fmt.Sprint(name, "-body")
		run.BodySHA256 = c.BodyHash
		raw, _ := json.Marshal(fakes.ServiceReply{BodySHA256: c.BodyHash, Method: "POST"})
		answer.Text, answer.Raw = string(raw), string(raw)
	} else {
		*conv = append(*conv, fakes.Message{Role: "user", Content: "hello"})
		c.Messages = append([]fakes.Message(nil), *conv...)
		answer.Text = strings.Join(fakes.Answer("m", c.Messages, 0), " ")
		*conv = append(*conv, fakes.Message{Role: "assistant", Content: answer.Text})
		run.Conversation, run.PromptTokens, run.CompletionTokens = fakes.Digest("m", c.Messages), 10, 5
	}
	refused := Attempt{Start: at, End: at, Status: 429, Code: "rate", NotRun: refusal.True}
	resent, ahead := answer, refused
	resent.Probe, ahead.Probe = ProbeResend, ProbeAhead
	resent.Start = answer.End
	c.Attempts = []Attempt{refused, answer, resent, ahead}
	e.Runs = append(e.Runs, run)
	return c
}

func TestChecks_PassOnHealthyEvidence(t *testing.T) {
	for _, r := range CheckAll(validEvidence()) {
		require.Zero(t, r.Violated, "%s: %v", r.Name, r.Details)
		require.NotZero(t, r.Tried, r.Name)
	}
}

func TestChecks_DetectViolations(t *testing.T) {
	again := func(e *Evidence, i int) { e.Runs = append(e.Runs, e.Runs[i]) }
	for name, c := range map[string]struct {
		check Check
		plant func(*Evidence)
	}{
		"program unfinished":      {CheckFinished, func(e *Evidence) { e.Outcomes[0].Finished = false }},
		"turn before the last":    {CheckOrder, func(e *Evidence) { e.Runs[2].StartedNS = e.Runs[1].StartedNS - 1 }},
		"turn during the last":    {CheckOrder, func(e *Evidence) { e.Runs[1].EndedNS = e.Runs[2].StartedNS + 1 }},
		"turn without the last":   {CheckOrder, func(e *Evidence) { e.Runs = e.Runs[1:] }},
		"turn again after next":   {CheckOrder, func(e *Evidence) { again(e, 0); e.Runs[6].StartedNS = e.Runs[1].StartedNS + 1 }},
		"history mixed":           {CheckHistory, func(e *Evidence) { e.Runs[0].Conversation = "other" }},
		"service body changed":    {CheckHistory, func(e *Evidence) { e.Runs[1].BodySHA256 = "other" }},
		"answer cut":              {CheckAnswers, func(e *Evidence) { e.Calls[0].Attempts[1].Text = "amber" }},
		"answer of another":       {CheckAnswers, func(e *Evidence) { e.Calls[0].Attempts[1].Text = e.Calls[3].Attempts[1].Text }},
		"service answer crossed":  {CheckAnswers, func(e *Evidence) { e.Calls[1].Attempts[1].Raw = e.Calls[4].Attempts[1].Raw }},
		"service path changed":    {CheckAnswers, func(e *Evidence) { e.Calls[1].Path = "/other" }},
		"work after departure":    {CheckDeparted, func(e *Evidence) { e.Departures[0].AtNS = e.Runs[0].StartedNS - int64(DepartureLimit) - 1 }},
		"memory held":             {CheckMemory, func(e *Evidence) { e.Engines[0].Sessions = []wire.Session{{Session: "s", Tokens: 1}} }},
		"resent answer differs":   {CheckResent, func(e *Evidence) { e.Calls[1].Attempts[2].Raw += " " }},
		"turn ahead answered":     {CheckAhead, func(e *Evidence) { e.Calls[0].Attempts[3].Status = 200 }},
		"turn ahead unknown":      {CheckAhead, func(e *Evidence) { e.Calls[0].Attempts[3].NotRun = refusal.Unknown }},
		"service call twice":      {CheckAtMostOnce, func(e *Evidence) { again(e, 1) }},
		"service answer invented": {CheckAtMostOnce, func(e *Evidence) { e.Runs = append(e.Runs[:1], e.Runs[2:]...) }},
		"not run but ran":         {CheckNotRun, func(e *Evidence) { e.Calls[0].Attempts = e.Calls[0].Attempts[:1] }},
		"ran before it was sent":  {CheckNotRun, func(e *Evidence) { e.Calls[0].Attempts[1].Start = time.Unix(0, e.Runs[0].StartedNS+1) }},
		"refusal without code":    {CheckRefusals, func(e *Evidence) { e.Calls[0].Attempts[0].Code = "" }},
		"refusal without not_run": {CheckRefusals, func(e *Evidence) { e.Calls[0].Attempts[0].NotRun = "" }},
		"key arrived":             {CheckKeys, func(e *Evidence) { e.Searches[0].Contains = true }},
		"search incomplete":       {CheckKeys, func(e *Evidence) { e.Searches[0].Complete = false }},
		"control search fails":    {CheckKeys, func(e *Evidence) { e.Searches[1].Contains = false }},
		"above burst":             {CheckRate, func(e *Evidence) { e.Bounds["a"] = RateBound{0.5, 2} }},
		"account unknown":         {CheckRate, func(e *Evidence) { delete(e.Bounds, "a") }},
		"tokens above budget":     {CheckBudget, func(e *Evidence) { e.Outcomes[0].Program.Tokens = 29 }},
		"calls above budget":      {CheckBudget, func(e *Evidence) { e.Outcomes[0].Program.Calls = 2 }},
		"sub-agent above budget": {CheckBudget, func(e *Evidence) {
			e.Outcomes[1].Program.Parent, e.Outcomes[0].Program.Tokens = "p", 59
		}},
	} {
		t.Run(name, func(t *testing.T) {
			e := validEvidence()
			c.plant(e)
			r := c.check(e)
			require.Positive(t, r.Violated, "%s", r.Name)
			require.NotEmpty(t, r.Details)
		})
	}
}

func TestRateBound_CountsCallsAboveIt(t *testing.T) {
	b := RateBound{RatePerSecond: 10, Burst: 2}
	ms := func(list ...int64) []int64 {
		for i := range list {
			list[i] *= int64(time.Millisecond)
		}
		return list
	}
	require.Zero(t, b.exceeded(ms(0, 0, 100, 200, 300), 0))
	require.Equal(t, 1, b.exceeded(ms(0, 0, 99), 0))
	require.Zero(t, b.exceeded(ms(0, 0, 99), time.Millisecond))
	require.Equal(t, 3, b.exceeded(ms(0, 0, 0, 0, 0), 0))
}

func TestWrongRefusals_OnlyInsideTheBound(t *testing.T) {
	at := func(ms int, status int) Attempt {
		return Attempt{Start: time.Unix(0, int64(ms)*int64(time.Millisecond)), Status: status}
	}
	c := &Call{Account: "a", Attempts: []Attempt{at(0, 200), at(1, 429), at(2, 200), at(3, 429), at(1003, 429)}}
	got := WrongRefusals([]*Call{c}, map[string]RateBound{"a": {RatePerSecond: 1, Burst: 2}})
	require.Equal(t, Refusals{Requests: 5, Limited: 3, Wrong: 2}, got)
}

func TestMeasures_CountWasteAndTheWorstAccount(t *testing.T) {
	e := validEvidence()
	require.Equal(t, Cache{PromptTokens: 40, Wasted: 20}, WastedCache(e))
	slow := e.Outcomes[0]
	slow.Program = &Program{Account: "b"}
	slow.End = slow.Start.Add(10 * time.Second)
	worst := WorstServed(append(e.Outcomes, slow))
	require.Equal(t, "b", worst.Account)
	require.InDelta(t, 10, worst.P95.Seconds(), 0.1)
}
