package peer

import (
	"context"
	"io"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"golang.org/x/sys/unix"

	"egretramp/internal/connend"
	"egretramp/internal/peer/peerpb"
)

const (
	// tunnelBufferBytes is the most data in one frame of a tunnel.
	tunnelBufferBytes = 16 << 10
	// tunnelAckTimeout is how long sent bytes may stay unacknowledged before a tunnel counts as lost.
	tunnelAckTimeout = 1500 * time.Millisecond
	// tunnelIdleTimeout is how long an upstream may send nothing before its tunnel is closed. It exceeds the time for
	// which idle connections are kept, and ends tunnels whose VM has disappeared.
	tunnelIdleTimeout = 2 * time.Minute
)

// Codes of errors that end a tunnel.
const (
	codeTunnelReset       = "tunnel_reset"       // the connection to the upstream broke
	codeTunnelUnsupported = "tunnel_unsupported" // the VM opens no tunnels
)

// TunnelHandler opens a connection to an upstream for another VM. The code of a *RemoteError is returned to that VM. If
// the connection implements DrainingConn, it says whether the tunnel is to be drained from its beginning.
type TunnelHandler func(ctx context.Context, from, address string) (net.Conn, error)

// DrainingConn is a connection to an upstream that may have to carry no further requests.
type DrainingConn interface {
	// Draining is called once DrainTunnelsTo finds the tunnel, so that no change before is missed.
	Draining() bool
}

// HandleTunnels registers the handler for tunnels.
func (n *Node) HandleTunnels(h TunnelHandler) { n.tunnels = h }

// Tunnel is a connection to an upstream through another VM. Reads return io.EOF only if the upstream closed its
// connection in order, and an error if it or the tunnel broke.
type Tunnel struct {
	net.Conn // the near end of a pipe
	far      net.Conn
	conn     *peerConn
	pending  atomic.Bool // bytes from the upstream wait to be read
	ended    atomic.Bool
	draining atomic.Bool // the other VM is stopping
	failure  atomic.Pointer[error]
}

// OpenTunnel opens a connection to an upstream through vm. It returns *UnreachableError if vm can't be reached, and
// *RemoteError if vm refuses or can't reach the upstream. ctx bounds the opening only.
func (n *Node) OpenTunnel(ctx context.Context, vm, address string) (*Tunnel, error) {
	l := n.link(vm)
	if l == nil {
		l = newLink(n, vm, vm)
	}
	dialer := net.Dialer{
		Timeout: DialTimeout, Control: setAckTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
	}
	conn, err := l.dialWith(ctx, dialer)
	if err != nil {
		return nil, &UnreachableError{VM: vm, Cause: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	stream, err := openTunnelStream(conn, &peerpb.TunnelFrame{From: n.opts.VM, Address: address})
	if err == nil && !stop() {
		err = ctx.Err()
	}
	if err != nil {
		stop()
		_ = conn.Close()
		var remote *RemoteError
		if errors.As(err, &remote) {
			return nil, err
		}
		return nil, &UnreachableError{VM: vm, Cause: err}
	}
	t := &Tunnel{conn: conn}
	t.Conn, t.far = net.Pipe()
	go t.send(stream)
	go t.receive(stream)
	return t, nil
}

// openTunnelStream sends the first frame of a tunnel and waits for the other VM's.
func openTunnelStream(conn *peerConn, first *peerpb.TunnelFrame) (peerpb.DRPCPeer_TunnelClient, error) {
	stream, err := peerpb.NewDRPCPeerClient(conn).Tunnel(conn.counted.introduce(context.Background()))
	if err != nil {
		return nil, err
	}
	if err := stream.Send(first); err != nil {
		return nil, err
	}
	reply, err := stream.Recv()
	if err != nil {
		return nil, err
	}
	if reply.ErrorCode != "" {
		return nil, &RemoteError{Code: reply.ErrorCode, Message: reply.ErrorMessage}
	}
	return stream, nil
}

// setAckTimeout sets TCP_USER_TIMEOUT to tunnelAckTimeout.
func setAckTimeout(_, _ string, c syscall.RawConn) error {
	var optErr error
	err := c.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tunnelAckTimeout.Milliseconds()))
	})
	return errors.CombineErrors(err, optErr)
}

// send passes on what is written to the tunnel. Once the other VM takes no more, which may be after an orderly end that isn't read yet,
// the rest is discarded: receive reports how the tunnel ended.
func (t *Tunnel) send(stream peerpb.DRPCPeer_TunnelClient) {
	buffer := make([]byte, tunnelBufferBytes)
	discard := false
	for {
		n, err := t.far.Read(buffer)
		if n > 0 && !discard {
			discard = stream.Send(&peerpb.TunnelFrame{Data: buffer[:n]}) != nil
			t.conn.counted.attributeSent(KindTunnel, nil)
		}
		if err != nil {
			_ = t.conn.Close()
			return
		}
	}
}

// receive passes on what the upstream sends.
func (t *Tunnel) receive(stream peerpb.DRPCPeer_TunnelClient) {
	for {
		frame, err := stream.Recv()
		t.conn.counted.attributeReceived(KindTunnel, nil)
		switch {
		case err != nil:
			t.fail(errors.Wrap(err, "peer: the tunnel broke"))
			return
		case frame.ErrorCode != "":
			t.fail(&RemoteError{Code: frame.ErrorCode, Message: frame.ErrorMessage})
			return
		case frame.End:
			t.ended.Store(true)
			_ = t.far.Close()
			return
		case frame.Draining:
			t.draining.Store(true)
			continue
		}
		t.pending.Store(true)
		_, err = t.far.Write(frame.Data)
		t.pending.Store(false)
		if err != nil {
			return // closed by its user
		}
	}
}

// fail makes reads and writes return err.
func (t *Tunnel) fail(err error) {
	t.failure.CompareAndSwap(nil, &err)
	t.ended.Store(true)
	_ = t.far.Close()
	_ = t.conn.Close()
}

// Read implements net.Conn.
func (t *Tunnel) Read(p []byte) (int, error) {
	n, err := t.Conn.Read(p)
	if failure := t.failure.Load(); failure != nil && errors.Is(err, io.EOF) {
		return n, *failure
	}
	return n, err
}

// Close implements net.Conn. It also closes the upstream's connection.
func (t *Tunnel) Close() error {
	t.ended.Store(true)
	err := t.Conn.Close()
	return errors.CombineErrors(err, t.conn.Close())
}

// Idle reports whether the tunnel may carry another request: it is open, the other VM isn't stopping, and no byte from
// the upstream waits to be read.
func (t *Tunnel) Idle() bool { return !t.ended.Load() && !t.draining.Load() && !t.pending.Load() }

// Tunnel serves a tunnel of another VM.
func (s *server) Tunnel(stream peerpb.DRPCPeer_TunnelStream) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if err := s.checkSender(stream.Context(), first.From); err != nil {
		return err
	}
	counted := countedFrom(stream.Context(), first.From)
	counted.attributeReceived(KindTunnel, nil)
	if s.node.cutFrom(first.From) || s.node.cutTo(first.From) {
		<-stream.Context().Done()
		return errCut
	}
	conn, err := s.openTunnel(stream.Context(), first)
	if err != nil {
		var remote *RemoteError
		if !errors.As(err, &remote) {
			remote = &RemoteError{Code: codeInternal, Message: err.Error()}
		}
		return stream.Send(&peerpb.TunnelFrame{ErrorCode: remote.Code, ErrorMessage: remote.Message})
	}
	var wg conc.WaitGroup
	defer wg.Wait()
	stop := context.AfterFunc(stream.Context(), func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	defer func() { _ = stream.Close() }()
	s.node.stats.TunnelsServed.Add(1)
	if err := stream.Send(&peerpb.TunnelFrame{}); err != nil {
		return err
	}
	defer s.node.served.add(stream, first.Address)()
	if c, ok := conn.(DrainingConn); ok && c.Draining() {
		sendDraining(stream)
	}
	upstream := connend.New(conn)
	wg.Go(func() { sendToUpstream(stream, upstream, counted) })
	return receiveFromUpstream(stream, upstream, counted)
}

func (s *server) openTunnel(ctx context.Context, first *peerpb.TunnelFrame) (net.Conn, error) {
	if s.node.tunnels == nil {
		return nil, &RemoteError{Code: codeTunnelUnsupported, Message: "this VM opens no tunnels"}
	}
	return s.node.tunnels(ctx, first.From, first.Address)
}

// sendToUpstream passes bytes on to the upstream until the tunnel ends. Once the upstream takes no more, the rest is discarded:
// receiveFromUpstream reports how its connection ended.
func sendToUpstream(stream peerpb.DRPCPeer_TunnelStream, conn *connend.Conn, counted *countedConn) {
	defer func() { _ = conn.Close() }()
	discard := false
	for {
		frame, err := stream.Recv()
		counted.attributeReceived(KindTunnel, nil)
		if err != nil {
			return // closed by the other VM, or lost: either ends the upstream's connection
		}
		if !discard {
			_, err := conn.Write(frame.Data)
			discard = err != nil
		}
	}
}

// receiveFromUpstream passes the upstream's bytes back, and how its connection ended.
func receiveFromUpstream(stream peerpb.DRPCPeer_TunnelStream, conn *connend.Conn, counted *countedConn) error {
	buffer := make([]byte, tunnelBufferBytes)
	for {
		if err := conn.SetReadDeadline(time.Now().Add(tunnelIdleTimeout)); err != nil {
			return stream.Send(&peerpb.TunnelFrame{ErrorCode: codeTunnelReset, ErrorMessage: err.Error()})
		}
		n, err := conn.Read(buffer)
		if n > 0 {
			err := stream.Send(&peerpb.TunnelFrame{Data: buffer[:n]})
			counted.attributeSent(KindTunnel, nil)
			if err != nil {
				return err
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return stream.Send(&peerpb.TunnelFrame{End: true})
		case err != nil:
			return stream.Send(&peerpb.TunnelFrame{ErrorCode: codeTunnelReset, ErrorMessage: err.Error()})
		}
	}
}

// servedTunnels holds the tunnels that this VM serves. It is safe for concurrent use.
type servedTunnels struct {
	mu       sync.Mutex
	streams  map[peerpb.DRPCPeer_TunnelStream]string // the upstream's address
	draining bool
}

// add adds a tunnel and returns the function that removes it.
func (s *servedTunnels) add(stream peerpb.DRPCPeer_TunnelStream, address string) (remove func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		sendDraining(stream)
	}
	if s.streams == nil {
		s.streams = map[peerpb.DRPCPeer_TunnelStream]string{}
	}
	s.streams[stream] = address
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.streams, stream)
	}
}

// DrainTunnels tells the VMs whose tunnels this VM serves to send no further requests through them.
func (n *Node) DrainTunnels() {
	n.served.mu.Lock()
	n.served.draining = true
	streams := slices.Collect(maps.Keys(n.served.streams))
	n.served.mu.Unlock()
	for _, stream := range streams {
		sendDraining(stream)
	}
}

// DrainTunnelsTo does the same for the tunnels that lead to an upstream's address.
func (n *Node) DrainTunnelsTo(address string) {
	n.served.mu.Lock()
	var streams []peerpb.DRPCPeer_TunnelStream
	for stream, to := range n.served.streams {
		if to == address {
			streams = append(streams, stream)
		}
	}
	n.served.mu.Unlock()
	for _, stream := range streams {
		sendDraining(stream)
	}
}

func sendDraining(stream peerpb.DRPCPeer_TunnelStream) {
	_ = stream.Send(&peerpb.TunnelFrame{Draining: true}) // fails only if the tunnel has ended
}
