package replica

import (
	"slices"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"egretramp/internal/events"
	"egretramp/internal/raft/raftpb"
)

// joinerLifetimeTicks is how long a hello message of a new replica remains valid, in ticks.
const joinerLifetimeTicks = 20

// duplicateVMTicks is how long, in ticks, a new replica sends hello messages while another replica
// of its VM is reachable before this is reported as an event.
const duplicateVMTicks = 100

// joiners holds the replicas that asked to join by a hello message, by VM.
type joiners map[string]joiner

type joiner struct {
	replica uint64
	// sinceLast and sinceFirst are the times since the last and the first hello message, in ticks.
	sinceLast  int
	sinceFirst int
}

func (j joiners) record(vm string, replica uint64) {
	known := j[vm]
	if known.replica != replica {
		known = joiner{replica: replica}
	}
	known.sinceLast = 0
	j[vm] = known
}

func (j joiners) tick() {
	for vm, known := range j {
		known.sinceLast++
		known.sinceFirst++
		if known.sinceLast > joinerLifetimeTicks {
			delete(j, vm)
			continue
		}
		j[vm] = known
	}
}

// memberState is the leader's view of a member.
type memberState struct {
	member *raftpb.Member
	// ticksSinceContact is the time since the last message from the member, in ticks.
	ticksSinceContact int
	// unreachable is set after an election timeout without a message from the member, caughtUp
	// if it holds all committed entries.
	unreachable bool
	caughtUp    bool
	// zone, leaving and lost are set by openPolicy.assess. A member is lost if it was not heard for long or if its VM leaves.
	zone    string
	leaving bool
	lost    bool
}

// membershipChange is a new membership that differs by one step, and the event that reports it.
type membershipChange struct {
	conf    *raftpb.ConfState
	event   events.Event
	vm      string
	replica uint64
}

// planFixedMembership returns the next membership change of a group with fixed VMs, or nil. A VM
// that lost its disk is repaired in this order: admit its new replica as learner, wait until it has
// caught up, then replace the lost voter by it in a single entry. Until then the lost voter still
// counts towards the majority, so losing a disk never lowers the number of copies required to commit.
func planFixedMembership(members []memberState, waiting joiners, initialVMs []string) *membershipChange {
	for _, v := range members {
		if v.member.Learner && v.caughtUp && !v.unreachable {
			if step := planPromotion(members, v.member); step != nil {
				return step
			}
		}
	}
	if step := planLearnerDrop(members); step != nil {
		return step
	}
	for _, vm := range sortedVMs(waiting) {
		if step := planLearnerAdmission(members, vm, waiting[vm].replica, initialVMs); step != nil {
			return step
		}
	}
	return nil
}

// planPromotion promotes a learner to voter; it replaces the lost voter of its VM if there is one.
func planPromotion(members []memberState, learner *raftpb.Member) *membershipChange {
	step := &membershipChange{conf: &raftpb.ConfState{}, event: events.VoterPromoted, vm: learner.Vm, replica: learner.Id}
	for _, v := range members {
		switch {
		case v.member.Id == learner.Id:
			step.conf.Members = append(step.conf.Members, &raftpb.Member{Id: learner.Id, Vm: learner.Vm})
		case v.member.Vm == learner.Vm && !v.unreachable:
			return nil
		case v.member.Vm == learner.Vm:
			step.event = events.VoterReplaced
		default:
			step.conf.Members = append(step.conf.Members, proto.Clone(v.member).(*raftpb.Member))
		}
	}
	return step
}

// planLearnerDrop removes an unreachable learner whose VM has a reachable voter. Such a learner may
// have been admitted by a delayed hello message of a replica that no longer exists.
func planLearnerDrop(members []memberState) *membershipChange {
	for _, learner := range members {
		if !learner.member.Learner || !learner.unreachable || !hasLiveVoter(members, learner.member.Vm) {
			continue
		}
		step := &membershipChange{conf: &raftpb.ConfState{}, event: events.LearnerDropped, vm: learner.member.Vm, replica: learner.member.Id}
		for _, v := range members {
			if v.member.Id != learner.member.Id {
				step.conf.Members = append(step.conf.Members, proto.Clone(v.member).(*raftpb.Member))
			}
		}
		return step
	}
	return nil
}

func hasLiveVoter(members []memberState, vm string) bool {
	return slices.ContainsFunc(members, func(v memberState) bool {
		return v.member.Vm == vm && !v.member.Learner && !v.unreachable
	})
}

// planLearnerAdmission admits a new replica of a known VM whose other replicas are unreachable. It
// directly replaces an unreachable learner of the VM that has not become a voter.
func planLearnerAdmission(members []memberState, vm string, replica uint64, initialVMs []string) *membershipChange {
	step := &membershipChange{conf: &raftpb.ConfState{}, event: events.LearnerAdmitted, vm: vm, replica: replica}
	known := slices.Contains(initialVMs, vm)
	for _, v := range members {
		if v.member.Id == replica {
			return nil
		}
		if v.member.Vm != vm {
			step.conf.Members = append(step.conf.Members, proto.Clone(v.member).(*raftpb.Member))
			continue
		}
		known = true
		if !v.unreachable {
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

const (
	// learnerBehindTicks is the time, in ticks, after which a learner counts as behind. Learners of a busy group always lack
	// what is under way.
	learnerBehindTicks = 20
	// learnerReportTicks is the time, in ticks, after which a learner that is behind is reported, and reported again.
	learnerReportTicks = 200
)

// learnerLag says how far a learner lags.
type learnerLag struct {
	commit uint64 // an index that was committed when ticks was 0, which the learner hasn't reached
	ticks  int
}

// trackLearners emits an event for each learner that has lacked the same committed entry for long: until it has it, the group
// has a copy less than it should.
func (n *node) trackLearners() {
	current := map[uint64]bool{}
	for _, m := range n.raft.Conf().Members {
		if !m.Learner {
			continue
		}
		current[m.Id] = true
		lag, known := n.learners[m.Id]
		if !known || n.raft.Match(m.Id) >= lag.commit {
			n.learners[m.Id] = learnerLag{commit: n.raft.Commit()}
			continue
		}
		lag.ticks++
		n.learners[m.Id] = lag
		if lag.ticks%learnerReportTicks != 0 {
			continue
		}
		sent, size := n.raft.SnapshotProgress(m.Id)
		n.emit(events.LearnerBehind, zap.String("peer", m.Vm), zap.Uint64("replica", m.Id), zap.Uint64("match", n.raft.Match(m.Id)),
			zap.Uint64("commit", n.raft.Commit()), zap.Int("snapshot_sent", sent), zap.Int("snapshot_bytes", size))
	}
	for id := range n.learners {
		if !current[id] {
			delete(n.learners, id)
		}
	}
}

// proposeMembershipChange proposes the next membership change, if one is due and none is pending.
func (n *node) proposeMembershipChange() {
	if n.raft.ChangePending() {
		return
	}
	members := n.memberStates()
	n.reportDuplicateVMs(members)
	step := n.planMembershipChange(members)
	if step == nil {
		n.moveLeadership(members)
		return
	}
	if _, err := n.raft.ProposeMembership(step.conf); err != nil {
		return
	}
	n.emit(step.event, zap.String("peer", step.vm), zap.Uint64("replica", step.replica), zap.Int("members", len(step.conf.Members)))
}

func (n *node) planMembershipChange(members []memberState) *membershipChange {
	if n.options.membership.Voters == 0 {
		return planFixedMembership(members, n.joiners, n.options.initialVMs)
	}
	return planOpenMembership(members, n.joiners, n.openPolicy())
}

func (n *node) openPolicy() openPolicy {
	return openPolicy{OpenMembership: n.options.membership, self: n.raft.ID(), lostTicks: lostVoterElections * n.options.electionTicks}
}

// moveLeadership transfers the leadership of a group with open membership if another VM should lead it.
func (n *node) moveLeadership(members []memberState) {
	if n.options.membership.Voters == 0 {
		return
	}
	if successor := planLeaderMove(members, n.openPolicy()); successor != 0 && n.raft.TransferLeadershipTo(successor) {
		n.emit(events.LeadershipMoved, zap.Uint64("successor", successor))
	}
}

func (n *node) memberStates() []memberState {
	var members []memberState
	for _, m := range n.raft.Conf().Members {
		ticksSinceContact := n.raft.TicksSinceReply(m.Id)
		members = append(members, memberState{
			member:            m,
			ticksSinceContact: ticksSinceContact,
			unreachable:       m.Id != n.raft.ID() && ticksSinceContact > n.options.electionTicks,
			caughtUp:          n.raft.CaughtUp(m.Id),
		})
	}
	return members
}

// reportDuplicateVMs emits an event for a VM whose old and new replicas are both running.
func (n *node) reportDuplicateVMs(members []memberState) {
	for _, v := range members {
		other, ok := n.joiners[v.member.Vm]
		if ok && other.replica != v.member.Id && !v.unreachable && other.sinceFirst == duplicateVMTicks {
			n.emit(events.VMClaimedTwice, zap.String("peer", v.member.Vm), zap.Uint64("replica", other.replica))
		}
	}
}
