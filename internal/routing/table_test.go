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

// TestCompile_CollectsAllProblems guards against checks that stop at the first problem, and against
// problems reported at another entry than the one that has them.
func TestCompile_CollectsAllProblems(t *testing.T) {
	table := valid()
	table.Services = append(table.Services, Service{Name: "app"}, Service{})
	table.Routes[0].Timeout, table.Routes[0].Targets[0].Service = 0, "none"
	table.Routes[1].Targets = []Target{{"models", -1}, {"app", maxWeight + 1}}
	table.Routes[2].PathPrefix = "/x"
	table.Routes = append(table.Routes,
		Route{Name: "again", Host: "A.example", PathPrefix: "/", Timeout: 1, Targets: []Target{{"app", 1}}},
		Route{Name: "empty", PathPrefix: "/", Timeout: 1},
		Route{Name: "weightless", Host: "b", PathPrefix: "/", Timeout: 1, Targets: []Target{{"app", 0}}})
	table.Accounts[1].Keys = []string{"k3", "k1"}
	_, err := Compile(table)
	var problems Problems
	require.ErrorAs(t, err, &problems)
	require.Equal(t, Problems{
		{Place{SectionServices, 2, FieldName, 0}, "app", `the name "app" is empty or stands twice`},
		{Place{SectionServices, 3, FieldName, 0}, "", `the name "" is empty or stands twice`},
		{Place{SectionRoutes, 0, FieldTimeout, 0}, "all", "the timeout must be above 0"},
		{Place{SectionRoutes, 0, FieldTarget, 0}, "all", `service "none" is unknown`},
		{Place{SectionRoutes, 1, FieldWeight, 0}, "deep", `service "models": the weight -1 is not between 0 and 2147483648`},
		{Place{SectionRoutes, 1, FieldWeight, 1}, "deep", `service "app": the weight 2147483649 is not between 0 and 2147483648`},
		{Place{SectionRoutes, 2, FieldPathPrefix, 0}, "x", `the path prefix "/x" does not begin and end with a slash`},
		{Place{SectionRoutes, 3, FieldPathPrefix, 0}, "again", `route "all" has the same host and path prefix`},
		{Place{SectionRoutes, 4, FieldTargets, 0}, "empty", "the route names no service"},
		{Place{SectionRoutes, 4, FieldHost, 0}, "empty", "the host is empty"},
		{Place{SectionRoutes, 5, FieldTargets, 0}, "weightless", "the weights add up to 0"},
		{Place{SectionAccounts, 1, FieldKey, 1}, "two", "key " + KeyLabel("k1") + ` stands twice, it is also a key of account "one"`},
	}, problems)
	require.EqualError(t, err, `services[2] (app): the name "app" is empty or stands twice (and 11 more problems)`)
	require.NotContains(t, KeyLabel("k1"), "k1")
}

// TestCompile_BoundsTheProblems guards against a table whose entries all have problems: their
// messages would need more memory than the table.
func TestCompile_BoundsTheProblems(t *testing.T) {
	_, err := Compile(Table{Routes: make([]Route, MaxProblems)})
	require.Len(t, err, MaxProblems)
}
