// Package registry keeps the upstreams that have registered. Each control VM has a Registrar,
// which holds what upstreams told that VM; each entry VM has a Directory, which merges what all
// control VMs hold. An upstream is ordered by its start and by a sequence of its own, so
// late, repeated and crossed registrations are recognised wherever they arrive.
package registry

import (
	"time"
)

// State of an upstream by its own account.
type State int

// States.
const (
	Ready State = iota
	Draining
	Gone // it left, or its registrations stopped
)

// Upstream is what an upstream said of itself last.
type Upstream struct {
	ID       string `cbor:"1,keyasint"`
	Service  string `cbor:"2,keyasint"`
	Address  string `cbor:"3,keyasint"` // IP:port
	Zone     string `cbor:"4,keyasint"`
	Slots    int    `cbor:"5,keyasint"` // requests that it processes at once
	State    State  `cbor:"6,keyasint"`
	Born     int64  `cbor:"7,keyasint"` // start, Unix milliseconds
	Sequence int64  `cbor:"8,keyasint"`
	// Expired marks a Gone entry whose registrations stopped, so that a later word of the
	// same incarnation brings it back.
	Expired bool `cbor:"9,keyasint"`
}

// newer reports whether u supersedes old, an entry of the same ID.
func (u *Upstream) newer(old *Upstream) bool {
	if u.Born != old.Born {
		return u.Born > old.Born
	}
	return u.Sequence > old.Sequence
}

// sameForCallers reports whether nothing changed that a caller of the upstream acts by.
func (u *Upstream) sameForCallers(old *Upstream) bool {
	return u.Born == old.Born && u.State == old.State && u.Service == old.Service &&
		u.Address == old.Address && u.Zone == old.Zone && u.Slots == old.Slots
}

const (
	// goneRetention is how long a departed upstream is remembered, so that a late registration
	// of its incarnation is recognised. It exceeds the delays that networks add by far.
	goneRetention = 60 * time.Second
)
