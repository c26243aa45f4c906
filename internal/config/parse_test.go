package config

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"egretramp/internal/jsonfile"
)

var example = `{
  "generation": 3,
  "schemes": ["old", "mid", "new"],
  "client_accounts": [
    {"id": "opera", "names": {"old": "OP/1", "new": "opera"}, "rate_per_second": 5, "burst": 10,
     "keys": [{"id": "k1", "sha256": "` + HashKey("opera-key") + `"}]},
    {"id": "carnival", "names": {"old": "CA/1"}, "rate_per_second": 5, "burst": 10, "cutoff_limit_seconds": 60, "keys": []},
  ],
  "models": [{"id": "large", "names": {"old": "L"}}, {"id": "small"}],
  "services": [{"id": "desk", "names": {"mid": "Desk:1"}}],
  "routes": [
    {"id": "r1", "model": "L", "accounts": ["OP/1"]},
    {"id": "r2", "service": "Desk:1", "path_prefix": "/hours", "open": true},
    {"id": "r3", "service": "desk", "accounts": ["carnival"]},
    {"id": "r4", "service": "desk", "path_prefix": "/admin/", "accounts": ["opera"]},
    {"id": "r5", "service": "desk", "path_prefix": "/members"},
  ],
  "upstreams": [{"id": "engines", "kind": "engine", "secret": "0123456789abcdef", "serves": ["L"]}],
}`

func TestParse_AcceptsAndFillsDefaults(t *testing.T) {
	f, err := Parse("f", []byte(example))
	require.NoError(t, err)
	require.EqualValues(t, 600, f.ClientAccounts[0].CutoffLimitSeconds)
	require.EqualValues(t, 60, f.ClientAccounts[1].CutoffLimitSeconds)
	require.EqualValues(t, 1_000_000, f.ClientAccounts[0].ProgramTokens)
	require.EqualValues(t, 1, f.ClientAccounts[0].Weight)
	require.EqualValues(t, 1_024, f.Models[0].MaxTokens)
	require.EqualValues(t, 64, f.Services[0].Concurrency)
}

func TestParse_RejectsConflicts(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`"CA/1"`, `"opera"`, `f:7:41: client_accounts[1].names.old: name "opera" of "carnival" in scheme "old" is also the ID of "opera"`},
		{`"CA/1"`, `"OP/1"`, `name "OP/1" of "carnival" in scheme "old" is also the name of "opera" in scheme "old"`},
		{`{"old": "CA/1"}`, `{"ol": "CA/1"}`, `client_accounts[1].names.ol: scheme "ol" is not declared; allowed: old, mid, new`},
		{`"schemes": ["old",`, `"schemes": ["old", "older",`, `schemes: 4 naming schemes; allowed: at most 3`},
		{`"id": "small"`, `"id": "large"`, `models[1].id: ID "large" stands here twice`},
		{`"keys": []`, `"keys": [{"id": "k1", "sha256": "` + HashKey("x") + `"}]`, `key "k1" of account "carnival" is also a key of account "opera"`},
		{`"keys": []`, `"keys": [{"id": "k2", "sha256": "` + HashKey("opera-key") + `"}]`, `key "k2" has the same hash as key "k1"`},
		{`"burst": 10,`, `"burst": 0.5,`, `client_accounts[0].burst: impossible value 0.5; allowed: at least 1`},
		{`"model": "L"`, `"model": "XL"`, `routes[0].model: no model has the ID or name "XL"`},
		{`"model": "L"`, `"model": "L", "service": "desk"`, `routes[0]: the route has both a model and a service`},
		{`"model": "L"`, `"model": "L", "path_prefix": "/x"`, `routes[0].path_prefix: a route to a model has no path`},
		{`"model": "L", "accounts": ["OP/1"]`, `"model": "*", "open": true`, `routes[0].open: a route to a model can't be open`},
		{`"model": "L", "accounts": ["OP/1"]`, `"accounts": ["OP/1"]`, `routes[0]: the route has no model and no service`},
		{`"open": true`, `"open": true, "accounts": ["opera"]`, `routes[1].accounts: an open route lets every caller in`},
		{`"accounts": ["carnival"]`, `"accounts": ["opera", "nobody"]`, `routes[2].accounts[1]: no client account has the ID or name "nobody"`},
		{`"path_prefix": "/admin/", "accounts": ["opera"]`, `"path_prefix": "/"`, `routes[3]: route "r4" decides calls that route "r3" decides as well`},
		{`"path_prefix": "/admin/"`, `"path_prefix": "/hours/"`, `routes[3]: route "r4" decides calls that route "r2" decides as well`},
		{`"id": "r3"`, `"id": "r2"`, `routes[2].id: ID "r2" stands here twice`},
		{`0123456789abcdef`, `short`, `upstreams[0].secret: impossible value (not shown)`},
		{`"serves": ["L"]`, `"serves": ["desk"]`, `upstreams[0].serves[0]: no model has the ID or name "desk"`},
		{`"kind": "engine"`, `"kind": "weight_store"`, `upstreams[0].serves: a weight store serves no models or services`},
	} {
		require.Contains(t, example, c.old)
		_, err := Parse("f", []byte(strings.Replace(example, c.old, c.new, 1)))
		require.ErrorContains(t, err, c.want)
		require.Len(t, err.(jsonfile.Problems), 1, "%s", err)
	}
}

// largestFile returns a file with as many accounts as the largest deployment, 9,900, each with three
// names and two keys.
func largestFile() []byte {
	var accounts []string
	for i := range 9_900 {
		accounts = append(accounts, fmt.Sprintf(`{"id": "account-%d", "names": {"old": "OLD/%d", "mid": "mid:%d", "new": "New-%d"},
			"rate_per_second": 5, "burst": 10, "keys": [{"id": "k%d-1", "sha256": %q}, {"id": "k%d-2", "sha256": %q}]}`,
			i, i, i, i, i, HashKey(fmt.Sprint(i)), i, HashKey(fmt.Sprint(-i-1))))
	}
	return []byte(`{"generation": 1, "schemes": ["old", "mid", "new"], "models": [], "services": [], "routes": [], "upstreams": [],
		"client_accounts": [` + strings.Join(accounts, ",\n") + `]}`)
}

func TestParse_LargestDeploymentFits(t *testing.T) {
	f, err := Parse("f", largestFile())
	require.NoError(t, err)
	a, ok := Compile(f).Account("New-9000")
	require.True(t, ok)
	require.Equal(t, "account-9000", a.ID)
}

func BenchmarkParseAndCompile_LargestDeployment(b *testing.B) {
	text := largestFile()
	b.SetBytes(int64(len(text)))
	for b.Loop() {
		f, err := Parse("f", text)
		if err != nil {
			b.Fatal(err)
		}
		Compile(f)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(example))
	f.Add([]byte(`{"routes": [{"id": "a", "service": "b", "accounts": []}], "models": null}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		file, err := Parse("f", text)
		if err == nil {
			Compile(file)
			return
		}
		for _, p := range err.(jsonfile.Problems) {
			require.NotEmpty(t, p.Message)
			require.Positive(t, p.Line)
			require.Positive(t, p.Column)
		}
	})
}
