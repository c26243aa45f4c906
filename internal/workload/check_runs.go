package workload

import (
	"cmp"
	"slices"
	"time"

	"egretramp/internal/fakes"
)

// CheckOrder checks that a program's calls run in order: every run of a turn starts after the
// previous turn finished at an upstream, and no turn starts again after a later one.
func CheckOrder(e *Evidence) Result {
	r := Result{Name: "calls in order"}
	calls, _ := e.match()
	for _, turns := range programs(calls) {
		for i := 1; i < len(turns); i++ {
			before, after := turns[i-1], turns[i]
			if len(after.runs) == 0 {
				continue
			}
			r.Tried++
			first := after.runs[0].StartedNS
			if !finishedBefore(before.runs, first) {
				r.violate("%s ran before turn %d had finished", after.call, before.call.Turn)
				continue
			}
			if before.runs[len(before.runs)-1].StartedNS > first {
				r.violate("%s ran again after turn %d", before.call, after.call.Turn)
			}
		}
	}
	return r
}

func finishedBefore(list []fakes.Run, ns int64) bool {
	return slices.ContainsFunc(list, func(run fakes.Run) bool {
		return run.Outcome == fakes.Finished && run.EndedNS <= ns
	})
}

// CheckHistory checks that every conversation that reached an engine was sent by a caller, whole
// and not mixed with another, and that every service call was made by a caller.
func CheckHistory(e *Evidence) Result {
	r := Result{Name: "history neither lost nor mixed", Tried: len(e.Runs)}
	_, unmatched := e.match()
	for _, s := range unmatched {
		r.violate("%s ran %s %s, which no caller sent", s.Upstream, s.Method, s.Path)
	}
	return r
}

// CheckAtMostOnce checks that a non-idempotent call ran at most once, and exactly once if it was
// answered.
func CheckAtMostOnce(e *Evidence) Result {
	r := Result{Name: "non-idempotent calls at most once"}
	calls, _ := e.match()
	for _, cr := range calls {
		if cr.call.Kind != Service {
			continue
		}
		r.Tried++
		answered := cr.call.Answer() != nil
		if len(cr.runs) > 1 || answered && len(cr.runs) == 0 {
			r.violate("%s ran %d times, answered: %v", cr.call, len(cr.runs), answered)
		}
	}
	return r
}

// CheckNotRun checks that refusals as not run are true: for every run of the call there is an
// attempt that started before the run and was not refused as not run.
func CheckNotRun(e *Evidence) Result {
	r := Result{Name: "\"not run\" is true"}
	calls, _ := e.match()
	for _, cr := range calls {
		refused := 0
		for _, a := range cr.call.Attempts {
			if !a.mayHaveRun() {
				refused++
			}
		}
		r.Tried += refused
		for _, run := range cr.runs {
			if !hasMatchingAttempt(cr.call, run) {
				r.violate("%s was refused as not run, but %s ran it", cr.call, run.Upstream)
			}
		}
	}
	return r
}

func hasMatchingAttempt(c *Call, run fakes.Run) bool {
	return slices.ContainsFunc(c.Attempts, func(a Attempt) bool {
		return a.mayHaveRun() && a.Start.UnixNano() <= run.StartedNS
	})
}

// CheckRate checks that the calls of each client account that reach the upstreams stay within
// its rate and burst over any span of time.
func CheckRate(e *Evidence) Result {
	r := Result{Name: "rate and burst of each account"}
	calls, _ := e.match()
	starts := map[string][]int64{}
	for _, cr := range calls {
		// Calls on open routes belong to no account.
		if len(cr.runs) > 0 && cr.call.Account != "" {
			starts[cr.call.Account] = append(starts[cr.call.Account], cr.runs[0].StartedNS)
		}
	}
	for account, list := range starts {
		bound, known := e.Bounds[account]
		if !known {
			r.violate("%s has no bound", account)
			continue
		}
		slices.Sort(list)
		r.Tried += len(list)
		if over := bound.exceeded(list, e.Jitter); over > 0 {
			r.Violated += over - 1
			r.violate("%s: %d calls above %g/s with burst %g", account, over, bound.RatePerSecond, bound.Burst)
		}
	}
	return r
}

// exceeded counts the calls that find the token bucket empty. The bucket holds the burst, plus
// what the rate adds in jitter, and is refilled at the rate. Times are Unix nanoseconds in
// ascending order.
func (b RateBound) exceeded(times []int64, jitter time.Duration) int {
	size := b.Burst + b.RatePerSecond*jitter.Seconds()
	level, over := size, 0
	for i, t := range times {
		if i > 0 {
			level = min(size, level+b.RatePerSecond*time.Duration(t-times[i-1]).Seconds())
		}
		// The tolerance keeps rounding from counting a call that is exactly at the bound.
		if level < 1-1e-6 {
			over++
			continue
		}
		level--
	}
	return over
}

// CheckBudget checks that a program and its sub-agents stay within its budget of tokens and
// calls. For a call that ran more than once, the run with the most tokens counts.
func CheckBudget(e *Evidence) Result {
	r := Result{Name: "budgets hold"}
	calls, _ := e.match()
	groups := programs(calls)
	for _, o := range e.Outcomes {
		p := o.Program
		r.Tried++
		tokens, count := spent(groups[programKey{p.Account, p.Name}])
		for _, child := range e.Outcomes {
			if child.Program.Account == p.Account && child.Program.Parent == p.Name {
				t, n := spent(groups[programKey{p.Account, child.Program.Name}])
				tokens, count = tokens+t, count+n
			}
		}
		if p.Tokens > 0 && tokens > p.Tokens || p.Calls > 0 && count > p.Calls {
			r.violate("%s/%s: %d of %d tokens, %d of %d calls", p.Account, p.Name, tokens, p.Tokens, count, p.Calls)
		}
	}
	return r
}

func spent(turns []*callRuns) (tokens, calls int64) {
	for _, t := range turns {
		if len(t.runs) == 0 {
			continue
		}
		calls++
		longest := slices.MaxFunc(t.runs, func(a, b fakes.Run) int {
			return cmp.Compare(a.PromptTokens+a.CompletionTokens, b.PromptTokens+b.CompletionTokens)
		})
		tokens += int64(longest.PromptTokens + longest.CompletionTokens)
	}
	return tokens, calls
}
