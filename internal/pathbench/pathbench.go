// Package pathbench measures what a call's way through a VM adds to a direct call to the engine:
// daemons and a stand-in engine as processes on this machine, the same calls in turn by each way.
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

// Options describe a measurement.
type Options struct {
	// Bin is the folder of the programs.
	Bin string
	// Calls is how many calls go each way.
	Calls int
}

// Path is how a call gets to the engine.
type Path string

// The ways.
const (
	Direct Path = "direct"
	// Dispatcher is through the VM that dispatches for the engine or another one of its zone.
	Dispatcher Path = "through a VM"
	// Program is through a VM, as a turn of a program, which is recorded.
	Program Path = "through a VM, in a program"
)

// Result is the latency of one way.
type Result struct {
	Path  Path    `json:"way"`
	Calls int     `json:"calls"`
	P50MS float64 `json:"p50_ms"`
	P99MS float64 `json:"p99_ms"`
	// FirstP50MS and FirstP99MS are the times to the first byte of the answer.
	FirstP50MS float64 `json:"first_p50_ms"`
	FirstP99MS float64 `json:"first_p99_ms"`
	// AddedP50MS and AddedP99MS are the differences to the direct way's quantiles.
	AddedP50MS float64 `json:"added_p50_ms"`
	AddedP99MS float64 `json:"added_p99_ms"`
}

// Parts of the small fleet, and limits of the measurement.
const (
	startLimit      = 20 * time.Second
	runLimit        = 5 * time.Minute
	stopLimit       = 10 * time.Second
	warmUpCalls     = 50 // calls each way that are not counted
	engineStepTime  = "1ms"
	maxAnswerTokens = 8 // tokens
	zoneName        = "north"
	model           = "bench-model"
	class           = "bench-class"
	secret          = "a secret of the bench"
	account         = "bench-account"
	key             = "egk_bench_0123456789abcdef"
)

// Run starts the fleet, measures, and ends the fleet.
func Run(ctx context.Context, o Options) ([]Result, error) {
	if o.Calls < 1 || o.Calls > 100_000 {
		return nil, errors.New("pathbench: the number of calls must be from 1 to 100000")
	}
	ctx, cancel := context.WithTimeout(ctx, runLimit)
	defer cancel()
	dir, err := os.MkdirTemp("", "egretramp-bench-")
	if err != nil {
		return nil, errors.Wrap(err, "pathbench: cannot make a folder")
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

// latencies are the latencies of one way. Microseconds.
type latencies struct {
	total, first *hdrhistogram.Histogram
}

func newLatencies() latencies {
	const longest = time.Minute
	return latencies{hdrhistogram.New(1, longest.Microseconds(), 3), hdrhistogram.New(1, longest.Microseconds(), 3)}
}

// measure sends one call each way in turn, so that all ways meet the same machine.
func measure(ctx context.Context, f *harness.Fleet, engine *harness.Upstream, calls int) ([]Result, error) {
	ways := []Path{Direct, Dispatcher, Program}
	all := map[Path]latencies{}
	for _, w := range ways {
		all[w] = newLatencies()
	}
	c := newCaller(f, engine)
	for i := range calls + warmUpCalls {
		for _, w := range ways {
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
	for _, w := range ways {
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

// String returns the result as a line of the table whose head is Head.
func (r Result) String() string {
	return fmt.Sprintf("%-28s %6d %9.2f %9.2f %9.2f %9.2f %9.2f %9.2f",
		r.Path, r.Calls, r.FirstP50MS, r.FirstP99MS, r.P50MS, r.P99MS, r.AddedP50MS, r.AddedP99MS)
}

// TableHeader is the head of the table of results; times are in milliseconds.
const TableHeader = "way                           calls first p50 first p99 whole p50 whole p99 added p50 added p99"
