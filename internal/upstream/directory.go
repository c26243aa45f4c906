// Package upstream keeps track of the upstreams that announce themselves, and calls them.
package upstream

import (
	"sort"
	"time"

	"egretramp/internal/config"
	"egretramp/internal/upstream/wire"
)

// SilenceLimit is how long an upstream that announces nothing stays in the directory.
const SilenceLimit = 2500 * time.Millisecond

// Record is what is known of one upstream.
type Record struct {
	wire.Announcement
	Heard time.Duration `json:"heard"` // when the newest announcement came, time since boot
}

// Change says what an announcement or the passing of time did to the directory.
type Change struct {
	Record  Record
	Removed bool
}

// Directory holds the upstreams of the pools that this VM dispatches for. It is a plain value
// driven by one goroutine.
type Directory struct {
	records map[string]*Record
	// departed keeps the last incarnation and sequence of upstreams that said goodbye or fell
	// silent, so that a delayed announcement does not bring them back.
	departed map[string]Record
}

// departedAge is how long a departure is remembered.
const departedAge = time.Minute

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{records: map[string]*Record{}, departed: map[string]Record{}}
}

// Offer takes an announcement that was verified. It returns false if it is not newer than what is known.
func (d *Directory) Offer(now time.Duration, a wire.Announcement) (Change, bool) {
	if last, ok := d.departed[a.Upstream]; ok && !newer(a, last.Announcement) {
		return Change{}, false
	}
	known, ok := d.records[a.Upstream]
	if ok && !newer(a, known.Announcement) {
		return Change{}, false
	}
	record := Record{Announcement: a, Heard: now}
	if a.Goodbye {
		d.departed[a.Upstream] = record
		delete(d.records, a.Upstream)
		return Change{Record: record, Removed: true}, true
	}
	delete(d.departed, a.Upstream)
	d.records[a.Upstream] = &record
	return Change{Record: record}, true
}

// newer orders announcements of one upstream by incarnation, then sequence.
func newer(a, b wire.Announcement) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Sequence > b.Sequence
}

// Expire removes the upstreams that fell silent and returns them in the order of their names.
func (d *Directory) Expire(now time.Duration) []Change {
	var gone []Change
	for name, r := range d.records {
		if now-r.Heard <= SilenceLimit {
			continue
		}
		d.departed[name] = *r
		delete(d.records, name)
		gone = append(gone, Change{Record: *r, Removed: true})
	}
	for name, r := range d.departed {
		if now-r.Heard > departedAge {
			delete(d.departed, name)
		}
	}
	sort.Slice(gone, func(i, j int) bool { return gone[i].Record.Upstream < gone[j].Record.Upstream })
	return gone
}

// Get returns one upstream.
func (d *Directory) Get(name string) (Record, bool) {
	r, ok := d.records[name]
	if !ok {
		return Record{}, false
	}
	return *r, true
}

// All returns the upstreams in the order of their names.
func (d *Directory) All() []Record {
	all := make([]Record, 0, len(d.records))
	for _, r := range d.records {
		all = append(all, *r)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Upstream < all[j].Upstream })
	return all
}

// Pool names the queue of one model or service in one zone.
type Pool struct {
	Zone string              `json:"zone"`
	Kind config.UpstreamKind `json:"kind"`
	Name string              `json:"name"` // canonical ID of the model or service
}

// String returns a key for hashing and reports.
func (p Pool) String() string {
	return p.Zone + "/" + string(p.Kind) + "/" + p.Name
}
