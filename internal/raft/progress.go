package raft

// sendMode is the way in which the leader replicates to one follower.
type sendMode int

const (
	// probing sends one message at a time until the matching index is known.
	probing sendMode = iota
	// streaming sends entries without waiting for acknowledgements.
	streaming
	// restoring waits until the follower has installed a snapshot.
	restoring
)

// progress is the leader's view of one replica.
type progress struct {
	mode sendMode
	// match is the index of the last entry known to be durable on the replica; next is the index
	// of the first entry to send.
	match uint64
	next  uint64
	// paused suspends probes until the replica replies to an append or a heartbeat.
	paused bool
	// inflight holds the last index of each unacknowledged message.
	inflight []uint64
	// sentBefore is the index of the last entry that had been sent at the last periodic heartbeat, overdue that at the one
	// before it. What isn't acknowledged up to overdue may have been lost.
	sentBefore, overdue uint64
	// snapshot is the index of the snapshot being sent.
	snapshot uint64
	// restoreElapsed is the number of heartbeats since the snapshot was sent, or the last chunk of it was
	// acknowledged.
	restoreElapsed int
	// outgoing is the snapshot that is sent in chunks; nil if it is sent in one message.
	outgoing *outgoingSnapshot
	// ignoresChunks is set if the replica acknowledged no chunk: its release may not know them.
	ignoresChunks bool
	// active is set if the replica has replied since the last quorum check.
	active bool
	// replied is set if the replica has replied in this term.
	replied bool
	// intervalsSinceReply is the number of heartbeat intervals since the last reply of the replica.
	intervalsSinceReply int
	// readSequence is the highest read sequence number that the replica has echoed.
	readSequence uint64
}

// acknowledge records that the replica matches up to index. It reports whether match advanced.
func (p *progress) acknowledge(index uint64) bool {
	if index <= p.match {
		return false
	}
	p.match = index
	p.next = max(p.next, index+1)
	p.paused = false
	for len(p.inflight) > 0 && p.inflight[0] <= index {
		p.inflight = p.inflight[1:]
	}
	if p.mode != streaming && (p.mode != restoring || index >= p.snapshot) {
		p.stream()
	}
	return true
}

// reject handles the rejection of an append after index rejected by a replica whose log matches at
// most up to hint. It returns false for the rejection of an older message, which is ignored.
func (p *progress) reject(rejected, hint uint64) bool {
	if p.mode == restoring || rejected <= p.match {
		return false
	}
	if p.mode == probing && rejected != p.next-1 {
		return false
	}
	p.probe()
	p.next = max(min(rejected, hint+1), p.match+1)
	return true
}

func (p *progress) probe() {
	p.mode = probing
	p.paused = false
	p.inflight = nil
	p.snapshot, p.outgoing = 0, nil
	p.next = p.match + 1
}

func (p *progress) stream() {
	p.mode = streaming
	p.inflight = nil
	p.snapshot, p.outgoing = 0, nil
	p.next = p.match + 1
}

func (p *progress) restore(index uint64) {
	p.mode = restoring
	p.inflight = nil
	p.snapshot, p.outgoing = index, nil
	p.restoreElapsed = 0
}

// blocked reports whether flow control forbids sending now.
func (p *progress) blocked(maxInflight int) bool {
	switch p.mode {
	case probing:
		return p.paused
	case streaming:
		return len(p.inflight) >= maxInflight
	}
	return true
}
