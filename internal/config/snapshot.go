package config

import (
	"crypto/sha256"
	"encoding/hex"
	"path"
	"slices"
	"strings"
)

// Snapshot answers look-ups in one accepted file. It never changes, so any number of
// goroutines may read it; what its methods return must not be modified.
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

type keyOwner struct {
	account *ClientAccount
	keyID   string
}

// accountRoutes maps an account's canonical ID, or everyone, to the route that lets it in.
type accountRoutes map[string]*Route

func (r accountRoutes) find(account *ClientAccount) (*Route, bool) {
	if route, ok := r[account.ID]; ok {
		return route, true
	}
	route, ok := r[everyone]
	return route, ok
}

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

// addAccounts lets the route's accounts in; of several routes the first in the file counts.
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

// CutoffLimitSeconds returns the limit for accounts without one of their own. Seconds.
func (s *Snapshot) CutoffLimitSeconds() float64 { return s.file.CutoffLimitSeconds }

// Account finds a client account under its canonical ID or any of its names.
func (s *Snapshot) Account(name string) (*ClientAccount, bool) {
	a, ok := s.accounts[name]
	return a, ok
}

// Model finds a model under its canonical ID or any of its names.
func (s *Snapshot) Model(name string) (*Model, bool) {
	m, ok := s.models[name]
	return m, ok
}

// Service finds a service under its canonical ID or any of its names.
func (s *Snapshot) Service(name string) (*Service, bool) {
	service, ok := s.services[name]
	return service, ok
}

// Class finds a class of upstreams by its ID.
func (s *Snapshot) Class(id string) (*UpstreamClass, bool) {
	c, ok := s.classes[id]
	return c, ok
}

// HashKey returns what KeyAccount and Key.SHA256 call the hash of a caller's key.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// KeyAccount finds the account of a key by the key's hash. The caller has to ask package
// control whether the key has been withdrawn since. Looking up hashes tells nothing about a
// key by its timing, so no further care is needed.
func (s *Snapshot) KeyAccount(hash string) (account *ClientAccount, keyID string, ok bool) {
	k, ok := s.keys[hash]
	return k.account, k.keyID, ok
}

// ModelRoute returns the route by which an account may call a model, named in any way: one to
// that model, or else one to all models.
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

// ServiceRoute returns the route by which a call to a path of a service, named in any way, may
// go; account is nil for a caller without a key. The longest matching prefix alone decides, so
// that a narrow route protects its paths from a wider one. The path must be the decoded one
// that will be sent; no route matches a path with ".", ".." or empty parts, because an upstream
// could take it for another path.
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

func isClean(callPath string) bool {
	return callPath == "/" || path.Clean(callPath) == strings.TrimSuffix(callPath, "/") && strings.HasPrefix(callPath, "/")
}
