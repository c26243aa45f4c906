package configlint

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"egretramp/internal/routing"
)

func lines(changes []Change) []string {
	var lines []string
	for _, c := range changes {
		lines = append(lines, c.String())
	}
	return lines
}

func TestDiff(t *testing.T) {
	old, changed := table(), table()
	changed.Version++
	changed.Routes[0].Timeout = time.Second
	changed.Routes[0].Targets = []routing.Target{{Service: "models", Weight: 1}}
	changed.Routes[1].PathPrefix = "/new/"
	changed.Services[0].Engine = nil
	changed.Services[1].Name = "tool"
	changed.Accounts[0].Rate, changed.Accounts[0].Burst = 5, 30
	changed.Accounts[0].Keys = []string{"secret-k1", "secret-k4"}
	changed.Accounts[1].Rate, changed.Accounts[1].Burst = 1, 1
	changed.Accounts = append(changed.Accounts, routing.Account{Name: "three", Keys: []string{"secret-k3"}})
	changed.Accounts[1].Keys = nil
	require.Equal(t, []string{
		"route removed: [::1]/",
		"route added: [::1]/new/",
		"route changed: a.example/t/: timeout from 3s to 1s, services from models (9) + app (1) to models",
		"service removed: app",
		"service changed: models: engine from 6 slots, 0 KV tokens, 0 tokens per event to none",
		"service added: tool",
		"account limit lowered: one: rate from 10/s to 5/s, burst from 20 to 30",
		"account added: three",
		"account limit lowered: two: rate from unlimited to 1/s",
		"key moved: " + routing.KeyLabel("secret-k3") + ": from account two to three",
		"key withdrawn: " + routing.KeyLabel("secret-k2") + ": of account one",
		"key added: " + routing.KeyLabel("secret-k4") + ": of account one",
	}, sortedLike(lines(Diff(old, changed))))
	require.Empty(t, Diff(old, old))
	require.Contains(t, lines(Diff(changed, old)), "account limit lowered: one: rate from 5/s to 10/s, burst from 30 to 20", "a burst that falls is a lower limit")
}

// sortedLike puts the keys, whose hashes give no readable order, in the order of their actions.
func sortedLike(lines []string) []string {
	order := []string{"key moved", "key withdrawn", "key added"}
	at := func(line string) int {
		return slices.IndexFunc(order, func(prefix string) bool { return len(line) > len(prefix) && line[:len(prefix)] == prefix })
	}
	slices.SortStableFunc(lines, func(a, b string) int { return at(a) - at(b) })
	return lines
}

// TestDiff_SeesEachField guards against fields added to a table that the comparison doesn't know: a
// change of them would not be listed. Add them to tableEntries.
func TestDiff_SeesEachField(t *testing.T) {
	parts := map[string]func(*routing.Table) any{
		"route":   func(t *routing.Table) any { return &t.Routes[0] },
		"service": func(t *routing.Table) any { return &t.Services[0] },
		"engine":  func(t *routing.Table) any { return t.Services[0].Engine },
		"account": func(t *routing.Table) any { return &t.Accounts[0] },
		"limits":  func(t *routing.Table) any { return &t.Limits },
		"target":  func(t *routing.Table) any { return &t.Routes[0].Targets[0] },
	}
	for name, part := range parts {
		probe := table()
		for i := range reflect.ValueOf(part(&probe)).Elem().NumField() {
			changed := table()
			value := reflect.ValueOf(part(&changed)).Elem()
			changeField(value.Field(i))
			require.NotEmpty(t, Diff(table(), changed), "%s.%s", name, value.Type().Field(i).Name)
		}
	}
}

func changeField(v reflect.Value) {
	switch v.Kind() {
	case reflect.String:
		v.SetString(v.String() + "x")
	case reflect.Bool:
		v.SetBool(!v.Bool())
	case reflect.Int, reflect.Int64:
		v.SetInt(v.Int() + 1)
	case reflect.Float64:
		v.SetFloat(v.Float() + 1)
	default:
		v.SetZero()
	}
}

// TestDiff_IsSymmetric guards against changes that are listed in one direction only, such as a key
// that is neither withdrawn nor moved although it no longer opens its account.
func TestDiff_IsSymmetric(t *testing.T) {
	generate := rapid.Custom(func(t *rapid.T) routing.Table {
		var table routing.Table
		for k := range 6 {
			account := rapid.IntRange(0, 3).Draw(t, "account")
			for len(table.Accounts) < account {
				table.Accounts = append(table.Accounts, routing.Account{
					Name: fmt.Sprint("a", len(table.Accounts)), Rate: float64(rapid.IntRange(0, 2).Draw(t, "rate")), Burst: float64(rapid.IntRange(0, 2).Draw(t, "burst")),
				})
			}
			if account > 0 {
				table.Accounts[account-1].Keys = append(table.Accounts[account-1].Keys, fmt.Sprint("k", k))
			}
		}
		return table
	})
	inverse := map[Action]Action{Added: Removed, Removed: Added, Changed: Changed, Withdrawn: Added, Moved: Moved, Lowered: Raised, Raised: Lowered}
	rapid.Check(t, func(t *rapid.T) {
		a, b := generate.Draw(t, "a"), generate.Draw(t, "b")
		forth, back := Diff(a, b), Diff(b, a)
		if len(forth) != len(back) {
			t.Fatalf("%v and back %v", lines(forth), lines(back))
		}
		for i, c := range forth {
			want := inverse[c.Action]
			mixed := c.Action == Lowered || c.Action == Raised // a rate may fall while the burst rises
			if c.Kind == KindKey && c.Action == Added {
				want = Withdrawn
			}
			if !mixed && !slices.ContainsFunc(back, func(o Change) bool { return o.Kind == c.Kind && o.Name == c.Name && o.Action == want }) {
				t.Fatalf("%v has no counterpart in %v", forth[i], lines(back))
			}
		}
	})
}
