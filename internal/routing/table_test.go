package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func valid() Table {
	return Table{
		Version:  3,
		Services: []Service{{Name: "models"}, {Name: "app"}},
		Routes: []Route{
			{Name: "all", Host: "a.example", PathPrefix: "/", Timeout: time.Second, Targets: []Target{{"app", 1}}},
			{Name: "deep", Host: "a.example", PathPrefix: "/x/y/", Timeout: time.Second, Targets: []Target{{"models", 9}, {"app", 1}}},
			{Name: "x", Host: "a.example", PathPrefix: "/x/", Timeout: time.Second, Targets: []Target{{"app", 1}}},
		},
		Accounts: []Account{{Name: "one", Keys: []string{"k1", "k2"}}, {Name: "two", Keys: []string{"k3"}}},
	}
}

func TestCompile_FindsLongestPrefix(t *testing.T) {
	s, err := Compile(valid())
	require.NoError(t, err)
	for _, c := range []struct{ host, path, route string }{
		{"a.example", "/x/y/z", "deep"}, {"A.example:80", "/x/yy", "x"}, {"a.example", "/x/y", "x"},
		{"a.example", "/x", "all"}, {"b.example", "/", ""},
	} {
		r, ok := s.Route(c.host, c.path)
		require.Equal(t, c.route != "", ok, c)
		if ok {
			require.Equal(t, c.route, r.Name, c)
		}
	}
	account, ok := s.Account("k2")
	require.True(t, ok)
	require.Equal(t, "one", account.Name)
	_, ok = s.Account("")
	require.False(t, ok)
}

func TestCompile_RejectsInvalidTables(t *testing.T) {
	for name, change := range map[string]func(*Table){
		"unknown service":            func(t *Table) { t.Routes[0].Targets[0].Service = "none" },
		"same host and prefix":       func(t *Table) { t.Routes[2].PathPrefix = "/x/y/" },
		"no weight":                  func(t *Table) { t.Routes[1].Targets = []Target{{"models", 0}, {"app", 0}} },
		"no target":                  func(t *Table) { t.Routes[1].Targets = nil },
		"negative weight":            func(t *Table) { t.Routes[1].Targets[0].Weight = -1 },
		"no timeout":                 func(t *Table) { t.Routes[1].Timeout = 0 },
		"prefix without final slash": func(t *Table) { t.Routes[1].PathPrefix = "/x" },
		"shared key":                 func(t *Table) { t.Accounts[1].Keys = []string{"k1"} },
		"duplicate service":          func(t *Table) { t.Services[1].Name = "models" },
		"nameless service":           func(t *Table) { t.Services[1].Name = "" },
	} {
		table := valid()
		change(&table)
		_, err := Compile(table)
		require.Error(t, err, name)
	}
}

func TestRoute_PicksByWeight(t *testing.T) {
	s, err := Compile(valid())
	require.NoError(t, err)
	r, _ := s.Route("a.example", "/x/y/")
	counts := map[string]int{}
	for i := range 1000 {
		counts[r.Pick(float64(i)/1000)]++
	}
	require.Equal(t, map[string]int{"models": 900, "app": 100}, counts)
}
