package replica

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"egretramp/internal/events"
	"egretramp/internal/raft/raftpb"
)

const testLostTicks = 60

func policyWithVoters(voters int) openPolicy {
	return openPolicy{OpenMembership: OpenMembership{Voters: voters}, self: 1, lostTicks: testLostTicks}
}

func lostMember(m *raftpb.Member) memberState {
	return memberState{member: m, unreachable: true, ticksSinceContact: testLostTicks + 1}
}

func caughtUpMember(m *raftpb.Member) memberState { return memberState{member: m, caughtUp: true} }

func TestPlanOpenMembership_PromotesUpToTheVoterCount(t *testing.T) {
	views := []memberState{{member: voter(1, "a")}, {member: voter(2, "b")}}
	step := planOpenMembership(views, joiners{"c": {replica: 3}}, policyWithVoters(3))
	require.Equal(t, events.LearnerAdmitted, step.event)
	views = append(views, caughtUpMember(learner(3, "c")))
	require.Equal(t, events.VoterPromoted, planOpenMembership(views, joiners{}, policyWithVoters(3)).event)
	views[2] = memberState{member: voter(3, "c")}
	views = append(views, caughtUpMember(learner(4, "d")))
	require.Nil(t, planOpenMembership(views, joiners{}, policyWithVoters(3)), "a spare replica must stay a learner")
}

func TestPlanOpenMembership_ReplacesALostVoterByAnotherVMInTwoSteps(t *testing.T) {
	views := []memberState{{member: voter(1, "a")}, {member: voter(2, "b")}, lostMember(voter(3, "c")), caughtUpMember(learner(4, "d"))}
	step := planOpenMembership(views, joiners{}, policyWithVoters(3))
	require.Equal(t, events.VoterPromoted, step.event)
	require.Len(t, step.conf.Members, 4, "the lost voter may return with its disk, so both must count")
	views[3] = memberState{member: voter(4, "d")}
	step = planOpenMembership(views, joiners{}, policyWithVoters(3))
	require.Equal(t, events.VoterRemoved, step.event)
	require.Equal(t, "c", step.vm)

	views[2] = memberState{member: voter(3, "c")}
	step = planOpenMembership(views, joiners{}, policyWithVoters(3))
	require.Equal(t, events.VoterRemoved, step.event, "a majority of four voters is three, as with five")
	require.NotEqual(t, uint64(1), step.replica, "the leader must not remove itself")
}

func TestPlanOpenMembership_KeepsVotersDuringAShortOutage(t *testing.T) {
	views := []memberState{{member: voter(1, "a")}, {member: voter(2, "b")}, {member: voter(3, "c"), unreachable: true, ticksSinceContact: 20}, caughtUpMember(learner(4, "d"))}
	require.Nil(t, planOpenMembership(views, joiners{}, policyWithVoters(3)))
}

func TestPlanOpenMembership_ReplacesALostDiskInOneStep(t *testing.T) {
	views := []memberState{{member: voter(1, "a")}, {member: voter(2, "b")}, lostMember(voter(3, "c")), caughtUpMember(learner(9, "c")), caughtUpMember(learner(4, "d"))}
	step := planOpenMembership(views, joiners{}, policyWithVoters(3))
	require.Equal(t, events.VoterReplaced, step.event)
	require.Len(t, step.conf.Members, 4)
}

func TestPlanOpenMembership_PrefersZonesWithoutAVoter(t *testing.T) {
	zones := map[string]string{"a": "x", "b": "y", "c": "x", "d": "z"}
	p := policyWithVoters(3)
	p.Zone = func(vm string) string { return zones[vm] }
	views := []memberState{{member: voter(1, "a")}, {member: voter(2, "b")}, caughtUpMember(learner(3, "c")), caughtUpMember(learner(4, "d"))}
	require.Equal(t, "d", planOpenMembership(views, joiners{}, p).vm)
	views = []memberState{{member: voter(1, "b")}, {member: voter(2, "a")}, {member: voter(3, "c")}, {member: voter(4, "d")}}
	require.Contains(t, []string{"a", "c"}, planOpenMembership(views, joiners{}, p).vm, "one of the two voters in the same zone must be removed first")
}

func TestPlanOpenMembership_MovesReplicasOffALeavingVM(t *testing.T) {
	p := policyWithVoters(3)
	p.Leaving = func(vm string) bool { return vm == "b" }
	views := []memberState{{member: voter(1, "a")}, {member: voter(2, "b")}, {member: voter(3, "c")}}
	require.Nil(t, planOpenMembership(views, joiners{"b": {replica: 9}}, p), "no learner can replace it yet")
	views = append(views, caughtUpMember(learner(4, "d")))
	require.Equal(t, "d", planOpenMembership(views, joiners{}, p).vm)
	views[3] = memberState{member: voter(4, "d")}
	step := planOpenMembership(views, joiners{"b": {replica: 2}}, p)
	require.Equal(t, "b", step.vm)
	require.Equal(t, events.VoterRemoved, step.event)
	views = []memberState{views[0], views[2], views[3]}
	require.Nil(t, planOpenMembership(views, joiners{"b": {replica: 2}}, p), "a leaving VM must not be admitted again")
}

// TestPlanOpenMembership_ChangesOneVoterAtATime checks that a change adds or removes one voter, or
// replaces the unreachable voter of a VM by another replica of that VM, and that it never removes
// the leader or the last voter.
func TestPlanOpenMembership_ChangesOneVoterAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var views []memberState
		before := map[uint64]memberState{}
		hasVoterOnVM := map[string]bool{} // a VM has at most one voter, since its next voter replaces the previous one
		for i := range rapid.IntRange(1, 7).Draw(t, "members") {
			m := &raftpb.Member{Id: uint64(i + 1), Vm: string(rune('a' + rapid.IntRange(0, 5).Draw(t, "vm"))), Learner: i > 0 && rapid.Bool().Draw(t, "learner")}
			m.Learner = m.Learner || hasVoterOnVM[m.Vm]
			hasVoterOnVM[m.Vm] = hasVoterOnVM[m.Vm] || !m.Learner
			v := memberState{member: m, caughtUp: rapid.Bool().Draw(t, "caughtUp")}
			if i > 0 && rapid.Bool().Draw(t, "silent") {
				v.unreachable, v.ticksSinceContact = true, rapid.IntRange(11, 100).Draw(t, "ticks")
			}
			views = append(views, v)
			if !m.Learner {
				before[m.Id] = v
			}
		}
		leaving := string(rune('a' + rapid.IntRange(0, 9).Draw(t, "leaving")))
		p := policyWithVoters(rapid.IntRange(1, 5).Draw(t, "voters"))
		p.Leaving = func(vm string) bool { return vm == leaving }
		step := planOpenMembership(views, joiners{"a": {replica: 90}, "f": {replica: 91}}, p)
		if step == nil {
			return
		}
		added, removed := []string{}, []memberState{}
		after := map[uint64]bool{}
		for _, m := range step.conf.Members {
			if m.Learner {
				continue
			}
			after[m.Id] = true
			if _, was := before[m.Id]; !was {
				added = append(added, m.Vm)
			}
		}
		for id, v := range before {
			if !after[id] {
				removed = append(removed, v)
			}
		}
		require.True(t, after[1], "the leader must stay a voter")
		switch {
		case len(added) == 1 && len(removed) == 1:
			require.Equal(t, added[0], removed[0].member.Vm)
			require.True(t, removed[0].unreachable)
		default:
			require.LessOrEqual(t, len(added)+len(removed), 1)
		}
		if len(removed) == 1 && len(added) == 0 {
			require.Greater(t, len(before), p.Voters)
		}
	})
}

// TestPlanOpenMembership_SearchesTheFleetOncePerMember guards against leaders that spend their processor time on planning:
// the plan is made each tick, and the functions of a policy search all VMs of a fleet.
func TestPlanOpenMembership_SearchesTheFleetOncePerMember(t *testing.T) {
	searches := 0
	p := policyWithVoters(5)
	p.Zone = func(vm string) string { searches++; return "z" + vm[:1] }
	p.Leaving = func(string) bool { searches++; return false }
	views := []memberState{
		{member: voter(1, "a1")}, {member: voter(2, "b1")}, {member: voter(3, "c1")}, {member: voter(4, "d1")}, {member: voter(5, "e1")},
		caughtUpMember(learner(6, "a2")), caughtUpMember(learner(7, "b2")),
	}
	require.Nil(t, planOpenMembership(views, joiners{}, p))
	require.LessOrEqual(t, searches, 2*len(views))
}

// TestPlanOpenMembership_ReplicasDontAccumulate guards against groups that gain replicas whenever a zone is cut off, until each
// VM holds the whole store: VMs that took over for others stayed members when those returned.
func TestPlanOpenMembership_ReplicasDontAccumulate(t *testing.T) {
	p := policyWithVoters(3)
	p.Replicas = 4
	members := []memberState{{member: voter(1, "a")}, {member: voter(2, "b")}, {member: voter(3, "c")}, caughtUpMember(learner(4, "d"))}
	waiting := joiners{"e": {replica: 5}}
	require.Nil(t, planOpenMembership(members, waiting, p), "there are enough replicas")
	members[2] = lostMember(voter(3, "c"))
	members[3].caughtUp = false
	require.Equal(t, events.LearnerAdmitted, planOpenMembership(members, waiting, p).event, "one is lost")
	step := planOpenMembership(members, joiners{"c": {replica: 9}}, p)
	require.Equal(t, "c", step.vm, "the VM of a lost disk must be admitted whatever the number")
	members = append(members, memberState{member: learner(5, "e")})
	members[3].caughtUp = true
	members[2] = memberState{member: voter(3, "c")}
	step = planOpenMembership(members, waiting, p)
	require.Equal(t, events.SurplusLearnerDropped, step.event, "the lost one has returned")
	require.Equal(t, "e", step.vm, "the one that hasn't caught up")
	members[1] = memberState{member: voter(2, "b"), unreachable: true, ticksSinceContact: testLostTicks / 2}
	require.Nil(t, planOpenMembership(members, waiting, p), "no spare is removed while a voter may be lost")
}

// TestPlanOpenMembership_ReturnsToTheAssignedVMs guards against VMs that hold a group without being needed, while those that
// should hold it are refused.
func TestPlanOpenMembership_ReturnsToTheAssignedVMs(t *testing.T) {
	p := policyWithVoters(3)
	p.Replicas = 4
	p.Assigned = func(vm string) bool { return vm <= "d" }
	members := []memberState{{member: voter(1, "a")}, {member: voter(2, "b")}, {member: voter(5, "e")}, caughtUpMember(learner(6, "f"))}
	require.Nil(t, planOpenMembership(members, joiners{"g": {replica: 7}}, p))
	step := planOpenMembership(members, joiners{"c": {replica: 3}}, p)
	require.Equal(t, events.LearnerAdmitted, step.event)
	members = append(members, memberState{member: learner(3, "c")})
	require.Equal(t, "f", planOpenMembership(members, nil, p).vm, "the learner that isn't assigned")
	filling := append(members[:3:3], members[4], memberState{member: learner(4, "d")})
	require.Nil(t, planOpenMembership(filling, nil, p), "learners that are to replace a voter must not be dropped before they have caught up")
	members[4].caughtUp = true
	step = planOpenMembership(members, nil, p)
	require.Equal(t, events.VoterPromoted, step.event)
	for _, m := range step.conf.Members {
		require.True(t, m.Vm != "c" || !m.Learner, "the learner on the assigned VM must be promoted")
	}
	members[4] = memberState{member: voter(3, "c")}
	step = planOpenMembership(members, nil, p)
	require.Equal(t, events.VoterRemoved, step.event)
	require.Equal(t, "e", step.vm)
	members = append(members[:2:2], members[3:]...)
	require.Nil(t, planOpenMembership(members, joiners{"e": {replica: 5}}, p), "there are enough replicas, and this one isn't better")
	members = append(members, memberState{member: learner(4, "d")})
	require.Equal(t, "f", planOpenMembership(members, nil, p).vm, "the learner that isn't assigned")
}

// openGroup is a group whose members and leader change as planned. All its VMs run, and a new replica catches up at once.
type openGroup struct {
	policy  openPolicy
	vms     []string
	members []memberState
	nextID  uint64
}

// step makes the next planned change and reports whether there was one.
func (g *openGroup) step() bool {
	waiting := joiners{}
	for _, vm := range g.vms {
		if !hasReplica(g.members, vm) {
			g.nextID++
			waiting[vm] = joiner{replica: g.nextID}
		}
	}
	if change := planOpenMembership(g.members, waiting, g.policy); change != nil {
		g.members = nil
		for _, m := range change.conf.Members {
			g.members = append(g.members, caughtUpMember(m))
		}
		return true
	}
	successor := planLeaderMove(g.members, g.policy)
	if successor != 0 {
		g.policy.self = successor
	}
	return successor != 0
}

// TestPlanOpenMembership_Settles guards against leaders that change the membership for ever, and copy the whole state each time:
// one on a VM that should not hold the group admitted the VM that should, and dropped it as one too many.
func TestPlanOpenMembership_Settles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.IntRange(1, 5).Draw(t, "zones")
		zone := func(vm string) string { return string(rune('x' + int(vm[0]-'a')%zones)) }
		g := openGroup{policy: policyWithVoters(1 + 2*rapid.IntRange(0, 2).Draw(t, "tolerated")), nextID: 100}
		g.policy.Zone = zone
		g.policy.Replicas = g.policy.Voters + min(g.policy.Voters-1, 1)
		for i := range rapid.IntRange(g.policy.Replicas, 11).Draw(t, "VMs") {
			g.vms = append(g.vms, string(rune('a'+i)))
		}
		assigned := rapid.Permutation(g.vms).Draw(t, "assigned")[:g.policy.Replicas]
		g.policy.Assigned = func(vm string) bool { return slices.Contains(assigned, vm) }
		for i, vm := range rapid.Permutation(g.vms).Draw(t, "members")[:rapid.IntRange(1, len(g.vms)).Draw(t, "count")] {
			m := &raftpb.Member{Id: uint64(i + 1), Vm: vm, Learner: i > 0 && rapid.Bool().Draw(t, "learner")}
			g.members = append(g.members, caughtUpMember(m))
		}
		for range 100 {
			if !g.step() {
				break
			}
		}
		require.False(t, g.step(), "the membership never settles")
		require.Equal(t, g.policy.Voters, countVoters(g.members))
		require.Len(t, g.members, g.policy.Replicas)
		if g.policy.Voters == 1 {
			return // the only voter can't be replaced while it leads
		}
		inZone := map[string]int{}
		for _, v := range g.members {
			require.Contains(t, assigned, v.member.Vm)
			if !v.member.Learner {
				inZone[zone(v.member.Vm)]++
			}
		}
		for _, v := range g.members {
			for z, n := range inZone {
				require.False(t, v.member.Learner && n > inZone[zone(v.member.Vm)]+1, "zone %s has %d voters, and the learner on VM %s would be its better", z, n, v.member.Vm)
			}
		}
	})
}

// TestPlanOpenMembership_SpreadsVotersAgain guards against groups that lose their majority with one zone: VMs that took over
// for those of a lost zone stayed voters, and the VMs of that zone stayed spares when they returned.
func TestPlanOpenMembership_SpreadsVotersAgain(t *testing.T) {
	p := policyWithVoters(3)
	p.Replicas = 4
	p.Zone = func(vm string) string { return vm[:1] }
	members := []memberState{caughtUpMember(voter(1, "a1")), caughtUpMember(voter(2, "b1")), caughtUpMember(voter(3, "b2")), {member: learner(4, "c1")}}
	require.Nil(t, planOpenMembership(members, nil, p), "it has not caught up")
	members[3].caughtUp = true
	step := planOpenMembership(members, nil, p)
	require.NotNil(t, step)
	require.Equal(t, events.VoterPromoted, step.event)
	members[3] = caughtUpMember(voter(4, "c1"))
	step = planOpenMembership(members, nil, p)
	require.Equal(t, events.VoterRemoved, step.event)
	require.Contains(t, []string{"b1", "b2"}, step.vm)
}
