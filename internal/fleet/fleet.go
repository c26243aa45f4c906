// Package fleet runs a VM's part in the fleet on one goroutine: which VMs are alive, this VM's
// lease, the configuration in force, withdrawn keys, and the shares of the client accounts'
// buckets. Traffic goroutines read what it publishes and ask it for permits.
//
// On the VM that leads the control group it also grants the leases, and proposes to register
// and remove VMs.
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

// Methods and kinds of messages between VMs.
const (
	KindGossip   = "fleet.gossip"
	KindLease    = "fleet.lease"
	KindRenew    = "fleet.renew"   // a lease request to control
	KindRemoved  = "fleet.removed" // the leader's word that a VM needs a new incarnation
	KindLimit    = "fleet.limit"
	KindDigest   = "fleet.digest"
	MethodDelta  = "fleet.delta"
	MethodStatus = "fleet.status"
)

const (
	// tickInterval is that of a VM where nothing waits for the limiter, busyInterval of one where
	// something does.
	tickInterval = membership.TickInterval
	busyInterval = 50 * time.Millisecond
	eventQueue   = 4096
	callTimeout  = time.Second
)

// ErrStopped is returned after the fleet goroutine has ended.
var ErrStopped = errors.New("fleet: stopped")

// Network carries messages and calls between VMs.
type Network interface {
	Send(vm, kind string, payload []byte)
	Call(ctx context.Context, vm, method string, payload []byte) ([]byte, error)
}

// Leader is this VM's replica of the control group.
type Leader interface {
	// Leads reports whether the replica leads, and in which term.
	Leads() (term uint64, ok bool)
	// ReadIndex returns once the replica confirmed by a quorum that it leads and has applied
	// all that was committed at the call.
	ReadIndex(ctx context.Context) error
}

// Proposer brings commands into the control group's log.
type Proposer interface {
	Propose(ctx context.Context, command control.Command) (control.Result, error)
}

// Connections are this VM's connections to other VMs.
type Connections interface {
	// AddPeer adds a VM or changes its address.
	AddPeer(vm, address string)
	// RemovePeer forgets a VM.
	RemovePeer(vm string)
}

// Options configure a Fleet.
type Options struct {
	VM          string
	Zone        string
	Incarnation int64 // at the start
	Addresses   control.Addresses
	// VMs are the VMs known at start, this one included.
	VMs []membership.VM
	// ControlVMs have replicas of the control group.
	ControlVMs []string
	Network    Network
	// Connections follow the membership; nil: the VMs known at start are all there are.
	Connections Connections
	// Leader is nil on a VM without the control role.
	Leader   Leader
	Proposer Proposer
	// Rejoined is called, on a goroutine of its own, when this VM was removed from the
	// membership and goes on under a new incarnation.
	Rejoined func(incarnation int64)
	// Withdrawn is called, on a goroutine of its own, after keys were withdrawn.
	Withdrawn func()
	Events    *events.Logger
	Clock     func() time.Duration // default clock.Now
}

// Fleet is the state of this VM's part.
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
	digestRequested map[string]time.Duration // when another VM was last asked for its digest
	pendingDraws    map[string]chan ratelimit.Decision
	leading         leaderState

	incarnation atomic.Int64 // of this VM; grows with each start and each removal from the membership

	view  atomic.Pointer[View]
	lease atomic.Pointer[leaseView]
	alive atomic.Pointer[aliveView]
}

// New returns a fleet; Run drives it.
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

// resetLeaseAndLimiter makes the parts that act under this VM's incarnation: its lease and its permits.
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

// Run handles events until ctx ends. It then gives up the lease and says goodbye.
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

// post queues an event for the control goroutine. It is dropped after the end.
func (f *Fleet) post(event func()) {
	select {
	case f.events <- event:
	case <-f.done:
	}
}

// task runs what blocks, such as calls to other VMs, beside the control goroutine.
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

// HandleGossip takes a tracker's message.
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

// HandleLease takes an answer to this VM's lease request, or a request of a VM of its zone.
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

// HandleLimit takes a limiter's message.
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
