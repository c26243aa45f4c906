// Package peer connects the VMs of a fleet: one-way messages that may be lost, and calls.
//
// Both run over drpc. Each VM keeps one message stream open to each other VM. The two sides
// send a heartbeat each HeartbeatInterval; a side that hears nothing for SilenceLimit ends the
// stream, and the dialling side opens a new connection. Calls use connections of their own, one
// call at a time each; a call whose context ends closes its connection, so a connection that
// fell silent serves no second call.
//
// Messages from one VM to another keep their order while the stream lives. A full queue drops
// messages; their senders must repeat what matters.
//
// While the stream to a VM is down, messages and calls to it go through a third VM that is
// connected to both, so that one cut link between two VMs separates nobody. A stream that is
// silent for DoubtLimit but not yet given up is doubled in this way: a message may then arrive
// twice. Calls never do.
//
// With Protection, each side proves by its certificate which VM it is, and what names another
// sender is refused; a VM that relays vouches for what it passes on.
package peer

import (
	"context"
	"net"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"egretramp/internal/events"
	"egretramp/internal/identity"
)

// Timing of the message streams.
const (
	HeartbeatInterval = 500 * time.Millisecond
	HeartbeatTimeout  = 2 * time.Second
	// SuspectTimeout is the silence after which a link is no longer trusted alone.
	SuspectTimeout = 800 * time.Millisecond
	// DialTimeout is many times the way between regions. A dial to a VM that has no power yet must
	// end soon, so that the next one finds it up.
	DialTimeout = 400 * time.Millisecond
	redialDelay = 200 * time.Millisecond
	// queueAge is how long a message waits for a connection; an older one is dropped.
	maxQueueAge = time.Second
)

// MessageHandler takes one message. It runs on the goroutine of the sender's stream and must not block.
type MessageHandler func(from string, payload []byte)

// CallHandler answers one call. An error that is a *RemoteError keeps its code on the way back.
type CallHandler func(ctx context.Context, from string, payload []byte) ([]byte, error)

// Options configure a Node.
type Options struct {
	VM      string            // this VM's name
	Address string            // listener, IP:port
	Peers   map[string]string // VM name to address; this VM may be among them
	Events  *events.Logger
	// Protection protects the connections; nil: they are plain, and every sender is believed.
	Protection *identity.Protection
}

// Node is this VM's end of the connections.
type Node struct {
	opts     Options
	messages map[string]MessageHandler
	calls    map[string]CallHandler
	stats    Stats
	cuts     atomic.Pointer[cuts]
	rotation atomic.Uint64 // of the relays

	mu        sync.Mutex
	links     map[string]*link
	startLink func(*link) // starts a link's goroutine; nil until Run
}

// Stats count what crossed this VM's peer connections. Bytes include drpc's framing.
type Stats struct {
	BytesSent        atomic.Int64
	BytesReceived    atomic.Int64
	MessagesSent     atomic.Int64
	MessagesReceived atomic.Int64
	MessagesDropped  atomic.Int64
	MessagesRelayed  atomic.Int64 // on behalf of other VMs
	CallsMade        atomic.Int64
	CallsServed      atomic.Int64
}

// New returns a node; handlers are registered before Run.
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

// Stats returns the counters.
func (n *Node) Stats() *Stats { return &n.stats }

// HandleMessages registers the handler of one kind of message.
func (n *Node) HandleMessages(kind string, h MessageHandler) { n.messages[kind] = h }

// HandleCalls registers the handler of one method.
func (n *Node) HandleCalls(method string, h CallHandler) { n.calls[method] = h }

// AddPeer adds a VM or changes its address.
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

// RemovePeer forgets a VM and closes the connections that were dialled to it.
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

// SinceLastHeartbeat reports how long ago vm was heard on the message stream to it; up is false if there is none.
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

// Run serves and dials until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", n.opts.Address)
	if err != nil {
		return err
	}
	return n.Serve(ctx, listener)
}

// Serve is Run with a listener that is already open.
func (n *Node) Serve(ctx context.Context, listener net.Listener) error {
	var wg conc.WaitGroup
	defer wg.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n.startLinks(ctx, &wg)
	// From here on no link may start: wg is waited for.
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

// Send queues a one-way message. It never blocks; a message to this VM itself is handled at once.
func (n *Node) Send(vm, kind string, payload []byte) {
	if vm == n.opts.VM {
		n.deliver(vm, kind, payload)
		return
	}
	l := n.link(vm)
	if l == nil {
		n.stats.MessagesDropped.Add(1)
		return
	}
	relayed := !l.healthy() && n.relayMessage(vm, kind, payload)
	// The first message to a VM waits for the connection as well: the VM that was asked to pass it on
	// may not be connected to the other.
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
