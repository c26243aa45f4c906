package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

const settingsExample = `{"vm": "a1", "zone": "a", /* no disk */
 "listen": {"callers": "127.0.0.1:80", "upstreams": "127.0.0.1:81", "peers": "127.0.0.1:82", "admin": "127.0.0.1:83"},
 "peers": [{"vm": "a1", "zone": "a", "address": "127.0.0.1:82"}, {"vm": "b1", "zone": "b", "address": "127.0.0.2:82", "control": true}]}`

// documentedSettings is the path of the example settings in the operators' documentation.
const documentedSettings = "../../docs/examples/settings.json"

func TestReadCommandLine(t *testing.T) {
	folder := t.TempDir()
	good, bad := filepath.Join(folder, "good.json"), filepath.Join(folder, "bad.json")
	require.NoError(t, os.WriteFile(good, []byte(settingsExample), 0o600))
	require.NoError(t, os.WriteFile(bad, []byte("{\n\"vm\": 1, \"zonen\": \"a\"}"), 0o600))
	for _, c := range []struct {
		args     []string
		runs     bool
		code     int
		out, err string
	}{
		{[]string{"--settings", good}, true, exitOK, "", ""},
		{[]string{"--settings", good, "--check-settings"}, false, exitOK, "no problems; VM a1 in zone a", ""},
		{[]string{"--settings", documentedSettings, "--check-settings"}, false, exitOK, "no problems; VM north-1 in zone north", ""},
		{[]string{"--settings", bad, "--check-settings"}, false, exitUsage, "", bad + ":2:10: zonen: unknown field"},
		{[]string{"--settings", bad}, false, exitUsage, "", bad + ":2:7: vm: wrong type"},
		{[]string{"--settings", bad + "x"}, false, exitUsage, "", "no such file"},
		{[]string{"--version"}, false, exitOK, "egretrampd 0", ""},
		{[]string{"--help"}, false, exitOK, "--check-settings", ""},
		{[]string{}, false, exitUsage, "", "--settings FILE"},
		{[]string{"--settings", good, "more"}, false, exitUsage, "", `unexpected argument "more"`},
		{[]string{"--wrong"}, false, exitUsage, "", "unknown flag"},
	} {
		var out, errOut bytes.Buffer
		s, code := readCommandLine(c.args, &out, &errOut)
		require.Equal(t, c.runs, s != nil, c.args)
		require.Equal(t, c.code, code, c.args)
		require.Contains(t, out.String(), c.out)
		require.Contains(t, errOut.String(), c.err)
	}
}
