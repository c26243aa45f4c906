package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"egretramp/internal/control"
)

// randomFile draws an operators' file; with oddness above 0 one value in so many is odd.
func randomFile(t *rapid.T, oddness int) []byte {
	odd := rapid.SampledFrom([]any{nil, "", "?", -1, 0, 1.5, true, []any{}, []any{1}, map[string]any{"a": 1}})
	value := func(label string, sound ...any) any {
		if oddness > 0 && rapid.IntRange(1, oddness).Draw(t, label+" is odd") == 1 {
			return odd.Draw(t, label)
		}
		return rapid.SampledFrom(sound).Draw(t, label)
	}
	hash := func(digit int) string { return strings.Repeat(fmt.Sprint(digit), 64) }
	var accounts []any
	for i := range 2 {
		key := map[string]any{"id": value("key", fmt.Sprint("k", i), fmt.Sprint("k", i), fmt.Sprint("n", i)), "sha256": value("hash", hash(i), hash(i), hash(i+4))}
		accounts = append(accounts, map[string]any{"id": value("account", fmt.Sprint("a", i)), "rate_per_second": value("rate", 1, 2.5), "burst": value("burst", 1, 9), "keys": value("keys", []any{key}, []any{})})
	}
	text, err := json.MarshalIndent(map[string]any{
		"generation": value("generation", 2, 3, 3), "schemes": []any{}, "client_accounts": value("accounts", accounts),
		"models": value("models", []any{map[string]any{"id": "m"}}), "services": []any{map[string]any{"id": value("service", "s")}},
		"routes":    []any{map[string]any{"id": "r", "model": value("route", "m", "*"), "accounts": value("of", []any{"a0"}, []any{})}},
		"upstreams": []any{map[string]any{"id": "u", "kind": value("kind", "engine", "service"), "secret": value("secret", "0123456789abcdef")}},
	}, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// accepts reports whether the control group puts a file in force after another.
func accepts(t *rapid.T, inForce, text []byte) bool {
	machine := control.New()
	for i, text := range [][]byte{inForce, text} {
		command, err := control.NewApplyConfig("f", text, "ana", "")
		if err != nil {
			return false
		}
		data, err := command.Encode()
		if err != nil {
			t.Fatal(err)
		}
		result, err := control.DecodeResult(machine.Apply(uint64(i+1), data))
		if err != nil {
			t.Fatal(err)
		}
		if result.Refusal != nil {
			return false
		}
	}
	return true
}

// TestConfigCheck_AgreesWithTheControlGroup guards against a file that passes the check and is
// refused when it is applied, and against one that is accepted and doesn't pass.
func TestConfigCheck_AgreesWithTheControlGroup(t *testing.T) {
	path := filepath.Join(t.TempDir(), "in-force.json")
	accepted, refused := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		inForce := randomFile(t, 0)
		text := randomFile(t, rapid.SampledFrom([]int{0, 30}).Draw(t, "oddness"))
		if err := os.WriteFile(path, inForce, 0o600); err != nil {
			t.Fatal(err)
		}
		var out, errOut bytes.Buffer
		streams := Streams{In: bytes.NewReader(text), Out: &out, Err: &errOut}
		code := Run(context.Background(), []string{"config", "check", "-", "--against", path}, streams)
		want := ExitFailed
		if accepts(t, inForce, text) {
			want = ExitOK
			accepted++
		} else {
			refused++
		}
		if code != want {
			t.Fatalf("exit code %d, want %d: %s%s", code, want, &out, &errOut)
		}
	})
	if !t.Failed() {
		require.Positive(t, accepted, "the files are all refused")
		require.Positive(t, refused, "the files are all accepted")
		t.Logf("%d accepted, %d refused", accepted, refused)
	}
}
