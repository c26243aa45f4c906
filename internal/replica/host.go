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
	// inboxSize is the capacity, in messages, of the queue for received messages; when it is
	// full, further messages are dropped.
	inboxSize = 4096
	// requestQueueSize is the capacity, in calls, of the queue for local requests.
	requestQueueSize = 1024
	// maxBatch is the maximum number of messages and calls that share one sync.
	maxBatch = 1024
)

// Replica is one replica of a group, driven by Run.
type Replica struct {
	options  Options
	inbox    chan *raftpb.Message
	requests chan func(*node)
	status   atomic.Pointer[Status]

	// stopped is closed when Run ends; no request is accepted afterwards.
	stopped  chan struct{}
	stopOnce sync.Once

	store Store
	node  *node
}

// New opens or creates the group's file in the data folder. It returns a *storage.DamagedError
// if the file is damaged.
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

// randomID returns a random replica ID. It does not use the seed, because an ID must not recur
// after a disk was lost.
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
		snapshotEvery: r.options.SnapshotEvery, snapshotBytes: r.options.SnapshotBytes,
		maxMessageBytes: r.options.MaxMessageBytes, seed: r.options.Seed, durableCommit: r.options.DurableCommit,
		commitAtHeartbeat: r.options.CommitAtHeartbeat,
		send:              r.options.Transport.Send, events: r.options.Events,
	}, store, state)
	if err != nil {
		return errors.CombineErrors(errors.Wrapf(err, "replica: %s", store.Path()), store.Close())
	}
	r.store, r.node = store, n
	return nil
}

// Run drives the replica until ctx ends, then returns nil, or until a fatal error occurs, which
// it returns. It must be called only once.
func (r *Replica) Run(ctx context.Context) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = errors.Newf("replica: %v", p)
		}
		r.stop(err)
	}()
	// A leader sends heartbeats at this interval and nothing is due sooner; tickElapsed then
	// catches up on the ticks in between.
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
		// Queued messages are handled before the ticks: after a stall, messages that arrived in
		// the meantime must be counted before their senders are considered unreachable.
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

// handleQueued handles up to maxBatch queued messages and requests, so that they share one sync.
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

// tickElapsed runs the ticks due since the given time and returns the time up to which ticks have
// run. It runs at most ElectionTicks: after a long stall, one election timeout has the same effect
// as many. If a message of the leader arrived, the elapsed time doesn't count towards the election
// timeout.
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

// reopenWithNewID abandons a formation that never reached a majority: it moves the file aside and
// continues as a new replica with a new ID.
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

// stop fails all pending requests, closes the file and records err, if any, as the reason.
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
		member := MemberStatus{Replica: m.Id, VM: m.Vm, Learner: m.Learner, Match: n.raft.Match(m.Id)}
		member.Behind = n.learners[m.Id].ticks >= learnerBehindTicks
		member.SnapshotSent, member.SnapshotBytes = n.raft.SnapshotProgress(m.Id)
		s.Members = append(s.Members, member)
		if m.Id == identity.Replica && m.Learner {
			s.Role = "learner"
		}
	}
	return s
}

// isLeader reports whether this replica is the leader of its group.
func (n *node) isLeader() bool { return n.hasFormation() && n.raft.Role() == raft.Leader }

// isOnlyVoter reports whether no other replica can become leader.
func (n *node) isOnlyVoter() bool {
	for _, m := range n.raft.Conf().Members {
		if !m.Learner && m.Id != n.raft.ID() {
			return false
		}
	}
	return true
}
