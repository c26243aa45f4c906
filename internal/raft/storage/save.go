package storage

import (
	"github.com/cockroachdb/errors"
	"go.etcd.io/bbolt"
	"google.golang.org/protobuf/proto"

	"egretramp/internal/raft/raftpb"
)

// Save writes a batch durably. After an error the state on disk is unknown, so every later
// call returns the same error and the replica must stop.
func (s *Store) Save(b Batch) error {
	if s.failed != nil {
		return s.failed
	}
	identity := proto.Clone(s.identity).(*raftpb.Identity)
	bounds := proto.Clone(s.bounds).(*raftpb.LogBounds)
	err := s.db.Update(func(tx *bbolt.Tx) error { return writeBatch(tx, b, identity, bounds) })
	if err != nil {
		s.failed = errors.Wrapf(err, "raft storage: write %s", s.path)
		return s.failed
	}
	s.identity, s.bounds = identity, bounds
	return nil
}

func writeBatch(tx *bbolt.Tx, b Batch, identity *raftpb.Identity, bounds *raftpb.LogBounds) error {
	meta, log := tx.Bucket(metaBucket), tx.Bucket(logBucket)
	if b.Formation != 0 && b.Formation != identity.Formation {
		if identity.Formation != 0 {
			return errors.Newf("the replica belongs to formation %x already", identity.Formation)
		}
		identity.Formation = b.Formation
		if err := putRecord(meta, identityKey, identity); err != nil {
			return err
		}
	}
	if b.Hard != nil {
		if err := putRecord(meta, hardKey, b.Hard); err != nil {
			return err
		}
	}
	if err := writeSnapshot(tx.Bucket(snapshotBucket), log, b, bounds); err != nil {
		return err
	}
	if err := writeEntries(log, b.Entries, bounds); err != nil {
		return err
	}
	return putRecord(meta, boundsKey, bounds)
}

func writeSnapshot(snapshots, log *bbolt.Bucket, b Batch, bounds *raftpb.LogBounds) error {
	if b.Snapshot == nil {
		return nil
	}
	if err := putRecord(snapshots, snapshotKey, b.Snapshot); err != nil {
		return err
	}
	if b.ReplaceLog {
		if err := deleteEntries(log, bounds.BaseIndex+1, bounds.LastIndex); err != nil {
			return err
		}
		bounds.BaseIndex, bounds.BaseTerm, bounds.LastIndex = b.BaseIndex, b.BaseTerm, b.BaseIndex
		return nil
	}
	if err := deleteEntries(log, bounds.BaseIndex+1, b.BaseIndex); err != nil {
		return err
	}
	bounds.BaseIndex, bounds.BaseTerm = b.BaseIndex, b.BaseTerm
	return nil
}

func writeEntries(log *bbolt.Bucket, entries []*raftpb.Entry, bounds *raftpb.LogBounds) error {
	if len(entries) == 0 {
		return nil
	}
	first := entries[0].Index
	if first <= bounds.BaseIndex || first > bounds.LastIndex+1 {
		return errors.Newf("entry %d doesn't follow the log (%d to %d)", first, bounds.BaseIndex, bounds.LastIndex)
	}
	if err := deleteEntries(log, first, bounds.LastIndex); err != nil {
		return err
	}
	for _, e := range entries {
		if err := putRecord(log, indexKey(e.Index), e); err != nil {
			return err
		}
		bounds.LastIndex = e.Index
	}
	return nil
}

// deleteEntries deletes the entries from first to last, inclusive.
func deleteEntries(log *bbolt.Bucket, first, last uint64) error {
	for index := first; index <= last; index++ {
		if err := log.Delete(indexKey(index)); err != nil {
			return err
		}
	}
	return nil
}

func putRecord(bucket *bbolt.Bucket, key []byte, m proto.Message) error {
	record, err := encodeRecord(key, m)
	if err != nil {
		return err
	}
	return bucket.Put(key, record)
}
