// Package command holds what the main functions of the auxiliary programs share: command line
// parsing, signal handling and exit codes.
package command

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
)

// Exit codes of Main.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// Main parses the command line into options, a pointer to a struct with go-flags tags, and calls
// run with a context that is canceled by the first SIGINT or SIGTERM. It returns the exit code and
// prints errors to standard error.
func Main(args []string, options any, run func(ctx context.Context) error) int {
	rest, err := flags.NewParser(options, flags.Default).ParseArgs(args)
	switch {
	case flags.WroteHelp(err):
		return ExitOK
	case err != nil:
		return ExitUsage
	case len(rest) > 0:
		fmt.Fprintf(os.Stderr, "unexpected argument %q\n", rest[0])
		return ExitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitFailed
	}
	return ExitOK
}

// Folder returns folder, or the folder of the running executable if folder is empty.
func Folder(folder string) (string, error) {
	if folder != "" {
		return folder, nil
	}
	self, err := os.Executable()
	return filepath.Dir(self), errors.Wrap(err, "command: cannot find this program's folder")
}
