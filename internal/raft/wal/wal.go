// Package wal stores the durable state of one replica in an append-only file. Each Save appends
// one batch of records and syncs once. It suits groups whose log carries much data: nothing is
// mapped into memory, and an entry is written only once until a snapshot replaces it.
//
// A record consists of a length, a checksum, a kind and the content. A batch ends with a marker
// that contains the start offset of the batch, which makes batches atomic. Each batch is synced
// before the next one is written, so a power failure can truncate only the last one, which is
// then dropped. Any other damage is rejected, as in package storage.
package wal

import (
	"encoding/binary"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
	"google.golang.org/protobuf/proto"

	"egretramp/internal/raft"
	"egretramp/internal/raft/raftpb"
	"egretramp/internal/raft/storage"
)

// Store is the open file of one replica.
type Store struct {
	path   string
	file   *os.File
	size   int64 // end offset of the last batch
	state  contents
	failed error
}

// contents is the state stored in the file, with the extents of the entries instead of the entries.
type contents struct {
	identity *raftpb.Identity
	hard     *raftpb.HardState
	snapshot *raftpb.Snapshot // has its data only while the file is read
	bounds   *raftpb.LogBounds
	entries  []extent // extents of the entries after bounds.BaseIndex
}

// extent is the position of an entry's content in the file, in bytes.
type extent struct {
	offset int64
	length int
}

// Path returns the file path of a group in a data folder.
func Path(folder string, group uint64) string {
	return filepath.Join(folder, fmt.Sprintf("group-%d.wal", group))
}

// Open opens or creates the file of a group and returns the state that it contains. A new file gets
// newIdentity, with its random replica ID; an existing file must belong to the same group and VM.
func Open(folder string, newIdentity *raftpb.Identity) (*Store, raft.State, error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, raft.State{}, errors.Wrap(err, "raft wal")
	}
	s := &Store{path: Path(folder, newIdentity.Group)}
	_, err := os.Stat(s.path)
	if errors.Is(err, os.ErrNotExist) {
		s.state = contents{identity: newIdentity, bounds: &raftpb.LogBounds{}}
		return s, raft.State{}, s.rewrite(nil)
	}
	if err != nil {
		return nil, raft.State{}, errors.Wrap(err, "raft wal")
	}
	state, err := s.read()
	if err != nil {
		return nil, raft.State{}, err
	}
	identity := s.state.identity
	if identity.Group != newIdentity.Group || identity.Vm != newIdentity.Vm {
		return nil, raft.State{}, errors.CombineErrors(errors.Newf("raft wal: %s belongs to group %d of VM %q, not to group %d of VM %q",
			s.path, identity.Group, identity.Vm, newIdentity.Group, newIdentity.Vm), s.file.Close())
	}
	return s, state, nil
}

// Identity returns the identity of the replica. The caller must not modify it.
func (s *Store) Identity() *raftpb.Identity { return s.state.identity }

// Path returns the path of the file.
func (s *Store) Path() string { return s.path }

// Close closes the file.
func (s *Store) Close() error { return errors.Wrapf(s.file.Close(), "raft wal: %s", s.path) }

// Save writes a batch durably. After an error the state on disk is unknown, so every later call
// returns the same error and the replica must stop.
func (s *Store) Save(b storage.Batch) error {
	if s.failed != nil {
		return s.failed
	}
	if err := s.saveBatch(b); err != nil {
		s.failed = errors.Wrapf(err, "raft wal: write %s", s.path)
	}
	return s.failed
}

func (s *Store) saveBatch(b storage.Batch) error {
	next := s.state
	if b.Formation != 0 && b.Formation != next.identity.Formation {
		if next.identity.Formation != 0 {
			return errors.Newf("the replica belongs to formation %x already", next.identity.Formation)
		}
		next.identity = proto.Clone(next.identity).(*raftpb.Identity)
		next.identity.Formation = b.Formation
	}
	if b.Hard != nil {
		next.hard = b.Hard
	}
	if b.Snapshot != nil {
		return s.saveSnapshot(next, b)
	}
	w := newBatch(s.size)
	if next.identity != s.state.identity {
		w.appendMessage(kindIdentity, next.identity)
	}
	if b.Hard != nil {
		w.appendMessage(kindHardState, b.Hard)
	}
	extents, err := next.append(w, b.Entries)
	if err != nil {
		return err
	}
	next.entries = extents
	if err := s.writeBatch(w); err != nil {
		return err
	}
	s.state = next
	return nil
}

// append adds entries to a batch and returns the resulting extents of all entries.
func (c *contents) append(w *batch, entries []*raftpb.Entry) ([]extent, error) {
	extents := c.entries
	for _, e := range entries {
		slot := int(e.Index) - int(c.bounds.BaseIndex) - 1
		if slot < 0 || slot > len(extents) {
			return nil, errors.Newf("entry %d doesn't follow on those held (%d after %d)", e.Index, len(extents), c.bounds.BaseIndex)
		}
		offset, length := w.appendMessage(kindEntry, e)
		extents = append(extents[:slot], extent{offset, length})
	}
	return extents, w.err
}

// saveSnapshot replaces the file by one that begins with the snapshot.
func (s *Store) saveSnapshot(next contents, b storage.Batch) error {
	kept := next.entries
	next.bounds = &raftpb.LogBounds{BaseIndex: b.BaseIndex, BaseTerm: b.BaseTerm}
	if b.ReplaceLog {
		kept = nil
	} else if skip := int(b.BaseIndex) - int(s.state.bounds.BaseIndex); skip > 0 {
		kept = kept[min(skip, len(kept)):]
	}
	next.snapshot, next.entries = b.Snapshot, kept
	old := s.state
	s.state = next
	if err := s.rewrite(b.Entries); err != nil {
		s.state = old
		return err
	}
	return nil
}

// rewrite writes the state and the added entries to a new file, which then replaces the current one.
func (s *Store) rewrite(added []*raftpb.Entry) error {
	tempPath := s.path + ".new"
	file, err := os.OpenFile(tempPath, os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	w := newBatch(0)
	w.out = file
	if err := s.writeState(w, added); err != nil {
		return errors.CombineErrors(err, file.Close())
	}
	return s.replaceFile(file, w)
}

// writeState writes the whole state. The file may be large, so it is written in chunks.
func (s *Store) writeState(w *batch, added []*raftpb.Entry) error {
	w.appendRaw([]byte(magic))
	c := &s.state
	w.appendMessage(kindIdentity, c.identity)
	if c.hard != nil {
		w.appendMessage(kindHardState, c.hard)
	}
	if c.snapshot != nil {
		w.appendMessage(kindSnapshot, &raftpb.Snapshot{Index: c.snapshot.Index, Term: c.snapshot.Term, Conf: c.snapshot.Conf})
		w.appendRecord(kindSnapshotData, c.snapshot.Data)
	}
	w.appendMessage(kindBounds, c.bounds)
	extents := make([]extent, 0, len(c.entries)+len(added))
	for _, p := range c.entries {
		content := make([]byte, p.length)
		if _, err := s.file.ReadAt(content, p.offset); err != nil {
			return errors.Wrap(err, "read an entry back")
		}
		offset, length := w.appendRecord(kindEntry, content)
		extents = append(extents, extent{offset, length})
	}
	c.entries = extents
	extents, err := c.append(w, added)
	if err != nil {
		return err
	}
	c.entries, c.snapshot = extents, nil
	w.appendMarker()
	return w.err
}

// replaceFile completes and syncs file and renames it over the current one.
func (s *Store) replaceFile(file *os.File, w *batch) error {
	w.flushAll()
	err := w.err
	if err == nil {
		err = file.Sync()
	}
	if err == nil {
		err = os.Rename(file.Name(), s.path)
	}
	if err == nil {
		err = syncFolder(filepath.Dir(s.path))
	}
	if err != nil {
		return errors.CombineErrors(err, file.Close())
	}
	if s.file != nil {
		err = s.file.Close()
	}
	s.file, s.size = file, w.endOffset()
	return err
}

// writeBatch completes a batch, appends it to the file and syncs the file.
func (s *Store) writeBatch(w *batch) error {
	w.appendMarker()
	if w.err != nil {
		return w.err
	}
	if _, err := s.file.WriteAt(w.buffer, s.size); err != nil {
		return err
	}
	if err := unix.Fdatasync(int(s.file.Fd())); err != nil {
		return errors.Wrap(err, "sync")
	}
	s.size += int64(len(w.buffer))
	return nil
}

func syncFolder(folder string) error {
	f, err := os.Open(folder)
	if err != nil {
		return err
	}
	return errors.CombineErrors(f.Sync(), f.Close())
}

// batch collects the records of one write.
type batch struct {
	start   int64 // offset of the batch in the file
	buffer  []byte
	flushed int64     // bytes of the batch already written to out
	out     io.Writer // receives buffer when it exceeds flushBytes; if nil, the batch is written in one piece
	err     error
}

// flushBytes is the buffer size in bytes at which a batch with a writer is written out.
const flushBytes = 256 << 10

func newBatch(start int64) *batch { return &batch{start: start} }

// endOffset returns the offset at which the next record begins.
func (w *batch) endOffset() int64 { return w.start + w.flushed + int64(len(w.buffer)) }

func (w *batch) appendRaw(p []byte) {
	if w.out == nil || len(p) < flushBytes {
		w.buffer = append(w.buffer, p...)
	}
	if w.out == nil || len(w.buffer)+len(p) < flushBytes {
		return
	}
	w.flushAll()
	if len(p) >= flushBytes {
		w.writeOut(p) // without a copy
	}
}

func (w *batch) flushAll() {
	w.writeOut(w.buffer)
	w.buffer = w.buffer[:0]
}

func (w *batch) writeOut(p []byte) {
	if w.err != nil || len(p) == 0 {
		return
	}
	_, w.err = w.out.Write(p)
	w.flushed += int64(len(p))
}

// appendMessage adds a record and returns the extent of its content.
func (w *batch) appendMessage(kind byte, m proto.Message) (offset int64, length int) {
	content, err := proto.Marshal(m)
	if err != nil {
		w.err = errors.CombineErrors(w.err, err)
	}
	return w.appendRecord(kind, content)
}

func (w *batch) appendRecord(kind byte, content []byte) (offset int64, length int) {
	var header [recordHeaderSize]byte
	binary.BigEndian.PutUint32(header[0:], uint32(len(content)))
	binary.BigEndian.PutUint32(header[4:], checksum(kind, content))
	header[8] = kind
	w.appendRaw(header[:])
	offset = w.endOffset()
	w.appendRaw(content)
	return offset, len(content)
}

// appendMarker adds the marker that ends the batch.
func (w *batch) appendMarker() {
	content := binary.BigEndian.AppendUint64([]byte(markerMagic), uint64(w.start))
	w.appendRecord(kindMarker, content)
}
