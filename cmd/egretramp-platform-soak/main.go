// Command egretramp-platform-soak runs a fleet of real processes with the platform's protocol, injects
// faults and checks the guarantees that egretramp gives.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/jessevdk/go-flags"

	"egretramp/platform/soak"
)

type options struct {
	Seed     uint64        `long:"seed" default:"1" description:"seed of the faults; with several runs, of the first"`
	Runs     uint64        `long:"runs" default:"1" description:"number of runs, with seeds that follow each other"`
	Old      string        `long:"old-program" description:"daemon of an earlier release; the fleet starts with it, and VMs change between both at each restart"`
	Duration time.Duration `long:"duration" default:"30s" description:"time under faults of a run"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	self, err := os.Executable()
	if err != nil {
		fmt.Fprintln(os.Stderr, "egretramp-platform-soak:", err)
		os.Exit(1)
	}
	failed := false
	for i := range o.Runs {
		err := soak.Run(soak.Options{
			Program: filepath.Join(filepath.Dir(self), "egretrampd"), OldProgram: o.Old, Seed: o.Seed + i, Duration: o.Duration, Out: os.Stdout,
		})
		if err != nil {
			fmt.Fprintf(os.Stderr, "egretramp-platform-soak: seed %d: %v\n", o.Seed+i, err)
			failed = true
		}
	}
	if failed {
		os.Exit(1)
	}
}
