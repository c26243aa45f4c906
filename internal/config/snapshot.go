package config

import (
	"crypto/sha256"
	"encoding/hex"
	"path"
	"slices"
	"strings"
)

// Snapshot is an index of one accepted file. It is immutable and safe for concurrent use; the values
// that its methods return must not be modified.
type Snapshot struct {
	file          *File
	accounts      map[string]*ClientAccount
	models        map[string]*Model
	services      map[string]*Service
	keys          map[string]keyOwner
	classes       map[string]*UpstreamClass
	modelRoutes   map[string]accountRoutes   // by canonical ID or AllModels
	serviceRoutes map[string][]*prefixRoutes // by canonical ID, longest prefix first
}

// keyOwner is the account and ID of a key.
type keyOwner struct {
	account *ClientAccount
	keyID   string
}

// accountRoutes maps an account's canonical ID, or everyone, to the route that admits it.
type accountRoutes map[string]*Route

func (r accountRoutes) find(account *ClientAccount) (*Route, bool) {
	if route, ok := r[account.ID]; ok {
		return route, true
	}
	route, ok := r[everyone]
	return route, ok
}

// prefixRoutes has the routes to one path prefix of a service.
type prefixRoutes struct {
	prefix   string // ends in a slash
	accounts accountRoutes
}

// Compile indexes a file that Parse accepted. The file must not be modified afterwards.
func Compile(f *File) *Snapshot {
	s := &Snapshot{
		file:          f,
		accounts:      map[string]*ClientAccount{},
		models:        map[string]*Model{},
		services:      map[string]*Service{},
		keys:          map[string]keyOwner{},
		classes:       map[string]*UpstreamClass{},
		modelRoutes:   map[string]accountRoutes{},
		serviceRoutes: map[string][]*prefixRoutes{},
	}
	for i := range f.ClientAccounts {
		s.addAccount(&f.ClientAccounts[i])
	}
	for i := range f.Models {
		addNamed(s.models, f.Models[i].Named, &f.Models[i])
	}
	for i := range f.Services {
		addNamed(s.services, f.Services[i].Named, &f.Services[i])
	}
	for i := range f.Upstreams {
		s.classes[f.Upstreams[i].ID] = &f.Upstreams[i]
	}
	for i := range f.Routes {
		s.addRoute(&f.Routes[i])
	}
	for _, routes := range s.serviceRoutes {
		slices.SortFunc(routes, func(a, b *prefixRoutes) int { return len(b.prefix) - len(a.prefix) })
	}
	return s
}

func addNamed[T any](index map[string]*T, named Named, item *T) {
	index[named.ID] = item
	for _, name := range named.Names {
		index[name] = item
	}
}

func (s *Snapshot) addAccount(a *ClientAccount) {
	addNamed(s.accounts, a.Named, a)
	for _, key := range a.Keys {
		s.keys[key.SHA256] = keyOwner{account: a, keyID: key.ID}
	}
}

func (s *Snapshot) addRoute(r *Route) {
	if r.Service != "" {
		s.addAccounts(s.prefixRoutes(r), r)
		return
	}
	target := r.Model
	if model, ok := s.models[target]; ok {
		target = model.ID
	}
	if s.modelRoutes[target] == nil {
		s.modelRoutes[target] = accountRoutes{}
	}
	s.addAccounts(s.modelRoutes[target], r)
}

func (s *Snapshot) prefixRoutes(r *Route) accountRoutes {
	id := s.services[r.Service].ID
	prefix := normalPrefix(r.PathPrefix)
	for _, routes := range s.serviceRoutes[id] {
		if routes.prefix == prefix {
			return routes.accounts
		}
	}
	routes := &prefixRoutes{prefix: prefix, accounts: accountRoutes{}}
	s.serviceRoutes[id] = append(s.serviceRoutes[id], routes)
	return routes.accounts
}

// addAccounts adds a route for each of its accounts. The first route in the file takes precedence.
func (s *Snapshot) addAccounts(routes accountRoutes, r *Route) {
	if len(r.Accounts) == 0 {
		setFirst(routes, everyone, r)
	}
	for _, name := range r.Accounts {
		setFirst(routes, s.accounts[name].ID, r)
	}
}

func setFirst(routes accountRoutes, account string, r *Route) {
	if _, taken := routes[account]; !taken {
		routes[account] = r
	}
}

// Generation returns the file's generation.
func (s *Snapshot) Generation() uint64 { return s.file.Generation }

// Accounts returns all client accounts in file order.
func (s *Snapshot) Accounts() []ClientAccount { return s.file.ClientAccounts }

// Models returns all models in file order.
func (s *Snapshot) Models() []Model { return s.file.Models }

// Services returns all services in file order.
func (s *Snapshot) Services() []Service { return s.file.Services }

// CutoffLimitSeconds returns the cutoff limit of accounts that don't override it. Seconds.
func (s *Snapshot) CutoffLimitSeconds() float64 { return s.file.CutoffLimitSeconds }

// Account returns the client account with a canonical ID or name.
func (s *Snapshot) Account(name string) (*ClientAccount, bool) {
	a, ok := s.accounts[name]
	return a, ok
}

// Model returns the model with a canonical ID or name.
func (s *Snapshot) Model(name string) (*Model, bool) {
	m, ok := s.models[name]
	return m, ok
}

// Service returns the service with a canonical ID or name.
func (s *Snapshot) Service(name string) (*Service, bool) {
	service, ok := s.services[name]
	return service, ok
}

// Class returns the class of upstreams with an ID.
func (s *Snapshot) Class(id string) (*UpstreamClass, bool) {
	c, ok := s.classes[id]
	return c, ok
}

// HashKey returns the hash of a caller's key, as in Key.SHA256 and as KeyAccount expects it: the
// SHA-256 in lower-case hex digits.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// KeyAccount returns the account that a key belongs to, by the key's hash. The caller must check
// with package control whether the key has been withdrawn since. The lookup needs no constant-time
// comparison: the timing of a lookup by hash reveals nothing about the key.
func (s *Snapshot) KeyAccount(hash string) (account *ClientAccount, keyID string, ok bool) {
	k, ok := s.keys[hash]
	return k.account, k.keyID, ok
}

// ModelRoute returns the route that allows an account to call a model, given by its ID or any name.
// A route to the model takes precedence over one to all models.
func (s *Snapshot) ModelRoute(account *ClientAccount, model string) (*Route, bool) {
	m, ok := s.models[model]
	if !ok || account == nil {
		return nil, false
	}
	if route, ok := s.modelRoutes[m.ID].find(account); ok {
		return route, true
	}
	return s.modelRoutes[AllModels].find(account)
}

// ServiceRoute returns the route that allows a call to a path of a service, given by its ID or any
// name; account is nil for a caller without a key. Only the routes with the longest matching prefix
// are considered, so that a narrow route restricts access to its paths in spite of a wider one. The
// path must be the decoded path that will be sent. No route matches a path with ".", ".." or empty
// segments, because an upstream could resolve it to another path.
func (s *Snapshot) ServiceRoute(account *ClientAccount, service, callPath string) (*Route, bool) {
	found, ok := s.services[service]
	if !ok || !isClean(callPath) {
		return nil, false
	}
	for _, routes := range s.serviceRoutes[found.ID] {
		if !strings.HasPrefix(normalPrefix(callPath), routes.prefix) {
			continue
		}
		if account != nil {
			return routes.accounts.find(account)
		}
		route, ok := routes.accounts[everyone]
		if !ok || !route.Open {
			return nil, false
		}
		return route, true
	}
	return nil, false
}

// isClean reports whether a path is absolute and without ".", ".." or empty segments; a trailing
// slash is allowed.
func isClean(callPath string) bool {
	return callPath == "/" || path.Clean(callPath) == strings.TrimSuffix(callPath, "/") && strings.HasPrefix(callPath, "/")
}
