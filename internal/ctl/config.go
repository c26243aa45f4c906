package ctl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"egretramp/internal/config"
	"egretramp/internal/configlint"
	"egretramp/internal/jsonfile"
	"egretramp/internal/routing"
)

// formatFleet is the name of the format of the own fleet's operators' file.
const formatFleet = "fleet"

// DocumentFormat is a format of configurations beside the operators' file. Its names on the wire are
// known to the caller of Run only.
type DocumentFormat struct {
	Name     string
	MaxBytes int64 // of a text
	// Path is where a control listener returns the version in force.
	Path string
	// Fields are the names of the top-level fields, by which a file of this format is recognized.
	Fields []string
	// Check returns all errors and warnings of a text.
	Check func(name string, text []byte) configlint.Report
}

// WithDocumentFormat makes config check accept another format.
func WithDocumentFormat(f DocumentFormat) Option {
	return func(t *tool) { t.format = &f }
}

func (t *tool) addConfigCommands(parser *flags.Parser) {
	group, err := parser.AddCommand("config", "work on configurations", "work on configurations", &struct{}{})
	if err != nil {
		panic("ctl: command config: " + err.Error())
	}
	const short = "check a configuration, and compare it with another or the one in force"
	if _, err := group.AddCommand("check", short, short, &configCheckCommand{tool: t}); err != nil {
		panic("ctl: command config check: " + err.Error())
	}
}

// configCheckCommand reports errors, warnings and differences of a configuration in either format.
type configCheckCommand struct {
	tool    *tool
	Against string       `long:"against" value-name:"FILE" description:"list the differences from this configuration"`
	Running bool         `long:"running" description:"list the differences from the configuration in force; needs --control or --admin"`
	Control []string     `long:"control" value-name:"ADDRESS" description:"control listener of a fleet on the platform, IP:port; if it fails the next one is tried"`
	Format  string       `long:"format" value-name:"NAME" description:"format of the files: fleet (operators' file) or platform; default: recognized by the names in the file"`
	Args    fileArgument `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *configCheckCommand) Execute([]string) error {
	if err := c.checkOptions(); err != nil {
		return err
	}
	name := c.Args.File
	text, err := c.tool.readText(name, c.maxBytes())
	if err != nil {
		return &usageError{err.Error()}
	}
	var out configCheckOutput
	if c.isDocument(text) {
		out, err = c.checkDocument(name, text)
	} else {
		out, err = c.checkFile(name, text)
	}
	if err != nil {
		return &usageError{err.Error()}
	}
	if err := c.print(out); err != nil {
		return err
	}
	if len(out.Errors) > 0 {
		return errIncomplete
	}
	return nil
}

func (c *configCheckCommand) checkOptions() error {
	formats := []string{"", formatFleet}
	if c.tool.format != nil {
		formats = append(formats, c.tool.format.Name)
	}
	switch {
	case !slices.Contains(formats, c.Format):
		return &usageError{fmt.Sprintf("--format %q is unknown", c.Format)}
	case c.Running && c.Against != "":
		return &usageError{"--against and --running exclude each other"}
	case c.Args.File == "-" && c.Against == "-":
		return &usageError{"only one of the files can be standard input"}
	case len(c.Control) > 0 && !c.Running:
		return &usageError{"--control has an effect with --running only"}
	}
	for _, address := range c.Control {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return &usageError{fmt.Sprintf("--control %q is not IP:port", address)}
		}
	}
	return nil
}

// maxBytes returns the size of the largest file of any format.
func (c *configCheckCommand) maxBytes() int64 {
	if c.tool.format == nil {
		return config.MaxBytes
	}
	return max(config.MaxBytes, c.tool.format.MaxBytes)
}

// isDocument reports whether a text has the document format: by the option, by its top-level fields
// up to the first syntax error, or because a control listener is given. An operators' file has at
// least one field that a document has not.
func (c *configCheckCommand) isDocument(text []byte) bool {
	if c.tool.format == nil || c.Format == formatFleet {
		return false
	}
	if c.Format != "" {
		return true
	}
	document, file := len(c.Control) > 0, false
	for _, field := range topLevelFields(text) {
		document = document || slices.Contains(c.tool.format.Fields, field)
		file = file || field == "generation" || field == "schemes" || field == "client_accounts"
	}
	return document && !file
}

// topLevelFields returns the names of the fields of a JSON object up to its first syntax error, such
// as a comment, which documents can't have.
func topLevelFields(text []byte) []string {
	decoder := json.NewDecoder(bytes.NewReader(text))
	if _, err := decoder.Token(); err != nil {
		return nil
	}
	var fields []string
	for decoder.More() {
		name, err := decoder.Token()
		field, ok := name.(string)
		if err != nil || !ok {
			return fields
		}
		fields = append(fields, field)
		var value json.RawMessage
		if decoder.Decode(&value) != nil {
			return fields
		}
	}
	return fields
}

func (c *configCheckCommand) checkDocument(name string, text []byte) (configCheckOutput, error) {
	report := c.tool.format.Check(name, text)
	out := newConfigCheckOutput(name, c.tool.format.Name, report)
	if len(report.Errors) > 0 {
		return out, nil
	}
	out.Version = report.Table.Version
	ref, err := c.documentReference()
	if ref == nil || err != nil {
		return out, err
	}
	changes := configlint.Diff(ref.table, report.Table)
	out.Against = newConfigDifference(ref.source, ref.table.Version, changes)
	if report.Table.Version <= ref.table.Version && !ref.same(text) {
		message := fmt.Sprintf("version %d is not above version %d of %s, after which it has no effect", report.Table.Version, ref.table.Version, ref.source)
		out.Warnings = append(out.Warnings, report.At(message, routing.Place{Field: routing.FieldVersion}))
	}
	return out, nil
}

func (c *configCheckCommand) checkFile(name string, text []byte) (configCheckOutput, error) {
	file, doc := config.Check(name, text)
	report := configlint.NewReport(doc, nil)
	if len(report.Errors) > 0 {
		return newConfigCheckOutput(name, formatFleet, report), nil
	}
	for _, f := range configlint.File(file) {
		report.Warnings = append(report.Warnings, doc.ProblemAt(f.Message, f.Path...))
	}
	report.Sort()
	ref, err := c.fileReference()
	if err != nil {
		return configCheckOutput{}, err
	}
	if ref != nil && !ref.same(text) {
		for _, f := range configlint.RefusedAfter(ref.file, file) {
			report.Errors = append(report.Errors, doc.ProblemAt(f.Message, f.Path...))
		}
	}
	out := newConfigCheckOutput(name, formatFleet, report)
	out.Version = file.Generation
	if ref != nil {
		out.Against = newConfigDifference(ref.source, ref.file.Generation, configlint.DiffFiles(ref.file, file))
	}
	return out, nil
}

// configDifference lists the differences from another configuration.
type configDifference struct {
	Source  string              `json:"source"` // file or address
	Version uint64              `json:"version"`
	Changes []configlint.Change `json:"changes"`
}

func newConfigDifference(source string, version uint64, changes []configlint.Change) *configDifference {
	if changes == nil {
		changes = []configlint.Change{}
	}
	return &configDifference{Source: source, Version: version, Changes: changes}
}

// configCheckOutput is the JSON output of config check.
type configCheckOutput struct {
	File     string            `json:"file"`
	Format   string            `json:"format"`
	Version  uint64            `json:"version,omitempty"` // or generation; omitted if there are errors
	Errors   jsonfile.Problems `json:"errors"`
	Warnings jsonfile.Problems `json:"warnings"`
	Against  *configDifference `json:"against,omitempty"` // omitted if there are errors
}

func newConfigCheckOutput(file, format string, report configlint.Report) configCheckOutput {
	out := configCheckOutput{File: file, Format: format, Errors: report.Errors, Warnings: report.Warnings}
	if out.Errors == nil {
		out.Errors = jsonfile.Problems{}
	}
	if out.Warnings == nil {
		out.Warnings = jsonfile.Problems{}
	}
	return out
}

func (c *configCheckCommand) print(out configCheckOutput) error {
	if c.tool.JSON {
		return c.tool.printJSON(out)
	}
	// One write for all lines: a file with thousands of warnings would need as many system calls.
	var w strings.Builder
	for _, p := range out.Errors {
		fmt.Fprintln(&w, withSeverity(p, "error"))
	}
	for _, p := range out.Warnings {
		fmt.Fprintln(&w, withSeverity(p, "warning"))
	}
	if out.Against != nil {
		fmt.Fprintf(&w, "%d differences from %s, version %d\n", len(out.Against.Changes), out.Against.Source, out.Against.Version)
		for _, change := range out.Against.Changes {
			fmt.Fprintln(&w, " ", change)
		}
	}
	fmt.Fprintf(&w, "%s: %d errors, %d warnings\n", out.File, len(out.Errors), len(out.Warnings))
	_, err := io.WriteString(c.tool.Out, w.String())
	return errors.Wrap(err, "cannot print the result")
}

// withSeverity returns a problem on one line, with the severity after the position.
func withSeverity(p jsonfile.Problem, severity string) string {
	position := fmt.Sprintf("%s:%d:%d: ", p.File, p.Line, p.Column)
	return position + severity + ": " + strings.TrimPrefix(p.String(), position)
}
