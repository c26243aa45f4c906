package ctl

import (
	"encoding/json"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"egretramp/internal/admin/api"
	"egretramp/internal/config"
	"egretramp/internal/control"
)

// exampleHash is a key's hash in the example file, exampleSecret a secret.
const (
	exampleHash   = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"
	exampleSecret = "replace-this-secret-1"
)

// nextExample returns the example file with changes of each kind.
func nextExample(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile(examplePath)
	require.NoError(t, err)
	return strings.NewReplacer(
		`"generation": 1`, `"generation": 2`,
		`"rate_per_second": 20`, `"rate_per_second": 10`,
		`{"id": "carnival-2026-a"`, `{"id": "carnival-2026-b"`, "cb8379ac", "cb8379ad",
		`{"id": "hours", "service": "workshop", "path_prefix": "/opening-hours", "open": true},`, ``,
		`"services": [`, `"services": [{"id": "laundry"},`,
	).Replace(string(text))
}

const nextExampleOutput = `-:47:23: warning: services[0].id: no route leads to service "laundry"
5 differences from SOURCE, version 1
  route removed: hours
  service added: laundry
  account limit lowered: opera: rate from 20/s to 10/s
  key withdrawn: carnival-2026-a: of account carnival
  key added: carnival-2026-b: of account carnival
-: 0 errors, 1 warnings
`

func TestConfigCheck_ComparesFiles(t *testing.T) {
	code, out, errOut := run(t, nextExample(t), "config", "check", "-", "--against", examplePath)
	require.Equal(t, ExitOK, code, errOut)
	require.Equal(t, strings.Replace(nextExampleOutput, "SOURCE", examplePath, 1), out)

	code, out, errOut = run(t, "", "config", "check", examplePath)
	require.Equal(t, ExitOK, code, errOut)
	require.Equal(t, examplePath+": 0 errors, 0 warnings\n", out)

	code, out, _ = run(t, strings.Replace(nextExample(t), `"generation": 2`, `"generation": 1`, 1), "config", "check", "-", "--against", examplePath, "--json")
	require.Equal(t, ExitFailed, code, "the control group refuses this generation")
	var result configCheckOutput
	require.NoError(t, json.Unmarshal([]byte(out), &result))
	require.Equal(t, "-:5:17: generation: generation 1 is not above generation 1 in force", result.Errors.Error())
	require.Len(t, result.Against.Changes, 5)
	require.NotContains(t, out, exampleHash)
	require.NotContains(t, out, exampleSecret)
}

// TestConfigCheck_ReadsTheFileInForce uses the administration API, which redacts secrets and hashes.
func TestConfigCheck_ReadsTheFileInForce(t *testing.T) {
	text, err := os.ReadFile(examplePath)
	require.NoError(t, err)
	file, err := config.Parse("f", text)
	require.NoError(t, err)
	vm, empty := newFakeVM(t), newFakeVM(t)
	vm.respond(api.PathStatus, 200, api.Status{Config: file.Redact(), ConfigHash: control.HashText(string(text))})
	empty.respond(api.PathStatus, 200, api.Status{})

	code, out, errOut := run(t, nextExample(t), "config", "check", "-", "--running", "--admin", vm.address)
	require.Equal(t, ExitOK, code, errOut)
	require.Equal(t, strings.Replace(nextExampleOutput, "SOURCE", vm.address, 1), out)

	code, out, errOut = run(t, string(text), "config", "check", "-", "--running", "--admin", vm.address)
	require.Equal(t, ExitOK, code, "the file in force may be applied again: %s", errOut)
	require.Equal(t, "0 differences from "+vm.address+", version 1\n-: 0 errors, 0 warnings\n", out)

	for _, c := range []struct {
		args []string
		want string
	}{
		{[]string{"--admin", empty.address}, "has no configuration in force"},
		{[]string{"--admin", "127.0.0.1:1"}, "does not answer"},
		{[]string{"--admin", vm.address, "--control", vm.address}, "not --control"},
	} {
		code, _, errOut := run(t, string(text), append([]string{"config", "check", "-", "--running"}, c.args...)...)
		require.Equal(t, ExitUsage, code)
		require.Contains(t, errOut, c.want)
	}
}

// TestConfigCheck_ListsAllErrors guards against exit code 0 for a file that apply refuses, and
// against secrets in the messages.
func TestConfigCheck_ListsAllErrors(t *testing.T) {
	text := strings.NewReplacer(`"burst": 40`, `"burst": 0.5`, exampleHash, "BA78"+exampleHash[4:], exampleSecret, "short-secret").Replace(nextExample(t))
	code, out, errOut := run(t, text, "config", "check", "-")
	require.Equal(t, ExitFailed, code, errOut)
	require.Equal(t, 3, strings.Count(out, ": error: "), out)
	require.Contains(t, out, "client_accounts[0].burst: impossible value 0.5; allowed: at least 1")
	require.Contains(t, out, "client_accounts[0].keys[0].sha256: impossible value (not shown)")
	require.Contains(t, out, "upstreams[0].secret: impossible value (not shown)")
	require.True(t, strings.HasSuffix(out, "-: 3 errors, 0 warnings\n"))
	for _, args := range [][]string{{"config"}, {"config", "check"}, {"config", "check", "-", "--against", "-"}, {"config", "check", "none.json"}} {
		code, _, _ := run(t, text, args...)
		require.Equal(t, ExitUsage, code, args)
	}
}
