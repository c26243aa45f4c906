package configlint

import (
	"fmt"
	"strings"
	"time"

	"egretramp/internal/routing"
)

// Finding is an entry of a table that can't have the intended effect.
type Finding struct {
	Place   routing.Place
	Message string
}

// Table returns the findings about a table that routing.Compile accepts.
func Table(t routing.Table) []Finding {
	l := linter{table: &t, priorities: map[int]bool{}}
	for _, a := range t.Accounts {
		l.hasKeys = l.hasKeys || len(a.Keys) > 0
		l.priorities[a.Priority] = true
	}
	if t.Version == 0 {
		l.add(routing.SectionTable, 0, routing.FieldVersion, 0, "version 0 never comes into force, the first is 1")
	}
	l.checkServices()
	l.checkAccounts()
	for i := range t.Routes {
		r := &t.Routes[i]
		l.checkMatch(i, r)
		l.checkTimes(i, r)
		l.checkKind(i, r)
		l.checkCallers(i, r)
	}
	return l.findings
}

type linter struct {
	table      *routing.Table
	hasKeys    bool         // an account has a key
	priorities map[int]bool // of the accounts
	findings   []Finding
}

func (l *linter) add(section routing.Section, index int, field routing.Field, element int, format string, args ...any) {
	l.findings = append(l.findings, Finding{
		Place:   routing.Place{Section: section, Index: index, Field: field, Element: element},
		Message: fmt.Sprintf(format, args...),
	})
}

func (l *linter) route(i int, field routing.Field, format string, args ...any) {
	l.add(routing.SectionRoutes, i, field, 0, format, args...)
}

func (l *linter) checkServices() {
	used, weighted := map[string]bool{}, map[string]bool{}
	for i := range l.table.Routes {
		for _, target := range l.table.Routes[i].Targets {
			used[target.Service] = true
			weighted[target.Service] = weighted[target.Service] || target.Weight > 0
		}
	}
	for i, s := range l.table.Services {
		switch {
		case !used[s.Name]:
			l.add(routing.SectionServices, i, routing.FieldName, 0, "no route leads to service %q", s.Name)
		case !weighted[s.Name]:
			l.add(routing.SectionServices, i, routing.FieldName, 0, "service %q gets no requests: its weight is 0 on all of its routes", s.Name)
		}
	}
}

func (l *linter) checkAccounts() {
	first := map[string]int{}
	for i, a := range l.table.Accounts {
		report := func(field routing.Field, element int, format string, args ...any) {
			l.add(routing.SectionAccounts, i, field, element, format, args...)
		}
		if other, taken := first[a.Name]; taken {
			report(routing.FieldName, 0, "account %q stands twice, also as number %d: both share one rate limit", a.Name, other+1)
		} else {
			first[a.Name] = i
		}
		if len(a.Keys) == 0 {
			report(routing.FieldName, 0, "account %q has no keys, nobody can use it", a.Name)
		}
		for k, key := range a.Keys {
			if key == "" {
				report(routing.FieldKey, k, "a key of account %q is empty: a request without a key counts as the account's", a.Name)
			}
		}
		switch {
		case a.Rate < 0:
			report(routing.FieldRate, 0, "account %q: a rate below 0 is no limit", a.Name)
		case a.Rate > 0 && a.Burst < 1:
			report(routing.FieldBurst, 0, "account %q: a burst of %g is below one request, 1 is used", a.Name, a.Burst)
		case a.Rate == 0 && a.Burst != 0:
			report(routing.FieldBurst, 0, "account %q has a burst, but no rate: there is no limit", a.Name)
		}
	}
}

// hostCharacters are the characters that occur in the host of a request, without its port.
const hostCharacters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._"

// checkMatch reports routes that no request can match, and targets that none is sent to.
func (l *linter) checkMatch(i int, r *routing.Route) {
	bracketed := strings.HasPrefix(r.Host, "[") && strings.HasSuffix(r.Host, "]")
	switch {
	case !bracketed && strings.Contains(r.Host, ":"):
		l.route(i, routing.FieldHost, "no request matches host %q: the port of a request is not compared", r.Host)
	case !bracketed && strings.Trim(r.Host, hostCharacters) != "":
		l.route(i, routing.FieldHost, "no request matches host %q: names are compared as they are, without patterns", r.Host)
	}
	if strings.ContainsAny(r.PathPrefix, "? ") {
		l.route(i, routing.FieldPathPrefix, "no request matches path prefix %q: only the path before the query is compared, as it was sent", r.PathPrefix)
	}
	for k, target := range r.Targets {
		if target.Weight == 0 {
			l.add(routing.SectionRoutes, i, routing.FieldWeight, k, "service %q gets no requests of route %q: its weight is 0", target.Service, r.Name)
		}
	}
}

// checkTimes reports limits of a route that contradict each other.
func (l *linter) checkTimes(i int, r *routing.Route) {
	switch {
	case r.TargetLatency > r.Timeout:
		l.route(i, routing.FieldTargetLatency, "the target latency of %v is above the timeout of %v", r.TargetLatency, r.Timeout)
	case r.MaxAttempts > 1 && r.TargetLatency > r.Timeout/time.Duration(r.MaxAttempts):
		l.route(i, routing.FieldMaxAttempts, "%d attempts of the target latency of %v don't fit into the timeout of %v", r.MaxAttempts, r.TargetLatency, r.Timeout)
	}
	if r.EventGap > r.Timeout {
		l.route(i, routing.FieldEventGap, "the target for pauses between events of %v is above the timeout of %v", r.EventGap, r.Timeout)
	}
	if r.MaxAttempts < 0 {
		l.route(i, routing.FieldMaxAttempts, "%d attempts are impossible, 1 is used", r.MaxAttempts)
	}
}

// checkKind reports fields that have no effect on a route of this kind.
func (l *linter) checkKind(i int, r *routing.Route) {
	if r.Kind != routing.Streaming {
		if r.EventGap > 0 {
			l.route(i, routing.FieldEventGap, "only streaming routes have events")
		}
		if r.Resumable {
			l.route(i, routing.FieldResumable, "only streaming routes can be resumable")
		}
	}
	if r.Stateful && r.Retention == 0 {
		l.route(i, routing.FieldRetention, "the route is stateful, but its turns are stored for no time")
	}
}

// checkCallers reports a route that nobody may use, one that everybody may use unintendedly, and
// priorities that no account has.
func (l *linter) checkCallers(i int, r *routing.Route) {
	if r.Anonymous {
		return
	}
	if len(l.table.Accounts) == 0 {
		l.route(i, routing.FieldEntry, "route %q requires a key, but without any account all requests are admitted", r.Name)
		return
	}
	if !l.hasKeys {
		l.route(i, routing.FieldEntry, "route %q requires a key, and no account has one", r.Name)
	}
	if !l.priorities[r.Priority] {
		l.route(i, routing.FieldPriority, "no account has the priority %d of route %q", r.Priority, r.Name)
	}
}
