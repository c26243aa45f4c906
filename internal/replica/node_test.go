package replica

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"egretramp/internal/events"
	"egretramp/internal/raft/raftpb"
)

func voter(id uint64, vm string) *raftpb.Member { return &raftpb.Member{Id: id, Vm: vm} }
func learner(id uint64, vm string) *raftpb.Member {
	return &raftpb.Member{Id: id, Vm: vm, Learner: true}
}

func TestPlanFixedMembership_ReplacesALostVoterInOneStep(t *testing.T) {
	vms := []string{"a", "b", "c"}
	views := []memberState{{member: voter(1, "a")}, {member: voter(2, "b")}, {member: voter(3, "c"), unreachable: true}}
	step := planFixedMembership(views, joiners{"c": {replica: 9}}, vms)
	require.Equal(t, events.LearnerAdmitted, step.event)
	require.Len(t, step.conf.Members, 4, "the lost voter must still count")

	views = append(views, memberState{member: learner(9, "c")})
	require.Nil(t, planFixedMembership(views, joiners{"c": {replica: 9}}, vms), "the learner has not caught up")
	views[3].caughtUp = true
	step = planFixedMembership(views, joiners{}, vms)
	require.Equal(t, events.VoterReplaced, step.event)
	want := &raftpb.ConfState{Members: []*raftpb.Member{voter(1, "a"), voter(2, "b"), voter(9, "c")}}
	require.True(t, proto.Equal(want, step.conf), "%v", step.conf)

	views[2].unreachable = false
	require.Nil(t, planFixedMembership(views, joiners{}, vms), "the old replica is reachable")
	views[3].unreachable = true
	require.Equal(t, events.LearnerDropped, planFixedMembership(views, joiners{}, vms).event)
}

func TestPlanFixedMembership_AdmitsOnlyKnownVMs(t *testing.T) {
	views := []memberState{{member: voter(1, "a")}}
	require.Nil(t, planFixedMembership(views, joiners{"z": {replica: 9}}, []string{"a", "b"}))
	require.Nil(t, planFixedMembership(views, joiners{"a": {replica: 9}}, []string{"a", "b"}), "the VM has a reachable voter")
	require.Equal(t, events.LearnerAdmitted, planFixedMembership(views, joiners{"b": {replica: 9}}, []string{"a", "b"}).event)
}

// TestPlanFixedMembership_NeverWeakensTheMajority checks that a change affects at most one voter, or
// replaces an unreachable voter by a caught-up learner of its VM.
func TestPlanFixedMembership_NeverWeakensTheMajority(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var views []memberState
		for i := range rapid.IntRange(1, 6).Draw(t, "members") {
			vm := string(rune('a' + rapid.IntRange(0, 4).Draw(t, "vm")))
			views = append(views, memberState{
				member:      &raftpb.Member{Id: uint64(i + 1), Vm: vm, Learner: rapid.Bool().Draw(t, "learner")},
				unreachable: rapid.Bool().Draw(t, "silent"), caughtUp: rapid.Bool().Draw(t, "caughtUp"),
			})
		}
		step := planFixedMembership(views, joiners{"a": {replica: 90}, "e": {replica: 91}}, []string{"a", "b", "c", "d", "e"})
		if step == nil {
			return
		}
		next := map[uint64]bool{}
		for _, m := range step.conf.Members {
			if !m.Learner {
				next[m.Id] = true
			}
		}
		for _, v := range views {
			kept := next[v.member.Id]
			delete(next, v.member.Id)
			if !v.member.Learner && !kept {
				require.True(t, v.unreachable && v.member.Vm == step.vm, "voter %d was removed", v.member.Id)
			}
			if v.member.Learner && kept {
				require.True(t, v.caughtUp && !v.unreachable, "learner %d was promoted", v.member.Id)
			}
		}
		require.Empty(t, next, "a replica that was no member became a voter")
	})
}

func TestNode_IgnoresOtherFormations(t *testing.T) {
	s := newSimulation(1)
	s.faults = false
	n := s.vms[1].node
	own := n.store.Identity().Replica
	form := &raftpb.Form{Formation: 7, Conf: &raftpb.ConfState{Members: []*raftpb.Member{voter(1, "a"), voter(own, "b"), voter(3, "c")}}}
	require.NoError(t, n.step(&raftpb.Message{Type: raftpb.MessageType_MESSAGE_TYPE_FORM, Group: 1, From: 1, To: own, Form: form}))
	require.Equal(t, uint64(7), n.store.Identity().Formation)

	vote := &raftpb.Message{
		Type: raftpb.MessageType_MESSAGE_TYPE_VOTE, Group: 1, Formation: 8, From: 1, FromVm: "a", To: own,
		Term: 5, Index: 9, LogTerm: 5,
	}
	require.NoError(t, n.step(vote))
	require.Equal(t, uint64(1), n.raft.Term(), "a vote request of another formation was processed")
	vote.Formation = 7
	vote.To = own + 1
	require.NoError(t, n.step(vote))
	require.Equal(t, uint64(1), n.raft.Term(), "a message for a former replica was processed")
	vote.To = own
	require.NoError(t, n.step(vote))
	require.Equal(t, uint64(5), n.raft.Term())
	form.Formation = 8
	require.NoError(t, n.step(&raftpb.Message{Type: raftpb.MessageType_MESSAGE_TYPE_FORM, Group: 1, From: 1, To: own, Form: form}))
	require.Equal(t, uint64(7), n.store.Identity().Formation, "a second formation was accepted")
}
