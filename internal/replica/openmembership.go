package replica

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"egretramp/internal/events"
	"egretramp/internal/raft/raftpb"
)

// lostVoterElections is the time without contact, in election timeouts, after which a voter is
// replaced by a caught-up learner of another VM. It is longer than a restart takes, because each
// replacement copies the complete state once.
const lostVoterElections = 6

// openPolicy holds the parameters of planOpenMembership.
type openPolicy struct {
	OpenMembership
	self      uint64
	lostTicks int
}

func (p openPolicy) leaving(vm string) bool { return p.Leaving != nil && p.Leaving(vm) }

func (p openPolicy) zone(vm string) string {
	if p.Zone == nil {
		return ""
	}
	return p.Zone(vm)
}

// assess returns the members with what the policy says of their VMs. Zone and Leaving are called once for each of them, since
// they may have to search all VMs of a fleet.
func (p openPolicy) assess(members []memberState) []memberState {
	assessed := slices.Clone(members)
	for i := range assessed {
		v := &assessed[i]
		v.zone, v.leaving = p.zone(v.member.Vm), p.leaving(v.member.Vm)
		v.lost = v.ticksSinceContact > p.lostTicks || v.leaving
	}
	return assessed
}

// planOpenMembership returns the next membership change of a group with open membership, or nil.
// The voter of a VM that lost its disk is replaced in one change, as in planFixedMembership. To
// replace a voter by one on another VM takes two changes, the new voter being added first: the old
// one may return with its disk, so both must count in between.
func planOpenMembership(members []memberState, waiting joiners, p openPolicy) *membershipChange {
	members = p.assess(members)
	if step := planSurplusRemoval(members, p); step != nil {
		return step
	}
	if learner := bestLearner(members); learner != nil && (hasVoter(members, learner.member.Vm) || p.wantsVoter(members)) {
		if step := planPromotion(members, learner.member); step != nil {
			return step
		}
	}
	if step := p.planZoneBalance(members); step != nil {
		return step
	}
	if step := planLearnerDrop(members); step != nil {
		return step
	}
	for _, v := range members {
		if v.member.Learner && v.lost {
			return planRemoval(members, v.member, events.LearnerDropped)
		}
	}
	if step := p.planSurplusDrop(members); step != nil {
		return step
	}
	for _, vm := range sortedVMs(waiting) {
		if p.leaving(vm) || !p.admits(members, vm) {
			continue
		}
		if step := planLearnerAdmission(members, vm, waiting[vm].replica, []string{vm}); step != nil {
			return step
		}
	}
	return nil
}

// admits reports whether a new replica of a VM may become a learner. Each one is sent all entries, and holds the whole state in
// its VM's memory, so a group that has enough replicas admits only those that replace another one.
func (p openPolicy) admits(members []memberState, vm string) bool {
	if p.Replicas == 0 || hasReplica(members, vm) || countReplicas(members) < p.Replicas {
		return true
	}
	return p.assigned(vm) && !p.allAssigned(members)
}

func (p openPolicy) assigned(vm string) bool { return p.Assigned == nil || p.Assigned(vm) }

// allAssigned reports whether all members that are not lost are on VMs that should hold the group, or can't be replaced.
func (p openPolicy) allAssigned(members []memberState) bool {
	return !slices.ContainsFunc(members, func(v memberState) bool { return !v.lost && p.isMisplaced(v, members) })
}

// isMisplaced reports whether a member should be replaced, since its VM should not hold the group. The leader can be replaced
// only if another voter can lead.
func (p openPolicy) isMisplaced(v memberState, members []memberState) bool {
	return !p.assigned(v.member.Vm) && (v.member.Id != p.self || p.successor(members) != 0)
}

// successor returns a voter that may lead in place of this replica, or 0.
func (p openPolicy) successor(members []memberState) uint64 {
	for _, v := range members {
		if !v.member.Learner && v.member.Id != p.self && v.caughtUp && !v.unreachable && !v.leaving && p.assigned(v.member.Vm) {
			return v.member.Id
		}
	}
	return 0
}

// planSurplusDrop returns the next step to get rid of a replica while there are more than needed and no voter is missing, or nil.
// VMs that were admitted while others were lost are left over when those return.
func (p openPolicy) planSurplusDrop(members []memberState) *membershipChange {
	if p.Replicas == 0 || countReplicas(members) <= p.Replicas || !p.isComplete(members) {
		return nil
	}
	var worst *memberState
	misplaced, leaderMisplaced := false, false
	for i, v := range members {
		switch {
		case v.member.Id == p.self:
			leaderMisplaced = p.isMisplaced(v, members)
		case !v.member.Learner:
			misplaced = misplaced || p.isMisplaced(v, members)
		case hasVoter(members, v.member.Vm):
		case worst == nil || p.dropRank(v, members) > p.dropRank(*worst, members):
			worst = &members[i]
		}
	}
	if misplaced {
		if learner := p.bestAssignedLearner(members); learner != nil {
			return planPromotion(members, learner.member) // planSurplusRemoval then removes the misplaced one
		}
	}
	if worst == nil || (misplaced || leaderMisplaced) && p.assigned(worst.member.Vm) {
		return nil // this learner takes the misplaced voter's place once it has caught up, see planLeaderMove for that of the leader
	}
	return planRemoval(members, worst.member, events.SurplusLearnerDropped)
}

// planZoneBalance promotes a learner whose zone has at least two voters fewer than another one, or returns nil.
// planSurplusRemoval then removes a voter of that zone. The voters of a lost zone are replaced by those of other zones; without
// this, the group would not survive the loss of one of these after the first has returned.
func (p openPolicy) planZoneBalance(members []memberState) *membershipChange {
	learner := p.bestAssignedLearner(members)
	if learner == nil || !p.isComplete(members) {
		return nil
	}
	crowded := func(v memberState) bool {
		return !v.member.Learner && v.zone != "" && votersIn(members, v.zone) > votersIn(members, learner.zone)+1
	}
	if learner.zone == "" || !slices.ContainsFunc(members, crowded) {
		return nil
	}
	return planPromotion(members, learner.member)
}

// isComplete reports whether no voter is missing and all respond.
func (p openPolicy) isComplete(members []memberState) bool {
	return !p.wantsVoter(members) && !slices.ContainsFunc(members, func(v memberState) bool { return !v.member.Learner && v.unreachable })
}

// bestAssignedLearner is bestLearner for learners on VMs that should hold the group and have no voter.
func (p openPolicy) bestAssignedLearner(members []memberState) *memberState {
	return bestLearner(slices.DeleteFunc(slices.Clone(members), func(v memberState) bool {
		return v.member.Learner && (!p.assigned(v.member.Vm) || hasVoter(members, v.member.Vm))
	}))
}

// dropRank orders learners for removal: those that are not assigned, then those that would have to catch up, then those in the
// zone with the most voters.
func (p openPolicy) dropRank(v memberState, members []memberState) int {
	const unassigned, behind = 1 << 13, 1 << 12
	rank := votersIn(members, v.zone)
	if !p.assigned(v.member.Vm) {
		rank += unassigned
	}
	if !v.caughtUp {
		rank += behind
	}
	return rank
}

// countReplicas returns the number of VMs with a replica that is not lost.
func countReplicas(members []memberState) int {
	vms := map[string]bool{}
	for _, v := range members {
		if !v.lost {
			vms[v.member.Vm] = true
		}
	}
	return len(vms)
}

func hasReplica(members []memberState, vm string) bool {
	return slices.ContainsFunc(members, func(v memberState) bool { return v.member.Vm == vm })
}

// planSurplusRemoval removes a voter while there are more than the target number, those of leaving
// VMs and lost ones first.
func planSurplusRemoval(members []memberState, p openPolicy) *membershipChange {
	if countVoters(members) <= p.Voters {
		return nil
	}
	var worst *memberState
	for i, v := range members {
		if v.member.Learner {
			continue
		}
		if v.member.Id == p.self {
			continue
		}
		if worst == nil || p.removalRank(v, members) > p.removalRank(*worst, members) {
			worst = &members[i]
		}
	}
	if worst == nil {
		return nil
	}
	return planRemoval(members, worst.member, events.VoterRemoved)
}

func countVoters(members []memberState) int {
	n := 0
	for _, v := range members {
		if !v.member.Learner {
			n++
		}
	}
	return n
}

// removalRank orders voters for removal; the voter with the highest rank is removed first. Leaving,
// lost and unreachable voters come first, then those on VMs that should not hold the group, then those in the zone with the most
// voters.
func (p openPolicy) removalRank(v memberState, members []memberState) int {
	const leaving, lost, unreachable, unassigned = 1 << 12, 1 << 11, 1 << 10, 1 << 9
	rank := votersIn(members, v.zone)
	switch {
	case v.leaving:
		rank += leaving
	case v.lost:
		rank += lost
	case v.unreachable:
		rank += unreachable
	case p.Replicas > 0 && !p.assigned(v.member.Vm):
		rank += unassigned
	}
	return rank
}

// wantsVoter reports whether a voter must be added because there are too few or one is lost.
func (p openPolicy) wantsVoter(members []memberState) bool {
	voters, lost := 0, 0
	for _, v := range members {
		if v.member.Learner {
			continue
		}
		voters++
		if v.lost {
			lost++
		}
	}
	return voters < p.Voters || (voters == p.Voters && lost > 0)
}

// bestLearner returns the caught-up learner to promote next: preferably one that replaces the voter
// of its own VM, whose disk was lost, otherwise one in the zone with the fewest voters.
func bestLearner(members []memberState) *memberState {
	var best *memberState
	rank := func(v memberState) int {
		if hasVoter(members, v.member.Vm) {
			return -1
		}
		return votersIn(members, v.zone)
	}
	for i, v := range members {
		if !v.member.Learner || !v.caughtUp || v.unreachable || v.leaving {
			continue
		}
		if best == nil || rank(v) < rank(*best) {
			best = &members[i]
		}
	}
	return best
}

// votersIn returns the number of voters in a zone that are not lost.
func votersIn(members []memberState, zone string) int {
	n := 0
	for _, v := range members {
		if !v.member.Learner && !v.lost && v.zone == zone {
			n++
		}
	}
	return n
}

func hasVoter(members []memberState, vm string) bool {
	return slices.ContainsFunc(members, func(v memberState) bool { return !v.member.Learner && v.member.Vm == vm })
}

func planRemoval(members []memberState, removed *raftpb.Member, event events.Event) *membershipChange {
	step := &membershipChange{conf: &raftpb.ConfState{}, event: event, vm: removed.Vm, replica: removed.Id}
	for _, v := range members {
		if v.member.Id != removed.Id {
			step.conf.Members = append(step.conf.Members, proto.Clone(v.member).(*raftpb.Member))
		}
	}
	return step
}

// planLeaderMove returns the voter to which this replica should transfer its leadership, or 0. A leader whose VM should not hold
// the group can't replace itself: once a learner is ready to take its place, another voter has to lead.
func planLeaderMove(members []memberState, p openPolicy) uint64 {
	isSelf := func(v memberState) bool { return v.member.Id == p.self }
	self := slices.IndexFunc(members, isSelf)
	if self < 0 || p.Replicas == 0 || p.assigned(members[self].member.Vm) {
		return 0
	}
	members = p.assess(members)
	if countReplicas(members) <= p.Replicas || !p.isComplete(members) || p.bestAssignedLearner(members) == nil {
		return 0
	}
	return p.successor(members)
}
