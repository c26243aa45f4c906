package peer

import (
	"context"
	"encoding/json"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Methods and kinds of relayed calls and messages. Relay ones go to the VM between, relayed ones
// from there to the VM that they are for: there is never a second VM between.
const (
	methodRelay   = "peer.relay"
	methodRelayed = "peer.relayed"
	kindRelay     = "peer.relay"
	kindRelayed   = "peer.relayed"
)

// codeUnreachable is the code of a relay that surely did not reach the other VM.
const codeUnreachable = "unreachable"

// maxRelays is how many VMs a call is tried through.
const maxRelays = 2

// Relay sends calls and messages to a VM whose direct link is down through another VM. It is for
// slices that need an answer from one certain VM; those that judge links use the Node itself.
type Relay struct {
	node *Node
	turn atomic.Uint64
}

// relayed is a call or message on its way through another VM.
type relayed struct {
	From    string `json:"from"`
	To      string `json:"to"`
	Name    string `json:"name"` // method or kind
	Payload []byte `json:"payload,omitempty"`
}

// NewRelay returns a relay over a node and registers its handlers there.
func NewRelay(n *Node) *Relay {
	r := &Relay{node: n}
	n.HandleCalls(methodRelay, r.handleRelayCall)
	n.HandleCalls(methodRelayed, r.handleRelayedCall)
	n.HandleMessages(kindRelay, r.handleRelay)
	n.HandleMessages(kindRelayed, r.handleRelayed)
	return r
}

// through returns VMs with a live link, a different one first each time.
func (r *Relay) through(to string) []string {
	var up []string
	for _, vm := range r.node.VMs() {
		if vm != to && r.node.Connected(vm) {
			up = append(up, vm)
		}
	}
	if len(up) == 0 {
		return nil
	}
	first := int(r.turn.Add(1) % uint64(len(up)))
	return append(up[first:], up[:first]...)
}

// Send is Node.Send, through another VM if the link is down.
func (r *Relay) Send(vm, kind string, payload []byte) {
	if !r.node.Connected(vm) {
		if via := r.through(vm); len(via) > 0 {
			r.node.Send(via[0], kindRelay, r.wrap(vm, kind, payload))
			return
		}
	}
	r.node.Send(vm, kind, payload)
}

// Call is Node.Call, through another VM if the link is down. A call that may have arrived is not
// sent a second time.
func (r *Relay) Call(ctx context.Context, vm, method string, payload []byte) ([]byte, error) {
	var result []byte
	err := error(&UnreachableError{VM: vm, Cause: errors.New("the link is down")})
	if r.node.Connected(vm) {
		result, err = r.node.Call(ctx, vm, method, payload)
	}
	via := r.through(vm)
	for _, between := range via[:min(len(via), maxRelays)] {
		if !surelyNotArrived(err) || ctx.Err() != nil {
			return result, err
		}
		result, err = r.node.Call(ctx, between, methodRelay, r.wrap(vm, method, payload))
	}
	if len(via) == 0 && surelyNotArrived(err) {
		return r.node.Call(ctx, vm, method, payload)
	}
	return result, err
}

func surelyNotArrived(err error) bool {
	var unreachable *UnreachableError
	var remote *RemoteError
	return errors.As(err, &unreachable) || errors.As(err, &remote) && remote.Code == codeUnreachable
}

func (r *Relay) wrap(to, name string, payload []byte) []byte {
	data, err := json.Marshal(relayed{From: r.node.VM(), To: to, Name: name, Payload: payload})
	if err != nil {
		panic("peer: cannot encode a relayed message: " + err.Error())
	}
	return data
}

func (r *Relay) handleRelayCall(ctx context.Context, _ string, payload []byte) ([]byte, error) {
	var m relayed
	if err := json.Unmarshal(payload, &m); err != nil {
		return nil, err
	}
	if !r.node.Connected(m.To) {
		return nil, &RemoteError{Code: codeUnreachable, Message: m.To}
	}
	result, err := r.node.Call(ctx, m.To, methodRelayed, payload)
	var unreachable *UnreachableError
	if errors.As(err, &unreachable) {
		return nil, &RemoteError{Code: codeUnreachable, Message: m.To}
	}
	return result, err
}

func (r *Relay) handleRelayedCall(ctx context.Context, _ string, payload []byte) ([]byte, error) {
	var m relayed
	if err := json.Unmarshal(payload, &m); err != nil {
		return nil, err
	}
	return r.node.serveCall(ctx, m.From, m.Name, m.Payload)
}

func (r *Relay) handleRelay(_ string, payload []byte) {
	var m relayed
	if json.Unmarshal(payload, &m) == nil {
		r.node.Send(m.To, kindRelayed, payload)
	}
}

func (r *Relay) handleRelayed(_ string, payload []byte) {
	var m relayed
	if json.Unmarshal(payload, &m) != nil || m.Name == kindRelay || m.Name == kindRelayed {
		return
	}
	r.node.handle(m.From, m.Name, m.Payload)
}
