package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
	"storj.io/drpc/drpcconn"

	"egretramp/internal/events"
	"egretramp/internal/peer/peerpb"
)

const (
	// idleCallConns is how many idle connections for calls a link keeps.
	idleCallConns = 8
	// idleCallAge is how long an idle connection is trusted. Idle connections carry no
	// heartbeat, so an old one may have been forgotten by something between the two ends.
	idleCallAge = 2 * time.Second
)

// link is the connection to one other VM.
type link struct {
	node  *Node
	vm    string
	queue chan queued
	up    atomic.Bool
	heard atomic.Int64 // time of the other side's last sign of life, Unix nanoseconds

	mu      sync.Mutex
	address string
	idle    []idleConn
}

// queued is a message that waits to be sent.
type queued struct {
	envelope *peerpb.Envelope
	since    time.Time
}

type idleConn struct {
	conn  *drpcconn.Conn
	since time.Time
}

func newLink(n *Node, vm, address string) *link {
	return &link{node: n, vm: vm, address: address, queue: make(chan queued, queueLength)}
}

// trusted reports whether the stream is up and the other side was heard lately.
func (l *link) trusted() bool {
	return l.up.Load() && time.Since(time.Unix(0, l.heard.Load())) < DoubtLimit
}

func (l *link) setAddress(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.address = address
}

func (l *link) enqueue(kind string, payload []byte) {
	envelope := &peerpb.Envelope{From: l.node.opts.VM, Kind: kind, Payload: payload}
	select {
	case l.queue <- queued{envelope: envelope, since: time.Now()}:
	default:
		l.node.stats.MessagesDropped.Add(1)
	}
}

func (l *link) dial(ctx context.Context) (*drpcconn.Conn, error) {
	if l.node.cutTo(l.vm) {
		return nil, awaitCut(ctx)
	}
	l.mu.Lock()
	address := l.address
	l.mu.Unlock()
	dialer := net.Dialer{Timeout: DialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	counted := &countedConn{Conn: raw, stats: &l.node.stats}
	return drpcconn.New(l.node.opts.Protection.Client(counted, l.vm)), nil
}

// run keeps a message stream open until ctx ends.
func (l *link) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := l.stream(ctx)
		if l.up.Swap(false) {
			l.node.opts.Events.Emit(events.PeerLost, zap.String("peer", l.vm), zap.Error(err))
		}
		l.closeIdle()
		select {
		case <-ctx.Done():
		case <-time.After(redialDelay):
		}
	}
}

func (l *link) stream(ctx context.Context) error {
	conn, err := l.dial(ctx)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := peerpb.NewDRPCPeerClient(conn).Messages(ctx)
	if err != nil {
		return err
	}
	return l.pump(ctx, cancel, stream)
}

// pump sends queued messages and heartbeats until the other side falls silent.
func (l *link) pump(ctx context.Context, cancel func(), stream peerpb.DRPCPeer_MessagesClient) error {
	heard := make(chan struct{}, 1)
	var wg conc.WaitGroup
	defer wg.Wait()
	// The watcher and the reader end when cancel closes the transport.
	defer cancel()
	wg.Go(func() { l.watch(ctx, cancel, heard) })
	wg.Go(func() {
		defer cancel()
		for {
			if _, err := stream.Recv(); err != nil {
				return
			}
			if !l.node.cutFrom(l.vm) {
				signal(heard)
			}
		}
	})
	return l.sendAll(ctx, stream)
}

func (l *link) sendAll(ctx context.Context, stream peerpb.DRPCPeer_MessagesClient) error {
	heartbeat := time.NewTicker(HeartbeatInterval)
	defer heartbeat.Stop()
	if err := stream.Send(&peerpb.Envelope{From: l.node.opts.VM}); err != nil {
		return err
	}
	for {
		envelope := &peerpb.Envelope{From: l.node.opts.VM}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case next := <-l.queue:
			if time.Since(next.since) > queueAge {
				l.node.stats.MessagesDropped.Add(1)
				continue
			}
			envelope = next.envelope
		case <-heartbeat.C:
		}
		if l.node.cutTo(l.vm) {
			continue
		}
		if err := stream.Send(envelope); err != nil {
			return err
		}
		if envelope.Kind != "" {
			l.node.stats.MessagesSent.Add(1)
		}
	}
}

func (l *link) watch(ctx context.Context, cancel func(), heard <-chan struct{}) {
	defer cancel()
	silence := time.NewTimer(SilenceLimit)
	defer silence.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-silence.C:
			return
		case <-heard:
			l.heard.Store(time.Now().UnixNano())
			if !l.up.Swap(true) {
				l.node.opts.Events.Emit(events.PeerConnected, zap.String("peer", l.vm))
			}
			silence.Reset(SilenceLimit)
		}
	}
}

func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// takeIdle returns a recently used connection, or nil.
func (l *link) takeIdle() *drpcconn.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.idle) > 0 {
		last := l.idle[len(l.idle)-1]
		l.idle = l.idle[:len(l.idle)-1]
		if time.Since(last.since) < idleCallAge && !isClosed(last.conn) {
			return last.conn
		}
		_ = last.conn.Close()
	}
	return nil
}

func (l *link) putIdle(conn *drpcconn.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if isClosed(conn) || len(l.idle) >= idleCallConns {
		_ = conn.Close()
		return
	}
	l.idle = append(l.idle, idleConn{conn: conn, since: time.Now()})
}

func (l *link) closeIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.idle {
		_ = c.conn.Close()
	}
	l.idle = nil
}

func isClosed(conn *drpcconn.Conn) bool {
	select {
	case <-conn.Closed():
		return true
	default:
		return false
	}
}

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	stats *Stats
}

// Read counts what was received.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.stats.BytesReceived.Add(int64(n))
	return n, err
}

// Write counts what was sent.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.stats.BytesSent.Add(int64(n))
	return n, err
}
