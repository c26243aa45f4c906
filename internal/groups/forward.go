package groups

import (
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"google.golang.org/protobuf/proto"

	"egretramp/internal/raft/raftpb"
)

// KindForward is the kind of messages that ask a VM to pass the entries that it has just received on to another VM of its
// zone.
const KindForward = "group.forward"

const (
	// minForwardBytes is the size of entries from which they are passed on: a message that asks for it has some 80 bytes.
	// Smaller ones are passed on as well while others are on their way, which they would overtake.
	minForwardBytes = 160
	// maxForwardBytes bounds the entries that a VM keeps for each group to pass them on.
	maxForwardBytes = 128 << 10
	// sameRound is the longest time between messages to two VMs with the same entries that are sent in one round.
	sameRound = 20 * time.Millisecond
	// forwardTimeout is how long a VM may leave appends that were passed on to it unacknowledged. It is several times what
	// two hops and a sync take, and shorter than an election.
	forwardTimeout = 100 * time.Millisecond
	// overtakeTime is how long an append that is passed on may be overtaken by a probe that is sent directly. The receiver
	// rejects such a probe although nothing was lost.
	overtakeTime = 25 * time.Millisecond
	// directTime is how long a VM gets its appends directly after one that was passed on did not arrive in time.
	directTime = 3 * time.Second
)

// replicaKey identifies a replica by its group and VM.
type replicaKey struct {
	group uint64
	vm    string
}

// zoneKey identifies the replicas of a group in a zone.
type zoneKey struct {
	group uint64
	zone  string
}

// sentAppend is the last append that was sent directly to a VM of a zone.
type sentAppend struct {
	vm          string
	first, last *raftpb.Entry
	at          time.Duration
}

// awaitedAck is the acknowledgement that a replica owes for appends that were passed on to it.
type awaitedAck struct {
	since time.Duration // without progress
	index uint64        // of the last entry passed on
}

// forwardingPlan decides which appends are sent directly and which are passed on by another VM of the receiver's zone. It
// changes only the path of a message: a message that is lost on it is repeated by raft, as any other.
type forwardingPlan struct {
	zone string // of this VM
	sent map[zoneKey]sentAppend
	// awaiting holds the replicas that have not acknowledged all appends that were passed on to them.
	awaiting map[replicaKey]awaitedAck
	// direct is until when a replica gets its appends directly.
	direct map[replicaKey]time.Duration
}

func newForwardingPlan(zone string) *forwardingPlan {
	return &forwardingPlan{
		zone: zone, sent: map[zoneKey]sentAppend{}, awaiting: map[replicaKey]awaitedAck{}, direct: map[replicaKey]time.Duration{},
	}
}

// carrier returns the VM that passes an append on to vm, which is in a zone; false if it is to be sent directly. usable
// reports whether a VM responds and can pass on messages.
func (p *forwardingPlan) carrier(now time.Duration, vm, zone string, m *raftpb.Message, usable func(vm string) bool) (string, bool) {
	size := entryBytes(m)
	if m.Type != raftpb.MessageType_MESSAGE_TYPE_APPEND || len(m.Entries) == 0 || zone == "" || p.zone == "" || zone == p.zone || size > maxForwardBytes {
		return "", false
	}
	replica := replicaKey{m.Group, vm}
	ack, awaits := p.awaiting[replica]
	if awaits && now-ack.since > forwardTimeout {
		p.sendDirectly(now, replica)
		awaits = false
	}
	first, last := m.Entries[0], m.Entries[len(m.Entries)-1]
	sent, ok := p.sent[zoneKey{m.Group, zone}]
	same := ok && sent.vm != vm && sent.first == first && sent.last == last && now-sent.at <= sameRound
	until, direct := p.direct[replica]
	if same && (size >= minForwardBytes || awaits) && !(direct && now < until) && usable(sent.vm) && usable(vm) {
		delete(p.direct, replica)
		if !awaits {
			ack.since = now
		}
		ack.index = last.Index
		p.awaiting[replica] = ack
		return sent.vm, true
	}
	p.sent[zoneKey{m.Group, zone}] = sentAppend{vm: vm, first: first, last: last, at: now}
	return "", false
}

// sendDirectly makes a replica get its appends directly for directTime.
func (p *forwardingPlan) sendDirectly(now time.Duration, replica replicaKey) {
	p.direct[replica] = now + directTime
	delete(p.awaiting, replica)
}

// observe processes a message that was received from vm. A rejected append shows that one before it was lost or is still on
// its way through another VM.
func (p *forwardingPlan) observe(now time.Duration, vm string, m *raftpb.Message) {
	if m.Type != raftpb.MessageType_MESSAGE_TYPE_APPEND_REPLY {
		return
	}
	replica := replicaKey{m.Group, vm}
	ack, awaits := p.awaiting[replica]
	switch {
	case !awaits:
	case m.Reject && now-ack.since > overtakeTime:
		p.sendDirectly(now, replica)
	case !m.Reject && m.Index >= ack.index:
		delete(p.awaiting, replica)
	case !m.Reject:
		ack.since = now
		p.awaiting[replica] = ack
	}
}

// entryBytes returns the size of a message's entries, 0 if it has none.
func entryBytes(m *raftpb.Message) int {
	n := 0
	for _, e := range m.Entries {
		n += len(e.Data)
	}
	return n
}

// forwardRequest asks a VM to pass an append on: Header without its entries, which are those of the last append that the VM
// received from the same sender in the same group. The index and the term of the last entry identify all entries up to it.
type forwardRequest struct {
	To       string `cbor:"1,keyasint"`
	Header   []byte `cbor:"2,keyasint"`
	Count    int    `cbor:"3,keyasint"`
	LastTerm uint64 `cbor:"4,keyasint"`
}

// receivedAppend is the last append with entries that was received in a group.
type receivedAppend struct {
	from      string
	formation uint64
	entries   []*raftpb.Entry
}

// matches reports whether the entries of an append are those that a request means, whose message has no entries.
func (a *receivedAppend) matches(from string, r *forwardRequest, m *raftpb.Message) bool {
	if a.from != from || a.formation != m.Formation || len(a.entries) == 0 || len(a.entries) != r.Count {
		return false
	}
	last := a.entries[len(a.entries)-1]
	return last.Index == m.Index+uint64(r.Count) && last.Term == r.LastTerm
}

// ForwardingNetwork is a Network that knows which VMs respond.
type ForwardingNetwork interface {
	Network
	// Compact reports whether a VM is of a release that passes on messages.
	Compact(vm string) bool
	// Responds reports whether a VM has recently sent something.
	Responds(vm string) bool
}

// ForwardingTransport sends the raft messages of all groups, and sends entries only once to each other zone: the first VM of
// the zone passes them on to the others. It is safe for concurrent use.
type ForwardingTransport struct {
	network ForwardingNetwork
	zoneOf  func(vm string) string // empty if it isn't known
	clock   func() time.Duration

	mu       sync.Mutex
	plan     *forwardingPlan
	received map[uint64]receivedAppend // by group
}

// NewForwardingTransport returns the transport of a VM in a zone. Its Receive and Forward must be called with the messages of
// the kinds KindRaft and KindForward.
func NewForwardingTransport(network ForwardingNetwork, zone string, zoneOf func(vm string) string, clock func() time.Duration) *ForwardingTransport {
	return &ForwardingTransport{network: network, zoneOf: zoneOf, clock: clock, plan: newForwardingPlan(zone), received: map[uint64]receivedAppend{}}
}

// Send sends a raft message to the replica of its group on vm.
func (t *ForwardingTransport) Send(vm string, m *raftpb.Message) {
	if len(m.Entries) > 0 {
		zone := t.zoneOf(vm)
		t.mu.Lock()
		carrier, forwards := t.plan.carrier(t.clock(), vm, zone, m, t.usable)
		t.mu.Unlock()
		if forwards && t.requestForward(carrier, vm, m) {
			return
		}
	}
	Transport{Network: t.network}.Send(vm, m)
}

// usable reports whether appends may be passed on by a VM, or to it.
func (t *ForwardingTransport) usable(vm string) bool {
	return t.network.Compact(vm) && t.network.Responds(vm)
}

// requestForward asks carrier to pass a message on to vm.
func (t *ForwardingTransport) requestForward(carrier, vm string, m *raftpb.Message) bool {
	entries := m.Entries
	m.Entries, m.FromVm, m.ToVm = nil, "", ""
	header, err := proto.Marshal(m)
	m.Entries = entries
	if err != nil {
		return false
	}
	payload, err := cbor.Marshal(forwardRequest{To: vm, Header: header, Count: len(entries), LastTerm: entries[len(entries)-1].Term})
	if err != nil {
		return false
	}
	t.network.Send(carrier, KindForward, payload)
	return true
}

// Receive decodes a message of the kind KindRaft. The caller passes it to its replica.
func (t *ForwardingTransport) Receive(from string, payload []byte) (*raftpb.Message, bool) {
	m, ok := decodeMessage(from, payload)
	if !ok {
		return nil, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.plan.observe(t.clock(), m.FromVm, m)
	if m.Type == raftpb.MessageType_MESSAGE_TYPE_APPEND && m.FromVm == from {
		if len(m.Entries) > 0 && entryBytes(m) <= maxForwardBytes {
			t.received[m.Group] = receivedAppend{from: from, formation: m.Formation, entries: m.Entries}
		}
	}
	return m, true
}

// Forward handles a message of the kind KindForward. A request that doesn't fit what was received is ignored: raft repeats the
// append.
func (t *ForwardingTransport) Forward(from string, payload []byte) {
	var r forwardRequest
	if cbor.Unmarshal(payload, &r) != nil {
		return
	}
	m := &raftpb.Message{}
	if proto.Unmarshal(r.Header, m) != nil || m.Type != raftpb.MessageType_MESSAGE_TYPE_APPEND || len(m.Entries) > 0 {
		return
	}
	t.mu.Lock()
	received := t.received[m.Group]
	t.mu.Unlock()
	if !received.matches(from, &r, m) {
		return
	}
	m.Entries, m.FromVm = received.entries, from
	data, err := proto.Marshal(m)
	if err != nil {
		return
	}
	t.network.Send(r.To, KindRaft, data)
}

// Step passes a message to the local replica of its group.
func (r Replicas) Step(m *raftpb.Message) {
	if local, ok := r[m.GetGroup()]; ok {
		local.Step(m)
	}
}
