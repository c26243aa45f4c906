package raft

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"egretramp/internal/raft/raftpb"
)

func conf(voters ...uint64) *raftpb.ConfState {
	c := &raftpb.ConfState{}
	for _, id := range voters {
		c.Members = append(c.Members, &raftpb.Member{Id: id, Vm: string(rune('a' + id - 1))})
	}
	return c
}

// newReplica returns replica 1 of the voters 1, 2 and 3 with the given entries after index 1.
func newReplica(t testing.TB, term uint64, entries ...*raftpb.Entry) *Raft {
	r, err := New(Options{ID: 1, ElectionTicks: 10, HeartbeatTicks: 2, Seed: 1, State: State{
		Hard:     &raftpb.HardState{Term: term, Commit: 1},
		Snapshot: &raftpb.Snapshot{Index: 1, Term: 1, Conf: conf(1, 2, 3)},
		Bounds:   &raftpb.LogBounds{BaseIndex: 1, BaseTerm: 1, LastIndex: 1 + uint64(len(entries))},
		Entries:  entries,
	}})
	require.NoError(t, err)
	return r
}

// flush handles every pending Ready and returns the messages to send.
func flush(r *Raft) []*raftpb.Message {
	var sent []*raftpb.Message
	for rd := r.Ready(); rd != nil; rd = r.Ready() {
		sent = append(sent, rd.Messages...)
		r.Advance()
	}
	return sent
}

// elect makes r the leader with the vote of replica 2.
func elect(r *Raft) {
	for r.Role() != PreCandidate {
		r.Tick()
	}
	r.Step(&raftpb.Message{Type: raftpb.MessageType_MESSAGE_TYPE_PRE_VOTE_REPLY, From: 2, To: 1, Term: r.Term() + 1})
	r.Step(&raftpb.Message{Type: raftpb.MessageType_MESSAGE_TYPE_VOTE_REPLY, From: 2, To: 1, Term: r.Term()})
	flush(r)
}

// acknowledge processes an append reply of a member that holds the log up to index.
func acknowledge(r *Raft, from, index uint64) {
	r.Step(&raftpb.Message{Type: raftpb.MessageType_MESSAGE_TYPE_APPEND_REPLY, From: from, To: 1, Term: r.Term(), Index: index})
	flush(r)
}

func TestRaft_CommitsOlderTermOnlyThroughOwnTerm(t *testing.T) {
	r := newReplica(t, 2, &raftpb.Entry{Index: 2, Term: 2})
	elect(r)
	require.Equal(t, Leader, r.Role())
	acknowledge(r, 2, 2)
	require.Equal(t, uint64(1), r.Commit(), "the entry of the older term 2 must not be committed by counting replicas")
	acknowledge(r, 2, 3)
	require.Equal(t, uint64(3), r.Commit())
}

func TestRaft_RejectsUnsafeMembership(t *testing.T) {
	r := newReplica(t, 1)
	elect(r)
	_, err := r.ProposeMembership(conf(1, 2))
	require.ErrorIs(t, err, ErrChangePending, "no entry of this term is committed yet")
	acknowledge(r, 2, 2)

	withLearner := conf(1, 2, 3)
	withLearner.Members = append(withLearner.Members, &raftpb.Member{Id: 9, Vm: "c", Learner: true})
	_, err = r.ProposeMembership(withLearner)
	require.NoError(t, err)
	replaced := conf(1, 2)
	replaced.Members = append(replaced.Members, &raftpb.Member{Id: 9, Vm: "c"})
	_, err = r.ProposeMembership(replaced)
	require.ErrorIs(t, err, ErrChangePending)
	acknowledge(r, 2, 3)
	_, err = r.ProposeMembership(replaced)
	require.ErrorIs(t, err, ErrUnsafeChange, "the learner has no entries yet")
	acknowledge(r, 9, 2)
	_, err = r.ProposeMembership(replaced)
	require.ErrorIs(t, err, ErrUnsafeChange, "the learner lacks a committed entry")
	acknowledge(r, 9, 3)

	for name, c := range map[string]*raftpb.ConfState{
		"removal of two voters":     conf(1),
		"removal of the leader":     conf(2, 3),
		"replacement on another VM": {Members: append(conf(1, 3).Members, &raftpb.Member{Id: 9, Vm: "c"})},
		"unknown voter":             conf(1, 2, 3, 4),
		"duplicate ID":              conf(1, 2, 3, 3),
		"no voters":                 {},
		"replaced voter as learner": {Members: append(replaced.Members[:3:3], &raftpb.Member{Id: 3, Vm: "c", Learner: true})},
	} {
		_, err = r.ProposeMembership(c)
		require.ErrorIs(t, err, ErrUnsafeChange, name)
	}
	_, err = r.ProposeMembership(replaced)
	require.NoError(t, err)
}

func TestRaft_PartitionedLeaderStepsDown(t *testing.T) {
	r := newReplica(t, 1)
	elect(r)
	acknowledge(r, 2, 2)
	require.NoError(t, r.ReadIndex(5))
	for range 2 * 10 {
		r.Tick()
	}
	require.Equal(t, Follower, r.Role())
	require.Equal(t, []Read{{ID: 5}}, r.Ready().Reads, "an unconfirmed read must fail")
}

func TestRaft_IgnoresCandidatesWhileLeaderIsActive(t *testing.T) {
	r := newReplica(t, 1)
	r.Step(&raftpb.Message{Type: raftpb.MessageType_MESSAGE_TYPE_HEARTBEAT, From: 2, To: 1, Term: 2})
	flush(r)
	vote := &raftpb.Message{Type: raftpb.MessageType_MESSAGE_TYPE_VOTE, From: 3, To: 1, Term: 9, Index: 5, LogTerm: 5}
	r.Step(vote)
	require.Equal(t, uint64(2), r.Term())
	vote.Transfer = true
	r.Step(vote)
	require.Equal(t, uint64(9), r.Term())
	sent := flush(r)
	require.Len(t, sent, 1)
	require.False(t, sent[0].Reject)
}

func TestRaft_BoundsMessagesInFlight(t *testing.T) {
	r := newReplica(t, 1)
	r.options.MaxMessageBytes = 1
	elect(r)
	acknowledge(r, 2, 2)
	for range 3 * DefaultMaxInflight {
		_, err := r.Propose([]byte("x"))
		require.NoError(t, err)
	}
	appends := 0
	for _, m := range flush(r) {
		if m.To == 2 && m.Type == raftpb.MessageType_MESSAGE_TYPE_APPEND {
			appends++
		}
	}
	require.Equal(t, DefaultMaxInflight, appends)
}

func FuzzDecodeMessage(f *testing.F) {
	for _, m := range []*raftpb.Message{
		{Type: raftpb.MessageType_MESSAGE_TYPE_APPEND, Index: 1, LogTerm: 1, Entries: []*raftpb.Entry{{Index: 2, Term: 2}}},
		{Type: raftpb.MessageType_MESSAGE_TYPE_SNAPSHOT, Snapshot: &raftpb.Snapshot{Index: 9, Term: 2, Conf: conf(1, 2)}},
		{Type: raftpb.MessageType_MESSAGE_TYPE_VOTE, Index: 1, LogTerm: 1},
		{Type: raftpb.MessageType_MESSAGE_TYPE_HEARTBEAT, Commit: 1},
	} {
		m.Group, m.Formation, m.From, m.To, m.Term = 1, 1, 2, 1, 2
		data, err := proto.Marshal(m)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := DecodeMessage(data)
		if err != nil {
			return
		}
		// A message that passes validation must not violate the invariants of a replica.
		r := newReplica(t, 1)
		r.Step(m)
		flush(r)
	})
}

func TestRaft_ReceivedFromLeaderResetsOnRead(t *testing.T) {
	r := newReplica(t, 1)
	require.False(t, r.ReceivedFromLeader())
	r.Step(&raftpb.Message{Type: raftpb.MessageType_MESSAGE_TYPE_PRE_VOTE, From: 2, To: 1, Term: 2})
	require.False(t, r.ReceivedFromLeader(), "the message is from a candidate")
	r.Step(&raftpb.Message{Type: raftpb.MessageType_MESSAGE_TYPE_HEARTBEAT, From: 2, To: 1, Term: 2})
	require.True(t, r.ReceivedFromLeader())
	require.False(t, r.ReceivedFromLeader())
	r.Step(&raftpb.Message{Type: raftpb.MessageType_MESSAGE_TYPE_HEARTBEAT, From: 3, To: 1, Term: 1})
	require.False(t, r.ReceivedFromLeader(), "the message is of an older term")
}

func TestRaft_ReadIndexAtHeartbeatSendsNoHeartbeats(t *testing.T) {
	r := newReplica(t, 1)
	elect(r)
	acknowledge(r, 2, 2)
	flush(r)
	require.NoError(t, r.ReadIndexAtHeartbeat(5))
	require.Nil(t, r.Ready(), "no heartbeats must be sent for the read")
	old := &raftpb.Message{Type: raftpb.MessageType_MESSAGE_TYPE_HEARTBEAT_REPLY, From: 2, To: 1, Term: r.Term()}
	r.Step(old)
	require.Nil(t, r.Ready(), "a reply to an earlier heartbeat must not confirm the read")
	var heartbeat *raftpb.Message
	for heartbeat == nil {
		r.Tick()
		for _, m := range flush(r) {
			if m.To == 2 {
				heartbeat = m
			}
		}
	}
	reply := proto.Clone(old).(*raftpb.Message)
	reply.ReadSequence = heartbeat.ReadSequence
	r.Step(reply)
	require.Equal(t, []Read{{ID: 5, Index: 2, OK: true}}, r.Ready().Reads)
	r.Advance()
	require.NoError(t, r.ReadIndex(6))
	require.Len(t, flush(r), 2, "ReadIndex must send a heartbeat to each member")
}

// TestRaft_LearnersGetNothingAheadOfTheVoters guards against groups without a leader for ever: a learner with entries of a lost
// leader's term refused its vote to a voter that, by an uncommitted entry, counted it as a voter.
func TestRaft_LearnersGetNothingAheadOfTheVoters(t *testing.T) {
	state := conf(1, 2, 3)
	state.Members = append(state.Members, &raftpb.Member{Id: 4, Vm: "d", Learner: true})
	r, err := New(Options{ID: 1, ElectionTicks: 10, HeartbeatTicks: 2, Seed: 1, State: State{
		Hard: &raftpb.HardState{Term: 1, Commit: 1}, Snapshot: &raftpb.Snapshot{Index: 1, Term: 1, Conf: state},
		Bounds: &raftpb.LogBounds{BaseIndex: 1, BaseTerm: 1, LastIndex: 1},
	}})
	require.NoError(t, err)
	sentToLearner := func(messages []*raftpb.Message) (entries int) {
		for _, m := range messages {
			if m.To == 4 {
				entries += len(m.Entries)
			}
		}
		return entries
	}
	elect(r)
	r.Step(&raftpb.Message{Type: raftpb.MessageType_MESSAGE_TYPE_APPEND_REPLY, From: 4, To: 1, Term: r.Term(), Index: 1})
	_, err = r.Propose([]byte("x"))
	require.NoError(t, err)
	require.Zero(t, sentToLearner(flush(r)))
	for range r.options.HeartbeatTicks {
		r.Tick()
	}
	flush(r)
	r.Step(&raftpb.Message{Type: raftpb.MessageType_MESSAGE_TYPE_HEARTBEAT_REPLY, From: 4, To: 1, Term: r.Term()})
	require.Zero(t, sentToLearner(flush(r)))
	r.Step(&raftpb.Message{Type: raftpb.MessageType_MESSAGE_TYPE_APPEND_REPLY, From: 2, To: 1, Term: r.Term(), Index: 2})
	require.Equal(t, 2, sentToLearner(flush(r)), "a majority of the voters holds an entry of this term")
}
