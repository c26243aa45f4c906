package peer

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"storj.io/drpc/drpcmux"

	"egretramp/internal/clock"
	"egretramp/internal/identity"
	"egretramp/internal/peer/peerpb"
)

// server implements the drpc Peer service.
type server struct {
	node *Node
}

var errHeartbeatTimeout = errors.New("the other VM fell silent")

// serve registers the drpc service and serves the listener's connections until ctx ends.
func (n *Node) serve(ctx context.Context, listener net.Listener) error {
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, &server{node: n}); err != nil {
		return err
	}
	counted := &countedListener{Listener: listener, stats: &n.stats, accounting: n.opts.Accounting}
	if n.opts.Protection == nil {
		counted.memory = n.opts.Memory
	}
	return serveConns(ctx, n.opts.Protection.Listener(counted, identity.VM), mux)
}

// Call executes one call from another VM.
func (s *server) Call(ctx context.Context, req *peerpb.CallRequest) (*peerpb.CallResponse, error) {
	if err := s.checkSender(ctx, req.From); err != nil {
		return nil, err
	}
	counted := countedFrom(ctx, req.From)
	if s.node.cutFrom(req.From) {
		<-ctx.Done()
		return nil, errCut
	}
	counted.attributeResponse()
	result, err := s.node.serveCall(ctx, req.From, req.Method, req.Payload)
	counted.attributeCall(req.Method, req.Payload, result)
	if s.node.cutTo(req.From) {
		// The response is dropped; the caller times out by its own context.
		<-ctx.Done()
		return nil, errCut
	}
	if err != nil {
		var remote *RemoteError
		errors.As(err, &remote)
		return &peerpb.CallResponse{ErrorCode: remote.Code, ErrorMessage: remote.Message}, nil
	}
	return &peerpb.CallResponse{Payload: result}, nil
}

// Messages receives messages and heartbeats from another VM and sends it heartbeats.
func (s *server) Messages(stream peerpb.DRPCPeer_MessagesStream) error {
	var liveness livenessMonitor
	liveness.touch()
	failed := make(chan error, 1)
	var wg conc.WaitGroup
	var from atomic.Pointer[string]
	wg.Go(func() { failed <- s.receive(stream, &from, &liveness) })
	err := s.sendHeartbeats(stream, &from, &liveness, failed)
	_ = stream.Close()
	wg.Wait()
	return err
}

// receive delivers messages until the stream fails or names a wrong sender. It stores the sender's
// name in from.
func (s *server) receive(stream peerpb.DRPCPeer_MessagesStream, from *atomic.Pointer[string], liveness *livenessMonitor) error {
	var counted *countedConn
	var restore compactReceiver
	for {
		envelope, err := stream.Recv()
		if err != nil {
			return err
		}
		restore.expand(envelope)
		if err := s.checkSender(stream.Context(), envelope.From); err != nil {
			return err
		}
		if from.Load() == nil {
			counted = countedFrom(stream.Context(), envelope.From)
		}
		counted.attributeReceived(envelope.Kind, envelope.Payload)
		from.Store(&envelope.From)
		if s.node.cutFrom(envelope.From) {
			continue
		}
		liveness.touch()
		if envelope.Kind != "" {
			s.node.deliver(envelope.From, envelope.Kind, envelope.Payload)
		}
	}
}

// sendHeartbeats sends heartbeats until the stream fails or nothing was received for
// DialerTimeout.
func (s *server) sendHeartbeats(stream peerpb.DRPCPeer_MessagesStream, from *atomic.Pointer[string], liveness *livenessMonitor, failed <-chan error) error {
	heartbeat := time.NewTimer(clock.Align(HeartbeatInterval))
	defer heartbeat.Stop()
	timeout := time.NewTimer(DialerTimeout)
	defer timeout.Stop()
	state := acceptsCompact
	for {
		select {
		case err := <-failed:
			return err
		case <-timeout.C:
			left := liveness.remaining(DialerTimeout)
			if left <= 0 {
				return errHeartbeatTimeout
			}
			timeout.Reset(left)
			continue
		case <-heartbeat.C:
			heartbeat.Reset(clock.Align(HeartbeatInterval))
		}
		if name := from.Load(); name != nil && s.node.cutTo(*name) {
			continue
		}
		// The dialing VM knows whom it has dialed.
		if err := stream.Send(&peerpb.Envelope{Payload: state}); err != nil {
			return err
		}
		state = nil
		if name := from.Load(); name != nil {
			countedFrom(stream.Context(), *name).attributeSent(KindHeartbeat, nil)
		}
	}
}
