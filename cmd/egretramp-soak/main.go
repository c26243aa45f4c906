// Command egretramp-soak runs a small fleet on this machine under faults and checks every promise. It exits
// with 0 only if no check was violated.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"egretramp/internal/soak"
)

// Exit codes.
const (
	exitFailure = 1
	exitUsage   = 2
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
	return soak.Run(ctx, soak.Options{
		Bin: o.Bin, Dir: o.Dir, Seed: o.Seed, Duration: o.Duration, Verbose: o.Verbose, Out: os.Stdout,
	})
}
