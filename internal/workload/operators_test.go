package workload

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"egretramp/internal/config"
)

func TestOperatorsFile_HoldsNoKeyAndAllNames(t *testing.T) {
	list := []Deployment{Bajio(), Colombo()}
	f := OperatorsFile(3, []config.UpstreamClass{{ID: "c", Kind: config.KindEngine, Secret: "sixteen characters"}}, list...)
	require.Len(t, f.ClientAccounts, 16)
	data, err := json.Marshal(f)
	require.NoError(t, err)
	_, err = config.Parse("operators.json", data)
	require.NoError(t, err)
	for id, key := range Keys(list...) {
		require.NotContains(t, string(data), key)
		require.Positive(t, Bounds(list...)[id].RatePerSecond)
	}
	taken := map[string]bool{}
	for _, a := range f.ClientAccounts {
		for _, n := range AllNames(a.Named) {
			require.False(t, taken[n])
			taken[n] = true
		}
	}
	open := 0
	for _, r := range f.Routes {
		if r.Open {
			open++
			require.Equal(t, OpenPath, r.PathPrefix)
		}
	}
	require.Equal(t, 2, open)
}

func TestProgram_RenameKeepsBodiesUnique(t *testing.T) {
	draw := func(name string) *Program {
		g := NewGenerator(1, Colombo())
		p := g.Next()
		p.Steps[0].Child = g.child(p)
		p.Rename(name)
		return p
	}
	a, b := draw("x"), draw("y")
	require.Equal(t, "x", a.Steps[0].Child.Parent)
	require.Equal(t, "x-sub", a.Steps[0].Child.Name)
	for i, s := range a.Steps {
		if s.Kind == Service {
			require.NotEqual(t, string(s.Body), string(b.Steps[i].Body))
		}
	}
}
