package raft

// sendMode says how the leader sends to one replica.
type sendMode int

const (
	// probing sends one message at a time until the replica's log is known to match.
	probing sendMode = iota
	// streaming sends ahead of the acknowledgements.
	streaming
	// restoring waits for a snapshot to be installed.
	restoring
)

// progress is what the leader knows of one replica.
type progress struct {
	mode sendMode
	// match is the last entry known to be durable there; next the first to send.
	match uint64
	next  uint64
	// paused stops probes until a reply or a heartbeat interval.
	paused bool
	// inflight are the last indexes of the messages on the way.
	inflight []uint64
	// snapshot is the index of the snapshot on the way.
	snapshot uint64
	// restoreElapsed counts the heartbeats since the snapshot was sent.
	restoreElapsed int
	// active: heard since the last check of the quorum; heard: ever in this term.
	active  bool
	replied bool
	// intervalsSinceReply counts the heartbeat intervals since the replica was last heard.
	intervalsSinceReply int
	// readSequence is the highest one that the replica has confirmed.
	readSequence uint64
}

// acknowledge notes a match and reports whether it is news.
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

// reject notes that the replica lacks entry refused and has at most hint. A refusal of an
// older message is ignored.
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
	p.snapshot = 0
	p.next = p.match + 1
}

func (p *progress) stream() {
	p.mode = streaming
	p.inflight = nil
	p.snapshot = 0
	p.next = p.match + 1
}

func (p *progress) restore(index uint64) {
	p.mode = restoring
	p.inflight = nil
	p.snapshot = index
	p.restoreElapsed = 0
}

// blocked tells whether nothing may be sent now.
func (p *progress) blocked(maxInflight int) bool {
	switch p.mode {
	case probing:
		return p.paused
	case streaming:
		return len(p.inflight) >= maxInflight
	}
	return true
}
