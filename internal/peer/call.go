package peer

import (
	"context"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"egretramp/internal/events"
	"egretramp/internal/peer/peerpb"
)

// codeInternal is the code of handler errors that are not a *RemoteError.
const codeInternal = "internal"

// Call invokes method on vm and returns its result. It returns *UnreachableError if the request
// was certainly not delivered, *LostError if it may have been executed, and *RemoteError if the
// handler failed.
func (n *Node) Call(ctx context.Context, vm, method string, payload []byte) ([]byte, error) {
	if vm == n.opts.VM {
		return n.serveCall(ctx, vm, method, payload)
	}
	l := n.link(vm)
	if l == nil {
		return nil, &UnreachableError{VM: vm, Cause: errors.New("unknown VM")}
	}
	if len(payload) > MaxPayloadBytes {
		n.opts.Events.Emit(events.PeerTooLarge, zap.String("peer", vm), zap.String("kind", method), zap.Int("bytes", len(payload)))
		return nil, &UnreachableError{VM: vm, Cause: errPayloadTooLarge}
	}
	n.stats.CallsMade.Add(1)
	req := &peerpb.CallRequest{From: n.opts.VM, Method: method, Payload: payload}
	if !l.healthy() {
		// Dialing an unreachable VM usually fails only after the full timeout, so try relays first.
		if result, err, ok := n.callViaRelays(ctx, vm, req); ok {
			return result, err
		}
		return l.call(ctx, req)
	}
	result, err := l.call(ctx, req)
	var unreachable *UnreachableError
	if errors.As(err, &unreachable) {
		if result, err, ok := n.callViaRelays(ctx, vm, req); ok {
			return result, err
		}
	}
	return result, err
}

// call sends a request over a direct connection, reusing an idle one if possible.
func (l *link) call(ctx context.Context, req *peerpb.CallRequest) ([]byte, error) {
	if l.node.cutTo(l.vm) {
		return nil, &UnreachableError{VM: l.vm, Cause: awaitCutTimeout(ctx)}
	}
	conn := l.takeIdle()
	if conn == nil {
		var err error
		conn, err = l.dial(ctx)
		if err != nil {
			return nil, &UnreachableError{VM: l.vm, Cause: err}
		}
	}
	resp, err := peerpb.NewDRPCPeerClient(conn).Call(conn.counted.introduce(ctx), req)
	conn.counted.attributeCall(req.Method, req.Payload, resp.GetPayload())
	if err != nil {
		_ = conn.Close()
		return nil, &LostError{VM: l.vm, Cause: err}
	}
	if l.node.cutFrom(l.vm) {
		<-ctx.Done()
		_ = conn.Close()
		return nil, &LostError{VM: l.vm, Cause: errCut}
	}
	l.putIdle(conn)
	if resp.ErrorCode != "" {
		return nil, &RemoteError{Code: resp.ErrorCode, Message: resp.ErrorMessage}
	}
	return resp.Payload, nil
}

// serveCall runs the handler of a method. An error that is not a *RemoteError is returned as one
// with code "internal".
func (n *Node) serveCall(ctx context.Context, from, method string, payload []byte) ([]byte, error) {
	h, ok := n.calls[method]
	if !ok {
		return nil, &RemoteError{Code: "unknown_method", Message: method}
	}
	n.stats.CallsServed.Add(1)
	result, err := h(ctx, from, payload)
	if err == nil && len(result) > MaxPayloadBytes {
		n.opts.Events.Emit(events.PeerTooLarge, zap.String("peer", from), zap.String("kind", method), zap.Int("bytes", len(result)))
		return nil, &RemoteError{Code: codeTooLarge, Message: errPayloadTooLarge.Error()}
	}
	if err == nil {
		return result, nil
	}
	var remote *RemoteError
	if errors.As(err, &remote) {
		return nil, remote
	}
	return nil, &RemoteError{Code: codeInternal, Message: err.Error()}
}
