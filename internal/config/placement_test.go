package config

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const placementText = `{
	"generation": 1, "schemes": ["desk"], "client_accounts": [], "services": [], "routes": [],
	"models": [
		{"id": "base", "names": {"desk": "BASE"}, "memory_mb": 100},
		{"id": "fine", "adapter_of": "BASE"},
		{"id": "other"}
	],
	"upstreams": [
		{"id": "some", "kind": "engine", "secret": "0123456789abcdef", "serves": ["BASE"]},
		{"id": "all", "kind": "engine", "secret": "0123456789abcdef"}
	],
	"placement": {"enabled": true, "load_timeout_seconds": 300}
}`

func TestPlacement_Defaults(t *testing.T) {
	f, err := Parse("f", []byte(placementText))
	require.NoError(t, err)
	require.Equal(t, Placement{
		Enabled: true, LoadsUnderWay: 2, LoadsPerSecond: 0.5, LoadTimeoutSeconds: 300, MinChangeSeconds: 300,
		PressedSeconds: 3, IdleSeconds: 30, PlanSeconds: 5,
	}, f.Placement)
	s := Compile(f)
	require.True(t, s.MayServe("some", "base") && s.MayServe("all", "other"))
	require.False(t, s.MayServe("some", "other") || s.MayServe("none", "base") || s.MayServe("all", "none"))
	without, err := Parse("f", []byte(strings.Replace(placementText, `"enabled": true, `, "", 1)))
	require.NoError(t, err)
	require.False(t, without.Placement.Enabled)
}

func TestPlacement_ReportsPositionsOfProblems(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`"load_timeout_seconds": 300`, `"min_change_seconds": 1`, "f:12:55: "},
		{`"adapter_of": "BASE"`, `"adapter_of": "none"`, "f:5:32: "},
		{`"adapter_of": "BASE"`, `"adapter_of": "fine"`, "f:5:32: "},
		{`"enabled": true`, `"enabled": 1`, "f:12:27: "},
		{`"memory_mb": 100`, `"memory_mb": 0`, "f:4:58: "},
	} {
		_, err := Parse("f", []byte(strings.Replace(placementText, c.old, c.new, 1)))
		require.ErrorContains(t, err, c.want)
	}
}
