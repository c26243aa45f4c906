package turns

import (
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

// Snapshot returns the encoded state of the machine.
func (m *Machine) Snapshot() ([]byte, error) {
	s := snapshot{Now: m.clock, Swept: m.lastSweep}
	for key, p := range m.programs {
		s.Programs = append(s.Programs, programRecord{key, p})
	}
	for key, t := range m.turns {
		s.Turns = append(s.Turns, turnRecord{key, t})
	}
	for key, stream := range m.streams {
		s.Streams = append(s.Streams, streamRecord{key[:], stream})
	}
	data, err := cbor.Marshal(s)
	return data, errors.Wrap(err, "turns: encode a snapshot")
}

// Restore replaces the state with that of a snapshot. On an error the state is unchanged.
func (m *Machine) Restore(data []byte) error {
	var s snapshot
	if err := snapshotDecoding.Unmarshal(data, &s); err != nil {
		return errors.Wrap(err, "turns: decode a snapshot")
	}
	*m = *New()
	m.clock, m.lastSweep = s.Now, s.Swept
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
