package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"egretramp/internal/fakes"
	"egretramp/internal/program"
	"egretramp/internal/refusal"
	"egretramp/internal/workload"
)

// Limits that the checks hold the system to.
const (
	// inForceLimit is how long an accepted file may take to be in force, and a withdrawn key to
	// stop, on every VM that can be reached.
	inForceLimit = 4 * time.Second
	// clockTolerance is for what lies between an event and its record.
	clockTolerance = 250 * time.Millisecond
	// memoryLimit is how long engines may hold memory after the last program ended.
	memoryLimit = 40 * time.Second
	// refusalLimit is how long a VM may take to say that it reaches no majority.
	refusalLimit = 6 * time.Second
	// poisonLimit is how many upstreams one request may take down.
	poisonLimit = 2
)

// evidence is all that the checks look at.
type evidence struct {
	workload.Evidence
	outages      *outages
	vmByListener map[string]string // VM by its callers' listener
	accepted     []accepted
	withdrawals  []withdrawal
	rateChanges  []rateChange
	observations []observation
	shutdowns    []shutdown
	races        tally
	resends      tally
	refusals     []time.Duration
	poisons      []poisonRequest
	partitions   []window
	problems     []string
	access       []workload.Result // calls at the end that must not be let in
	alive        workload.Result   // new programs after all faults were healed
	newest       workload.Result   // generations then
}

// checkAll returns a line for each promise, in the order in which the promises are made, and
// then one for each further rule.
func checkAll(e *evidence) []workload.Result {
	w := &e.Evidence
	return []workload.Result{
		combine("a program's calls run in order", workload.CheckOrder(w), checkEarlyTurns(e)),
		combine("a program's history is never lost or mixed", workload.CheckHistory(w), workload.CheckResent(w)),
		combine("a program's budget holds", workload.CheckBudget(w), checkLoops(e)),
		combine("no engine memory stays tied up ("+memoryLimit.String()+")", workload.CheckMemory(w)),
		combine("a request runs only for the account of its key", append(e.access, checkUnauthorized(e))...),
		combine("no upstream sees a caller's key", workload.CheckKeys(w)),
		checkWithdrawnKeys(e),
		checkRate(e),
		combine("whole and own answers", workload.CheckAnswers(w)),
		combine("a refusal that says \"not run\" is true", workload.CheckNotRun(w), workload.CheckRefusals(w)),
		combine("a request that may not be repeated runs at most once", workload.CheckAtMostOnce(w)),
		combine("a departing upstream gets no new work after 3 s", workload.CheckDeparted(w)),
		checkShutdowns(e),
		checkInForce(e),
		checkFinished(e),
		combine("recovers: new programs complete through every VM", e.alive),
		combine("recovers: every VM has the newest generation", e.newest),
		checkOperators(e),
		checkMajorityRefusals(e),
		checkCrashes(e),
		checkFaults(e),
	}
}

// together sums up results under one name.
func combine(name string, list ...workload.Result) workload.Result {
	sum := workload.Result{Name: name}
	for _, r := range list {
		sum.Tried += r.Tried
		sum.Violated += r.Violated
		for _, d := range r.Details {
			sum.Details = append(sum.Details, r.Name+": "+d)
		}
	}
	return sum
}

// checkLoops says that a program that goes on without end is ended by its budget, for good.
func checkLoops(e *evidence) workload.Result {
	r := workload.Result{Name: "looping programs end"}
	for _, o := range e.Outcomes {
		if !strings.HasPrefix(o.Program.Name, loopPrefix) || outcomeUnknown(o) {
			continue
		}
		r.Tried++
		refused := o.Refused != nil && o.Refused.Code == "budget_exceeded" && o.Refused.Retry == 0
		if !refused {
			r.Violate("%s/%s: finished %v, %s", o.Program.Account, o.Program.Name, o.Finished, o.Reason)
		}
	}
	return r
}

// endedUnknown reports whether a call that may not be repeated ended the program because nobody
// knows whether it ran.
func outcomeUnknown(o workload.Outcome) bool {
	r := o.Refused
	return r != nil && r.Code != "" && r.NotRun != refusal.True && r.Retry == 0
}

// checkFinished says that every program finishes, but for those whose caller left, those that
// loop, and those that a call with an unknown outcome ended.
func checkFinished(e *evidence) workload.Result {
	r := workload.Result{Name: "programs finish"}
	failed := map[string]bool{}
	for _, o := range e.Outcomes {
		if !o.Finished {
			failed[o.Program.Account+"/"+o.Program.Name] = true
		}
	}
	for _, o := range e.Outcomes {
		p := o.Program
		if o.Abandoned || expired(o) || strings.HasPrefix(p.Name, loopPrefix) || outcomeUnknown(o) {
			continue
		}
		r.Tried++
		child := failed[p.Account+"/"+p.Name+"-sub"]
		if !o.Finished && !child {
			r.Violate("%s/%s: %s", p.Account, p.Name, o.Reason)
		}
	}
	return r
}

// expired reports whether a program whose caller would have left was past its short deadline
// before that.
func expired(o workload.Outcome) bool {
	return strings.HasPrefix(o.Program.Name, abandonPrefix) && o.Refused != nil && o.Refused.Code == "program_expired"
}

// checkAhead says that a turn that is not due is never answered and is refused as not run. Only
// a VM that reaches no majority may leave it open, because it does not know what is due.
func checkEarlyTurns(e *evidence) workload.Result {
	r := workload.Result{Name: "turns ahead refused"}
	for _, c := range e.Calls {
		for _, a := range c.Attempts {
			if a.Probe != workload.ProbeAhead || a.Status == 0 {
				continue
			}
			r.Tried++
			open := a.Code == codeNoMajority && a.NotRun == refusal.Unknown
			if a.Status == http.StatusOK || a.NotRun != refusal.True && !open {
				r.Violate("%s: status %d, code %q, not_run %q", c, a.Status, a.Code, a.NotRun)
			}
		}
	}
	return r
}

// codeNoMajority refuses what needs a majority that the VM does not reach.
const codeNoMajority = "programs_unavailable"

// checkIntruders says that a call without a key that allows it is neither answered nor run.
func checkUnauthorized(e *evidence) workload.Result {
	r := workload.Result{Name: "calls without the right key"}
	for _, m := range e.Match() {
		if !strings.HasPrefix(m.Call.Account, intruderPrefix) {
			continue
		}
		r.Tried++
		if m.Call.Answer() != nil || len(m.Runs) > 0 {
			r.Violate("%s: answered %v, ran %d times", m.Call, m.Call.Answer() != nil, len(m.Runs))
		}
	}
	return r
}

// checkWithdrawn says that a withdrawn key stops, also for calls under way, on every VM that
// can be reached.
func checkWithdrawnKeys(e *evidence) workload.Result {
	r := workload.Result{Name: "a withdrawn key stops working within " + inForceLimit.String()}
	gone := map[string]time.Time{}
	for _, w := range e.withdrawals {
		gone[w.account] = w.at
	}
	for _, m := range e.Match() {
		at, withdrawn := gone[m.Call.Account]
		if !withdrawn {
			continue
		}
		for _, a := range m.Call.Attempts {
			if a.End.Before(at) {
				continue
			}
			r.Tried++
			since, reachable := e.outages.lastEnd(e.vmByListener[a.VM], at, a.End)
			limit := since.Add(inForceLimit + clockTolerance)
			if !reachable || !a.End.After(limit) {
				continue
			}
			ran := slices.ContainsFunc(m.Runs, startedAfter(limit))
			if a.Answered() || ran || a.Start.Before(since) {
				r.Violate("%s through %s ended %s after the withdrawal, %s after the VM could be reached: status %d, answered %v, error %q",
					m.Call, e.vmByListener[a.VM], a.End.Sub(at), a.End.Sub(since), a.Status, a.Answered(), a.Err)
			}
		}
	}
	return r
}

// checkShutdowns says that a VM that is asked to end does so by itself and cuts no request.
func checkShutdowns(e *evidence) workload.Result {
	r := workload.Result{Name: "a graceful shutdown cuts no request"}
	for _, s := range e.shutdowns {
		r.Tried++
		if !s.graceful || s.code != 0 {
			r.Violate("%s did not end by itself within %s, or with exit code %d", s.name, shutdownLimit, s.code)
		}
	}
	for _, c := range e.Calls {
		for _, a := range c.Attempts {
			for _, s := range e.shutdowns {
				if a.VM != s.vm || a.End.Before(s.from) || a.Start.After(s.to) {
					continue
				}
				r.Tried++
				if a.Cut() {
					r.Violate("%s through %s, %s after SIGTERM, %s before the end: status %d, error %q",
						c, s.name, a.Start.Sub(s.from), s.to.Sub(a.Start), a.Status, a.Err)
				}
			}
		}
	}
	return r
}

// checkInForce says that an accepted file is in force within inForceLimit on every VM that can
// be reached, that no VM goes back to acting under an older one, and that a generation is one
// file only. A VM that starts may hear of an older file first, but must not act under it.
func checkInForce(e *evidence) workload.Result {
	r := workload.Result{Name: "an accepted configuration is in force within " + inForceLimit.String() + " and never reverts"}
	newest := map[string]uint64{}
	hashes := map[uint64]string{}
	for _, a := range e.accepted {
		hashes[a.generation] = a.hash
	}
	slices.SortStableFunc(e.observations, func(a, b observation) int { return a.from.Compare(b.from) })
	for _, o := range e.observations {
		r.Tried++
		if o.serving && o.generation < newest[o.vm] {
			r.Violate("%s went back from generation %d to %d", o.vm, newest[o.vm], o.generation)
		}
		if o.serving {
			newest[o.vm] = max(newest[o.vm], o.generation)
		}
		if hash, known := hashes[o.generation]; known && o.hash != hash {
			r.Violate("%s has another file under generation %d", o.vm, o.generation)
		}
		if late, g := e.overdue(o); late > 0 {
			r.Violate("%s has generation %d, but %d was accepted %s before", o.vm, o.generation, g, late)
		}
	}
	return r
}

// late returns for how long a newer generation has been accepted that the VM should have had
// for inForceLimit; 0 if there is none.
func (e *evidence) overdue(o observation) (time.Duration, uint64) {
	for _, a := range e.accepted {
		if a.generation <= o.generation {
			continue
		}
		since, reachable := e.outages.lastEnd(o.vm, a.at, o.from)
		if reachable && o.from.After(since.Add(inForceLimit)) {
			return o.from.Sub(a.at), a.generation
		}
	}
	return 0, 0
}

func checkOperators(e *evidence) workload.Result {
	r := workload.Result{Name: "operators who race or resend get the right answers", Tried: e.races.tried + e.resends.tried}
	for _, failure := range slices.Concat(e.races.failures, e.resends.failures) {
		r.Violate("%s", failure)
	}
	return r
}

// checkRefusedAtOnce says that what needs a majority is refused at once where there is none. There is
// one as long as it answers: a call that waits for an upstream meanwhile is refused in time if that is so
// from the last recorded answer through the same VM on.
func checkMajorityRefusals(e *evidence) workload.Result {
	r := workload.Result{Name: "what needs a majority is refused within " + refusalLimit.String()}
	for _, d := range e.refusals {
		r.Tried++
		if d > refusalLimit {
			r.Violate("an apply was refused after %s", d)
		}
	}
	recorded := recordedAnswers(e)
	for _, m := range e.Match() {
		for _, a := range m.Call.Attempts {
			if a.Code != codeNoMajority {
				continue
			}
			r.Tried++
			since := a.Start
			for _, at := range recorded[groupAtVM{a.VM, program.HomeOf(m.Call.Program)}] {
				if at.After(since) && at.Before(a.End) {
					since = at
				}
			}
			took := a.End.Sub(since)
			frozen := e.outages.during(e.vmByListener[a.VM], a.Start, a.End)
			if took > refusalLimit && !frozen {
				r.Violate("%s was refused after %s, %s after its record last answered: %q; runs at upstreams meanwhile: %s",
					m.Call, a.End.Sub(a.Start), took, a.Code, runsDuring(m.Runs, a))
			}
		}
	}
	return r
}

// recordPlace is a VM and the group of whose answers it depends.
type groupAtVM struct {
	vm   string
	home program.Home
}

// recordedAnswers returns when calls of programs were answered, which their group has to record before.
func recordedAnswers(e *evidence) map[groupAtVM][]time.Time {
	answers := map[groupAtVM][]time.Time{}
	for _, c := range e.Calls {
		for _, a := range c.Attempts {
			if c.Program != "" && c.Turn > 0 && a.Answered() {
				place := groupAtVM{a.VM, program.HomeOf(c.Program)}
				answers[place] = append(answers[place], a.End)
			}
		}
	}
	return answers
}

// runsDuring describes the runs of a call during one attempt, in times since its start: whether
// the attempt waited for an upstream's answer or for this system.
func runsDuring(runs []fakes.Run, a workload.Attempt) string {
	var spans []string
	for _, run := range runs {
		started := time.Unix(0, run.StartedNS)
		if started.Before(a.Start) || started.After(a.End) {
			continue
		}
		end := "never"
		if run.EndedNS > 0 {
			end = time.Unix(0, run.EndedNS).Sub(a.Start).String()
		}
		spans = append(spans, fmt.Sprintf("%s from %s to %s (%s)", run.Upstream, started.Sub(a.Start), end, run.Outcome))
	}
	if len(spans) == 0 {
		return "none"
	}
	return strings.Join(spans, ", ")
}

// checkCrashes says that a request takes down at most poisonLimit upstreams over the whole fleet.
// A violation names the sides that VMs were cut into meanwhile, since sides cannot tell each
// other; VMs that were cut off have inForceLimit to find together again.
func checkCrashes(e *evidence) workload.Result {
	r := workload.Result{Name: "a request takes down at most two upstreams"}
	for _, p := range e.poisons {
		r.Tried++
		sides := 1
		for _, s := range e.partitions {
			if s.from.Before(p.to) && p.from.Before(s.to.Add(inForceLimit)) {
				sides++
			}
		}
		if p.crashes > poisonLimit {
			r.Violate("%s took down %d upstreams; %d sides", p.name, p.crashes, sides)
		}
	}
	return r
}

// checkFaults says that the faults could be carried out and everything came back from them.
func checkFaults(e *evidence) workload.Result {
	r := workload.Result{Name: "VMs and operators get through every fault", Tried: len(e.shutdowns) + len(e.accepted)}
	for _, p := range e.problems {
		r.Violate("%s", p)
	}
	return r
}

func startedAfter(t time.Time) func(fakes.Run) bool {
	return func(run fakes.Run) bool { return run.StartedNS > t.UnixNano() }
}
