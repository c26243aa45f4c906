// Command egretramp-demo runs a small fleet on this machine and reports the results. It exits with 0
// only if every program finished and no check failed.
package main

import (
	"context"
	"os"

	"egretramp/internal/command"
	"egretramp/internal/demo"
)

type options struct {
	Bin      string `long:"bin" description:"folder of the programs (default: that of this one)"`
	Dir      string `long:"dir" description:"folder of settings, data, logs and records (default: a temporary one)"`
	Programs int    `long:"programs" default:"36" description:"programs that each deployment runs"`
	Seed     int64  `long:"seed" default:"1" description:"for the programs"`
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
	return demo.Run(ctx, demo.Options{Bin: bin, Dir: o.Dir, Programs: o.Programs, Seed: o.Seed, Out: os.Stdout})
}
