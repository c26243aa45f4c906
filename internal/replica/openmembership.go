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

func (p openPolicy) lost(v memberView) bool {
	return v.silentTicks > p.lostTicks || p.leaving(v.member.Vm)
}

// planOpen returns the next step of a group that chooses its voters, or nil. A VM that lost its
// disk is replaced in one step as in planAdmission. A voter of another VM is replaced in two,
// the new one first: the old one may come back with its disk, so both must count in between.
func planOpen(views []memberView, waiting joiners, p openPolicy) *admissionStep {
	if step := planSurplus(views, p); step != nil {
		return step
	}
	if learner := p.bestLearner(views); learner != nil && (hasVoterOf(views, learner.Vm) || p.wantsVoter(views)) {
		if step := planPromotion(views, learner); step != nil {
			return step
		}
	}
	if step := planCleanup(views); step != nil {
		return step
	}
	for _, v := range views {
		if v.member.Learner && p.lost(v) {
			return planRemoval(views, v.member, events.LearnerDropped)
		}
	}
	for _, vm := range sortedVMs(waiting) {
		if p.leaving(vm) {
			continue
		}
		if step := planLearner(views, vm, waiting[vm].replica, []string{vm}); step != nil {
			return step
		}
	}
	return nil
}

// planSurplus takes a voter out while there are more than wanted, a lost one first.
func planSurplus(views []memberView, p openPolicy) *admissionStep {
	var worst *memberView
	voters := 0
	for i, v := range views {
		if v.member.Learner {
			continue
		}
		voters++
		if v.member.Id == p.self {
			continue
		}
		if worst == nil || p.removalRank(v, views) > p.removalRank(*worst, views) {
			worst = &views[i]
		}
	}
	if voters <= p.Voters || worst == nil {
		return nil
	}
	return planRemoval(views, worst.member, events.VoterRemoved)
}

// removalRank orders voters by how little is lost without them.
func (p openPolicy) removalRank(v memberView, views []memberView) int {
	const leaving, lost, silent = 1 << 12, 1 << 11, 1 << 10
	rank := p.votersIn(views, p.zone(v.member.Vm))
	switch {
	case p.leaving(v.member.Vm):
		rank += leaving
	case p.lost(v):
		rank += lost
	case v.silent:
		rank += silent
	}
	return rank
}

// wantsVoter reports whether one more voter is due: there are too few, or one is lost.
func (p openPolicy) wantsVoter(views []memberView) bool {
	voters, lost := 0, 0
	for _, v := range views {
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
func (p openPolicy) bestLearner(views []memberView) *raftpb.Member {
	var best *raftpb.Member
	rank := func(m *raftpb.Member) int {
		if hasVoterOf(views, m.Vm) {
			return -1
		}
		return p.votersIn(views, p.zone(m.Vm))
	}
	for _, v := range views {
		if !v.member.Learner || !v.caughtUp || v.silent || p.leaving(v.member.Vm) {
			continue
		}
		if best == nil || rank(v.member) < rank(best) {
			best = v.member
		}
	}
	return best
}

func (p openPolicy) votersIn(views []memberView, zone string) int {
	n := 0
	for _, v := range views {
		if !v.member.Learner && !p.lost(v) && p.zone(v.member.Vm) == zone {
			n++
		}
	}
	return n
}

func hasVoterOf(views []memberView, vm string) bool {
	return slices.ContainsFunc(views, func(v memberView) bool { return !v.member.Learner && v.member.Vm == vm })
}

func planRemoval(views []memberView, gone *raftpb.Member, event events.Event) *admissionStep {
	step := &admissionStep{conf: &raftpb.ConfState{}, event: event, vm: gone.Vm, replica: gone.Id}
	for _, v := range views {
		if v.member.Id != gone.Id {
			step.conf.Members = append(step.conf.Members, proto.Clone(v.member).(*raftpb.Member))
		}
	}
	return step
}
