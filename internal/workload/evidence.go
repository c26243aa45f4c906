package workload

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"egretramp/internal/fakes"
	"egretramp/internal/upstream/wire"
)

// Evidence is the input of the checks: the records of callers and stand-ins.
type Evidence struct {
	Calls    []*Call
	Outcomes []Outcome
	Runs     []fakes.Run
	Searches []KeySearch
	// Departures are the accepted announcements of upstreams that depart.
	Departures []fakes.Departure
	// Engines is the memory that engines hold after all programs ended.
	Engines []EngineMemory
	Bounds  map[string]RateBound // by account
	// Jitter is by how much the delay between a request's rate check and its arrival at the
	// upstream may vary. The bound at the upstreams is widened by it.
	Jitter time.Duration
}

// RateBound is an account's rate and burst.
type RateBound struct {
	RatePerSecond float64
	Burst         float64
}

// KeySearch is a stand-in's reply to the query whether it received a string.
type KeySearch struct {
	Upstream string
	fakes.ReceivedReply
	// Control marks a search for a string that was received, which proves that searches work.
	Control bool
}

// SearchArrived searches a stand-in for the path of its last run, which it did receive, as the
// control of the searches for keys. A stand-in without runs is skipped.
func (e *Evidence) SearchArrived(ctx context.Context, upstream string, control *fakes.Client) error {
	runs, err := control.Runs(ctx)
	if err != nil || len(runs) == 0 {
		return err
	}
	reply, err := control.Received(ctx, runs[len(runs)-1].Path)
	if err != nil {
		return err
	}
	e.Searches = append(e.Searches, KeySearch{Upstream: upstream, ReceivedReply: reply, Control: true})
	return nil
}

// EngineMemory lists the sessions for which an engine holds memory.
type EngineMemory struct {
	Upstream string
	Sessions []wire.Session
}

// Result counts the cases that a check tried and the violations among them.
type Result struct {
	Name     string
	Tried    int
	Violated int
	// Details describes the first violations.
	Details []string
}

// maxDetails is the maximum number of violations that are described.
const maxDetails = 5

// Violate counts a violation and describes it.
func (r *Result) Violate(format string, args ...any) {
	r.violate(format, args...)
}

func (r *Result) violate(format string, args ...any) {
	r.Violated++
	if len(r.Details) < maxDetails {
		r.Details = append(r.Details, fmt.Sprintf(format, args...))
	}
}

// Check applies one rule to the evidence.
type Check func(*Evidence) Result

// Checks returns all rules, in the order in which they are reported.
func Checks() []Check {
	return []Check{
		CheckFinished, CheckOrder, CheckHistory, CheckAnswers, CheckResent, CheckAhead,
		CheckAtMostOnce, CheckNotRun, CheckRefusals, CheckKeys, CheckRate, CheckBudget,
		CheckDeparted, CheckMemory,
	}
}

// CheckAll applies all rules.
func CheckAll(e *Evidence) []Result {
	var results []Result
	for _, check := range Checks() {
		results = append(results, check(e))
	}
	return results
}

// programKey identifies a program; different accounts may use the same name.
type programKey struct {
	account, name string
}

func (c *Call) program() programKey {
	return programKey{c.Account, c.Program}
}

// callRuns is a call and its runs at upstreams, oldest first.
type callRuns struct {
	call *Call
	runs []fakes.Run
}

// match finds each call's runs. Runs that belong to no call are returned as unmatched.
func (e *Evidence) match() (calls []*callRuns, unmatched []fakes.Run) {
	index := map[string]*callRuns{}
	for _, c := range e.Calls {
		if c.Kind == Resource {
			continue
		}
		cr := &callRuns{call: c}
		calls = append(calls, cr)
		index[c.identity()] = cr
	}
	for _, r := range e.Runs {
		id := r.Conversation
		if id == "" {
			id = r.BodySHA256
		}
		if cr := index[id]; cr != nil {
			cr.runs = append(cr.runs, r)
			continue
		}
		unmatched = append(unmatched, r)
	}
	for _, cr := range calls {
		slices.SortFunc(cr.runs, func(a, b fakes.Run) int { return cmp.Compare(a.StartedNS, b.StartedNS) })
	}
	return calls, unmatched
}

// CallRuns is a call and its runs at upstreams, oldest first.
type CallRuns struct {
	Call *Call
	Runs []fakes.Run
}

// Match finds each call's runs.
func (e *Evidence) Match() []CallRuns {
	calls, _ := e.match()
	list := make([]CallRuns, len(calls))
	for i, cr := range calls {
		list[i] = CallRuns{cr.call, cr.runs}
	}
	return list
}

// identity returns the key by which an upstream's record is matched to the call.
func (c *Call) identity() string {
	if c.Kind == Chat {
		return fakes.Digest(c.Model, c.Messages)
	}
	return c.BodyHash
}

func (c *Call) String() string {
	return fmt.Sprintf("%s/%s turn %d", c.Account, c.Program, c.Turn)
}

// programs groups calls by program, in the order of their turns.
func programs(calls []*callRuns) map[programKey][]*callRuns {
	groups := map[programKey][]*callRuns{}
	for _, cr := range calls {
		groups[cr.call.program()] = append(groups[cr.call.program()], cr)
	}
	for _, g := range groups {
		slices.SortFunc(g, func(a, b *callRuns) int { return cmp.Compare(a.call.Turn, b.call.Turn) })
	}
	return groups
}
