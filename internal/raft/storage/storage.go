// Package storage stores the durable state of one replica in a bbolt file: identity, hard
// state, log and snapshot. Each Save is one transaction and one sync. A damaged file is
// rejected with an error that names it; it is never repaired by discarding data.
package storage

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"
	"go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
	"google.golang.org/protobuf/proto"

	"egretramp/internal/raft"
	"egretramp/internal/raft/raftpb"
)

// lockTimeout is how long Open waits for another process to release the file lock.
const lockTimeout = time.Second

var (
	metaBucket = []byte("meta")
	logBucket  = []byte("log")
	// The snapshot has its own bucket: a batch rewrites every page that it modifies, so in the
	// bucket of the hard state the snapshot would be rewritten with every batch.
	snapshotBucket = []byte("snapshot")

	identityKey = []byte("identity")
	hardKey     = []byte("hard")
	boundsKey   = []byte("bounds")
	snapshotKey = []byte("snapshot")
)

// DamagedError is returned for a damaged file, which must not be used as it is.
type DamagedError struct {
	Path  string
	Cause error
}

func (e *DamagedError) Error() string {
	return fmt.Sprintf("raft storage: %s is damaged: %v; move the file away to rejoin as a new replica", e.Path, e.Cause)
}

// Unwrap returns the cause of the error.
func (e *DamagedError) Unwrap() error { return e.Cause }

// Batch is a set of changes that is written atomically.
type Batch struct {
	// Formation binds the replica to a formation; 0 leaves it unchanged.
	Formation uint64
	// Hard is the new hard state; nil leaves it unchanged.
	Hard *raftpb.HardState
	// Snapshot is the new snapshot; nil leaves it unchanged. With ReplaceLog it replaces the
	// whole log; otherwise the entries up to BaseIndex are deleted.
	Snapshot   *raftpb.Snapshot
	ReplaceLog bool
	BaseIndex  uint64
	BaseTerm   uint64
	// Entries replace the stored entries from the first index on.
	Entries []*raftpb.Entry
}

// Store is the open file of one replica.
type Store struct {
	path     string
	db       *bbolt.DB
	identity *raftpb.Identity
	bounds   *raftpb.LogBounds
	failed   error
}

// Path returns the file path of a group in a data folder.
func Path(folder string, group uint64) string {
	return filepath.Join(folder, fmt.Sprintf("group-%d.db", group))
}

// Open opens or creates the file of a group and returns the state that it contains. A new file
// gets newIdentity, with its random replica ID; an existing file must belong to the same group
// and VM. The contents of an existing file are read and validated, then written to a new file
// that replaces it, so that a damaged free list can't direct later writes to pages in use.
func Open(folder string, newIdentity *raftpb.Identity) (*Store, raft.State, error) {
	path := Path(folder, newIdentity.Group)
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, raft.State{}, errors.Wrap(err, "raft storage")
	}
	identity := newIdentity
	var state raft.State
	if _, err := os.Stat(path); err == nil {
		identity, state, err = load(path)
		if err != nil {
			return nil, raft.State{}, err
		}
		if identity.Group != newIdentity.Group || identity.Vm != newIdentity.Vm {
			return nil, raft.State{}, errors.Newf("raft storage: %s belongs to group %d of VM %q, not to group %d of VM %q",
				path, identity.Group, identity.Vm, newIdentity.Group, newIdentity.Vm)
		}
	} else if !errors.Is(err, os.ErrNotExist) {
		return nil, raft.State{}, errors.Wrap(err, "raft storage")
	}
	store, err := rewrite(path, identity, state)
	return store, state, err
}

// load reads and validates a whole file.
func load(path string) (identity *raftpb.Identity, state raft.State, err error) {
	if err := checkHeaders(path); err != nil {
		return nil, raft.State{}, &DamagedError{Path: path, Cause: err}
	}
	// The database panics on an inconsistent page, and access to a page beyond the end of the
	// file causes a memory fault.
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil {
			err = &DamagedError{Path: path, Cause: errors.Newf("%v", r)}
		}
	}()
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{ReadOnly: true, Timeout: lockTimeout})
	if err != nil {
		if errors.Is(err, bolterrors.ErrTimeout) {
			return nil, raft.State{}, errors.Newf("raft storage: %s is in use by another process", path)
		}
		return nil, raft.State{}, &DamagedError{Path: path, Cause: err}
	}
	defer db.Close()
	err = db.View(func(tx *bbolt.Tx) error {
		identity, state, err = readAll(tx)
		return err
	})
	if err != nil {
		return nil, raft.State{}, &DamagedError{Path: path, Cause: err}
	}
	return identity, state, nil
}

func readAll(tx *bbolt.Tx) (*raftpb.Identity, raft.State, error) {
	meta, log, snapshots := tx.Bucket(metaBucket), tx.Bucket(logBucket), tx.Bucket(snapshotBucket)
	if meta == nil || log == nil || snapshots == nil {
		return nil, raft.State{}, errors.New("a bucket is missing")
	}
	identity := &raftpb.Identity{}
	if err := decodeRecord(identityKey, meta.Get(identityKey), identity); err != nil {
		return nil, raft.State{}, err
	}
	if identity.Formation == 0 {
		return identity, raft.State{}, nil
	}
	state := raft.State{Hard: &raftpb.HardState{}, Snapshot: &raftpb.Snapshot{}, Bounds: &raftpb.LogBounds{}}
	for _, part := range []struct {
		bucket *bbolt.Bucket
		key    []byte
		m      proto.Message
	}{{meta, hardKey, state.Hard}, {snapshots, snapshotKey, state.Snapshot}, {meta, boundsKey, state.Bounds}} {
		if err := decodeRecord(part.key, part.bucket.Get(part.key), part.m); err != nil {
			return nil, raft.State{}, err
		}
	}
	err := log.ForEach(func(key, value []byte) error {
		e := &raftpb.Entry{}
		if err := decodeRecord(key, value, e); err != nil {
			return err
		}
		state.Entries = append(state.Entries, e)
		return nil
	})
	if err != nil {
		return nil, raft.State{}, err
	}
	return identity, state, raft.CheckState(state)
}

// rewrite writes a state to a new file and renames it to path.
func rewrite(path string, identity *raftpb.Identity, state raft.State) (*Store, error) {
	tempPath := path + ".new"
	if err := os.Remove(tempPath); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, errors.Wrap(err, "raft storage")
	}
	db, err := openDatabase(tempPath)
	if err != nil {
		return nil, err
	}
	s := &Store{path: path, db: db, identity: identity, bounds: &raftpb.LogBounds{}}
	if err := s.writeState(state); err != nil {
		return nil, errors.CombineErrors(err, db.Close())
	}
	// The database maps its file by name when it grows, so it is closed before the rename and
	// reopened under the final name.
	if err := db.Close(); err != nil {
		return nil, errors.Wrapf(err, "raft storage: %s", tempPath)
	}
	if err := os.Rename(tempPath, path); err != nil {
		return nil, errors.Wrap(err, "raft storage")
	}
	if err := syncFolder(filepath.Dir(path)); err != nil {
		return nil, err
	}
	if s.db, err = openDatabase(path); err != nil {
		return nil, err
	}
	return s, nil
}

func openDatabase(path string) (*bbolt.DB, error) {
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockTimeout, FreelistType: bbolt.FreelistMapType})
	return db, errors.Wrapf(err, "raft storage: %s", path)
}

func (s *Store) writeState(state raft.State) error {
	err := s.db.Update(func(tx *bbolt.Tx) error {
		for _, name := range [][]byte{metaBucket, logBucket, snapshotBucket} {
			if _, err := tx.CreateBucket(name); err != nil {
				return err
			}
		}
		return putRecord(tx.Bucket(metaBucket), identityKey, s.identity)
	})
	if err != nil || s.identity.Formation == 0 {
		return errors.Wrapf(err, "raft storage: %s", s.path)
	}
	return s.Save(Batch{
		Formation: s.identity.Formation, Hard: state.Hard, Snapshot: state.Snapshot,
		ReplaceLog: true, BaseIndex: state.Bounds.BaseIndex, BaseTerm: state.Bounds.BaseTerm, Entries: state.Entries,
	})
}

func syncFolder(folder string) error {
	f, err := os.Open(folder)
	if err != nil {
		return errors.Wrap(err, "raft storage")
	}
	defer f.Close()
	return errors.Wrapf(f.Sync(), "raft storage: sync %s", folder)
}

// Identity returns the identity of the replica. The caller must not modify it.
func (s *Store) Identity() *raftpb.Identity { return s.identity }

// Path returns the path of the file.
func (s *Store) Path() string { return s.path }

// Close closes the file.
func (s *Store) Close() error { return errors.Wrapf(s.db.Close(), "raft storage: %s", s.path) }
