// Package groups connects a VM to the replicated groups. It passes messages and requests to the
// replicas of a VM with the control role, and sends commands and queries to the groups' leaders.
package groups

import (
	"context"
	"hash/fnv"
	"math"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"egretramp/internal/peer"
	"egretramp/internal/raft/raftpb"
	"egretramp/internal/replica"
)

// Numbers of the groups that span all control VMs.
const (
	Control uint64 = 1
	Program uint64 = 2
)

// zoneGroupBase is below the numbers of all zones' groups.
const zoneGroupBase uint64 = 1 << 32

// Zone returns the number of the program group that runs on a zone's own control VMs. It depends
// only on the zone's name, so that adding or removing a zone doesn't change the number of another.
func Zone(zone string) uint64 {
	hash := fnv.New32a()
	hash.Write([]byte(zone))
	return zoneGroupBase + uint64(hash.Sum32())
}

// Methods and message kinds used between VMs.
const (
	MethodPropose = "group.propose"
	MethodQuery   = "group.query"
	KindRaft      = "group.raft"
)

// defaultCallTimeout limits a call to one VM by a client from NewClient.
const defaultCallTimeout = 2 * time.Second

// Errors of Propose and Query.
var (
	// ErrNotProposed means that the command was not applied and never will be.
	ErrNotProposed = errors.New("groups: no leader could be reached; the command was not proposed")
	// errNotAttempted is the cause if the context had ended before the first VM was called.
	errNotAttempted = errors.New("groups: no VM was asked")
	// ErrUnknownOutcome means that the command may have been applied or may be applied later.
	ErrUnknownOutcome = errors.New("groups: the outcome of the command is unknown")
)

// Network sends messages and makes calls to other VMs.
type Network interface {
	Send(vm, kind string, payload []byte)
	Call(ctx context.Context, vm, method string, payload []byte) ([]byte, error)
}

// Queryable is implemented by state machines that serve queries.
type Queryable interface {
	Query(query []byte) []byte
}

// Finisher is implemented by state machines that add data to a command's result that only the
// proposer needs. Finish runs on the leader, after the command was applied.
type Finisher interface {
	Finish(command, result []byte) []byte
}

// request is a command or query for a group, encoded as CBOR.
type request struct {
	Group uint64 `cbor:"1,keyasint"`
	Data  []byte `cbor:"2,keyasint"`
}

// Transport sends the raft messages of all groups to other VMs.
type Transport struct {
	Network Network
}

// compactNetwork is a Network that knows whether a VM restores what messages leave out.
type compactNetwork interface {
	Compact(vm string) bool
}

// Send sends a raft message to the replica of its group on vm. The names of the two VMs are left out if the receiver restores
// them: together they are a third of a small message.
func (t Transport) Send(vm string, m *raftpb.Message) {
	if network, ok := t.Network.(compactNetwork); ok && network.Compact(vm) {
		m.FromVm, m.ToVm = "", ""
	}
	data, err := proto.Marshal(m)
	if err != nil {
		return // drop the message; raft resends it if needed
	}
	t.Network.Send(vm, KindRaft, data)
}

// MessageType returns the type of an encoded raft message, without decoding the rest of it.
func MessageType(payload []byte) raftpb.MessageType {
	number, wireType, n := protowire.ConsumeTag(payload)
	if n < 0 || number != messageTypeField || wireType != protowire.VarintType {
		return raftpb.MessageType_MESSAGE_TYPE_UNSPECIFIED
	}
	value, n := protowire.ConsumeVarint(payload[n:])
	if n < 0 || value > math.MaxInt32 {
		return raftpb.MessageType_MESSAGE_TYPE_UNSPECIFIED
	}
	return raftpb.MessageType(value)
}

// messageTypeField is the number of the field of raftpb.Message that holds the type. It is encoded first.
const messageTypeField = 1

// Replicas holds the replicas of this VM by group. It is empty without the control role.
type Replicas map[uint64]*replica.Replica

// HandleRaft passes a raft message from another VM to the local replica of its group.
func (r Replicas) HandleRaft(from string, payload []byte) {
	if m, ok := decodeMessage(from, payload); ok {
		r.Step(m)
	}
}

// decodeMessage decodes a raft message and restores the sender's name.
func decodeMessage(from string, payload []byte) (*raftpb.Message, bool) {
	m := &raftpb.Message{}
	if proto.Unmarshal(payload, m) != nil {
		return nil, false
	}
	if m.FromVm == "" {
		m.FromVm = from
	}
	return m, true
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

// Codes of errors returned to other VMs. All but codeUnknown mean that nothing was proposed.
const (
	codeNoReplica = "no_replica"
	codeNotLeader = "not_leader" // the message is the leader's VM, empty if unknown
	codeNotFormed = "not_formed"
	codeStopped   = "stopped"
	codeUnknown   = "unknown_outcome"
)

// NotLeader returns the error with which a VM that isn't the leader refuses a Client.Call. leader is
// empty if unknown.
func NotLeader(leader string) error {
	return &peer.RemoteError{Code: codeNotLeader, Message: leader}
}

// encodeError converts a replica's error to one that is sent to the calling VM.
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
