package replica

import (
	"encoding/binary"
	"hash/fnv"
	"slices"

	"go.uber.org/zap"

	"egretramp/internal/events"
	"egretramp/internal/raft"
	"egretramp/internal/raft/raftpb"
	"egretramp/internal/raft/storage"
)

// Formation. A replica without one greets every initial VM. When all of them have answered
// this very replica that they have none either, the VM with the smallest name binds itself
// durably to the membership and proposes it. A replica that is named in a proposal binds
// itself too, and never to another. A formation exists once a majority of its members is bound.
//
// The proposer binds itself first: were it free to propose again with another membership
// after a VM lost its disk, the members could end up in two formations.
//
// An answer counts only if it is addressed to this replica's ID: answers to a former replica
// of the VM may still be on the way after its disk was lost.

const (
	// replyLifetimeRounds is for how many rounds of greetings an answer counts.
	replyLifetimeRounds = 3
	// waitingEventRounds is the number of rounds between two events about a missing VM.
	waitingEventRounds = 50
)

// discovery is the state of formation and joining.
type discovery struct {
	elapsed int
	rounds  uint64
	replies map[string]helloReply
	// inOtherFormation are the members of this replica's formation that are bound to another one.
	inOtherFormation map[uint64]bool
	// abandoned says that this replica must start anew under a new ID.
	abandoned bool
}

type helloReply struct {
	replica   uint64
	formation uint64
	round     uint64
}

func (g *discovery) reset() {
	g.replies = map[string]helloReply{}
	g.inOtherFormation = map[uint64]bool{}
}

// tickDiscovery greets once per heartbeat interval while the replica knows no leader. One that
// is bound greets too: the entry that admitted it may have been replaced by another leader.
func (n *node) tickDiscovery() error {
	g := &n.discovery
	if n.hasFormation() && n.raft.Leader() != 0 {
		return nil
	}
	g.elapsed++
	if g.elapsed < n.options.heartbeatTicks {
		return nil
	}
	g.elapsed = 0
	g.rounds++
	for _, vm := range n.helloTargets() {
		if vm != n.options.vm {
			n.send(vm, &raftpb.Message{Type: raftpb.MessageType_MESSAGE_TYPE_HELLO, Hello: &raftpb.Hello{InitialVms: n.options.initialVMs}})
		}
	}
	if n.hasFormation() {
		return nil
	}
	return n.proposeFormation()
}

// helloTargets returns the VMs that may know the group's leader.
func (n *node) helloTargets() []string {
	vms := slices.Clone(n.options.initialVMs)
	if n.options.membership.Contacts != nil {
		vms = append(vms, n.options.membership.Contacts()...)
	}
	if n.hasFormation() {
		for _, m := range n.raft.Conf().Members {
			vms = append(vms, m.Vm)
		}
	}
	slices.Sort(vms)
	return slices.Compact(vms)
}

// formationStalled tells whether the replica is bound to a formation but nothing ever came of it here.
func (n *node) formationStalled() bool {
	return n.raft.Leader() == 0 && n.raft.LastIndex() <= formationIndex
}

// proposeFormation sends the membership if this VM has the smallest name and all VMs agree
// to be empty.
func (n *node) proposeFormation() error {
	if len(n.options.initialVMs) == 0 || n.options.initialVMs[0] != n.options.vm || n.options.membership.JoinOnly {
		return nil
	}
	conf := &raftpb.ConfState{}
	var missing []string
	for _, vm := range n.options.initialVMs {
		a, ok := n.discovery.replies[vm]
		switch {
		case vm == n.options.vm:
			a.replica = n.store.Identity().Replica
		case a.formation != 0:
			// The group exists; its leader will admit this replica.
			return nil
		case !ok || n.discovery.rounds-a.round > replyLifetimeRounds:
			missing = append(missing, vm)
			continue
		}
		conf.Members = append(conf.Members, &raftpb.Member{Id: a.replica, Vm: vm})
	}
	if len(missing) > 0 {
		n.reportMissingVMs(missing)
		return nil
	}
	if err := n.joinFormation(formationNumber(conf), conf); err != nil {
		return err
	}
	for _, m := range conf.Members {
		n.sendForm(m.Id)
	}
	return nil
}

func (n *node) reportMissingVMs(missing []string) {
	if n.discovery.rounds%waitingEventRounds == 0 {
		n.emit(events.FormationWaiting, zap.Strings("vms", missing))
	}
}

// formationNumber is determined by the replica IDs, which are random.
func formationNumber(conf *raftpb.ConfState) uint64 {
	hash := fnv.New64a()
	for _, m := range conf.Members {
		hash.Write(binary.BigEndian.AppendUint64(nil, m.Id))
	}
	return max(hash.Sum64(), 1)
}

// handleHello answers a greeting. Who leads also remembers who greets: it may be a new
// replica to be admitted.
func (n *node) handleHello(m *raftpb.Message) {
	n.send(m.FromVm, &raftpb.Message{
		Type: raftpb.MessageType_MESSAGE_TYPE_HELLO_REPLY, To: m.From,
		HelloReply: &raftpb.HelloReply{InitialVms: n.options.initialVMs, Former: n.store.Identity().Former},
	})
	if m.Formation == 0 || m.Formation == n.store.Identity().Formation {
		n.joiners.record(m.FromVm, m.From)
	}
}

func (n *node) handleHelloReply(m *raftpb.Message) {
	if m.To != n.store.Identity().Replica {
		return
	}
	n.discovery.replies[m.FromVm] = helloReply{replica: m.From, formation: m.Formation, round: n.discovery.rounds}
	if !n.hasFormation() || !n.formationStalled() {
		return
	}
	own := n.store.Identity().Formation
	if m.Formation == 0 {
		n.sendForm(m.From)
	} else if m.Formation != own {
		n.discovery.inOtherFormation[m.From] = true
	}
	for _, former := range m.HelloReply.GetFormer() {
		if former.Formation != own {
			n.discovery.inOtherFormation[former.Replica] = true
		}
	}
	n.abandonIfNoMajority()
}

// sendForm passes the formation on to a member that is not bound yet. Any bound member does
// it, because the proposer may be gone.
func (n *node) sendForm(id uint64) {
	for _, m := range n.raft.Conf().Members {
		if m.Id != id || m.Id == n.raft.ID() || n.raft.LastIndex() != formationIndex {
			continue
		}
		form := &raftpb.Form{Formation: n.store.Identity().Formation, Conf: n.raft.Conf()}
		n.send(m.Vm, &raftpb.Message{Type: raftpb.MessageType_MESSAGE_TYPE_FORM, To: m.Id, Form: form})
	}
}

// abandonIfNoMajority abandons the formation once it can't have, and never can get, a majority: the
// members that are bound elsewhere never took part, and this one holds no entry. A member
// that merely lost its disk doesn't count, for it may have been part of a majority.
func (n *node) abandonIfNoMajority() {
	voters, outside := 0, 0
	for _, m := range n.raft.Conf().Members {
		voters++
		if n.discovery.inOtherFormation[m.Id] {
			outside++
		}
	}
	if unavailable := outside + 1; outside > 0 && voters-unavailable < voters/2+1 {
		n.discovery.abandoned = true
		n.emit(events.FormationAbandoned, zap.Uint64("formation", n.store.Identity().Formation))
	}
}

// handleForm binds an unbound replica that the proposal names.
func (n *node) handleForm(m *raftpb.Message) error {
	if n.hasFormation() {
		return nil
	}
	own := n.store.Identity()
	named := slices.ContainsFunc(m.Form.Conf.Members, func(member *raftpb.Member) bool {
		return member.Id == own.Replica && member.Vm == own.Vm
	})
	if !named {
		return nil
	}
	return n.joinFormation(m.Form.Formation, m.Form.Conf)
}

// joinFormation makes this replica part of a formation, durably. With a membership it starts as a
// voter of it; without, it starts empty and learns all from the leader.
func (n *node) joinFormation(formation uint64, conf *raftpb.ConfState) error {
	snapshot := &raftpb.Snapshot{Conf: &raftpb.ConfState{}}
	event := events.GroupJoined
	if conf != nil {
		snapshot = &raftpb.Snapshot{Index: formationIndex, Term: 1, Conf: conf}
		event = events.GroupFormed
	}
	hard := &raftpb.HardState{Term: snapshot.Term, Commit: snapshot.Index}
	err := n.store.Save(storage.Batch{
		Formation: formation, Hard: hard, Snapshot: snapshot,
		ReplaceLog: true, BaseIndex: snapshot.Index, BaseTerm: snapshot.Term,
	})
	if err != nil {
		return err
	}
	n.discovery.reset()
	n.emit(event, zap.Uint64("formation", formation))
	bounds := &raftpb.LogBounds{BaseIndex: snapshot.Index, BaseTerm: snapshot.Term, LastIndex: snapshot.Index}
	return n.start(raft.State{Hard: hard, Snapshot: snapshot, Bounds: bounds})
}

// formerReplicas returns what a replica that starts anew remembers: its own past too.
func formerReplicas(identity *raftpb.Identity) []*raftpb.FormerReplica {
	own := &raftpb.FormerReplica{Replica: identity.Replica, Formation: identity.Formation}
	return append(slices.Clone(identity.Former), own)
}
