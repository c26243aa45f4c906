package replica

import (
	"fmt"
	"slices"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"egretramp/internal/raft/raftpb"
)

// openGroupSim makes a simulation run a group with open membership. VMs are added, permanently lost
// and replaced under other names, lose their disks, and are drained and removed, in addition to the
// crashes, freezes and cut links of the other simulation.
type openGroupSim struct {
	voters     int
	replicas   int // OpenMembership.Replicas
	assigns    bool
	startedVMs int // in total; names are never reused
	leaving    map[string]bool
	wiped      map[string]bool // by VM; these only join an existing group
	counts     openCounts
}

// openCounts counts the operations of a run.
type openCounts struct{ replaced, wiped, drained, added int }

// spareVMs is the maximum number of VMs at the start beyond the voters.
const spareVMs = 2

func newOpenSimulation(seed int64) *simulation {
	s := newSimulation(seed)
	s.openGroup = &openGroupSim{voters: len(s.initial), replicas: []int{0, len(s.initial), len(s.initial) + 1}[seed%3], assigns: seed%2 == 0, startedVMs: len(s.initial), leaving: map[string]bool{}, wiped: map[string]bool{}}
	for _, m := range s.vms {
		s.boot(m)
	}
	for range s.random.Intn(spareVMs + 1) {
		s.openGroup.add(s)
	}
	return s
}

func (f *openGroupSim) configure(s *simulation, m *simVM, o *nodeOptions) {
	first := slices.Contains(s.initial, m.vm) && !f.wiped[m.vm]
	if !first {
		o.initialVMs = nil
	}
	o.membership = OpenMembership{
		Voters: f.voters, Replicas: f.replicas, JoinOnly: !first,
		Contacts: func() []string {
			var vms []string
			for _, other := range s.vms {
				vms = append(vms, other.vm)
			}
			return vms
		},
		Leaving: func(vm string) bool { return f.leaving[vm] },
	}
	if f.assigns {
		o.membership.Assigned = func(vm string) bool { return slices.Contains(f.assignedVMs(s), vm) }
	}
}

// assignedVMs returns the VMs that should hold the group: the newest ones that stay, so that replicas move as VMs are added.
func (f *openGroupSim) assignedVMs(s *simulation) (vms []string) {
	for _, m := range slices.Backward(s.vms) {
		if !f.leaving[m.vm] && len(vms) < f.replicas {
			vms = append(vms, m.vm)
		}
	}
	return vms
}

func (f *openGroupSim) add(s *simulation) {
	f.startedVMs++
	s.addVM(fmt.Sprintf("n%03d", f.startedVMs))
}

// step removes drained VMs and starts and ends faults, additions and drains at random.
func (f *openGroupSim) step(s *simulation) {
	f.removeDrainedVMs(s)
	if leader := s.leader(); leader != nil && f.leaving[leader.vm] && s.now%5 == 0 {
		leader.node.raft.TransferLeadership()
	}
	if !s.faults {
		return
	}
	m := s.vms[s.random.Intn(len(s.vms))]
	switch {
	case s.chance(8) && m.node != nil:
		s.crashVM(m, 1+s.random.Intn(80))
	case s.chance(8):
		m.frozenUntil = s.now + 1 + s.random.Intn(60)
	case s.chance(10):
		s.cutLinksOf(m)
	case s.chance(30):
		s.cutLinks = map[[2]string]bool{}
	case s.chance(15) && f.mayLoseDisk(s, m):
		f.counts.wiped++
		s.crashVM(m, 1+s.random.Intn(30))
		s.wipe(m)
		f.wiped[m.vm] = true
	case s.chance(15) && f.mayLoseDisk(s, m):
		f.counts.replaced++
		f.remove(s, m)
		f.add(s)
	case s.chance(5) && len(s.vms) < f.voters+spareVMs+1:
		f.counts.added++
		f.add(s)
	case s.chance(10) && len(s.vms)-len(f.leaving) > f.voters && len(f.leaving) == 0:
		f.leaving[m.vm] = true
	case s.chance(10):
		s.transferLeadership()
	}
}

func (f *openGroupSim) remove(s *simulation, removed *simVM) {
	s.vms = slices.DeleteFunc(s.vms, func(m *simVM) bool { return m == removed })
	delete(f.leaving, removed.vm)
}

// mayLoseDisk reports whether a VM may lose its disk now: no more voters and learners may have lost
// theirs then than the target number of voters tolerates. Learners count because they may be
// promoted at the same moment.
func (f *openGroupSim) mayLoseDisk(s *simulation, m *simVM) bool {
	leader := s.leader()
	if !s.hadLeader || leader == nil || leader.node.raft.ChangePending() || leader.node.raft.Term() < f.highestTerm(s) {
		return false
	}
	voters, lost := 0, 1
	for _, member := range leader.node.raft.Conf().Members {
		if !member.Learner {
			voters++
		}
		if member.Vm != m.vm && !s.hasDisk(member, leader) {
			lost++
		}
	}
	return voters >= f.voters && lost <= (f.voters-1)/2
}

func (f *openGroupSim) highestTerm(s *simulation) uint64 {
	highest := uint64(0)
	for _, m := range s.vms {
		if m.node != nil && m.node.hasFormation() {
			highest = max(highest, m.node.raft.Term())
		}
	}
	return highest
}

// highestMemberTerm is highestTerm for the members of the leader's membership: if there were a later leader, one of them would have
// voted for it. A removed VM may have a higher term for ever, since nobody answers its votes.
func (f *openGroupSim) highestMemberTerm(leader *simVM, s *simulation) uint64 {
	highest := uint64(0)
	for _, m := range s.vms {
		if m.node != nil && m.node.hasFormation() && slices.ContainsFunc(leader.node.raft.Conf().Members, func(member *raftpb.Member) bool { return member.Vm == m.vm }) {
			highest = max(highest, m.node.raft.Term())
		}
	}
	return highest
}

// removeDrainedVMs removes a leaving VM as soon as the group has committed a membership without it,
// as operators do.
func (f *openGroupSim) removeDrainedVMs(s *simulation) {
	leader := s.leader()
	if leader == nil || leader.node.raft.ChangePending() || leader.node.raft.Term() < f.highestMemberTerm(leader, s) {
		return
	}
	for vm := range f.leaving {
		member := false
		for _, m := range leader.node.raft.Conf().Members {
			member = member || m.Vm == vm
		}
		if member || leader.vm == vm {
			continue
		}
		for _, m := range s.vms {
			if m.vm == vm {
				f.counts.drained++
				f.remove(s, m)
				break
			}
		}
	}
}

// checkOpenConverged checks that the group has the target number of voters and all have their disks.
func (s *simulation) checkOpenConverged() error {
	leader := s.leader()
	if leader == nil {
		return errors.New("liveness: no leader after all faults ended")
	}
	if err := s.openGroup.checkAssigned(s, leader); err != nil {
		return err
	}
	voters := 0
	for _, member := range leader.node.raft.Conf().Members {
		if member.Learner {
			continue
		}
		voters++
		if !s.hasDisk(member, leader) {
			return errors.Newf("liveness: the voter on VM %s was not replaced", member.Vm)
		}
		if err := s.checkCaughtUp(member, leader); err != nil {
			return err
		}
	}
	switch {
	case voters != s.openGroup.voters:
		return errors.Newf("liveness: %d voters instead of %d", voters, s.openGroup.voters)
	case len(s.openGroup.leaving) > 0:
		return errors.Newf("liveness: leaving VMs were not drained: %v", s.openGroup.leaving)
	case s.checker.AckedCount() == 0:
		return errors.New("liveness: no command was acknowledged")
	}
	return nil
}

// checkAssigned checks that the group is held by the VMs that should hold it, if these are known, and by no others.
func (f *openGroupSim) checkAssigned(s *simulation, leader *simVM) error {
	if !f.assigns || f.replicas == 0 || f.voters == 1 {
		return nil
	}
	var held []string
	for _, member := range leader.node.raft.Conf().Members {
		held = append(held, member.Vm)
	}
	wanted := f.assignedVMs(s)
	slices.Sort(held)
	slices.Sort(wanted)
	if !slices.Equal(held, wanted) {
		return errors.Newf("liveness: the group is held by %v, not by %v", held, wanted)
	}
	return nil
}

func runOpenSeed(seed int64) (s *simulation, err error) {
	s = newOpenSimulation(seed)
	defer func() {
		if r := recover(); r != nil {
			err = errors.Newf("tick %d: %v", s.now, r)
		}
	}()
	for range faultyTicks {
		if s.step(); s.err != nil {
			return s, errors.Wrapf(s.err, "tick %d", s.now)
		}
	}
	s.faults = false
	for _, m := range s.vms {
		m.frozenUntil, m.downUntil = 0, 0
	}
	for tick := range recoveryTicks {
		if s.step(); s.err != nil {
			return s, errors.Wrapf(s.err, "tick %d", s.now)
		}
		if tick%settleTicks == settleTicks-1 {
			if err = s.checkOpenConverged(); err == nil {
				return s, nil
			}
		}
	}
	return s, err
}

func TestSimulation_OpenMembershipKeepsInvariants(t *testing.T) {
	var group sync.WaitGroup
	var lock sync.Mutex
	var failures []string
	var done openCounts
	acked := 0
	for worker := range parallelSeeds {
		group.Go(func() {
			for i := worker; i < *seedCount; i += parallelSeeds {
				seed := *firstSeed + int64(i)
				s, err := runOpenSeed(seed)
				lock.Lock()
				acked += s.checker.AckedCount()
				c := s.openGroup.counts
				done = openCounts{done.replaced + c.replaced, done.wiped + c.wiped, done.drained + c.drained, done.added + c.added}
				if err != nil {
					failures = append(failures, fmt.Sprintf("seed %d: %v", seed, err))
				}
				lock.Unlock()
			}
		})
	}
	group.Wait()
	for _, f := range failures[:min(len(failures), 10)] {
		t.Log(f)
	}
	t.Logf("%d seeds, %d acknowledged commands, %+v", *seedCount, acked, done)
	require.Empty(t, failures, "run a seed alone with -raft.first=SEED -raft.seeds=1")
	require.NotZero(t, done.replaced)
	require.NotZero(t, done.wiped)
	require.NotZero(t, done.drained)
	require.NotZero(t, done.added)
}
