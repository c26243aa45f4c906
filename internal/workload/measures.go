package workload

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"egretramp/internal/fakes"
)

// Bounds and precision of latency histograms.
const (
	longestLatency    = time.Hour
	significantDigits = 3
)

// Latency is a summary of programs' latencies.
type Latency struct {
	Programs int
	P50      time.Duration
	P95      time.Duration
}

// Latencies summarises the latencies of finished programs that are not sub-agents, grouped
// by key.
func Latencies(outcomes []Outcome, key func(*Program) string) map[string]Latency {
	histograms := map[string]*hdrhistogram.Histogram{}
	for _, o := range outcomes {
		if !o.Finished || o.Program.Parent != "" {
			continue
		}
		k := key(o.Program)
		if histograms[k] == nil {
			histograms[k] = hdrhistogram.New(1, longestLatency.Microseconds(), significantDigits)
		}
		// A latency above the histogram's bound is counted at the bound.
		d := min(o.End.Sub(o.Start), longestLatency)
		_ = histograms[k].RecordValue(max(d.Microseconds(), 1))
	}
	summaries := map[string]Latency{}
	for k, h := range histograms {
		summaries[k] = Latency{
			Programs: int(h.TotalCount()),
			P50:      time.Duration(h.ValueAtQuantile(50)) * time.Microsecond,
			P95:      time.Duration(h.ValueAtQuantile(95)) * time.Microsecond,
		}
	}
	return summaries
}

// Worst compares the client account with the highest p95 latency with the median account.
type Worst struct {
	Account string
	P95     time.Duration
	Median  time.Duration // median of the accounts' p95
}

// WorstServed finds the account with the highest p95 latency.
func WorstServed(outcomes []Outcome) Worst {
	byAccount := Latencies(outcomes, func(p *Program) string { return p.Account })
	var worst Worst
	var all []time.Duration
	for account, l := range byAccount {
		all = append(all, l.P95)
		if l.P95 > worst.P95 || l.P95 == worst.P95 && account < worst.Account {
			worst.Account, worst.P95 = account, l.P95
		}
	}
	if len(all) > 0 {
		slices.Sort(all)
		worst.Median = all[len(all)/2]
	}
	return worst
}

// Cache counts the prompt tokens of engines' runs.
type Cache struct {
	PromptTokens int
	CachedTokens int
	// Wasted tokens had been computed for the program and had to be computed again.
	Wasted int
}

// WastedCache sums the prompt tokens of the engines' runs of the callers' programs.
func WastedCache(e *Evidence) Cache {
	calls, _ := e.match()
	var c Cache
	for _, turns := range programs(calls) {
		computed := 0
		for _, run := range chatRunsByStart(turns) {
			c.PromptTokens += run.PromptTokens
			c.CachedTokens += run.CachedTokens
			c.Wasted += max(0, min(computed, run.PromptTokens)-run.CachedTokens)
			computed = max(computed, run.PromptTokens+run.CompletionTokens)
		}
	}
	return c
}

// chatRunsByStart returns the engines' runs of a program, oldest first.
func chatRunsByStart(turns []*callRuns) []fakes.Run {
	var list []fakes.Run
	for _, t := range turns {
		if t.call.Kind == Chat {
			list = append(list, t.runs...)
		}
	}
	slices.SortFunc(list, func(a, b fakes.Run) int { return cmp.Compare(a.StartedNS, b.StartedNS) })
	return list
}

// Refusals counts refusals by the rate limit.
type Refusals struct {
	Requests int
	Limited  int // refused by the rate limit
	Wrong    int // refused although within the account's rate and burst
}

// WrongRefusals replays the requests of the calls against one ideal token bucket for each
// account: a rate refusal while the bucket held a token is wrong.
func WrongRefusals(calls []*Call, bounds map[string]RateBound) Refusals {
	byAccount := map[string][]Attempt{}
	for _, c := range calls {
		byAccount[c.Account] = append(byAccount[c.Account], c.Attempts...)
	}
	var sum Refusals
	for account, attempts := range byAccount {
		slices.SortFunc(attempts, func(a, b Attempt) int { return a.Start.Compare(b.Start) })
		b := bounds[account]
		level, last := b.Burst, time.Time{}
		for _, a := range attempts {
			if !last.IsZero() {
				level = min(b.Burst, level+b.RatePerSecond*a.Start.Sub(last).Seconds())
			}
			last = a.Start
			sum.Requests++
			if a.Status != http.StatusTooManyRequests {
				level = max(0, level-1)
				continue
			}
			sum.Limited++
			if level >= 1 {
				sum.Wrong++
			}
		}
	}
	return sum
}
