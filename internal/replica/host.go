package replica

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"egretramp/internal/clock"
	"egretramp/internal/events"
	"egretramp/internal/raft"
	"egretramp/internal/raft/raftpb"
	"egretramp/internal/raft/storage"
)

const (
	// inboxSize is the number of messages that wait for the replica's goroutine; more are dropped.
	inboxSize = 4096
	// requestQueueSize is the number of calls that wait.
	requestQueueSize = 1024
	// maxBatch is the number of messages and calls that share one sync.
	maxBatch = 1024
)

// Replica runs one replica of a group.
type Replica struct {
	options  Options
	inbox    chan *raftpb.Message
	requests chan func(*node)
	status   atomic.Pointer[Status]

	// stopped is closed when Run has ended; no request is taken after.
	stopped  chan struct{}
	stopOnce sync.Once

	store Store
	node  *node
}

// New opens or makes the group's file in the folder. It returns a *storage.DamagedError if
// the file is damaged.
func New(options Options) (*Replica, error) {
	if err := options.setDefaults(); err != nil {
		return nil, err
	}
	r := &Replica{
		options:  options,
		inbox:    make(chan *raftpb.Message, inboxSize),
		requests: make(chan func(*node), requestQueueSize),
		stopped:  make(chan struct{}),
	}
	if err := r.open(nil); err != nil {
		return nil, err
	}
	r.publish()
	return r, nil
}

func (o *Options) setDefaults() error {
	if o.Group == 0 || o.VM == "" || o.Folder == "" || o.Machine == nil || o.Transport == nil {
		return errors.New("replica: group, VM, folder, machine and transport must be set")
	}
	if o.TickInterval <= 0 {
		o.TickInterval = DefaultTickInterval
	}
	if o.ElectionTicks <= 0 {
		o.ElectionTicks = DefaultElectionTicks
	}
	if o.HeartbeatTicks <= 0 {
		o.HeartbeatTicks = DefaultHeartbeatTicks
	}
	if o.SnapshotEvery == 0 {
		o.SnapshotEvery = DefaultSnapshotEvery
	}
	if o.OpenStore == nil {
		o.OpenStore = func(folder string, fresh *raftpb.Identity) (Store, raft.State, error) {
			return storage.Open(folder, fresh)
		}
	}
	if o.Clock == nil {
		o.Clock = clock.Now
	}
	if o.Seed == 0 {
		o.Seed = int64(randomID())
	}
	return nil
}

// randomID never comes from the seed: a replica ID must not come back after a lost disk.
func randomID() uint64 {
	var b [8]byte
	for {
		if _, err := rand.Read(b[:]); err != nil {
			panic("replica: no source of randomness: " + err.Error())
		}
		if id := binary.BigEndian.Uint64(b[:]); id != 0 {
			return id
		}
	}
}

func (r *Replica) open(former []*raftpb.FormerReplica) error {
	fresh := &raftpb.Identity{Group: r.options.Group, Vm: r.options.VM, Replica: randomID(), Former: former}
	store, state, err := r.options.OpenStore(r.options.Folder, fresh)
	if err != nil {
		return err
	}
	n, err := newNode(nodeOptions{
		group: r.options.Group, vm: r.options.VM, initialVMs: r.options.InitialVMs, membership: r.options.Open,
		machine: r.options.Machine, electionTicks: r.options.ElectionTicks, heartbeatTicks: r.options.HeartbeatTicks,
		snapshotEvery: r.options.SnapshotEvery, snapshotBytes: r.options.SnapshotBytes, seed: r.options.Seed, durableCommit: r.options.DurableCommit,
		send: r.options.Transport.Send, events: r.options.Events,
	}, store, state)
	if err != nil {
		return errors.CombineErrors(errors.Wrapf(err, "replica: %s", store.Path()), store.Close())
	}
	r.store, r.node = store, n
	return nil
}

// Run drives the replica until ctx ends, then returns nil, or until it can't go on, then
// returns why. It is called once.
func (r *Replica) Run(ctx context.Context) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = errors.Newf("replica: %v", p)
		}
		r.stop(err)
	}()
	// A leader sends heartbeats at that interval and nothing is due sooner; the ticks that have
	// passed are counted then.
	interval := time.Duration(r.options.HeartbeatTicks) * r.options.TickInterval
	timer := time.NewTimer(clock.Align(interval))
	defer timer.Stop()
	lastTick := r.options.Clock()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
			timer.Reset(clock.Align(interval))
		case m := <-r.inbox:
			err = r.node.step(m)
		case request := <-r.requests:
			request(r.node)
		}
		if err == nil {
			err = r.handleQueued()
		}
		// The inbox is emptied before time passes: after a stall the messages that came
		// meanwhile must count before their senders are held to be silent.
		if err == nil {
			lastTick, err = r.tickElapsed(lastTick)
		}
		if err == nil {
			err = r.node.flush()
		}
		if err == nil && r.node.discovery.abandoned {
			err = r.reopenWithNewID()
		}
		r.publish()
		if err != nil {
			return err
		}
	}
}

// handleQueued handles what else is waiting, so that it shares a sync.
func (r *Replica) handleQueued() error {
	for range maxBatch {
		select {
		case m := <-r.inbox:
			if err := r.node.step(m); err != nil {
				return err
			}
		case request := <-r.requests:
			request(r.node)
		default:
			return nil
		}
	}
	return nil
}

// tickElapsed ticks for the time that has passed since, but for no more than an election
// timeout: after a long stall one is as good as many.
func (r *Replica) tickElapsed(since time.Duration) (time.Duration, error) {
	now := r.options.Clock()
	due := int((now - since) / r.options.TickInterval)
	if due > r.options.ElectionTicks {
		due = r.options.ElectionTicks
		since = now - time.Duration(due)*r.options.TickInterval
	}
	tick := r.node.tick
	if r.node.receivedFromLeader() {
		tick = r.node.tickJoiners
	}
	for range due {
		if err := tick(); err != nil {
			return now, err
		}
	}
	return since + time.Duration(due)*r.options.TickInterval, nil
}

// reopenWithNewID gives up a formation that never came about: the file is moved aside and the
// replica gets a new ID.
func (r *Replica) reopenWithNewID() error {
	path := r.store.Path()
	former := formerReplicas(r.store.Identity())
	if err := r.store.Close(); err != nil {
		return err
	}
	if err := os.Rename(path, path+".abandoned"); err != nil {
		return errors.Wrap(err, "replica: move the abandoned file aside")
	}
	return r.open(former)
}

// stop answers all that waits and closes the file.
func (r *Replica) stop(err error) {
	r.node.failAll()
	closeErr := r.store.Close()
	if err != nil {
		r.node.emit(events.ReplicaStopped, zap.Error(errors.CombineErrors(err, closeErr)))
		status := r.Status()
		status.Failure = err.Error()
		r.status.Store(&status)
	}
	r.stopOnce.Do(func() { close(r.stopped) })
}

func (r *Replica) publish() {
	status := r.node.status()
	r.status.Store(&status)
}

func (n *node) status() Status {
	identity := n.store.Identity()
	s := Status{Group: n.options.group, Replica: identity.Replica, VM: n.options.vm, Formation: identity.Formation, Role: "unformed", Applied: n.applied}
	if !n.hasFormation() {
		return s
	}
	s.Role = n.raft.Role().String()
	s.Term = n.raft.Term()
	s.Commit = n.raft.Commit()
	s.Snapshot = n.raft.SnapshotIndex()
	s.LastIndex = n.raft.LastIndex()
	s.Leader = n.leaderVM()
	for _, m := range n.raft.Conf().Members {
		s.Members = append(s.Members, MemberStatus{Replica: m.Id, VM: m.Vm, Learner: m.Learner, Match: n.raft.Match(m.Id)})
		if m.Id == identity.Replica && m.Learner {
			s.Role = "learner"
		}
	}
	return s
}

// isLeader tells whether the node leads its group.
func (n *node) isLeader() bool { return n.hasFormation() && n.raft.Role() == raft.Leader }

// isOnlyVoter tells whether no other replica could lead.
func (n *node) isOnlyVoter() bool {
	for _, m := range n.raft.Conf().Members {
		if !m.Learner && m.Id != n.raft.ID() {
			return false
		}
	}
	return true
}
