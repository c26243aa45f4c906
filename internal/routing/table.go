// Package routing holds the operators' routing table: which requests go to which services, who
// may send them, and whether they may be repeated. A Table is the configuration as read; a Snapshot
// is a validated Table with indexes for look-ups. Both are immutable.
package routing

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"sort"
	"strings"
	"time"
)

// Kind is the kind of a route's requests, which determines how often a request may run.
type Kind int

// Kinds of requests.
const (
	Idempotent    Kind = iota // may run more than once
	NonIdempotent             // at most once for each client attempt
	Streaming                 // answered by an event stream; at most once unless resumable
)

// Target is one of the services that share a route's requests.
type Target struct {
	Service string
	Weight  int
}

// Route maps a host and path prefix to services.
type Route struct {
	Name       string
	Host       string
	PathPrefix string // begins and ends with a slash
	Kind       Kind
	// Timeout is the longest time that a request may be kept waiting.
	Timeout time.Duration
	// TargetLatency is the target time to the answer, or to a stream's first event.
	TargetLatency time.Duration
	// EventGap is the target for the longest pause between events.
	EventGap time.Duration
	Priority int // 0 is the highest
	Targets  []Target
	// MaxAttempts is the number of upstreams that one client attempt may be sent to.
	MaxAttempts int
	// Stateful means that turns carry only their new input; the system stores the conversation.
	Stateful bool
	// Retention is how long a turn and its program are stored.
	Retention time.Duration
	Anonymous bool // no API key is required
	Sticky    bool // prefer the upstream that handled the object recently, as it is faster
	Resumable bool // a stream may continue on another upstream
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots          int
	KVTokens       int
	TokensPerEvent int
}

// Service is a group of interchangeable upstreams.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns is the number of connections that one upstream accepts from all VMs together.
	MaxConns int
	Engine   *Engine // nil for plain services
	// ColdStart is how long an upstream is cold after its start. ColdPerSecond is the number of requests a second that a
	// cold one takes from all VMs together, 0 for no limit.
	ColdStart     time.Duration
	ColdPerSecond float64
}

// Account is a client account.
type Account struct {
	Name     string
	Keys     []string
	Priority int
	Rate     float64 // requests per second over all VMs, 0 for no limit
	Burst    float64 // requests
}

// Limits bounds the size and timing of callers' requests.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Table is one version of the operators' configuration.
type Table struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}

// Snapshot is a validated table with indexes for look-ups.
type Snapshot struct {
	Table
	hosts    map[string][]*Route // longest prefix first
	services map[string]*Service
	keys     map[string]*Account
}

// Compile validates a table and returns its snapshot. The error is of type Problems and has all
// invalid entries, up to MaxProblems.
func Compile(t Table) (*Snapshot, error) {
	c := compiler{s: &Snapshot{Table: t, hosts: map[string][]*Route{}, services: map[string]*Service{}, keys: map[string]*Account{}}}
	for i := range t.Services {
		c.addService(i, &t.Services[i])
	}
	for i := range t.Routes {
		c.addRoute(i, &t.Routes[i])
	}
	for i := range t.Accounts {
		c.addKeys(i, &t.Accounts[i])
	}
	if len(c.problems) > 0 {
		return nil, c.problems
	}
	return c.s, nil
}

// compiler builds a snapshot and collects the table's problems.
type compiler struct {
	s        *Snapshot
	problems Problems
}

func (c *compiler) addService(i int, service *Service) {
	if service.Name == "" || c.s.services[service.Name] != nil {
		place := Place{Section: SectionServices, Index: i, Field: FieldName}
		c.problems.add(place, service.Name, "the name %q is empty or stands twice", service.Name)
		return
	}
	c.s.services[service.Name] = service
}

func (c *compiler) addKeys(i int, account *Account) {
	for k, key := range account.Keys {
		if owner := c.s.keys[key]; owner != nil {
			place := Place{Section: SectionAccounts, Index: i, Field: FieldKey, Element: k}
			c.problems.add(place, account.Name, "key %s stands twice, it is also a key of account %q", KeyLabel(key), owner.Name)
			continue
		}
		c.s.keys[key] = account
	}
}

// KeyLabel identifies a key in messages without disclosing it: the first 8 hex digits of its SHA-256.
func KeyLabel(key string) string {
	hash := sha256.Sum256([]byte(key))
	return hex.EncodeToString(hash[:4])
}

// maxWeight bounds the weight of a target, so that their sum doesn't overflow.
const maxWeight = 1 << 31

// addRoute validates a route and inserts it into its host's list, longest prefix first.
func (c *compiler) addRoute(i int, r *Route) {
	report := func(field Field, element int, format string, args ...any) {
		c.problems.add(Place{Section: SectionRoutes, Index: i, Field: field, Element: element}, r.Name, format, args...)
	}
	if r.Timeout <= 0 {
		report(FieldTimeout, 0, "the timeout must be above 0")
	}
	c.checkTargets(r, report)
	if r.Host == "" {
		report(FieldHost, 0, "the host is empty")
		return
	}
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		report(FieldPathPrefix, 0, "the path prefix %q does not begin and end with a slash", r.PathPrefix)
		return
	}
	host := strings.ToLower(r.Host)
	routes := c.s.hosts[host]
	at := sort.Search(len(routes), func(i int) bool { return len(routes[i].PathPrefix) <= len(r.PathPrefix) })
	for _, other := range routes[at:] {
		if other.PathPrefix == r.PathPrefix {
			report(FieldPathPrefix, 0, "route %q has the same host and path prefix", other.Name)
			return
		}
	}
	c.s.hosts[host] = slices.Insert(routes, at, r)
}

// checkTargets reports targets that name no service or have an impossible weight.
func (c *compiler) checkTargets(r *Route, report func(field Field, element int, format string, args ...any)) {
	total, valid := 0, true
	for k, target := range r.Targets {
		if c.s.services[target.Service] == nil {
			report(FieldTarget, k, "service %q is unknown", target.Service)
		}
		if target.Weight < 0 || target.Weight > maxWeight {
			report(FieldWeight, k, "service %q: the weight %d is not between 0 and %d", target.Service, target.Weight, maxWeight)
			valid = false
		}
		total += target.Weight
	}
	switch {
	case len(r.Targets) == 0:
		report(FieldTargets, 0, "the route names no service")
	case valid && total == 0:
		report(FieldTargets, 0, "the weights add up to 0")
	}
}

// Route returns the route with the longest prefix of the path. host may include a port.
func (s *Snapshot) Route(host, path string) (*Route, bool) {
	host = strings.ToLower(host)
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range s.hosts[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return nil, false
}

// Service returns a service by name.
func (s *Snapshot) Service(name string) (*Service, bool) {
	service, ok := s.services[name]
	return service, ok
}

// Account returns the account that holds a key.
func (s *Snapshot) Account(key string) (*Account, bool) {
	account, ok := s.keys[key]
	return account, ok
}

// Pick chooses one of the route's services by weight; draw is uniform in [0, 1).
func (r *Route) Pick(draw float64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	point := draw * float64(total)
	for _, t := range r.Targets {
		point -= float64(t.Weight)
		if point < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}
