package raft

import (
	"hash/crc32"
	"math"

	"egretramp/internal/raft/raftpb"
)

const (
	// restoreRetryHeartbeats is the number of heartbeats without progress after which a transfer is started
	// again, with the snapshot of that moment.
	restoreRetryHeartbeats = 20
	// chunkRetryHeartbeats is the number of heartbeats without progress after which unacknowledged chunks are sent
	// again.
	chunkRetryHeartbeats = 3
	// maxWholeSnapshotBytes is the size up to which a snapshot is sent in one message to a replica that acknowledges
	// no chunks. Releases that don't know chunks receive at most 4 MiB in a message.
	maxWholeSnapshotBytes = 3 << 20
	// maxPreallocatedBytes bounds the memory that is allocated on the strength of a chunk's header.
	maxPreallocatedBytes = 64 << 20
	// minSkippedEntries is the number of entries below which a replica is always sent the log, not a snapshot that
	// replaces them.
	minSkippedEntries = 1024
	// replayBytesPerEntry is the size of a snapshot, in bytes, that a replica installs in the time in which it
	// receives, writes and applies one entry.
	replayBytesPerEntry = 2 << 10
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// outgoingSnapshot is the leader's view of a snapshot that it sends to one replica in chunks. Chunks are sent in
// order, at most maxChunksInflight at a time, and from the first unacknowledged one on after a loss.
type outgoingSnapshot struct {
	snapshot *raftpb.Snapshot
	checksum uint32
	acked    uint64 // bytes that the replica holds
	sent     uint64 // bytes that were sent, at least acked
	// resent is set if chunks were sent again since the last heartbeat, so that one loss causes one repetition.
	resent bool
}

// incomingSnapshot is the part of a snapshot that a replica has received. It outlives the link and the leader that
// sent it: a transfer of the same data continues where it stopped.
type incomingSnapshot struct {
	snapshot *raftpb.Snapshot // its data is what was received so far
	size     uint64
	checksum uint32
}

// matches reports whether a chunk belongs to the snapshot.
func (s *incomingSnapshot) matches(m *raftpb.Message) bool {
	return s.snapshot.Index == m.Snapshot.Index && s.snapshot.Term == m.Snapshot.Term &&
		s.size == m.Chunk.Size && s.checksum == m.Chunk.Checksum
}

// snapshotIsSooner reports whether a replica that needs the entries from next on has them sooner if it installs the
// snapshot first: many small entries cost more than the state that they lead to.
func (r *Raft) snapshotIsSooner(next uint64) bool {
	snapshot := r.log.snapshot
	if next+minSkippedEntries > snapshot.Index {
		return false
	}
	skipped := r.log.between(next-1, snapshot.Index)
	replay := 0
	for _, e := range skipped {
		replay += len(e.Data) + replayBytesPerEntry
	}
	return replay > len(snapshot.Data)
}

// oldestTransfer returns the index of the oldest snapshot that a replica is installing. If the entries after it were
// removed meanwhile, the replica would need another snapshot, and under load never catch up.
func (r *Raft) oldestTransfer() uint64 {
	oldest := uint64(math.MaxUint64)
	for _, p := range r.progress {
		if p.mode == restoring {
			oldest = min(oldest, p.snapshot)
		}
	}
	return oldest
}

func (r *Raft) sendSnapshot(to uint64, p *progress) {
	s := r.log.snapshot
	p.restore(s.Index)
	whole := len(s.Data) <= r.options.MaxMessageBytes
	if p.ignoresChunks && len(s.Data) <= maxWholeSnapshotBytes {
		whole, p.ignoresChunks = true, false
	}
	if whole {
		r.send(&raftpb.Message{Type: raftpb.MessageType_MESSAGE_TYPE_SNAPSHOT, To: to, Snapshot: s})
		return
	}
	p.outgoing = &outgoingSnapshot{snapshot: s, checksum: crc32.Checksum(s.Data, castagnoli)}
	r.sendChunks(to, p.outgoing)
}

// sendChunks sends further chunks as far as flow control allows.
func (r *Raft) sendChunks(to uint64, o *outgoingSnapshot) {
	size := uint64(len(o.snapshot.Data))
	chunk := uint64(r.options.MaxMessageBytes)
	for o.sent < size && o.sent < o.acked+maxChunksInflight*chunk {
		end := min(o.sent+chunk, size)
		r.send(&raftpb.Message{
			Type: raftpb.MessageType_MESSAGE_TYPE_SNAPSHOT_CHUNK, To: to,
			Snapshot: &raftpb.Snapshot{Index: o.snapshot.Index, Term: o.snapshot.Term, Conf: o.snapshot.Conf, Data: o.snapshot.Data[o.sent:end]},
			Chunk:    &raftpb.SnapshotChunk{Offset: o.sent, Size: size, Checksum: o.checksum},
		})
		o.sent = end
	}
}

// handleChunkReply continues the transfer of a snapshot.
func (r *Raft) handleChunkReply(m *raftpb.Message, p *progress) {
	o := p.outgoing
	if o == nil || m.Chunk == nil || m.Index != o.snapshot.Index || m.Chunk.Offset > uint64(len(o.snapshot.Data)) {
		return
	}
	p.ignoresChunks = false
	switch {
	case m.Chunk.Offset > o.acked:
		o.acked = m.Chunk.Offset
		o.sent = max(o.sent, o.acked)
		p.restoreElapsed = 0
	case m.Reject && !o.resent:
		// The replica misses a chunk, or all of them if it was restarted.
		o.acked, o.sent, o.resent = m.Chunk.Offset, m.Chunk.Offset, true
	}
	r.sendChunks(m.From, o)
}

// retryRestore is called at each heartbeat to a replica that installs a snapshot.
func (r *Raft) retryRestore(to uint64, p *progress) {
	p.restoreElapsed++
	o := p.outgoing
	if p.restoreElapsed >= restoreRetryHeartbeats {
		p.ignoresChunks = o != nil && o.acked == 0
		p.probe()
		return
	}
	if o == nil {
		return
	}
	o.resent = false
	if p.restoreElapsed%chunkRetryHeartbeats == 0 {
		o.sent = o.acked
		r.sendChunks(to, o)
	}
}

// handleSnapshotChunk stores the next part of a snapshot, and installs the snapshot once it is complete.
func (r *Raft) handleSnapshotChunk(m *raftpb.Message) {
	if r.holdsSnapshot(m.From, m.Snapshot) {
		return
	}
	if r.incoming == nil || !r.incoming.matches(m) {
		s := &raftpb.Snapshot{Index: m.Snapshot.Index, Term: m.Snapshot.Term, Conf: m.Snapshot.Conf}
		s.Data = make([]byte, 0, min(m.Chunk.Size, maxPreallocatedBytes))
		r.incoming = &incomingSnapshot{snapshot: s, size: m.Chunk.Size, checksum: m.Chunk.Checksum}
	}
	in := r.incoming
	inOrder := m.Chunk.Offset == uint64(len(in.snapshot.Data))
	if inOrder {
		in.snapshot.Data = append(in.snapshot.Data, m.Snapshot.Data...)
	}
	if uint64(len(in.snapshot.Data)) == in.size {
		if crc32.Checksum(in.snapshot.Data, castagnoli) == in.checksum {
			r.handleSnapshot(m.From, in.snapshot)
			return
		}
		in.snapshot.Data, inOrder = in.snapshot.Data[:0], false
	}
	r.send(&raftpb.Message{
		Type: raftpb.MessageType_MESSAGE_TYPE_SNAPSHOT_CHUNK_REPLY, To: m.From, Index: in.snapshot.Index, Reject: !inOrder,
		Chunk: &raftpb.SnapshotChunk{Offset: uint64(len(in.snapshot.Data))},
	})
}
