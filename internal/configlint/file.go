package configlint

import (
	"fmt"

	"egretramp/internal/config"
)

// FileFinding is an entry of an operators' file that can't have the intended effect, or that would be
// refused because of the file in force.
type FileFinding struct {
	Path    []any // field names and indexes, as for jsonfile.Document.Report
	Message string
}

// File returns the findings about an operators' file that config.Parse accepts.
func File(f *config.File) []FileFinding {
	l := fileLinter{file: f, snapshot: config.Compile(f)}
	l.checkAccounts()
	l.checkTargets()
	l.checkModelRoutes()
	return l.findings
}

type fileLinter struct {
	file     *config.File
	snapshot *config.Snapshot
	findings []FileFinding
}

func (l *fileLinter) add(path []any, format string, args ...any) {
	l.findings = append(l.findings, FileFinding{Path: path, Message: fmt.Sprintf(format, args...)})
}

// checkAccounts reports accounts that nobody can use, and routes that admit no other accounts.
func (l *fileLinter) checkAccounts() {
	for i, a := range l.file.ClientAccounts {
		if len(a.Keys) == 0 {
			l.add([]any{"client_accounts", i, "keys"}, "account %q has no keys, nobody can use it", a.ID)
		}
	}
	for i, r := range l.file.Routes {
		keys := 0
		for _, name := range r.Accounts {
			account, _ := l.snapshot.Account(name)
			keys += len(account.Keys)
		}
		if len(r.Accounts) > 0 && keys == 0 {
			l.add([]any{"routes", i, "accounts"}, "nobody can use route %q: its accounts have no keys", r.ID)
		}
	}
}

// checkTargets reports services and models that no route leads to.
func (l *fileLinter) checkTargets() {
	services, models, all := map[string]bool{}, map[string]bool{}, false
	for _, r := range l.file.Routes {
		if service, ok := l.snapshot.Service(r.Service); ok {
			services[service.ID] = true
		}
		if model, ok := l.snapshot.Model(r.Model); ok {
			models[model.ID] = true
		}
		all = all || r.Model == config.AllModels
	}
	for i, s := range l.file.Services {
		if !services[s.ID] {
			l.add([]any{"services", i, "id"}, "no route leads to service %q", s.ID)
		}
	}
	for i, m := range l.file.Models {
		if !models[m.ID] && !all {
			l.add([]any{"models", i, "id"}, "no route leads to model %q", m.ID)
		}
	}
}

// checkModelRoutes reports routes to a model that never decide, because an earlier route to the
// model does for all of their accounts. Such routes to services are errors.
func (l *fileLinter) checkModelRoutes() {
	taken := map[string]map[string]string{} // model to account to route; the empty account is everyone
	for i, r := range l.file.Routes {
		if r.Model == "" {
			continue
		}
		target := r.Model
		if model, ok := l.snapshot.Model(target); ok {
			target = model.ID
		}
		if taken[target] == nil {
			taken[target] = map[string]string{}
		}
		accounts := l.accountIDs(r)
		hidden, by := 0, ""
		for _, account := range accounts {
			if other, ok := taken[target][account]; ok {
				hidden, by = hidden+1, other
				continue
			}
			taken[target][account] = r.ID
		}
		if hidden == len(accounts) {
			l.add([]any{"routes", i}, "route %q never decides: route %q, which stands before it, has the same model and accounts", r.ID, by)
		}
	}
}

// accountIDs returns the IDs of the accounts that a route lists, or the empty ID for everyone.
func (l *fileLinter) accountIDs(r config.Route) []string {
	if len(r.Accounts) == 0 {
		return []string{""}
	}
	ids := make([]string, len(r.Accounts))
	for i, name := range r.Accounts {
		account, _ := l.snapshot.Account(name)
		ids[i] = account.ID
	}
	return ids
}
