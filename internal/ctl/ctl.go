// Package ctl implements egretrampctl, the operators' command-line tool: its options, its commands
// and the client of the administration API. Results are written to standard output, everything else
// to standard error.
package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"egretramp/internal/admin/api"
	"egretramp/internal/control"
	"egretramp/internal/jsonfile"
	"egretramp/internal/version"
)

// Exit codes.
const (
	ExitOK     = 0
	ExitFailed = 1 // the request was refused, or no VM could process it
	ExitUsage  = 2 // invalid command line, or a file with problems
)

// Streams are the tool's input and outputs.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// tool holds the streams and the global options, which all commands share.
type tool struct {
	Streams `no-flag:"true"`
	ctx     context.Context
	// zones serves the commands about zones; nil leaves them out.
	zones        ZoneService
	orderTimeout time.Duration
	format       *DocumentFormat

	Admin       []string `long:"admin" value-name:"ADDRESS" env:"EGRETRAMP_ADMIN" env-delim:"," description:"administration address of a VM, IP:port; if it fails the next one is tried"`
	Certificate string   `long:"tls-certificate" value-name:"FILE" env:"EGRETRAMP_TLS_CERTIFICATE" description:"your certificate, for VMs that have the tls block in their settings"`
	Key         string   `long:"tls-key" value-name:"FILE" env:"EGRETRAMP_TLS_KEY" description:"the certificate's private key"`
	Authority   string   `long:"tls-authority" value-name:"FILE" env:"EGRETRAMP_TLS_AUTHORITY" description:"certificates of the fleet's authorities"`

	JSON    bool `long:"json" description:"print answers in JSON"`
	Version bool `long:"version" description:"print the version and exit"`
}

// usageError reports an invalid command line or unreadable input. The tool exits with ExitUsage.
type usageError struct{ text string }

func (e *usageError) Error() string { return e.text }

// errIncomplete reports that a command completed only in part. The command has already printed
// which part is missing.
var errIncomplete = errors.New("not complete")

// Option adds commands to the tool.
type Option func(*tool)

// WithZones adds the commands about the zones of a fleet whose VMs discover each other through seeds.
func WithZones(s ZoneService) Option { return func(t *tool) { t.zones = s } }

// Run runs the tool with args, which exclude the program name, and returns its exit code.
func Run(ctx context.Context, args []string, streams Streams, options ...Option) int {
	t := &tool{Streams: streams, ctx: ctx, orderTimeout: orderTimeout}
	for _, option := range options {
		option(t)
	}
	parser := flags.NewNamedParser("egretrampctl", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "operates a fleet of egretramp VMs"
	if _, err := parser.AddGroup("Options", "", t); err != nil {
		panic("ctl: options: " + err.Error())
	}
	t.addCommands(parser)
	parser.CommandHandler = execute
	_, err := parser.ParseArgs(args)
	if t.Version && isFlagError(err, flags.ErrCommandRequired) {
		fmt.Fprintln(t.Out, "egretrampctl "+version.String())
		return ExitOK
	}
	return t.exitCode(err)
}

func isFlagError(err error, kind flags.ErrorType) bool {
	var flagError *flags.Error
	return errors.As(err, &flagError) && flagError.Type == kind
}

// execute runs a command. Surplus arguments are a usage error.
func execute(command flags.Commander, extra []string) error {
	if len(extra) > 0 {
		return &usageError{fmt.Sprintf("unexpected argument %q", extra[0])}
	}
	return command.Execute(nil)
}

// namedCommand is a command with its name and description.
type namedCommand struct {
	name, short string
	command     flags.Commander
}

func (t *tool) addCommands(parser *flags.Parser) {
	commands := []namedCommand{
		{"apply", "put a file in force, whole or not at all", &applyCommand{tool: t}},
		{"check", "check a file without any VM", &checkCommand{tool: t}},
		{"withdraw", "make keys stop working for good", &withdrawCommand{tool: t}},
		{"status", "show what a VM knows of itself and the fleet", &statusCommand{tool: t}},
		{"dump", "show the state of one VM's process", &dumpCommand{tool: t}},
		{"programs", "list programs", &programsCommand{tool: t}},
		{"upstreams", "list the upstreams that a VM knows of", &upstreamsCommand{tool: t}},
		{"placement", "show how models are placed, orders under way and their last results", &placementCommand{tool: t}},
		{"make-authority", "make an authority that issues a fleet's certificates", &makeAuthorityCommand{tool: t}},
		{"make-certificate", "issue a certificate for a VM or an operator", &makeCertificateCommand{tool: t}},
		{"explain", "tell the story of one request from the log files of VMs", &explainCommand{tool: t}},
		{"hash-key", "read a key from standard input and print its SHA-256", &hashKeyCommand{tool: t}},
	}
	if t.zones != nil {
		commands = append(commands,
			namedCommand{"evacuate", "send no more requests to the upstreams of a zone", &evacuateCommand{tool: t}},
			namedCommand{"restore", "return a zone to service", &restoreCommand{tool: t}},
			namedCommand{"zones", "list the zones that are out of service", &zonesCommand{tool: t}},
		)
	}
	for _, c := range commands {
		if _, err := parser.AddCommand(c.name, c.short, c.short, c.command); err != nil {
			panic("ctl: command " + c.name + ": " + err.Error())
		}
	}
	t.addConfigCommands(parser)
}

// exitCode prints an error and returns the exit code for it.
func (t *tool) exitCode(err error) int {
	var flagError *flags.Error
	var usage *usageError
	var problems jsonfile.Problems
	var refused *api.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, errIncomplete):
		return ExitFailed
	case isFlagError(err, flags.ErrHelp):
		fmt.Fprintln(t.Out, err)
		return ExitOK
	case errors.As(err, &flagError), errors.As(err, &usage):
		fmt.Fprintln(t.Err, "egretrampctl:", err)
		return ExitUsage
	case errors.As(err, &problems):
		t.reportProblems(problems)
		return ExitUsage
	case errors.As(err, &refused):
		return t.reportRefusal(refused)
	}
	t.report(&api.Error{Code: "failed", Message: err.Error()})
	return ExitFailed
}

func (t *tool) reportRefusal(refused *api.Error) int {
	t.report(refused)
	if refused.Code == string(control.CodeBadFile) {
		return ExitUsage
	}
	return ExitFailed
}

func (t *tool) reportProblems(problems jsonfile.Problems) {
	t.report(api.FileError(problems))
}

// report prints an error as text to standard error, or as JSON to standard output with --json.
func (t *tool) report(e *api.Error) {
	if t.JSON {
		_ = t.printJSON(api.ErrorBody{Error: e})
		return
	}
	fmt.Fprintf(t.Err, "egretrampctl: %s (%s)\n", e.Message, e.Code)
	for _, p := range e.Problems {
		fmt.Fprintln(t.Err, p)
	}
}

func (t *tool) printJSON(value any) error {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return errors.Wrap(err, "ctl: cannot encode the answer")
	}
	_, err = fmt.Fprintln(t.Out, string(data))
	return errors.Wrap(err, "ctl: cannot print the answer")
}
