// Package upstream keeps a directory of the upstreams that announce themselves, and calls them.
package upstream

import (
	"sort"
	"time"

	"github.com/cockroachdb/errors"

	"egretramp/internal/config"
	"egretramp/internal/upstream/wire"
)

// AnnouncementTimeout is how long an upstream stays in the directory after its last announcement.
const AnnouncementTimeout = 2500 * time.Millisecond

// Record is the directory entry of an upstream: its newest announcement and when it was received.
type Record struct {
	wire.Announcement
	LastSeen time.Duration `json:"heard"` // when the newest announcement was received, time since boot
}

// Change describes how an announcement or an expiry changed the directory.
type Change struct {
	Record Record
	// Previous is the entry before the change; nil if the upstream was not in the directory.
	// Its pools may differ from those of Record.
	Previous *Record
	Removed  bool
}

// Directory holds the upstreams of the pools that this VM dispatches for. It is not safe for
// concurrent use.
type Directory struct {
	records map[string]*Record
	// departed keeps the last record of upstreams that said goodbye or expired, so that a delayed
	// announcement (an older incarnation or sequence) does not add them again.
	departed map[string]Record
}

// departedRetention is how long departed upstreams are remembered. It is longer than an
// announcement can be replayed: its send time is accepted for at most twice maxClockSkew.
const departedRetention = 3 * maxClockSkew

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{records: map[string]*Record{}, departed: map[string]Record{}}
}

// Errors returned by Update, which then leaves the directory unchanged.
var (
	ErrNotNewer  = errors.New("the announcement is not newer than what is known")
	ErrNameTaken = errors.New("an upstream of another class has this name")
)

// Update applies a verified announcement. Errors: ErrNotNewer, ErrNameTaken. The secret of one
// class does not authorize announcements for upstreams of another, so a name belongs to the class
// that uses it until that upstream has departed and departedRetention has passed.
func (d *Directory) Update(now time.Duration, a wire.Announcement) (Change, error) {
	last, hasDeparted := d.departed[a.Upstream]
	known, isListed := d.records[a.Upstream]
	switch {
	case isListed && known.Class != a.Class, hasDeparted && last.Class != a.Class:
		return Change{}, ErrNameTaken
	case isListed && !newer(a, known.Announcement), hasDeparted && !newer(a, last.Announcement):
		return Change{}, ErrNotNewer
	}
	record := Record{Announcement: a, LastSeen: now}
	change := Change{Record: record, Previous: known, Removed: a.Goodbye}
	if a.Goodbye {
		d.departed[a.Upstream] = record
		delete(d.records, a.Upstream)
		return change, nil
	}
	delete(d.departed, a.Upstream)
	d.records[a.Upstream] = &record
	return change, nil
}

// newer orders announcements of one upstream by incarnation, then sequence.
func newer(a, b wire.Announcement) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Sequence > b.Sequence
}

// Expire removes the upstreams whose last announcement is older than AnnouncementTimeout and
// returns them sorted by name.
func (d *Directory) Expire(now time.Duration) []Change {
	var gone []Change
	for name, r := range d.records {
		if now-r.LastSeen <= AnnouncementTimeout {
			continue
		}
		d.departed[name] = *r
		delete(d.records, name)
		gone = append(gone, Change{Record: *r, Previous: r, Removed: true})
	}
	for name, r := range d.departed {
		if now-r.LastSeen > departedRetention {
			delete(d.departed, name)
		}
	}
	sort.Slice(gone, func(i, j int) bool { return gone[i].Record.Upstream < gone[j].Record.Upstream })
	return gone
}

// Get returns the record of an upstream.
func (d *Directory) Get(name string) (Record, bool) {
	r, ok := d.records[name]
	if !ok {
		return Record{}, false
	}
	return *r, true
}

// All returns the records of all upstreams sorted by name.
func (d *Directory) All() []Record {
	all := make([]Record, 0, len(d.records))
	for _, r := range d.records {
		all = append(all, *r)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Upstream < all[j].Upstream })
	return all
}

// Pool identifies the queue of one model or service in one zone.
type Pool struct {
	Zone string              `json:"zone"`
	Kind config.UpstreamKind `json:"kind"`
	Name string              `json:"name"` // canonical ID of the model or service
}

// String returns a key for hashing and reports.
func (p Pool) String() string {
	return p.Zone + "/" + string(p.Kind) + "/" + p.Name
}

// Pools returns the pools that an upstream serves.
func (r *Record) Pools() []Pool {
	pools := make([]Pool, 0, len(r.Serves))
	for _, served := range r.Serves {
		pools = append(pools, Pool{Zone: r.Zone, Kind: r.Kind, Name: served})
	}
	return pools
}
