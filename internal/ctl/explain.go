package ctl

import (
	"io"
	"os"

	"github.com/cockroachdb/errors"

	"egretramp/internal/explain"
)

// explainCommand prints the timeline of one request from the log files of VMs.
type explainCommand struct {
	tool *tool
	Args struct {
		Request string   `positional-arg-name:"REQUEST-ID" description:"the request's ID"`
		Files   []string `positional-arg-name:"FILE" description:"log files of VMs; none reads standard input"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	logs, closeAll, err := c.open()
	defer closeAll()
	if err != nil {
		return &usageError{err.Error()}
	}
	story, err := explain.Read(c.Args.Request, logs...)
	if err != nil {
		return errors.Wrap(err, "read the logs")
	}
	if err := story.Write(c.tool.Out, c.Args.Request); err != nil {
		return err
	}
	if len(story.Lines) == 0 {
		return errIncomplete
	}
	return nil
}

func (c *explainCommand) open() (logs []io.Reader, closeAll func(), err error) {
	var files []*os.File
	closeAll = func() {
		for _, f := range files {
			_ = f.Close() // opened read-only
		}
	}
	if len(c.Args.Files) == 0 {
		return []io.Reader{c.tool.In}, closeAll, nil
	}
	for _, name := range c.Args.Files {
		f, err := os.Open(name)
		if err != nil {
			return nil, closeAll, err
		}
		files = append(files, f)
		logs = append(logs, f)
	}
	return logs, closeAll, nil
}
