package turns

import (
	"hash/fnv"
	"slices"
	"time"
)

// maxStreams bounds the stored origins of streams of one group. Those beyond it are not recorded, so their streams
// can't be resumed.
const maxStreams = 1 << 16

// Stream records the origin of a stream that may be resumed, before its first event is forwarded.
type Stream struct {
	Account string `cbor:"1,keyasint"`
	Request string `cbor:"2,keyasint"` // ID of the client attempt that begins the stream
	// Origin names what wrote the stream, empty if that is no longer certain. It is opaque to this package.
	Origin string `cbor:"3,keyasint,omitempty"`
	// Attempt orders the records of one request: one with a lower number than the stored one changes nothing.
	Attempt   int64         `cbor:"4,keyasint"`
	Retention time.Duration `cbor:"5,keyasint,omitempty"`
}

// streamKey identifies a stream: a hash of the account and the request ID, which takes less memory than both.
type streamKey [16]byte

// stream is the stored origin of a stream.
type stream struct {
	Origin  string `cbor:"1,keyasint"`
	Attempt int64  `cbor:"2,keyasint,omitempty"`
	Expires int64  `cbor:"3,keyasint"`
	Account uint64 `cbor:"4,keyasint,omitempty"` // hash of the account's name
}

func newStreamKey(account, request string) streamKey {
	h := fnv.New128a()
	_, _ = h.Write([]byte(account)) // never fails
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(request))
	return streamKey(h.Sum(nil))
}

func accountHash(account string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(account)) // never fails
	return h.Sum64()
}

// recordStream stores the origin of a stream and reports whether the stored origin is the given one.
func (m *Machine) recordStream(s *Stream) bool {
	key := newStreamKey(s.Account, s.Request)
	known, exists := m.streams[key]
	switch {
	case exists && s.Attempt < known.Attempt:
		return known.Origin == s.Origin
	case !exists && len(m.streams) >= maxStreams:
		return false
	}
	m.streams[key] = stream{
		Origin: m.intern(s.Origin), Attempt: s.Attempt, Expires: m.clock + (s.Retention + retentionSlack).Milliseconds(),
		Account: accountHash(s.Account),
	}
	return true
}

// resumeStream returns the origin of the stream that a request resumes, empty if it isn't known. The origin is
// stored for the request as well, and kept for the request's retention from now on.
func (m *Machine) resumeStream(b *Begin) string {
	key := newStreamKey(b.Account, b.Resumes)
	known := m.streams[key]
	if known.Origin == "" {
		return ""
	}
	known.Expires = max(known.Expires, m.clock+(b.Retention+retentionSlack).Milliseconds())
	m.streams[key] = known
	if len(m.streams) < maxStreams {
		m.streams[newStreamKey(b.Account, b.Request)] = known
	}
	return known.Origin
}

// accountOrigins returns the origins of all streams of an account, each once and in order. If one isn't certain, an
// empty one is among them.
func (m *Machine) accountOrigins(account string) []string {
	var origins []string
	hash := accountHash(account)
	for _, s := range m.streams {
		if s.Account == hash && s.Expires >= m.clock && !slices.Contains(origins, s.Origin) {
			origins = append(origins, s.Origin)
		}
	}
	slices.Sort(origins)
	return origins
}

// sweepStreams removes expired origins.
func (m *Machine) sweepStreams() {
	for key, s := range m.streams {
		if s.Expires < m.clock {
			delete(m.streams, key)
		}
	}
}
