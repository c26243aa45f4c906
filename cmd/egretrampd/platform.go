package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap/zapcore"

	"egretramp/internal/events"
	"egretramp/internal/node"
	"egretramp/internal/version"
	"egretramp/platform"
)

// runOnPlatform runs one VM of a fleet on the users' platform until SIGINT or SIGTERM, and returns the
// exit code. SIGHUP reloads the settings.
func runOnPlatform(out, errOut io.Writer) int {
	path := os.Getenv(platform.SettingsVariable)
	load := func() (node.Settings, error) { return platform.LoadSettings(path) }
	s, err := load()
	if err != nil {
		return failUsage(errOut, err)
	}
	output := events.NewOutput(out)
	log := events.NewTo(s.Name, zapcore.InfoLevel, output)
	defer log.Sync()
	n, err := node.New(node.Options{
		Settings: s, Reload: load, Protocol: platform.Protocol{}, Decode: platform.DecodeDocument,
		ControlHandler: platform.ControlHandler, ReadyHandler: platform.ReadyHandler,
		Events: log, LinesDropped: output.Dropped, Version: version.String(),
	})
	if err != nil {
		fmt.Fprintf(errOut, "egretrampd: %v\n", err)
		return exitFailed
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go func() {
		for range hangups {
			n.Reload()
		}
	}()
	if err := n.Run(ctx); err != nil {
		fmt.Fprintf(errOut, "egretrampd: %v\n", err)
		return exitFailed
	}
	return exitOK
}
