package config

import (
	"fmt"
	"slices"
	"strings"

	"egretramp/internal/jsonfile"
)

// checker checks the cross-references within one file. It skips zero values, which the schema's
// checks have already reported.
type checker struct {
	doc      *jsonfile.Document
	file     *File
	accounts namespace
	models   namespace
	services namespace
}

func newChecker(doc *jsonfile.Document, file *File) *checker {
	return &checker{doc: doc, file: file, accounts: namespace{}, models: namespace{}, services: namespace{}}
}

// namespace maps canonical IDs, and the names in all schemes, to the item that has them. Client
// accounts, models and services each have a namespace of their own.
type namespace map[string]owner

// owner is the item that has an ID or a name.
type owner struct {
	index int // of the item in its list
	id    string
	// scheme is the naming scheme of the name; empty for the canonical ID.
	scheme string
}

func (o owner) String() string {
	if o.scheme == "" {
		return fmt.Sprintf("the ID of %q", o.id)
	}
	return fmt.Sprintf("the name of %q in scheme %q", o.id, o.scheme)
}

func (c *checker) checkSchemes() {
	if len(c.file.Schemes) > MaxSchemes {
		c.doc.Report(fmt.Sprintf("%d naming schemes", len(c.file.Schemes)), "at most 3", "schemes")
	}
	for i, scheme := range c.file.Schemes {
		if scheme != "" && slices.Contains(c.file.Schemes[:i], scheme) {
			c.doc.Report(fmt.Sprintf("scheme %q stands here twice", scheme), "each scheme once", "schemes", i)
		}
	}
}

// fillNamespaces adds the IDs and names of all items. IDs are added before names, so that a
// conflict between the two is reported at the name.
func (c *checker) fillNamespaces() {
	for i, a := range c.file.ClientAccounts {
		c.addID(c.accounts, "client_accounts", i, a.ID)
	}
	for i, m := range c.file.Models {
		c.addID(c.models, "models", i, m.ID)
	}
	for i, s := range c.file.Services {
		c.addID(c.services, "services", i, s.ID)
	}
	for i, a := range c.file.ClientAccounts {
		c.addNames(c.accounts, "client_accounts", i, a.Named)
	}
	for i, m := range c.file.Models {
		c.addNames(c.models, "models", i, m.Named)
	}
	for i, s := range c.file.Services {
		c.addNames(c.services, "services", i, s.Named)
	}
}

func (c *checker) addID(space namespace, list string, i int, id string) {
	if id == "" {
		return
	}
	if _, taken := space[id]; taken {
		c.doc.Report(fmt.Sprintf("ID %q stands here twice", id), "each ID once", list, i, "id")
		return
	}
	space[id] = owner{index: i, id: id}
}

func (c *checker) addNames(space namespace, list string, i int, item Named) {
	for _, scheme := range sortedKeys(item.Names) {
		name := item.Names[scheme]
		if !slices.Contains(c.file.Schemes, scheme) {
			c.doc.Report(fmt.Sprintf("scheme %q is not declared", scheme),
				strings.Join(c.file.Schemes, ", "), list, i, "names", scheme)
		}
		if name == "" || item.ID == "" {
			continue
		}
		other, taken := space[name]
		if taken && other.index != i {
			c.doc.Report(fmt.Sprintf("name %q of %q in scheme %q is also %s", name, item.ID, scheme, other),
				"a name that leads to one item only", list, i, "names", scheme)
			continue
		}
		if !taken {
			space[name] = owner{index: i, id: item.ID, scheme: scheme}
		}
	}
}

// checkKeys reports key IDs and key hashes that occur more than once in the file.
func (c *checker) checkKeys() {
	ids, hashes := map[string]string{}, map[string]string{}
	for i, a := range c.file.ClientAccounts {
		for k, key := range a.Keys {
			if other, taken := ids[key.ID]; taken && key.ID != "" {
				c.doc.Report(fmt.Sprintf("key %q of account %q is also a key of account %q", key.ID, a.ID, other),
					"each key ID once", "client_accounts", i, "keys", k, "id")
			}
			ids[key.ID] = a.ID
			if other, taken := hashes[key.SHA256]; taken && key.SHA256 != "" {
				c.doc.Report(fmt.Sprintf("key %q has the same hash as key %q", key.ID, other),
					"a key of its own for each ID", "client_accounts", i, "keys", k, "sha256")
			}
			hashes[key.SHA256] = key.ID
		}
	}
}

func (c *checker) checkUpstreams() {
	ids := map[string]bool{}
	for i, u := range c.file.Upstreams {
		if u.ID != "" && ids[u.ID] {
			c.doc.Report(fmt.Sprintf("ID %q stands here twice", u.ID), "each ID once", "upstreams", i, "id")
		}
		ids[u.ID] = true
		c.checkServes(i, u)
	}
}

func (c *checker) checkServes(i int, u UpstreamClass) {
	space, kind := c.models, "model"
	if u.Kind == KindService {
		space, kind = c.services, "service"
	}
	for s, name := range u.Serves {
		if u.Kind == KindWeightStore {
			c.doc.Report("a weight store serves no models or services", "no serves field", "upstreams", i, "serves")
			return
		}
		c.checkReference(space, kind, name, "upstreams", i, "serves", s)
	}
}

// checkReference reports a reference to an ID or name that does not exist.
func (c *checker) checkReference(space namespace, kind, name string, path ...any) {
	if name == "" {
		return
	}
	if _, known := space[name]; !known {
		c.doc.Report(fmt.Sprintf("no %s has the ID or name %q", kind, name), "an ID or name in this file", path...)
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
