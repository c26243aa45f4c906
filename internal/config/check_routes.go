package config

import (
	"fmt"
	"strings"
)

func (c *checker) checkRoutes() {
	ids := map[string]bool{}
	for i, r := range c.file.Routes {
		if r.ID != "" && ids[r.ID] {
			c.doc.Report(fmt.Sprintf("ID %q stands here twice", r.ID), "each ID once", "routes", i, "id")
		}
		ids[r.ID] = true
		c.checkTarget(i, r)
		c.checkRouteFields(i, r)
		for a, name := range r.Accounts {
			c.checkReference(c.accounts, "client account", name, "routes", i, "accounts", a)
		}
	}
	c.checkOverlaps()
}

func (c *checker) checkTarget(i int, r Route) {
	const allowed = "either a model or a service"
	switch {
	case r.Model != "" && r.Service != "":
		c.doc.Report("the route has both a model and a service", allowed, "routes", i)
	case r.Model == "" && r.Service == "":
		c.doc.Report("the route has no model and no service", allowed, "routes", i)
	case r.Service != "":
		c.checkReference(c.services, "service", r.Service, "routes", i, "service")
	case r.Model != AllModels:
		c.checkReference(c.models, "model", r.Model, "routes", i, "model")
	}
}

// checkRouteFields reports fields that would have no effect, since the operator must have intended
// something else.
func (c *checker) checkRouteFields(i int, r Route) {
	if r.Open && len(r.Accounts) > 0 {
		c.doc.Report("an open route lets every caller in", "no accounts on an open route", "routes", i, "accounts")
	}
	if r.Model == "" {
		return
	}
	const allowed = "this field only on a route to a service"
	if r.Open {
		c.doc.Report("a route to a model can't be open", allowed, "routes", i, "open")
	}
	if r.PathPrefix != "" {
		c.doc.Report("a route to a model has no path", allowed, "routes", i, "path_prefix")
	}
	if r.TimeoutSeconds != 0 {
		c.doc.Report("a route to a model has no timeout of its own", allowed, "routes", i, "timeout_seconds")
	}
}

// routeKey identifies the requests that a service route matches. At most one route may match them for
// the same account.
type routeKey struct{ service, prefix string }

// everyone is used in place of an account ID for routes that are open or list no accounts.
const everyone = ""

// checkOverlaps reports ambiguous routes: two routes with the same service and path that share an
// account, or of which one is open and the other is not.
func (c *checker) checkOverlaps() {
	taken := map[routeKey]map[string]string{} // account to route ID
	for i, r := range c.file.Routes {
		service, known := c.services[r.Service]
		if !known {
			continue
		}
		at := routeKey{service: service.id, prefix: normalPrefix(r.PathPrefix)}
		if taken[at] == nil {
			taken[at] = map[string]string{}
		}
		accounts := c.accountsOf(r)
		if other, clash := overlap(taken[at], accounts); clash {
			c.doc.Report(fmt.Sprintf("route %q decides calls that route %q decides as well", r.ID, other),
				"one route for each account, service and path", "routes", i)
		}
		for _, account := range accounts {
			taken[at][account] = r.ID
		}
	}
}

// accountsOf returns the canonical IDs of the accounts that a route admits, or everyone.
func (c *checker) accountsOf(r Route) []string {
	if r.Open || len(r.Accounts) == 0 {
		return []string{everyone}
	}
	ids := make([]string, len(r.Accounts))
	for i, name := range r.Accounts {
		ids[i] = c.accounts[name].id
	}
	return ids
}

// overlap returns a route in taken that shares an account with accounts.
func overlap(taken map[string]string, accounts []string) (route string, clash bool) {
	if route, clash = taken[everyone]; clash {
		return route, true
	}
	for _, account := range accounts {
		if route, clash = taken[account]; clash {
			return route, true
		}
	}
	if accounts[0] != everyone || len(taken) == 0 {
		return "", false
	}
	return taken[sortedKeys(taken)[0]], true
}

// normalPrefix adds a trailing slash if there is none, so that a prefix matches whole path segments.
func normalPrefix(prefix string) string {
	return strings.TrimSuffix(prefix, "/") + "/"
}
