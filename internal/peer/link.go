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
	// maxIdleConns is the maximum number of idle call connections that a link keeps.
	maxIdleConns = 8
	// maxIdleAge is how long an idle call connection may be reused. Idle connections carry no
	// heartbeats, so a device between the two ends may have dropped the state of an older one.
	maxIdleAge = 2 * time.Second
)

// link manages the connections dialed to one other VM: the message stream and idle call
// connections.
type link struct {
	node  *Node
	vm    string
	queue *queue
	up    atomic.Bool
	// compact is set while the stream is up and the other VM accepts envelopes without sender and kind.
	compact atomic.Bool
	// everUp is set once the stream has been up: if it is down now, the outage may last.
	everUp   atomic.Bool
	liveness livenessMonitor
	stop     context.CancelFunc // cancels run; nil until run is started; guarded by Node.mu

	mu      sync.Mutex
	address string
	idle    []idleConn
}

// idleConn is a call connection that is available for reuse.
type idleConn struct {
	conn      *peerConn
	idleSince time.Time
}

func newLink(n *Node, vm, address string) *link {
	return &link{node: n, vm: vm, address: address, queue: newQueue()}
}

// healthy reports whether the stream is up and a heartbeat was received within SuspectTimeout.
func (l *link) healthy() bool {
	return l.up.Load() && l.liveness.age() < SuspectTimeout
}

func (l *link) setAddress(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.address = address
}

// enqueue adds a message to the queue, or drops it if the queue is full.
func (l *link) enqueue(kind string, payload []byte) {
	envelope := &peerpb.Envelope{From: l.node.opts.VM, Kind: kind, Payload: payload}
	if !l.queue.push(queuedMessage{envelope: envelope, enqueuedAt: time.Now()}) {
		l.node.stats.MessagesDropped.Add(1)
	}
}

// dial opens a connection, protected as configured. Its bytes are counted below TLS.
func (l *link) dial(ctx context.Context) (*peerConn, error) {
	return l.dialWith(ctx, net.Dialer{Timeout: DialTimeout})
}

func (l *link) dialWith(ctx context.Context, dialer net.Dialer) (*peerConn, error) {
	if l.node.cutTo(l.vm) {
		return nil, awaitCutTimeout(ctx)
	}
	l.mu.Lock()
	address := l.address
	l.mu.Unlock()
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	counted := &countedConn{Conn: raw, stats: &l.node.stats, accounting: l.node.opts.Accounting, vm: l.vm}
	return &peerConn{Conn: drpcconn.NewWithOptions(l.node.opts.Protection.Client(counted, l.vm), connOptions()), counted: counted}, nil
}

// run keeps a message stream open, reconnecting as needed, until ctx ends.
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

// connectAndStream dials the VM, opens a message stream and runs it until it fails.
func (l *link) connectAndStream(ctx context.Context) error {
	conn, err := l.dial(ctx)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := peerpb.NewDRPCPeerClient(conn).Messages(conn.counted.introduce(ctx))
	if err != nil {
		return err
	}
	return l.runStream(ctx, cancel, stream, conn.counted)
}

// runStream sends queued messages and heartbeats until the stream fails or nothing was received
// for HeartbeatTimeout.
func (l *link) runStream(ctx context.Context, cancel func(), stream peerpb.DRPCPeer_MessagesClient, counted *countedConn) error {
	l.liveness.touch()
	defer l.compact.Store(false)
	var wg conc.WaitGroup
	defer wg.Wait()
	// cancel closes the transport, which ends the timeout watcher and the reader.
	defer cancel()
	wg.Go(func() {
		defer cancel()
		l.liveness.awaitTimeout(ctx)
	})
	wg.Go(func() {
		defer cancel()
		l.receive(stream, counted)
	})
	return l.sendLoop(ctx, &countedSender{messageSender: &compactSender{messageSender: stream, accepted: &l.compact}, counted: counted})
}

// receive processes heartbeats from the other VM until the stream fails. The first one marks the
// link as up.
func (l *link) receive(stream peerpb.DRPCPeer_MessagesClient, counted *countedConn) {
	for {
		envelope, err := stream.Recv()
		if err != nil {
			return
		}
		counted.attributeReceived(KindHeartbeat, nil)
		if l.node.cutFrom(l.vm) {
			continue
		}
		l.liveness.touch()
		l.everUp.Store(true)
		if statesCompact(envelope) {
			l.compact.Store(true)
		}
		if !l.up.Swap(true) {
			l.node.opts.Events.Emit(events.PeerConnected, zap.String("peer", l.vm))
		}
	}
}

// sendLoop sends queued messages, and a heartbeat whenever nothing else was sent within
// DialerHeartbeatInterval: the receiver counts a message as a heartbeat.
func (l *link) sendLoop(ctx context.Context, stream messageSender) error {
	heartbeat := time.NewTimer(clock.Align(DialerHeartbeatInterval))
	defer heartbeat.Stop()
	if err := l.send(stream, &peerpb.Envelope{From: l.node.opts.VM}); err != nil {
		return err
	}
	sent := time.Now()
	for {
		// Includes messages queued before the stream was open.
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
			if left := DialerHeartbeatInterval - time.Since(sent); left >= clock.Grid {
				heartbeat.Reset(clock.Align(left))
				continue
			}
			heartbeat.Reset(clock.Align(DialerHeartbeatInterval))
			if err := l.send(stream, &peerpb.Envelope{From: l.node.opts.VM}); err != nil {
				return err
			}
			sent = time.Now()
		}
	}
}

// messageSender is the part of a message stream that sendLoop needs.
type messageSender interface {
	Send(*peerpb.Envelope) error
}

// countedSender attributes the bytes of each message.
type countedSender struct {
	messageSender
	counted *countedConn
}

// Send implements messageSender.
func (s *countedSender) Send(envelope *peerpb.Envelope) error {
	err := s.messageSender.Send(envelope)
	s.counted.attributeSent(envelope.Kind, envelope.Payload)
	return err
}

// sendQueued sends all queued messages, drops those older than maxQueueAge, and reports whether any
// was sent.
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

// send writes one envelope to the stream; an empty Kind is a heartbeat.
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

// takeIdle returns an open connection that was idle for less than maxIdleAge, or nil.
func (l *link) takeIdle() *peerConn {
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

// putIdle keeps a connection for reuse, or closes it if maxIdleConns are kept already.
func (l *link) putIdle(conn *peerConn) {
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

func isClosed(conn *peerConn) bool {
	select {
	case <-conn.Closed():
		return true
	default:
		return false
	}
}
