package configlint

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"egretramp/internal/config"
)

const fileText = `{
  "generation": 4, "schemes": ["s"], "upstreams": [{"id": "up", "kind": "service", "secret": "a-secret-of-16-characters"}],
  "client_accounts": [
    {"id": "one", "names": {"s": "One"}, "rate_per_second": 10, "burst": 20, "keys": [{"id": "k1", "sha256": "HASH1"}]},
    {"id": "two", "rate_per_second": 10, "burst": 20, "keys": [{"id": "k2", "sha256": "HASH2"}]}],
  "models": [{"id": "m"}],
  "services": [{"id": "app"}],
  "routes": [{"id": "r1", "model": "m", "accounts": ["One"]}, {"id": "r2", "service": "app"}]}`

func parse(t *testing.T, replacements ...string) *config.File {
	t.Helper()
	text := strings.NewReplacer(replacements...).Replace(fileText)
	text = strings.NewReplacer("HASH1", strings.Repeat("1", 64), "HASH2", strings.Repeat("2", 64), "HASH3", strings.Repeat("3", 64)).Replace(text)
	file, err := config.Parse("f", []byte(text))
	require.NoError(t, err)
	return file
}

func TestFile(t *testing.T) {
	require.Empty(t, File(parse(t)))
	for _, c := range []struct{ old, new, want string }{
		{`{"id": "r2", "service": "app"}`, `{"id": "r2", "model": "*"}`, `[services 0 id] no route leads to service "app"`},
		{`"model": "m"`, `"service": "app", "path_prefix": "/x"`, `[models 0 id] no route leads to model "m"`},
		{`[{"id": "k2", "sha256": "HASH2"}]`, `[]`, `[client_accounts 1 keys] account "two" has no keys, nobody can use it`},
		{`{"id": "r2",`, `{"id": "r3", "model": "m", "accounts": ["one"]}, {"id": "r2",`,
			`[routes 1] route "r3" never decides: route "r1", which stands before it, has the same model and accounts`},
		{`{"id": "r2",`, `{"id": "r3", "model": "m", "accounts": ["one", "two"]}, {"id": "r2",`, ``},
	} {
		var got []string
		for _, f := range File(parse(t, c.old, c.new)) {
			got = append(got, fmt.Sprint(f.Path, " ", f.Message))
		}
		require.Equal(t, c.want, strings.Join(got, "\n"), c.new)
	}
	findings := File(parse(t, `[{"id": "k1", "sha256": "HASH1"}]`, `[]`))
	require.Len(t, findings, 2)
	require.Equal(t, `nobody can use route "r1": its accounts have no keys`, findings[1].Message)
}

func TestDiffFiles(t *testing.T) {
	old := parse(t)
	changed := parse(t, `"rate_per_second": 10, "burst": 20, "keys": [{"id": "k1"`, `"rate_per_second": 9, "burst": 20, "keys": [{"id": "k3"`, "HASH1", "HASH3",
		`"service": "app"}]`, `"service": "app", "path_prefix": "/x"}]`, `[{"id": "k2", "sha256": "HASH2"}]`, `[{"id": "k2", "sha256": "HASH2"}, {"id": "k1", "sha256": "HASH1"}]`)
	want := []string{
		"route changed: r2: path prefix from / to /x",
		"account limit lowered: one: rate from 10/s to 9/s",
		"key moved: k1: from account one to two",
		"key added: k3: of account one",
	}
	changed.ClientAccounts[1].Keys[1].SHA256 = old.ClientAccounts[0].Keys[0].SHA256
	require.Equal(t, want, lines(DiffFiles(old, changed)))
	require.Equal(t, want, lines(DiffFiles(old.Redact(), changed)), "as the administration API returns the file in force")
	require.Empty(t, DiffFiles(old, old.Redact()))
}

// TestRefusedAfter guards against a file that passes the check and is refused by the control group.
func TestRefusedAfter(t *testing.T) {
	old := parse(t)
	for _, c := range []struct {
		replace []string
		want    string
	}{
		{[]string{`"generation": 4`, `"generation": 5`}, ""},
		{nil, "generation 4 is not above generation 4 in force"},
		{[]string{`"generation": 4`, `"generation": 5`, "HASH2", "HASH3"}, `key "k2" has another hash or ID in force; give a new key a new ID`},
		{[]string{`"generation": 4`, `"generation": 5`, `"k2"`, `"k3"`}, `key "k3" has another hash or ID in force; give a new key a new ID`},
	} {
		var got []string
		for _, f := range RefusedAfter(old, parse(t, c.replace...)) {
			got = append(got, f.Message)
		}
		require.Equal(t, c.want, strings.Join(got, "\n"))
	}
	require.Empty(t, RefusedAfter(old.Redact(), parse(t, `"generation": 4`, `"generation": 5`, "HASH2", "HASH3")), "hashes in force are unknown")
}
