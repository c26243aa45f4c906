package peer

import (
	"context"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"egretramp/internal/peer/peerpb"
)

const (
	kindRelay   = "peer.relay"
	methodRelay = "peer.relay"
	// maxRelayAttempts is the maximum number of relays that one call is tried through.
	maxRelayAttempts = 2
)

// Codes of errors from the relay itself, not from the relayed call's handler.
const (
	codeRelayUnreachable = "relay_unreachable" // the call was certainly not delivered
	codeRelayLost        = "relay_lost"        // the call may have been executed
)

// relayCandidates returns the links to at most limit connected VMs other than vm, starting with a
// different one on each call. A link may be removed at any time; messages sent on it then are lost.
func (n *Node) relayCandidates(vm string, limit int) []*link {
	var connected []*link
	for _, name := range n.VMs() {
		if l := n.link(name); name != vm && l != nil && l.up.Load() {
			connected = append(connected, l)
		}
	}
	if len(connected) == 0 {
		return nil
	}
	start := int(n.rotation.Add(1) % uint64(len(connected)))
	rotated := append(connected[start:len(connected):len(connected)], connected[:start]...)
	return rotated[:min(limit, len(rotated))]
}

// relayMessage sends a message through a third VM; it returns false if none is connected.
func (n *Node) relayMessage(vm, kind string, payload []byte) bool {
	candidates := n.relayCandidates(vm, 1)
	if len(candidates) == 0 {
		return false
	}
	data, err := proto.Marshal(&peerpb.Relayed{
		To:       vm,
		Envelope: &peerpb.Envelope{From: n.opts.VM, Kind: kind, Payload: payload},
	})
	if err != nil {
		return false
	}
	candidates[0].enqueue(kindRelay, data)
	return true
}

// handleRelay delivers a relayed message, or forwards it to its destination if that is connected. A
// message is forwarded at most once.
func (n *Node) handleRelay(_ string, payload []byte) {
	var r peerpb.Relayed
	if proto.Unmarshal(payload, &r) != nil || r.Envelope == nil {
		return
	}
	if r.To == n.opts.VM {
		n.deliver(r.Envelope.From, r.Envelope.Kind, r.Envelope.Payload)
		return
	}
	l := n.link(r.To)
	if l == nil || !l.up.Load() {
		n.stats.MessagesDropped.Add(1)
		return
	}
	n.stats.MessagesRelayed.Add(1)
	l.enqueue(kindRelay, payload)
}

// callViaRelays tries a call through other VMs; ok is false if it was certainly not delivered.
func (n *Node) callViaRelays(ctx context.Context, vm string, req *peerpb.CallRequest) (result []byte, err error, ok bool) {
	payload, err := proto.Marshal(&peerpb.RelayedCall{To: vm, Request: req})
	if err != nil {
		return nil, err, false
	}
	for _, relay := range n.relayCandidates(vm, maxRelayAttempts) {
		outer := &peerpb.CallRequest{From: n.opts.VM, Method: methodRelay, Payload: payload}
		result, err := relay.call(ctx, outer)
		var unreachable *UnreachableError
		var remote *RemoteError
		switch {
		case errors.As(err, &unreachable):
			continue
		case errors.As(err, &remote) && remote.Code == codeRelayUnreachable:
			continue
		case errors.As(err, &remote) && remote.Code == codeRelayLost:
			return nil, &LostError{VM: vm, Cause: remote}, true
		}
		return result, err, true
	}
	return nil, nil, false
}

// handleRelayedCall executes a relayed call, or forwards it to its destination over a direct
// connection only.
func (n *Node) handleRelayedCall(ctx context.Context, _ string, payload []byte) ([]byte, error) {
	var r peerpb.RelayedCall
	if err := proto.Unmarshal(payload, &r); err != nil || r.Request == nil {
		return nil, &RemoteError{Code: codeRelayUnreachable, Message: "the relayed call could not be read"}
	}
	if r.To == n.opts.VM {
		return n.serveCall(ctx, r.Request.From, r.Request.Method, r.Request.Payload)
	}
	l := n.link(r.To)
	if l == nil || !l.up.Load() {
		return nil, &RemoteError{Code: codeRelayUnreachable, Message: "VM " + r.To + " is not connected"}
	}
	result, err := l.call(ctx, &peerpb.CallRequest{From: n.opts.VM, Method: methodRelay, Payload: payload})
	var unreachable *UnreachableError
	var lost *LostError
	switch {
	case errors.As(err, &unreachable):
		return nil, &RemoteError{Code: codeRelayUnreachable, Message: err.Error()}
	case errors.As(err, &lost):
		return nil, &RemoteError{Code: codeRelayLost, Message: err.Error()}
	}
	return result, err
}
