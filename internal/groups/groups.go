// Package groups gives the rest of a VM access to the replicated groups: it runs the replicas
// of a VM with the control role, and forwards commands and queries to the groups' leaders.
package groups

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"egretramp/internal/peer"
	"egretramp/internal/raft/raftpb"
	"egretramp/internal/replica"
)

// The groups.
const (
	Control uint64 = 1
	Program uint64 = 2
)

// Methods and kinds of messages between VMs.
const (
	MethodPropose = "group.propose"
	MethodQuery   = "group.query"
	KindRaft      = "group.raft"
)

// tryTimeout bounds one try at one VM.
const tryTimeout = 2 * time.Second

// Errors of Propose and Query.
var (
	// ErrNotProposed says that the command surely was not and will not be applied.
	ErrNotProposed = errors.New("groups: no leader could be reached; the command was not proposed")
	// ErrUnknownOutcome says that the command may be applied, now or later.
	ErrUnknownOutcome = errors.New("groups: the outcome of the command is unknown")
)

// Network carries messages and calls between VMs.
type Network interface {
	Send(vm, kind string, payload []byte)
	Call(ctx context.Context, vm, method string, payload []byte) ([]byte, error)
}

// Queryable is a state machine that answers queries.
type Queryable interface {
	Query(query []byte) []byte
}

// request is a command or query for a group.
type request struct {
	Group uint64 `json:"group"`
	Data  []byte `json:"data"`
	// Relay asks a VM that does not lead the group to pass the request on to the leader,
	// because the asking VM does not reach it.
	Relay bool `json:"relay,omitempty"`
}

// Transport sends raft messages of all groups between VMs.
type Transport struct {
	Network Network
}

// Send sends a message to the replica of its group on vm.
func (t Transport) Send(vm string, m *raftpb.Message) {
	data, err := proto.Marshal(m)
	if err != nil {
		return // the message is dropped; raft repeats what matters
	}
	t.Network.Send(vm, KindRaft, data)
}

// Replicas are the replicas of this VM by group; empty without the control role.
type Replicas map[uint64]*replica.Replica

// HandleRaft takes a raft message from another VM.
func (r Replicas) HandleRaft(_ string, payload []byte) {
	m := &raftpb.Message{}
	if proto.Unmarshal(payload, m) != nil {
		return
	}
	if local, ok := r[m.GetGroup()]; ok {
		local.Step(m)
	}
}

// Server answers other VMs' commands and queries from this VM's replicas.
type Server struct {
	Replicas Replicas
	Network  Network
}

// HandlePropose serves MethodPropose.
func (s Server) HandlePropose(ctx context.Context, _ string, payload []byte) ([]byte, error) {
	local, req, err := s.Replicas.find(payload)
	if err != nil {
		return nil, err
	}
	result, err := local.Propose(ctx, req.Data)
	if leader := relayTo(req, err); leader != "" {
		return s.relay(ctx, leader, MethodPropose, req)
	}
	return result, encodeError(err)
}

// relayTo returns the leader that a request has to be passed on to; empty if it has not.
func relayTo(req *request, err error) string {
	var notLeader *replica.NotLeaderError
	if !req.Relay || !errors.As(err, &notLeader) {
		return ""
	}
	return notLeader.LeaderVM
}

// relay passes a request on, once.
func (s Server) relay(ctx context.Context, leader, method string, req *request) ([]byte, error) {
	payload, err := json.Marshal(request{Group: req.Group, Data: req.Data})
	if err != nil {
		return nil, err
	}
	result, err := s.Network.Call(ctx, leader, method, payload)
	var unreachable *peer.UnreachableError
	var remote *peer.RemoteError
	switch {
	case err == nil, errors.As(err, &remote):
		return result, err
	case errors.As(err, &unreachable):
		return nil, &peer.RemoteError{Code: codeNotLeader}
	}
	return nil, &peer.RemoteError{Code: codeUnknown, Message: err.Error()}
}

// HandleQuery serves MethodQuery.
func (s Server) HandleQuery(ctx context.Context, _ string, payload []byte) ([]byte, error) {
	local, req, err := s.Replicas.find(payload)
	if err != nil {
		return nil, err
	}
	var result []byte
	err = local.LinearizableQuery(ctx, func(sm replica.StateMachine) {
		if q, ok := sm.(Queryable); ok {
			result = q.Query(req.Data)
		}
	})
	if leader := relayTo(req, err); leader != "" {
		return s.relay(ctx, leader, MethodQuery, req)
	}
	return result, encodeError(err)
}

func (r Replicas) find(payload []byte) (*replica.Replica, *request, error) {
	var req request
	if err := json.Unmarshal(payload, &req); err != nil {
		return nil, nil, err
	}
	local, ok := r[req.Group]
	if !ok {
		return nil, nil, &peer.RemoteError{Code: codeNoReplica, Message: "the VM has no replica of the group"}
	}
	return local, &req, nil
}

// Codes of errors between VMs. All but codeUnknown mean that nothing was proposed.
const (
	codeNoReplica = "no_replica"
	codeNotLeader = "not_leader" // the message is the leader's VM, or empty
	codeNotFormed = "not_formed"
	codeStopped   = "stopped"
	codeUnknown   = "unknown_outcome"
)

func encodeError(err error) error {
	if err == nil {
		return nil
	}
	var notLeader *replica.NotLeaderError
	switch {
	case errors.As(err, &notLeader):
		return &peer.RemoteError{Code: codeNotLeader, Message: notLeader.LeaderVM}
	case errors.Is(err, replica.ErrNotFormed):
		return &peer.RemoteError{Code: codeNotFormed, Message: err.Error()}
	case errors.Is(err, replica.ErrStopped):
		return &peer.RemoteError{Code: codeStopped, Message: err.Error()}
	}
	return &peer.RemoteError{Code: codeUnknown, Message: err.Error()}
}
