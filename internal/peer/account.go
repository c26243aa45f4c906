package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcctx"
	"storj.io/drpc/drpcmetadata"

	"egretramp/internal/callerconn"
	"egretramp/internal/callermem"
	"egretramp/internal/identity"
)

// metadataZone is the key of the metadata by which a VM states its zone on the first call or stream of a connection.
// VMs that don't know it ignore it.
const metadataZone = "zone"

// KindTunnel is the kind under which the bytes of tunnels are counted, KindHeartbeat that of heartbeats and KindRelay
// that of relayed messages and calls.
const (
	KindTunnel    = "peer.tunnel"
	KindHeartbeat = ""
	KindRelay     = kindRelay
)

// Accounting attributes the bytes of connections between VMs to zones and purposes. Each byte above TCP is reported
// once by the VM that sends it and once by the VM that receives it. Bytes that belong to several messages, for example
// because they were received together, are attributed to one of them.
type Accounting struct {
	// Zone is this VM's zone.
	Zone string
	// ZoneOf returns the zone of another VM, empty if it isn't known.
	ZoneOf func(vm string) string
	// Purpose returns the purpose of a message, or of a call and its result, which is nil if the call failed.
	Purpose func(kind string, payload, result []byte) string
	// Add reports bytes. zone is empty if it isn't known.
	Add func(zone, purpose string, sent, received int64)
}

// peerConn is a connection dialed to another VM.
type peerConn struct {
	*drpcconn.Conn
	counted *countedConn
}

// countedConn counts the bytes of a connection. They wait to be attributed until the message or the call that they
// belong to is known.
type countedConn struct {
	net.Conn
	stats          *Stats
	accounting     *Accounting // nil for none
	sent, received atomic.Int64

	mu      sync.Mutex
	vm      string // the other VM, empty until it is known
	zone    string // its zone, empty until it is known
	purpose string // the last one
	// introduced is set once this VM has stated its zone.
	introduced bool
}

// Read implements net.Conn and counts the bytes received.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.stats.BytesReceived.Add(int64(n))
	c.received.Add(int64(n))
	return n, err
}

// Write implements net.Conn and counts the bytes sent.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.stats.BytesSent.Add(int64(n))
	c.sent.Add(int64(n))
	return n, err
}

// Close implements net.Conn and attributes the remaining bytes to the last purpose.
func (c *countedConn) Close() error {
	err := c.Conn.Close()
	c.attributeToLast()
	return err
}

// identify sets the other VM, and its zone if that is stated.
func (c *countedConn) identify(vm, zone string) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.vm = vm
	if zone != "" {
		c.zone = zone
	}
}

// introduce returns a context that makes the next call or stream state this VM's zone, unless an earlier one has.
func (c *countedConn) introduce(ctx context.Context) context.Context {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.introduced || c.accounting == nil || c.accounting.Zone == "" {
		return ctx
	}
	c.introduced = true
	return drpcmetadata.Add(ctx, metadataZone, c.accounting.Zone)
}

// attributeSent attributes the bytes sent so far, attributeReceived those received.
func (c *countedConn) attributeSent(kind string, payload []byte) {
	if c != nil && c.accounting != nil {
		c.attribute(c.accounting.Purpose(kind, payload, nil), c.sent.Swap(0), 0)
	}
}

func (c *countedConn) attributeReceived(kind string, payload []byte) {
	if c != nil && c.accounting != nil {
		c.attribute(c.accounting.Purpose(kind, payload, nil), 0, c.received.Swap(0))
	}
}

// attributeCall attributes the bytes of a call. At the VM that serves it, the response is sent later.
func (c *countedConn) attributeCall(kind string, payload, result []byte) {
	if c != nil && c.accounting != nil {
		c.attribute(c.accounting.Purpose(kind, payload, result), c.sent.Swap(0), c.received.Swap(0))
	}
}

// attributeResponse attributes the bytes sent since the last call that this VM served on the connection: its response.
func (c *countedConn) attributeResponse() {
	if c != nil && c.accounting != nil {
		c.attribute("", c.sent.Swap(0), 0)
	}
}

// attributeToLast attributes bytes that belong to the last message or call.
func (c *countedConn) attributeToLast() {
	if c != nil && c.accounting != nil {
		c.attribute("", c.sent.Swap(0), c.received.Swap(0))
	}
}

// attribute reports bytes. An empty purpose is the last one.
func (c *countedConn) attribute(purpose string, sent, received int64) {
	c.mu.Lock()
	if purpose == "" {
		purpose = c.purpose
	}
	c.purpose = purpose
	if sent == 0 && received == 0 {
		c.mu.Unlock()
		return
	}
	if c.zone == "" && c.vm != "" {
		c.zone = c.accounting.ZoneOf(c.vm)
	}
	zone := c.zone
	c.mu.Unlock()
	if purpose == "" { // closed before the first message
		purpose = c.accounting.Purpose(KindHeartbeat, nil, nil)
	}
	c.accounting.Add(zone, purpose, sent, received)
}

// countedListener counts the bytes of the connections that it accepts.
type countedListener struct {
	net.Listener
	stats      *Stats
	accounting *Accounting
	memory     *callermem.Group // nil for no limit
}

// Accept implements net.Listener and wraps the connection in a countedConn.
func (l *countedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		counted := &countedConn{Conn: conn, stats: l.stats, accounting: l.accounting}
		if !l.memory.Limited() {
			return counted, nil
		}
		if memory := callerconn.Admit(l.memory, conn); memory != nil {
			return &limitedConn{countedConn: counted, memory: memory}, nil
		}
		_ = conn.Close() // all connections are in use
	}
}

// countedFrom returns the connection of a call or stream that this VM serves, nil if its bytes aren't counted.
func countedFrom(ctx context.Context, from string) *countedConn {
	transport, _ := drpcctx.Transport(ctx)
	if secured, ok := transport.(*identity.Conn); ok {
		transport = secured.Conn
	}
	if limited, ok := transport.(*limitedConn); ok {
		transport = limited.countedConn
	}
	conn, ok := transport.(*countedConn)
	if !ok {
		return nil
	}
	metadata, _ := drpcmetadata.Get(ctx)
	conn.identify(from, metadata[metadataZone])
	return conn
}
