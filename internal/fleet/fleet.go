// Package fleet runs the control plane of one VM on a single goroutine: liveness of the other VMs,
// this VM's lease, the configuration in force, withdrawn keys, and the shares of the client accounts'
// buckets. Goroutines that serve requests read the published state and request permits.
//
// On the leader of the control group it also grants leases, and proposes to register and remove VMs.
package fleet

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"egretramp/internal/clock"
	"egretramp/internal/config"
	"egretramp/internal/control"
	"egretramp/internal/events"
	"egretramp/internal/membership"
	"egretramp/internal/message"
	"egretramp/internal/ratelimit"
)

// Message kinds and call methods between VMs.
const (
	KindGossip   = "fleet.gossip"
	KindLease    = "fleet.lease"
	KindRenew    = "fleet.renew"   // a lease request to the control VMs
	KindRemoved  = "fleet.removed" // the leader's notice that a VM needs a new incarnation
	KindLimit    = "fleet.limit"
	KindDigest   = "fleet.digest"
	MethodDelta  = "fleet.delta"
	MethodStatus = "fleet.status"
)

const (
	// tickInterval is the time between ticks while no request waits for the limiter, busyInterval
	// while one does.
	tickInterval = membership.TickInterval
	busyInterval = 50 * time.Millisecond
	eventQueue   = 4096
	callTimeout  = time.Second
)

// ErrStopped is returned once the fleet goroutine has stopped.
var ErrStopped = errors.New("fleet: stopped")

// Network sends messages to other VMs and calls them.
type Network interface {
	Send(vm, kind string, payload []byte)
	Call(ctx context.Context, vm, method string, payload []byte) ([]byte, error)
}

// Leader reports the leadership of this VM's replica of the control group.
type Leader interface {
	// Leads reports whether the replica is the leader, and in which term.
	Leads() (term uint64, ok bool)
	// ReadIndex returns once a quorum has confirmed that the replica is the leader, and the replica
	// has applied all entries committed before the call.
	ReadIndex(ctx context.Context) error
}

// Proposer proposes commands to the control group's log.
type Proposer interface {
	Propose(ctx context.Context, command control.Command) (control.Result, error)
}

// Connections manages this VM's connections to other VMs.
type Connections interface {
	// AddPeer adds a VM or changes its address.
	AddPeer(vm, address string)
	// RemovePeer removes a VM and closes its connection.
	RemovePeer(vm string)
}

// Options configure a Fleet.
type Options struct {
	VM          string
	Zone        string
	Incarnation int64 // the initial one
	Addresses   control.Addresses
	// VMs are the VMs known at start, including this one.
	VMs []membership.VM
	// ControlVMs are the VMs with a replica of the control group.
	ControlVMs []string
	Network    Network
	// Connections is updated with the membership; nil: there are only the VMs known at start.
	Connections Connections
	// Leader is nil on a VM without the control role.
	Leader   Leader
	Proposer Proposer
	// Rejoined is called on a separate goroutine after this VM was removed from the membership and
	// has switched to a new incarnation.
	Rejoined func(incarnation int64)
	// Withdrawn is called on a separate goroutine after keys were withdrawn.
	Withdrawn func()
	Events    *events.Logger
	Clock     func() time.Duration // default clock.Now
}

// Fleet is the control plane of this VM. Run drives it.
type Fleet struct {
	opts   Options
	events chan func()
	done   chan struct{}
	tasks  *conc.WaitGroup
	ctx    context.Context

	tracker         *membership.Tracker
	holder          *membership.Holder
	leaseResponder  leaseResponder
	peers           dynamicPeers
	limiter         *ratelimit.Limiter
	follower        *control.Follower
	fetching        map[string]bool
	digestRequested map[string]time.Duration // time of the last digest request to a VM
	pendingDraws    map[string]chan ratelimit.Decision
	leading         leaderState

	incarnation atomic.Int64 // of this VM; increases with each start and each removal from the membership

	view  atomic.Pointer[View]
	lease atomic.Pointer[leaseView]
	alive atomic.Pointer[aliveView]
}

// New returns a Fleet, which processes events once Run is called.
func New(opts Options) *Fleet {
	if opts.Clock == nil {
		opts.Clock = clock.Now
	}
	now := opts.Clock()
	f := &Fleet{
		opts:            opts,
		events:          make(chan func(), eventQueue),
		done:            make(chan struct{}),
		follower:        control.NewFollower(),
		fetching:        map[string]bool{},
		digestRequested: map[string]time.Duration{},
		pendingDraws:    map[string]chan ratelimit.Decision{},
		peers:           dynamicPeers{members: map[string]bool{}, pending: map[string]time.Duration{}},
	}
	f.tracker = membership.NewTracker(membership.TrackerOptions{
		VM: opts.VM, Zone: opts.Zone, Incarnation: uint64(opts.Incarnation), Seed: uint64(opts.Incarnation),
	})
	f.tracker.SetVMs(now, opts.VMs)
	f.incarnation.Store(opts.Incarnation)
	f.resetLeaseAndLimiter(now)
	f.view.Store(&View{})
	f.publishLease(now)
	f.publishAlive()
	f.broadcastDigest()
	return f
}

// resetLeaseAndLimiter creates the lease holder and the limiter for this VM's current incarnation.
func (f *Fleet) resetLeaseAndLimiter(now time.Duration) {
	incarnation := uint64(f.incarnation.Load())
	f.leaseResponder = leaseResponder{}
	f.holder = membership.NewHolder(now, membership.HolderOptions{
		VM: f.opts.VM, Zone: f.opts.Zone, Incarnation: incarnation,
		CutoffLimit: config.DefaultCutoffLimitSeconds * time.Second,
	})
	f.limiter = ratelimit.New(ratelimit.Options{
		VM: f.opts.VM, Zone: f.opts.Zone, Incarnation: incarnation, Lease: f.holder,
	})
}

// Run processes events until ctx is cancelled. It then releases the lease and announces to the other
// VMs that this one leaves.
func (f *Fleet) Run(ctx context.Context) {
	var tasks conc.WaitGroup
	defer tasks.Wait()
	defer close(f.done)
	f.tasks, f.ctx = &tasks, ctx
	interval := tickInterval
	timer := time.NewTimer(clock.Align(interval))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			f.leave()
			return
		case event := <-f.events:
			event()
			if interval == tickInterval && f.limiter.Busy() {
				interval = busyInterval
				timer.Reset(clock.Align(interval))
			}
		case <-timer.C:
			f.tick()
			interval = f.interval()
			timer.Reset(clock.Align(interval))
		}
	}
}

// interval returns the time to the next tick.
func (f *Fleet) interval() time.Duration {
	if f.limiter.Busy() {
		return busyInterval
	}
	return tickInterval
}

// post queues an event for the fleet goroutine. After that has stopped, events are dropped.
func (f *Fleet) post(event func()) {
	select {
	case f.events <- event:
	case <-f.done:
	}
}

// task runs a blocking operation, such as a call to another VM, on a separate goroutine.
func (f *Fleet) task(run func(ctx context.Context)) {
	f.tasks.Go(func() { run(f.ctx) })
}

func (f *Fleet) tick() {
	now := f.opts.Clock()
	sends, changes := f.tracker.Tick(now)
	f.sendGossip(sends)
	f.handleLivenessChanges(changes)
	f.sendLease(f.holder.Tick(now))
	f.applyEffects(f.limiter.Tick(now))
	f.runLeader(now)
	f.publishLease(now)
}

func (f *Fleet) leave() {
	f.sendLease(f.holder.Release())
	f.sendGossip(f.tracker.Leave())
	f.publishLease(f.opts.Clock())
}

// HandleGossip handles a message of another VM's tracker.
func (f *Fleet) HandleGossip(from string, payload []byte) {
	var g membership.Gossip
	if json.Unmarshal(payload, &g) != nil {
		return
	}
	f.post(func() {
		received := f.tracker.Handle(f.opts.Clock(), from, g)
		f.sendGossip(received.Sends)
		f.handleLivenessChanges(received.Changes)
		if received.Digest != nil {
			f.requestDigestIfDifferent(from, received.Digest)
		}
	})
}

// HandleLease handles an answer to this VM's lease request, or a request from a VM of its zone.
func (f *Fleet) HandleLease(from string, payload []byte) {
	var m membership.LeaseMessage
	if json.Unmarshal(payload, &m) != nil {
		return
	}
	f.post(func() {
		now := f.opts.Clock()
		f.leaseResponder.recordAnswer(from, m.Answer)
		f.sendLease(f.holder.Handle(now, from, m))
		f.updateSettled(now)
		f.publishLease(now)
	})
}

// HandleLimit handles a message of another VM's limiter.
func (f *Fleet) HandleLimit(from string, payload []byte) {
	var m ratelimit.Message
	if json.Unmarshal(payload, &m) != nil {
		return
	}
	f.post(func() { f.applyEffects(f.limiter.Handle(f.opts.Clock(), from, m)) })
}

func (f *Fleet) sendGossip(sends []membership.GossipSend) {
	for _, s := range sends {
		f.opts.Network.Send(s.To, KindGossip, message.Encode(s.Gossip))
	}
}

func (f *Fleet) sendLease(sends []membership.LeaseSend) {
	for _, s := range sends {
		f.addAddress(s.Renew)
		payload := message.Encode(s.LeaseMessage)
		if s.To != membership.ToControl {
			f.opts.Network.Send(s.To, KindLease, payload)
			continue
		}
		for _, vm := range f.leaseResponder.targets(s.Renew, f.opts.ControlVMs) {
			f.opts.Network.Send(vm, KindRenew, payload)
		}
	}
}
