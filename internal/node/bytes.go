package node

import (
	"github.com/fxamacker/cbor/v2"

	"egretramp/internal/groups"
	"egretramp/internal/peer"
	"egretramp/internal/raft/raftpb"
	"egretramp/internal/zonebytes"
)

// accounting returns how the bytes of connections to other VMs are attributed.
func (n *Node) accounting() *peer.Accounting {
	return &peer.Accounting{
		Zone: n.settings.Zone,
		ZoneOf: func(vm string) string {
			if zone := n.watcher.zoneOf(vm); zone != "" {
				return zone
			}
			if n.entryZone != nil {
				return n.entryZone(vm)
			}
			return ""
		},
		Purpose: n.purpose,
		Add:     n.bytes.Add,
	}
}

// purpose returns the purpose of a message, or of a call and its result.
func (n *Node) purpose(kind string, payload, result []byte) string {
	switch kind {
	case peer.KindHeartbeat:
		return zonebytes.Heartbeat
	case peer.KindTunnel:
		return zonebytes.Tunnel
	case peer.KindRelay:
		return zonebytes.Relayed
	case groups.KindRaft:
		return raftPurpose(groups.MessageType(payload))
	case groups.KindForward:
		return zonebytes.Append
	case groups.MethodPropose:
		if n.settings.Role == Control {
			return zonebytes.Control
		}
		return zonebytes.Turn // only entry VMs call store VMs
	case groups.MethodQuery:
		return zonebytes.Control
	case methodWatch:
		return watchPurpose(result)
	case methodDocument:
		return zonebytes.WatchDocument
	case methodPermit, methodPool:
		return zonebytes.Permit
	case methodStrike:
		return zonebytes.WatchSuspects
	}
	return zonebytes.Other
}

// raftPurpose returns the purpose of a message between replicas.
func raftPurpose(t raftpb.MessageType) string {
	switch t {
	case raftpb.MessageType_MESSAGE_TYPE_APPEND:
		return zonebytes.Append
	case raftpb.MessageType_MESSAGE_TYPE_SNAPSHOT, raftpb.MessageType_MESSAGE_TYPE_SNAPSHOT_CHUNK, raftpb.MessageType_MESSAGE_TYPE_SNAPSHOT_CHUNK_REPLY:
		return zonebytes.Snapshot
	case raftpb.MessageType_MESSAGE_TYPE_HEARTBEAT, raftpb.MessageType_MESSAGE_TYPE_HEARTBEAT_REPLY:
		return zonebytes.RaftHeartbeat
	}
	return zonebytes.Replication
}

// watchParts are the parts of a watchResponse, not decoded.
type watchParts struct {
	Upstreams cbor.RawMessage `cbor:"2,keyasint,omitempty"`
	Fleet     cbor.RawMessage `cbor:"4,keyasint,omitempty"`
	Document  cbor.RawMessage `cbor:"6,keyasint,omitempty"`
	Suspects  cbor.RawMessage `cbor:"7,keyasint,omitempty"`
}

// watchPurpose returns the purpose of the largest part of an encoded watchResponse.
func watchPurpose(response []byte) string {
	var parts watchParts
	if cbor.Unmarshal(response, &parts) != nil {
		return zonebytes.WatchIdle
	}
	purpose, largest := zonebytes.WatchIdle, 0
	for _, part := range []struct {
		purpose string
		bytes   int
	}{
		{zonebytes.WatchDocument, len(parts.Document)}, {zonebytes.WatchUpstreams, len(parts.Upstreams)},
		{zonebytes.WatchFleet, len(parts.Fleet)}, {zonebytes.WatchSuspects, len(parts.Suspects)},
	} {
		if part.bytes > largest {
			purpose, largest = part.purpose, part.bytes
		}
	}
	return purpose
}
