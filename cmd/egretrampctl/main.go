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
	code := ctl.Run(ctx, os.Args[1:], ctl.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}, ctl.WithZones(platform.NewOperatorClient()))
	stop()
	os.Exit(code)
}
