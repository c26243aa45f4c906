// Package registry keeps track of registered upstreams. Each control VM has a Registrar, which holds
// the registrations received by that VM; each entry VM has a Directory, which merges the entries of all
// control VMs. Registrations are ordered by the upstream's start time and its sequence number, so
// late, duplicate and reordered ones are recognised wherever they arrive.
package registry

import (
	"fmt"
	"time"
)

// State is the state that an upstream reports for itself, or Gone.
type State int

// The states of an upstream.
const (
	Ready State = iota
	Draining
	Gone // it announced its shutdown, or its registrations stopped
)

// Upstream is the latest registration of an upstream.
type Upstream struct {
	ID       string `cbor:"1,keyasint"`
	Service  string `cbor:"2,keyasint"`
	Address  string `cbor:"3,keyasint"` // IP:port
	Zone     string `cbor:"4,keyasint"`
	Slots    int    `cbor:"5,keyasint"` // requests that it processes concurrently
	State    State  `cbor:"6,keyasint"`
	Born     int64  `cbor:"7,keyasint"` // process start, Unix milliseconds
	Sequence int64  `cbor:"8,keyasint"`
	// Expired marks a Gone entry whose registrations stopped, so that a later registration of the
	// same incarnation restores it.
	Expired bool `cbor:"9,keyasint"`
	// Build is the version of the upstream's software, empty if it doesn't state one. Upstreams of several builds
	// may serve side by side, and what they write doesn't fit together.
	Build string `cbor:"10,keyasint,omitempty"`
	// Leaving is how long ago a Draining upstream announced its shutdown, when the entry was sent; 0 if unknown.
	Leaving time.Duration `cbor:"11,keyasint,omitempty"`
	// LeavingStated is how long ago a response of this process first said that it leaves, when the entry was sent; 0 if
	// none did. Unlike a registration, which may arrive late, a response that says so is final for its process.
	LeavingStated time.Duration `cbor:"12,keyasint,omitempty"`
	// Departed is how long ago the reporting VM received the announcement that a Gone upstream leaves, Registered how long
	// ago the first registration of this process, when the entry was sent; 0 if unknown. An announcement doesn't
	// say which process of the upstream it concerns, and its VM need not have a registration of it: the two times tell.
	Departed   time.Duration `cbor:"13,keyasint,omitempty"`
	Registered time.Duration `cbor:"14,keyasint,omitempty"`
	// Cold is how much longer the process is cold, when the entry was sent: while it is, it takes only few requests a
	// second. ColdStated is how long ago the last registration that says whether it is cold was received, when the entry
	// was sent; 0 if none says so. In a registration it is any value above 0.
	Cold       time.Duration `cbor:"15,keyasint,omitempty"`
	ColdStated time.Duration `cbor:"16,keyasint,omitempty"`
	// ColdUntil, ColdStatedAt and FirstSeen are set by a Directory: when the process ceases to be cold, when the
	// registration that says so was received, zero if none, and when the process was first registered as far as known.
	ColdUntil, ColdStatedAt, FirstSeen time.Time `cbor:"-"`
}

// LeavingNotice reports that a response of an upstream's process said that it leaves.
type LeavingNotice struct {
	ID   string        `cbor:"1,keyasint"`
	Born int64         `cbor:"2,keyasint"`
	Age  time.Duration `cbor:"3,keyasint"` // since the response, when the notice was sent
}

// Process returns a text that identifies the upstream's process.
func (u *Upstream) Process() string { return fmt.Sprintf("%s@%d", u.ID, u.Born) }

// newer reports whether u supersedes old, an entry with the same ID.
func (u *Upstream) newer(old *Upstream) bool {
	if u.Born != old.Born {
		return u.Born > old.Born
	}
	return u.Sequence > old.Sequence
}

// sameForCallers reports whether u and old agree in everything that matters to callers of the upstream.
func (u *Upstream) sameForCallers(old *Upstream) bool {
	return u.Born == old.Born && u.State == old.State && u.Service == old.Service &&
		u.Address == old.Address && u.Zone == old.Zone && u.Slots == old.Slots && u.Build == old.Build
}

const (
	// goneRetention is how long an upstream that is gone is kept, so that a late registration of its
	// incarnation is recognised. It exceeds network delays by far.
	goneRetention = 60 * time.Second
	// lateShare is the part of a registration's lifetime after which the next one is late.
	lateShare = 0.4
	// minReturnTime is the time after the announcement of its shutdown in which an upstream doesn't return as another
	// process, since it serves on for longer. A process that is first registered within it is the one that leaves.
	minReturnTime = time.Second
	// A registration changes the end of the cold time if it names an end that is later by more than coldExtension, or
	// earlier by more than coldShortening. Registrations take different times to arrive, which must not be news for all
	// VMs; a limit that lasts too long by coldShortening costs little.
	coldExtension  = 50 * time.Millisecond
	coldShortening = 250 * time.Millisecond
	// maxNotices bounds the upstreams that a Registrar knows only from a LeavingNotice.
	maxNotices = 1024
)
