package ctl

import (
	"bytes"
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"

	"egretramp/internal/admin/api"
	"egretramp/internal/config"
	"egretramp/internal/control"
	"egretramp/internal/responsecheck"
	"egretramp/internal/routing"
)

// reference is the configuration that a file is compared with. file is set for the operators' file.
type reference struct {
	source string
	table  routing.Table
	file   *config.File
	// same reports whether a text is the one of this configuration.
	same func(text []byte) bool
}

// documentReference returns the document to compare with, or nil if there is none.
func (c *configCheckCommand) documentReference() (*reference, error) {
	source, text := c.Against, []byte(nil)
	var err error
	switch {
	case c.Running:
		source, text, err = c.runningDocument()
	case c.Against != "":
		text, err = c.tool.readText(c.Against, c.tool.format.MaxBytes)
	default:
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	report := c.tool.format.Check(source, text)
	if len(report.Errors) > 0 {
		return nil, report.Errors
	}
	return &reference{source: source, table: report.Table, same: func(t []byte) bool { return bytes.Equal(t, text) }}, nil
}

// runningDocument reads the version in force from the first control listener that has it.
func (c *configCheckCommand) runningDocument() (source string, text []byte, err error) {
	if len(c.Control) == 0 {
		return "", nil, errors.New("--running needs --control ADDRESS for this format")
	}
	client := &http.Client{Timeout: requestTimeout, Transport: responsecheck.NewTransport(nil)}
	for _, address := range c.Control {
		target := url.URL{Scheme: "http", Host: address, Path: c.tool.format.Path}
		if text, err = c.getText(client, target.String()); err == nil {
			return address, text, nil
		}
		err = errors.Wrap(err, address)
	}
	return "", nil, err
}

func (c *configCheckCommand) getText(client *http.Client, target string) ([]byte, error) {
	request, err := http.NewRequestWithContext(c.tool.ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, errors.Wrap(err, "cannot make the request")
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "no answer")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Newf("the configuration in force can't be read: status %d", response.StatusCode)
	}
	text, err := readAtMost(response.Body, c.tool.format.MaxBytes)
	return text, errors.Wrap(err, "the answer was broken off")
}

// fileReference returns the operators' file to compare with, or nil if there is none.
func (c *configCheckCommand) fileReference() (*reference, error) {
	switch {
	case c.Running:
		return c.runningFile()
	case c.Against == "":
		return nil, nil
	}
	file, text, err := c.tool.readFile(c.Against)
	if err != nil {
		return nil, err
	}
	return &reference{source: c.Against, file: file, same: func(t []byte) bool { return bytes.Equal(t, text) }}, nil
}

// runningFile reads the file in force from the administration API, which omits secrets and hashes.
func (c *configCheckCommand) runningFile() (*reference, error) {
	if len(c.Control) > 0 {
		return nil, errors.New("an operators' file is compared through --admin ADDRESS, not --control")
	}
	client, err := c.tool.newClient(c.tool.Admin)
	if err != nil {
		return nil, err
	}
	var status api.Status
	address, err := client.get(c.tool.ctx, api.PathStatus, url.Values{"config": {"true"}}, &status)
	if err != nil {
		return nil, err
	}
	if status.Config == nil {
		return nil, errors.Newf("%s has no configuration in force", address)
	}
	same := func(text []byte) bool { return control.HashText(string(text)) == status.ConfigHash }
	return &reference{source: address, file: status.Config, same: same}, nil
}
