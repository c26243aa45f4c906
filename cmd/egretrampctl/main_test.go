package main

import (
	"bytes"
	"context"
	"flag"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"egretramp/internal/catalog"
	"egretramp/internal/ctl"
	"egretramp/internal/node"
	"egretramp/platform"
)

var update = flag.Bool("update", false, "write the golden files anew")

// runTool runs the tool in the folder testdata, so that the output has no machine's paths.
func runTool(t *testing.T, stdin string, args ...string) (code int, out, errOut string) {
	t.Helper()
	t.Chdir("testdata")
	defer t.Chdir("..")
	var outBuffer, errBuffer bytes.Buffer
	code = run(context.Background(), args, ctl.Streams{In: strings.NewReader(stdin), Out: &outBuffer, Err: &errBuffer})
	return code, outBuffer.String(), errBuffer.String()
}

// inForce is a control VM that only knows the configuration in force.
type inForce struct {
	node.ControlService
	document catalog.Document
	err      error
}

func (s inForce) Document(context.Context) (catalog.Document, error) { return s.document, s.err }

// controlListener serves a configuration in force, or the error of a control VM that can't read it.
func controlListener(t *testing.T, file string, err error) (address string) {
	t.Helper()
	text, readErr := os.ReadFile(filepath.Join("testdata", file))
	require.NoError(t, readErr)
	server := httptest.NewServer(platform.ControlHandler(inForce{document: catalog.Document{Version: 7, Data: text}, err: err}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// TestConfigCheck_Output compares the whole output with golden files, and guards against keys in it.
func TestConfigCheck_Output(t *testing.T) {
	for _, c := range []struct {
		golden string
		code   int
		args   []string
	}{
		{"running.txt", ctl.ExitOK, []string{"running.json"}},
		{"bad.txt", ctl.ExitFailed, []string{"bad.json"}},
		{"bad.out.json", ctl.ExitFailed, []string{"bad.json", "--json"}},
		{"next.txt", ctl.ExitOK, []string{"next.json", "--against", "running.json"}},
		{"next.out.json", ctl.ExitOK, []string{"next.json", "--against", "running.json", "--json"}},
		{"back.txt", ctl.ExitOK, []string{"running.json", "--against", "next.json"}},
	} {
		code, out, errOut := runTool(t, "", append([]string{"config", "check"}, c.args...)...)
		require.Equal(t, c.code, code, "%v: %s", c.args, errOut)
		require.Empty(t, errOut)
		require.NotContains(t, out, "sk-")
		golden := filepath.Join("testdata", c.golden)
		if *update {
			require.NoError(t, os.WriteFile(golden, []byte(out), 0o600))
		}
		want, err := os.ReadFile(golden)
		require.NoError(t, err)
		require.Equal(t, string(want), out, c.golden)
	}
}

// TestConfigCheck_Running guards against a comparison with something else than the version in force,
// and against exit code 0 if that can't be read.
func TestConfigCheck_Running(t *testing.T) {
	good, broken := controlListener(t, "running.json", nil), controlListener(t, "bad.json", nil)
	absent := controlListener(t, "running.json", node.ErrUnavailable)
	code, out, errOut := runTool(t, "", "config", "check", "next.json", "--running", "--control", "127.0.0.1:1", "--control", absent, "--control", good)
	require.Equal(t, ctl.ExitOK, code, errOut)
	want, err := os.ReadFile(filepath.Join("testdata", "next.txt"))
	require.NoError(t, err)
	require.Equal(t, strings.Replace(string(want), "from running.json", "from "+good, 1), out)

	for _, c := range []struct {
		args []string
		want string
	}{
		{[]string{"next.json", "--running", "--control", absent}, "the configuration in force can't be read: status 503"},
		{[]string{"next.json", "--running", "--control", "127.0.0.1:1"}, "no answer"},
		{[]string{"next.json", "--running", "--control", broken}, `kind "stream" is unknown`},
		{[]string{"next.json", "--running"}, "--running needs --control ADDRESS"},
		{[]string{"next.json", "--running", "--control", "localhost"}, "is not IP:port"},
		{[]string{"next.json", "--control", good}, "--control has an effect with --running only"},
		{[]string{"next.json", "--running", "--against", "bad.json"}, "exclude each other"},
		{[]string{"next.json", "--against", "bad.json"}, `kind "stream" is unknown`},
		{[]string{"next.json", "--against", "none.json"}, "none.json"},
		{[]string{"none.json"}, "none.json"},
		{[]string{"next.json", "--format", "toml"}, `--format "toml" is unknown`},
		{[]string{}, "FILE"},
	} {
		code, out, errOut := runTool(t, "", append([]string{"config", "check"}, c.args...)...)
		require.Equal(t, ctl.ExitUsage, code, c.args)
		require.Contains(t, errOut, c.want, c.args)
		require.Empty(t, out)
		require.NotContains(t, errOut, "sk-")
	}
}

// TestConfigCheck_RecognizesTheFormat guards against errors about the other format's fields.
func TestConfigCheck_RecognizesTheFormat(t *testing.T) {
	const file = `{"generation": 4, "schemes": [], "models": [], "services": [], "routes": [], "upstreams": [], "client_accounts": []}`
	for _, c := range []struct {
		text, want string
		args       []string
	}{
		{text: file, want: `"format": "fleet"`},
		{text: "// a comment\n" + file, want: `"format": "fleet"`},
		{text: `{"routes": [], "services": [], "client_accounts": 1}`, want: `"format": "fleet"`},
		{text: `{"routes": [], "version": 1, "x": [}`, want: `"format": "platform"`},
		{text: `{}`, want: `"format": "fleet"`},
		{text: `{}`, args: []string{"--format", "platform"}, want: "the version is missing"},
		{text: file, args: []string{"--format", "platform"}, want: "the version is missing"},
		{text: `{"version": 1}`, args: []string{"--format", "fleet"}, want: "client_accounts"},
	} {
		_, out, errOut := runTool(t, c.text, append([]string{"config", "check", "-", "--json"}, c.args...)...)
		require.Contains(t, out, c.want, "%s %s", c.text, errOut)
	}
}
