package node

import (
	"context"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"egretramp/internal/clock"
	"egretramp/internal/events"
	"egretramp/internal/raft/raftpb"
	"egretramp/internal/raft/wal"
)

const (
	// assignmentDelay is how long a group must have been assigned to a store VM before the VM opens a replica, which copies the
	// whole state, and how long it must not have been assigned before the VM may release its replica. A VM that has just started
	// doesn't see all others yet, and one that restarts soon shall not be replaced. It comes on top of memberTimeout, after which a
	// VM counts as silent.
	assignmentDelay = 3 * time.Second
	// exclusionTimeout bounds the question whether this VM is a member of a group.
	exclusionTimeout = time.Second
	// releasedSuffix is that of the files of replicas that were released.
	releasedSuffix = ".released"
)

// assignments holds, by group counted from 0, whether the group is assigned to this VM, and since when.
type assignments map[int]assignment

type assignment struct {
	assigned bool
	since    time.Duration
}

// observe records whether a group is assigned to this VM and reports whether that has been so for assignmentDelay.
func (a assignments) observe(now time.Duration, group int, assigned bool) (settled bool) {
	last, known := a[group]
	if !known || last.assigned != assigned {
		a[group] = assignment{assigned, now}
		return false
	}
	return now-last.since >= assignmentDelay
}

// isAssigned reports whether a VM should hold the store's group i.
func (s *store) isAssigned(i int, vm string) bool {
	view := s.node.watcher.stores()
	return i < len(view.shards) && slices.Contains(view.assignedVMs(i, s.node.settings.StoreReplicas()), vm)
}

// handleUpdate opens the replicas of groups that this VM forms, and of those that have been assigned to it for assignmentDelay, or
// at once if there is no VM to spare. That this VM is a member already, without its disk, shows in the group's messages, see step.
func (s *store) handleUpdate(string, watchResponse) {
	view := s.node.watcher.stores()
	self := s.node.self.VM
	now := clock.Now()
	for i, forming := range view.shards {
		assigned := s.isAssigned(i, self)
		s.mu.Lock()
		settled := s.assignments.observe(now, i, assigned)
		held := s.replicas[storeGroup(i)] != nil
		s.mu.Unlock()
		if held || slices.Contains(view.emptying, self) {
			continue
		}
		forms := slices.Contains(forming, self) && !isReleased(wal.Path(s.node.settings.DataFolder, storeGroup(i)))
		if !forms && !(assigned && (settled || view.scarce(s.node.settings.StoreReplicas()))) {
			continue
		}
		if err := s.openReplica(i, forming); err != nil {
			s.node.fail(err)
		}
	}
}

// step passes a message to the local replica of its group. If there is none, a message of a leader or a candidate shows that this
// VM is a member, whose disk was lost or whose replica was released.
func (s *store) step(m *raftpb.Message) {
	s.mu.Lock()
	r, started := s.replicas[m.Group], s.wg != nil
	s.mu.Unlock()
	switch {
	case r != nil:
		r.Step(m)
	case started && provesMembership(m.Type):
		s.openAsMember(m.Group)
	}
}

// provesMembership reports whether replicas send messages of a type only to members of their group.
func provesMembership(t raftpb.MessageType) bool {
	switch t {
	case raftpb.MessageType_MESSAGE_TYPE_APPEND, raftpb.MessageType_MESSAGE_TYPE_HEARTBEAT,
		raftpb.MessageType_MESSAGE_TYPE_SNAPSHOT, raftpb.MessageType_MESSAGE_TYPE_SNAPSHOT_CHUNK,
		raftpb.MessageType_MESSAGE_TYPE_PRE_VOTE, raftpb.MessageType_MESSAGE_TYPE_VOTE:
		return true
	}
	return false
}

// openAsMember opens the replica of a group in the background, unless the group isn't known yet.
func (s *store) openAsMember(group uint64) {
	view := s.node.watcher.stores()
	i := int(group - firstStoreGroup)
	if group < firstStoreGroup || i >= len(view.shards) || slices.Contains(view.emptying, s.node.self.VM) {
		return
	}
	s.wg.Go(func() {
		if err := s.openReplica(i, view.shards[i]); err != nil {
			s.node.fail(err)
		}
	})
}

// releaseUnneeded releases the replicas of groups that have not been assigned to this VM for assignmentDelay and that it is no
// member of.
// They would keep a copy of the group's former state in memory, and ask all VMs to be admitted.
func (s *store) releaseUnneeded() {
	self := s.node.self.VM
	if s.isEmptying(self) {
		return
	}
	now := clock.Now()
	var unneeded []uint64
	for group, r := range s.heldReplicas() {
		s.mu.Lock()
		a := s.assignments[int(group-firstStoreGroup)]
		s.mu.Unlock()
		if !a.assigned && a.since > 0 && now-a.since >= assignmentDelay && r.Status().Leader == "" {
			unneeded = append(unneeded, group)
		}
	}
	if len(unneeded) == 0 {
		return
	}
	excluding := s.excludingGroups(self)
	for _, group := range unneeded {
		if excluding[group] {
			s.release(group)
		}
	}
}

// excludingGroups returns the groups whose leaders report that a VM is no member.
func (s *store) excludingGroups(vm string) map[uint64]bool {
	ctx, cancel := context.WithTimeout(context.Background(), exclusionTimeout)
	defer cancel()
	excluding := map[uint64]bool{}
	for _, other := range s.contacts() {
		answer, err := s.node.network.Call(ctx, other, methodStatus, nil)
		if err != nil {
			continue // another VM may lead the group; if none answers, the replica is kept
		}
		status, err := decode[storeStatus](answer)
		if err != nil {
			continue
		}
		for _, g := range status.Groups {
			if g.Leads && !slices.Contains(g.Members, vm) {
				excluding[g.Group] = true
			}
		}
	}
	return excluding
}

// release stops the replica of a group and sets its file aside. The file is kept: the report of a leader may be out of date, and
// if this VM is a member after all, the replica is opened again with what it has acknowledged.
func (s *store) release(group uint64) {
	s.mu.Lock()
	stop := s.stops[group]
	s.mu.Unlock()
	stop()
	path := wal.Path(s.node.settings.DataFolder, group)
	err := errors.Wrap(os.Rename(path, path+releasedSuffix), "node: set the file of a released replica aside")
	if err == nil {
		err = errors.Wrap(syncFolder(filepath.Dir(path)), "node: sync the data folder")
	}
	s.mu.Lock()
	delete(s.replicas, group)
	delete(s.stops, group)
	s.mu.Unlock()
	s.node.events.Emit(events.StoreReplicaReleased, zap.Uint64("group", group), zap.Error(err))
	s.node.fail(err)
}

func isReleased(path string) bool {
	_, err := os.Stat(path + releasedSuffix)
	return err == nil
}

// restoreReleased gives the file of a replica that was released its name back, if there is one, before the replica may
// acknowledge anything.
func restoreReleased(path string) error {
	if !isReleased(path) {
		return nil
	}
	_, err := os.Stat(path)
	switch {
	case err == nil: // a loss of power undid half of the renaming
		err = os.Remove(path + releasedSuffix)
	case errors.Is(err, os.ErrNotExist):
		err = os.Rename(path+releasedSuffix, path)
	}
	if err == nil {
		err = syncFolder(filepath.Dir(path))
	}
	return errors.Wrap(err, "node: open the file of a released replica again")
}
