// Package pathbench measures the latency that forwarding through a VM adds to a direct call to an
// engine. It runs daemons and a simulated engine as processes on this machine and sends the same
// calls over each path in turn.
package pathbench

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"egretramp/internal/config"
	"egretramp/internal/harness"
)

// Options configures a benchmark run.
type Options struct {
	// Bin is the folder of the program binaries.
	Bin string
	// Calls is the number of calls over each path.
	Calls int
}

// Path is the route of a call to the engine.
type Path string

// The paths that are compared.
const (
	Direct Path = "direct"
	// Dispatcher goes through the VM that dispatches for the engine, or through another VM of the
	// engine's zone.
	Dispatcher Path = "through a VM"
	// Program goes through a VM, as a turn of a program, which is recorded.
	Program Path = "through a VM, in a program"
)

// Result holds the latencies of one path, in milliseconds.
type Result struct {
	Path  Path    `json:"way"`
	Calls int     `json:"calls"`
	P50MS float64 `json:"p50_ms"`
	P99MS float64 `json:"p99_ms"`
	// FirstP50MS and FirstP99MS are the times to the first byte of the answer.
	FirstP50MS float64 `json:"first_p50_ms"`
	FirstP99MS float64 `json:"first_p99_ms"`
	// AddedP50MS and AddedP99MS are the differences to the quantiles of the direct path.
	AddedP50MS float64 `json:"added_p50_ms"`
	AddedP99MS float64 `json:"added_p99_ms"`
}

// Time limits of the benchmark and names in its fleet.
const (
	startLimit      = 20 * time.Second
	runLimit        = 5 * time.Minute
	stopLimit       = 10 * time.Second
	warmUpCalls     = 50 // calls over each path that are not recorded
	engineStepTime  = "1ms"
	maxAnswerTokens = 8 // tokens
	zoneName        = "north"
	model           = "bench-model"
	class           = "bench-class"
	secret          = "a secret of the bench"
	account         = "bench-account"
	key             = "egk_bench_0123456789abcdef"
)

// Run starts a fleet, measures all paths and stops the fleet.
func Run(ctx context.Context, o Options) ([]Result, error) {
	if o.Calls < 1 || o.Calls > 100_000 {
		return nil, errors.New("pathbench: the number of calls must be from 1 to 100000")
	}
	ctx, cancel := context.WithTimeout(ctx, runLimit)
	defer cancel()
	dir, err := os.MkdirTemp("", "egretramp-bench-")
	if err != nil {
		return nil, errors.Wrap(err, "pathbench: cannot create a folder")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	f, err := harness.New(harness.Options{Bin: o.Bin, Dir: dir, LogLevel: "error", Zones: []harness.Zone{
		{Name: zoneName, VMs: 2, Control: 1}, {Name: "middle", VMs: 1, Control: 1}, {Name: "south", VMs: 1, Control: 1},
	}})
	if err != nil {
		return nil, err
	}
	defer f.Stop(stopLimit)
	engine, err := start(ctx, f, dir)
	if err != nil {
		return nil, err
	}
	return measure(ctx, f, engine, o.Calls)
}

func start(ctx context.Context, f *harness.Fleet, dir string) (*harness.Upstream, error) {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	engine, err := f.AddUpstream(harness.UpstreamSpec{
		Name: "engine", Zone: zoneName, Kind: config.KindEngine, Class: class, Secret: secret,
		Serves: []string{model}, Args: []string{"--step-time", engineStepTime},
	})
	if err != nil {
		return nil, err
	}
	if err := f.StartVMs(ctx); err != nil {
		return nil, err
	}
	path := filepath.Join(dir, "bench.json")
	if err := harness.WriteJSON(path, operatorsFile()); err != nil {
		return nil, err
	}
	if _, err := f.Apply(ctx, f.VMs[0], path); err != nil {
		return nil, err
	}
	return engine, f.StartUpstreams(ctx, nil)
}

func operatorsFile() config.File {
	sum := sha256.Sum256([]byte(key))
	return config.File{
		Generation: 1,
		Schemes:    []string{"main"},
		ClientAccounts: []config.ClientAccount{{
			Named: config.Named{ID: account}, RatePerSecond: 100_000, Burst: 100_000, ProgramCalls: 1_000_000, ProgramTokens: 1_000_000_000,
			Keys: []config.Key{{ID: "bench-key", SHA256: hex.EncodeToString(sum[:])}},
		}},
		Models:    []config.Model{{Named: config.Named{ID: model}, MaxTokens: 64}},
		Services:  []config.Service{},
		Routes:    []config.Route{{ID: "bench-route", Accounts: []string{account}, Model: model}},
		Upstreams: []config.UpstreamClass{{ID: class, Kind: config.KindEngine, Secret: secret}},
	}
}

// latencies holds the latency histograms of one path, in microseconds.
type latencies struct {
	total, first *hdrhistogram.Histogram
}

func newLatencies() latencies {
	const longest = time.Minute
	return latencies{hdrhistogram.New(1, longest.Microseconds(), 3), hdrhistogram.New(1, longest.Microseconds(), 3)}
}

// measure alternates between the paths call by call, so that all are measured under the same load of
// the machine.
func measure(ctx context.Context, f *harness.Fleet, engine *harness.Upstream, calls int) ([]Result, error) {
	paths := []Path{Direct, Dispatcher, Program}
	all := map[Path]latencies{}
	for _, w := range paths {
		all[w] = newLatencies()
	}
	c := newCaller(f, engine)
	for i := range calls + warmUpCalls {
		for _, w := range paths {
			first, whole, err := c.call(ctx, w, i)
			if err != nil {
				return nil, errors.Wrapf(err, "pathbench: call %d, %s", i, w)
			}
			if i < warmUpCalls {
				continue
			}
			_ = all[w].first.RecordValue(max(first.Microseconds(), 1))
			_ = all[w].total.RecordValue(max(whole.Microseconds(), 1))
		}
	}
	var results []Result
	for _, w := range paths {
		results = append(results, result(w, all[w], all[Direct]))
	}
	return results, nil
}

func result(w Path, t, direct latencies) Result {
	ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1e3 }
	r := Result{
		Path: w, Calls: int(t.total.TotalCount()), P50MS: ms(t.total, 50), P99MS: ms(t.total, 99),
		FirstP50MS: ms(t.first, 50), FirstP99MS: ms(t.first, 99),
	}
	r.AddedP50MS, r.AddedP99MS = r.P50MS-ms(direct.total, 50), r.P99MS-ms(direct.total, 99)
	return r
}

// String returns the result as a row of the table with the header TableHeader.
func (r Result) String() string {
	return fmt.Sprintf("%-28s %6d %9.2f %9.2f %9.2f %9.2f %9.2f %9.2f",
		r.Path, r.Calls, r.FirstP50MS, r.FirstP99MS, r.P50MS, r.P99MS, r.AddedP50MS, r.AddedP99MS)
}

// TableHeader is the header line of the table of results, with times in milliseconds.
const TableHeader = "way                           calls first p50 first p99 whole p50 whole p99 added p50 added p99"
