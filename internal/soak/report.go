package soak

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"

	"egretramp/internal/workload"
)

// report prints the run and returns ErrViolated if a check was violated.
func (s *soak) report(e *evidence) error {
	results := checkAll(e)
	s.writeRecords("calls.json", e.Calls)
	s.writeRecords("outcomes.json", e.Outcomes)
	out := s.opts.Out
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "\nFAULT\tdone\n")
	for _, k := range slices.Sorted(maps.Keys(s.inject.done)) {
		fmt.Fprintf(t, "%s\t%d\n", k, s.inject.done[k])
	}
	s.printMeasures(t, e)
	violated := 0
	fmt.Fprintf(t, "\nCHECK\ttried\tviolated\n")
	for _, r := range results {
		fmt.Fprintf(t, "%s\t%s\t%d\n", r.Name, formatTried(r.Tried), r.Violated)
		violated += r.Violated
	}
	_ = t.Flush()
	for _, r := range results {
		for _, d := range r.Details {
			fmt.Fprintf(out, "violated: %s: %s\n", r.Name, d)
		}
	}
	fmt.Fprintf(out, "seed %d, %s: %d violations\n", s.opts.Seed, s.opts.Duration, violated)
	if violated > 0 {
		return ErrViolated
	}
	return nil
}

// formatTried formats the number of tries; zero is marked, since such a check proves nothing.
func formatTried(n int) string {
	if n == 0 {
		return "not tried"
	}
	return strconv.Itoa(n)
}

func (s *soak) printMeasures(t *tabwriter.Writer, e *evidence) {
	finished, abandoned, loops, unknown := 0, 0, 0, 0
	for _, o := range e.Outcomes {
		switch {
		case o.Finished:
			finished++
		case o.Abandoned:
			abandoned++
		case outcomeUnknown(o):
			unknown++
		case o.Refused != nil && o.Refused.Code == "budget_exceeded":
			loops++
		}
	}
	counts := map[string]int{}
	for _, c := range e.Calls {
		for _, a := range c.Attempts {
			counts[kindOf(a)]++
		}
	}
	fmt.Fprintf(t, "\nMEASURE\t\n")
	fmt.Fprintf(t, "programs\t%d: %d finished, %d ended with an unknown outcome, %d by their budget, %d left by their callers\n",
		len(e.Outcomes), finished, unknown, loops, abandoned)
	for _, k := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(t, "attempts: %s\t%d\n", k, counts[k])
	}
	fmt.Fprintf(t, "configurations accepted\t%d\n", len(e.accepted))
	fmt.Fprintf(t, "memory released after\t%s\n", s.releaseTime.Round(time.Millisecond))
	for _, d := range s.inject.repairs {
		fmt.Fprintf(t, "lost disk replaced after\t%s\n", d.Round(time.Millisecond))
	}
	fmt.Fprintf(t, "rate jitter allowed\t%s\n", rateJitter)
}

func kindOf(a workload.Attempt) string {
	switch {
	case a.Answered():
		return "answered"
	case a.Code != "":
		return fmt.Sprintf("%s, not_run %s", a.Code, a.NotRun)
	default:
		return "no answer"
	}
}
