package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"time"
)

// State is what a tracker holds of a VM.
type State uint8

// The states, from the weakest to the strongest claim about one incarnation.
const (
	Alive   State = iota
	Suspect       // does not answer, neither directly nor through other VMs; local only
	Dead          // did not refute the suspicion in time
	Left          // said goodbye
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"alive", "suspect", "dead", "left"}[s]
}

// The times and bounds of a tracker.
const (
	// TickInterval is how often the host calls Tick.
	TickInterval = 100 * time.Millisecond
	// tickSlack is how much sooner than intended a tick may come: a wait that ends with a tick
	// must not go on to the next one.
	tickSlack = 10 * time.Millisecond
	// RoundInterval is the time between two rounds of pings.
	RoundInterval = 400 * time.Millisecond
	// FreshContactLimit is how new a direct message must be to stand for a ping of this round. Of two
	// VMs that ping each other in every round, it is the one whose round comes first that pings.
	FreshContactLimit = RoundInterval / 2
	// ProbeInterval is how long such messages stand for pings: they don't show that this VM's own
	// messages arrive.
	ProbeInterval = 4 * RoundInterval
	// AckTimeout is how long a ping waits for an ack before other VMs are asked, and again
	// until the VM is suspect.
	AckTimeout = 300 * time.Millisecond
	// SuspectTimeout is how long a VM is suspect before it is dead.
	SuspectTimeout = 500 * time.Millisecond
	// DirectContactWindow is how long a direct message refutes the claims of others.
	DirectContactWindow = 1200 * time.Millisecond
	// MaxContacts bounds the VMs pinged in a round; one VM held dead comes on top.
	MaxContacts = 8
	// RingContacts of them are the next VMs in the order of the own zone, so that each VM is
	// pinged by as many.
	RingContacts = 3
	// IndirectContacts is how many VMs are asked to ping a VM that does not answer.
	IndirectContacts = 3
	// MaxRelays bounds the pings under way on behalf of others.
	MaxRelays = 64
	// MaxRumours bounds the rumours in a message.
	MaxRumours = 6
)

// TrackerOptions are the fixed properties of a Tracker.
type TrackerOptions struct {
	VM          string
	Zone        string
	Incarnation uint64 // higher at each start; Unix nanoseconds are
	Seed        uint64 // of the choice of contacts
}

// Change is a change of a VM's state.
type Change struct {
	VM          string
	Incarnation uint64
	State       State
}

// HandleResult is the outcome of a message.
type HandleResult struct {
	Sends   []GossipSend
	Changes []Change
	Digest  []byte // the sender's digest, nil if the message carried none
}

// Tracker is one VM's view of which VMs are alive.
type Tracker struct {
	opts         TrackerOptions
	random       *rand.Rand
	incarnation  uint64 // grows beyond that of the options when a false claim is refuted
	leaving      bool
	digest       []byte
	peers        map[string]*peer
	order        []string // names of the peers, sorted
	sequence     uint64
	probes       map[uint64]*probe
	ownProbes    map[string]uint64 // own probe under way for a VM
	rumours      []queuedRumour
	nextRound    time.Duration
	lastReceived time.Duration // anything, from anyone
}

type peer struct {
	zone        string
	incarnation uint64
	state       State
	stateSince  time.Duration // of the state
	lastContact time.Duration // last direct message; meaningful if everHeard
	contacted   bool
	direct      bool          // the last probe was answered directly
	lastPing    time.Duration // by this VM
}

// NewTracker returns a tracker that knows no other VM yet.
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

// SetVMs sets the VMs that are tracked; this VM may be among them. New ones count as alive.
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

// SetDigest sets the bytes that travel on this VM's heartbeats.
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

// Usable reports whether a VM may be given work: alive or merely suspect.
func (t *Tracker) Usable(vm string) bool {
	return t.State(vm) <= Suspect
}

// Direct reports whether the last probe of a VM was answered without help from others.
func (t *Tracker) Direct(vm string) bool {
	p := t.peers[vm]
	return vm == t.opts.VM || (p != nil && p.direct && p.state == Alive)
}

// UsableIn returns the VMs of a zone that may be given work, this one included, sorted.
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

// Tick starts rounds of pings and takes the steps that are due. The host calls it every
// TickInterval.
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

// Leave says goodbye. The tracker sends nothing more after it.
func (t *Tracker) Leave() []GossipSend {
	t.leaving = true
	var sends []GossipSend
	for _, vm := range t.pickRandom(MaxContacts, func(p *peer) bool { return p.state <= Suspect }) {
		sends = append(sends, t.send(vm, Gossip{Kind: GossipLeave}))
	}
	return sends
}

// Handle takes a message of another VM.
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

// recordContact takes a direct message as a sign of life of its sender's incarnation.
func (t *Tracker) recordContact(now time.Duration, from string, g Gossip) []Change {
	p := t.peers[from]
	if p == nil || g.Incarnation < p.incarnation {
		return nil
	}
	if g.Kind == GossipLeave {
		return t.setState(now, from, g.Incarnation, Left)
	}
	if g.Incarnation == p.incarnation && p.state >= Dead {
		// The answer carries the claim, and the sender refutes it with a new incarnation.
		return nil
	}
	p.lastContact, p.contacted = now, true
	return t.setState(now, from, g.Incarnation, Alive)
}

// setState sets a VM's state and spreads it if others do not know.
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

// checkInvariants panics if the tracker's bounds or its tables are broken.
func (t *Tracker) checkInvariants() {
	if t.peers[t.opts.VM] != nil {
		panic("membership: tracker tracks itself")
	}
	if len(t.order) != len(t.peers) {
		panic("membership: tracker order and peers differ")
	}
	if len(t.rumours) > len(t.peers)+1 {
		panic("membership: more than one rumour for a VM")
	}
	for vm, seq := range t.ownProbes {
		if t.probes[seq] == nil || t.probes[seq].target != vm {
			panic(fmt.Sprintf("membership: probe %d of %s is lost", seq, vm))
		}
	}
	if len(t.probes) > len(t.ownProbes)+MaxRelays {
		panic("membership: too many probes on behalf of others")
	}
}
