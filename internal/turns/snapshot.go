package turns

import (
	"encoding/binary"
	"math"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// maxSnapshotRecords bounds the programs, turns and streams of a snapshot each. All are in memory, so the memory of the
// VM that wrote the snapshot is the real bound.
const maxSnapshotRecords = math.MaxInt32

// snapshotDecoding decodes snapshots. The default limit on list elements is meant for untrusted input.
var snapshotDecoding = newSnapshotDecoding()

func newSnapshotDecoding() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxSnapshotRecords, MaxMapPairs: maxSnapshotRecords}.DecMode()
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "turns: invalid options for snapshots"))
	}
	return mode
}

// snapshot is the encoded form of a Machine. It holds lists, because CBOR maps with composite
// keys are not portable.
type snapshot struct {
	Now      int64           `cbor:"1,keyasint"`
	Swept    int64           `cbor:"2,keyasint"`
	Programs []programRecord `cbor:"3,keyasint"`
	Turns    []turnRecord    `cbor:"4,keyasint"`
	Streams  []streamRecord  `cbor:"5,keyasint,omitempty"`
}

type programRecord struct {
	Key     programKey `cbor:"1,keyasint"`
	Program *program   `cbor:"2,keyasint"`
}

type turnRecord struct {
	Key  turnKey `cbor:"1,keyasint"`
	Turn *turn   `cbor:"2,keyasint"`
}

type streamRecord struct {
	Key    []byte `cbor:"1,keyasint"` // a streamKey
	Stream stream `cbor:"2,keyasint"`
}

// Snapshot returns the encoded state of the machine: a snapshot in CBOR. The records are encoded one by one, so that
// beside the state only one encoded copy of it is in memory.
func (m *Machine) Snapshot() ([]byte, error) {
	e := snapshotEncoder{data: make([]byte, 0, m.encodedSize())}
	e.appendHead(cborMap, 5)
	e.appendField(1, m.clock)
	e.appendField(2, m.lastSweep)
	e.appendList(3, len(m.programs))
	for key, p := range m.programs {
		e.append(programRecord{key, p})
	}
	e.appendList(4, len(m.turns))
	for key, t := range m.turns {
		e.append(turnRecord{key, t})
	}
	e.appendList(5, len(m.streams))
	for key, stream := range m.streams {
		e.append(streamRecord{key[:], stream})
	}
	return e.data, errors.Wrap(e.err, "turns: encode a snapshot")
}

// recordOverhead is about the size in bytes of a record's keys, IDs and times.
const recordOverhead = 128

// encodedSize returns about the size in bytes of the encoded state, rather too much than too little.
func (m *Machine) encodedSize() int {
	size := recordOverhead * (1 + len(m.programs) + len(m.turns) + len(m.streams))
	for key, p := range m.programs {
		size += len(key.Account) + len(key.Program)
		for name := range p.Reserved {
			size += len(name) + 10
		}
		for name := range p.Settled {
			size += len(name) + 3
		}
		size += 64 * len(p.Homes)
	}
	for key, t := range m.turns {
		size += len(key.Account) + len(key.Request) + len(t.Previous) + len(t.Input) + len(t.Output)
	}
	return size
}

// Major types of CBOR items.
const (
	cborArray     byte = 4 << 5
	cborMap       byte = 5 << 5
	cborMajorType byte = 7 << 5 // mask
)

// snapshotEncoder appends CBOR items. It keeps the first error.
type snapshotEncoder struct {
	data []byte
	err  error
}

// appendHead appends the head of an array or a map with n elements.
func (e *snapshotEncoder) appendHead(majorType byte, n int) {
	switch {
	case n < 24:
		e.data = append(e.data, majorType|byte(n))
	case n <= math.MaxUint16:
		e.data = binary.BigEndian.AppendUint16(append(e.data, majorType|25), uint16(n))
	default:
		e.data = binary.BigEndian.AppendUint32(append(e.data, majorType|26), uint32(n))
	}
}

func (e *snapshotEncoder) append(v any) {
	item, err := cbor.Marshal(v)
	if err != nil && e.err == nil {
		e.err = err
	}
	e.data = append(e.data, item...)
}

func (e *snapshotEncoder) appendField(key uint64, v any) {
	e.append(key)
	e.append(v)
}

// appendList appends the key of a field that is a list, and the list's head. Its elements follow.
func (e *snapshotEncoder) appendList(key uint64, n int) {
	e.append(key)
	e.appendHead(cborArray, n)
}

// Restore replaces the state with that of a snapshot. On an error the state is unchanged.
func (m *Machine) Restore(data []byte) error {
	var s snapshot
	if err := snapshotDecoding.Unmarshal(data, &s); err != nil {
		return errors.Wrap(err, "turns: decode a snapshot")
	}
	known := m.time
	*m = *newMachine(known.monotonic)
	m.clock, m.lastSweep, m.time = s.Now, s.Swept, known
	m.time.observe(m.clock)
	for _, r := range s.Programs {
		if r.Program.Reserved == nil {
			r.Program.Reserved = map[string]int64{}
		}
		if r.Program.Settled == nil {
			r.Program.Settled = map[string]bool{}
		}
		for i := range r.Program.Homes {
			r.Program.Homes[i].Upstream = m.intern(r.Program.Homes[i].Upstream)
		}
		m.reservations += len(r.Program.Reserved)
		m.programs[r.Key] = r.Program
	}
	for _, r := range s.Streams {
		if len(r.Key) != len(streamKey{}) {
			continue // written by a release with another key; the stream can't be resumed
		}
		r.Stream.Origin = m.intern(r.Stream.Origin)
		m.streams[streamKey(r.Key)] = r.Stream
	}
	for _, r := range s.Turns {
		m.turns[r.Key] = r.Turn
	}
	return nil
}
