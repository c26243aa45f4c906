package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"time"
)

// State is the liveness state of a VM in a Tracker.
type State uint8

// The states, in order of precedence: of two states of one incarnation the higher one applies.
const (
	Alive   State = iota
	Suspect       // answers neither direct nor indirect pings; not spread to other VMs
	Dead          // didn't refute the suspicion within SuspectTimeout
	Left          // announced that it leaves the fleet
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"alive", "suspect", "dead", "left"}[s]
}

// Durations and bounds of a Tracker.
const (
	// TickInterval is how often the host calls Tick.
	TickInterval = 100 * time.Millisecond
	// tickSlack is how much earlier than scheduled a tick may come, so that a wait that ends with a
	// tick isn't extended to the next one.
	tickSlack = 10 * time.Millisecond
	// RoundInterval is the time between two rounds of pings.
	RoundInterval = 400 * time.Millisecond
	// FreshContactLimit is the age below which a direct message replaces a ping in this round. Of two
	// VMs that would ping each other in every round, only the one whose round comes first does.
	FreshContactLimit = RoundInterval / 2
	// ProbeInterval is how long received messages may replace pings to a VM. They don't show that
	// this VM's own messages arrive.
	ProbeInterval = 4 * RoundInterval
	// AckTimeout is how long a direct ping may take before indirect pings are requested, and how
	// long these may take before the VM is suspect.
	AckTimeout = 300 * time.Millisecond
	// SuspectTimeout is how long a VM remains suspect before it is considered dead.
	SuspectTimeout = 500 * time.Millisecond
	// DirectContactWindow is how long a direct message of a VM overrides rumours that it is dead. A
	// VM that received no message for that long is isolated.
	DirectContactWindow = 1200 * time.Millisecond
	// MaxContacts bounds the VMs pinged in a round. One VM considered dead is pinged in addition.
	MaxContacts = 8
	// RingContacts is how many of the pinged VMs are the successors of this VM in the name order of
	// its zone, so that each VM is pinged by the same number of VMs.
	RingContacts = 3
	// IndirectContacts is the number of VMs that get a ping_req for a VM that doesn't answer.
	IndirectContacts = 3
	// MaxRelays bounds the concurrent probes on behalf of other VMs.
	MaxRelays = 64
	// MaxRumours bounds the rumours in a message.
	MaxRumours = 6
)

// TrackerOptions are the fixed properties of a Tracker.
type TrackerOptions struct {
	VM          string
	Zone        string
	Incarnation uint64 // must increase with each start of the process, as Unix nanoseconds do
	Seed        uint64 // for the random choice of VMs to contact
}

// Change is a new state or incarnation of a VM.
type Change struct {
	VM          string
	Incarnation uint64
	State       State
}

// HandleResult is the result of handling a message.
type HandleResult struct {
	Sends   []GossipSend
	Changes []Change
	Digest  []byte // the sender's digest, nil if the message carried none
}

// Tracker is a VM's gossip-based failure detector: it keeps the liveness state of all other VMs.
type Tracker struct {
	opts         TrackerOptions
	random       *rand.Rand
	incarnation  uint64 // that of the options, or higher after a rumour was refuted
	leaving      bool
	digest       []byte
	peers        map[string]*peer
	order        []string // names of the peers, sorted
	sequence     uint64
	probes       map[uint64]*probe
	ownProbes    map[string]uint64 // sequence of this VM's own probe in progress, by target
	rumours      []queuedRumour
	nextRound    time.Duration
	lastReceived time.Duration // last message of any VM
}

type peer struct {
	zone        string
	incarnation uint64
	state       State
	stateSince  time.Duration // when state was set
	lastContact time.Duration // last direct message; valid if contacted
	contacted   bool
	direct      bool          // the last probe was answered directly
	lastPing    time.Duration // last ping sent to the peer
}

// NewTracker returns a Tracker without peers; see SetVMs.
func NewTracker(opts TrackerOptions) *Tracker {
	return &Tracker{
		opts:        opts,
		random:      rand.New(rand.NewPCG(opts.Seed, opts.Incarnation)),
		incarnation: opts.Incarnation,
		peers:       map[string]*peer{},
		probes:      map[uint64]*probe{},
		ownProbes:   map[string]uint64{},
	}
}

// SetVMs sets the VMs to track. The list may include this VM. A new VM starts as alive.
func (t *Tracker) SetVMs(now time.Duration, vms []VM) {
	known := map[string]bool{}
	for _, vm := range vms {
		if vm.Name == t.opts.VM {
			continue
		}
		known[vm.Name] = true
		if p := t.peers[vm.Name]; p != nil {
			p.zone = vm.Zone
			continue
		}
		t.peers[vm.Name] = &peer{zone: vm.Zone, stateSince: now, direct: true}
	}
	t.order = t.order[:0]
	for name := range t.peers {
		if !known[name] {
			delete(t.peers, name)
			t.dropProbe(name)
			continue
		}
		t.order = append(t.order, name)
	}
	sort.Strings(t.order)
	t.checkInvariants()
}

// SetDigest sets the bytes that are sent with this VM's pings and acks.
func (t *Tracker) SetDigest(digest []byte) {
	t.digest = slices.Clone(digest)
}

// State returns the state of a VM; a VM that is not tracked is dead.
func (t *Tracker) State(vm string) State {
	if vm == t.opts.VM {
		return Alive
	}
	p := t.peers[vm]
	if p == nil {
		return Dead
	}
	return p.state
}

// Usable reports whether a VM may be assigned work, which is the case if it is alive or suspect.
func (t *Tracker) Usable(vm string) bool {
	return t.State(vm) <= Suspect
}

// Direct reports whether a VM is alive and answered the last probe without an indirect ping.
func (t *Tracker) Direct(vm string) bool {
	p := t.peers[vm]
	return vm == t.opts.VM || (p != nil && p.direct && p.state == Alive)
}

// UsableIn returns the VMs of a zone that may be assigned work, sorted. It includes this VM unless
// it is leaving.
func (t *Tracker) UsableIn(zone string) []string {
	var names []string
	if t.opts.Zone == zone && !t.leaving {
		names = append(names, t.opts.VM)
	}
	for _, name := range t.order {
		if p := t.peers[name]; p.zone == zone && p.state <= Suspect {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// Tick starts a round of pings if one is due, and handles expired probes and suspicions. The host
// calls it every TickInterval.
func (t *Tracker) Tick(now time.Duration) ([]GossipSend, []Change) {
	if t.leaving {
		return nil, nil
	}
	sends := t.advanceProbes(now)
	changes := t.expireSuspects(now)
	if now+tickSlack >= t.nextRound {
		t.nextRound = now + RoundInterval
		for _, vm := range t.roundTargets() {
			if t.contactReplacesPing(now, vm) {
				continue
			}
			sends = append(sends, t.ping(now, vm))
		}
	}
	t.checkInvariants()
	return sends, changes
}

// Leave returns messages that announce this VM's departure. The Tracker sends nothing afterwards.
func (t *Tracker) Leave() []GossipSend {
	t.leaving = true
	var sends []GossipSend
	for _, vm := range t.pickRandom(MaxContacts, func(p *peer) bool { return p.state <= Suspect }) {
		sends = append(sends, t.send(vm, Gossip{Kind: GossipLeave}))
	}
	return sends
}

// Handle processes a message of another VM.
func (t *Tracker) Handle(now time.Duration, from string, g Gossip) HandleResult {
	out := HandleResult{Digest: g.Digest}
	if t.leaving || from == t.opts.VM {
		return out
	}
	t.lastReceived = now
	out.Changes = t.recordContact(now, from, g)
	for _, r := range g.Rumours {
		sends, changes := t.handleRumour(now, r)
		out.Sends = append(out.Sends, sends...)
		out.Changes = append(out.Changes, changes...)
	}
	switch g.Kind {
	case GossipPing:
		out.Sends = append(out.Sends, t.send(from, Gossip{Kind: GossipAck, Sequence: g.Sequence, Digest: t.digest}))
	case GossipAck:
		out.Sends = append(out.Sends, t.handleAck(from, g.Sequence)...)
	case GossipPingReq:
		out.Sends = append(out.Sends, t.handlePingReq(now, from, g)...)
	case GossipRelay:
		out.Changes = append(out.Changes, t.handleRelay(now, g)...)
	case GossipLeave:
	}
	t.checkInvariants()
	return out
}

// recordContact processes a direct message as evidence that the sender's incarnation is alive, or
// has left.
func (t *Tracker) recordContact(now time.Duration, from string, g Gossip) []Change {
	p := t.peers[from]
	if p == nil || g.Incarnation < p.incarnation {
		return nil
	}
	if g.Kind == GossipLeave {
		return t.setState(now, from, g.Incarnation, Left)
	}
	if g.Incarnation == p.incarnation && p.state >= Dead {
		// The reply carries the recorded state, and the sender refutes it with a new incarnation.
		return nil
	}
	p.lastContact, p.contacted = now, true
	return t.setState(now, from, g.Incarnation, Alive)
}

// setState sets a VM's state. It queues a rumour if the incarnation changed or the state is Dead
// or Left.
func (t *Tracker) setState(now time.Duration, vm string, incarnation uint64, s State) []Change {
	p := t.peers[vm]
	if p.state == s && p.incarnation == incarnation {
		return nil
	}
	spread := incarnation != p.incarnation || s >= Dead
	visible := p.state != s || p.incarnation != incarnation
	p.incarnation = incarnation
	p.state = s
	p.stateSince = now
	if s >= Dead {
		t.dropProbe(vm)
	}
	if spread {
		t.queueRumour(Rumour{VM: vm, Incarnation: incarnation, State: s})
	}
	if !visible {
		return nil
	}
	return []Change{{VM: vm, Incarnation: incarnation, State: s}}
}

// checkInvariants panics if a bound is exceeded or the maps of the Tracker are inconsistent.
func (t *Tracker) checkInvariants() {
	if t.peers[t.opts.VM] != nil {
		panic("membership: the tracker's own VM is among its peers")
	}
	if len(t.order) != len(t.peers) {
		panic("membership: tracker order and peers differ")
	}
	if len(t.rumours) > len(t.peers)+1 {
		panic("membership: more than one rumour for a VM")
	}
	for vm, seq := range t.ownProbes {
		if t.probes[seq] == nil || t.probes[seq].target != vm {
			panic(fmt.Sprintf("membership: probe %d of %s is missing or has another target", seq, vm))
		}
	}
	if len(t.probes) > len(t.ownProbes)+MaxRelays {
		panic("membership: too many probes on behalf of other VMs")
	}
}
