package wal

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
	"os"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"egretramp/internal/raft"
	"egretramp/internal/raft/raftpb"
	"egretramp/internal/raft/storage"
)

const (
	magic       = "EGRWAL01"
	markerMagic = "batch-end"
	// recordHeaderSize is the size in bytes of a record's length, checksum and kind.
	recordHeaderSize = 9
)

// Kinds of records.
const (
	kindIdentity byte = iota + 1
	kindHardState
	kindSnapshot
	kindBounds // discards earlier entries: the log restarts after these bounds
	kindEntry
	kindMarker
	kindSnapshotData // follows kindSnapshot
)

var (
	castagnoli         = crc32.MakeTable(crc32.Castagnoli)
	errNoCompleteBatch = errors.New("the file has no complete batch")
	errOrphanRecord    = errors.New("a record doesn't belong to a batch")
)

func checksum(kind byte, content []byte) uint32 {
	return crc32.Update(crc32.Checksum([]byte{kind}, castagnoli), castagnoli, content)
}

// read loads and validates the whole file, and truncates a last batch that is incomplete.
func (s *Store) read() (raft.State, error) {
	data, err := os.ReadFile(s.path)
	if err != nil {
		return raft.State{}, errors.Wrap(err, "raft wal")
	}
	r := &reader{data: data}
	end, err := r.readBatches()
	if err == nil {
		err = r.validate()
	}
	if err != nil {
		return raft.State{}, &storage.DamagedError{Path: s.path, Cause: err}
	}
	if s.file, err = os.OpenFile(s.path, os.O_RDWR, 0o600); err != nil {
		return raft.State{}, errors.Wrap(err, "raft wal")
	}
	if end < int64(len(data)) {
		err = s.file.Truncate(end)
		if err == nil {
			err = s.file.Sync()
		}
		if err != nil {
			return raft.State{}, errors.CombineErrors(errors.Wrapf(err, "raft wal: cut %s", s.path), s.file.Close())
		}
	}
	s.size = end
	s.state = r.contents
	s.state.snapshot = nil
	if r.contents.identity.Formation == 0 {
		return raft.State{}, nil
	}
	return raft.State{Hard: r.contents.hard, Snapshot: r.contents.snapshot, Bounds: r.contents.bounds, Entries: r.entries}, nil
}

// reader parses the contents of a file.
type reader struct {
	data     []byte
	contents contents
	entries  []*raftpb.Entry
}

// record is a record of the batch being read.
type record struct {
	kind    byte
	content []byte
	offset  int64 // of the content
}

// readBatches applies all complete batches and returns the end offset of the last one.
func (r *reader) readBatches() (end int64, err error) {
	if !bytes.HasPrefix(r.data, []byte(magic)) {
		return 0, errors.New("the file doesn't begin like a log")
	}
	start, at := int64(0), int64(len(magic))
	var pending []record
	for {
		next, rec, ok := r.readRecord(at)
		if !ok {
			break
		}
		at = next
		if rec.kind != kindMarker {
			pending = append(pending, rec)
			continue
		}
		if markerStart(rec.content) != start {
			return 0, errOrphanRecord
		}
		for _, p := range pending {
			if err := r.apply(p); err != nil {
				return 0, err
			}
		}
		pending = pending[:0]
		start, end = at, at
	}
	if end == 0 {
		return 0, errNoCompleteBatch
	}
	if r.hasMarkerAfter(end) {
		return 0, errors.Newf("a batch is damaged at %d, before complete ones", end)
	}
	return end, nil
}

// readRecord returns the record at an offset and the offset after it; ok is false if there is no
// valid record.
func (r *reader) readRecord(at int64) (next int64, rec record, ok bool) {
	if at+recordHeaderSize > int64(len(r.data)) {
		return 0, record{}, false
	}
	header := r.data[at : at+recordHeaderSize]
	length := int64(binary.BigEndian.Uint32(header))
	begin := at + recordHeaderSize
	if begin+length > int64(len(r.data)) {
		return 0, record{}, false
	}
	rec = record{kind: header[8], content: r.data[begin : begin+length], offset: begin}
	if checksum(rec.kind, rec.content) != binary.BigEndian.Uint32(header[4:]) {
		return 0, record{}, false
	}
	return begin + length, rec, true
}

// markerStart returns the start offset of the batch that a marker ends, or -1 if content is not a
// marker.
func markerStart(content []byte) int64 {
	if len(content) != len(markerMagic)+8 || !bytes.HasPrefix(content, []byte(markerMagic)) {
		return -1
	}
	return int64(binary.BigEndian.Uint64(content[len(markerMagic):]))
}

// hasMarkerAfter reports whether there is a valid marker of a batch that begins after end. If so, the
// data in between had been synced.
func (r *reader) hasMarkerAfter(end int64) bool {
	for from := end; ; {
		i := bytes.Index(r.data[from:], []byte(markerMagic))
		if i < 0 {
			return false
		}
		at := from + int64(i)
		if _, rec, ok := r.readRecord(at - recordHeaderSize); ok && rec.kind == kindMarker && markerStart(rec.content) > end {
			return true
		}
		from = at + 1
	}
}

// apply adds a record of a complete batch to the contents.
func (r *reader) apply(rec record) error {
	c := &r.contents
	switch rec.kind {
	case kindIdentity:
		c.identity = &raftpb.Identity{}
		return proto.Unmarshal(rec.content, c.identity)
	case kindHardState:
		c.hard = &raftpb.HardState{}
		return proto.Unmarshal(rec.content, c.hard)
	case kindSnapshot:
		c.snapshot = &raftpb.Snapshot{}
		return proto.Unmarshal(rec.content, c.snapshot)
	case kindSnapshotData:
		if c.snapshot == nil {
			return errOrphanRecord
		}
		c.snapshot.Data = bytes.Clone(rec.content) // even an empty slice of the file would keep all of it in memory
		return nil
	case kindBounds:
		c.bounds = &raftpb.LogBounds{}
		c.entries, r.entries = nil, nil
		return proto.Unmarshal(rec.content, c.bounds)
	case kindEntry:
		return r.applyEntry(rec)
	}
	return errors.Newf("a record at %d has the unknown kind %d", rec.offset, rec.kind)
}

func (r *reader) applyEntry(rec record) error {
	e := &raftpb.Entry{}
	if err := proto.Unmarshal(rec.content, e); err != nil {
		return err
	}
	if r.contents.bounds == nil {
		return errOrphanRecord
	}
	slot := int(e.Index) - int(r.contents.bounds.BaseIndex) - 1
	if slot < 0 || slot > len(r.entries) {
		return errors.Newf("entry %d doesn't follow on those before", e.Index)
	}
	r.entries = append(r.entries[:slot], e)
	r.contents.entries = append(r.contents.entries[:slot], extent{rec.offset, len(rec.content)})
	return nil
}

// validate checks that the batches form a complete and consistent state.
func (r *reader) validate() error {
	c := &r.contents
	if c.identity == nil || c.bounds == nil {
		return errors.New("the identity is missing")
	}
	if c.identity.Formation == 0 {
		return nil
	}
	if c.hard == nil || c.snapshot == nil {
		return errors.New("the hard state or the snapshot is missing")
	}
	// The markers guarantee that the log ends with the last entry read.
	c.bounds.LastIndex = c.bounds.BaseIndex + uint64(len(r.entries))
	return raft.CheckState(raft.State{Hard: c.hard, Snapshot: c.snapshot, Bounds: c.bounds, Entries: r.entries})
}
