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

// Formation establishes a group's initial membership. A replica without a formation sends a hello
// message to every initial VM. Once all of them have replied that they have no formation either,
// the VM with the smallest name durably joins the resulting membership and proposes it to the
// others. A replica that is named in a proposal joins it durably too, and never joins another
// formation. A formation exists once a majority of its members has joined.
//
// The proposer joins before it proposes: if it could propose again with a different membership
// after a VM lost its disk, the members could end up in two formations.
//
// A reply counts only if it is addressed to this replica's ID: replies to a former replica of
// the VM may still be in flight after its disk was lost.

const (
	// replyLifetimeRounds is the number of hello rounds after which a reply expires.
	replyLifetimeRounds = 3
	// waitingEventRounds is the number of hello rounds between two events about missing VMs.
	waitingEventRounds = 50
	// fastHelloRounds is the number of hello rounds after which they become rarer: a replica that isn't needed, or not yet, would
	// otherwise send to all VMs with each heartbeat for as long as it runs. The longer interval is still shorter than
	// joinerLifetimeTicks.
	fastHelloRounds     = 50
	slowHelloHeartbeats = 5
)

// discovery is the state of the search for a group to form or join.
type discovery struct {
	elapsed int
	rounds  uint64
	replies map[string]helloReply
	// inOtherFormation holds the members of this replica's formation that joined another one.
	inOtherFormation map[uint64]bool
	// abandoned is set when this replica must restart with an empty state and a new ID.
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

// tickDiscovery sends hello messages once per heartbeat interval, later less often, while no leader is known, also if
// the replica already has a formation: the entry that admitted it may have been overwritten by
// another leader.
func (n *node) tickDiscovery() error {
	g := &n.discovery
	if n.hasFormation() && n.raft.Leader() != 0 {
		g.rounds = 0
		return nil
	}
	interval := n.options.heartbeatTicks
	if g.rounds >= fastHelloRounds {
		interval *= slowHelloHeartbeats
	}
	g.elapsed++
	if g.elapsed < interval {
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

// helloTargets returns the VMs that may run a replica of the group, sorted and without duplicates.
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

// formationStalled reports whether the replica has neither a known leader nor any entry of its
// formation.
func (n *node) formationStalled() bool {
	return n.raft.Leader() == 0 && n.raft.LastIndex() <= formationIndex
}

// proposeFormation joins and proposes a formation if this VM has the smallest name and every
// initial VM has replied that it has no formation.
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
			// The group already exists; its leader will admit this replica.
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

// formationNumber derives the number of a formation from its replica IDs, which are random.
func formationNumber(conf *raftpb.ConfState) uint64 {
	hash := fnv.New64a()
	for _, m := range conf.Members {
		hash.Write(binary.BigEndian.AppendUint64(nil, m.Id))
	}
	return max(hash.Sum64(), 1)
}

// handleHello replies to a hello message. It also records the sender, because it may be a new
// replica that this replica, as leader, has to admit.
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

// sendForm sends the formation to a member that has not joined it yet. Every member that has joined
// does this, because the proposer may no longer be running.
func (n *node) sendForm(id uint64) {
	for _, m := range n.raft.Conf().Members {
		if m.Id != id || m.Id == n.raft.ID() || n.raft.LastIndex() != formationIndex {
			continue
		}
		form := &raftpb.Form{Formation: n.store.Identity().Formation, Conf: n.raft.Conf()}
		n.send(m.Vm, &raftpb.Message{Type: raftpb.MessageType_MESSAGE_TYPE_FORM, To: m.Id, Form: form})
	}
}

// abandonIfNoMajority abandons the formation if it has no majority and can never get one: members
// that joined another formation never took part in this one, and this replica holds no entry. A
// member that only lost its disk is not counted, because it may have been part of a majority.
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

// handleForm joins a proposed formation if this replica has none and the proposal names it.
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

// joinFormation durably makes this replica part of a formation. With a membership, it starts as a
// voter; without one, it starts empty and receives its state from the leader.
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

// formerReplicas returns the former replicas that a replica restarting with a new ID has to store:
// those of its previous identity, and that identity itself.
func formerReplicas(identity *raftpb.Identity) []*raftpb.FormerReplica {
	own := &raftpb.FormerReplica{Replica: identity.Replica, Formation: identity.Formation}
	return append(slices.Clone(identity.Former), own)
}
