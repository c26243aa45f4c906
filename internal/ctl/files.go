package ctl

import (
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/cockroachdb/errors"

	"egretramp/internal/config"
	"egretramp/internal/jsonfile"
)

// maxKeyBytes is the maximum length of a caller's key, in bytes.
const maxKeyBytes = 4096

type fileArgument struct {
	File string `positional-arg-name:"FILE" description:"the file; - reads standard input"`
}

// readFile reads and validates an operators' file.
func (t *tool) readFile(name string) (*config.File, []byte, error) {
	text, err := t.readText(name, config.MaxBytes)
	if err != nil {
		return nil, nil, &usageError{err.Error()}
	}
	file, err := config.Parse(name, text)
	return file, text, err
}

// readText reads a file, or standard input for "-". The text is longer than most bytes if the input
// is, see readAtMost.
func (t *tool) readText(name string, most int64) ([]byte, error) {
	if name == "-" {
		return readAtMost(t.In, most)
	}
	opened, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = opened.Close() }()
	return readAtMost(opened, most)
}

// readAtMost reads at most one byte more than allowed, so that the caller's size check detects an
// oversized input.
func readAtMost(r io.Reader, most int64) ([]byte, error) {
	return io.ReadAll(io.LimitReader(r, most+1))
}

// checkCommand validates a file locally, without contacting a VM.
type checkCommand struct {
	tool *tool
	Args fileArgument `positional-args:"yes" required:"yes"`
}

type checkOutput struct {
	File       string            `json:"file"`
	Generation uint64            `json:"generation,omitempty"`
	Problems   jsonfile.Problems `json:"problems"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	file, _, err := c.tool.readFile(c.Args.File)
	if err != nil {
		return err
	}
	if c.tool.JSON {
		return c.tool.printJSON(checkOutput{File: c.Args.File, Generation: file.Generation, Problems: jsonfile.Problems{}})
	}
	fmt.Fprintf(c.tool.Out, "%s: no problems; generation %d with %d client accounts, %d models, %d services, %d routes\n",
		c.Args.File, file.Generation, len(file.ClientAccounts), len(file.Models), len(file.Services), len(file.Routes))
	return nil
}

// hashKeyCommand prints a key's hash. It reads the key from standard input, so that the key does
// not appear in the process list.
type hashKeyCommand struct {
	tool *tool
}

type hashKeyOutput struct {
	SHA256 string `json:"sha256"`
}

// Execute implements flags.Commander.
func (c *hashKeyCommand) Execute([]string) error {
	data, err := readAtMost(c.tool.In, maxKeyBytes)
	if err != nil {
		return errors.Wrap(err, "cannot read standard input")
	}
	key := strings.TrimSuffix(strings.TrimSuffix(string(data), "\n"), "\r")
	if key == "" || len(data) > maxKeyBytes || strings.ContainsFunc(key, isInvalidInKey) {
		return &usageError{fmt.Sprintf("a key is one line of at most %d visible ASCII characters", maxKeyBytes)}
	}
	hash := config.HashKey(key)
	if c.tool.JSON {
		return c.tool.printJSON(hashKeyOutput{SHA256: hash})
	}
	fmt.Fprintln(c.tool.Out, hash)
	return nil
}

// isInvalidInKey reports whether a character is not allowed in an Authorization header's token.
func isInvalidInKey(r rune) bool {
	return r <= ' ' || r > '~'
}
