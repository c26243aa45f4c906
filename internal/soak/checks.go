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

// Limits that the checks enforce.
const (
	// inForceLimit bounds how long an accepted file takes to be in force, and a withdrawn key to
	// stop working, on every reachable VM.
	inForceLimit = 4 * time.Second
	// clockTolerance allows for the delay between an event and the recording of its time.
	clockTolerance = 250 * time.Millisecond
	// memoryLimit bounds how long engines hold memory after the last program ended.
	memoryLimit = 40 * time.Second
	// refusalLimit bounds how long a VM takes to refuse a request because it reaches no majority.
	refusalLimit = 6 * time.Second
	// poisonLimit is the number of upstreams that one request may crash.
	poisonLimit = 2
)

// evidence holds the input of all checks.
type evidence struct {
	workload.Evidence
	outages      *outages
	vmByListener map[string]string // VM name by address of its listener for callers
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
	access       []workload.Result // probes after the run that must be rejected
	alive        workload.Result   // new programs run after all faults were healed
	newest       workload.Result   // whether each VM then has the newest generation
}

// checkAll runs all checks. It returns one result for each documented guarantee, in the order of
// the documentation, and then one for each further rule.
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

// combine adds up results under one name.
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

// checkLoops checks that a program that loops forever is ended by its budget with a refusal that
// may not be retried.
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

// outcomeUnknown reports whether the program was ended by a call that may not be repeated and of
// which it is unknown whether it ran.
func outcomeUnknown(o workload.Outcome) bool {
	r := o.Refused
	return r != nil && r.Code != "" && r.NotRun != refusal.True && r.Retry == 0
}

// checkFinished checks that every program finishes, except those abandoned by their caller, those
// that loop, and those ended by a call with an unknown outcome.
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

// expired reports whether a program that its caller was going to abandon passed its short
// deadline first.
func expired(o workload.Outcome) bool {
	return strings.HasPrefix(o.Program.Name, abandonPrefix) && o.Refused != nil && o.Refused.Code == "program_expired"
}

// checkEarlyTurns checks that a turn that is not due is never answered and is refused as not run.
// Only a VM that reaches no majority may report not_run as unknown, because it cannot determine
// which turn is due.
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

// codeNoMajority is the code of refusals by a VM that does not reach the required majority.
const codeNoMajority = "programs_unavailable"

// checkUnauthorized checks that a call without a key that permits it is neither answered nor run.
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

// checkWithdrawnKeys checks that a withdrawn key stops working on every reachable VM, also for
// calls in progress.
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

// checkShutdowns checks that a VM exits by itself after SIGTERM and cuts off no request.
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

// checkInForce checks that an accepted file is in force within inForceLimit on every reachable
// VM, that no VM reverts to serving under an older one, and that a generation identifies a single
// file. A starting VM may load an older file first, but must not serve under it.
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

// overdue returns how long ago a newer generation was accepted that the VM should have in force
// because it has been reachable for more than inForceLimit since; 0 if there is none.
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

// checkMajorityRefusals checks that requests that need a majority are refused within refusalLimit
// where there is none. A call may first wait for an upstream while the majority still exists, so
// its time counts from the last answer through the same VM that its group recorded.
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

// groupAtVM is a VM and the group that records the answers to a program's calls.
type groupAtVM struct {
	vm   string
	home program.Home
}

// recordedAnswers returns the times at which program calls were answered. A group records an
// answer before it is sent, so the group had a majority shortly before.
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

// runsDuring describes the runs of a call during one attempt, in times since the start of the
// attempt. They show whether the attempt waited for an upstream or for this system.
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

// checkCrashes checks that a request crashes at most poisonLimit upstreams in the whole fleet.
// A violation states the number of network partitions at that time, because partitions cannot
// inform each other; after a partition heals, VMs have inForceLimit to reconnect.
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

// checkFaults checks that all faults could be injected and that everything recovered from them.
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
