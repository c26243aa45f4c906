// Command egretramp-soak runs a small fleet on this machine, injects faults and checks every
// guarantee that egretramp gives. It exits with 0 only if no check failed.
package main

import (
	"context"
	"os"
	"time"

	"egretramp/internal/command"
	"egretramp/internal/soak"
)

type options struct {
	Bin      string        `long:"bin" description:"folder of the programs (default: that of this one)"`
	Dir      string        `long:"dir" description:"folder of settings, data, logs and records (default: a temporary one)"`
	Seed     int64         `long:"seed" default:"1" description:"for the faults and the programs"`
	Duration time.Duration `long:"duration" default:"30s" description:"how long faults go on"`
	Verbose  bool          `long:"verbose" description:"print each fault as it begins"`
}

func main() {
	var o options
	os.Exit(command.Main(os.Args[1:], &o, func(ctx context.Context) error { return run(ctx, o) }))
}

func run(ctx context.Context, o options) error {
	bin, err := command.Folder(o.Bin)
	if err != nil {
		return err
	}
	return soak.Run(ctx, soak.Options{
		Bin: bin, Dir: o.Dir, Seed: o.Seed, Duration: o.Duration, Verbose: o.Verbose, Out: os.Stdout,
	})
}
