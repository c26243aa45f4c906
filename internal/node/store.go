package node

import (
	"context"
	"maps"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"egretramp/internal/clock"
	"egretramp/internal/events"
	"egretramp/internal/groups"
	"egretramp/internal/raft"
	"egretramp/internal/raft/raftpb"
	"egretramp/internal/raft/wal"
	"egretramp/internal/replica"
	"egretramp/internal/turns"
)

const (
	// storeSnapshotEntries is the number of log entries between two snapshots, each of which contains
	// all stored conversations. A VM that lost its disk receives a snapshot and up to about as many entries, within
	// the catch-up time.
	storeSnapshotEntries = 8000
	// storeLogMemoryShare is the fraction of the VM's memory that the logs may use before they are
	// truncated. While a snapshot is taken, log, state and snapshot are in memory.
	storeLogMemoryShare = 0.4
	// maxGroups bounds the number of groups whose files are searched at the start.
	maxGroups = 256
)

// store is the role of a store VM. It replicates budgets and conversations: it holds a replica of each
// group of the store that is assigned to the VM.
type store struct {
	node      *Node
	transport *groups.ForwardingTransport // of all groups

	mu          sync.Mutex
	replicas    map[uint64]*replica.Replica
	stops       map[uint64]func() // stop the replicas and wait for their ends
	assignments assignments
	ctx         context.Context
	wg          *conc.WaitGroup
}

func newStore(n *Node) *store {
	s := &store{node: n, replicas: map[uint64]*replica.Replica{}, stops: map[uint64]func(){}, assignments: assignments{}}
	s.transport = groups.NewForwardingTransport(n.network, n.self.Zone, n.watcher.zoneOf, clock.Now)
	n.network.HandleMessages(groups.KindRaft, func(from string, payload []byte) {
		if m, ok := s.transport.Receive(from, payload); ok {
			s.step(m)
		}
	})
	n.network.HandleMessages(groups.KindForward, s.transport.Forward)
	n.network.HandleCalls(groups.MethodPropose, func(ctx context.Context, from string, payload []byte) ([]byte, error) {
		return s.heldReplicas().HandlePropose(ctx, from, payload)
	})
	n.network.HandleCalls(methodStatus, s.handleStatus)
	n.metrics.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "egretramp_store_replicas_behind",
		Help: "New replicas of the groups that this VM leads that have not caught up. Until they have, the loss of another disk may cost data.",
	}, s.replicasBehind), prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "egretramp_store_replicas",
		Help: "Replicas that this VM holds, of all groups. Over all VMs, more than the groups times their replicas means copies that nobody needs.",
	}, func() float64 { return float64(len(s.heldReplicas())) }))
	return s
}

// heldReplicas returns a copy of the map of this VM's replicas by group.
func (s *store) heldReplicas() groups.Replicas {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.replicas)
}

// replicasBehind returns the number of learners that have not caught up, of the groups that this VM leads.
func (s *store) replicasBehind() float64 {
	behind := 0
	for _, r := range s.heldReplicas() {
		for _, m := range r.Status().Members {
			if m.Behind {
				behind++
			}
		}
	}
	return float64(behind)
}

func (s *store) handleStatus(context.Context, string, []byte) ([]byte, error) {
	var answer storeStatus
	for group, r := range s.heldReplicas() {
		status := r.Status()
		g := groupStatus{Group: group, Leads: status.Role == roleLeader}
		for _, m := range status.Members {
			g.Members = append(g.Members, m.VM)
		}
		answer.Groups = append(answer.Groups, g)
	}
	return encode(answer), nil
}

// start opens the replicas that this VM held before its restart. handleUpdate opens those that are
// assigned to it later.
func (s *store) start(ctx context.Context, wg *conc.WaitGroup) error {
	s.mu.Lock()
	s.ctx, s.wg = ctx, wg
	s.mu.Unlock()
	folder := s.node.settings.DataFolder
	for i := range maxGroups {
		if _, err := os.Stat(wal.Path(folder, storeGroup(i))); err != nil {
			continue
		}
		forming, err := loadInitial(folder, storeGroup(i))
		if err == nil {
			err = s.openReplica(i, forming)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// openReplica starts the replica of the store's group i, counted from 0. forming are the group's initial
// members.
func (s *store) openReplica(i int, forming []string) error {
	group := storeGroup(i)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.replicas[group] != nil {
		return nil
	}
	n := s.node
	if !slices.Contains(forming, n.self.VM) {
		forming = nil
	}
	if forming != nil {
		if err := saveInitial(n.settings.DataFolder, group, forming); err != nil {
			return err
		}
	}
	if err := restoreReleased(wal.Path(n.settings.DataFolder, group)); err != nil {
		return err
	}
	r, err := replica.New(replica.Options{
		Group: group, VM: n.self.VM, Folder: n.settings.DataFolder, InitialVMs: forming,
		Open: replica.OpenMembership{
			Voters: n.settings.Voters(), JoinOnly: forming == nil, Contacts: s.contacts, Zone: s.zone, Leaving: s.isEmptying,
			Replicas: n.settings.StoreReplicas(), Assigned: func(vm string) bool { return s.isAssigned(i, vm) },
		},
		OpenStore: func(folder string, fresh *raftpb.Identity) (replica.Store, raft.State, error) {
			return wal.Open(folder, fresh)
		},
		Machine: turns.New(), Transport: s.transport,
		SnapshotEvery: storeSnapshotEntries, SnapshotBytes: s.maxLogBytes, Events: n.events, ElectionTicks: electionTicks,
		CommitAtHeartbeat: true, // turns are answered by the leader; the others apply them to take over
	})
	if err != nil {
		return err
	}
	s.replicas[group] = r
	ctx, cancel := context.WithCancel(s.ctx)
	ended := make(chan struct{})
	s.stops[group] = func() { cancel(); <-ended }
	s.wg.Go(func() {
		defer close(ended)
		defer cancel()
		err := r.Run(ctx)
		if err != nil {
			n.events.Emit(events.NodeReplicaFailed, zap.Error(err))
		}
		n.fail(err)
	})
	return nil
}

// maxLogBytes returns the size up to which the log of one group may grow, so that the logs of all groups
// that this VM holds, or that may be assigned to it, fit into its memory.
func (s *store) maxLogBytes() int64 {
	view := s.node.watcher.stores()
	held := max(1, len(s.heldReplicas()))
	if vms := len(view.running) + len(view.silent); vms > 0 {
		held = max(held, (len(view.shards)*s.node.settings.StoreReplicas()+vms-1)/vms)
	}
	return int64(storeLogMemoryShare * float64(s.node.settings.MemoryBytes) / float64(held))
}

// contacts returns the VMs that may know a group's leader: any running store VM may have become a
// member.
func (s *store) contacts() []string {
	var vms []string
	for _, v := range s.node.watcher.stores().running {
		vms = append(vms, v.VM)
	}
	return vms
}

func (s *store) zone(vm string) string { return s.node.watcher.stores().zones[vm] }

func (s *store) isEmptying(vm string) bool {
	return slices.Contains(s.node.watcher.stores().emptying, vm)
}

func (s *store) documentVersion() uint64 { return 0 }

// transferTimeout bounds the transfer of leaderships.
const transferTimeout = time.Second

// maintain releases replicas that are not needed, and transfers the leaderships of a VM that is being emptied.
func (s *store) maintain() {
	s.releaseUnneeded()
	if s.isEmptying(s.node.self.VM) {
		s.transferLeaderships(context.Background())
	}
}

// transferLeaderships transfers the leadership of all groups that this VM leads.
func (s *store) transferLeaderships(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	var wg conc.WaitGroup
	defer wg.Wait()
	for _, r := range s.heldReplicas() {
		if r.Status().Role != roleLeader {
			continue
		}
		wg.Go(func() {
			if err := r.Transfer(limited); err != nil {
				s.node.events.Emit(events.NodeOperatorCommand, zap.String("order", "transfer"), zap.Error(err))
			}
		})
	}
}

// drain transfers all leaderships and continues to serve for transferLinger.
func (s *store) drain(ctx context.Context) {
	s.transferLeaderships(ctx)
	sleep(ctx, transferLinger)
}
