package groups

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"egretramp/internal/raft/raftpb"
)

// sentNetwork records the last message.
type sentNetwork struct{ payload []byte }

func (n *sentNetwork) Send(_, _ string, payload []byte) { n.payload = payload }

func (n *sentNetwork) Call(context.Context, string, string, []byte) ([]byte, error) { return nil, nil }

// agreedNetwork is a network to VMs that restore names.
type agreedNetwork struct {
	sentNetwork
	compact bool
}

func (n *agreedNetwork) Compact(string) bool { return n.compact }

// TestTransport_Names guards against messages without the names of their VMs that reach a VM of the previous release.
func TestTransport_Names(t *testing.T) {
	message := func() *raftpb.Message {
		return &raftpb.Message{Type: raftpb.MessageType_MESSAGE_TYPE_APPEND_REPLY, Group: 2, From: 1, To: 2, FromVm: "10.0.0.1:7000", ToVm: "10.0.0.2:7000", Term: 3, Index: 4}
	}
	old, agreed := &agreedNetwork{}, &agreedNetwork{compact: true}
	plain := &sentNetwork{}
	for network, sent := range map[Network]*[]byte{old: &old.payload, plain: &plain.payload} {
		Transport{Network: network}.Send("10.0.0.2:7000", message())
		var got raftpb.Message
		require.NoError(t, proto.Unmarshal(*sent, &got))
		require.Equal(t, "10.0.0.1:7000", got.FromVm)
		require.Equal(t, "10.0.0.2:7000", got.ToVm)
	}
	Transport{Network: agreed}.Send("10.0.0.2:7000", message())
	require.Less(t, len(agreed.payload), len(old.payload)*2/3)
	require.Equal(t, raftpb.MessageType_MESSAGE_TYPE_APPEND_REPLY, MessageType(agreed.payload))
	restored, ok := decodeMessage("10.0.0.1:7000", agreed.payload)
	require.True(t, ok)
	require.Equal(t, "10.0.0.1:7000", restored.FromVm)
	named, ok := decodeMessage("a VM that passed it on", old.payload)
	require.True(t, ok)
	require.Equal(t, "10.0.0.1:7000", named.FromVm)
}
