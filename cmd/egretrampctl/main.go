// Command egretrampctl is the command-line tool for operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"egretramp/internal/ctl"
	"egretramp/platform"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], ctl.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr})
	stop()
	os.Exit(code)
}

// run runs the tool with the commands and the format of configurations for fleets on the platform.
func run(ctx context.Context, args []string, streams ctl.Streams) int {
	return ctl.Run(ctx, args, streams, ctl.WithZones(platform.NewOperatorClient()), ctl.WithDocumentFormat(ctl.DocumentFormat{
		Name: "platform", MaxBytes: platform.MaxDocumentBytes, Path: platform.ConfigPath,
		Fields: platform.DocumentFields(), Check: platform.CheckDocument,
	}))
}
