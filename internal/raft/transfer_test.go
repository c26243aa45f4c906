package raft

import (
	"bytes"
	"math/rand"
	"testing"

	"github.com/stretchr/testify/require"

	"egretramp/internal/raft/raftpb"
)

// transferCluster is a leader, replica 1, with a large snapshot, and an empty follower, replica 3. Replica 2 only votes.
type transferCluster struct {
	t                testing.TB
	leader, follower *Raft
	data             []byte
	// deliver decides whether a message between the two arrives; it may change the message. nil: all arrive.
	deliver   func(m *raftpb.Message) bool
	chunks    int
	chunkByte int // data bytes sent in chunks
	whole     int // snapshots sent in one message
	inFlight  int // the most data bytes sent in chunks between two exchanges
}

func newTransferCluster(t testing.TB, size int) *transferCluster {
	data := make([]byte, size)
	_, err := rand.New(rand.NewSource(1)).Read(data)
	require.NoError(t, err)
	r, err := New(Options{ID: 1, ElectionTicks: 10, HeartbeatTicks: 2, Seed: 1, State: State{
		Hard:     &raftpb.HardState{Term: 1, Commit: 500},
		Snapshot: &raftpb.Snapshot{Index: 500, Term: 1, Conf: conf(1, 2, 3), Data: data},
		Bounds:   &raftpb.LogBounds{BaseIndex: 500, BaseTerm: 1, LastIndex: 500},
	}})
	require.NoError(t, err)
	c := &transferCluster{t: t, leader: r, data: data}
	elect(r)
	c.startFollower()
	return c
}

// startFollower starts replica 3 with an empty log, as after the loss of its disk or of its memory before the snapshot
// was complete.
func (c *transferCluster) startFollower() {
	r, err := New(Options{ID: 3, ElectionTicks: 10, HeartbeatTicks: 2, Seed: 3, State: State{
		Hard: &raftpb.HardState{}, Snapshot: &raftpb.Snapshot{Conf: conf(1, 2, 3)}, Bounds: &raftpb.LogBounds{},
	}})
	require.NoError(c.t, err)
	c.follower = r
}

// exchange passes the messages of both replicas on once and reports whether the follower installed a snapshot.
func (c *transferCluster) exchange() (installed bool) {
	sent := 0
	for _, m := range flush(c.leader) {
		if m.Type == raftpb.MessageType_MESSAGE_TYPE_SNAPSHOT_CHUNK {
			c.chunks++
			sent += len(m.Snapshot.Data)
		}
		if m.Type == raftpb.MessageType_MESSAGE_TYPE_SNAPSHOT {
			c.whole++
		}
		m.Group, m.Formation = 1, 1
		require.NoError(c.t, CheckMessage(m))
		if m.To == 3 && (c.deliver == nil || c.deliver(m)) {
			c.follower.Step(m)
		}
		if m.To == 2 && m.Type == raftpb.MessageType_MESSAGE_TYPE_HEARTBEAT {
			c.leader.Step(&raftpb.Message{Type: raftpb.MessageType_MESSAGE_TYPE_HEARTBEAT_REPLY, From: 2, To: 1, Term: c.leader.Term()})
		}
	}
	c.chunkByte += sent
	c.inFlight = max(c.inFlight, sent)
	for rd := c.follower.Ready(); rd != nil; rd = c.follower.Ready() {
		if rd.Snapshot != nil {
			require.True(c.t, bytes.Equal(c.data, rd.Snapshot.Data))
			installed = true
		}
		for _, m := range rd.Messages {
			m.Group, m.Formation = 1, 1
			require.NoError(c.t, CheckMessage(m))
			if c.deliver == nil || c.deliver(m) {
				c.leader.Step(m)
			}
		}
		c.follower.Advance()
	}
	return installed
}

// run exchanges messages, with some rounds for each tick of the leader, until a snapshot is installed, and returns the
// ticks that passed.
func (c *transferCluster) run(maxTicks int) (ticks int) {
	for ticks = range maxTicks {
		c.leader.Tick()
		for range 4 {
			if c.exchange() {
				return ticks
			}
		}
	}
	c.t.Fatalf("no snapshot was installed within %d ticks; %d chunks were sent", maxTicks, c.chunks)
	return 0
}

// TestTransfer_SnapshotLargerThanAMessage guards against replicas that are never filled again once the state exceeds
// what a connection between VMs takes in one message.
func TestTransfer_SnapshotLargerThanAMessage(t *testing.T) {
	const size = 10 << 20
	c := newTransferCluster(t, size)
	c.run(40)
	require.Equal(t, size, c.chunkByte, "without a loss each byte is sent once")
	require.LessOrEqual(t, c.inFlight, maxChunksInflight*DefaultMaxMessageBytes)
	require.Zero(t, c.whole)
	_, err := c.leader.Propose([]byte("x"))
	require.NoError(t, err)
	for range 20 {
		c.leader.Tick()
		c.exchange()
	}
	require.Equal(t, c.leader.LastIndex(), c.follower.LastIndex(), "the log follows the snapshot")
}

// TestTransfer_KeepsLogForTransfer guards against replicas that never catch up under load: by the time they have
// installed a snapshot, the leader has removed the entries after it.
func TestTransfer_KeepsLogForTransfer(t *testing.T) {
	c := newTransferCluster(t, 4<<20)
	for c.chunks == 0 {
		c.leader.Tick()
		c.exchange()
	}
	for range 100 {
		_, err := c.leader.Propose([]byte("x"))
		require.NoError(t, err)
		acknowledge(c.leader, 2, c.leader.LastIndex())
	}
	c.leader.Tick()
	require.Equal(t, c.leader.LastIndex(), c.leader.Commit())
	compaction := c.leader.Compact(c.leader.Commit(), []byte("later state"), 10)
	require.EqualValues(t, 500, compaction.BaseIndex)
	c.run(40)
	for range 20 {
		c.leader.Tick()
		c.exchange()
	}
	require.Equal(t, c.leader.LastIndex(), c.follower.LastIndex())
	require.Zero(t, c.whole)
	require.Equal(t, 16, c.chunks, "no second snapshot was sent")
	_, err := c.leader.Propose([]byte("x"))
	require.NoError(t, err)
	acknowledge(c.leader, 2, c.leader.LastIndex())
	require.EqualValues(t, c.leader.Commit()-10, c.leader.Compact(c.leader.Commit(), nil, 10).BaseIndex, "and the log is cut again")
}

func TestTransfer_SmallSnapshotGoesInOneMessage(t *testing.T) {
	c := newTransferCluster(t, DefaultMaxMessageBytes)
	c.run(10)
	require.Zero(t, c.chunks)
	require.Equal(t, 1, c.whole)
}

// TestTransfer_ContinuesAfterBrokenLink guards against transfers that begin anew whenever a connection breaks.
func TestTransfer_ContinuesAfterBrokenLink(t *testing.T) {
	const size = 8 << 20
	c := newTransferCluster(t, size)
	cutAt, downFor := size/2, 8*3 // ticks
	down := 0
	c.deliver = func(*raftpb.Message) bool { return down == 0 }
	for ticks := 0; ; ticks++ {
		require.Less(t, ticks, 200)
		if c.chunkByte >= cutAt && down == 0 && downFor > 0 {
			down = downFor
			downFor = 0
		}
		c.leader.Tick()
		installed := false
		for range 2 {
			installed = installed || c.exchange()
		}
		down = max(0, down-1)
		if installed {
			break
		}
	}
	require.Less(t, c.chunkByte, size+8*maxChunksInflight*DefaultMaxMessageBytes, "only what was under way is sent again")
}

// TestTransfer_ContinuesAfterLosses drops, repeats and reorders chunks and their replies.
func TestTransfer_ContinuesAfterLosses(t *testing.T) {
	for seed := range int64(20) {
		c := newTransferCluster(t, 4<<20)
		random := rand.New(rand.NewSource(seed))
		var delayed []*raftpb.Message
		c.deliver = func(m *raftpb.Message) bool {
			switch random.Intn(12) {
			case 0:
				return false
			case 1:
				if m.To == 3 {
					c.follower.Step(m) // twice
				}
			case 2:
				delayed = append(delayed, m)
				return false
			case 3:
				for _, old := range delayed {
					if old.To == 3 {
						c.follower.Step(old)
					} else {
						c.leader.Step(old)
					}
				}
				delayed = nil
			}
			return true
		}
		c.run(600)
	}
}

// TestTransfer_RestartedFollower loses the part that the follower held, in memory only.
func TestTransfer_RestartedFollower(t *testing.T) {
	c := newTransferCluster(t, 8<<20)
	for c.chunkByte < 4<<20 {
		c.leader.Tick()
		c.exchange()
	}
	c.startFollower()
	c.run(100)
}

// TestTransfer_DamagedChunk guards against a state that isn't the leader's.
func TestTransfer_DamagedChunk(t *testing.T) {
	c := newTransferCluster(t, 2<<20)
	damaged := false
	c.deliver = func(m *raftpb.Message) bool {
		if m.Type == raftpb.MessageType_MESSAGE_TYPE_SNAPSHOT_CHUNK && m.Chunk.Offset > 0 && !damaged {
			damaged = true
			m.Snapshot.Data = append([]byte(nil), m.Snapshot.Data...)
			m.Snapshot.Data[7] ^= 1
		}
		return true
	}
	c.run(100)
	require.True(t, damaged)
}

// TestTransfer_FollowerWithoutChunks plays a follower of the release before chunks: it ignores them.
func TestTransfer_FollowerWithoutChunks(t *testing.T) {
	c := newTransferCluster(t, 2<<20)
	c.deliver = func(m *raftpb.Message) bool { return m.Type != raftpb.MessageType_MESSAGE_TYPE_SNAPSHOT_CHUNK }
	ticks := c.run(200)
	require.Equal(t, 1, c.whole)
	require.LessOrEqual(t, ticks, 2*2*(restoreRetryHeartbeats+2))
}

// TestTransfer_LeaderOfEarlierReleaseSendsWholeSnapshot plays a leader that doesn't know chunks.
func TestTransfer_LeaderOfEarlierReleaseSendsWholeSnapshot(t *testing.T) {
	c := newTransferCluster(t, 1<<20)
	c.follower.Step(&raftpb.Message{Type: raftpb.MessageType_MESSAGE_TYPE_SNAPSHOT, From: 1, To: 3, Term: c.leader.Term(), Snapshot: c.leader.log.snapshot})
	require.NotNil(t, c.follower.Ready().Snapshot)
}

// TestTransfer_ChoosesWhatIsSooner guards against empty replicas that are sent each entry since the group's formation,
// though the state that they lead to is small.
func TestTransfer_ChoosesWhatIsSooner(t *testing.T) {
	for _, c := range []struct {
		name             string
		entries, entry   int // number and bytes of each
		snapshot, behind int // bytes, and entries that the replica lacks up to the snapshot
		want             bool
	}{
		{"a replica that lags slightly", 20000, 500, 1 << 20, 900, false},
		{"an empty replica and a small state", 20000, 500, 10 << 20, 20000, true},
		{"an empty replica and a state of long conversations", 3000, 2000, 60 << 20, 3000, false},
		{"a replica that was down for long", 20000, 500, 10 << 20, 9000, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			entries := make([]*raftpb.Entry, c.entries)
			for i := range entries {
				entries[i] = &raftpb.Entry{Index: uint64(i) + 2, Term: 1, Data: make([]byte, c.entry)}
			}
			last := uint64(c.entries) + 1
			r, err := New(Options{ID: 1, ElectionTicks: 10, HeartbeatTicks: 2, State: State{
				Hard:     &raftpb.HardState{Term: 1, Commit: last},
				Snapshot: &raftpb.Snapshot{Index: last, Term: 1, Conf: conf(1, 2, 3), Data: make([]byte, c.snapshot)},
				Bounds:   &raftpb.LogBounds{BaseIndex: 1, BaseTerm: 1, LastIndex: last},
				Entries:  entries,
			}})
			require.NoError(t, err)
			require.Equal(t, c.want, r.snapshotIsSooner(last-uint64(c.behind)+1))
		})
	}
}

func TestTransfer_RejectsMalformedChunks(t *testing.T) {
	valid := func() *raftpb.Message {
		return &raftpb.Message{
			Type: raftpb.MessageType_MESSAGE_TYPE_SNAPSHOT_CHUNK, Group: 1, Formation: 1, From: 1, To: 3, Term: 2,
			Snapshot: &raftpb.Snapshot{Index: 9, Term: 1, Conf: conf(1, 2, 3), Data: []byte("part")},
			Chunk:    &raftpb.SnapshotChunk{Offset: 4, Size: 8},
		}
	}
	require.NoError(t, CheckMessage(valid()))
	for name, change := range map[string]func(m *raftpb.Message){
		"no chunk":       func(m *raftpb.Message) { m.Chunk = nil },
		"no snapshot":    func(m *raftpb.Message) { m.Snapshot = nil },
		"no data":        func(m *raftpb.Message) { m.Snapshot.Data = nil },
		"no membership":  func(m *raftpb.Message) { m.Snapshot.Conf = nil },
		"beyond the end": func(m *raftpb.Message) { m.Chunk.Size = 7 },
		"overflow":       func(m *raftpb.Message) { m.Chunk.Offset = 1<<64 - 2 },
		"no term":        func(m *raftpb.Message) { m.Term = 0 },
		"reply without chunk": func(m *raftpb.Message) {
			*m = raftpb.Message{Type: raftpb.MessageType_MESSAGE_TYPE_SNAPSHOT_CHUNK_REPLY, Group: 1, Formation: 1, From: 3, To: 1, Term: 2}
		},
	} {
		m := valid()
		change(m)
		require.Error(t, CheckMessage(m), name)
	}
	huge := valid()
	huge.Chunk.Size = 1 << 60
	r := newReplica(t, 1)
	huge.To = 1
	huge.From = 2
	require.NoError(t, CheckMessage(huge))
	r.Step(huge) // allocates a bounded amount
	require.NotEmpty(t, flush(r))
}
