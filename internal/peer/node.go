// Package peer implements communication between the VMs of a fleet: one-way messages, which may
// be lost, and calls.
//
// A tunnel is a connection to an upstream that another VM opens and whose bytes it passes on both ways.
//
// All run over drpc. Each VM keeps one message stream open to every other VM. Both sides send
// heartbeats, the dialing one less often, see HeartbeatInterval and DialerHeartbeatInterval; a side
// that receives nothing for HeartbeatTimeout or DialerTimeout ends the stream, and the dialing side
// opens a new connection. Calls use separate connections, one call at a time on each. A call whose
// context ends closes its connection, so an unresponsive connection is never reused.
//
// Messages from one VM to another are ordered while the stream is open. A full queue drops
// messages; senders must retransmit those that matter. Payloads of up to MaxPayloadBytes pass.
//
// While the stream to a VM is down, messages and calls to it are relayed by a third VM that is
// connected to both, so that the failure of one link does not separate two VMs. While a stream
// has received nothing for SuspectTimeout but has not timed out yet, messages are both sent on it
// and relayed, so a message may be delivered twice. Calls are never executed twice.
//
// With Protection, each side authenticates by the certificate of its VM, and messages and calls
// that name another sender are refused. The sender of a relayed message is not checked: the
// receiver trusts the relaying VM.
package peer

import (
	"context"
	"net"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"egretramp/internal/callermem"
	"egretramp/internal/events"
	"egretramp/internal/identity"
)

// Timing of the message streams.
const (
	// HeartbeatInterval is the interval of the heartbeats of the VM that serves a stream. The dialing VM decides by them which
	// VMs and zones it reaches.
	HeartbeatInterval = 500 * time.Millisecond
	// DialerHeartbeatInterval is the interval of the dialing VM's heartbeats on an idle stream. They only keep the stream open,
	// and in a large fleet there are more of them than of all other messages.
	DialerHeartbeatInterval = time.Second
	// HeartbeatTimeout is the time without a heartbeat after which the dialing VM closes a stream, DialerTimeout that without a
	// message or heartbeat after which the VM that serves it does.
	HeartbeatTimeout = 2 * time.Second
	DialerTimeout    = HeartbeatTimeout + DialerHeartbeatInterval - HeartbeatInterval
	// SuspectTimeout is the time without a heartbeat after which messages are also relayed and
	// calls are tried through relays first.
	SuspectTimeout = 800 * time.Millisecond
	// DialTimeout is many times the latency between regions. A dial to a VM that is still powered
	// off must fail soon, so that the next attempt finds it up.
	DialTimeout = 400 * time.Millisecond
	redialDelay = 200 * time.Millisecond
	// maxQueueAge is how long a message waits for a connection; older messages are dropped.
	maxQueueAge = time.Second
)

// MessageHandler processes one message. It runs on the goroutine that reads the sender's stream and
// must not block.
type MessageHandler func(from string, payload []byte)

// CallHandler executes one call. The code of a *RemoteError is returned to the caller unchanged.
type CallHandler func(ctx context.Context, from string, payload []byte) ([]byte, error)

// Options configure a Node.
type Options struct {
	VM      string            // this VM's name
	Address string            // listen address, IP:port
	Peers   map[string]string // VM name to address; may include this VM
	Events  *events.Logger
	// Protection configures TLS; if nil, connections are unencrypted and senders are not checked.
	Protection *identity.Protection
	// Accounting attributes bytes to zones and purposes; nil for none.
	Accounting *Accounting
	// Memory bounds the connections of other VMs and what arrives on them; nil for no limit. It has no effect with Protection.
	Memory *callermem.Group
}

// Node manages this VM's connections to the other VMs.
type Node struct {
	opts     Options
	messages map[string]MessageHandler
	calls    map[string]CallHandler
	tunnels  TunnelHandler // nil if this VM opens no tunnels
	served   servedTunnels
	stats    Stats
	cuts     atomic.Pointer[cuts]
	rotation atomic.Uint64 // rotates the order of relay candidates

	mu        sync.Mutex
	links     map[string]*link
	startLink func(*link) // starts a link's goroutine; nil unless Serve is running
}

// Stats holds the traffic counters of this VM's peer connections. Byte counts include drpc framing.
type Stats struct {
	BytesSent        atomic.Int64
	BytesReceived    atomic.Int64
	MessagesSent     atomic.Int64
	MessagesReceived atomic.Int64
	MessagesDropped  atomic.Int64
	MessagesRelayed  atomic.Int64 // on behalf of other VMs
	CallsMade        atomic.Int64
	CallsServed      atomic.Int64
	TunnelsServed    atomic.Int64
}

// New returns a node. Register all handlers before calling Run or Serve.
func New(opts Options) *Node {
	n := &Node{
		opts:     opts,
		messages: map[string]MessageHandler{},
		calls:    map[string]CallHandler{},
		links:    map[string]*link{},
	}
	n.CutLinks(nil, nil)
	n.messages[kindRelay] = n.handleRelay
	n.calls[methodRelay] = n.handleRelayedCall
	for vm, address := range opts.Peers {
		n.AddPeer(vm, address)
	}
	return n
}

// VM returns this VM's name.
func (n *Node) VM() string { return n.opts.VM }

// Stats returns the node's traffic counters.
func (n *Node) Stats() *Stats { return &n.stats }

// HandleMessages registers the handler for messages of a kind.
func (n *Node) HandleMessages(kind string, h MessageHandler) { n.messages[kind] = h }

// HandleCalls registers the handler for calls of a method.
func (n *Node) HandleCalls(method string, h CallHandler) { n.calls[method] = h }

// AddPeer adds a VM, or changes its address if it is present. It ignores this VM.
func (n *Node) AddPeer(vm, address string) {
	if vm == n.opts.VM {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if l, ok := n.links[vm]; ok {
		l.setAddress(address)
		return
	}
	l := newLink(n, vm, address)
	n.links[vm] = l
	if n.startLink != nil {
		n.startLink(l)
	}
}

// RemovePeer removes a VM and closes the connections dialed to it.
func (n *Node) RemovePeer(vm string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l, ok := n.links[vm]
	if !ok {
		return
	}
	delete(n.links, vm)
	if l.stop != nil {
		l.stop()
	}
}

// VMs returns the names of all other VMs, sorted.
func (n *Node) VMs() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	vms := make([]string, 0, len(n.links))
	for vm := range n.links {
		vms = append(vms, vm)
	}
	sort.Strings(vms)
	return vms
}

// Connected reports whether the message stream to vm is up.
func (n *Node) Connected(vm string) bool {
	if vm == n.opts.VM {
		return true
	}
	l := n.link(vm)
	return l != nil && l.up.Load()
}

// SinceLastHeartbeat returns the time since vm last sent a heartbeat on the message stream to it. up
// is false if that stream is down.
func (n *Node) SinceLastHeartbeat(vm string) (age time.Duration, up bool) {
	l := n.link(vm)
	if l == nil || !l.up.Load() {
		return 0, false
	}
	return l.liveness.age(), true
}

func (n *Node) link(vm string) *link {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.links[vm]
}

// Run listens on Options.Address, and serves and dials connections until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", n.opts.Address)
	if err != nil {
		return err
	}
	return n.Serve(ctx, listener)
}

// Serve is like Run but uses an open listener.
func (n *Node) Serve(ctx context.Context, listener net.Listener) error {
	var wg conc.WaitGroup
	defer wg.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n.startLinks(ctx, &wg)
	// AddPeer must start no link while wg.Wait runs.
	defer n.stopLinks()
	return n.serve(ctx, listener)
}

func (n *Node) startLinks(ctx context.Context, wg *conc.WaitGroup) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.startLink = func(l *link) {
		linkCtx, stop := context.WithCancel(ctx)
		l.stop = stop
		wg.Go(func() { l.run(linkCtx) })
	}
	for _, l := range n.links {
		n.startLink(l)
	}
}

func (n *Node) stopLinks() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.startLink = nil
}

// Send queues a one-way message and never blocks on the network. A message to this VM is handled
// synchronously.
func (n *Node) Send(vm, kind string, payload []byte) {
	if vm == n.opts.VM {
		n.deliver(vm, kind, payload)
		return
	}
	if len(payload) > MaxPayloadBytes {
		n.stats.MessagesDropped.Add(1)
		n.opts.Events.Emit(events.PeerTooLarge, zap.String("peer", vm), zap.String("kind", kind), zap.Int("bytes", len(payload)))
		return
	}
	l := n.link(vm)
	if l == nil {
		n.stats.MessagesDropped.Add(1)
		return
	}
	relayed := !l.healthy() && n.relayMessage(vm, kind, payload)
	// If the link was never up, also queue the message until it connects: the relay may not be
	// connected to vm.
	if relayed && !l.up.Load() && l.everUp.Load() {
		return
	}
	l.enqueue(kind, payload)
}

func (n *Node) deliver(from, kind string, payload []byte) {
	h, ok := n.messages[kind]
	if !ok {
		n.stats.MessagesDropped.Add(1)
		return
	}
	n.stats.MessagesReceived.Add(1)
	h(from, payload)
}
