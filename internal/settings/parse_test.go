package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"egretramp/internal/jsonfile"
)

const example = `{
  "vm": "a1", "zone": "a", // where it stands
  "listen": {"callers": "0.0.0.0:80", "upstreams": "10.0.0.1:81", "peers": "0.0.0.0:82", "admin": "127.0.0.1:83"},
  "data_folder": "/var/lib/egretramp",
  "peers": [
    {"vm": "a1", "zone": "a", "address": "10.0.0.1:82", "control": true},
    {"vm": "b1", "zone": "b", "address": "10.0.0.2:82"},
  ],
}`

func TestLoad_FillsDefaults(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	require.NoError(t, os.WriteFile(path, []byte(example), 0o600))
	s, err := Load(path)
	require.NoError(t, err)
	require.Equal(t, "info", s.LogLevel)
	require.EqualValues(t, 600, s.ShutdownLimitSeconds)
	require.Equal(t, Peer{VM: "b1", Zone: "b", Address: "10.0.0.2:82"}, s.Peers[1])

	_, err = Load(path + "x")
	require.ErrorIs(t, err, os.ErrNotExist)
}

func TestParse_RejectsConflicts(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`"callers": "0.0.0.0:80"`, `"callers": "127.0.0.1:83"`, `s:3:101: listen.admin: 127.0.0.1:83 is already the address of "callers"`},
		{`"vm": "b1"`, `"vm": "a1"`, `s:7:12: peers[1].vm: VM "a1" stands here twice`},
		{`10.0.0.2:82`, `0.0.0.0:82`, `s:7:42: peers[1].address: other VMs can't connect to 0.0.0.0:82`},
		{`10.0.0.2:82`, `10.0.0.1:82`, `s:7:42: peers[1].address: 10.0.0.1:82 stands here twice`},
		{`"control": true`, `"control": false`, `s:5:12: peers: no peer has the control role`},
		{`"data_folder": "/var/lib/egretramp",`, ``, `s:6:68: peers[0].control: this VM has the control role but no data_folder`},
		{`{"vm": "a1", "zone": "a"`, `{"vm": "a1", "zone": "b"`, `s:6:26: peers[0].zone: zone "b" differs from this VM's zone "a"`},
		{`{"vm": "a1"`, `{"vm": "a2"`, `s:5:12: peers: this VM, "a1", is not among the peers`},
		{`"peers": "0.0.0.0:82"`, `"peers": "0.0.0.0:84"`, `s:6:42: peers[0].address: this VM listens for other VMs on 0.0.0.0:84`},
		{`"log_level"`, `"log_level"`, ``},
	} {
		_, err := Parse("s", []byte(strings.Replace(example, c.old, c.new, 1)))
		if c.want == "" {
			require.NoError(t, err)
			continue
		}
		require.ErrorContains(t, err, c.want)
		require.Len(t, err.(jsonfile.Problems), 1)
	}
}

func TestParse_ReportsSchemaProblemsAndConflictsTogether(t *testing.T) {
	text := strings.Replace(example, `"vm": "a1", "zone": "a", //`, `"vm": "a9", "zone": "A", "log_level": "all", //`, 1)
	_, err := Parse("s", []byte(text))
	require.Len(t, err.(jsonfile.Problems), 3)
}
