// Package groups gives the rest of a VM access to the replicated groups: it runs the replicas
// of a VM with the control role, and forwards commands and queries to the groups' leaders.
package groups

import (
	"context"
	"hash/fnv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"google.golang.org/protobuf/proto"

	"egretramp/internal/peer"
	"egretramp/internal/raft/raftpb"
	"egretramp/internal/replica"
)

// The groups over all control VMs.
const (
	Control uint64 = 1
	Program uint64 = 2
)

// zoneGroupBase is below the numbers of all zones' groups.
const zoneGroupBase uint64 = 1 << 32

// Zone returns the number of the program group of a zone's own control VMs. It depends on the
// zone's name alone, so that a zone which comes or goes changes no other one's number.
func Zone(zone string) uint64 {
	hash := fnv.New32a()
	hash.Write([]byte(zone))
	return zoneGroupBase + uint64(hash.Sum32())
}

// Methods and kinds of messages between VMs.
const (
	MethodPropose = "group.propose"
	MethodQuery   = "group.query"
	KindRaft      = "group.raft"
)

// defaultCallTimeout bounds one try at one VM.
const defaultCallTimeout = 2 * time.Second

// Errors of Propose and Query.
var (
	// ErrNotProposed says that the command surely was not and will not be applied.
	ErrNotProposed = errors.New("groups: no leader could be reached; the command was not proposed")
	// errNotAttempted is the cause if the context had ended before the first VM was asked.
	errNotAttempted = errors.New("groups: no VM was asked")
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

// Finisher is a state machine that adds to a command's result what only the proposer needs. It
// runs on the leader, after the command was applied.
type Finisher interface {
	Finish(command, result []byte) []byte
}

// request is a command or query for a group.
type request struct {
	Group uint64 `cbor:"1,keyasint"`
	Data  []byte `cbor:"2,keyasint"`
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

// HandlePropose serves MethodPropose.
func (r Replicas) HandlePropose(ctx context.Context, _ string, payload []byte) ([]byte, error) {
	local, req, err := r.find(payload)
	if err != nil {
		return nil, err
	}
	result, err := local.Propose(ctx, req.Data)
	if err != nil {
		return nil, encodeError(err)
	}
	err = local.Query(ctx, func(sm replica.StateMachine) {
		if f, ok := sm.(Finisher); ok {
			result = f.Finish(req.Data, result)
		}
	})
	return result, encodeError(err)
}

// HandleQuery serves MethodQuery.
func (r Replicas) HandleQuery(ctx context.Context, _ string, payload []byte) ([]byte, error) {
	local, req, err := r.find(payload)
	if err != nil {
		return nil, err
	}
	var result []byte
	err = local.LinearizableQuery(ctx, func(sm replica.StateMachine) {
		if q, ok := sm.(Queryable); ok {
			result = q.Query(req.Data)
		}
	})
	return result, encodeError(err)
}

func (r Replicas) find(payload []byte) (*replica.Replica, *request, error) {
	var req request
	if err := cbor.Unmarshal(payload, &req); err != nil {
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

// NotLeader is the answer to Client.Call of a VM that doesn't lead; leader may be empty.
func NotLeader(leader string) error {
	return &peer.RemoteError{Code: codeNotLeader, Message: leader}
}

func encodeError(err error) error {
	if err == nil {
		return nil
	}
	var notLeader *replica.NotLeaderError
	switch {
	case errors.As(err, &notLeader):
		return NotLeader(notLeader.LeaderVM)
	case errors.Is(err, replica.ErrNotFormed):
		return &peer.RemoteError{Code: codeNotFormed, Message: err.Error()}
	case errors.Is(err, replica.ErrStopped):
		return &peer.RemoteError{Code: codeStopped, Message: err.Error()}
	}
	return &peer.RemoteError{Code: codeUnknown, Message: err.Error()}
}
