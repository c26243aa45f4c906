// Command egretrampd is the daemon that runs on every VM.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"egretramp/internal/daemon"
	"egretramp/internal/settings"
	"egretramp/internal/version"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2 // invalid command line or settings
)

type options struct {
	Settings string `long:"settings" value-name:"FILE" description:"this VM's settings, JSON with comments"`
	Platform bool   `long:"platform" description:"run on the users' platform, with the settings file that its environment names"`
	Check    bool   `long:"check-settings" description:"check the settings file and exit"`
	Version  bool   `long:"version" description:"print the version and exit"`
}

func main() {
	if len(os.Args) == 2 && os.Args[1] == "--platform" {
		os.Exit(runOnPlatform(os.Stdout, os.Stderr))
	}
	s, code := readCommandLine(os.Args[1:], os.Stdout, os.Stderr)
	if s == nil {
		os.Exit(code)
	}
	if err := run(s); err != nil {
		fmt.Fprintf(os.Stderr, "egretrampd: %v\n", err)
		os.Exit(exitFailed)
	}
}

// run runs the daemon until the first SIGINT or SIGTERM. A second signal cuts the graceful shutdown short.
func run(s *settings.Settings) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	secondSignal := make(chan os.Signal, 1)
	go func() {
		<-signals
		stop()
		secondSignal <- <-signals
	}()
	return daemon.Run(ctx, s, version.String(), secondSignal)
}

// readCommandLine parses the arguments and loads the settings. If the daemon must not run, it returns
// nil and the exit code.
func readCommandLine(args []string, out, errOut io.Writer) (*settings.Settings, int) {
	var o options
	parser := flags.NewNamedParser("egretrampd", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", &o); err != nil {
		panic("egretrampd: options: " + err.Error())
	}
	rest, err := parser.ParseArgs(args)
	var flagError *flags.Error
	switch {
	case errors.As(err, &flagError) && flagError.Type == flags.ErrHelp:
		fmt.Fprintln(out, flagError.Message)
		return nil, exitOK
	case err != nil:
		return nil, failUsage(errOut, err)
	case o.Version:
		fmt.Fprintln(out, "egretrampd "+version.String())
		return nil, exitOK
	case o.Platform:
		return nil, failUsage(errOut, errors.New("--platform takes no other options"))
	case len(rest) > 0:
		return nil, failUsage(errOut, errors.Newf("unexpected argument %q", rest[0]))
	case o.Settings == "":
		return nil, failUsage(errOut, errors.New("name the settings file with --settings FILE"))
	}
	s, err := settings.Load(o.Settings)
	if err != nil {
		return nil, failUsage(errOut, err)
	}
	if o.Check {
		fmt.Fprintf(out, "%s: no problems; VM %s in zone %s\n", o.Settings, s.VM, s.Zone)
		return nil, exitOK
	}
	return s, exitOK
}

func failUsage(errOut io.Writer, err error) int {
	fmt.Fprintf(errOut, "egretrampd: %v\n", err)
	return exitUsage
}
