package turns

import (
	"encoding/binary"
	"time"
)

// groupTime is a replica's estimate of its group's time. Retention is measured in it rather than by the wall clocks
// of the VMs that send commands, one of which may be set forward and would expire what others still need. It advances
// with the replica's monotonic clock from the latest time that it has applied, and stands still while all replicas
// are down.
type groupTime struct {
	monotonic func() time.Duration
	started   bool
	base      int64 // milliseconds, as of the monotonic time at
	at        time.Duration
}

// observe moves the estimate forward to a time that was applied.
func (g *groupTime) observe(applied int64) {
	if applied > 0 && (!g.started || applied > g.now()) {
		g.started, g.base, g.at = true, applied, g.monotonic()
	}
}

// now returns the group's time in milliseconds. It must have started.
func (g *groupTime) now() int64 { return g.base + (g.monotonic() - g.at).Milliseconds() }

// An encoded Command begins with the head of a CBOR map, and its first field is Now: the key 1 and a 64-bit integer.
const (
	nowKeyOffset   = headerSize + 1
	nowOffset      = nowKeyOffset + 2
	cborUint64     = 0x1b
	nowKey         = 0x01
	encodedNowSize = 8
)

// Stamp sets the time of a command to the group's, in place. The leader calls it before it appends the command to the log.
// The first command of a group starts the group's time with its sender's.
func (m *Machine) Stamp(command []byte) {
	if !m.time.started || len(command) < nowOffset+encodedNowSize || command[headerSize]&cborMajorType != cborMap {
		return
	}
	if command[nowKeyOffset] == nowKey && command[nowKeyOffset+1] == cborUint64 {
		binary.BigEndian.PutUint64(command[nowOffset:], uint64(m.time.now()))
	}
}
