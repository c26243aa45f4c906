package replica

import (
	"slices"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"egretramp/internal/events"
	"egretramp/internal/raft/raftpb"
)

// joinerLifetimeTicks is for how long a greeting of a new replica counts, in ticks.
const joinerLifetimeTicks = 20

// claimTicks is how long a new replica greets beside a live one of its VM before an event, in ticks.
const claimTicks = 100

// joiners are the replicas without a formation that have greeted, by VM.
type joiners map[string]joiner

type joiner struct {
	replica uint64
	// age is the time since the last greeting, waiting that since the first, in ticks.
	age     int
	waiting int
}

func (j joiners) note(vm string, replica uint64) {
	known := j[vm]
	if known.replica != replica {
		known = joiner{replica: replica}
	}
	known.age = 0
	j[vm] = known
}

func (j joiners) tick() {
	for vm, known := range j {
		known.age++
		known.waiting++
		if known.age > joinerLifetimeTicks {
			delete(j, vm)
			continue
		}
		j[vm] = known
	}
}

// memberView is what the leader knows of a member.
type memberView struct {
	member *raftpb.Member
	// silentTicks is the time since the member was heard, in ticks.
	silentTicks int
	// silent: not heard for an election timeout. caughtUp: holds all that is committed.
	silent   bool
	caughtUp bool
}

// admissionStep is one change of the membership, with the event that reports it.
type admissionStep struct {
	conf    *raftpb.ConfState
	event   events.Event
	vm      string
	replica uint64
}

// planAdmission returns the next step, or nil. The order for a VM that lost its disk is:
// admit the new replica as learner, wait until it has caught up, then let it take the place
// of the lost one in one entry. Until then the lost one still counts towards the majority,
// so the loss of a disk never makes a smaller number of copies enough.
func planAdmission(views []memberView, waiting joiners, initialVMs []string) *admissionStep {
	for _, v := range views {
		if v.member.Learner && v.caughtUp && !v.silent {
			if step := planPromotion(views, v.member); step != nil {
				return step
			}
		}
	}
	if step := planCleanup(views); step != nil {
		return step
	}
	for _, vm := range sortedVMs(waiting) {
		if step := planLearner(views, vm, waiting[vm].replica, initialVMs); step != nil {
			return step
		}
	}
	return nil
}

// planPromotion makes a learner a voter, in the place of the lost voter of its VM if there is one.
func planPromotion(views []memberView, learner *raftpb.Member) *admissionStep {
	step := &admissionStep{conf: &raftpb.ConfState{}, event: events.VoterPromoted, vm: learner.Vm, replica: learner.Id}
	for _, v := range views {
		switch {
		case v.member.Id == learner.Id:
			step.conf.Members = append(step.conf.Members, &raftpb.Member{Id: learner.Id, Vm: learner.Vm})
		case v.member.Vm == learner.Vm && !v.silent:
			return nil
		case v.member.Vm == learner.Vm:
			step.event = events.VoterReplaced
		default:
			step.conf.Members = append(step.conf.Members, proto.Clone(v.member).(*raftpb.Member))
		}
	}
	return step
}

// planCleanup drops a silent learner whose VM has a live voter: a late greeting of a replica
// that was lost since may have been admitted.
func planCleanup(views []memberView) *admissionStep {
	for _, learner := range views {
		if !learner.member.Learner || !learner.silent || !hasLiveVoter(views, learner.member.Vm) {
			continue
		}
		step := &admissionStep{conf: &raftpb.ConfState{}, event: events.LearnerDropped, vm: learner.member.Vm, replica: learner.member.Id}
		for _, v := range views {
			if v.member.Id != learner.member.Id {
				step.conf.Members = append(step.conf.Members, proto.Clone(v.member).(*raftpb.Member))
			}
		}
		return step
	}
	return nil
}

func hasLiveVoter(views []memberView, vm string) bool {
	return slices.ContainsFunc(views, func(v memberView) bool {
		return v.member.Vm == vm && !v.member.Learner && !v.silent
	})
}

// planLearner admits a new replica of a known VM whose other replicas are silent. A learner
// of the VM that was lost before it became a voter gives way at once.
func planLearner(views []memberView, vm string, replica uint64, initialVMs []string) *admissionStep {
	step := &admissionStep{conf: &raftpb.ConfState{}, event: events.LearnerAdmitted, vm: vm, replica: replica}
	known := slices.Contains(initialVMs, vm)
	for _, v := range views {
		if v.member.Id == replica {
			return nil
		}
		if v.member.Vm != vm {
			step.conf.Members = append(step.conf.Members, proto.Clone(v.member).(*raftpb.Member))
			continue
		}
		known = true
		if !v.silent {
			return nil
		}
		if !v.member.Learner {
			step.conf.Members = append(step.conf.Members, proto.Clone(v.member).(*raftpb.Member))
		}
	}
	if !known {
		return nil
	}
	step.conf.Members = append(step.conf.Members, &raftpb.Member{Id: replica, Vm: vm, Learner: true})
	return step
}

func sortedVMs(waiting joiners) []string {
	vms := make([]string, 0, len(waiting))
	for vm := range waiting {
		vms = append(vms, vm)
	}
	slices.Sort(vms)
	return vms
}

// admit proposes the next step of the membership, if one is due and none is on the way.
func (n *node) admit() {
	if n.raft.ChangePending() {
		return
	}
	views := n.memberViews()
	n.noteClaims(views)
	step := n.planStep(views)
	if step == nil {
		return
	}
	if _, err := n.raft.ProposeMembership(step.conf); err != nil {
		return
	}
	n.emit(step.event, zap.String("peer", step.vm), zap.Uint64("replica", step.replica))
}

func (n *node) planStep(views []memberView) *admissionStep {
	if n.options.membership.Voters == 0 {
		return planAdmission(views, n.joiners, n.options.initialVMs)
	}
	return planOpen(views, n.joiners, openPolicy{
		OpenMembership: n.options.membership, self: n.raft.ID(), lostTicks: lostVoterElections * n.options.electionTicks,
	})
}

func (n *node) memberViews() []memberView {
	var views []memberView
	for _, m := range n.raft.Conf().Members {
		silentTicks := n.raft.TicksSinceReply(m.Id)
		views = append(views, memberView{
			member:      m,
			silentTicks: silentTicks,
			silent:      m.Id != n.raft.ID() && silentTicks > n.options.electionTicks,
			caughtUp:    n.raft.CaughtUp(m.Id),
		})
	}
	return views
}

// noteClaims reports a VM whose old and new replica are both alive.
func (n *node) noteClaims(views []memberView) {
	for _, v := range views {
		other, ok := n.joiners[v.member.Vm]
		if ok && other.replica != v.member.Id && !v.silent && other.waiting == claimTicks {
			n.emit(events.VMClaimedTwice, zap.String("peer", v.member.Vm), zap.Uint64("replica", other.replica))
		}
	}
}
