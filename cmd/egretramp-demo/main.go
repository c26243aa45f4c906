// Command egretramp-demo runs a small fleet on this machine and reports how it fared. It exits
// with 0 only if every program finished and no check was violated.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/jessevdk/go-flags"

	"egretramp/internal/demo"
)

// Exit codes.
const (
	exitFailure = 1
	exitUsage   = 2
)

type options struct {
	Bin      string `long:"bin" description:"folder of the programs (default: that of this one)"`
	Dir      string `long:"dir" description:"folder of settings, data, logs and records (default: a temporary one)"`
	Programs int    `long:"programs" default:"36" description:"programs that each deployment runs"`
	Seed     int64  `long:"seed" default:"1" description:"for the programs"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(exitUsage)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailure)
	}
}

func run(o options) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if o.Bin == "" {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		o.Bin = filepath.Dir(self)
	}
	return demo.Run(ctx, demo.Options{Bin: o.Bin, Dir: o.Dir, Programs: o.Programs, Seed: o.Seed, Out: os.Stdout})
}
