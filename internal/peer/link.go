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

	"egretramp/internal/clock"
	"egretramp/internal/events"
	"egretramp/internal/peer/peerpb"
)

const (
	// idleCallConns is how many idle connections for calls a link keeps.
	maxIdleConns = 8
	// idleCallAge is how long an idle connection is trusted. Idle connections carry no
	// heartbeat, so an old one may have been forgotten by something between the two ends.
	maxIdleAge = 2 * time.Second
)

// link is the connection to one other VM.
type link struct {
	node  *Node
	vm    string
	queue *queue
	up    atomic.Bool
	// wasUp says that the stream has been up: if it is down now, that may last.
	everUp   atomic.Bool
	liveness livenessMonitor
	stop     context.CancelFunc // ends run; nil until it runs; guarded by the node's mutex

	mu      sync.Mutex
	address string
	idle    []idleConn
}

type idleConn struct {
	conn      *drpcconn.Conn
	idleSince time.Time
}

func newLink(n *Node, vm, address string) *link {
	return &link{node: n, vm: vm, address: address, queue: newQueue()}
}

// trusted reports whether the stream is up and the other side was heard lately.
func (l *link) healthy() bool {
	return l.up.Load() && l.liveness.age() < SuspectTimeout
}

func (l *link) setAddress(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.address = address
}

func (l *link) enqueue(kind string, payload []byte) {
	envelope := &peerpb.Envelope{From: l.node.opts.VM, Kind: kind, Payload: payload}
	if !l.queue.push(queuedMessage{envelope: envelope, enqueuedAt: time.Now()}) {
		l.node.stats.MessagesDropped.Add(1)
	}
}

func (l *link) dial(ctx context.Context) (*drpcconn.Conn, error) {
	if l.node.cutTo(l.vm) {
		return nil, awaitCutTimeout(ctx)
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
		err := l.connectAndStream(ctx)
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

func (l *link) connectAndStream(ctx context.Context) error {
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
	return l.runStream(ctx, cancel, stream)
}

// pump sends queued messages and heartbeats until the other side falls silent.
func (l *link) runStream(ctx context.Context, cancel func(), stream peerpb.DRPCPeer_MessagesClient) error {
	l.liveness.touch()
	var wg conc.WaitGroup
	defer wg.Wait()
	// The watcher and the reader end when cancel closes the transport.
	defer cancel()
	wg.Go(func() {
		defer cancel()
		l.liveness.awaitTimeout(ctx)
	})
	wg.Go(func() {
		defer cancel()
		l.receive(stream)
	})
	return l.sendLoop(ctx, stream)
}

// receive takes the other side's heartbeats until the stream fails.
func (l *link) receive(stream peerpb.DRPCPeer_MessagesClient) {
	for {
		if _, err := stream.Recv(); err != nil {
			return
		}
		if l.node.cutFrom(l.vm) {
			continue
		}
		l.liveness.touch()
		l.everUp.Store(true)
		if !l.up.Swap(true) {
			l.node.opts.Events.Emit(events.PeerConnected, zap.String("peer", l.vm))
		}
	}
}

// sendAll sends queued messages, and a heartbeat before nothing was sent for HeartbeatInterval:
// a message is a sign of life as well.
func (l *link) sendLoop(ctx context.Context, stream messageSender) error {
	heartbeat := time.NewTimer(clock.Align(HeartbeatInterval))
	defer heartbeat.Stop()
	if err := l.send(stream, &peerpb.Envelope{From: l.node.opts.VM}); err != nil {
		return err
	}
	sent := time.Now()
	for {
		// Also what waited for the stream.
		sentAny, err := l.sendQueued(stream)
		if err != nil {
			return err
		}
		if sentAny {
			sent = time.Now()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.queue.wake:
		case <-heartbeat.C:
			if left := HeartbeatInterval - time.Since(sent); left >= clock.Grid {
				heartbeat.Reset(clock.Align(left))
				continue
			}
			heartbeat.Reset(clock.Align(HeartbeatInterval))
			if err := l.send(stream, &peerpb.Envelope{From: l.node.opts.VM}); err != nil {
				return err
			}
			sent = time.Now()
		}
	}
}

// messageSender is the part of a stream that sendAll needs.
type messageSender interface {
	Send(*peerpb.Envelope) error
}

// sendQueued sends what waits, but for messages that waited too long, and reports whether there
// was any.
func (l *link) sendQueued(stream messageSender) (sentAny bool, err error) {
	for {
		next, ok := l.queue.pop()
		if !ok {
			return sentAny, nil
		}
		if time.Since(next.enqueuedAt) > maxQueueAge {
			l.node.stats.MessagesDropped.Add(1)
			continue
		}
		if err := l.send(stream, next.envelope); err != nil {
			return sentAny, err
		}
		sentAny = true
	}
}

func (l *link) send(stream messageSender, envelope *peerpb.Envelope) error {
	if l.node.cutTo(l.vm) {
		return nil
	}
	if err := stream.Send(envelope); err != nil {
		return err
	}
	if envelope.Kind != "" {
		l.node.stats.MessagesSent.Add(1)
	}
	return nil
}

// takeIdle returns a recently used connection, or nil.
func (l *link) takeIdle() *drpcconn.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.idle) > 0 {
		last := l.idle[len(l.idle)-1]
		l.idle = l.idle[:len(l.idle)-1]
		if time.Since(last.idleSince) < maxIdleAge && !isClosed(last.conn) {
			return last.conn
		}
		_ = last.conn.Close()
	}
	return nil
}

func (l *link) putIdle(conn *drpcconn.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if isClosed(conn) || len(l.idle) >= maxIdleConns {
		_ = conn.Close()
		return
	}
	l.idle = append(l.idle, idleConn{conn: conn, idleSince: time.Now()})
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
