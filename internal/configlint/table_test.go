package configlint

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretramp/internal/routing"
)

func table() routing.Table {
	return routing.Table{
		Version:  3,
		Services: []routing.Service{{Name: "models", Engine: &routing.Engine{Slots: 6}}, {Name: "app"}},
		Routes: []routing.Route{
			{Name: "turns", Host: "a.example", PathPrefix: "/t/", Kind: routing.Streaming, Timeout: 3 * time.Second, TargetLatency: time.Second,
				EventGap: time.Second, Priority: 1, MaxAttempts: 3, Stateful: true, Retention: time.Minute, Resumable: true,
				Targets: []routing.Target{{Service: "models", Weight: 9}, {Service: "app", Weight: 1}}},
			{Name: "app", Host: "[::1]", PathPrefix: "/", Timeout: time.Second, Targets: []routing.Target{{Service: "app", Weight: 1}}, Priority: 7, Anonymous: true},
		},
		Accounts: []routing.Account{
			{Name: "one", Keys: []string{"secret-k1", "secret-k2"}, Priority: 1, Rate: 10, Burst: 20},
			{Name: "two", Keys: []string{"secret-k3"}, Priority: 2},
		},
	}
}

// TestTable names for each change the findings that it causes. It guards against findings about
// sound tables as much as against missing ones.
func TestTable(t *testing.T) {
	require.Empty(t, Table(table()))
	for _, c := range []struct {
		change func(*routing.Table)
		place  routing.Place
		want   string
	}{
		{func(t *routing.Table) { t.Version = 0 }, routing.Place{Field: routing.FieldVersion}, "version 0 never comes into force, the first is 1"},
		{func(t *routing.Table) { t.Services = append(t.Services, routing.Service{Name: "spare"}) },
			routing.Place{Section: routing.SectionServices, Index: 2, Field: routing.FieldName}, `no route leads to service "spare"`},
		{func(t *routing.Table) { t.Routes[0].Targets[1].Weight = 0 },
			routing.Place{Section: routing.SectionRoutes, Field: routing.FieldWeight, Element: 1}, `service "app" gets no requests of route "turns": its weight is 0`},
		{func(t *routing.Table) { t.Routes[0].Host = "a.example:80" },
			routing.Place{Section: routing.SectionRoutes, Field: routing.FieldHost}, `no request matches host "a.example:80": the port of a request is not compared`},
		{func(t *routing.Table) { t.Routes[0].Host = "*.example" },
			routing.Place{Section: routing.SectionRoutes, Field: routing.FieldHost}, `no request matches host "*.example": names are compared as they are, without patterns`},
		{func(t *routing.Table) { t.Routes[0].PathPrefix = "/t?x/" },
			routing.Place{Section: routing.SectionRoutes, Field: routing.FieldPathPrefix}, `no request matches path prefix "/t?x/": only the path before the query is compared, as it was sent`},
		{func(t *routing.Table) { t.Routes[0].TargetLatency = 4 * time.Second },
			routing.Place{Section: routing.SectionRoutes, Field: routing.FieldTargetLatency}, "the target latency of 4s is above the timeout of 3s"},
		{func(t *routing.Table) { t.Routes[0].MaxAttempts = 4 },
			routing.Place{Section: routing.SectionRoutes, Field: routing.FieldMaxAttempts}, "4 attempts of the target latency of 1s don't fit into the timeout of 3s"},
		{func(t *routing.Table) { t.Routes[0].MaxAttempts = -1 },
			routing.Place{Section: routing.SectionRoutes, Field: routing.FieldMaxAttempts}, "-1 attempts are impossible, 1 is used"},
		{func(t *routing.Table) { t.Routes[0].EventGap = 4 * time.Second },
			routing.Place{Section: routing.SectionRoutes, Field: routing.FieldEventGap}, "the target for pauses between events of 4s is above the timeout of 3s"},
		{func(t *routing.Table) { t.Routes[0].Retention = 0 },
			routing.Place{Section: routing.SectionRoutes, Field: routing.FieldRetention}, "the route is stateful, but its turns are stored for no time"},
		{func(t *routing.Table) { t.Routes[1].Resumable = true },
			routing.Place{Section: routing.SectionRoutes, Index: 1, Field: routing.FieldResumable}, "only streaming routes can be resumable"},
		{func(t *routing.Table) { t.Routes[1].EventGap = 1 },
			routing.Place{Section: routing.SectionRoutes, Index: 1, Field: routing.FieldEventGap}, "only streaming routes have events"},
		{func(t *routing.Table) { t.Routes[0].Priority = 3 },
			routing.Place{Section: routing.SectionRoutes, Field: routing.FieldPriority}, `no account has the priority 3 of route "turns"`},
		{func(t *routing.Table) { t.Accounts = nil },
			routing.Place{Section: routing.SectionRoutes, Field: routing.FieldEntry}, `route "turns" requires a key, but without any account all requests are admitted`},
		{func(t *routing.Table) { t.Accounts[0].Burst = 0.5 },
			routing.Place{Section: routing.SectionAccounts, Field: routing.FieldBurst}, `account "one": a burst of 0.5 is below one request, 1 is used`},
		{func(t *routing.Table) { t.Accounts[0].Rate = 0 },
			routing.Place{Section: routing.SectionAccounts, Field: routing.FieldBurst}, `account "one" has a burst, but no rate: there is no limit`},
		{func(t *routing.Table) { t.Accounts[0].Rate = -1 },
			routing.Place{Section: routing.SectionAccounts, Field: routing.FieldRate}, `account "one": a rate below 0 is no limit`},
		{func(t *routing.Table) { t.Accounts[1].Name = "one" },
			routing.Place{Section: routing.SectionAccounts, Index: 1, Field: routing.FieldName}, `account "one" stands twice, also as number 1: both share one rate limit`},
		{func(t *routing.Table) { t.Accounts[1].Keys = nil },
			routing.Place{Section: routing.SectionAccounts, Index: 1, Field: routing.FieldName}, `account "two" has no keys, nobody can use it`},
		{func(t *routing.Table) { t.Accounts[1].Keys[0] = "" },
			routing.Place{Section: routing.SectionAccounts, Index: 1, Field: routing.FieldKey}, `a key of account "two" is empty: a request without a key counts as the account's`},
	} {
		changed := table()
		c.change(&changed)
		_, err := routing.Compile(changed)
		require.NoError(t, err, "a finding is about a valid table")
		require.Equal(t, []Finding{{c.place, c.want}}, Table(changed))
	}
}

func TestTable_ServiceWithWeightZeroOnAllRoutes(t *testing.T) {
	changed := table()
	changed.Routes[0].Targets[0].Weight = 0
	require.Equal(t, []Finding{
		{routing.Place{Section: routing.SectionServices, Field: routing.FieldName}, `service "models" gets no requests: its weight is 0 on all of its routes`},
		{routing.Place{Section: routing.SectionRoutes, Field: routing.FieldWeight}, `service "models" gets no requests of route "turns": its weight is 0`},
	}, Table(changed))
}
