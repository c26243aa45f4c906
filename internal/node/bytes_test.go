package node

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"egretramp/internal/catalog"
	"egretramp/internal/groups"
	"egretramp/internal/peer"
	"egretramp/internal/raft/raftpb"
	"egretramp/internal/registry"
	"egretramp/internal/zonebytes"
)

// TestPurpose guards against bytes that are counted for another purpose than they serve.
func TestPurpose(t *testing.T) {
	entry, control := &Node{settings: Settings{Role: Entry}}, &Node{settings: Settings{Role: Control}}
	raft := func(kind raftpb.MessageType) []byte {
		data, err := proto.Marshal(&raftpb.Message{Type: kind, Group: 2, Term: 7, Entries: []*raftpb.Entry{{Data: make([]byte, 1000)}}})
		require.NoError(t, err)
		return data
	}
	upstreams := []registry.Upstream{{ID: "u", Address: "127.0.0.1:1"}}
	for _, c := range []struct {
		node            *Node
		kind            string
		payload, result []byte
		want            string
	}{
		{entry, peer.KindHeartbeat, nil, nil, zonebytes.Heartbeat},
		{entry, peer.KindTunnel, nil, nil, zonebytes.Tunnel},
		{entry, groups.MethodPropose, []byte("x"), nil, zonebytes.Turn},
		{control, groups.MethodPropose, []byte("x"), nil, zonebytes.Control},
		{entry, methodPermit, nil, nil, zonebytes.Permit},
		{entry, methodPool, nil, nil, zonebytes.Permit},
		{control, groups.KindRaft, raft(raftpb.MessageType_MESSAGE_TYPE_APPEND), nil, zonebytes.Append},
		{control, groups.KindRaft, raft(raftpb.MessageType_MESSAGE_TYPE_HEARTBEAT), nil, zonebytes.RaftHeartbeat},
		{control, groups.KindRaft, raft(raftpb.MessageType_MESSAGE_TYPE_SNAPSHOT_CHUNK), nil, zonebytes.Snapshot},
		{control, groups.KindRaft, raft(raftpb.MessageType_MESSAGE_TYPE_APPEND_REPLY), nil, zonebytes.Replication},
		{control, groups.KindRaft, []byte{0xff}, nil, zonebytes.Replication},
		{control, groups.KindRaft, nil, nil, zonebytes.Replication},
		{entry, methodWatch, nil, encode(watchResponse{Epoch: 1}), zonebytes.WatchIdle},
		{entry, methodWatch, nil, encode(watchResponse{Upstreams: upstreams}), zonebytes.WatchUpstreams},
		{entry, methodWatch, nil, encode(watchResponse{Fleet: &fleetState{Entries: 3}}), zonebytes.WatchFleet},
		{entry, methodWatch, nil, encode(watchResponse{Upstreams: upstreams, Document: &catalog.Document{Data: []byte(strings.Repeat("x", 5000))}}), zonebytes.WatchDocument},
		{entry, methodWatch, nil, nil, zonebytes.WatchIdle},
		{entry, "unknown", nil, nil, zonebytes.Other},
	} {
		require.Equal(t, c.want, c.node.purpose(c.kind, c.payload, c.result), "%s of %s", c.kind, c.node.settings.Role)
	}
}
