package node

import (
	"context"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"egretramp/internal/events"
	"egretramp/internal/groups"
	"egretramp/internal/raft"
	"egretramp/internal/raft/raftpb"
	"egretramp/internal/raft/wal"
	"egretramp/internal/replica"
	"egretramp/internal/turns"

	"google.golang.org/protobuf/proto"
)

const (
	// storeSnapshotEvery is the number of log entries between two snapshots, each of which holds
	// every kept conversation.
	storeSnapshotEvery = 100000
	// storeLogShare is the part of the VM's memory that the log may fill before it is cut. While a
	// snapshot is taken, log, state and snapshot are in memory.
	storeLogShare = 0.4
)

// store replicates budgets and conversations.
type store struct {
	node *Node

	mu      sync.Mutex
	replica *replica.Replica // nil until the VMs that form the group are known
	ctx     context.Context
	wg      *conc.WaitGroup
}

func newStore(n *Node) *store {
	s := &store{node: n}
	n.network.HandleMessages(groups.KindRaft, s.handleRaft)
	n.network.HandleCalls(groups.MethodPropose, func(ctx context.Context, from string, payload []byte) ([]byte, error) {
		return s.replicas().HandlePropose(ctx, from, payload)
	})
	n.network.HandleCalls(methodStatus, s.handleStatus)
	return s
}

func (s *store) current() *replica.Replica {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replica
}

func (s *store) replicas() groups.Replicas {
	if r := s.current(); r != nil {
		return groups.Replicas{groupStore: r}
	}
	return nil
}

func (s *store) handleRaft(_ string, payload []byte) {
	r := s.current()
	if r == nil {
		return
	}
	m := &raftpb.Message{}
	if proto.Unmarshal(payload, m) == nil {
		r.Step(m)
	}
}

func (s *store) handleStatus(context.Context, string, []byte) ([]byte, error) {
	r := s.current()
	if r == nil {
		return nil, errors.New("node: no replica yet")
	}
	status := r.Status()
	answer := storeStatus{Leads: status.Role == roleLeader}
	for _, m := range status.Members {
		answer.Members = append(answer.Members, m.VM)
	}
	return encode(answer), nil
}

func (s *store) start(ctx context.Context, wg *conc.WaitGroup) error {
	s.mu.Lock()
	s.ctx, s.wg = ctx, wg
	s.mu.Unlock()
	folder := s.node.settings.DataFolder
	if _, err := os.Stat(wal.Path(folder, groupStore)); err != nil {
		return nil // the control VMs tell who forms the group
	}
	forming, err := loadInitial(folder, groupStore)
	if err != nil {
		return err
	}
	return s.open(forming)
}

// open starts the replica. forming are the VMs that form the group.
func (s *store) open(forming []string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.replica != nil {
		return nil
	}
	n := s.node
	if !slices.Contains(forming, n.self.VM) {
		forming = nil
	}
	if forming != nil {
		if err := saveInitial(n.settings.DataFolder, groupStore, forming); err != nil {
			return err
		}
	}
	r, err := replica.New(replica.Options{
		Group: groupStore, VM: n.self.VM, Folder: n.settings.DataFolder, InitialVMs: forming,
		Open: replica.OpenMembership{
			Voters: n.settings.Voters(), JoinOnly: forming == nil, Contacts: s.contacts, Zone: s.zone, Leaving: s.leaving,
		},
		OpenStore: func(folder string, fresh *raftpb.Identity) (replica.Store, raft.State, error) {
			return wal.Open(folder, fresh)
		},
		Machine: turns.New(), Transport: groups.Transport{Network: n.network},
		SnapshotEvery: storeSnapshotEvery, SnapshotBytes: int64(storeLogShare * float64(n.settings.MemoryBytes)), Events: n.events, ElectionTicks: electionTicks,
	})
	if err != nil {
		return err
	}
	s.replica = r
	ctx := s.ctx
	s.wg.Go(func() {
		err := r.Run(ctx)
		if err != nil {
			n.events.Emit(events.NodeReplica, zap.Error(err))
		}
		n.fail(err)
	})
	return nil
}

func (s *store) contacts() []string {
	var vms []string
	for _, v := range s.node.watcher.stores().running {
		vms = append(vms, v.VM)
	}
	return vms
}

func (s *store) zone(vm string) string {
	view := s.node.watcher.stores()
	for _, v := range append(view.running, view.silent...) {
		if v.VM == vm {
			return v.Zone
		}
	}
	return ""
}

func (s *store) leaving(vm string) bool {
	return slices.Contains(s.node.watcher.stores().emptying, vm)
}

func (s *store) accept(string, watchResponse) {
	forming := s.node.watcher.stores().forming
	if s.current() == nil && len(forming) > 0 {
		if err := s.open(forming); err != nil {
			s.node.fail(err)
		}
	}
}

func (s *store) documentVersion() uint64 { return 0 }

// transferTime bounds a change of leadership.
const transferTime = time.Second

// tend hands on the leadership of a VM that is being emptied.
func (s *store) tend() {
	r := s.current()
	if r == nil || r.Status().Role != roleLeader || !s.leaving(s.node.self.VM) {
		return
	}
	s.transfer(context.Background())
}

func (s *store) transfer(ctx context.Context) {
	r := s.current()
	if r == nil {
		return
	}
	limited, cancel := context.WithTimeout(ctx, transferTime)
	defer cancel()
	if err := r.Transfer(limited); err != nil {
		s.node.events.Emit(events.NodeOrder, zap.String("order", "transfer"), zap.Error(err))
	}
}

// drain hands the leadership on.
func (s *store) drain(ctx context.Context) {
	s.transfer(ctx)
	wait(ctx, controlLinger)
}
