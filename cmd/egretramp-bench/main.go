// Command egretramp-bench compares scheduling policies under the same seeded load in virtual time. With
// --path it measures the overhead that a VM adds to a call.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"egretramp/internal/bench"
	"egretramp/internal/pathbench"
)

// Exit codes.
const (
	exitFailure = 1
	exitUsage   = 2
)

type options struct {
	Seed     int64         `long:"seed" default:"1" description:"for the programs"`
	Load     float64       `long:"load" default:"0.9" description:"work that arrives, as a part of what the fleet could do if each prefix were computed once"`
	Duration time.Duration `long:"duration" default:"10m" description:"time in which programs arrive, in virtual time"`
	Workload string        `long:"workload" default:"all" choice:"bajio" choice:"colombo" choice:"all" description:"shape of the programs"`
	KVTokens int64         `long:"kv-tokens" default:"400000" description:"KV memory of an engine"`
	NoFaults bool          `long:"no-faults" description:"leave out the slow engine and the loss of an engine and of a zone"`
	Only     []string      `long:"policy" description:"run only this policy (repeatable)"`
	Path     bool          `long:"path" description:"measure the way through a VM instead, with daemons on this machine"`
	Calls    int           `long:"calls" default:"1000" description:"with --path: calls each way"`
	Bin      string        `long:"bin" description:"with --path: folder of the programs (default: that of this one)"`
	JSON     bool          `long:"json" description:"print JSON"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(exitUsage)
	}
	command := compare
	if o.Path {
		command = measurePath
	}
	if err := command(o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailure)
	}
}

// report holds the results of all policies under one workload.
type report struct {
	Workload string         `json:"workload"`
	Seed     int64          `json:"seed"`
	Load     float64        `json:"load"`
	Results  []bench.Result `json:"results"`
}

func compare(o options) error {
	names := []string{o.Workload}
	if o.Workload == "all" {
		names = []string{bench.WorkloadBajio, bench.WorkloadColombo}
	}
	engine := bench.DefaultEngine
	engine.KVTokens = o.KVTokens
	for _, name := range names {
		results, err := bench.Run(bench.Options{
			Seed: o.Seed, Load: o.Load, Duration: o.Duration, Workload: name, NoFaults: o.NoFaults, Only: o.Only, Engine: engine,
		})
		if err != nil {
			return err
		}
		r := report{Workload: name, Seed: o.Seed, Load: o.Load, Results: results}
		if err := r.print(o.JSON); err != nil {
			return err
		}
	}
	return nil
}

func (r report) print(asJSON bool) error {
	if asJSON {
		return json.NewEncoder(os.Stdout).Encode(r)
	}
	fmt.Printf("workload %s, seed %d, load %.2f\n%s\n", r.Workload, r.Seed, r.Load, bench.Head)
	for _, result := range r.Results {
		fmt.Println(result)
	}
	fmt.Println()
	return nil
}

func measurePath(o options) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if o.Bin == "" {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		o.Bin = filepath.Dir(self)
	}
	results, err := pathbench.Run(ctx, pathbench.Options{Bin: o.Bin, Calls: o.Calls})
	if err != nil {
		return err
	}
	if o.JSON {
		return json.NewEncoder(os.Stdout).Encode(results)
	}
	fmt.Println(pathbench.TableHeader)
	for _, r := range results {
		fmt.Println(r)
	}
	return nil
}
