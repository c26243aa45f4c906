package replica

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"egretramp/internal/events"
	"egretramp/internal/raft/raftpb"
)

// lostVoterElections is the silence, in election timeouts, after which a voter gives its place
// to a caught-up learner of another VM. It is longer than a restart takes, since each change
// copies the whole state once.
const lostVoterElections = 6

// openPolicy is what planOpen decides by.
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

func (p openPolicy) lost(v memberState) bool {
	return v.ticksSinceContact > p.lostTicks || p.leaving(v.member.Vm)
}

// planOpenMembership returns the next step of a group that chooses its voters, or nil. A VM that lost its
// disk is replaced in one step as in planAdmission. A voter of another VM is replaced in two,
// the new one first: the old one may come back with its disk, so both must count in between.
func planOpenMembership(members []memberState, waiting joiners, p openPolicy) *membershipChange {
	if step := planSurplusRemoval(members, p); step != nil {
		return step
	}
	if learner := p.bestLearner(members); learner != nil && (hasVoter(members, learner.Vm) || p.wantsVoter(members)) {
		if step := planPromotion(members, learner); step != nil {
			return step
		}
	}
	if step := planLearnerDrop(members); step != nil {
		return step
	}
	for _, v := range members {
		if v.member.Learner && p.lost(v) {
			return planRemoval(members, v.member, events.LearnerDropped)
		}
	}
	for _, vm := range sortedVMs(waiting) {
		if p.leaving(vm) {
			continue
		}
		if step := planLearnerAdmission(members, vm, waiting[vm].replica, []string{vm}); step != nil {
			return step
		}
	}
	return nil
}

// planSurplusRemoval takes a voter out while there are more than wanted, a lost one first.
func planSurplusRemoval(members []memberState, p openPolicy) *membershipChange {
	var worst *memberState
	voters := 0
	for i, v := range members {
		if v.member.Learner {
			continue
		}
		voters++
		if v.member.Id == p.self {
			continue
		}
		if worst == nil || p.removalRank(v, members) > p.removalRank(*worst, members) {
			worst = &members[i]
		}
	}
	if voters <= p.Voters || worst == nil {
		return nil
	}
	return planRemoval(members, worst.member, events.VoterRemoved)
}

// removalRank orders voters by how little is lost without them.
func (p openPolicy) removalRank(v memberState, members []memberState) int {
	const leaving, lost, unreachable = 1 << 12, 1 << 11, 1 << 10
	rank := p.votersIn(members, p.zone(v.member.Vm))
	switch {
	case p.leaving(v.member.Vm):
		rank += leaving
	case p.lost(v):
		rank += lost
	case v.unreachable:
		rank += unreachable
	}
	return rank
}

// wantsVoter reports whether one more voter is due: there are too few, or one is lost.
func (p openPolicy) wantsVoter(members []memberState) bool {
	voters, lost := 0, 0
	for _, v := range members {
		if v.member.Learner {
			continue
		}
		voters++
		if p.lost(v) {
			lost++
		}
	}
	return voters < p.Voters || (voters == p.Voters && lost > 0)
}

// bestLearner returns the caught-up learner to promote next: one whose VM lost a voter's disk,
// else one in the zone with the fewest voters.
func (p openPolicy) bestLearner(members []memberState) *raftpb.Member {
	var best *raftpb.Member
	rank := func(m *raftpb.Member) int {
		if hasVoter(members, m.Vm) {
			return -1
		}
		return p.votersIn(members, p.zone(m.Vm))
	}
	for _, v := range members {
		if !v.member.Learner || !v.caughtUp || v.unreachable || p.leaving(v.member.Vm) {
			continue
		}
		if best == nil || rank(v.member) < rank(best) {
			best = v.member
		}
	}
	return best
}

func (p openPolicy) votersIn(members []memberState, zone string) int {
	n := 0
	for _, v := range members {
		if !v.member.Learner && !p.lost(v) && p.zone(v.member.Vm) == zone {
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
