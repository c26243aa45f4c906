// Package bench compares scheduling policies under one seeded load in virtual time, without a
// clock, a network or a daemon. The modelled engines work like the stand-in engines. All policies
// get the same programs; a program's next call depends on when the policy completes the last one.
package bench

import (
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"egretramp/internal/workload"
)

// Options describes a comparison.
type Options struct {
	Seed int64
	// Load is the arriving work as a fraction of the fleet's capacity if each prefix were computed
	// once.
	Load float64
	// Duration is the virtual time during which programs arrive.
	Duration time.Duration
	// Workload is the deployment whose programs are drawn: WorkloadBajio or WorkloadColombo.
	Workload string
	// NoFaults disables the slow engine and the loss of an engine and of a zone.
	NoFaults bool
	// Engine is the modelled engine. Default DefaultEngine.
	Engine EngineModel
	// Only lists the names of the policies to run; empty: all.
	Only []string
}

// The workloads that Options.Workload accepts.
const (
	WorkloadBajio   = "bajio"
	WorkloadColombo = "colombo"
)

// ErrOptions is returned for invalid options.
var ErrOptions = errors.New("bench: bad options")

// Result holds the figures of one policy.
type Result struct {
	Policy string `json:"policy"`
	// Programs and latencies exclude the account that exceeds its rate. Unfinished programs are
	// included, with their age at the end as latency.
	Programs   int     `json:"programs"`
	Unfinished int     `json:"unfinished"`
	P50MS      float64 `json:"p50_ms"`
	P95MS      float64 `json:"p95_ms"`
	P99MS      float64 `json:"p99_ms"`
	// QuoteP95MS is the p95 of programs of one call.
	QuoteP95MS float64 `json:"quote_p95_ms"`
	// WorstAccount is the account with the largest p95 among those within their rates.
	WorstAccount    string  `json:"worst_account"`
	WorstP95MS      float64 `json:"worst_p95_ms"`
	WastedPart      float64 `json:"wasted_part"` // fraction of prompt tokens that were computed again
	WorstShareOf    string  `json:"worst_share_of"`
	WorstShare      float64 `json:"worst_share"` // of the max-min fair share
	Requests        int     `json:"requests"`
	WrongRefusals   int     `json:"wrong_refusals"` // all requests are within their account's rate
	Busy            float64 `json:"busy"`           // fraction of the engines' time spent in steps
	Decisions       int     `json:"decisions"`
	DecisionsPerSec float64 `json:"decisions_per_second"` // per second spent in the pools' work
	OperationP99US  float64 `json:"operation_p99_us"`     // one event or plan of a pool
}

// Run runs the selected policies one after the other on the same load.
func Run(o Options) ([]Result, error) {
	d, err := o.check()
	if err != nil {
		return nil, err
	}
	l := generate(o.Seed, d, o.Load, o.Duration, o.Engine, replicaCount)
	var results []Result
	for _, p := range Policies() {
		if len(o.Only) > 0 && !slices.Contains(o.Only, p.Name) {
			continue
		}
		r := newRun(o, l, p)
		r.sim.runUntil(o.Duration)
		busy := r.busy()
		r.sim.runUntil(o.Duration + graceTime)
		if r.violation != nil {
			return results, errors.Wrapf(r.violation, "bench: policy %s breaks an invariant", p.Name)
		}
		result := r.result(p.Name, o.Duration+graceTime)
		result.Busy = busy.Seconds() / o.Duration.Seconds() / replicaCount
		results = append(results, result)
	}
	return results, nil
}

func (o *Options) check() (workload.Deployment, error) {
	if o.Engine == (EngineModel{}) {
		o.Engine = DefaultEngine
	}
	if o.Load <= 0 || o.Load > 3 || o.Duration < fairWindow || o.Duration > 6*time.Hour {
		return workload.Deployment{}, errors.Wrap(ErrOptions, "the load must be above 0 and at most 3, the duration from 20s to 6h")
	}
	for _, name := range o.Only {
		if !slices.ContainsFunc(Policies(), func(p Policy) bool { return p.Name == name }) {
			return workload.Deployment{}, errors.Wrapf(ErrOptions, "no policy is called %q", name)
		}
	}
	switch o.Workload {
	case WorkloadBajio:
		return workload.Bajio(), nil
	case WorkloadColombo:
		return workload.Colombo(), nil
	}
	return workload.Deployment{}, errors.Wrapf(ErrOptions, "no workload is called %q", o.Workload)
}

func (r *run) result(policy string, end time.Duration) Result {
	res := Result{
		Policy: policy, Requests: r.requests, WrongRefusals: r.refusals,
		Decisions: r.decisions, OperationP99US: float64(r.operations.ValueAtQuantile(99)) / 1e3,
	}
	for p, start := range r.underWay {
		r.finished(p.spec, end-start)
		if !p.spec.noisy {
			res.Unfinished++
		}
	}
	var all []time.Duration
	for _, a := range sortedNames(r.latencies) {
		if a == r.load.noisy {
			continue
		}
		list := r.latencies[a]
		slices.Sort(list)
		all = append(all, list...)
		if p95 := ms(quantile(list, 0.95)); p95 > res.WorstP95MS {
			res.WorstAccount, res.WorstP95MS = a, p95
		}
	}
	slices.Sort(all)
	slices.Sort(r.quotes)
	res.QuoteP95MS = ms(quantile(r.quotes, 0.95))
	res.Programs = len(all)
	res.P50MS, res.P95MS, res.P99MS = ms(quantile(all, 0.5)), ms(quantile(all, 0.95)), ms(quantile(all, 0.99))
	res.WastedPart = float64(r.wastedTokens) / float64(max(r.promptTokens, 1))
	res.WorstShareOf, res.WorstShare = r.worstShare()
	if r.spent > 0 {
		res.DecisionsPerSec = float64(r.decisions) / r.spent.Seconds()
	}
	return res
}

// busy returns the total time that the engines spent in steps.
func (r *run) busy() time.Duration {
	total := time.Duration(0)
	for _, e := range r.fleet.engines {
		total += e.busy
	}
	return total
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1e3 }

// String returns the result as a row of the table with the header Head.
func (r Result) String() string {
	return fmt.Sprintf("%-21s %7d %5d %9.0f %9.0f %9.0f %9.0f %9.0f %6.1f%% %6.3f %-10s %6d %5.0f%% %9.0f %7.1f",
		r.Policy, r.Programs, r.Unfinished, r.P50MS, r.P95MS, r.P99MS, r.QuoteP95MS, r.WorstP95MS, 100*r.WastedPart,
		r.WorstShare, r.WorstShareOf, r.WrongRefusals, 100*r.Busy, r.DecisionsPerSec, r.OperationP99US)
}

// Head is the header row of the table of results.
const Head = "policy                programs  left    p50 ms    p95 ms    p99 ms quote p95 worst p95  waste  share of         refused  busy  decis/s  p99 us"
