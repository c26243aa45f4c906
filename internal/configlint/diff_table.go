package configlint

import (
	"fmt"
	"strconv"
	"strings"

	"egretramp/internal/routing"
)

var kindNames = map[routing.Kind]string{
	routing.Idempotent: "idempotent", routing.NonIdempotent: "non-idempotent", routing.Streaming: "streaming",
}

// Diff lists the differences between two tables that routing.Compile accepts, other than the version.
func Diff(old, new routing.Table) []Change {
	return diff(tableEntries(old), tableEntries(new))
}

// tableEntries returns the table's entries. Of two accounts with the same name the last one is compared.
func tableEntries(t routing.Table) map[entryID]entry {
	entries := map[entryID]entry{{kind: KindLimits}: {fields: []field{
		{"header bytes", strconv.Itoa(t.Limits.MaxHeaderBytes)}, {"body bytes", strconv.Itoa(t.Limits.MaxBodyBytes)},
		{"header timeout", t.Limits.HeaderTimeout.String()}, {"idle timeout", t.Limits.IdleTimeout.String()},
	}}}
	for _, r := range t.Routes {
		entries[entryID{KindRoute, strings.ToLower(r.Host) + r.PathPrefix}] = routeEntry(r)
	}
	for _, s := range t.Services {
		engine := ""
		if s.Engine != nil {
			engine = fmt.Sprintf("%d slots, %d KV tokens, %d tokens per event", s.Engine.Slots, s.Engine.KVTokens, s.Engine.TokensPerEvent)
		}
		entries[entryID{KindService, s.Name}] = entry{fields: []field{
			{"health path", s.HealthPath}, {"connections", strconv.Itoa(s.MaxConns)}, {"engine", engine},
			{"cold start", s.ColdStart.String()}, {"cold rate", strconv.FormatFloat(s.ColdPerSecond, 'g', -1, 64)},
		}}
	}
	for _, a := range t.Accounts {
		entries[entryID{KindAccount, a.Name}] = entry{
			rate: a.Rate, burst: a.Burst, fields: []field{{"priority", strconv.Itoa(a.Priority)}},
		}
		for _, key := range a.Keys {
			entries[entryID{KindKey, key}] = entry{account: a.Name, label: routing.KeyLabel(key)}
		}
	}
	return entries
}

func routeEntry(r routing.Route) entry {
	targets := make([]string, len(r.Targets))
	for i, target := range r.Targets {
		targets[i] = fmt.Sprintf("%s (%d)", target.Service, target.Weight)
		if len(r.Targets) == 1 {
			targets[i] = target.Service
		}
	}
	return entry{fields: []field{
		{"name", r.Name}, {"kind", kindNames[r.Kind]}, {"timeout", r.Timeout.String()}, {"target latency", r.TargetLatency.String()},
		{"pause between events", r.EventGap.String()}, {"priority", strconv.Itoa(r.Priority)}, {"services", strings.Join(targets, " + ")},
		{"attempts", strconv.Itoa(r.MaxAttempts)}, {"stateful", strconv.FormatBool(r.Stateful)}, {"retention", r.Retention.String()},
		{"anonymous", strconv.FormatBool(r.Anonymous)}, {"sticky", strconv.FormatBool(r.Sticky)}, {"resumable", strconv.FormatBool(r.Resumable)},
	}}
}
